//! Calls over HTTP. Any node takes any call; one that it can't answer itself it forwards.
//!
//! - `routes` takes a call to what serves it: `jobs`, `routed_jobs`, `config`, `heartbeats` or `status`,
//! - `read` answers reads that must not be stale,
//! - `forward` passes calls to other nodes, which `forward_targets` picks,
//! - `answered_version` keeps a caller from being answered by an older configuration than before,
//! - `unanswered` notes the calls that end without an answer.

mod answered_version;
mod config;
mod forward;
mod forward_targets;
mod heartbeats;
mod jobs;
mod read;
mod retry_budget;
mod routed_jobs;
mod routes;
mod status;
mod unanswered;

use super::propose::Purpose;
use super::Node;
use crate::sans_io::{Effect, Now, Response};
use crate::state::{ApplyResult, Command, Rejection};
use crate::wire::{Body, ForwardResponse, NodeProgress, RequestToken};
use answered_version::AnsweredVersion;
use forward::RepeatedForward;
use forward_targets::SilentNodes;
use read::ReadQuery;
use retry_budget::RetryBudget;
use serde_json::json;
use std::collections::BTreeMap;

/// The path of the configuration.
const CONFIG_PATH: &str = "/v1/desired";

/// Where a call came from, and where its response goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// A caller of this process: the call's number.
    Local(u64),
    /// Another node forwarded it: its address and token.
    Remote(String, RequestToken),
}

/// What a call has proposed, which decides the response once it is applied or rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposedCall {
    AcceptJob {
        id: String,
    },
    CancelJob {
        id: String,
    },
    UpdateConfig {
        change: String,
    },
    ResolveAttempt {
        id: String,
    },
    SetEvacuation,
    /// A worker is leaving.
    Departure {
        worker: String,
    },
}

/// What an open call waits for.
enum CallState {
    /// For the result of its proposal.
    ProposalPending,
    /// For a replica to name the read index; the next replica is asked at `retry_at`.
    ReadIndexPending {
        query: ReadQuery,
        retry_at: u64,
        /// The replicas asked so far, by attempt.
        asked: Vec<String>,
    },
    /// For the watch to reach the read index.
    CatchingUp {
        query: ReadQuery,
        read_index: u64,
        nodes: Vec<NodeProgress>,
    },
    /// For the watch to be as new as the call; at `answer_by` it is answered with what is known by then.
    PollPending {
        id: String,
        received_at: u64,
        answer_by: u64,
    },
    /// For the node that it was forwarded to, once.
    ForwardedOnce { to: String, path: String },
    /// For any of the nodes that it is forwarded to.
    ForwardedRepeatedly,
}

/// A call that is not answered yet.
struct OpenCall {
    origin: Origin,
    deadline: u64,
    state: CallState,
    /// Other nodes that are asked to answer it, where it may be repeated.
    forward: Option<RepeatedForward>,
}

/// The calls that are not answered yet, by number.
#[derive(Default)]
pub struct Calls {
    open: BTreeMap<u64, OpenCall>,
    silent_nodes: SilentNodes,
    retry_budget: RetryBudget,
    answered_version: AnsweredVersion,
    /// When the next call without an answer may be logged, in monotonic milliseconds.
    next_unanswered_line: u64,
}

impl Calls {
    /// How many calls are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// The value of a parameter of a query.
fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut params = query.split('&').filter_map(|param| param.split_once('='));
    let (_, value) = params.find(|(key, _)| *key == name)?;
    Some(value)
}

impl Node {
    /// Sends a response to where its call came from.
    pub(super) fn reply(&mut self, origin: &Origin, response: Response) {
        match origin {
            Origin::Local(call) => self.out.push(Effect::Answer(*call, response)),
            Origin::Remote(to, token) => {
                let by = if response.answered_by.is_empty() {
                    self.name.clone()
                } else {
                    response.answered_by
                };
                let forwarded = ForwardResponse {
                    token: *token,
                    status: response.status,
                    retry_ms: response.retry_ms,
                    body: serde_json::to_vec(&response.body).unwrap_or_default(),
                    by,
                    config_version: self.state.version,
                };
                self.send(to, Body::ForwardResponse(Box::new(forwarded)));
            }
        }
    }

