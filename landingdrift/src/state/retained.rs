//! Tombstones of jobs, past configuration changes, and queue statistics.

use super::JobState;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Replaces a job after its retention period, so that a late copy of its submission is still recognised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Hash of the request body that submitted the job.
    pub hash: u64,
    /// Final state of the job.
    pub state: JobState,
    /// When the tombstone expires, in milliseconds since 1970 by the cluster clock.
    pub until: u64,
}

/// A configuration change that was put into force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity of the change, chosen by the client.
    pub change: String,
    /// SHA-256 of the requested change.
    pub digest: [u8; 32],
    /// Configuration version that the change produced.
    pub version: u64,
    /// Log index of its entry.
    #[serde(rename = "place")]
    pub log_index: u64,
    /// When it was applied, in milliseconds since 1970 by the cluster clock.
    pub at: u64,
}

/// Statistics of a queue, from which job sizes, speculation and the queue's promise are evaluated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueStats {
    /// Reported run times, in milliseconds, of the most recent attempts that completed a task, the latest last.
    pub durations: VecDeque<u32>,
    /// Estimated tail index β of the durations, refreshed periodically; 0 until there are enough samples.
    pub beta: f64,
    /// Median of `durations` in milliseconds; refreshed periodically, and with every duration while there are too few
    /// for `beta`.
    pub median: u32,
    /// Number of durations added so far, including those no longer kept.
    #[serde(rename = "seen")]
    pub durations_seen: u32,
    /// The most recent jobs that ended within the queue's window, except cancelled ones: when, and whether they were
    /// done within the promised time.
    #[serde(rename = "promises")]
    pub job_ends: VecDeque<(u64, bool)>,
    /// Number of jobs that have not ended.
    pub unfinished: u32,
    /// Total number of jobs that were done within the promised time, or at any time if there was no promise.
    pub kept: u64,
    /// Total number of jobs that failed or missed the promise.
    pub missed: u64,
    /// Number of attempts that may be running.
    pub running: u32,
    /// Number of speculative copies among the running attempts.
    pub copies: u32,
    /// Total number of speculative copies started.
    #[serde(rename = "copies_ever")]
    pub copies_started: u64,
    /// Total number of speculative copies that succeeded before the original.
    pub copies_won: u64,
}
