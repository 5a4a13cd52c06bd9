//! All variants of the types that are stored by name in JSON and by number in packed data.

use landingdrift::state::{AttemptState, JobState, Outcome, Rejection, TaskState};
use serde::{Deserialize, Serialize};

/// One value of every variant. The matches below are exhaustive, so that a new variant doesn't compile until it is
/// numbered; it must be added to the lists as well.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Variants {
    pub outcomes: Vec<Outcome>,
    pub jobs: Vec<JobState>,
    pub tasks: Vec<TaskState>,
    #[serde(rename = "sends")]
    pub attempts: Vec<AttemptState>,
    #[serde(rename = "refusals")]
    pub rejections: Vec<Rejection>,
}

impl Variants {
    pub fn all() -> Self {
        Self {
            outcomes: vec![
                Outcome::Succeeded,
                Outcome::Failed,
                Outcome::Stopped,
                Outcome::NeverStarted,
                Outcome::Expired,
            ],
            jobs: vec![
                JobState::Waiting,
                JobState::Running,
                JobState::Cancelling,
                JobState::Done,
                JobState::Failed,
                JobState::Cancelled,
            ],
            tasks: vec![
                TaskState::Waiting,
                TaskState::Done,
                TaskState::Failed,
                TaskState::Cancelled,
            ],
            attempts: vec![
                AttemptState::Ordered,
                AttemptState::Running,
                AttemptState::Unsure,
                AttemptState::Succeeded,
                AttemptState::Failed,
                AttemptState::Stopped,
                AttemptState::NeverStarted,
                AttemptState::Expired,
            ],
            rejections: rejections(),
        }
    }

    /// The numbers of the variants in the order of the lists.
    pub fn numbers(&self) -> Vec<Vec<usize>> {
        vec![
            self.outcomes.iter().map(outcome).collect(),
            self.jobs.iter().map(job).collect(),
            self.tasks.iter().map(task).collect(),
            self.attempts.iter().map(attempt).collect(),
            self.rejections.iter().map(rejection).collect(),
        ]
    }
}

fn rejections() -> Vec<Rejection> {
    vec![
        Rejection::VersionConflict { current: 1 },
        Rejection::BodyMismatch,
        Rejection::Invalid {
            path: "p".into(),
            remedy: "r".into(),
        },
        Rejection::Unknown { what: "w".into() },
        Rejection::OverQuota { quota: 2 },
        Rejection::PreviouslyRejected,
        Rejection::DeadlinePassed,
        Rejection::TooManyChanges,
        Rejection::StaleLease,
        Rejection::Ended,
        Rejection::Cancelled,
        Rejection::NotDue,
        Rejection::Waiting,
        Rejection::InsufficientResources,
        Rejection::AlreadyRunning,
        Rejection::AttemptsExhausted,
        Rejection::UnsuitableWorker { why: "y".into() },
        Rejection::GangIncomplete,
        Rejection::SpeculationBudgetExhausted,
    ]
}

fn outcome(value: &Outcome) -> usize {
    match value {
        Outcome::Succeeded => 0,
        Outcome::Failed => 1,
        Outcome::Stopped => 2,
        Outcome::NeverStarted => 3,
        Outcome::Expired => 4,
    }
}

fn job(value: &JobState) -> usize {
    match value {
        JobState::Waiting => 0,
        JobState::Running => 1,
        JobState::Cancelling => 2,
        JobState::Done => 3,
        JobState::Failed => 4,
        JobState::Cancelled => 5,
    }
}

fn task(value: &TaskState) -> usize {
    match value {
        TaskState::Waiting => 0,
        TaskState::Done => 1,
        TaskState::Failed => 2,
        TaskState::Cancelled => 3,
    }
}

fn attempt(value: &AttemptState) -> usize {
    match value {
        AttemptState::Ordered => 0,
        AttemptState::Running => 1,
        AttemptState::Unsure => 2,
        AttemptState::Succeeded => 3,
        AttemptState::Failed => 4,
        AttemptState::Stopped => 5,
        AttemptState::NeverStarted => 6,
        AttemptState::Expired => 7,
    }
}

fn rejection(value: &Rejection) -> usize {
    match value {
        Rejection::VersionConflict { .. } => 0,
        Rejection::BodyMismatch => 1,
        Rejection::Invalid { .. } => 2,
        Rejection::Unknown { .. } => 3,
        Rejection::OverQuota { .. } => 4,
        Rejection::PreviouslyRejected => 5,
        Rejection::DeadlinePassed => 6,
        Rejection::TooManyChanges => 7,
        Rejection::StaleLease => 8,
        Rejection::Ended => 9,
        Rejection::Cancelled => 10,
        Rejection::NotDue => 11,
        Rejection::Waiting => 12,
        Rejection::InsufficientResources => 13,
        Rejection::AlreadyRunning => 14,
        Rejection::AttemptsExhausted => 15,
        Rejection::UnsuitableWorker { .. } => 16,
        Rejection::GangIncomplete => 17,
        Rejection::SpeculationBudgetExhausted => 18,
        // Not in the list, since it is never stored: the leader responds with it instead of appending an entry.
        Rejection::InsufficientCapacity => 19,
        // Added after the fixtures were written; `stored_data.rs` has its encoding.
        Rejection::Overtaken { .. } => 20,
    }
}
