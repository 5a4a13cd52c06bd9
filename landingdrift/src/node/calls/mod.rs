//! Calls over HTTP, each with its origin; any node takes any call.

mod at;
mod desired;
mod jobs;
mod status;

use super::cell::Beat;
use super::Node;
use crate::kernel::{Effect, Now, Part, Request, Verdict};
use crate::record::{cell_duty, Refusal, Ruling};
use crate::wire::{Body, Forward, Forwarded, NodePlace, ReadAsk, ReadPlace, RequestToken};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Where a call came from, and where its verdict goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    Local(u64),
    /// Another node passed it on: its address and token.
    Remote(String, RequestToken),
}

/// What is done once the core has ruled on a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Then {
    Accepted { id: String },
    Cancelled { id: String },
    Configured { change: String },
    Resolved { id: String },
    Emptied,
}

/// What is done once this node has followed to a place that the core named.
#[derive(Clone, Debug, PartialEq)]
enum ReadThen {
    Job { id: String },
    Jobs { query: String },
    Desired,
    Change { id: String },
    Status,
    Workers,
}

enum State {
    /// Waits for a ruling of the record.
    Proposed,
    /// Asked cores how far the record goes, one after the other; the next is asked at `next`.
    Asked {
        then: ReadThen,
        next: u64,
        asked: Vec<String>,
    },
    /// Waits until the feed has come to a place.
    Following {
        then: ReadThen,
        place: u64,
        nodes: Vec<NodePlace>,
    },
    /// Waits until the feed has told all that was committed when the question came; after `patience` it tells what it knows.
    Fresh {
        id: String,
        asked: u64,
        patience: u64,
    },
    /// Passed on to another node, once.
    Passed { to: String },
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

/// Whether a call asks what a light copy of the record does not know.
fn about_jobs(method: &str, parts: &[&str]) -> bool {
    method == "GET" && matches!(parts, ["v1", "jobs" | "status" | "workers", ..])
}

impl Node {
    /// Passes a call on to a node that holds a duty, and so follows jobs and workers.
    pub(super) fn pass_to_duty(&mut self, now: Now, origin: Origin, req: &Request) {
        let holders: Vec<String> = self
            .record
            .grants
            .values()
            .map(|g| g.holder.clone())
            .filter(|h| !h.is_empty() && *h != self.name)
            .collect();
        let to = self.draw.pick(&holders).cloned();
        match to.filter(|_| matches!(origin, Origin::Local(_))) {
            Some(to) => self.pass_on(now, origin, &to, req),
            None => {
                let why = "this node keeps no jobs and knows of none that does: come back later, or go to another node";
                let v = Verdict::error(503, "noDuty", why).retry(self.cfg.bounds.back());
                self.reply(&origin, v);
            }
        }
    }

