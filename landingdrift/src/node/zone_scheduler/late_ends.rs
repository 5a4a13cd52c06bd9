//! Ends that workers report of runs that the cluster state does not show as live: what the two say of the run.

use super::Heartbeat;
use crate::node::Node;
use crate::state::{AttemptState, EndReport, Outcome, RunName};

impl Node {
    /// Logs and counts the reported ends that the cluster state has no attempt for, or that contradict it.
    pub(super) fn observe_late_ends(&mut self, heartbeat: &Heartbeat) {
        let worker = &heartbeat.info.worker;
        for end in heartbeat.ended.iter().filter(|end| end.no == 0) {
            let Some(name) = &end.name else { continue };
            let known = self.attempt_by_name(worker, name);
            match known.map(|attempt| attempt.state) {
                None => {
                    self.count("ends_of_unknown_runs", 1);
                    self.log_late_end(worker, name, end, "no attempt of it is known");
                }
                Some(state) if !agrees(state, end.outcome) => {
                    self.count("ends_contradicting_state", 1);
                    self.log_late_end(worker, name, end, &format!("it is known as {state:?}"));
                }
                Some(_) => {}
            }
        }
    }

    fn log_late_end(&mut self, worker: &str, name: &RunName, end: &EndReport, known: &str) {
        let RunName { job, task, run } = name;
        let outcome = end.outcome;
        self.log(format!(
            "worker {worker} reports run {run} of {job}.{task} as {outcome:?}, but {known}"
        ));
    }
}

/// Whether a reported outcome is what the cluster state has of an attempt.
fn agrees(state: AttemptState, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Succeeded => state == AttemptState::Succeeded,
        Outcome::Failed => state == AttemptState::Failed,
        Outcome::Stopped => matches!(state, AttemptState::Stopped | AttemptState::Failed),
        // Nothing more is known of such an end than that it was no fault of the task.
        Outcome::NeverStarted | Outcome::Expired => true,
    }
}
