//! The scheduler of the queues this node owns. Hopper's scheduler side.
//!
//! - `reservations` places reservations with the holders of zone schedulers,
//! - `offers` answers the offers that come back,
//! - `placement` chooses the task that goes to an offered slot,
//! - `demand` says what a job wants of a slot now,
//! - `sizes` says how large jobs are, and ranks them.

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

/// Others make way for a gang once it has waited for this many spans after which reservations are placed anew: one
/// more try by itself comes first.
const GANG_PATIENCE_SPANS: u64 = 2;

/// What the scheduler keeps beside the cluster state.
#[derive(Default)]
pub struct Scheduler {
    /// Jobs that changed since they were last looked at.
    pub dirty: BTreeSet<String>,
    pub all_dirty: bool,
    /// The reservations that each job placed last.
    reserved: BTreeMap<String, LastReserved>,
    /// Starts proposed and not yet seen in the watch.
    pending: BTreeMap<u64, Pending>,
    claim: Option<gangs::Claim>,
    /// Unsatisfied jobs, the smallest first, as of the last full look.
    ranked: Vec<String>,
    /// Jobs among which the slots are shared.
    runnable: usize,
    next_full: u64,
}

/// When a job last placed reservations, and for how many tasks.
#[derive(Clone, Copy, Default)]
struct LastReserved {
    at: u64,
    tasks: u32,
}

/// A start that was proposed and is not yet seen in the watch.
struct Pending {
    job: String,
    placements: Vec<Placement>,
    /// The resources that each placement takes, in the same order.
    reserved_resources: Vec<Resources>,
    until: u64,
    /// The place of the entry, once it is known.
    log_index: u64,
}

impl Pending {
    /// Whether it is still to be seen in a watch that has come to `followed`.
    fn is_open(&self, now: Now, followed: u64) -> bool {
        let place_is_known = self.log_index != 0;
        let seen = place_is_known && self.log_index <= followed;
        now.mono < self.until && !seen
    }
}

impl Scheduler {
    /// A zone scheduler has changed hands and its new holder has no reservations: they are placed at once, not when they are due.
    pub fn reserve_anew(&mut self) {
        self.reserved.clear();
    }
}

impl Node {
    pub(super) fn scheduler_tick(&mut self, now: Now) {
        let followed = self.state.applied_index;
        self.sched.pending.retain(|_, p| p.is_open(now, followed));
        if now.mono >= self.sched.next_full {
            self.look_at_all(now);
        }
        self.schedule(now);
    }

    /// The full look: what is derived from the whole record is derived anew, and every job is looked at.
    fn look_at_all(&mut self, now: Now) {
        self.sched.next_full = now.mono + self.settings.bounds.heartbeat();
        self.sched.all_dirty = true;
        let agreed = self.agreed(now);
        let patience = GANG_PATIENCE_SPANS * self.settings.bounds.reserve();
        self.sched.claim = gangs::claim(&self.state, agreed, patience);
        self.sched.runnable = self.state.runnable(agreed);
        self.sched.ranked = self.rank();
        let open = &self.state.open;
        self.sched.reserved.retain(|job, _| open.contains(job));
    }

    /// The epoch under which this node owns a queue, if it does.
    fn owns(&self, queue: &str) -> Option<u64> {
        self.epoch(&queue_lease(queue))
    }

    /// The epoch under which this node places a job's tasks; none where the job is over or another's.
    fn epoch_for(&self, job: &Job) -> Option<u64> {
        if job.state.ended() || job.cancel {
            return None;
        }
        self.owns(&job.spec.queue)
    }

    /// Placements of a job that were proposed and are not yet in the cluster state.
    fn underway<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Placement> + 'a {
        let pending = self.sched.pending.values();
        pending
            .filter(move |p| p.job == job)
            .flat_map(|p| p.placements.iter())
    }

    /// Tasks of a job whose start was proposed and is not yet in the cluster state.
    fn underway_tasks(&self, job: &str) -> BTreeSet<u32> {
        self.underway(job).map(|p| p.task).collect()
    }
}