    pub(super) fn on_call(&mut self, now: Now, origin: Origin, req: Request) {
        self.count("calls", 1);
        let path = req.path.trim_end_matches('/').to_string();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let probe = !matches!(parts.first(), Some(&"v1"));
        if !probe && parts != ["v1", "beats"] && self.calls.len() as u64 >= self.cfg.limits.calls {
            self.count("calls_turned_away", 1);
            return self.reply(
                &origin,
                Verdict::error(
                    503,
                    "busy",
                    "this node works on as many calls as it may and took nothing of this one: come back later, or go to another node",
                )
                .retry(self.cfg.bounds.back()),
            );
        }
        if self.light && about_jobs(&req.method, &parts) {
            return self.pass_to_duty(now, origin, &req);
        }
        match (req.method.as_str(), parts.as_slice()) {
            ("GET", ["live"]) => self.reply(&origin, Verdict::new(200, json!({"live": true}))),
            ("GET", ["ready"]) => {
                let ready = self.ready(now);
                self.reply(
                    &origin,
                    Verdict::new(if ready { 200 } else { 503 }, json!({"ready": ready, "place": self.record.place, "version": self.record.version})),
                );
            }
            ("GET", ["metrics"]) => {
                let v = self.metrics();
                self.reply(&origin, v);
            }
            ("POST", ["v1", "jobs"]) => self.submit(now, origin, &req.body),
            ("GET", ["v1", "jobs"]) => self.read(now, origin, ReadThen::Jobs { query: req.query }),
            ("GET", ["v1", "jobs", id]) => self.poll(now, origin, id),
            ("DELETE", ["v1", "jobs", id]) | ("POST", ["v1", "jobs", id, "cancel"]) => self.cancel(now, origin, id),
            ("POST", ["v1", "jobs", id, "tasks", task, "resolve"]) => self.resolve(now, origin, id, task, &req.body),
            ("GET", ["v1", "desired"]) => self.read(now, origin, ReadThen::Desired),
            ("PUT", ["v1", "desired"]) => self.configure(now, origin, &req, false),
            ("PATCH", ["v1", "desired"]) => self.configure(now, origin, &req, true),
            ("GET", ["v1", "changes", id]) => self.read(now, origin, ReadThen::Change { id: id.to_string() }),
            ("GET", ["v1", "status"]) => self.read(now, origin, ReadThen::Status),
            ("GET", ["v1", "workers"]) => self.read(now, origin, ReadThen::Workers),
            (_, ["v1", "at", ..]) => self.on_routed(now, origin, &req),
            ("PUT", ["v1", "zones", zone, "empty"]) => self.empty_zone(now, origin, zone, true),
            ("DELETE", ["v1", "zones", zone, "empty"]) => self.empty_zone(now, origin, zone, false),
            ("POST", ["v1", "workers", id, "left"]) => self.on_left(now, origin, id, &req),
            ("POST", ["v1", "beats"]) => self.on_beat(now, origin, req),
            (_, ["v1", "jobs" | "desired" | "beats" | "status" | "workers" | "zones", ..] | ["live" | "ready" | "metrics"]) => self.reply(
                &origin,
                Verdict::error(405, "wrongMethod", format!("{} is not served here: docs/operators/api.md lists the methods of each route", req.method)),
            ),
            _ => self.reply(&origin, Verdict::error(404, "noSuchRoute", "no such route: docs/operators/api.md lists them")),
        }
    }

