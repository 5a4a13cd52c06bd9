//! States of jobs, tasks and sends.

use serde::{Deserialize, Serialize};

/// What has become of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum JobState {
    #[default]
    Waiting,
    Running,
    Cancelling,
    Done,
    Failed,
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
    #[default]
    Waiting,
    Done,
    Failed,
    Cancelled,
}

/// What has become of a attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum AttemptState {
    /// In the cluster state; the worker has not said that it started.
    #[default]
    Ordered,
    Running,
    /// Its start may have been delivered and its end is unknown.
    Unsure,
    #[serde(rename = "well")]
    Succeeded,
    #[serde(rename = "defect")]
    Failed,
    /// Killed on our order; it is not running any more.
    Stopped,
    /// The worker says it never started it and never will.
    #[serde(rename = "void")]
    NeverStarted,
    /// Its hold passed, its worker is gone or its gang broke up: dead, through no fault of its own.
    #[serde(rename = "lapsed")]
    Expired,
}

impl AttemptState {
    /// Whether the attempt may be running.
    pub fn live(self) -> bool {
        matches!(self, Self::Ordered | Self::Running | Self::Unsure)
    }
}
