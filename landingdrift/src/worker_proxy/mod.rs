//! A worker proxy: stands beside a worker, keeps no state, and carries the worker's calls to the node that holds its zone scheduler.

mod open;
mod repeat;

pub use repeat::may_repeat;

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{Effect, Msg, Now, Part, Request, Response, Rng};
use crate::settings::Settings;
use crate::wire::{Body, ForwardRequest, ForwardResponse, RequestToken};
use open::{Asked, Open};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The query of a heartbeat whose worker says that it leaves.
pub const LEAVING: &str = "leaving";

/// A worker's call is sent to another node after this part of the time in which an answer is obeyed: several nodes can
/// be tried before it is over.
const WORKER_RETRY_PART: u64 = 5;
/// Any other call that may be repeated is sent to another node after this part of the time that nodes work on a call.
const RETRY_PART: u64 = 3;
/// A worker proxy asks for news of the nodes this many times less often than nodes ask each other: there are as many worker proxies as
/// workers.
const SHUFFLE_FACTOR: u64 = 10;

/// A worker proxy.
pub struct WorkerProxy {
    settings: Settings,
    rng: Rng,
    peer_sampler: PeerSampler,
    /// The node that answered last for the zone scheduler.
    holder: String,
    open: BTreeMap<u64, Open>,
    /// This life of the process: an answer to a former one is nobody's.
    incarnation: u64,
    next: u64,
    stopping: bool,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl WorkerProxy {
    /// A worker proxy that knows the seeds.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        Self {
            peer_sampler: PeerSampler::new(
                &settings.listen,
                "relay",
                &settings.zone,
                &settings.seeds,
            ),
            next: rng.number() >> 16,
            incarnation: rng.number(),
            rng,
            holder: String::new(),
            open: BTreeMap::new(),
            stopping: false,
            counters: BTreeMap::new(),
            out: Vec::new(),
            settings,
        }
    }

    fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    /// Whom to ask: the holder first, then any node that was not asked for this call.
    fn pick(&mut self, asked: &[Asked]) -> String {
        let fresh = |a: &&String| !a.is_empty() && !asked.iter().any(|b| b.node == **a);
        if fresh(&&self.holder) {
            return self.holder.clone();
        }
        let nodes = self.peer_sampler.of_role("node");
        let mut candidates: Vec<String> = nodes.iter().filter(fresh).cloned().collect();
        if candidates.is_empty() {
            candidates = self.settings.seeds.iter().filter(fresh).cloned().collect();
        }
        // Where all were asked, the seeds are asked again.
        let drawn = self.rng.pick(&candidates);
        let drawn = drawn.or_else(|| self.rng.pick(&self.settings.seeds));
        drawn.cloned().unwrap_or_default()
    }

    fn pass(&mut self, now: Now, token: u64) {
        let Some(mut o) = self.open.remove(&token) else {
            return;
        };
        let to = self.pick(&o.asked);
        let attempt = o.asked.len() as u32;
        o.asked.push(Asked {
            node: to.clone(),
            refused: false,
        });
        let pause = if o.is_of_worker() {
            self.settings.bounds.obey() / WORKER_RETRY_PART
        } else {
            self.settings.bounds.call() / RETRY_PART
        };
        o.again = o.repeatable().then(|| now.mono + pause);
        let m = ForwardRequest {
            token: RequestToken {
                incarnation: self.incarnation,
                number: token,
                attempt,
            },
            method: o.req.method.clone(),
            path: o.req.path.clone(),
            query: o.req.query.clone(),
            body: o.req.body.clone(),
        };
        self.open.insert(token, o);
        self.count("forwarded");
        self.out
            .push(Effect::Send(to, Body::ForwardRequest(Box::new(m))));
    }

    fn on_tick(&mut self, now: Now) {
        // It asks for a part of a neighbour's view and gives none: workers' machines are not those to be known.
        let every = SHUFFLE_FACTOR * self.settings.bounds.shuffle();
        if let Some((to, mut m)) = self.peer_sampler.tick(now, every, &mut self.rng) {
            m.view.clear();
            m.replicas.clear();
            self.out.push(Effect::Send(to, Body::Shuffle(Box::new(m))));
        }
        for token in self.calls_that(|o| now.mono >= o.until) {
            self.give_up(token);
        }
        for token in self.calls_that(|o| o.again.is_some_and(|at| now.mono >= at)) {
            self.holder.clear();
            self.pass(now, token);
        }
        if self.stopping && self.open.is_empty() {
            self.out.push(Effect::Exit);
        }
    }

    /// The open calls of which something is true.
    fn calls_that(&self, is_meant: impl Fn(&Open) -> bool) -> Vec<u64> {
        let meant = self.open.iter().filter(|(_, o)| is_meant(o));
        meant.map(|(token, _)| *token).collect()
    }

    /// Nobody speaks for the zone scheduler now. A worker that is told so by a refusal comes back after a growing pause, and what it
    /// runs is not held meanwhile; so it is told that there are no orders and when to heartbeat again. That acknowledges
    /// nothing: one that says it leaves is refused. Any other call that a node may have taken is unsure.
    fn give_up(&mut self, token: u64) {
        let Some(o) = self.open.remove(&token) else {
            return;
        };
        self.count("given_up");
        let heartbeat = self.settings.bounds.worker_heartbeat();
        let v = if o.is_heartbeat() && o.req.query != LEAVING {
            Response::new(
                200,
                json!({"starts": [], "stops": [], "settled": [], "beatMs": heartbeat}),
            )
        } else if !o.is_heartbeat() && o.maybe_taken() {
            unsure(heartbeat)
        } else {
            let why = "no node answered for the cell: call again";
            Response::error(503, "noCell", why).retry(heartbeat)
        };
        self.out.push(Effect::Answer(o.call, v));
    }

    fn on_call(&mut self, now: Now, call: u64, req: Request) {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/live" | "/ready") => {
                let v = Response::new(200, json!({"ready": true}));
                self.out.push(Effect::Answer(call, v));
            }
            ("GET", "/metrics") => {
                let v = self.metrics();
                self.out.push(Effect::Answer(call, v));
            }
            _ => self.open_call(now, call, req),
        }
    }

    fn open_call(&mut self, now: Now, call: u64, req: Request) {
        self.next += 1;
        let token = self.next;
        let mut o = Open {
            call,
            req,
            until: now.mono + self.settings.bounds.call(),
            again: None,
            asked: Vec::new(),
        };
        if o.is_of_worker() {
            // An answer that takes longer is not obeyed.
            o.until = now.mono + self.settings.bounds.obey() * 4 / 5;
        }
        self.open.insert(token, o);
        self.pass(now, token);
    }
}