    pub(super) fn reply(&mut self, origin: &Origin, v: Verdict) {
        match origin {
            Origin::Local(call) => self.out.push(Effect::Answer(*call, v)),
            Origin::Remote(to, token) => {
                let body = serde_json::to_vec(&v.body).unwrap_or_default();
                let m = Forwarded {
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
                self.send(&to.clone(), Body::Forwarded(Box::new(m)));
            }
        }
    }

    /// Opens a call that can't be answered at once.
    fn open(&mut self, now: Now, origin: Origin, state: State) -> u64 {
        let call = self.token();
        let until = now.mono + self.cfg.bounds.call();
        self.calls.open.insert(
            call,
            Open {
                origin,
                until,
                state,
            },
        );
        call
    }

    pub(super) fn finish(&mut self, call: u64, v: Verdict) {
        if let Some(o) = self.calls.open.remove(&call) {
            self.reply(&o.origin, v);
        }
    }

    /// Reads what is surely not old: the core names the place to follow to.
    fn read(&mut self, now: Now, origin: Origin, then: ReadThen) {
        let call = self.open(
            now,
            origin,
            State::Asked {
                then,
                next: now.mono,
                asked: Vec::new(),
            },
        );
        self.ask_place(now, call, None);
    }

    fn ask_place(&mut self, now: Now, call: u64, hint: Option<String>) {
        let cores = self.cores();
        let leader = Some(self.feed.leader.clone()).filter(|l| !l.is_empty());
        let to = hint
            .filter(|h| !h.is_empty())
            .or(leader)
            .or_else(|| self.draw.pick(&cores).cloned())
            .unwrap_or_default();
        let again = 5 * self.cfg.bounds.heartbeat();
        if let Some(Open {
            state: State::Asked { next, asked, .. },
            ..
        }) = self.calls.open.get_mut(&call)
        {
            *next = now.mono + again;
            let attempt = asked.len();
            asked.push(to.clone());
            let token = self.request_token(call, attempt);
            self.send(&to, Body::ReadAsk(Box::new(ReadAsk { token })));
        }
    }

    pub(super) fn on_read_place(&mut self, now: Now, from: &str, m: ReadPlace) {
        let call = m.token.number;
        let Some(o) = self.calls.open.get_mut(&call) else {
            return;
        };
        let State::Asked { then, next, asked } = &mut o.state else {
            return;
        };
        let attempt = m.token.attempt as usize;
        if asked.get(attempt).is_none_or(|to| to != from) {
            return self.count("answers_unasked", 1);
        }
        if m.ok {
            let then = then.clone();
            o.state = State::Following {
                then,
                place: m.place,
                nodes: m.nodes,
            };
            self.calls_on_place();
        } else {
            *next = now.mono + self.cfg.bounds.heartbeat() / 2;
            if !m.leader.is_empty() && m.leader != self.feed.leader {
                self.ask_place(now, call, Some(m.leader));
            } else {
                let cores = self.cores();
                self.feed.leader = self.draw.pick(&cores).cloned().unwrap_or_default();
            }
        }
    }

    pub(super) fn calls_on_place(&mut self) {
        let place = self.record.place;
        let ready: Vec<(u64, ReadThen, Vec<NodePlace>)> = self
            .calls
            .open
            .iter()
            .filter_map(|(k, o)| match &o.state {
                State::Following {
                    then,
                    place: p,
                    nodes,
                } if *p <= place => Some((*k, then.clone(), nodes.clone())),
                _ => None,
            })
            .collect();
        for (call, then, nodes) in ready {
            let v = self.answer_read(&then, &nodes);
            self.finish(call, v);
        }
    }

    fn answer_read(&self, then: &ReadThen, nodes: &[NodePlace]) -> Verdict {
        match then {
            ReadThen::Job { id } => self.job_verdict(id, false).unwrap_or_else(|| {
                Verdict::error(
                    404,
                    "unknownJob",
                    format!("no job '{id}' was accepted: hand it in, or check the id"),
                )
            }),
            ReadThen::Jobs { query } => self.jobs_verdict(query),
            ReadThen::Desired => Verdict::new(
                200,
                json!({"version": self.record.version, "desired": self.record.desired}),
            ),
            ReadThen::Change { id } => self.change_verdict(id, nodes),
            ReadThen::Status => self.status_verdict(nodes),
            ReadThen::Workers => self.workers_verdict(),
        }
    }

    /// Answers questions after jobs that the feed is now fresh enough for, or that have waited long enough.
    pub(super) fn answer_fresh(&mut self, now: Now) {
        let fresh_at = self.feed.fresh_at;
        let due: Vec<(u64, String, bool)> = self
            .calls
            .open
            .iter()
            .filter_map(|(k, o)| match &o.state {
                State::Fresh {
                    id,
                    asked,
                    patience,
                } if fresh_at >= *asked || now.mono >= *patience => {
                    Some((*k, id.clone(), fresh_at < *asked))
                }
                _ => None,
            })
            .collect();
        for (call, id, stale) in due {
            let verdict = self.job_verdict(&id, stale);
            verdict.into_iter().for_each(|v| self.finish(call, v));
        }
    }

    pub(super) fn calls_tick(&mut self, now: Now) {
        self.answer_fresh(now);
        let over: Vec<u64> = self
            .calls
            .open
            .iter()
            .filter(|(_, o)| now.mono >= o.until && !matches!(o.state, State::Proposed))
            .map(|(k, _)| *k)
            .collect();
        for call in over {
            let passed = matches!(
                self.calls.open.get(&call).map(|o| &o.state),
                Some(State::Passed { .. })
            );
            let v = if passed {
                self.unsure_verdict()
            } else {
                Verdict::error(
                    503,
                    "noCore",
                    "no core answered in time, so nothing sure can be said: come back later",
                )
                .retry(self.cfg.bounds.back())
            };
            self.finish(call, v);
        }
        let ask: Vec<u64> = self
            .calls
            .open
            .iter()
            .filter(|(_, o)| matches!(&o.state, State::Asked { next, .. } if now.mono >= *next))
            .map(|(k, _)| *k)
            .collect();
        ask.into_iter().for_each(|c| self.ask_place(now, c, None));
    }

    /// The record has ruled on what a call proposed.
    pub(super) fn call_ruled(&mut self, call: u64, then: Then, ruled: Ruling) {
        let v = match then {
            // An earlier copy may have been taken.
            _ if ruled == Err(Refusal::Late) => self.unsure_verdict(),
            Then::Accepted { id } => self.accepted_verdict(&id, ruled),
            Then::Cancelled { id } => self.cancelled_verdict(&id, ruled),
            Then::Configured { change } => self.configured_verdict(&change, ruled),
            Then::Emptied => ruled.map_or_else(
                |r| Verdict::error(409, "refused", r.to_string()),
                |v| Verdict::new(200, v),
            ),
            Then::Resolved { id } => ruled.map_or_else(
                |r| Verdict::error(409, "refused", r.to_string()),
                |_| Verdict::new(200, json!({"id": id, "resolved": true})),
            ),
        };
        self.finish(call, v);
    }

    fn on_beat(&mut self, now: Now, origin: Origin, req: Request) {
        let de = &mut serde_json::Deserializer::from_slice(&req.body);
        let beat: Beat = match serde_path_to_error::deserialize(de) {
            Ok(b) => b,
            Err(e) => {
                return self.reply(
                    &origin,
                    Verdict::error(
                        400,
                        "wrongBeat",
                        format!(
                            "{}: {}; docs/operators/workers.md shows a beat",
                            e.path(),
                            e.inner()
                        ),
                    ),
                )
            }
        };
        if beat.facts.worker.is_empty()
            || beat.facts.zone.is_empty()
            || beat.facts.service.is_empty()
        {
            return self.reply(
                &origin,
                Verdict::error(
                    400,
                    "wrongBeat",
                    "facts.worker, facts.zone and facts.service need a value: name them",
                ),
            );
        }
        let holder = self
            .record
            .holder(&cell_duty(&beat.facts.zone))
            .map(|g| g.holder.clone());
        let remote = matches!(origin, Origin::Remote(..));
        match holder {
            Some(h) if h != self.name && !h.is_empty() && !remote => {
                self.pass_on(now, origin, &h, &req)
            }
            Some(h) if h != self.name && !h.is_empty() => {
                // A beat is passed on once; who is asked by another names the holder it knows.
                let v = Verdict {
                    by: h,
                    ..Verdict::error(
                        503,
                        "notHolder",
                        "another node holds the cell: ask that one",
                    )
                };
                self.reply(&origin, v);
            }
            None => {
                let v = self.found_zone(&beat);
                self.reply(&origin, v);
            }
            _ => {
                let v = self.beat(now, beat);
                self.reply(&origin, v);
            }
        }
    }

    /// A worker has left: the holder of its cell takes note.
    fn on_left(&mut self, now: Now, origin: Origin, worker: &str, req: &Request) {
        let known = self.record.workers.get(worker);
        let zone = known.map(|w| w.facts.zone.clone()).unwrap_or_default();
        let holder = self.record.holder(&cell_duty(&zone));
        let holder = holder.map(|g| g.holder.clone()).unwrap_or_default();
        if !holder.is_empty() && holder != self.name && matches!(origin, Origin::Local(_)) {
            return self.pass_on(now, origin, &holder, req);
        }
        self.left(now, worker);
        self.reply(&origin, Verdict::new(200, json!({"worker": worker})));
    }

    /// A zone that nobody declared and no node stands in has no cell.
    fn found_zone(&mut self, beat: &Beat) -> Verdict {
        Verdict::error(
            503,
            "noCell",
            format!(
                "zone '{}' has no cell yet: declare the zone in the desired state, then beat again",
                beat.facts.zone
            ),
        )
        .retry(self.cfg.bounds.beat())
    }

    fn pass_on(&mut self, now: Now, origin: Origin, to: &str, req: &Request) {
        let call = self.open(now, origin, State::Passed { to: to.into() });
        let m = Forward {
            token: self.request_token(call, 0),
            method: req.method.clone(),
            path: req.path.clone(),
            query: req.query.clone(),
            body: req.body.clone(),
        };
        self.count("calls_passed_on", 1);
        self.send(to, Body::Forward(Box::new(m)));
    }

    pub(super) fn on_forward(&mut self, now: Now, from: &str, m: Forward) {
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

    pub(super) fn on_forwarded(&mut self, from: &str, m: Forwarded) {
        let call = m.token.number;
        let passed = self.calls.open.get(&call).map(|o| &o.state);
        if !matches!(passed, Some(State::Passed { to }) if to == from) {
            return self.count("answers_unasked", 1);
        }
        let body = serde_json::from_slice(&m.body).unwrap_or(Value::Null);
        self.finish(
            call,
            Verdict {
                status: m.status,
                retry_ms: m.retry_ms,
                body,
                by: m.by,
            },
        );
    }
}
