//! The scheduler of the queues whose leases this node holds. It is the scheduler side of the Hopper algorithm.
//!
//! - `reservations` places reservations with the holders of zone schedulers,
//! - `offers` answers the offers that come back,
//! - `placement` selects the tasks to start in an offered slot,
//! - `demand` derives the number of slots that a job could use now,
//! - `sizes` derives the sizes of jobs, and ranks them.

mod demand;
mod offers;
mod placement;
mod reservations;
mod sizes;

use super::gangs;
use super::Node;
use crate::sans_io::Now;
use crate::state::{queue_lease, Job, Placement, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Reservation intervals that a gang waits before workers are kept free for it; its reservations have been placed twice
/// by then.
const GANG_MIN_WAIT_INTERVALS: u64 = 2;

/// The scheduler's local state, which is not in the cluster state. Times are in monotonic milliseconds.
#[derive(Default)]
pub struct Scheduler {
    /// Jobs whose demand may have changed since it was last derived.
    pub dirty: BTreeSet<String>,
    pub all_dirty: bool,
    /// The last reservations placed for each job.
    reserved: BTreeMap<String, LastReserved>,
    /// Proposed starts that are not in the cluster state yet, by proposal number.
    pending: BTreeMap<u64, PendingStart>,
    claim: Option<gangs::Claim>,
    /// Unsatisfied jobs in order of size, as of the last full pass.
    ranked: Vec<String>,
    /// Number of runnable jobs, which share the slots, as of the last full pass.
    runnable_jobs: usize,
    /// Time of the next recomputation of the fields above.
    next_full_pass: u64,
}

/// The time at which reservations for a job were last placed, and the number of tasks that they cover.
#[derive(Clone, Copy, Default)]
struct LastReserved {
    at: u64,
    tasks: u32,
}

/// A proposed start that is not in the cluster state yet.
struct PendingStart {
    job: String,
    placements: Vec<Placement>,
    /// The resources that each placement takes, in the same order.
    reserved_resources: Vec<Resources>,
    until: u64,
    /// The log index of the start; 0 until it is known.
    log_index: u64,
}

impl PendingStart {
    /// Whether the start has neither timed out nor been applied by log index `applied_index`.
    fn is_pending(&self, now: Now, applied_index: u64) -> bool {
        let is_applied = self.log_index != 0 && self.log_index <= applied_index;
        now.mono < self.until && !is_applied
    }
}

impl Scheduler {
    /// Makes all reservations due at once, because a new holder of a zone lease does not have those sent to its
    /// predecessor.
    pub fn forget_reservations(&mut self) {
        self.reserved.clear();
    }
}

impl Node {
    pub(super) fn scheduler_tick(&mut self, now: Now) {
        let applied_index = self.state.applied_index;
        self.scheduler
            .pending
            .retain(|_, start| start.is_pending(now, applied_index));
        if now.mono >= self.scheduler.next_full_pass {
            self.full_pass(now);
        }
        self.schedule(now);
    }

    /// Recomputes the data derived from the whole cluster state, and marks every job as dirty.
    fn full_pass(&mut self, now: Now) {
        self.scheduler.next_full_pass = now.mono + self.settings.bounds.heartbeat_interval();
        self.scheduler.all_dirty = true;
        let cluster_time = self.cluster_time(now);
        let min_wait_ms = GANG_MIN_WAIT_INTERVALS * self.settings.bounds.reservation_interval();
        self.scheduler.claim = gangs::claim(&self.state, cluster_time, min_wait_ms);
        self.scheduler.runnable_jobs = self.state.runnable_job_count(cluster_time);
        self.scheduler.ranked = self.rank();
        let open = &self.state.unfinished_jobs;
        self.scheduler.reserved.retain(|job, _| open.contains(job));
    }

    /// The epoch of a queue's lease, if this node holds it.
    fn queue_epoch(&self, queue: &str) -> Option<u64> {
        self.epoch(&queue_lease(queue))
    }

    /// The lease epoch under which this node places a job's tasks; none if the job has ended or is scheduled by another
    /// node.
    fn epoch_for(&self, job: &Job) -> Option<u64> {
        if job.state.has_ended() || job.cancel {
            return None;
        }
        self.queue_epoch(&job.spec.queue)
    }

    /// Proposed placements of a job that are not in the cluster state yet.
    fn pending_placements<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Placement> + 'a {
        let pending = self.scheduler.pending.values();
        pending
            .filter(move |start| start.job == job)
            .flat_map(|start| start.placements.iter())
    }

    /// Tasks of a job whose proposed start is not in the cluster state yet.
    fn pending_tasks(&self, job: &str) -> BTreeSet<u32> {
        self.pending_placements(job)
            .map(|placement| placement.task)
            .collect()
    }
}
