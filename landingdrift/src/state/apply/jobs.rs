//! Acceptance and cancellation of jobs, and resolution of unknown outcomes.

use super::{ensure, ApplyResult};
use crate::state::job::is_name;
use crate::state::latest_orders::task_subject;
use crate::state::{AttemptState, ClusterState, Job, JobSpec, Rejection, Task};
use serde_json::{json, Value};

impl ClusterState {
    /// Accepts a job. `seen` is the log index that the admitting node knew when it received the request. The id of a
    /// rejected job is remembered, so that an older request with the same id can't be accepted afterwards.
    pub(super) fn submit_job(&mut self, spec: &JobSpec, hash: u64, seen: u64) -> ApplyResult {
        let result = self.try_accept(spec, hash, seen);
        let is_known = self.jobs.contains_key(&spec.id) || self.tombstones.contains_key(&spec.id);
        if result.is_err() && !is_known {
            let rejected_at = (self.applied_index, self.at);
            self.rejected_ids.insert(spec.id.clone(), rejected_at);
        }
        result
    }

    fn try_accept(&mut self, spec: &JobSpec, hash: u64, seen: u64) -> ApplyResult {
        if let Some(known_hash) = self.known_hash(&spec.id) {
            ensure(known_hash == hash, Rejection::BodyMismatch)?;
            return Ok(json!({"known": true}));
        }
        let rejected = self.rejected_ids.get(&spec.id);
        let rejected_since = rejected.is_some_and(|(index, _)| *index > seen);
        let cancelled_since = self.order_sequence.jobs.is_overtaken(&spec.id, seen);
        ensure(
            !rejected_since && !cancelled_since,
            Rejection::PreviouslyRejected,
        )?;
        let dependencies = spec
            .check()
            .and_then(|dependencies| spec.check_against(&self.config).map(|()| dependencies))
            .map_err(|e| Rejection::Invalid {
                path: e.path,
                remedy: e.remedy,
            })?;
        let queue = self.config.queues.get(&spec.queue);
        let quota = queue.map_or(0, |queue| queue.quota);
        let stats = self.queues.entry(spec.queue.clone()).or_default();
        ensure(stats.unfinished < quota, Rejection::OverQuota { quota })?;
        stats.unfinished += 1;
        self.rejected_ids.remove(&spec.id);
        let cancelled_jobs = &mut self.order_sequence.jobs;
        if cancelled_jobs.contains(&spec.id) {
            // A cancellation that was received before this submission must not cancel the job.
            cancelled_jobs.record(&spec.id, self.applied_index);
        }
        let job = Job {
            hash,
            accepted: self.at,
            ..Job::new(spec.clone(), dependencies)
        };
        self.jobs.insert(spec.id.clone(), job);
        self.unfinished_jobs.insert(spec.id.clone());
        Ok(json!({"known": false}))
    }

    /// Cancels a job; a job that has ended is left unchanged. `seen` is the log index known at the receipt of the
    /// cancellation. If the job is unknown, the cancellation is remembered, so that an older submission of the job can't
    /// be accepted afterwards.
    pub(super) fn cancel_job(&mut self, id: &str, seen: Option<u64>) -> ApplyResult {
        if let Some(tombstone) = self.tombstones.get(id) {
            return Ok(json!({"state": tombstone.state}));
        }
        let what = format!("job '{id}'");
        let Some(job) = self.jobs.get_mut(id) else {
            if seen.is_some() && is_name(id) {
                self.order_sequence.jobs.record(id, self.applied_index);
            }
            return Err(Rejection::Unknown { what });
        };
        if job.state.has_ended() || job.cancel {
            return Ok(json!({"state": job.state}));
        }
        let is_overtaken = seen.is_some_and(|seen| self.order_sequence.jobs.is_overtaken(id, seen));
        ensure(!is_overtaken, Rejection::Overtaken { what })?;
        job.cancel = true;
        job.reason = "cancelled by the caller".into();
        let live = job.tasks.iter().flat_map(Task::live);
        let to_stop = live.map(|attempt| attempt.no).collect();
        self.request_stops(to_stop);
        self.update_job_state(id);
        Ok(json!({"state": self.jobs.get(id).map(|job| job.state)}))
    }

    /// Ends the attempts of a task whose outcome is unknown, with the outcome that the operator gives, unless a later
    /// order has resolved the task meanwhile: `seen` is the log index known at the receipt of the order.
    pub(super) fn resolve_task(
        &mut self,
        id: &str,
        task_name: &str,
        succeeded: bool,
        seen: Option<u64>,
    ) -> ApplyResult {
        let unknown = |what: String| Rejection::Unknown { what };
        let job = self.jobs.get(id);
        let job = job.ok_or_else(|| unknown(format!("job '{id}'")))?;
        let task = job.find_task(task_name);
        let task = task.ok_or_else(|| unknown(format!("task '{task_name}'")))?;
        let live = job.tasks[task].live();
        let unsure = live.filter(|attempt| attempt.state == AttemptState::Unsure);
        let unsure: Vec<u64> = unsure.map(|attempt| attempt.no).collect();
        ensure(
            !unsure.is_empty(),
            Rejection::Invalid {
                path: "task".into(),
                remedy: "no send of the task is unsure: only unsure ones can be resolved".into(),
            },
        )?;
        if let Some(seen) = seen {
            let subject = task_subject(id, task_name);
            let tasks = &mut self.order_sequence.tasks;
            let what = format!("task '{task_name}' of job '{id}'");
            ensure(
                !tasks.is_overtaken(&subject, seen),
                Rejection::Overtaken { what },
            )?;
            tasks.record(&subject, self.applied_index);
        }
        let state = if succeeded {
            AttemptState::Succeeded
        } else {
            AttemptState::Failed
        };
        for attempt in unsure {
            self.end_attempt(attempt, state, 0, "resolved by the operator");
        }
        self.update_job_state(id);
        Ok(Value::Null)
    }
}
