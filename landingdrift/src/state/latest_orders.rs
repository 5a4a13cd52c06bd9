//! The log indices of the latest orders, by which an older order on the same subject is recognized.
//!
//! Orders on one subject may travel through different nodes, and one that waits, for example for a new leader, may enter the
//! log after a later one was acknowledged. Every order carries the log index that its node knew when it received the order:
//! whatever was acknowledged before has an index up to it. So an order is older than an applied one, or concurrent with it,
//! if the index of the applied one is higher.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of subjects of one kind. When it is exceeded, the older half is dropped.
pub const MAX_SUBJECTS: usize = 4096;

/// The log indices of the latest orders on subjects of one kind, such as zones.
///
/// Subjects are dropped by number only, never by time. An order that was received before a dropped one was applied counts as
/// overtaken: it is rejected, and its caller may send it again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatestOrders {
    /// By subject, the log index of the latest order on it.
    indices: BTreeMap<String, u64>,
    /// The highest index that was dropped; 0 if none was.
    dropped_through: u64,
}

impl LatestOrders {
    /// Records that an order on a subject was applied at a log index.
    pub fn record(&mut self, subject: &str, index: u64) {
        self.indices.insert(subject.into(), index);
        if self.indices.len() > MAX_SUBJECTS {
            self.drop_older_half();
        }
    }

    /// Whether an order on the subject may have been applied after `seen`, the log index known at the receipt of another.
    pub fn is_overtaken(&self, subject: &str, seen: u64) -> bool {
        let latest = self.indices.get(subject);
        latest.is_some_and(|index| *index > seen) || self.dropped_through > seen
    }

    /// Whether an order on the subject is remembered.
    pub fn contains(&self, subject: &str) -> bool {
        self.indices.contains_key(subject)
    }

    /// The number of subjects.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether there are no subjects.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    fn drop_older_half(&mut self) {
        let mut indices: Vec<u64> = self.indices.values().copied().collect();
        indices.sort_unstable();
        let median = indices[indices.len() / 2];
        self.indices.retain(|_, index| *index > median);
        self.dropped_through = self.dropped_through.max(median);
    }
}

/// The latest orders on all subjects for which their sequence matters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderSequence {
    /// Evacuations and their ends, by zone.
    pub zones: LatestOrders,
    /// By job id, the cancellation that found no such job or, if the job was submitted again after it, that submission.
    pub jobs: LatestOrders,
    /// Resolutions of tasks whose outcome was unknown, by `JOB/TASK`.
    pub tasks: LatestOrders,
}

impl OrderSequence {
    /// Whether nothing has been recorded.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The subject of orders on a task of a job. Neither name contains a slash.
pub fn task_subject(job: &str, task: &str) -> String {
    format!("{job}/{task}")
}
