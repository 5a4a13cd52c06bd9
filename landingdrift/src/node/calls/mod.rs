//! Calls over HTTP, each with its origin; any node takes any call.

mod at;
mod config;
mod heartbeats;
mod jobs;
mod pass;
mod read;
mod status;

use super::Node;
use crate::node::propose::Purpose;
use crate::sans_io::{Effect, Now, Part, Request, Response};
use crate::state::{ApplyResult, Command, Rejection};
use crate::wire::{Body, ForwardResponse, NodeProgress, RequestToken};
use read::ReadThen;
use serde_json::json;
use std::collections::BTreeMap;

/// Where a call came from, and where its response goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    Local(u64),
    /// Another node passed it on: its address and token.
    Remote(String, RequestToken),
}

/// What is done once the replica has ruled on a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Then {
    Accepted { id: String },
    Cancelled { id: String },
    Configured { change: String },
    Resolved { id: String },
    Emptied,
}

enum State {
    /// Waits for a result of the cluster state.
    ProposalPending,
    /// Asked replicas how far the cluster state goes, one after the other; the next is asked at `next`.
    Asked {
        then: ReadThen,
        next: u64,
        asked: Vec<String>,
    },
    /// Waits until the watch has come to a place.
    Following {
        then: ReadThen,
        log_index: u64,
        nodes: Vec<NodeProgress>,
    },
    /// Waits until the watch has told all that was committed when the question came; after `patience` it tells what it knows.
    Fresh {
        id: String,
        asked: u64,
        patience: u64,
    },
    /// Passed on to another node, once.
    Forwarded { to: String },
}

struct Open {
    origin: Origin,
    until: u64,
    state: State,
}

/// The calls under way.
#[derive(Default)]
pub struct Calls {
    open: BTreeMap<u64, Open>,
}

impl Calls {
    /// How many calls are under way.
    pub fn len(&self) -> usize {
        self.open.len()
    }
    /// Whether no call is under way.
    pub fn idle(&self) -> bool {
        self.open.is_empty()
    }
}

/// One value of a query.
fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|kv| kv.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v)
}

/// Whether a call asks what a light copy of the cluster state does not know.
fn about_jobs(method: &str, parts: &[&str]) -> bool {
    method == "GET" && matches!(parts, ["v1", "jobs" | "status" | "workers", ..])
}

/// Whether a call counts towards the limit on calls: probes and heartbeats are always taken.
fn is_limited(parts: &[&str]) -> bool {
    let is_probe = parts.first() != Some(&"v1");
    !is_probe && parts != ["v1", "beats"]
}

/// Whether a route is served, if by another method.
fn is_route(parts: &[&str]) -> bool {
    matches!(
        parts,
        [
            "v1",
            "jobs" | "desired" | "beats" | "status" | "workers" | "zones",
            ..
        ] | ["live" | "ready" | "metrics"]
    )
}

impl Node {
    pub(super) fn on_call(&mut self, now: Now, origin: Origin, req: Request) {
        self.count("calls", 1);
        let path = req.path.trim_end_matches('/').to_string();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        if is_limited(&parts) && self.calls.len() as u64 >= self.settings.limits.calls {
            return self.turn_away(&origin);
        }
        if self.light && about_jobs(&req.method, &parts) {
            return self.forward_to_holder(now, origin, &req);
        }
        self.route(now, origin, req, &parts);
    }

    fn turn_away(&mut self, origin: &Origin) {
        self.count("calls_rejected", 1);
        let why = "this node works on as many calls as it may and took nothing of this one: come back later, or go to another node";
        let v = Response::error(503, "busy", why).retry(self.settings.bounds.back());
        self.reply(origin, v);
    }

    fn route(&mut self, now: Now, origin: Origin, req: Request, parts: &[&str]) {
        match (req.method.as_str(), parts) {
            ("GET", ["live"]) => self.reply(&origin, Response::new(200, json!({"live": true}))),
            ("GET", ["ready"]) => {
                let v = self.ready_response(now);
                self.reply(&origin, v);
            }
            ("GET", ["metrics"]) => {
                let v = self.metrics();
                self.reply(&origin, v);
            }
            ("POST", ["v1", "jobs"]) => self.submit(now, origin, &req.body),
            ("GET", ["v1", "jobs"]) => self.read(now, origin, ReadThen::Jobs { query: req.query }),
            ("GET", ["v1", "jobs", id]) => self.poll(now, origin, id),
            ("DELETE", ["v1", "jobs", id]) | ("POST", ["v1", "jobs", id, "cancel"]) => {
                self.cancel(now, origin, id)
            }
            ("POST", ["v1", "jobs", id, "tasks", task, "resolve"]) => {
                self.resolve(now, origin, id, task, &req.body)
            }
            ("GET", ["v1", "desired"]) => self.read(now, origin, ReadThen::ClusterConfig),
            ("PUT", ["v1", "desired"]) => self.configure(now, origin, &req, false),
            ("PATCH", ["v1", "desired"]) => self.configure(now, origin, &req, true),
            ("GET", ["v1", "changes", id]) => {
                let id = id.to_string();
                self.read(now, origin, ReadThen::Change { id });
            }
            ("GET", ["v1", "status"]) => self.read(now, origin, ReadThen::Status),
            ("GET", ["v1", "workers"]) => self.read(now, origin, ReadThen::Workers),
            (_, ["v1", "at", ..]) => self.on_routed(now, origin, &req),
            ("PUT", ["v1", "zones", zone, "empty"]) => self.evacuate_zone(now, origin, zone, true),
            ("DELETE", ["v1", "zones", zone, "empty"]) => {
                self.evacuate_zone(now, origin, zone, false)
            }
            ("POST", ["v1", "workers", id, "left"]) => self.on_left(now, origin, id, &req),
            ("POST", ["v1", "beats"]) => self.on_heartbeat(now, origin, req),
            (method, parts) => self.reply(&origin, not_served(method, parts)),
        }
    }

