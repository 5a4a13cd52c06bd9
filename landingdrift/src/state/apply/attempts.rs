//! Changes to attempts: stop requests, ends and unknown outcomes.

use crate::state::{Attempt, AttemptState, ClusterState, Job, Task, TaskState};

impl ClusterState {
    /// Looks up a live attempt by its number for modification.
    pub(super) fn attempt_mut(&mut self, attempt_no: u64) -> Option<&mut Attempt> {
        let (job, task) = self.live.get(&attempt_no)?;
        let job = self.jobs.get_mut(job)?;
        let task = job.tasks.get_mut(*task as usize)?;
        let mut attempts = task.attempts.iter_mut();
        attempts.find(|attempt| attempt.no == attempt_no)
    }

    /// Marks a live attempt to be stopped by its worker.
    pub(super) fn request_stop(&mut self, attempt_no: u64) {
        if let Some(attempt) = self.attempt_mut(attempt_no) {
            attempt.stop = true;
        }
    }

    /// Marks live attempts to be stopped by their workers.
    pub(super) fn request_stops(&mut self, attempts: Vec<u64>) {
        for attempt_no in attempts {
            self.request_stop(attempt_no);
        }
    }

    /// Ends a live attempt: frees its resources, and updates the statistics of its queue and the state of its task.
    /// Requests that the other attempts of a finished task stop, and after an end without success those of its gang.
    pub(super) fn end_attempt(
        &mut self,
        attempt_no: u64,
        state: AttemptState,
        ran_ms: u64,
        note: &str,
    ) {
        let Some((id, task_no)) = self.live.remove(&attempt_no) else {
            return;
        };
        let task = task_no as usize;
        let max_attempts = self.max_attempts_of(&id);
        let ended_at = self.at;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let resources = job.task_spec(task).needs();
        let queue = job.spec.queue.clone();
        let mut attempts = job.tasks[task].attempts.iter_mut();
        let Some(attempt) = attempts.find(|attempt| attempt.no == attempt_no) else {
            return;
        };
        attempt.state = state;
        attempt.ended = ended_at;
        attempt.ran_ms = ran_ms;
        attempt.note = note.into();
        let (worker, is_copy) = (attempt.worker.clone(), attempt.copy);
        let has_succeeded = state == AttemptState::Succeeded;
        let is_first_success = has_succeeded
            && job.tasks[task].state != TaskState::Done
            && !job.task_spec(task).long_running;
        job.tasks[task].failures += u32::from(state == AttemptState::Failed);
        update_task_state(job, task, is_first_success, max_attempts);
        let to_stop = superseded_attempts(job, task, is_first_success);

        if let Some(worker) = self.workers.get_mut(&worker) {
            if worker.attempts.remove(&attempt_no) {
                worker.used = worker.used.minus(resources);
            }
        }
        let stats = self.queues.entry(queue).or_default();
        stats.running = stats.running.saturating_sub(1);
        stats.copies -= u32::from(is_copy).min(stats.copies);
        stats.copies_won += u64::from(is_copy && is_first_success);
        if is_first_success && ran_ms > 0 {
            stats.add_duration(u32::try_from(ran_ms).unwrap_or(u32::MAX));
        }
        self.request_stops(to_stop);
        if !has_succeeded {
            self.stop_gang(&id, task_no);
        }
    }

    /// Requests that the live attempts of a task's gang stop after one member has ended without success, so that all
    /// members can restart together.
    pub(super) fn stop_gang(&mut self, id: &str, task_no: u32) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut to_stop = Vec::new();
        for member in job.gang_members(task_no as usize) {
            let task = &job.tasks[member];
            if task.state != TaskState::Done {
                to_stop.extend(task.live().map(|attempt| attempt.no));
            }
        }
        self.request_stops(to_stop);
    }

    /// Marks the outcome of a live attempt as unknown, and requests that the attempts of its gang stop.
    pub(super) fn mark_unsure(&mut self, attempt_no: u64) {
        let at = self.at;
        let Some((id, task_no)) = self.live.get(&attempt_no).cloned() else {
            return;
        };
        let Some(attempt) = self.attempt_mut(attempt_no) else {
            return;
        };
        if attempt.state != AttemptState::Unsure {
            attempt.state = AttemptState::Unsure;
            // For an unsure attempt, `ended` is the time at which its outcome became unknown.
            attempt.ended = at;
        }
        // The other members must not wait for an attempt that may never end.
        self.stop_gang(&id, task_no);
    }

    /// Stores the newest checkpoint of an attempt for its task, and for all members of its gang.
    pub(super) fn store_checkpoint(&mut self, attempt_no: u64, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some((id, task_no)) = self.live.get(&attempt_no) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = *task_no as usize;
        job.tasks[task].checkpoint = checkpoint.into();
        for member in job.gang_members(task) {
            job.tasks[member].checkpoint = checkpoint.into();
        }
    }
}

/// Updates the state of a task after one of its attempts has ended.
fn update_task_state(job: &mut Job, task: usize, is_first_success: bool, max_attempts: u32) {
    if is_first_success {
        if job.gang_succeeds_together(task) {
            // The success of one member counts for all of them.
            for member in job.gang_members(task) {
                job.set_task_state(member, TaskState::Done);
            }
        } else {
            job.set_task_state(task, TaskState::Done);
        }
        return;
    }
    // As long as another attempt may still succeed, the task has not failed.
    let is_exhausted = job.tasks[task].state == TaskState::Waiting
        && !job.task_spec(task).long_running
        && job.tasks[task].failures >= max_attempts
        && job.tasks[task].live().next().is_none();
    if is_exhausted {
        let state = if job.cancel {
            TaskState::Cancelled
        } else {
            TaskState::Failed
        };
        job.set_task_state(task, state);
    }
}

/// The live attempts of a finished task, which must be stopped. Gangs whose members succeed together are exempt:
/// their other members end without a stop request.
fn superseded_attempts(job: &Job, task_no: usize, is_first_success: bool) -> Vec<u64> {
    let task: &Task = &job.tasks[task_no];
    let gang_ends_by_itself = is_first_success && job.gang_succeeds_together(task_no);
    if task.state == TaskState::Waiting || gang_ends_by_itself {
        return Vec::new();
    }
    task.live().map(|attempt| attempt.no).collect()
}
