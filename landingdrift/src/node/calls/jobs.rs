//! Calls about jobs: submit, poll, list, cancel, and resolve attempts whose outcome is unknown.

use super::{param, CallCommand, CallState, Origin, ReadQuery};
use crate::node::Node;
use crate::sans_io::{fnv1a, Now, Response};
use crate::state::{ApplyResult, AttemptState, Command, Job, JobSpec, JobState, Rejection, Task};
use serde_json::{json, Value};
use std::ops::Bound;

/// Maximum number of jobs on a page of the job list.
const MAX_PAGE: usize = 500;
/// Number of jobs on a page when the caller sets no limit.
const DEFAULT_PAGE: usize = 100;
/// Factor applied to the usual retry delay when a job is rejected because the cluster is full: jobs end more slowly
/// than calls are answered.
const CLUSTER_FULL_RETRY_FACTOR: u64 = 5;
/// Factor applied to the usual retry delay when a job is rejected because its queue is over its quota.
const OVER_QUOTA_RETRY_FACTOR: u64 = 2;

/// The response body for a job that has not been replaced by a tombstone.
fn job_body(job: &Job) -> Value {
    let tasks: Vec<Value> = (0..job.tasks.len())
        .map(|task| task_body(job, task))
        .collect();
    let is_unsure = |task: &Task| {
        let mut live = task.live();
        live.any(|attempt| attempt.state == AttemptState::Unsure)
    };
    let unsure = job.tasks.iter().any(is_unsure);
    json!({"id": job.spec.id, "queue": job.spec.queue, "state": job.state, "unsure": unsure, "accepted": job.accepted, "ended": job.ended, "cancelled": job.cancel, "reason": job.reason, "tasks": tasks})
}

fn task_body(job: &Job, index: usize) -> Value {
    let task = &job.tasks[index];
    let mut body = json!({"name": job.task_name(index), "state": task.state, "defects": task.failures, "sends": task.attempts});
    let mut attempts = task.attempts.iter();
    if attempts.any(|attempt| attempt.state == AttemptState::Unsure) {
        body["unsure"] = json!("its worker fell silent: it ends by the worker's late report, an operator's word or the queue's bound");
    }
    body
}

impl Node {
    pub(super) fn submit(&mut self, now: Now, origin: Origin, body: &[u8]) {
        let max_bytes = self.settings.limits.job_bytes;
        if body.len() as u64 > max_bytes {
            let message = format!("the job exceeds the limit of {max_bytes} bytes: split it");
            return self.reply(&origin, Response::error(413, "tooLarge", message));
        }
        match JobSpec::read(body) {
            Ok(spec) => self.submit_spec(now, origin, spec),
            Err(error) => {
                let response = Response::error(400, "wrongJob", error.to_string());
                self.reply(&origin, response);
            }
        }
    }

    pub(super) fn submit_spec(&mut self, now: Now, origin: Origin, spec: JobSpec) {
        if let Err(error) = spec.check() {
            let response = Response::error(400, "wrongJob", error.to_string());
            return self.reply(&origin, response);
        }
        let is_new = !self.state.unfinished_jobs.contains(&spec.id);
        if is_new && self.state.unfinished_jobs.len() as u64 >= self.settings.limits.open_jobs {
            return self.reject_at_job_limit(&origin);
        }
        let hash = fnv1a(&serde_json::to_vec(&spec).unwrap_or_default());
        let id = spec.id.clone();
        if let Some(known) = self.state.known_hash(&id) {
            let result = if known == hash {
                Ok(json!({"known": true}))
            } else {
                Err(Rejection::BodyMismatch)
            };
            let response = self.accepted_response(&id, result);
            return self.reply(&origin, response);
        }
        let seen = self.index_at_receipt(now);
        let command = Command::SubmitJob { spec, hash, seen };
        self.propose_for_call(now, origin, &command, CallCommand::SubmitJob { id });
    }

    /// Rejects a submission because the limit on unfinished jobs is reached.
    fn reject_at_job_limit(&mut self, origin: &Origin) {
        self.count("jobs_rejected", 1);
        let message =
            "the limit on unfinished jobs is reached and this job was not accepted: retry later";
        let retry_ms = CLUSTER_FULL_RETRY_FACTOR * self.settings.bounds.retry_after();
        self.reply(
            origin,
            Response::error(503, "full", message).retry(retry_ms),
        );
    }

    pub(super) fn accepted_response(&mut self, id: &str, result: ApplyResult) -> Response {
        match result {
            Ok(applied) => {
                self.count("jobs_accepted", 1);
                let state = self.state.known_job_state(id).unwrap_or(JobState::Waiting);
                let status = if applied["known"] == json!(true) {
                    200
                } else {
                    202
                };
                let body = json!({"id": id, "state": state, "poll": format!("/v1/jobs/{id}")});
                Response::new(status, body)
            }
            Err(rejection) => {
                self.count("jobs_refused", 1);
                self.rejected_job_response(&rejection)
            }
        }
    }

