//! Time-driven changes: attempts whose outcome stays unknown become failures, and expired records are dropped.

use super::ApplyResult;
use crate::state::{Attempt, AttemptState, ClusterState, Job, TaskState, Tombstone};
use serde_json::Value;

/// How long the id of a rejected job is remembered, in milliseconds; far longer than processing any request
/// takes.
const REJECTED_IDS_KEPT_MS: u64 = 60_000;
/// Maximum number of jobs and tombstones that one entry drops.
const MAX_DROPPED: usize = 1000;
/// How long an outcome may stay unknown if the job's queue is not configured, in milliseconds.
const DEFAULT_UNSURE_BOUND_MS: u64 = 60_000;

impl ClusterState {
    /// When garbage collection is next needed, by the cluster clock; `None` if nothing will expire.
    pub fn next_garbage_collection_at(&self, retain_ms: u64, identity_ms: u64) -> Option<u64> {
        let unsure = self.unsure_attempts().map(|(due_at, _)| due_at).min();
        let expiry = self.expiry.first().map(|(since, id)| {
            let is_retained = self.jobs.contains_key(id);
            since + if is_retained { retain_ms } else { identity_ms }
        });
        let idle_lost = self.workers.values();
        let idle_lost = idle_lost.filter(|worker| worker.lost && worker.attempts.is_empty());
        let lost = idle_lost.map(|worker| worker.since + retain_ms).min();
        let rejected = self.rejected_ids.values();
        let rejected = rejected.map(|(_, at)| at + REJECTED_IDS_KEPT_MS).min();
        [unsure, expiry, lost, rejected].into_iter().flatten().min()
    }

    /// The attempts whose outcome is unknown, each as the time from which it counts as failed and its number.
    fn unsure_attempts(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let live = self.live.keys().filter_map(|no| self.attempt(*no));
        live.filter(|(_, _, attempt)| attempt.state == AttemptState::Unsure)
            .map(|(job, _, attempt)| (self.unsure_due_at(job, attempt), attempt.no))
    }

    fn unsure_due_at(&self, job: &Job, attempt: &Attempt) -> u64 {
        let queue = self.queue(&job.spec.queue);
        let bound_ms = queue.map_or(DEFAULT_UNSURE_BOUND_MS, |q| q.unsure_bound_ms);
        attempt.ended + bound_ms
    }

    /// Fails attempts whose outcome has been unknown for too long, and drops expired records. Ended jobs are retained
    /// for `retain_ms`, their tombstones for `identity_ms` after that.
    pub(super) fn collect_garbage(&mut self, retain_ms: u64, identity_ms: u64) -> ApplyResult {
        self.fail_unsure_attempts();
        self.drop_ended_jobs(retain_ms, identity_ms);
        let at = self.at;
        self.workers.retain(|_, worker| {
            let is_idle = worker.lost && worker.attempts.is_empty();
            !is_idle || worker.since + retain_ms > at
        });
        self.rejected_ids
            .retain(|_, (_, rejected_at)| *rejected_at + REJECTED_IDS_KEPT_MS > at);
        self.drop_old_job_ends();
        Ok(Value::Null)
    }

    /// Fails the attempts whose outcome has been unknown for longer than their queue allows.
    fn fail_unsure_attempts(&mut self) {
        let at = self.at;
        let due = self.unsure_attempts().filter(|(due_at, _)| *due_at <= at);
        let due: Vec<u64> = due.map(|(_, attempt_no)| attempt_no).collect();
        for attempt_no in due {
            let Some((id, task)) = self.live.get(&attempt_no).cloned() else {
                continue;
            };
            let note = "unsure for longer than its bound";
            self.end_attempt(attempt_no, AttemptState::Failed, 0, note);
            let task = task as usize;
            if let Some(job) = self.jobs.get_mut(&id) {
                // A task that may not be repeated is never restarted, however many attempts are left.
                let is_final = !job.task_spec(task).may_repeat;
                if is_final && job.tasks[task].state == TaskState::Waiting {
                    job.set_task_state(task, TaskState::Failed);
                }
            }
            self.update_job_state(&id);
        }
    }

    /// Replaces ended jobs by tombstones, and drops tombstones, after their retention periods.
    fn drop_ended_jobs(&mut self, retain_ms: u64, identity_ms: u64) {
        let at = self.at;
        let expired = self.expiry.iter();
        let expired = expired.take_while(|(since, _)| since + retain_ms <= at);
        let expired: Vec<(u64, String)> = expired.take(MAX_DROPPED).cloned().collect();
        for (since, id) in expired {
            if let Some(job) = self.jobs.remove(&id) {
                self.expiry.remove(&(since, id.clone()));
                self.expiry.insert((at, id.clone()));
                let tombstone = Tombstone {
                    hash: job.hash,
                    state: job.state,
                    until: at + identity_ms,
                };
                self.tombstones.insert(id, tombstone);
                continue;
            }
            let tombstone = self.tombstones.get(&id);
            if tombstone.is_none_or(|tombstone| tombstone.until <= at) {
                self.expiry.remove(&(since, id.clone()));
                self.tombstones.remove(&id);
            }
        }
    }

    /// Drops the records of jobs that ended before their queue's window.
    fn drop_old_job_ends(&mut self) {
        for (name, queue) in &self.config.queues {
            let Some(stats) = self.queues.get_mut(name) else {
                continue;
            };
            let is_old = |(ended_at, _): &(u64, bool)| ended_at + queue.window_ms < self.at;
            while stats.job_ends.front().is_some_and(is_old) {
                stats.job_ends.pop_front();
            }
        }
    }
}
