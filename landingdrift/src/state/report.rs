//! Placements of tasks and reports of ended attempts, as nodes propose them.

use serde::{Deserialize, Serialize};

/// A task placed on a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Index of the task in its job.
    pub task: u32,
    /// Name of the worker that it is placed on.
    pub worker: String,
    /// Incarnation of the worker that offered the slot.
    pub incarnation: u64,
    /// Epoch of the zone lease under which the slot was offered.
    #[serde(rename = "cell_epoch")]
    pub zone_epoch: u64,
    /// Whether this is a speculative copy of a running attempt.
    pub copy: bool,
}

/// How an attempt ended, as reported by its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Outcome {
    /// Finished successfully.
    #[serde(rename = "well")]
    Succeeded,
    /// Failed, through a fault of its own or of the worker.
    #[default]
    #[serde(rename = "defect")]
    Failed,
    /// Killed, normally on request of the scheduler.
    Stopped,
    /// Not started, and never will be.
    #[serde(rename = "void")]
    NeverStarted,
    /// Ended without a fault of its own: its lease expired, or its gang broke up.
    #[serde(rename = "lapsed")]
    Expired,
}

/// Identifies a run by job id, task name and run number, for workers that do not store attempt numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RunName {
    /// Id of the job.
    pub job: String,
    /// Name of the task in its job.
    pub task: String,
    /// Number of the run, see [`super::Attempt::run`].
    pub run: u32,
}

/// Report of an ended attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndReport {
    /// Number of the attempt; 0 if `name` is given instead.
    #[serde(default)]
    pub no: u64,
    /// Name of the run, as an alternative to `no`.
    #[serde(default)]
    pub name: Option<RunName>,
    /// How it ended.
    pub outcome: Outcome,
    /// Run time in milliseconds; 0 if unknown.
    #[serde(default)]
    pub ran_ms: u64,
    /// The worker's explanation of the end, for people to read.
    #[serde(default)]
    pub note: String,
    /// Newest checkpoint of the run; empty for none.
    #[serde(default)]
    pub checkpoint: String,
}
