//! Metrics and log messages about reported ends of runs that are no longer live in the cluster state.

use super::Heartbeat;
use crate::node::Node;
use crate::state::{AttemptState, EndReport, Outcome, RunName};

impl Node {
    /// Logs and counts the reported ends whose attempt is unknown, or whose outcome contradicts the cluster state.
    pub(super) fn log_ends_of_dead_runs(&mut self, heartbeat: &Heartbeat) {
        let worker = &heartbeat.info.worker;
        // `resolve_run_names` sets number 0 if the run has no live attempt.
        for end in heartbeat.ended.iter().filter(|end| end.no == 0) {
            let Some(name) = &end.name else { continue };
            let known = self.attempt_by_name(worker, name);
            match known.map(|attempt| attempt.state) {
                None => {
                    self.count("ends_of_unknown_runs", 1);
                    self.log_late_end(worker, name, end, "there is no such attempt");
                }
                Some(state) if !is_consistent(state, end.outcome) => {
                    self.count("ends_contradicting_state", 1);
                    self.log_late_end(worker, name, end, &format!("its state is {state:?}"));
                }
                Some(_) => {}
            }
        }
    }

    fn log_late_end(&mut self, worker: &str, name: &RunName, end: &EndReport, known: &str) {
        let RunName { job, task, run } = name;
        let outcome = end.outcome;
        self.log(format!(
            "worker {worker} reported outcome {outcome:?} for run {run} of {job}.{task}, but {known}"
        ));
    }
}

/// Whether a reported outcome is consistent with the state of the attempt.
fn is_consistent(state: AttemptState, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Succeeded => state == AttemptState::Succeeded,
        Outcome::Failed => state == AttemptState::Failed,
        Outcome::Stopped => matches!(state, AttemptState::Stopped | AttemptState::Failed),
        // These outcomes say only that the end was not the task's fault.
        Outcome::NeverStarted | Outcome::Expired => true,
    }
}
