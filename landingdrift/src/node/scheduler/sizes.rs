//! Sizes of jobs, their shares of the slots, and their ranking.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::derive::JobSizes;
use crate::state::Job;
use crate::wire::{Offer, Sizes};

/// Maximum number of jobs that are tried when searching for the job to name in a refusal: each try runs the placement
/// of a task, and refusals are frequent.
const MAX_JOBS_TRIED: usize = 8;

/// The sizes of a job and its occupied slots, including pending starts.
pub(super) struct JobShare {
    pub job_sizes: JobSizes,
    pub occupied: f64,
}

impl Node {
    /// The size that is sent to zone schedulers and orders the jobs: the job's rank, reduced by the priority of its
    /// queue.
    fn priority_weighted_rank(&self, job: &Job, job_sizes: &JobSizes) -> f64 {
        let priority = self
            .state
            .queue(&job.spec.queue)
            .map_or(0, |queue| queue.priority);
        job_sizes.rank / (1.0 + f64::from(priority))
    }

    /// Computes a job's share from this node's copy and the pending starts.
    pub(super) fn share(&self, job: &Job) -> JobShare {
        let job_sizes = self.state.job_sizes(job);
        let pending_starts = self.pending_placements(&job.spec.id).count();
        let occupied = f64::from(job_sizes.occupied) + pending_starts as f64;
        JobShare {
            job_sizes,
            occupied,
        }
    }

    /// The sizes of a job as sent to zone schedulers, given the fair share.
    pub(super) fn sizes(&self, job: &Job, fair_share: f64) -> Sizes {
        let JobShare {
            job_sizes,
            occupied,
        } = self.share(job);
        Sizes {
            job: job.spec.id.clone(),
            scheduler: self.name.clone(),
            remaining: job_sizes.remaining,
            size: self.priority_weighted_rank(job, &job_sizes),
            starved: occupied < fair_share && job_sizes.remaining > 0,
            unsatisfied: occupied < job_sizes.size,
        }
    }

    /// The number of slots that every job is guaranteed, rounded down, where a slot has the mean CPU of a task.
    pub(super) fn fair_share(&self) -> f64 {
        let jobs = self.scheduler.runnable_jobs.max(1) as f64;
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
        let others = self.scheduler.ranked.iter().filter(|id| **id != offer.job);
        let smallest = others
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|job| self.epoch_for(job).is_some())
            .take(MAX_JOBS_TRIED);
        for job in smallest {
            let sizes = self.sizes(job, fair_share);
            if sizes.unsatisfied && self.pick_placements(now, job, offer).is_some() {
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
