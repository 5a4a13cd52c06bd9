//! Calls that another node answers: each is forwarded once, and its outcome is unknown if no response comes.

use super::{CallState, Origin};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::wire::{Body, ForwardRequest, ForwardResponse};
use serde_json::Value;

impl Node {
    /// Forwards a call to some node that holds a lease, and so has a full copy of the cluster state.
    pub(super) fn forward_to_any_holder(&mut self, now: Now, origin: Origin, request: &Request) {
        let holders: Vec<String> = self
            .state
            .leases
            .values()
            .map(|lease| lease.holder.clone())
            .filter(|holder| !holder.is_empty() && *holder != self.name)
            .collect();
        let picked = self.rng.pick(&holders).cloned();
        match (picked, &origin) {
            (Some(to), Origin::Local(_)) => self.forward_to(now, origin, &to, request),
            _ => {
                let why = "this node keeps no jobs and knows of none that does: come back later, or go to another node";
                let response = Response::error(503, "noDuty", why);
                self.reply(&origin, response.retry(self.settings.bounds.back()));
            }
        }
    }

    /// Forwards a call to a node.
    pub(super) fn forward_to(&mut self, now: Now, origin: Origin, to: &str, request: &Request) {
        let state = CallState::Forwarded {
            to: to.into(),
            path: request.path.clone(),
        };
        let call = self.open_call(now, origin, state);
        let forwarded = ForwardRequest {
            token: self.request_token(call, 0),
            method: request.method.clone(),
            path: request.path.clone(),
            query: request.query.clone(),
            body: request.body.clone(),
        };
        self.count("calls_forwarded", 1);
        self.send(to, Body::ForwardRequest(Box::new(forwarded)));
    }

    pub(in crate::node) fn on_forward_request(
        &mut self,
        now: Now,
        from: &str,
        forwarded: ForwardRequest,
    ) {
        let origin = Origin::Remote(from.into(), forwarded.token);
        let request = Request {
            method: forwarded.method,
            path: forwarded.path,
            query: forwarded.query,
            body: forwarded.body,
        };
        self.on_call(now, origin, request);
    }

    pub(in crate::node) fn on_forward_response(&mut self, from: &str, forwarded: ForwardResponse) {
        let call = forwarded.token.number;
        let open_call = self.calls.open.get(&call);
        let is_expected = open_call.is_some_and(
            |open_call| matches!(&open_call.state, CallState::Forwarded { to, .. } if to == from),
        );
        if !is_expected {
            return self.count("responses_unexpected", 1);
        }
        let response = Response {
            status: forwarded.status,
            retry_ms: forwarded.retry_ms,
            body: serde_json::from_slice(&forwarded.body).unwrap_or(Value::Null),
            by: forwarded.by,
        };
        self.finish(call, response);
    }
}
