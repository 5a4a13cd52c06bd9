//! Starts that were proposed and that the watch does not show yet.

use crate::sans_io::Now;
use crate::state::{Placement, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// A start that was proposed and that the watch does not show yet.
pub(super) struct PendingStart {
    pub(super) job: String,
    pub(super) placements: Vec<Placement>,
    /// The resources that each placement takes, in the same order.
    pub(super) reserved_resources: Vec<Resources>,
    /// When it is given up, in monotonic milliseconds.
    pub(super) until: u64,
    /// Where the log has it; 0 until that is known.
    pub(super) log_index: u64,
}

impl PendingStart {
    /// Whether the cluster state up to `applied_index` does not show it yet.
    fn is_pending(&self, now: Now, applied_index: u64) -> bool {
        let is_applied = self.log_index != 0 && self.log_index <= applied_index;
        now.mono < self.until && !is_applied
    }
}

/// The pending starts by the numbers of their proposals. They are asked for by job for every open job, so that the numbers are
/// kept by job as well.
#[derive(Default)]
pub(super) struct PendingStarts {
    by_proposal: BTreeMap<u64, PendingStart>,
    /// The numbers of the proposals of each job; none is empty.
    by_job: BTreeMap<String, BTreeSet<u64>>,
}

impl PendingStarts {
    /// Adds a start under the number of its proposal.
    pub(super) fn insert(&mut self, proposal: u64, start: PendingStart) {
        self.by_job
            .entry(start.job.clone())
            .or_default()
            .insert(proposal);
        self.by_proposal.insert(proposal, start);
    }

    /// Removes a start whose proposal has an outcome.
    pub(super) fn remove(&mut self, proposal: u64) {
        let Some(start) = self.by_proposal.remove(&proposal) else {
            return;
        };
        let Some(of_job) = self.by_job.get_mut(&start.job) else {
            return;
        };
        of_job.remove(&proposal);
        if of_job.is_empty() {
            self.by_job.remove(&start.job);
        }
    }

    /// Notes where the log has a start.
    pub(super) fn set_log_index(&mut self, proposal: u64, log_index: u64) {
        if let Some(start) = self.by_proposal.get_mut(&proposal) {
            start.log_index = log_index;
        }
    }

    /// Drops the starts that the cluster state up to `applied_index` shows, and those that are given up.
    pub(super) fn drop_done(&mut self, now: Now, applied_index: u64) {
        let all = self.by_proposal.iter();
        let done = all.filter(|(_, start)| !start.is_pending(now, applied_index));
        let done: Vec<u64> = done.map(|(proposal, _)| *proposal).collect();
        for proposal in done {
            self.remove(proposal);
        }
    }

    /// All of them, in the order of their proposals.
    pub(super) fn all(&self) -> impl Iterator<Item = &PendingStart> {
        self.by_proposal.values()
    }

    /// The placements of a job's starts, in the order of their proposals.
    pub(super) fn placements_of(&self, job: &str) -> impl Iterator<Item = &Placement> {
        let proposals = self.by_job.get(job).into_iter().flatten();
        let starts = proposals.filter_map(|proposal| self.by_proposal.get(proposal));
        starts.flat_map(|start| &start.placements)
    }
}
