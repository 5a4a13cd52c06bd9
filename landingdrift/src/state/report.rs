//! What nodes report to the cluster state: placements, and the ends of attempts.

use serde::{Deserialize, Serialize};

/// A task placed on a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The number of the task in its job.
    pub task: u32,
    /// The worker it is placed on, and the incarnation that was offered.
    pub worker: String,
    /// The incarnation of the worker that was offered.
    pub incarnation: u64,
    /// The epoch of the zone's holder that has offered the slot.
    #[serde(rename = "cell_epoch")]
    pub zone_epoch: u64,
    /// A speculative copy beside a running attempt.
    pub copy: bool,
}

/// How an attempt ended, by its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Outcome {
    /// It has done its work.
    #[serde(rename = "well")]
    Succeeded,
    /// It failed, through its own fault or the worker's.
    #[default]
    #[serde(rename = "defect")]
    Failed,
    /// It was killed.
    Stopped,
    /// Never started, and never will be.
    #[serde(rename = "void")]
    NeverStarted,
    /// Dead through no fault of its own: its lease ran out, or its gang broke up.
    #[serde(rename = "lapsed")]
    Expired,
}

/// A run by its names, for workers that do not keep the numbers of attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RunName {
    /// The id of the job.
    pub job: String,
    /// The name of the task in its job.
    pub task: String,
    /// The number of the run, see [`super::Attempt::run`].
    pub run: u32,
}

/// The end of an attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndReport {
    /// The number of the attempt.
    #[serde(default)]
    pub no: u64,
    /// In place of the number.
    #[serde(default)]
    pub name: Option<RunName>,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it ran, in milliseconds; 0 where that isn't known.
    #[serde(default)]
    pub ran_ms: u64,
    /// What the worker says of the end, for people.
    #[serde(default)]
    pub note: String,
    /// The newest checkpoint of the run; empty for none.
    #[serde(default)]
    pub checkpoint: String,
}
