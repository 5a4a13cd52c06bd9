//! Forwarding of calls to other nodes.
//!
//! A repeatable call is forwarded to one node after another until one answers: immediately when a node rejects it with
//! 503, and after an exponentially growing timeout when a node does not respond. Retries are limited by the retry
//! budget, and a read with a large answer is not retried after a timeout, because the answer may still be on its way.
//! Any other call is forwarded once; if no response arrives, its outcome is unknown.

use super::{CallState, OpenCall, Origin, CONFIG_PATH};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::wire::{Body, ForwardRequest, ForwardResponse};
use serde_json::Value;

/// Divisor of the request timeout, giving the first retry timeout of a forwarded call.
const RETRY_DIVISOR: u64 = 6;
/// Maximum number of nodes that one call is forwarded to.
const MAX_ATTEMPTS: usize = 4;

/// One attempt to have another node answer a call.
pub(super) struct ForwardAttempt {
    pub to: String,
    is_rejected: bool,
}

/// The forwarding state of a repeatable call.
pub(super) struct RepeatedForward {
    request: Request,
    attempts: Vec<ForwardAttempt>,
    /// Time of the next attempt, in monotonic milliseconds; none if none is scheduled.
    next_at: Option<u64>,
}

impl RepeatedForward {
    fn new(request: Request, first_at: u64) -> Self {
        Self {
            request,
            attempts: Vec::new(),
            next_at: Some(first_at),
        }
    }

    /// Whether the answer is small, judged by the path.
    fn has_small_answer(&self) -> bool {
        let path = self.request.path.as_str();
        let large = [CONFIG_PATH, "/v1/status", "/v1/workers", "/v1/jobs"];
        !large.contains(&path.trim_end_matches('/'))
    }

    /// Whether an attempt is due or may still be answered.
    fn is_open(&self) -> bool {
        self.next_at.is_some() || self.attempts.iter().any(|attempt| !attempt.is_rejected)
    }

    /// Comma-separated addresses of the nodes that the call was forwarded to, for log messages.
    pub(super) fn targets(&self) -> String {
        let nodes = self.attempts.iter().map(|attempt| attempt.to.as_str());
        nodes.collect::<Vec<_>>().join(", ")
    }

    pub(super) fn path(&self) -> &str {
        &self.request.path
    }
}

impl Node {
    /// Forwards a repeatable call that this node can't answer, or rejects it if it was forwarded to this node.
    pub(super) fn forward_repeatable(&mut self, now: Now, origin: Origin, request: &Request) {
        let Origin::Local(_) = origin else {
            // The call was already forwarded: the forwarding process tries another node.
            let response = self.no_full_copy_response();
            return self.reply(&origin, response);
        };
        let call = self.register_call(now, origin, CallState::ForwardedRepeatedly);
        self.set_forward(call, request.clone(), now.mono);
        self.advance_forward(now, call);
    }

    /// Schedules forwarding of an open call in case this node does not answer it within the retry timeout.
    pub(super) fn hedge(&mut self, now: Now, call: u64, request: Request) {
        let hedge_at = now.mono + self.forward_retry_ms();
        self.set_forward(call, request, hedge_at);
    }

    /// Forwards an open call that this node can no longer answer, or rejects it if it was forwarded to this node.
    pub(super) fn forward_open_call(&mut self, now: Now, call: u64, request: Request) {
        let Some(open_call) = self.calls.open.get_mut(&call) else {
            return;
        };
        if let Origin::Remote(..) = open_call.origin {
            let response = self.no_full_copy_response();
            return self.finish(call, response);
        }
        open_call.state = CallState::ForwardedRepeatedly;
        if open_call.forward.is_none() {
            self.set_forward(call, request, now.mono);
        }
        self.advance_forward(now, call);
    }

    fn set_forward(&mut self, call: u64, request: Request, first_at: u64) {
        if let Some(open_call) = self.calls.open.get_mut(&call) {
            open_call.forward = Some(RepeatedForward::new(request, first_at));
        }
    }

    fn forward_retry_ms(&self) -> u64 {
        self.settings.bounds.request_timeout() / RETRY_DIVISOR
    }

    fn no_full_copy_response(&self) -> Response {
        let message = "this node does not store jobs and no node that does could be reached: retry later, or at another node";
        Response::error(503, "noDuty", message).retry(self.settings.bounds.retry_after())
    }

    /// Makes the attempts that are due, and marks the nodes that did not answer the previous attempts as
    /// unresponsive.
    pub(super) fn forwards_tick(&mut self, now: Now) {
        let is_due = |open_call: &OpenCall| {
            let forward = open_call.forward.as_ref();
            let next_at = forward.and_then(|forward| forward.next_at);
            next_at.is_some_and(|at| now.mono >= at)
        };
        for call in self.calls_matching(is_due) {
            self.mark_target_unresponsive(now, call);
            self.advance_forward(now, call);
        }
    }

