//! How large jobs are, what share of the slots each has, and which of them come first.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::derive::Sizing;
use crate::state::Job;
use crate::wire::{Offer, Sizes};

/// So many of the smallest jobs are looked at when a refusal is to name one: each look tries to place a task, and there
/// are many refusals.
const NAMED: usize = 8;

/// A job's sizes, and the slots it holds or is about to.
pub(super) struct Standing {
    pub sizing: Sizing,
    pub occupied: f64,
}

impl Node {
    fn weight(&self, job: &Job, s: &Sizing) -> f64 {
        // Larger priority counts as smaller size.
        let priority = self.state.queue(&job.spec.queue).map_or(0, |q| q.priority);
        s.rank / (1.0 + f64::from(priority))
    }

    pub(super) fn standing(&self, job: &Job) -> Standing {
        let sizing = self.state.sizing(job);
        let underway = self.underway(&job.spec.id).count();
        let occupied = f64::from(sizing.occupied) + underway as f64;
        Standing { sizing, occupied }
    }

    /// What is told of a job, given the least share of every one.
    pub(super) fn sizes(&self, job: &Job, floor: f64) -> Sizes {
        let Standing { sizing, occupied } = self.standing(job);
        Sizes {
            job: job.spec.id.clone(),
            scheduler: self.name.clone(),
            remaining: sizing.remaining,
            size: self.weight(job, &sizing),
            starved: occupied < floor && sizing.remaining > 0,
            unsatisfied: occupied < sizing.size,
        }
    }

    /// The least share of every job, in whole slots of the mean task's resources.
    pub(super) fn floor(&self) -> f64 {
        let jobs = self.sched.runnable.max(1) as f64;
        let shared = (1.0 - self.settings.hopper.epsilon) * f64::from(self.state.total_cpu());
        (shared / self.mean_room() / jobs).floor()
    }

    /// The mean resources of what runs, at least 1.
    fn mean_room(&self) -> f64 {
        let mut attempts = 0_usize;
        let mut used = 0_u32;
        for worker in self.state.workers.values() {
            attempts += worker.attempts.len();
            used = used.saturating_add(worker.used.cpu);
        }
        if attempts == 0 {
            return 1.0;
        }
        (f64::from(used) / attempts as f64).max(1.0)
    }

    /// The smallest unsatisfied job of this scheduler, other than the offer's, that could use the slot.
    pub(super) fn smallest_unsatisfied(&self, now: Now, m: &Offer) -> Option<Sizes> {
        let floor = self.floor();
        // The order of a moment ago is good enough to look at the smallest few as they are now.
        let others = self.sched.ranked.iter().filter(|id| **id != m.job);
        let smallest = others
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|job| self.epoch_for(job).is_some())
            .take(NAMED);
        for job in smallest {
            let sizes = self.sizes(job, floor);
            if sizes.unsatisfied && self.pick(now, job, m).is_some() {
                return Some(sizes);
            }
        }
        None
    }

    /// The jobs of this scheduler that want more slots, the smallest first.
    pub(super) fn rank(&self) -> Vec<String> {
        let floor = self.floor();
        let open = self.state.open.iter();
        let mut unsatisfied: Vec<Sizes> = open
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|job| !job.cancel && self.owns(&job.spec.queue).is_some())
            .map(|job| self.sizes(job, floor))
            .filter(|sizes| sizes.unsatisfied)
            .collect();
        unsatisfied.sort_by(|a, b| a.size.total_cmp(&b.size));
        unsatisfied.into_iter().map(|sizes| sizes.job).collect()
    }
}
