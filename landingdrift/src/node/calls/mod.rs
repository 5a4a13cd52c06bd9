//! HTTP calls. Every node accepts every call and forwards those that it can't answer itself.
//!
//! - `routes` dispatches a call to its handler in `jobs`, `routed_jobs`, `config`, `heartbeats` or `status`,
//! - `read` serves linearizable reads,
//! - `forward` forwards calls to other nodes, which `forward_targets` selects; `retry_budget` limits the retries,
//! - `answered_version` makes reads of the configuration monotonic,
//! - `unanswered` counts and logs the calls that end without an answer.

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
use forward_targets::UnresponsiveNodes;
use read::ReadQuery;
use retry_budget::RetryBudget;
use serde_json::json;
use std::collections::BTreeMap;

/// HTTP path of the configuration.
const CONFIG_PATH: &str = "/v1/desired";

/// The origin of a call, to which its response is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// A caller connected to this process; the value is the call's number.
    Local(u64),
    /// Another process (a node or a worker proxy) that has forwarded the call: its address and request token.
    Remote(String, RequestToken),
}

/// The kind of command that a call has proposed, which determines the response once the command is applied or rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum CallCommand {
    SubmitJob {
        id: String,
    },
    CancelJob {
        id: String,
    },
    UpdateConfig {
        change: String,
    },
    ResolveTask {
        id: String,
    },
    SetEvacuation,
    /// Records that a worker is leaving.
    Departure {
        worker: String,
    },
}

/// The state of an open call: the event that it waits for.
enum CallState {
    /// Waits for the result of its proposal.
    ProposalPending,
    /// Waits for a replica to return the read index; the next replica is asked at `retry_at`.
    ReadIndexPending {
        query: ReadQuery,
        retry_at: u64,
        /// The replicas asked so far, by attempt.
        asked: Vec<String>,
    },
    /// Waits for this node's copy to reach the read index.
    CatchingUp {
        query: ReadQuery,
        read_index: u64,
        nodes: Vec<NodeProgress>,
    },
    /// Waits until the copy contains everything that was committed before the call; at `answer_by` the call is answered
    /// from the copy as it is.
    PollPending {
        id: String,
        received_at: u64,
        answer_by: u64,
    },
    /// Waits for the only node that it was forwarded to.
    ForwardedOnce { to: String, path: String },
    /// Waits for any of the nodes that it is forwarded to.
    ForwardedRepeatedly,
}

/// A call that is not answered yet.
struct OpenCall {
    origin: Origin,
    deadline: u64,
    state: CallState,
    /// Scheduled or ongoing forwarding to other nodes; only repeatable calls may have it.
    forward: Option<RepeatedForward>,
}

/// The open calls by number, and the state shared by all calls of this node.
#[derive(Default)]
pub struct Calls {
    open: BTreeMap<u64, OpenCall>,
    unresponsive_nodes: UnresponsiveNodes,
    retry_budget: RetryBudget,
    answered_version: AnsweredVersion,
    /// Earliest time of the next log message about a call without an answer, in monotonic milliseconds.
    next_unanswered_log_at: u64,
}

impl Calls {
    /// The number of open calls.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// The value of a query parameter, without percent-decoding.
fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut params = query.split('&').filter_map(|param| param.split_once('='));
    let (_, value) = params.find(|(key, _)| *key == name)?;
    Some(value)
}

impl Node {
    /// Sends a response to the origin of its call.
    pub(super) fn reply(&mut self, origin: &Origin, response: Response) {
        match origin {
            Origin::Local(call) => self.out.push(Effect::Respond(*call, response)),
            Origin::Remote(to, token) => {
                let by = if response.answered_by.is_empty() {
                    self.name.clone()
                } else {
                    response.answered_by
                };
                let forward_response = ForwardResponse {
                    token: *token,
                    status: response.status,
                    retry_ms: response.retry_ms,
                    body: serde_json::to_vec(&response.body).unwrap_or_default(),
                    by,
                    config_version: self.state.version,
                };
                self.send(to, Body::ForwardResponse(Box::new(forward_response)));
            }
        }
    }

