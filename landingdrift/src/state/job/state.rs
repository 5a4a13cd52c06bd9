//! States of jobs, tasks and attempts.

use serde::{Deserialize, Serialize};

/// What has become of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum JobState {
    /// Nothing of it has started.
    #[default]
    Waiting,
    /// Something of it has started.
    Running,
    /// It is cancelled, and something of it may still run.
    Cancelling,
    /// All tasks are done.
    Done,
    /// A task has failed for good.
    Failed,
    /// It is cancelled, and nothing of it runs.
    Cancelled,
}

impl JobState {
    /// Whether nothing more will happen to the job.
    pub fn ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// What has become of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TaskState {
    /// It is not done; an attempt may be running.
    #[default]
    Waiting,
    /// It is done.
    Done,
    /// It has failed as often as it may.
    Failed,
    /// Its job was cancelled, or has failed elsewhere.
    Cancelled,
}

/// What has become of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum AttemptState {
    /// Placed; the worker has not said that it started.
    #[default]
    Ordered,
    /// The worker has said that it started.
    Running,
    /// Its start may have been delivered, and its outcome is unknown.
    Unsure,
    /// It has done its work.
    #[serde(rename = "well")]
    Succeeded,
    /// It failed.
    #[serde(rename = "defect")]
    Failed,
    /// Killed on our order; it is not running any more.
    Stopped,
    /// The worker says it never started it and never will.
    #[serde(rename = "void")]
    NeverStarted,
    /// Its lease ran out, its worker is gone or its gang broke up: dead, through no fault of its own.
    #[serde(rename = "lapsed")]
    Expired,
}

impl AttemptState {
    /// Whether the attempt may be running.
    pub fn live(self) -> bool {
        matches!(self, Self::Ordered | Self::Running | Self::Unsure)
    }
}
