//! Calls that another node answers: each is passed on once, and silence leaves it unsure.

use super::{Origin, State};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::wire::{Body, ForwardRequest, ForwardResponse};
use serde_json::Value;

impl Node {
    /// Passes a call on to a node that holds a lease, and so follows jobs and workers.
    pub(super) fn forward_to_holder(&mut self, now: Now, origin: Origin, req: &Request) {
        let holders: Vec<String> = self
            .state
            .leases
            .values()
            .map(|g| g.holder.clone())
            .filter(|h| !h.is_empty() && *h != self.name)
            .collect();
        let to = self.rng.pick(&holders).cloned();
        match to.filter(|_| matches!(origin, Origin::Local(_))) {
            Some(to) => self.forward_on(now, origin, &to, req),
            None => {
                let why = "this node keeps no jobs and knows of none that does: come back later, or go to another node";
                let v = Response::error(503, "noDuty", why).retry(self.settings.bounds.back());
                self.reply(&origin, v);
            }
        }
    }

    pub(super) fn forward_on(&mut self, now: Now, origin: Origin, to: &str, req: &Request) {
        let call = self.open(now, origin, State::Forwarded { to: to.into() });
        let m = ForwardRequest {
            token: self.request_token(call, 0),
            method: req.method.clone(),
            path: req.path.clone(),
            query: req.query.clone(),
            body: req.body.clone(),
        };
        self.count("calls_forwarded", 1);
        self.send(to, Body::ForwardRequest(Box::new(m)));
    }

    pub(in crate::node) fn on_forward(&mut self, now: Now, from: &str, m: ForwardRequest) {
        self.on_call(
            now,
            Origin::Remote(from.into(), m.token),
            Request {
                method: m.method,
                path: m.path,
                query: m.query,
                body: m.body,
            },
        );
    }

    pub(in crate::node) fn on_forwarded(&mut self, from: &str, m: ForwardResponse) {
        let call = m.token.number;
        let passed = self.calls.open.get(&call).map(|o| &o.state);
        if !matches!(passed, Some(State::Forwarded { to }) if to == from) {
            return self.count("responses_unexpected", 1);
        }
        let body = serde_json::from_slice(&m.body).unwrap_or(Value::Null);
        self.finish(
            call,
            Response {
                status: m.status,
                retry_ms: m.retry_ms,
                body,
                by: m.by,
            },
        );
    }
}
