//! Gang scheduling: all tasks of a gang are placed together, by one log entry.

use super::Node;
use crate::state::{zone_lease, ClusterState, Job, Placement, Resources, TaskState, Worker};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Workers that are kept free for an overdue gang of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    pub job: String,
    pub workers: BTreeSet<String>,
}

/// An overdue gang that could start if there were free workers.
struct WaitingGang<'a> {
    waiting_since: u64,
    job: &'a Job,
    /// Its first unfinished member.
    leader: u32,
}

/// A worker that is kept free for a claim.
struct ClaimedWorker {
    free: Resources,
    /// Number of gang members that it is kept free for.
    members: u32,
}

/// A worker with the resources that are free on it.
#[derive(Clone, Copy)]
struct FreeWorker<'a> {
    name: &'a str,
    rack: &'a str,
    free: Resources,
}

/// The unfinished members of a task's gang.
fn unfinished_members(job: &Job, task: u32) -> Vec<u32> {
    let mut members = Vec::new();
    for member in job.gang_members(task as usize) {
        if job.tasks[member].state != TaskState::Done {
            members.push(member as u32);
        }
    }
    members
}

/// The unfinished members in order of decreasing CPU needs, since the largest are the hardest to place.
fn largest_members_first(job: &Job, task: u32) -> Vec<u32> {
    let mut members = unfinished_members(job, task);
    members.sort_by_key(|member| Reverse(job.task_spec(*member as usize).cpu));
    members
}

/// Whether the whole gang could start now if there were free workers.
fn is_startable(state: &ClusterState, at: u64, job: &Job, task: u32) -> bool {
    let members = unfinished_members(job, task);
    let may_start = |member: &u32| state.check_start(&job.spec.id, *member, false, at).is_ok();
    !members.is_empty() && members.iter().all(may_start)
}

/// Selects the one gang that workers are kept free for: the longest waiting one that will fit once all tasks except
/// long-running ones have ended.
///
/// All nodes derive the same claim from the same cluster state, so that two gangs can't block each other.
pub fn claim(state: &ClusterState, at: u64, min_wait_ms: u64) -> Option<Claim> {
    let open = state
        .unfinished_jobs
        .iter()
        .filter_map(|id| state.jobs.get(id));
    let waiting = open.filter_map(|job| waiting_gang(state, at, min_wait_ms, job));
    let mut waiting: Vec<WaitingGang> = waiting.collect();
    if waiting.is_empty() {
        return None;
    }
    waiting.sort_by_key(|gang| (gang.waiting_since, &gang.job.spec.id));
    let long_running_use = LongRunningUse::new(state);
    waiting.into_iter().find_map(|gang| {
        let workers = claimed_workers(state, &long_running_use, gang.job, gang.leader)?;
        let job = gang.job.spec.id.clone();
        Some(Claim { job, workers })
    })
}

/// The resources used by long-running tasks on each worker; waiting does not free them.
struct LongRunningUse<'a>(BTreeMap<&'a str, Resources>);

impl<'a> LongRunningUse<'a> {
    fn new(state: &'a ClusterState) -> Self {
        let mut by_worker: BTreeMap<&str, Resources> = BTreeMap::new();
        for (attempt_no, (_, task)) in &state.live {
            if !state.is_long_running(*attempt_no) {
                continue;
            }
            if let Some((job, _, attempt)) = state.attempt(*attempt_no) {
                let needs = job.task_spec(*task as usize).needs();
                let used = by_worker.entry(&attempt.worker).or_default();
                *used = used.plus(needs);
            }
        }
        Self(by_worker)
    }

    /// The resources of a worker that are not used by long-running tasks, and so are free or will become free.
    fn reclaimable(&self, name: &str, worker: &Worker) -> Resources {
        let used = self.0.get(name).copied().unwrap_or_default();
        worker.info.total_resources().minus(used)
    }
}

/// A job's first startable gang that has waited for at least `min_wait_ms`.
fn waiting_gang<'a>(
    state: &ClusterState,
    at: u64,
    min_wait_ms: u64,
    job: &'a Job,
) -> Option<WaitingGang<'a>> {
    if job.cancel || at < job.accepted + min_wait_ms {
        return None;
    }
    for task in 0..job.tasks.len() {
        let waits = job.in_gang(task) && job.tasks[task].state == TaskState::Waiting;
        let is_overdue = at >= job.task_due(task) + min_wait_ms;
        if waits && is_overdue && job.leads_gang(task) && is_startable(state, at, job, task as u32)
        {
            return Some(WaitingGang {
                waiting_since: job.accepted.max(job.task_due(task)),
                job,
                leader: task as u32,
            });
        }
    }
    None
}

