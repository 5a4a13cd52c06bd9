//! Sizes of jobs, their shares of the slots, and their ranking.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::derive::JobSizes;
use crate::state::Job;
use crate::wire::{Offer, Sizes};

/// Maximum number of jobs tried to find one to name in a refusal: each try runs the placement of a task, and refusals
/// are frequent.
const MAX_JOBS_TRIED: usize = 8;

/// A job's sizes and the number of slots that it occupies, including proposed starts.
pub(super) struct JobShare {
    pub sizes: JobSizes,
    pub occupied: f64,
}

impl Node {
    /// The size by which a job is ranked; higher priority reduces it.
    fn weighted_size(&self, job: &Job, sizes: &JobSizes) -> f64 {
        let priority = self
            .state
            .queue(&job.spec.queue)
            .map_or(0, |queue| queue.priority);
        sizes.rank / (1.0 + f64::from(priority))
    }

    /// The slots that a job needs and occupies.
    pub(super) fn share(&self, job: &Job) -> JobShare {
        let sizes = self.state.job_sizes(job);
        let starting = self.starting_placements(&job.spec.id).count();
        let occupied = f64::from(sizes.occupied) + starting as f64;
        JobShare { sizes, occupied }
    }

    /// The sizes of a job as sent to zone schedulers, given the fair share.
    pub(super) fn sizes(&self, job: &Job, fair_share: f64) -> Sizes {
        let JobShare { sizes, occupied } = self.share(job);
        Sizes {
            job: job.spec.id.clone(),
            scheduler: self.name.clone(),
            remaining: sizes.remaining,
            size: self.weighted_size(job, &sizes),
            starved: occupied < fair_share && sizes.remaining > 0,
            unsatisfied: occupied < sizes.size,
        }
    }

    /// The number of slots that every job is guaranteed, rounded down, where a slot has the mean CPU of a task.
    pub(super) fn fair_share(&self) -> f64 {
        let jobs = self.sched.runnable.max(1) as f64;
        let guaranteed_cpu =
            (1.0 - self.settings.hopper.epsilon) * f64::from(self.state.total_cpu());
        (guaranteed_cpu / self.mean_task_cpu() / jobs).floor()
    }

    /// The mean CPU of the attempts on workers, at least 1.
    fn mean_task_cpu(&self) -> f64 {
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
    pub(super) fn smallest_unsatisfied(&self, now: Now, offer: &Offer) -> Option<Sizes> {
        let fair_share = self.fair_share();
        // The ranking of the last full pass is accurate enough to select the jobs to try.
        let others = self.sched.ranked.iter().filter(|id| **id != offer.job);
        let smallest = others
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|job| self.epoch_for(job).is_some())
            .take(MAX_JOBS_TRIED);
        for job in smallest {
            let sizes = self.sizes(job, fair_share);
            if sizes.unsatisfied && self.pick(now, job, offer).is_some() {
                return Some(sizes);
            }
        }
        None
    }

    /// The unsatisfied jobs of this scheduler in order of size.
    pub(super) fn rank(&self) -> Vec<String> {
        let fair_share = self.fair_share();
        let open = self.state.unfinished_jobs.iter();
        let mut unsatisfied: Vec<Sizes> = open
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|job| !job.cancel && self.queue_epoch(&job.spec.queue).is_some())
            .map(|job| self.sizes(job, fair_share))
            .filter(|sizes| sizes.unsatisfied)
            .collect();
        unsatisfied.sort_by(|a, b| a.size.total_cmp(&b.size));
        unsatisfied.into_iter().map(|sizes| sizes.job).collect()
    }
}
