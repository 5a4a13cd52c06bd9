//! Calls about jobs: to hand one in, to ask for it, to cancel it, and to settle what is unsure about it.

use super::{param, Origin, ReadThen, State, Then};
use crate::node::Node;
use crate::sans_io::{fnv1a, Now, Response};
use crate::state::{ApplyResult, AttemptState, Command, Job, JobSpec, JobState, Rejection, Task};
use serde_json::{json, Value};
use std::ops::Bound;

/// Jobs on one page, at the most.
const PAGE: usize = 500;
/// Jobs on a page when the caller names no number.
const DEFAULT_PAGE: usize = 100;
/// A caller who is told that the system is full comes back after so many of the usual pauses: jobs end more slowly than
/// calls are answered.
const FULL_PAUSES: u64 = 5;
/// A caller whose queue is over its quota comes back after so many of the usual pauses.
const OVER_QUOTA_PAUSES: u64 = 2;

/// What is said of a job.
fn describe(j: &Job) -> Value {
    let tasks: Vec<Value> = (0..j.tasks.len()).map(|i| describe_task(j, i)).collect();
    let is_unsure = |t: &Task| t.live().any(|s| s.state == AttemptState::Unsure);
    let unsure = j.tasks.iter().any(is_unsure);
    json!({"id": j.spec.id, "queue": j.spec.queue, "state": j.state, "unsure": unsure, "accepted": j.accepted, "ended": j.ended, "cancelled": j.cancel, "reason": j.reason, "tasks": tasks})
}

fn describe_task(j: &Job, i: usize) -> Value {
    let t = &j.tasks[i];
    let mut v =
        json!({"name": j.name(i), "state": t.state, "defects": t.failures, "sends": t.attempts});
    if t.attempts.iter().any(|s| s.state == AttemptState::Unsure) {
        v["unsure"] = json!("its worker fell silent: it ends by the worker's late report, an operator's word or the queue's bound");
    }
    v
}

impl Node {
    pub(super) fn submit(&mut self, now: Now, origin: Origin, body: &[u8]) {
        let most = self.settings.limits.job_bytes;
        if body.len() as u64 > most {
            let why = format!("a job may have {most} bytes: split it");
            return self.reply(&origin, Response::error(413, "tooLarge", why));
        }
        match JobSpec::read(body) {
            Ok(s) => self.submit_spec(now, origin, s),
            Err(e) => self.reply(&origin, Response::error(400, "wrongJob", e.to_string())),
        }
    }

    pub(super) fn submit_spec(&mut self, now: Now, origin: Origin, spec: JobSpec) {
        if let Err(e) = spec.check() {
            return self.reply(&origin, Response::error(400, "wrongJob", e.to_string()));
        }
        let is_new = !self.state.open.contains(&spec.id);
        if is_new && self.state.open.len() as u64 >= self.settings.limits.open_jobs {
            return self.turn_job_away(&origin);
        }
        let hash = fnv1a(&serde_json::to_vec(&spec).unwrap_or_default());
        let id = spec.id.clone();
        if let Some(known) = self.known_hash(&id) {
            let ruled = if known == hash {
                Ok(json!({"known": true}))
            } else {
                Err(Rejection::BodyMismatch)
            };
            let v = self.accepted_response(&id, ruled);
            return self.reply(&origin, v);
        }
        let seen = self.state.applied_index;
        let command = Command::AcceptJob { spec, hash, seen };
        self.open_with_proposal(now, origin, &command, Then::Accepted { id });
    }

    fn turn_job_away(&mut self, origin: &Origin) {
        self.count("jobs_rejected", 1);
        let why = "the system holds as many unfinished jobs as it may and took nothing of this call: come back later";
        let pause = FULL_PAUSES * self.settings.bounds.back();
        self.reply(origin, Response::error(503, "full", why).retry(pause));
    }

    /// The hash of a job's specification, as long as the job or its identity is kept.
    fn known_hash(&self, id: &str) -> Option<u64> {
        let kept = self.state.jobs.get(id).map(|j| j.hash);
        kept.or_else(|| self.state.tombstones.get(id).map(|t| t.hash))
    }

    /// The state of a job, as long as the job or its identity is kept.
    fn known_state(&self, id: &str) -> Option<JobState> {
        let kept = self.state.jobs.get(id).map(|j| j.state);
        kept.or_else(|| self.state.tombstones.get(id).map(|t| t.state))
    }

