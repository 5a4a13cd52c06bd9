//! Gangs are placed whole, in one entry of the cluster state.

use super::Node;
use crate::state::{zone_lease, ClusterState, Job, Placement, Resources, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// The gang that has waited longest beyond its patience, and the workers kept for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    pub job: String,
    pub workers: BTreeSet<String>,
}

/// Members of a task's gang that are not done.
pub fn members(state: &ClusterState, job: &str, task: u32) -> Vec<u32> {
    state.jobs.get(job).map_or(Vec::new(), |j| {
        let all = j.gang(task as usize).into_iter();
        all.filter(|i| j.tasks[*i].state != TaskState::Done)
            .map(|i| i as u32)
            .collect()
    })
}

/// Whether the whole gang could start now, workers aside.
pub fn startable(state: &ClusterState, at: u64, job: &str, task: u32) -> bool {
    let m = members(state, job, task);
    !m.is_empty()
        && m.iter()
            .all(|i| state.may_start(job, *i, false, at).is_ok())
}

/// The one gang that others make way for: every node derives the same from the same record, so two never wait for each other.
pub fn claim(state: &ClusterState, at: u64, patience: u64) -> Option<Claim> {
    let jobs = state.open.iter().filter_map(|id| state.jobs.get(id));
    let waiting = jobs.filter(|j| !j.cancel && at >= j.accepted + patience);
    let oldest = waiting
        .filter_map(|j| {
            let first = |i: &usize| j.leads_gang(*i);
            let ripe = |i: &usize| at >= j.due(*i) + patience;
            (0..j.tasks.len())
                .filter(|i| j.in_gang(*i) && j.tasks[*i].state == TaskState::Waiting)
                .filter(|i| ripe(i) && first(i))
                .find(|i| startable(state, at, &j.spec.id, *i as u32))
                .map(|i| (j.accepted.max(j.due(i)), j, i as u32))
        })
        .min_by(|a, b| (a.0, &a.1.spec.id).cmp(&(b.0, &b.1.spec.id)))?;
    let (_, job, task) = oldest;
    let mut tasks = members(state, &job.spec.id, task);
    tasks.sort_by_key(|i| std::cmp::Reverse(job.of(*i as usize).cpu));
    let mut left: BTreeMap<&String, (Resources, u32)> = BTreeMap::new();
    for i in tasks {
        let t = job.of(i as usize);
        let apart = |n: u32| t.anti_affinity == 0 || n < t.anti_affinity;
        let fit = |k: &String| {
            state
                .workers
                .get(k)
                .is_some_and(|w| takes(state, k) && w.probation == 0 && w.info.serves(t))
        };
        // Workers already kept first, then the roomiest.
        let kept = left
            .iter()
            .find(|(k, (resources, n))| fit(k) && resources.holds(t.needs()) && apart(*n))
            .map(|(k, _)| *k);
        let of = kept.or_else(|| {
            state
                .workers
                .iter()
                .filter(|(k, w)| {
                    !left.contains_key(k) && fit(k) && w.info.total_resources().holds(t.needs())
                })
                .max_by_key(|(k, w)| (w.info.cpu, std::cmp::Reverse(k.as_str())))
                .map(|(k, _)| k)
        })?;
        let (resources, n) = left
            .entry(of)
            .or_insert_with(|| (state.workers[of].info.total_resources(), 0));
        *resources = resources.less(t.needs());
        *n += 1;
    }
    Some(Claim {
        job: job.spec.id.clone(),
        workers: left.into_keys().cloned().collect(),
    })
}

fn takes(state: &ClusterState, worker: &str) -> bool {
    state
        .workers
        .get(worker)
        .is_some_and(|w| !w.lost && !w.info.leaving && state.open(&w.info.zone, worker))
}

impl Node {
    /// A placement of the whole gang by the cluster state's view of the resources, the offered worker first. A gang that belongs
    /// on one rack goes there whole if a rack has the resources now, and else only when it has waited for `patience`.
    pub(super) fn place_gang(
        &self,
        at: u64,
        (job, task): (&str, u32),
        offered: &str,
        held: &BTreeMap<String, Resources>,
    ) -> Option<Vec<Placement>> {
        let state = &self.state;
        if !startable(state, at, job, task) {
            return None;
        }
        let j = state.jobs.get(job)?;
        let mut tasks = members(state, job, task);
        tasks.sort_by_key(|i| std::cmp::Reverse(j.of(*i as usize).cpu));
        let near = &j.of(task as usize).near;
        let mut free: Vec<(&String, &str, Resources)> = state
            .workers
            .iter()
            .filter(|(k, _)| takes(state, k))
            .map(|(k, w)| {
                let taken = w.used.plus(held.get(k).copied().unwrap_or_default());
                let left = w.info.total_resources().less(taken);
                (k, w.info.rack.as_str(), left)
            })
            .collect();
        free.sort_by_key(|(k, rack, resources)| {
            let far = !near.is_empty() && near != rack && near != *k;
            (far, k.as_str() != offered, std::cmp::Reverse(resources.cpu))
        });
        if !j.of(task as usize).same_rack {
            return self.spread(job, j, &tasks, free);
        }
        let mut racks: Vec<&str> = Vec::new();
        free.iter()
            .filter(|(_, r, _)| !r.is_empty())
            .for_each(|(_, r, _)| {
                if !racks.contains(r) {
                    racks.push(r)
                }
            });
        let whole = racks.iter().find_map(|rack| {
            let of = free.iter().filter(|(_, r, _)| r == rack).copied();
            self.spread(job, j, &tasks, of.collect())
        });
        let patience = self.settings.bounds.reserve();
        let waited = at >= j.accepted.max(j.due(task as usize)) + patience;
        whole.or_else(|| waited.then(|| self.spread(job, j, &tasks, free)).flatten())
    }

    fn spread(
        &self,
        id: &str,
        job: &Job,
        tasks: &[u32],
        mut free: Vec<(&String, &str, Resources)>,
    ) -> Option<Vec<Placement>> {
        let mut out: Vec<Placement> = Vec::new();
        for i in tasks {
            let t = job.of(*i as usize);
            let at = free.iter().position(|(k, _, left)| {
                let n = out.iter().filter(|p| p.worker == **k).count() as u32;
                left.holds(t.needs())
                    && (t.anti_affinity == 0 || n + job.beside(*i as usize, k) < t.anti_affinity)
                    && self.state.fits(id, &self.placement(k, *i, false)).is_ok()
            })?;
            free[at].2 = free[at].2.less(t.needs());
            out.push(self.placement(free[at].0, *i, false));
        }
        Some(out)
    }

    /// A placement under the worker's present incarnation and zone scheduler.
    pub(super) fn placement(&self, worker: &str, task: u32, copy: bool) -> Placement {
        let (incarnation, zone) = self
            .state
            .workers
            .get(worker)
            .map_or((0, ""), |w| (w.info.incarnation, w.info.zone.as_str()));
        let zone_epoch = self.state.holder(&zone_lease(zone)).map_or(0, |g| g.epoch);
        Placement {
            task,
            worker: worker.into(),
            incarnation,
            zone_epoch,
            copy,
        }
    }
}
