//! Probation: a worker that fails far more often than the others gets one attempt at a time until it has succeeded
//! several times in a row.

use crate::state::{AttemptState, ClusterState, Worker};

/// Number of most recent outcomes per worker that its failure rate is based on.
const MAX_RECENT_OUTCOMES: usize = 12;
/// Number of consecutive successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Minimum number of failures among the recent outcomes for probation.
const MIN_FAILURES: usize = 4;
/// Minimum failure rate for probation, as a divisor: at least one in this many recent outcomes is a failure.
const FAILURE_RATE_DIVISOR: usize = 3;
/// Minimum ratio of the worker's failure rate to that of all other workers for probation.
const FLEET_RATE_FACTOR: usize = 3;

/// Number of failures among the recent outcomes of one or more workers.
#[derive(Clone, Copy, Default)]
struct FailureRate {
    failures: usize,
    outcomes: usize,
}

impl FailureRate {
    fn of(worker: &Worker) -> Self {
        Self {
            failures: worker
                .recent_outcomes
                .iter()
                .filter(|succeeded| !**succeeded)
                .count(),
            outcomes: worker.recent_outcomes.len(),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            outcomes: self.outcomes + other.outcomes,
        }
    }

    fn is_much_worse_than(self, fleet: Self) -> bool {
        let threshold = FLEET_RATE_FACTOR * fleet.failures * self.outcomes;
        self.failures >= MIN_FAILURES
            && self.failures * FAILURE_RATE_DIVISOR >= self.outcomes
            && self.failures * fleet.outcomes.max(1) >= threshold
    }
}

impl ClusterState {
    /// Puts a worker on probation, and clears its recent outcomes.
    pub(super) fn start_probation(&mut self, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.probation = PROBATION_SUCCESSES;
            worker.recent_outcomes.clear();
        }
    }

    /// Records a success or failure of a worker, and starts, continues or ends its probation. Attempts that ended in any
    /// other state are ignored, since they are no evidence of the worker's health.
    pub(super) fn record_outcome(&mut self, name: &str, state: AttemptState) {
        let has_succeeded = match state {
            AttemptState::Succeeded => true,
            AttemptState::Failed => false,
            _ => return,
        };
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        let fleet = others.fold(FailureRate::default(), |sum, (_, worker)| {
            sum.plus(FailureRate::of(worker))
        });
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.recent_outcomes.push_back(has_succeeded);
        if worker.recent_outcomes.len() > MAX_RECENT_OUTCOMES {
            worker.recent_outcomes.pop_front();
        }
        if worker.probation > 0 {
            continue_probation(worker, has_succeeded);
        } else if FailureRate::of(worker).is_much_worse_than(fleet) {
            worker.probation = PROBATION_SUCCESSES;
        }
    }
}

fn continue_probation(worker: &mut Worker, has_succeeded: bool) {
    worker.probation = if has_succeeded {
        worker.probation - 1
    } else {
        PROBATION_SUCCESSES
    };
    if worker.probation == 0 {
        worker.recent_outcomes.clear();
    }
}
