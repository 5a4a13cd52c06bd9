//! Reported ends of runs that are not live by the cluster state, compared with the state that is recorded there.

use super::Heartbeat;
use crate::node::Node;
use crate::state::{AttemptState, EndReport, Outcome, RunName};

impl Node {
    /// Logs and counts the reported ends whose attempt is unknown, or whose outcome contradicts the cluster state.
    pub(super) fn observe_late_ends(&mut self, heartbeat: &Heartbeat) {
        let worker = &heartbeat.info.worker;
        for end in heartbeat.ended.iter().filter(|end| end.no == 0) {
            let Some(name) = &end.name else { continue };
            let known = self.attempt_by_name(worker, name);
            match known.map(|attempt| attempt.state) {
                None => {
                    self.count("ends_of_unknown_runs", 1);
                    self.log_late_end(worker, name, end, "there is no such attempt");
                }
                Some(state) if !agrees(state, end.outcome) => {
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
fn agrees(state: AttemptState, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Succeeded => state == AttemptState::Succeeded,
        Outcome::Failed => state == AttemptState::Failed,
        Outcome::Stopped => matches!(state, AttemptState::Stopped | AttemptState::Failed),
        // These outcomes say only that the end was not the task's fault.
        Outcome::NeverStarted | Outcome::Expired => true,
    }
}