/// Selects workers that have room for a gang next to their long-running tasks; none if there are too few.
fn claimed_workers(
    state: &ClusterState,
    long_running_use: &LongRunningUse,
    job: &Job,
    leader: u32,
) -> Option<BTreeSet<String>> {
    let mut claimed: BTreeMap<&String, ClaimedWorker> = BTreeMap::new();
    for member in largest_members_first(job, leader) {
        let spec = job.task_spec(member as usize);
        let is_eligible = |name: &str, worker: &Worker| {
            state.accepts_new_tasks(name, worker)
                && worker.probation == 0
                && worker.info.serves(spec)
        };
        // Prefer workers that are already claimed, then the largest.
        let reused = claimed.iter().find(|(name, worker)| {
            let within_anti_affinity =
                spec.anti_affinity == 0 || worker.members < spec.anti_affinity;
            let is_eligible = is_eligible(name, &state.workers[**name]);
            is_eligible && within_anti_affinity && worker.free.covers(spec.needs())
        });
        let reused = reused.map(|(name, _)| *name);
        let chosen = match reused {
            Some(name) => name,
            None => {
                let unclaimed = state.workers.iter().filter(|(name, worker)| {
                    !claimed.contains_key(name)
                        && is_eligible(name, worker)
                        && long_running_use
                            .reclaimable(name, worker)
                            .covers(spec.needs())
                });
                let largest =
                    unclaimed.max_by_key(|(name, worker)| (worker.info.cpu, Reverse(*name)));
                largest?.0
            }
        };
        let worker = claimed.entry(chosen).or_insert_with(|| ClaimedWorker {
            free: long_running_use.reclaimable(chosen, &state.workers[chosen]),
            members: 0,
        });
        worker.free = worker.free.minus(spec.needs());
        worker.members += 1;
    }
    Some(claimed.into_keys().cloned().collect())
}

impl Node {
    /// Places a whole gang on free workers, preferring the offered one. `pending_resources` holds, by worker, the
    /// resources of pending starts, which are not in the cluster state yet.
    ///
    /// A same-rack gang is placed on a single rack if one has the resources now, and is spread over racks only after it
    /// has waited for the reservation interval.
    pub(super) fn place_gang(
        &self,
        at: u64,
        job: &Job,
        task: u32,
        offered: &str,
        pending_resources: &BTreeMap<String, Resources>,
    ) -> Option<Vec<Placement>> {
        if !is_startable(&self.state, at, job, task) {
            return None;
        }
        let members = largest_members_first(job, task);
        let spec = job.task_spec(task as usize);
        let free = self.free_workers(&spec.near, offered, pending_resources);
        if !spec.same_rack {
            return self.place_first_fit(at, job, &members, free);
        }
        let mut racks: Vec<&str> = Vec::new();
        for worker in &free {
            if !worker.rack.is_empty() && !racks.contains(&worker.rack) {
                racks.push(worker.rack);
            }
        }
        for rack in racks {
            let on_rack = free.iter().filter(|worker| worker.rack == rack);
            let placements = self.place_first_fit(at, job, &members, on_rack.copied().collect());
            if placements.is_some() {
                return placements;
            }
        }
        let waiting_since = job.accepted.max(job.task_due(task as usize));
        if at >= waiting_since + self.settings.bounds.reservation_interval() {
            self.place_first_fit(at, job, &members, free)
        } else {
            None
        }
    }

    /// The workers that accept new work: those near the location first, then the offered one, then those with the most
    /// free CPU.
    fn free_workers(
        &self,
        near: &str,
        offered: &str,
        pending_resources: &BTreeMap<String, Resources>,
    ) -> Vec<FreeWorker<'_>> {
        let mut workers: Vec<FreeWorker> = Vec::new();
        for (name, worker) in &self.state.workers {
            if !self.state.accepts_new_tasks(name, worker) {
                continue;
            }
            let taken = worker
                .used
                .plus(pending_resources.get(name).copied().unwrap_or_default());
            workers.push(FreeWorker {
                name,
                rack: &worker.info.rack,
                free: worker.info.total_resources().minus(taken),
            });
        }
        workers.sort_by_key(|worker| {
            let is_far = !near.is_empty() && near != worker.rack && near != worker.name;
            (is_far, worker.name != offered, Reverse(worker.free.cpu))
        });
        workers
    }

    /// Places each task on the first worker that it fits on; none if some task fits nowhere.
    fn place_first_fit(
        &self,
        at: u64,
        job: &Job,
        tasks: &[u32],
        mut workers: Vec<FreeWorker>,
    ) -> Option<Vec<Placement>> {
        let mut placements: Vec<Placement> = Vec::new();
        for task in tasks {
            let index = *task as usize;
            let spec = job.task_spec(index);
            let chosen = workers.iter_mut().find(|worker| {
                if !worker.free.covers(spec.needs()) {
                    return false;
                }
                let placed_here = placements
                    .iter()
                    .filter(|p| p.worker == worker.name)
                    .count();
                let attempts_on_worker =
                    placed_here as u32 + job.step_attempts_on(index, worker.name);
                let within_anti_affinity =
                    spec.anti_affinity == 0 || attempts_on_worker < spec.anti_affinity;
                let placement = self.placement(worker.name, *task, false);
                within_anti_affinity
                    && self
                        .state
                        .check_placement(&job.spec.id, &placement, at)
                        .is_ok()
            })?;
            chosen.free = chosen.free.minus(spec.needs());
            placements.push(self.placement(chosen.name, *task, false));
        }
        Some(placements)
    }

    /// A placement with the worker's current incarnation and zone epoch.
    pub(super) fn placement(&self, worker: &str, task: u32, copy: bool) -> Placement {
        let known = self.state.workers.get(worker);
        let incarnation = known.map_or(0, |worker| worker.info.incarnation);
        let zone = known.map_or("", |worker| worker.info.zone.as_str());
        let lease = self.state.current_lease(&zone_lease(zone));
        Placement {
            task,
            worker: worker.into(),
            incarnation,
            zone_epoch: lease.map_or(0, |lease| lease.epoch),
            copy,
        }
    }
}