    fn rejected_job_response(&self, rejection: &Rejection) -> Response {
        let message = rejection.to_string();
        match rejection {
            Rejection::BodyMismatch => Response::error(409, "otherBody", message),
            Rejection::OverQuota { .. } | Rejection::PreviouslyRejected => {
                let retry_ms = OVER_QUOTA_RETRY_FACTOR * self.settings.bounds.retry_after();
                Response::error(429, "overQuota", message).retry(retry_ms)
            }
            Rejection::InsufficientCapacity => {
                let retry_ms = CLUSTER_FULL_RETRY_FACTOR * self.settings.bounds.retry_after();
                Response::error(503, "full", message).retry(retry_ms)
            }
            Rejection::Invalid { path, .. } if path == "queue" => {
                Response::error(404, "noSuchQueue", message)
            }
            _ => Response::error(400, "wrongJob", message),
        }
    }

    /// The response with a job's state in this node's copy; `stale` warns the caller that the copy may be outdated.
    pub(super) fn job_response(&self, id: &str, stale: bool) -> Option<Response> {
        let mut body = match self.state.jobs.get(id) {
            Some(job) => job_body(job),
            None => {
                let tombstone = self.state.tombstones.get(id)?;
                json!({"id": id, "state": tombstone.state, "retained": false})
            }
        };
        body["asOf"] = json!(self.state.at);
        body["stale"] = json!(stale);
        Some(Response::new(200, body))
    }

    /// Serves a request for a job's state.
    ///
    /// The state of an ended job is final, so it is returned at once. Otherwise this node's copy must contain
    /// everything that was committed when the call was received, so that no caller sees an older state than another
    /// node has already returned. If this node does not know the job or has not caught up, it asks a replica for the
    /// read index.
    pub(super) fn poll(&mut self, now: Now, origin: Origin, id: &str) {
        match self.state.known_job_state(id) {
            Some(state) if state.has_ended() => {
                if let Some(response) = self.job_response(id, false) {
                    self.reply(&origin, response);
                }
            }
            Some(_) if self.watch.has_snapshot => {
                let state = CallState::PollPending {
                    id: id.into(),
                    received_at: now.mono,
                    answer_by: now.mono + self.settings.bounds.max_watch_age() / 2,
                };
                self.register_call(now, origin, state);
            }
            _ => self.read(now, origin, ReadQuery::Job { id: id.into() }),
        }
    }

    pub(super) fn jobs_response(&self, query: &str) -> Response {
        let limit = param(query, "limit").map_or(Ok(DEFAULT_PAGE), str::parse::<usize>);
        let Some(limit) = limit.ok().filter(|limit| (1..=MAX_PAGE).contains(limit)) else {
            let message = format!("limit: must be a number from 1 to {MAX_PAGE}");
            return Response::error(400, "wrongQuery", message);
        };
        let queue = param(query, "queue");
        let after = param(query, "after").unwrap_or("");
        let later_ids = (Bound::Excluded(after), Bound::Unbounded);
        let later = self.state.jobs.range::<str, _>(later_ids);
        let mut matching = later
            .map(|(_, job)| job)
            .filter(|job| queue.is_none_or(|queue| queue == job.spec.queue));
        let page: Vec<Value> = matching
            .by_ref()
            .take(limit)
            .map(|job| json!({"id": job.spec.id, "queue": job.spec.queue, "state": job.state, "accepted": job.accepted, "ended": job.ended}))
            .collect();
        // If more jobs match, the last id on this page is the cursor for the next page.
        let is_last_page = matching.next().is_none();
        let next = match page.last() {
            Some(last) if !is_last_page => Some(last["id"].clone()),
            _ => None,
        };
        Response::new(200, json!({"jobs": page, "next": next}))
    }

    pub(super) fn cancel(&mut self, now: Now, origin: Origin, id: &str) {
        let command = Command::CancelJob { job: id.into() };
        self.propose_for_call(
            now,
            origin,
            &command,
            CallCommand::CancelJob { id: id.into() },
        );
    }

    pub(super) fn cancelled_response(&mut self, id: &str, result: ApplyResult) -> Response {
        match result {
            Ok(applied) => Response::new(200, json!({"id": id, "state": applied["state"]})),
            Err(rejection @ Rejection::Overtaken { .. }) => self.overtaken_response(&rejection),
            Err(rejection) => Response::error(404, "unknownJob", rejection.to_string()),
        }
    }

    pub(super) fn resolve(&mut self, now: Now, origin: Origin, id: &str, task: &str, body: &[u8]) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let succeeded = match body["outcome"].as_str() {
            Some("well") => true,
            Some("defect") => false,
            _ => {
                let message = "outcome: must be 'well' or 'defect'";
                return self.reply(&origin, Response::error(400, "wrongOutcome", message));
            }
        };
        let command = Command::ResolveTask {
            job: id.into(),
            task: task.into(),
            succeeded,
        };
        self.propose_for_call(
            now,
            origin,
            &command,
            CallCommand::ResolveTask { id: id.into() },
        );
    }
}
