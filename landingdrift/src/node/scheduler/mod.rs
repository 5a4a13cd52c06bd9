//! The scheduler of the queues whose leases this node holds. Hopper's scheduler side.
//!
//! - `reservations` places reservations with the holders of zone schedulers,
//! - `offers` answers the offers that come back,
//! - `placement` chooses the task that goes to an offered slot,
//! - `demand` derives how many slots a job could use now,
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

/// Other jobs make way for a gang that has waited for so many intervals of reservations: it gets a second try by itself
/// first.
const GANG_PATIENCE_INTERVALS: u64 = 2;

/// What the scheduler keeps beside the cluster state. Times are by this node's monotonic clock.
#[derive(Default)]
pub struct Scheduler {
    /// Jobs whose demand may have changed since it was last derived.
    pub dirty: BTreeSet<String>,
    pub all_dirty: bool,
    /// The reservations that each job placed last.
    reserved: BTreeMap<String, LastReserved>,
    /// Starts that were proposed and that the watch does not show yet, by proposal.
    pending: BTreeMap<u64, PendingStart>,
    claim: Option<gangs::Claim>,
    /// Unsatisfied jobs, the smallest first, as of the last full pass.
    ranked: Vec<String>,
    /// Jobs among which the slots are shared.
    runnable: usize,
    next_full_pass: u64,
}

/// When a job last placed reservations, and for how many tasks.
#[derive(Clone, Copy, Default)]
struct LastReserved {
    at: u64,
    tasks: u32,
}

/// A start that was proposed and that the watch does not show yet.
struct PendingStart {
    job: String,
    placements: Vec<Placement>,
    /// The resources that each placement takes, in the same order.
    reserved_resources: Vec<Resources>,
    until: u64,
    /// Where the log has it; 0 until that is known.
    log_index: u64,
}

impl PendingStart {
    /// Whether the cluster state up to `applied_index` does not show it yet.
    fn is_pending(&self, now: Now, applied_index: u64) -> bool {
        let is_applied = self.log_index != 0 && self.log_index <= applied_index;
        now.mono < self.until && !is_applied
    }
}

impl Scheduler {
    /// A zone lease has a new holder, which has no reservations: they are placed again at once, not when they are due.
    pub fn forget_reservations(&mut self) {
        self.reserved.clear();
    }
}

impl Node {
    pub(super) fn scheduler_tick(&mut self, now: Now) {
        let applied_index = self.state.applied_index;
        self.sched
            .pending
            .retain(|_, start| start.is_pending(now, applied_index));
        if now.mono >= self.sched.next_full_pass {
            self.full_pass(now);
        }
        self.schedule(now);
    }

    /// Derives anew what depends on the whole cluster state, and marks every job.
    fn full_pass(&mut self, now: Now) {
        self.sched.next_full_pass = now.mono + self.settings.bounds.heartbeat_interval();
        self.sched.all_dirty = true;
        let cluster_time = self.cluster_time(now);
        let patience = GANG_PATIENCE_INTERVALS * self.settings.bounds.reservation_interval();
        self.sched.claim = gangs::claim(&self.state, cluster_time, patience);
        self.sched.runnable = self.state.runnable_job_count(cluster_time);
        self.sched.ranked = self.rank();
        let open = &self.state.unfinished_jobs;
        self.sched.reserved.retain(|job, _| open.contains(job));
    }

    /// The epoch under which this node holds a queue's lease, if it does.
    fn queue_epoch(&self, queue: &str) -> Option<u64> {
        self.epoch(&queue_lease(queue))
    }

    /// The epoch under which this node places a job's tasks; none where the job is over, or another node's.
    fn epoch_for(&self, job: &Job) -> Option<u64> {
        if job.state.ended() || job.cancel {
            return None;
        }
        self.queue_epoch(&job.spec.queue)
    }

    /// Placements of a job that were proposed and are not yet in the cluster state.
    fn starting_placements<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Placement> + 'a {
        let pending = self.sched.pending.values();
        pending
            .filter(move |start| start.job == job)
            .flat_map(|start| start.placements.iter())
    }

    /// Tasks of a job whose start was proposed and is not yet in the cluster state.
    fn starting_tasks(&self, job: &str) -> BTreeSet<u32> {
        self.starting_placements(job)
            .map(|placement| placement.task)
            .collect()
    }
}
