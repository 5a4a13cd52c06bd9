//! Idle jobs: jobs with a waiting task that is due, and without an attempt that is ordered or running.
//!
//! Probation restricts the tasks that a worker gets, and a gang's claim reserves workers against other jobs. Both may
//! delay a job but must not starve it: neither applies to a job that has been idle for too long while its service has
//! spare capacity.

use super::{AttemptState, ClusterState, Job, TaskState};

/// How long a job may be idle before probation and claims no longer apply to it, in milliseconds.
const MAX_IDLE_MS: u64 = 2000;

/// A service has spare capacity while at most this percentage of its CPU is in use. Above it, jobs wait for each other
/// anyway.
const SPARE_CAPACITY_PERCENT: u64 = 67;

impl Job {
    /// When the job became or will become idle, by the cluster clock; `None` while an attempt is ordered or running, or if
    /// no task is waiting.
    fn idle_since(&self) -> Option<u64> {
        let mut last_end = self.accepted;
        let mut first_due = None;
        for (task_no, task) in self.tasks.iter().enumerate() {
            for attempt in &task.attempts {
                let is_ordered_or_running =
                    attempt.state.live() && attempt.state != AttemptState::Unsure;
                if is_ordered_or_running {
                    return None;
                }
                last_end = last_end.max(attempt.ended);
            }
            if task.state == TaskState::Waiting {
                let due = self.task_due(task_no);
                first_due = Some(first_due.map_or(due, |earlier: u64| earlier.min(due)));
            }
        }
        first_due.map(|due| due.max(last_end))
    }

    /// Whether the job has been idle for too long at time `at` of the cluster clock.
    pub fn is_idle_too_long(&self, at: u64) -> bool {
        let idle_since = self.idle_since();
        idle_since.is_some_and(|since| at >= since + MAX_IDLE_MS)
    }
}

impl ClusterState {
    /// Whether a service has spare capacity on the workers that accept new tasks.
    pub fn has_spare_capacity(&self, service: &str) -> bool {
        let (mut used, mut total) = (0_u64, 0_u64);
        for (name, worker) in &self.workers {
            if worker.info.service == service && self.accepts_new_tasks(name, worker) {
                used += u64::from(worker.used.cpu);
                total += u64::from(worker.info.cpu);
            }
        }
        used * 100 <= total * SPARE_CAPACITY_PERCENT
    }
}