    pub(super) fn accepted_response(&mut self, id: &str, ruled: ApplyResult) -> Response {
        match ruled {
            Ok(v) => {
                self.count("jobs_accepted", 1);
                let state = self.known_state(id).unwrap_or(JobState::Waiting);
                let status = if v["known"] == json!(true) { 200 } else { 202 };
                let body = json!({"id": id, "state": state, "poll": format!("/v1/jobs/{id}")});
                Response::new(status, body)
            }
            Err(refusal) => {
                self.count("jobs_refused", 1);
                self.refused_job_response(&refusal)
            }
        }
    }

    fn refused_job_response(&self, refusal: &Rejection) -> Response {
        let why = refusal.to_string();
        match refusal {
            Rejection::BodyMismatch => Response::error(409, "otherBody", why),
            Rejection::OverQuota { .. } | Rejection::PreviouslyRejected => {
                let pause = OVER_QUOTA_PAUSES * self.settings.bounds.back();
                Response::error(429, "overQuota", why).retry(pause)
            }
            Rejection::Invalid { path, .. } if path == "queue" => {
                Response::error(404, "noSuchQueue", why)
            }
            _ => Response::error(400, "wrongJob", why),
        }
    }

    /// What this node knows of a job; `stale` tells the caller that there may be news it has not heard.
    pub(super) fn job_response(&self, id: &str, stale: bool) -> Option<Response> {
        let mut v = match self.state.jobs.get(id) {
            Some(job) => describe(job),
            None => {
                let tombstone = self.state.tombstones.get(id)?;
                json!({"id": id, "state": tombstone.state, "retained": false})
            }
        };
        v["asOf"] = json!(self.state.at);
        v["stale"] = json!(stale);
        Some(Response::new(200, v))
    }

    /// An end is told at once; else the watch must be as new as the question, so that no state told elsewhere is taken back.
    /// For a job it doesn't know, or before it has caught up with the watch, the replica is asked.
    pub(super) fn poll(&mut self, now: Now, origin: Origin, id: &str) {
        match self.known_state(id) {
            Some(state) if state.ended() => {
                if let Some(v) = self.job_response(id, false) {
                    self.reply(&origin, v);
                }
            }
            Some(_) if self.watch.has_snapshot => {
                let patience = now.mono + self.settings.bounds.fresh() / 2;
                let state = State::Fresh {
                    id: id.into(),
                    asked: now.mono,
                    patience,
                };
                self.open(now, origin, state);
            }
            _ => self.read(now, origin, ReadThen::Job { id: id.into() }),
        }
    }

    pub(super) fn jobs_response(&self, query: &str) -> Response {
        let limit = param(query, "limit").map_or(Ok(DEFAULT_PAGE), str::parse::<usize>);
        let Some(limit) = limit.ok().filter(|l| (1..=PAGE).contains(l)) else {
            let why = format!("limit: give a number from 1 to {PAGE}");
            return Response::error(400, "wrongQuery", why);
        };
        let queue = param(query, "queue");
        let after = param(query, "after").unwrap_or("");
        let later_ids = (Bound::Excluded(after), Bound::Unbounded);
        let later = self.state.jobs.range::<str, _>(later_ids);
        let mut of = later
            .map(|(_, j)| j)
            .filter(|j| queue.is_none_or(|q| q == j.spec.queue));
        let page: Vec<Value> = of
            .by_ref()
            .take(limit)
            .map(|j| json!({"id": j.spec.id, "queue": j.spec.queue, "state": j.state, "accepted": j.accepted, "ended": j.ended}))
            .collect();
        let next = of.next().and(page.last().map(|l| l["id"].clone()));
        Response::new(200, json!({"jobs": page, "next": next}))
    }

    pub(super) fn cancel(&mut self, now: Now, origin: Origin, id: &str) {
        let command = Command::CancelJob { job: id.into() };
        self.open_with_proposal(now, origin, &command, Then::Cancelled { id: id.into() });
    }

    pub(super) fn cancelled_response(&mut self, id: &str, ruled: ApplyResult) -> Response {
        match ruled {
            Ok(v) => Response::new(200, json!({"id": id, "state": v["state"]})),
            Err(refusal) => Response::error(404, "unknownJob", refusal.to_string()),
        }
    }

    pub(super) fn resolve(&mut self, now: Now, origin: Origin, id: &str, task: &str, body: &[u8]) {
        let told: Value = serde_json::from_slice(body).unwrap_or_default();
        let succeeded = match told["outcome"].as_str() {
            Some("well") => true,
            Some("defect") => false,
            _ => {
                let why = "outcome: give 'well' or 'defect'";
                return self.reply(&origin, Response::error(400, "wrongOutcome", why));
            }
        };
        let command = Command::ResolveAttempt {
            job: id.into(),
            task: task.into(),
            succeeded,
        };
        self.open_with_proposal(now, origin, &command, Then::Resolved { id: id.into() });
    }
}