    /// Opens a call that can't be answered at once; returns its number.
    fn open_call(&mut self, now: Now, origin: Origin, state: CallState) -> u64 {
        let call = self.token();
        let open_call = OpenCall {
            origin,
            deadline: now.mono + self.settings.bounds.request_timeout(),
            state,
            forward: None,
        };
        self.calls.open.insert(call, open_call);
        call
    }

    /// Opens a call that is answered with the result of a proposal.
    fn open_with_proposal(
        &mut self,
        now: Now,
        origin: Origin,
        command: &Command,
        proposed: ProposedCall,
    ) {
        let within = self.settings.bounds.request_timeout();
        let call = self.open_call(now, origin, CallState::ProposalPending);
        self.propose(now, command, Purpose::Call(call, proposed), within);
    }

    /// Answers an open call.
    pub(super) fn finish(&mut self, call: u64, response: Response) {
        if let Some(open_call) = self.calls.open.remove(&call) {
            self.reply(&open_call.origin, response);
        }
    }

    pub(super) fn calls_tick(&mut self, now: Now) {
        self.answer_due_polls(now);
        // A call that waits for a proposal ends with the proposal.
        let is_overdue = |open_call: &OpenCall| {
            let proposed = matches!(open_call.state, CallState::ProposalPending);
            now.mono >= open_call.deadline && !proposed
        };
        for call in self.calls_that(is_overdue) {
            self.note_unanswered(now, call);
            let response = self.overdue_response(call);
            self.finish(call, response);
        }
        let must_retry = |open_call: &OpenCall| match open_call.state {
            CallState::ReadIndexPending { retry_at, .. } => now.mono >= retry_at,
            _ => false,
        };
        for call in self.calls_that(must_retry) {
            self.send_read_index(now, call, None);
        }
        self.forwards_tick(now);
    }

    /// The open calls that meet a condition.
    fn calls_that(&self, condition: impl Fn(&OpenCall) -> bool) -> Vec<u64> {
        let mut calls = Vec::new();
        for (call, open_call) in &self.calls.open {
            if condition(open_call) {
                calls.push(*call);
            }
        }
        calls
    }

    /// The response to a call that could not be answered in time: one that was forwarded may have had its effect.
    fn overdue_response(&self, call: u64) -> Response {
        let open_call = self.calls.open.get(&call);
        let state = open_call.map(|open_call| &open_call.state);
        if let Some(CallState::ForwardedOnce { .. }) = state {
            return self.unsure_response();
        }
        let why = "neither a core nor another node answered in time, so nothing sure can be said: come back later";
        Response::error(503, "noCore", why).retry(self.settings.bounds.retry_after())
    }

    /// The cluster state has applied what a call proposed, or has rejected it.
    pub(super) fn on_call_applied(
        &mut self,
        call: u64,
        proposed: ProposedCall,
        result: ApplyResult,
    ) {
        if result == Err(Rejection::DeadlinePassed) {
            // An earlier copy of the proposal may have been applied.
            let response = self.unsure_response();
            return self.finish(call, response);
        }
        let response = match proposed {
            ProposedCall::AcceptJob { id } => self.accepted_response(&id, result),
            ProposedCall::CancelJob { id } => self.cancelled_response(&id, result),
            ProposedCall::UpdateConfig { change } => self.configured_response(&change, result),
            ProposedCall::SetEvacuation => match result {
                Ok(body) => Response::new(200, body),
                Err(rejection) => rejected_response(&rejection),
            },
            ProposedCall::Departure { worker } => self.departure_response(&worker, result),
            ProposedCall::ResolveAttempt { id } => match result {
                Ok(_) => Response::new(200, json!({"id": id, "resolved": true})),
                Err(rejection) => rejected_response(&rejection),
            },
        };
        self.finish(call, response);
    }
}

/// The response to a call whose command the cluster state has rejected, where the rejection has none of its own.
fn rejected_response(rejection: &Rejection) -> Response {
    Response::error(409, "refused", rejection.to_string())
}