impl WorkerProxy {
    /// Takes an answer from the node that was asked, for the call that it was asked for.
    fn on_forwarded(&mut self, now: Now, from: &str, m: ForwardResponse) {
        let token = m.token.number;
        let attempt = self
            .open
            .get_mut(&token)
            .filter(|_| m.token.incarnation == self.incarnation)
            .and_then(|o| o.asked.get_mut(m.token.attempt as usize))
            .filter(|attempt| attempt.node == from);
        let Some(attempt) = attempt else {
            return self.count("responses_unexpected");
        };
        let body: Value = serde_json::from_slice(&m.body).unwrap_or_default();
        let refused = m.status == 503 && body["error"] != json!("unsure");
        attempt.refused = refused;
        let again = self.open.get(&token).is_some_and(Open::repeatable);
        if refused || (m.status == 503 && again) {
            return self.try_another(now, token, from, m.by);
        }
        let Some(o) = self.open.remove(&token) else {
            return;
        };
        if m.status == 200 {
            self.holder = if m.by.is_empty() { from.into() } else { m.by };
        }
        let v = if (400..500).contains(&m.status) && o.maybe_taken_elsewhere(m.token.attempt) {
            unsure(self.settings.bounds.worker_heartbeat())
        } else {
            Response {
                status: m.status,
                retry_ms: m.retry_ms,
                body,
                ..Response::default()
            }
        };
        self.out.push(Effect::Answer(o.call, v));
    }

    /// A node is not the holder, which it may name, or can't speak for the zone scheduler now: another may be able to.
    fn try_another(&mut self, now: Now, token: u64, from: &str, by: String) {
        let named = !by.is_empty() && by != from;
        self.holder = if named { by } else { String::new() };
        let Some(o) = self.open.get_mut(&token) else {
            return;
        };
        if named && !o.was_asked(&self.holder) {
            return self.pass(now, token);
        }
        let soon = now.mono + self.settings.bounds.tick();
        let at = o.again.map_or(soon, |again| again.min(soon));
        o.again = Some(at.max(now.mono + 1));
    }
}

/// A node may have taken a call and gave no answer.
fn unsure(retry_ms: u64) -> Response {
    let why = "it is not known whether this was taken: look, then call again";
    Response::error(503, "unsure", why).retry(retry_ms)
}

impl Part for WorkerProxy {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Call(call, req) => self.on_call(now, call, req),
            Msg::Wire(_, Body::Shuffle(m)) => {
                let _ = self.peer_sampler.take(*m, &mut self.rng);
            }
            Msg::Wire(from, Body::ForwardResponse(m)) => self.on_forwarded(now, &from, *m),
            Msg::SettingsChanged(new) => self.settings = *new,
            Msg::Stop => self.stopping = true,
            Msg::Wire(..) | Msg::Persisted(_) | Msg::DiskFailed(_) => {}
        }
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(k, v)| (k.to_string(), *v))
            .collect();
        all.push(("calls_open".into(), self.open.len() as u64));
        all.push(("view_size".into(), self.peer_sampler.len() as u64));
        all
    }
}