    fn mark_target_unresponsive(&mut self, now: Now, call: u64) {
        let open_call = self.calls.open.get(&call);
        let forward = open_call.and_then(|open_call| open_call.forward.as_ref());
        let last = forward.and_then(|forward| forward.attempts.last());
        let Some(timed_out) = last.filter(|attempt| !attempt.is_rejected) else {
            return;
        };
        let until = now.mono + self.settings.bounds.node_timeout();
        let node = timed_out.to.clone();
        self.calls
            .unresponsive_nodes
            .mark_unresponsive(&node, until);
        self.count("forwards_without_answer", 1);
    }

    /// Forwards a repeatable call to the next node, if one is left and the maximum number of attempts and the retry
    /// budget allow it. If no attempt is outstanding then, rejects the call unless this node may still answer it.
    fn advance_forward(&mut self, now: Now, call: u64) {
        let Some(open_call) = self.calls.open.get_mut(&call) else {
            return;
        };
        let Some(mut forward) = open_call.forward.take() else {
            return;
        };
        let is_first = forward.attempts.is_empty();
        let is_within_budget = forward.attempts.len() < MAX_ATTEMPTS
            && self.calls.retry_budget.try_charge(now, is_first);
        let target = self
            .pick_forward_target(now, &forward.attempts)
            .filter(|_| is_within_budget);
        match target {
            Some(to) => {
                let attempt = forward.attempts.len();
                self.send_forward(call, attempt, &to, &forward.request);
                let retry_at = now.mono + (self.forward_retry_ms() << attempt);
                // A large answer saturates a narrow link: no other node is asked while this one may be sending it.
                forward.next_at = forward.has_small_answer().then_some(retry_at);
                let is_rejected = false;
                forward.attempts.push(ForwardAttempt { to, is_rejected });
            }
            None => forward.next_at = None,
        }
        let is_open = forward.is_open();
        let Some(open_call) = self.calls.open.get_mut(&call) else {
            return;
        };
        open_call.forward = Some(forward);
        let is_handled_locally = !matches!(open_call.state, CallState::ForwardedRepeatedly);
        if !is_open && !is_handled_locally {
            self.record_unanswered(now, call);
            let response = self.no_full_copy_response();
            self.finish(call, response);
        }
    }

    fn send_forward(&mut self, call: u64, attempt: usize, to: &str, request: &Request) {
        let forward_request = ForwardRequest {
            token: self.request_token(call, attempt),
            method: request.method.clone(),
            path: request.path.clone(),
            query: request.query.clone(),
            body: request.body.clone(),
        };
        self.count("calls_forwarded", 1);
        self.send(to, Body::ForwardRequest(Box::new(forward_request)));
    }

    /// Forwards a call that must not be repeated to the given node.
    pub(super) fn forward_to(&mut self, now: Now, origin: Origin, to: &str, request: &Request) {
        let state = CallState::ForwardedOnce {
            to: to.into(),
            path: request.path.clone(),
        };
        let call = self.register_call(now, origin, state);
        self.send_forward(call, 0, to, request);
    }

    pub(in crate::node) fn on_forward_request(
        &mut self,
        now: Now,
        from: &str,
        request: ForwardRequest,
    ) {
        let origin = Origin::Remote(from.into(), request.token);
        let request = Request {
            method: request.method,
            path: request.path,
            query: request.query,
            body: request.body,
        };
        self.on_call(now, origin, request);
    }

    pub(in crate::node) fn on_forward_response(
        &mut self,
        now: Now,
        from: &str,
        response: ForwardResponse,
    ) {
        let call = response.token.number;
        let attempt = response.token.attempt as usize;
        let open_call = self.calls.open.get_mut(&call);
        let repeatable_attempt = match open_call {
            Some(open_call) => open_call.record_forward_response(from, attempt, response.status),
            None => None,
        };
        self.calls.unresponsive_nodes.mark_responsive(from);
        match repeatable_attempt {
            None => self.count("responses_unexpected", 1),
            Some(true) if response.status == 503 => self.advance_forward(now, call),
            Some(_) => {
                self.record_answered_version(now, call, response.config_version);
                self.finish(call, response_of(response));
            }
        }
    }
}

impl OpenCall {
    /// Records the response to an attempt. Returns none if it matches no attempt, otherwise whether the call is
    /// repeatable.
    fn record_forward_response(&mut self, from: &str, attempt: usize, status: u16) -> Option<bool> {
        if let CallState::ForwardedOnce { to, .. } = &self.state {
            return (to == from).then_some(false);
        }
        let forward = self.forward.as_mut()?;
        let attempt = forward.attempts.get_mut(attempt)?;
        if attempt.to != from {
            return None;
        }
        attempt.is_rejected = status == 503;
        Some(true)
    }
}

fn response_of(response: ForwardResponse) -> Response {
    Response {
        status: response.status,
        retry_ms: response.retry_ms,
        body: serde_json::from_slice(&response.body).unwrap_or(Value::Null),
        answered_by: response.by,
        location: String::new(),
    }
}