    /// Registers a call that can't be answered at once; returns its number.
    fn register_call(&mut self, now: Now, origin: Origin, state: CallState) -> u64 {
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

    /// Registers a call that is answered with the result of a proposal, and proposes the command.
    fn propose_for_call(
        &mut self,
        now: Now,
        origin: Origin,
        command: &Command,
        call_command: CallCommand,
    ) {
        let timeout_ms = self.settings.bounds.request_timeout();
        let call = self.register_call(now, origin, CallState::ProposalPending);
        self.propose(now, command, Purpose::Call(call, call_command), timeout_ms);
    }

    /// Answers and removes an open call.
    pub(super) fn finish(&mut self, call: u64, response: Response) {
        if let Some(open_call) = self.calls.open.remove(&call) {
            self.reply(&open_call.origin, response);
        }
    }

    pub(super) fn calls_tick(&mut self, now: Now) {
        self.answer_due_polls(now);
        // Calls that wait for a proposal are excluded: the proposal has its own deadline, at which the call is
        // answered.
        let is_overdue = |open_call: &OpenCall| {
            let awaits_proposal = matches!(open_call.state, CallState::ProposalPending);
            now.mono >= open_call.deadline && !awaits_proposal
        };
        for call in self.calls_matching(is_overdue) {
            self.record_unanswered(now, call);
            let response = self.overdue_response(call);
            self.finish(call, response);
        }
        let must_retry = |open_call: &OpenCall| match open_call.state {
            CallState::ReadIndexPending { retry_at, .. } => now.mono >= retry_at,
            _ => false,
        };
        for call in self.calls_matching(must_retry) {
            self.send_read_index(now, call, None);
        }
        self.forwards_tick(now);
    }

    /// The numbers of the open calls that meet a condition.
    fn calls_matching(&self, condition: impl Fn(&OpenCall) -> bool) -> Vec<u64> {
        let mut calls = Vec::new();
        for (call, open_call) in &self.calls.open {
            if condition(open_call) {
                calls.push(*call);
            }
        }
        calls
    }

    /// The response to a call that was not answered in time. The outcome of a call that was forwarded once is unknown.
    fn overdue_response(&self, call: u64) -> Response {
        let open_call = self.calls.open.get(&call);
        let state = open_call.map(|open_call| &open_call.state);
        if let Some(CallState::ForwardedOnce { .. }) = state {
            return self.unknown_outcome_response();
        }
        let message =
            "no replica and no other node answered in time, so the answer is unknown: retry later";
        Response::error(503, "noCore", message).retry(self.settings.bounds.retry_after())
    }

    /// Answers a call whose command was applied to the cluster state or rejected.
    pub(super) fn on_call_result(
        &mut self,
        call: u64,
        call_command: CallCommand,
        result: ApplyResult,
    ) {
        if result == Err(Rejection::DeadlinePassed) {
            // An earlier attempt of the proposal may have been applied.
            let response = self.unknown_outcome_response();
            return self.finish(call, response);
        }
        let response = match call_command {
            CallCommand::SubmitJob { id } => self.accepted_response(&id, result),
            CallCommand::CancelJob { id } => self.cancelled_response(&id, result),
            CallCommand::UpdateConfig { change } => self.config_change_response(&change, result),
            CallCommand::SetEvacuation => match result {
                Ok(body) => Response::new(200, body),
                Err(rejection) => self.rejected_order_response(&rejection),
            },
            CallCommand::Departure { worker } => self.departure_response(&worker, result),
            CallCommand::ResolveTask { id } => match result {
                Ok(_) => Response::new(200, json!({"id": id, "resolved": true})),
                Err(rejection) => self.rejected_order_response(&rejection),
            },
        };
        self.finish(call, response);
    }

    /// The response to a rejected order on a zone or a task.
    fn rejected_order_response(&mut self, rejection: &Rejection) -> Response {
        match rejection {
            Rejection::Overtaken { .. } => self.overtaken_response(rejection),
            _ => rejected_response(rejection),
        }
    }

    /// The response to an order that a later one has overtaken. It had no effect; sent again, it is a new order.
    fn overtaken_response(&mut self, rejection: &Rejection) -> Response {
        self.count("orders_overtaken", 1);
        self.log(format!("an order was rejected: {rejection}"));
        Response::error(503, "overtaken", rejection.to_string())
            .retry(self.settings.bounds.retry_after())
    }
}

/// The generic response to a rejected command.
fn rejected_response(rejection: &Rejection) -> Response {
    Response::error(409, "refused", rejection.to_string())
}
