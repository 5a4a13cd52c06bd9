//! Derives the state of jobs from their tasks.

use crate::state::{ClusterState, Job, JobState, Task, TaskState};

/// Maximum number of ended jobs recorded per queue to evaluate its promise.
const MAX_JOB_ENDS: usize = 4096;

impl ClusterState {
    /// Derives a job's state from its tasks, and closes the job if it has ended. If a task has failed or the job is
    /// cancelled, first cancels the waiting tasks without live attempts; after a failure, requests that the live
    /// attempts stop.
    pub(super) fn update_job_state(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.has_ended() {
            return;
        }
        let any_failed = job.tasks.iter().any(|t| t.state == TaskState::Failed);
        if job.cancel || any_failed {
            cancel_idle_tasks(job);
        }
        let live = job.tasks.iter().flat_map(Task::live);
        let live: Vec<u64> = live.map(|attempt| attempt.no).collect();
        job.state = derived_state(job, !live.is_empty(), any_failed);
        if any_failed && !job.cancel {
            job.reason = failure_reason(job);
        }
        if job.state.has_ended() {
            self.close_job(id);
        } else if any_failed {
            self.request_stops(live);
        }
    }

    /// Closes a job that has ended: starts its retention period, and, unless it was cancelled, counts it towards the
    /// promise of its queue.
    fn close_job(&mut self, id: &str) {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.ended = at;
        let state = job.state;
        let queue = job.spec.queue.clone();
        let last_due = (0..job.tasks.len()).map(|i| job.task_due(i)).max();
        let could_start_at = job.accepted.max(last_due.unwrap_or(0));
        let took_ms = at.saturating_sub(could_start_at);
        self.unfinished_jobs.remove(id);
        self.expiry.insert((at, id.to_string()));
        let promised_ms = self.queue(&queue).map_or(0, |q| q.finish_within_ms);
        let stats = self.queues.entry(queue.clone()).or_default();
        stats.unfinished = stats.unfinished.saturating_sub(1);
        if stats.unfinished == 0 {
            self.retired_queues.remove(&queue);
        }
        if state == JobState::Cancelled {
            return;
        }
        let in_time = promised_ms == 0 || took_ms <= promised_ms;
        let kept_promise = state == JobState::Done && in_time;
        stats.job_ends.push_back((at, kept_promise));
        stats.kept += u64::from(kept_promise);
        stats.missed += u64::from(!kept_promise);
        if stats.job_ends.len() > MAX_JOB_ENDS {
            stats.job_ends.pop_front();
        }
    }
}

/// Cancels the waiting tasks that have no live attempt.
fn cancel_idle_tasks(job: &mut Job) {
    for i in 0..job.tasks.len() {
        let task = &job.tasks[i];
        if task.state == TaskState::Waiting && task.live().next().is_none() {
            job.set_task_state(i, TaskState::Cancelled);
        }
    }
}

fn derived_state(job: &Job, any_live: bool, any_failed: bool) -> JobState {
    let all_done = job.tasks.iter().all(|t| t.state == TaskState::Done);
    let any_attempted = job.tasks.iter().any(|t| !t.attempts.is_empty());
    if any_live && job.cancel {
        JobState::Cancelling
    } else if any_live {
        JobState::Running
    } else if all_done {
        JobState::Done
    } else if any_failed {
        JobState::Failed
    } else if job.cancel {
        JobState::Cancelled
    } else if any_attempted {
        JobState::Running
    } else {
        JobState::Waiting
    }
}

/// Describes why a job failed: its first failed task, with the note of that task's last attempt.
fn failure_reason(job: &Job) -> String {
    let mut tasks = job.tasks.iter();
    let Some(i) = tasks.position(|t| t.state == TaskState::Failed) else {
        return String::new();
    };
    let task = &job.tasks[i];
    let last_note = task.attempts.last().map_or("", |a| a.note.as_str());
    format!(
        "task '{}' failed {} times: {last_note}",
        job.task_name(i),
        task.failures
    )
}
