use super::{param, Origin, ReadThen, State, Then};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::{fnv1a, Now, Response};
use crate::state::{ApplyResult, AttemptState, Command, Job, JobSpec, JobState, Rejection};
use serde_json::{json, Value};

/// Jobs on one page, at the most.
const PAGE: usize = 500;

/// What is said of a job.
fn describe(j: &Job) -> Value {
    let tasks: Vec<Value> = j
        .tasks
        .iter()
        .enumerate()
        .map(|(i, t)| {
            let unsure = t.attempts.iter().any(|x| x.state == AttemptState::Unsure);
            let mut v = json!({"name": j.name(i), "state": t.state, "defects": t.failures, "sends": t.attempts});
            if unsure {
                v["unsure"] = json!("its worker fell silent: it ends by the worker's late report, an operator's word or the queue's bound");
            }
            v
        })
        .collect();
    let unsure = j
        .tasks
        .iter()
        .any(|t| t.live().any(|s| s.state == AttemptState::Unsure));
    json!({"id": j.spec.id, "queue": j.spec.queue, "state": j.state, "unsure": unsure, "accepted": j.accepted, "ended": j.ended, "cancelled": j.cancel, "reason": j.reason, "tasks": tasks})
}

impl Node {
    pub(super) fn submit(&mut self, now: Now, origin: Origin, body: &[u8]) {
        let most = self.settings.limits.job_bytes;
        if body.len() as u64 > most {
            return self.reply(
                &origin,
                Response::error(
                    413,
                    "tooLarge",
                    format!("a job may have {most} bytes: split it"),
                ),
            );
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
        if !self.state.open.contains(&spec.id)
            && self.state.open.len() as u64 >= self.settings.limits.open_jobs
        {
            self.count("jobs_rejected", 1);
            return self.reply(
                &origin,
                Response::error(503, "full", "the system holds as many unfinished jobs as it may and took nothing of this call: come back later").retry(5 * self.settings.bounds.back()),
            );
        }
        let hash = fnv1a(&serde_json::to_vec(&spec).unwrap_or_default());
        let known = self
            .state
            .jobs
            .get(&spec.id)
            .map(|j| j.hash)
            .or_else(|| self.state.tombstones.get(&spec.id).map(|t| t.hash));
        let id = spec.id.clone();
        if let Some(h) = known {
            let ruled = (h == hash)
                .then(|| json!({"known": true}))
                .ok_or(Rejection::BodyMismatch);
            let v = self.accepted_response(&id, ruled);
            return self.reply(&origin, v);
        }
        let seen = self.state.applied_index;
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        self.propose(
            now,
            &Command::AcceptJob { spec, hash, seen },
            Purpose::Call(call, Then::Accepted { id }),
            within,
        );
    }

    pub(super) fn accepted_response(&mut self, id: &str, ruled: ApplyResult) -> Response {
        let back = self.settings.bounds.back();
        match ruled {
            Ok(v) => {
                self.count("jobs_accepted", 1);
                let state = self
                    .state
                    .jobs
                    .get(id)
                    .map(|j| j.state)
                    .or_else(|| self.state.tombstones.get(id).map(|t| t.state))
                    .unwrap_or(JobState::Waiting);
                Response::new(
                    if v["known"] == json!(true) { 200 } else { 202 },
                    json!({"id": id, "state": state, "poll": format!("/v1/jobs/{id}")}),
                )
            }
            Err(r) => {
                self.count("jobs_refused", 1);
                match r {
                    Rejection::BodyMismatch => Response::error(409, "otherBody", r.to_string()),
                    Rejection::OverQuota { .. } | Rejection::PreviouslyRejected => {
                        Response::error(429, "overQuota", r.to_string()).retry(2 * back)
                    }
                    Rejection::Invalid { ref path, .. } if path == "queue" => {
                        Response::error(404, "noSuchQueue", r.to_string())
                    }
                    _ => Response::error(400, "wrongJob", r.to_string()),
                }
            }
        }
    }

    /// What this node knows of a job; `stale` tells the caller that there may be news it has not heard.
    pub(super) fn job_response(&self, id: &str, stale: bool) -> Option<Response> {
        let kept = self.state.jobs.get(id).map(describe);
        kept.or_else(|| {
            self.state
                .tombstones
                .get(id)
                .map(|t| json!({"id": id, "state": t.state, "retained": false}))
        })
        .map(|mut v| {
            v["asOf"] = json!(self.state.at);
            v["stale"] = json!(stale);
            Response::new(200, v)
        })
    }

    /// An end is told at once; else the watch must be as new as the question, so that no state told elsewhere is taken back.
    /// For a job it doesn't know, or before it has caught up with the watch, the replica is asked.
    pub(super) fn poll(&mut self, now: Now, origin: Origin, id: &str) {
        let kept = self
            .state
            .jobs
            .get(id)
            .map(|j| j.state)
            .or_else(|| self.state.tombstones.get(id).map(|t| t.state));
        match kept {
            Some(state) if state.ended() => self
                .job_response(id, false)
                .into_iter()
                .for_each(|v| self.reply(&origin, v)),
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
        let limit = param(query, "limit").map_or(Ok(100), str::parse::<usize>);
        let Some(limit) = limit.ok().filter(|l| (1..=PAGE).contains(l)) else {
            return Response::error(
                400,
                "wrongQuery",
                format!("limit: give a number from 1 to {PAGE}"),
            );
        };
        let (queue, after) = (param(query, "queue"), param(query, "after").unwrap_or(""));
        let mut of = self
            .state
            .jobs
            .range::<str, _>((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded))
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
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        self.propose(
            now,
            &Command::CancelJob { job: id.into() },
            Purpose::Call(call, Then::Cancelled { id: id.into() }),
            within,
        );
    }

    pub(super) fn cancelled_response(&mut self, id: &str, ruled: ApplyResult) -> Response {
        ruled.map_or_else(
            |r| Response::error(404, "unknownJob", r.to_string()),
            |v| Response::new(200, json!({"id": id, "state": v["state"]})),
        )
    }

    pub(super) fn resolve(&mut self, now: Now, origin: Origin, id: &str, task: &str, body: &[u8]) {
        let succeeded = serde_json::from_slice::<Value>(body).ok().and_then(|v| {
            v["outcome"]
                .as_str()
                .and_then(|o| ["well", "defect"].contains(&o).then(|| o == "well"))
        });
        let Some(succeeded) = succeeded else {
            return self.reply(
                &origin,
                Response::error(400, "wrongOutcome", "outcome: give 'well' or 'defect'"),
            );
        };
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        self.propose(
            now,
            &Command::ResolveAttempt {
                job: id.into(),
                task: task.into(),
                succeeded,
            },
            Purpose::Call(call, Then::Resolved { id: id.into() }),
            within,
        );
    }
}
