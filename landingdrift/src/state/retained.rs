//! What is kept of things that have ended: jobs, changes of configuration, the history of a queue.

use super::JobState;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What is left of a job after it was retained for its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The hash of what the client sent.
    pub hash: u64,
    /// How the job ended.
    pub state: JobState,
    /// Until when it is kept, in milliseconds since 1970 by the cluster clock.
    pub until: u64,
}

/// A change of configuration that was put into force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its identity.
    pub change: String,
    /// The SHA-256 of what was asked for.
    pub digest: [u8; 32],
    /// The version that it became.
    pub version: u64,
    /// The index of its entry.
    #[serde(rename = "place")]
    pub log_index: u64,
    /// When it was applied, in milliseconds since 1970 by the cluster clock.
    pub at: u64,
}

/// The history of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueStats {
    /// Durations of successful attempts in milliseconds, the latest last.
    pub durations: VecDeque<u32>,
    /// The tail index of the durations, refreshed when some have come; 0 before there are enough.
    pub beta: f64,
    /// The median of the durations in milliseconds, refreshed likewise.
    pub median: u32,
    /// Successful attempts so far.
    pub seen: u32,
    /// Ends of jobs within the window: when, and whether the promise was kept.
    pub promises: VecDeque<(u64, bool)>,
    /// Jobs that have not ended.
    pub unfinished: u32,
    /// Jobs that kept the promise, ever.
    pub kept: u64,
    /// Jobs that missed it, ever.
    pub missed: u64,
    /// Attempts that may be running.
    pub running: u32,
    /// Speculative copies among them.
    pub copies: u32,
    /// Speculative copies, ever.
    pub copies_ever: u64,
    /// Speculative copies that ended before the original, ever.
    pub copies_won: u64,
}
