//! Inputs of the scheduling policy (Hopper), derived from the cluster state.

use super::{ClusterState, Job, QueueStats, Task, TaskState};

/// Number of durations needed to compute a median.
const MIN_DURATIONS_FOR_MEDIAN: usize = 5;
/// Number of durations needed to estimate the tail index.
const MIN_DURATIONS_FOR_BETA: usize = 20;
/// Number of most recent durations kept per queue.
const MAX_DURATIONS: usize = 256;
/// Number of new durations after which the estimates are refreshed, once there are enough for the tail index.
const REFRESH_INTERVAL: usize = 8;
/// The shortest 1/20 of the durations are left out of the tail fit.
const TAIL_DIVISOR: usize = 20;
/// Tail index β of a queue until there are enough durations; the estimate is clamped to the two bounds below.
const DEFAULT_BETA: f64 = 1.5;
const MIN_BETA: f64 = 1.05;
const MAX_BETA: f64 = 2.0;
/// Bounds of α, the ratio of tasks in later phases to tasks that are ready.
const MIN_ALPHA: f64 = 0.25;
const MAX_ALPHA: f64 = 4.0;
/// A task counts as ready this long before it is due, in milliseconds.
const DUE_SOON_MS: u64 = 1000;
/// Number of jobs that must have ended within a queue's window before its failure allowance applies.
const MIN_JOBS_FOR_ALLOWANCE: u32 = 20;

/// The sizes by which the policy ranks a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobSizes {
    /// Number of waiting tasks that are due, or will be within `DUE_SOON_MS`.
    pub remaining: u32,
    /// Virtual size V of the tasks that are ready.
    pub size: f64,
    /// Ranking key: the larger of V and the virtual size of the later phases.
    pub rank: f64,
    /// Number of attempts that may be running.
    pub occupied: u32,
}

impl QueueStats {
    /// Adds the duration of a successful attempt in milliseconds, and refreshes the estimates if they are due.
    pub fn add_duration(&mut self, duration_ms: u32) {
        self.durations.push_back(duration_ms);
        if self.durations.len() > MAX_DURATIONS {
            self.durations.pop_front();
        }
        self.durations_seen = self.durations_seen.wrapping_add(1);
        let is_due = (self.durations_seen as usize).is_multiple_of(REFRESH_INTERVAL);
        if self.durations.len() <= MIN_DURATIONS_FOR_BETA || is_due {
            self.refresh_estimates();
        }
    }

    fn refresh_estimates(&mut self) {
        let mut sorted: Vec<u32> = self.durations.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[(sorted.len() - 1) / 2];
        if sorted.len() >= MIN_DURATIONS_FOR_BETA {
            self.beta = tail_index(&sorted[sorted.len() / TAIL_DIVISOR..]);
        }
    }
}

/// The maximum-likelihood estimate of the tail index β of a Pareto distribution.
fn tail_index(sorted_durations: &[u32]) -> f64 {
    let shortest = f64::from(sorted_durations[0].max(1));
    let log_ratio = |duration: &u32| (f64::from((*duration).max(1)) / shortest).ln();
    let log_sum: f64 = sorted_durations.iter().map(log_ratio).sum();
    let beta = sorted_durations.len() as f64 / log_sum.max(1e-9);
    beta.clamp(MIN_BETA, MAX_BETA)
}

impl ClusterState {
    /// The tail index β of a queue's task durations.
    pub fn beta(&self, queue: &str) -> f64 {
        match self.queues.get(queue) {
            Some(stats) if stats.beta > 0.0 => stats.beta,
            _ => DEFAULT_BETA,
        }
    }

    /// The median duration of a queue's successful attempts in milliseconds, once there are enough.
    pub fn median(&self, queue: &str) -> Option<f64> {
        let stats = self.queues.get(queue)?;
        let is_known = stats.durations.len() >= MIN_DURATIONS_FOR_MEDIAN;
        is_known.then(|| f64::from(stats.median))
    }

    /// Computes the sizes of a job: V = (2/β)·T·√α, where T is the number of ready tasks.
    pub fn job_sizes(&self, job: &Job) -> JobSizes {
        let (mut ready, mut later, mut occupied) = (0u32, 0u32, 0u32);
        for (i, task) in job.tasks.iter().enumerate() {
            occupied += task.live().count() as u32;
            // Tasks that are not due yet need no slots.
            let is_due = job.task_due(i) <= self.at + DUE_SOON_MS;
            if task.state != TaskState::Waiting || !is_due {
                continue;
            }
            if job.are_dependencies_done(i) {
                ready += 1;
            } else {
                later += 1;
            }
        }
        let factor = (2.0 / self.beta(&job.spec.queue)).max(1.0);
        let alpha = if later == 0 || ready == 0 {
            1.0
        } else {
            (f64::from(later) / f64::from(ready)).clamp(MIN_ALPHA, MAX_ALPHA)
        };
        let size = factor * f64::from(ready) * alpha.sqrt();
        JobSizes {
            remaining: ready + later,
            size,
            rank: size.max(factor * f64::from(later)),
            occupied,
        }
    }

    /// Number of unfinished jobs that have a live attempt, or a task that is ready at time `at`. Each of them gets a fair
    /// share of the slots.
    pub fn runnable_job_count(&self, at: u64) -> usize {
        let can_run = |job: &Job, i: usize, task: &Task| {
            let is_ready = task.state == TaskState::Waiting
                && job.task_due(i) <= at
                && job.are_dependencies_done(i);
            is_ready || task.live().next().is_some()
        };
        let is_runnable = |job: &&Job| {
            let mut tasks = job.tasks.iter().enumerate();
            tasks.any(|(i, task)| can_run(job, i, task))
        };
        let open = self
            .unfinished_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id));
        open.filter(is_runnable).count()
    }

    /// Total CPU of all workers that accept new tasks, in the workers' units.
    pub fn total_cpu(&self) -> u32 {
        let workers = self.workers.iter();
        let usable = workers.filter(|(name, worker)| self.accepts_new_tasks(name, worker));
        usable.map(|(_, worker)| worker.info.cpu).sum()
    }

    /// Whether a queue has exceeded its failure allowance within its window.
    pub fn is_allowance_exhausted(&self, name: &str) -> bool {
        let (Some(queue), Some(stats)) = (self.queue(name), self.queues.get(name)) else {
            return false;
        };
        let (mut ended, mut missed) = (0u32, 0u32);
        for (ended_at, is_kept) in &stats.job_ends {
            if ended_at + queue.window_ms >= self.at {
                ended += 1;
                missed += u32::from(!is_kept);
            }
        }
        ended >= MIN_JOBS_FOR_ALLOWANCE && missed * 100 > ended * queue.failure_allowance_percent
    }
}