    fn ready_response(&self, now: Now) -> Response {
        let ready = self.ready(now);
        let status = if ready { 200 } else { 503 };
        let body = json!({"ready": ready, "place": self.state.applied_index, "version": self.state.version});
        Response::new(status, body)
    }

    pub(super) fn reply(&mut self, origin: &Origin, v: Response) {
        match origin {
            Origin::Local(call) => self.out.push(Effect::Answer(*call, v)),
            Origin::Remote(to, token) => {
                let body = serde_json::to_vec(&v.body).unwrap_or_default();
                let m = ForwardResponse {
                    token: *token,
                    status: v.status,
                    retry_ms: v.retry_ms,
                    body,
                    by: if v.by.is_empty() {
                        self.name.clone()
                    } else {
                        v.by
                    },
                };
                self.send(&to.clone(), Body::ForwardResponse(Box::new(m)));
            }
        }
    }

    /// Opens a call that can't be answered at once.
    fn open(&mut self, now: Now, origin: Origin, state: State) -> u64 {
        let call = self.token();
        let until = now.mono + self.settings.bounds.call();
        let open = Open {
            origin,
            until,
            state,
        };
        self.calls.open.insert(call, open);
        call
    }

    /// Opens a call whose response is what the cluster state makes of a command.
    fn open_with_proposal(&mut self, now: Now, origin: Origin, command: &Command, then: Then) {
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        self.propose(now, command, Purpose::Call(call, then), within);
    }

    pub(super) fn finish(&mut self, call: u64, v: Response) {
        if let Some(o) = self.calls.open.remove(&call) {
            self.reply(&o.origin, v);
        }
    }

    pub(super) fn calls_tick(&mut self, now: Now) {
        self.answer_fresh(now);
        let over = |o: &Open| now.mono >= o.until && !matches!(o.state, State::ProposalPending);
        for call in self.calls_that(over) {
            let v = self.overdue_response(call);
            self.finish(call, v);
        }
        let to_ask = |o: &Open| matches!(&o.state, State::Asked { next, .. } if now.mono >= *next);
        for call in self.calls_that(to_ask) {
            self.ask_place(now, call, None);
        }
    }

    /// The open calls of which something is true.
    fn calls_that(&self, is_meant: impl Fn(&Open) -> bool) -> Vec<u64> {
        let open = self.calls.open.iter();
        let meant = open.filter(|(_, o)| is_meant(o));
        meant.map(|(call, _)| *call).collect()
    }

    /// What is told of a call that could not be answered in time: one that was passed on may have been taken.
    fn overdue_response(&self, call: u64) -> Response {
        let open = self.calls.open.get(&call);
        if open.is_some_and(|o| matches!(o.state, State::Forwarded { .. })) {
            return self.unsure_response();
        }
        let why = "no core answered in time, so nothing sure can be said: come back later";
        Response::error(503, "noCore", why).retry(self.settings.bounds.back())
    }

    /// The cluster state has ruled on what a call proposed.
    pub(super) fn call_ruled(&mut self, call: u64, then: Then, ruled: ApplyResult) {
        let v = match then {
            // An earlier copy may have been taken.
            _ if ruled == Err(Rejection::DeadlinePassed) => self.unsure_response(),
            Then::Accepted { id } => self.accepted_response(&id, ruled),
            Then::Cancelled { id } => self.cancelled_response(&id, ruled),
            Then::Configured { change } => self.configured_response(&change, ruled),
            Then::Emptied => match ruled {
                Ok(told) => Response::new(200, told),
                Err(refusal) => refused_response(&refusal),
            },
            Then::Resolved { id } => match ruled {
                Ok(_) => Response::new(200, json!({"id": id, "resolved": true})),
                Err(refusal) => refused_response(&refusal),
            },
        };
        self.finish(call, v);
    }
}

/// What is told of a command that the cluster state has refused, where the refusal has no answer of its own.
fn refused_response(refusal: &Rejection) -> Response {
    Response::error(409, "refused", refusal.to_string())
}

/// The answer to a call that no route takes.
fn not_served(method: &str, parts: &[&str]) -> Response {
    if is_route(parts) {
        let why = format!(
            "{method} is not served here: docs/operators/api.md lists the methods of each route"
        );
        return Response::error(405, "wrongMethod", why);
    }
    let why = "no such route: docs/operators/api.md lists them";
    Response::error(404, "noSuchRoute", why)
}
