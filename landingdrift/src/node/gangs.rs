//! Gangs are placed whole, in one entry of the record.

use super::Node;
use crate::record::{cell_duty, Placement, Record, TaskSpec, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// The gang that has waited longest beyond its patience, and the workers kept for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    pub job: String,
    pub workers: BTreeSet<String>,
}

/// Members of a gang that are not done.
pub fn members(record: &Record, job: &str, gang: &str) -> Vec<u32> {
    record.jobs.get(job).map_or(Vec::new(), |j| {
        let all = j.spec.tasks.iter().zip(&j.tasks).enumerate();
        all.filter(|(_, (s, t))| s.gang == gang && t.state != TaskState::Done)
            .map(|(i, _)| i as u32)
            .collect()
    })
}

/// Whether the whole gang could start now, workers aside.
pub fn startable(record: &Record, at: u64, job: &str, gang: &str) -> bool {
    let m = members(record, job, gang);
    !m.is_empty()
        && m.iter()
            .all(|i| record.may_start(job, *i, false, at).is_ok())
}

/// The one gang that others make way for: every node derives the same from the same record, so two never wait for each other.
pub fn claim(record: &Record, at: u64, patience: u64) -> Option<Claim> {
    let waiting = record
        .open
        .iter()
        .filter_map(|id| record.jobs.get(id))
        .filter(|j| !j.cancel && at >= j.accepted + patience);
    let oldest = waiting
        .filter_map(|j| {
            let gangs: BTreeSet<&str> = j
                .spec
                .tasks
                .iter()
                .map(|t| t.gang.as_str())
                .filter(|g| !g.is_empty())
                .collect();
            gangs
                .into_iter()
                .find(|g| startable(record, at, &j.spec.id, g))
                .map(|g| (j.accepted, j, g.to_string()))
        })
        .min_by(|a, b| (a.0, &a.1.spec.id).cmp(&(b.0, &b.1.spec.id)))?;
    let (_, job, gang) = oldest;
    let mut tasks: Vec<&TaskSpec> = members(record, &job.spec.id, &gang)
        .iter()
        .map(|i| &job.spec.tasks[*i as usize])
        .collect();
    tasks.sort_by_key(|t| std::cmp::Reverse(t.room));
    let mut left: BTreeMap<&String, u32> = BTreeMap::new();
    for t in tasks {
        let fit = |k: &String| {
            record
                .workers
                .get(k)
                .is_some_and(|w| takes(record, k) && w.probation == 0 && w.facts.serves(t))
        };
        // Workers already kept first, then the roomiest.
        let kept = left
            .iter()
            .find(|(k, room)| fit(k) && **room >= t.room)
            .map(|(k, _)| *k);
        let of = kept.or_else(|| {
            record
                .workers
                .iter()
                .filter(|(k, w)| !left.contains_key(k) && fit(k) && w.facts.room >= t.room)
                .max_by_key(|(k, w)| (w.facts.room, std::cmp::Reverse(k.as_str())))
                .map(|(k, _)| k)
        })?;
        let room = left
            .entry(of)
            .or_insert_with(|| record.workers[of].facts.room);
        *room -= t.room;
    }
    Some(Claim {
        job: job.spec.id.clone(),
        workers: left.into_keys().cloned().collect(),
    })
}

fn takes(record: &Record, worker: &str) -> bool {
    record
        .workers
        .get(worker)
        .is_some_and(|w| !w.lost && !w.facts.leaving && record.desired.open(&w.facts.zone, worker))
}

impl Node {
    /// A placement of the whole gang by the record's view of the room, the offered worker first.
    pub(super) fn place_gang(
        &self,
        at: u64,
        (job, gang): (&str, &str),
        offered: &str,
        held: &BTreeMap<String, u32>,
    ) -> Option<Vec<Placement>> {
        let record = &self.record;
        if !startable(record, at, job, gang) {
            return None;
        }
        let j = record.jobs.get(job)?;
        let mut tasks = members(record, job, gang);
        tasks.sort_by_key(|i| std::cmp::Reverse(j.spec.tasks[*i as usize].room));
        let mut free: Vec<(&String, u32)> = record
            .workers
            .iter()
            .filter(|(k, _)| takes(record, k))
            .map(|(k, w)| {
                (
                    k,
                    w.facts
                        .room
                        .saturating_sub(w.used)
                        .saturating_sub(held.get(k).copied().unwrap_or(0)),
                )
            })
            .collect();
        free.sort_by_key(|(k, room)| (k.as_str() != offered, std::cmp::Reverse(*room)));
        let mut out = Vec::new();
        for i in tasks {
            let room = j.spec.tasks[i as usize].room;
            let at = free.iter().position(|(k, left)| {
                *left >= room && record.fits(job, &self.placement(k, i, false)).is_ok()
            })?;
            free[at].1 -= room;
            out.push(self.placement(free[at].0, i, false));
        }
        Some(out)
    }

    /// A placement under the worker's present incarnation and cell.
    pub(super) fn placement(&self, worker: &str, task: u32, copy: bool) -> Placement {
        let (incarnation, zone) = self
            .record
            .workers
            .get(worker)
            .map_or((0, ""), |w| (w.facts.incarnation, w.facts.zone.as_str()));
        let cell_epoch = self.record.holder(&cell_duty(zone)).map_or(0, |g| g.epoch);
        Placement {
            task,
            worker: worker.into(),
            incarnation,
            cell_epoch,
            copy,
        }
    }
}
