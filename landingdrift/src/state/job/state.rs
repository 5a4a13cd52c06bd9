//! States of jobs, tasks and attempts.

use serde::{Deserialize, Serialize};

/// The state of a job, derived from its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum JobState {
    /// No attempt of it has been placed yet.
    #[default]
    Waiting,
    /// At least one attempt has been placed.
    Running,
    /// Cancelled, but attempts may still be running.
    Cancelling,
    /// All tasks are done.
    Done,
    /// A task has failed permanently, and no attempt is running.
    Failed,
    /// Cancelled, and no attempt is running.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TaskState {
    /// Not done; an attempt may be running.
    #[default]
    Waiting,
    /// An attempt of it has succeeded, or one of another member of its gang if they succeed together.
    Done,
    /// Failed permanently, usually after the maximum number of attempts.
    Failed,
    /// Its job was cancelled, or has failed because of another task.
    Cancelled,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum AttemptState {
    /// Placed, but not yet reported as running.
    #[default]
    Ordered,
    /// Reported as running by the worker.
    Running,
    /// Outcome unknown: the start order may have reached the worker, and the attempt may still be running or may have
    /// ended without a report.
    Unsure,
    /// Finished successfully.
    #[serde(rename = "well")]
    Succeeded,
    /// Failed, stopped without a request, cut off by a restart of its worker, or unsure for too long; the only end that
    /// counts towards the maximum number of attempts.
    #[serde(rename = "defect")]
    Failed,
    /// Stopped on request of the scheduler.
    Stopped,
    /// The worker reports that it has not started the attempt and never will.
    #[serde(rename = "void")]
    NeverStarted,
    /// Ended without a fault of its own: its lease expired, its worker is gone or its gang broke up.
    #[serde(rename = "lapsed")]
    Expired,
}

impl AttemptState {
    /// Whether the attempt may be running.
    pub fn live(self) -> bool {
        matches!(self, Self::Ordered | Self::Running | Self::Unsure)
    }
}
