//! Reported runs for which this node's copy of the cluster state has no attempt.
//!
//! The copy may be stale: another holder may have started the run under a lease that this node doesn't know of yet. A
//! missing attempt is conclusive only once the copy contains everything that was committed when the run was first
//! reported. Until then the run's end is not acknowledged, since the worker would forget it, and the run is not ordered
//! to stop.

use super::Heartbeat;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Attempt, RunName};
use std::collections::BTreeMap;

/// Unknown runs, each with the time of its first report in monotonic milliseconds.
#[derive(Default)]
pub(super) struct UnknownRuns(BTreeMap<RunName, u64>);

impl UnknownRuns {
    /// Whether it is certain that a run has no attempt: it was first reported no later than `complete_at`, up to which
    /// the copy is known to be complete.
    fn is_missing(&self, name: &RunName, complete_at: u64) -> bool {
        let first_reported_at = self.0.get(name);
        first_reported_at.is_some_and(|reported_at| *reported_at <= complete_at)
    }

    /// Replaces the set of unknown runs, keeping the time of the first report of those that were in it.
    fn replace(&mut self, names: Vec<RunName>, now: Now) {
        let mut earlier = std::mem::take(&mut self.0);
        for name in names {
            let first_reported_at = earlier.remove(&name).unwrap_or(now.mono);
            self.0.insert(name, first_reported_at);
        }
    }
}

impl Node {
    /// Updates the unknown runs of a worker from its heartbeat.
    pub(super) fn track_unknown_runs(&mut self, now: Now, heartbeat: &Heartbeat) {
        let info = &heartbeat.info;
        // Live runs have their attempt numbers by now.
        let running = heartbeat.running.iter().filter(|run| run.attempt == 0);
        let running = running.map(|run| &run.name);
        let ended = heartbeat.ended.iter().filter(|end| end.no == 0);
        let ended = ended.map(|end| &end.name);
        let mut unknown: Vec<RunName> = running.chain(ended).flatten().cloned().collect();
        unknown.retain(|name| self.attempt_by_name(&info.worker, name).is_none());
        if let Some(worker) = self.worker_mut(&info.zone, &info.worker) {
            worker.unknown_runs.replace(unknown, now);
        }
    }

    /// Whether it is certain according to the cluster state that a reported run is over: its attempt has ended, or
    /// never existed.
    pub(super) fn is_run_over(&self, heartbeat: &Heartbeat, name: &RunName) -> bool {
        let info = &heartbeat.info;
        if let Some(attempt) = self.attempt_by_name(&info.worker, name) {
            return !attempt.state.live();
        }
        let complete_at = self.watch.fresh_at;
        let worker = self.worker(&info.zone, &info.worker);
        worker.is_some_and(|worker| worker.unknown_runs.is_missing(name, complete_at))
    }

    /// The attempt with the given run name on a worker, live or not.
    pub(super) fn attempt_by_name(&self, worker: &str, name: &RunName) -> Option<&Attempt> {
        let job = self.state.jobs.get(&name.job)?;
        let task = job.tasks.get(job.find_task(&name.task)?)?;
        let mut attempts = task.attempts.iter();
        attempts.find(|attempt| attempt.run == name.run && attempt.worker == worker)
    }
}
