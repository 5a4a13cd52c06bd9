//! The worker proxy: runs beside a worker, persists nothing, and forwards the worker's calls to the node that holds the
//! lease of its zone.

mod open_call;
mod repeat;

pub use repeat::is_idempotent;

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{Effect, Msg, Now, Request, Response, Rng, StateMachine};
use crate::settings::Settings;
use crate::wire::{Body, ForwardRequest, ForwardResponse, RequestToken};
use open_call::{CallAttempt, OpenCall};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Query string of a heartbeat in which the worker announces that it is leaving.
pub const LEAVING: &str = "leaving";

/// Divisor of the maximum age at which workers obey a response, giving the retry timeout of a worker's call: several
/// nodes can be tried in time.
const WORKER_RETRY_DIVISOR: u64 = 5;
/// Divisor of the request timeout, giving the retry timeout of any other repeatable call.
const RETRY_DIVISOR: u64 = 3;
/// Factor from the nodes' shuffle interval to that of worker proxies, which are many: there is one per worker.
const SHUFFLE_FACTOR: u64 = 10;

/// The state machine of a worker proxy, driven by ticks, messages and calls.
pub struct WorkerProxy {
    settings: Settings,
    rng: Rng,
    peer_sampler: PeerSampler,
    /// The node that last answered as the holder of the zone lease; empty where none is known.
    holder: String,
    open: BTreeMap<u64, OpenCall>,
    /// Random number of this process; responses to requests of an earlier process are dropped.
    incarnation: u64,
    next_token: u64,
    stopping: bool,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl WorkerProxy {
    /// Creates a worker proxy that knows only the seeds. It learns of nodes by shuffles, its own or those of a zone
    /// scheduler that misses the worker's heartbeats.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        Self {
            peer_sampler: PeerSampler::new(&settings.listen, "relay", &settings.zone),
            // The upper 16 bits are left free, so that incrementing the token does not overflow.
            next_token: rng.next_u64() >> 16,
            incarnation: rng.next_u64(),
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

    /// The node to forward a call to: the lease holder, else another known node, else a seed, each only if the call was
    /// not sent to it yet; otherwise any of them.
    fn pick_node(&mut self, attempts: &[CallAttempt]) -> String {
        let is_untried = |node: &&String| {
            let mut tried = attempts.iter();
            !node.is_empty() && !tried.any(|attempt| attempt.node == **node)
        };
        if is_untried(&&self.holder) {
            return self.holder.clone();
        }
        let nodes = self.peer_sampler.with_role("node");
        let mut candidates: Vec<String> = nodes.iter().filter(is_untried).cloned().collect();
        if candidates.is_empty() {
            candidates = self
                .settings
                .seeds
                .iter()
                .filter(is_untried)
                .cloned()
                .collect();
        }
        if candidates.is_empty() {
            // All were tried.
            candidates = [nodes, self.settings.seeds.clone()].concat();
        }
        self.rng.pick(&candidates).cloned().unwrap_or_default()
    }

    /// Forwards a call to a node that it was not sent to yet, if there is one, else to one again.
    fn forward(&mut self, now: Now, token: u64) {
        let Some(mut open_call) = self.open.remove(&token) else {
            return;
        };
        let to = self.pick_node(&open_call.attempts);
        let attempt = open_call.attempts.len() as u32;
        open_call.attempts.push(CallAttempt {
            node: to.clone(),
            is_rejected: false,
        });
        let retry_after = if open_call.is_worker_call() {
            self.settings.bounds.max_start_order_age() / WORKER_RETRY_DIVISOR
        } else {
            self.settings.bounds.request_timeout() / RETRY_DIVISOR
        };
        open_call.retry_at = open_call.is_repeatable().then_some(now.mono + retry_after);
        let request = &open_call.request;
        let forward_request = ForwardRequest {
            token: RequestToken {
                incarnation: self.incarnation,
                number: token,
                attempt,
            },
            method: request.method.clone(),
            path: request.path.clone(),
            query: request.query.clone(),
            body: request.body.clone(),
        };
        self.open.insert(token, open_call);
        self.count("forwarded");
        let body = Body::ForwardRequest(Box::new(forward_request));
        self.out.push(Effect::Send(to, body));
    }

    fn on_tick(&mut self, now: Now) {
        // The view is cleared: the proxy learns of peers but advertises none, and no process connects to worker
        // machines.
        let interval_ms = SHUFFLE_FACTOR * self.settings.bounds.shuffle_interval();
        let seeds = &self.settings.seeds;
        let started = self
            .peer_sampler
            .tick(now, interval_ms, seeds, &mut self.rng);
        if let Some((peer, mut shuffle)) = started {
            shuffle.view.clear();
            shuffle.replicas.clear();
            let body = Body::Shuffle(Box::new(shuffle));
            self.out.push(Effect::Send(peer, body));
        }
        for token in self.calls_matching(|open_call| now.mono >= open_call.deadline) {
            self.time_out(token);
        }
        let must_retry = |open_call: &OpenCall| open_call.retry_at.is_some_and(|at| now.mono >= at);
        for token in self.calls_matching(must_retry) {
            self.holder.clear();
            self.forward(now, token);
        }
        if self.stopping && self.open.is_empty() {
            self.out.push(Effect::Exit);
        }
    }

    /// The open calls that meet a condition.
    fn calls_matching(&self, condition: impl Fn(&OpenCall) -> bool) -> Vec<u64> {
        let open = self.open.iter();
        let matching = open.filter(|(_, open_call)| condition(open_call));
        matching.map(|(token, _)| *token).collect()
    }

    /// Answers a call that no node answered in time.
    ///
    /// A heartbeat gets a response without orders, because a worker backs off exponentially after an error and its
    /// lease is not renewed meanwhile. The heartbeat of a leaving worker gets an error, because a response without
    /// orders would look like an acknowledgement. For any other call that may have had an effect, the outcome is
    /// unknown; the rest get a 503 error.
    fn time_out(&mut self, token: u64) {
        let Some(open_call) = self.open.remove(&token) else {
            return;
        };
        self.count("given_up");
        let heartbeat_ms = self.settings.bounds.worker_heartbeat_interval();
        let is_leaving = open_call.request.query == LEAVING;
        let response = if open_call.is_heartbeat() && !is_leaving {
            Response::new(
                200,
                json!({"starts": [], "stops": [], "settled": [], "beatMs": heartbeat_ms}),
            )
        } else if !open_call.is_heartbeat() && open_call.may_have_had_effect() {
            unknown_outcome_response(heartbeat_ms)
        } else {
            let message = "no node answered for the zone: call again";
            Response::error(503, "noCell", message).retry(heartbeat_ms)
        };
        self.out.push(Effect::Respond(open_call.call, response));
    }

    fn on_call(&mut self, now: Now, call: u64, request: Request) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/live" | "/ready") => {
                let response = Response::new(200, json!({"ready": true}));
                self.out.push(Effect::Respond(call, response));
            }
            ("GET", "/metrics") => {
                let response = self.metrics();
                self.out.push(Effect::Respond(call, response));
            }
            _ => self.register_call(now, call, request),
        }
    }

    fn register_call(&mut self, now: Now, call: u64, request: Request) {
        self.next_token += 1;
        let token = self.next_token;
        let mut open_call = OpenCall {
            call,
            request,
            deadline: now.mono + self.settings.bounds.request_timeout(),
            retry_at: None,
            attempts: Vec::new(),
        };
        if open_call.is_worker_call() {
            // The worker would not obey a later response.
            open_call.deadline = now.mono + self.settings.bounds.max_start_order_age() * 4 / 5;
        }
        self.open.insert(token, open_call);
        self.forward(now, token);
    }

    /// Handles the response of a node to a forwarded call.
    fn on_forward_response(&mut self, now: Now, from: &str, node_response: ForwardResponse) {
        let RequestToken {
            number: token,
            incarnation,
            attempt: index,
        } = node_response.token;
        let open_call = self.open.get_mut(&token);
        let attempt = open_call
            .filter(|_| incarnation == self.incarnation)
            .and_then(|open_call| open_call.attempts.get_mut(index as usize))
            .filter(|attempt| attempt.node == from);
        let Some(attempt) = attempt else {
            return self.count("responses_unexpected");
        };
        let body: Value = serde_json::from_slice(&node_response.body).unwrap_or_default();
        let is_service_unavailable = node_response.status == 503;
        let is_rejected = is_service_unavailable && body["error"] != json!("unsure");
        attempt.is_rejected = is_rejected;
        let repeatable = self.open.get(&token).is_some_and(OpenCall::is_repeatable);
        if is_rejected || (is_service_unavailable && repeatable) {
            return self.try_another(now, token, from, node_response.by);
        }
        let Some(open_call) = self.open.remove(&token) else {
            return;
        };
        if node_response.status == 200 {
            let named = node_response.by;
            self.holder = if named.is_empty() { from.into() } else { named };
        }
        let is_client_error = (400..500).contains(&node_response.status);
        let response = if is_client_error && open_call.may_have_had_effect_elsewhere(index) {
            unknown_outcome_response(self.settings.bounds.worker_heartbeat_interval())
        } else {
            Response {
                status: node_response.status,
                retry_ms: node_response.retry_ms,
                body,
                ..Response::default()
            }
        };
        self.out.push(Effect::Respond(open_call.call, response));
    }

    /// Retries a call at another node after a rejection; `by` may name the lease holder.
    fn try_another(&mut self, now: Now, token: u64, from: &str, by: String) {
        let named = !by.is_empty() && by != from;
        self.holder = if named { by } else { String::new() };
        let Some(open_call) = self.open.get_mut(&token) else {
            return;
        };
        if named && !open_call.was_sent_to(&self.holder) {
            return self.forward(now, token);
        }
        let soon = now.mono + self.settings.bounds.tick_interval();
        let retry_at = open_call.retry_at.map_or(soon, |at| at.min(soon));
        open_call.retry_at = Some(retry_at.max(now.mono + 1));
    }
}

/// The response to a call whose outcome is unknown because it may have had an effect.
fn unknown_outcome_response(retry_ms: u64) -> Response {
    let message = "the outcome of this call is unknown: check the state, then call again";
    Response::error(503, "unsure", message).retry(retry_ms)
}

impl StateMachine for WorkerProxy {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Call(call, request) => self.on_call(now, call, request),
            Msg::Received(_, Body::Shuffle(shuffle)) => {
                // No reply: the proxy does not advertise its view.
                let _ = self.peer_sampler.receive(*shuffle, &mut self.rng);
            }
            Msg::Received(from, Body::ForwardResponse(response)) => {
                self.on_forward_response(now, &from, *response)
            }
            Msg::SettingsChanged(settings) => self.settings = *settings,
            Msg::Stop => self.stopping = true,
            Msg::Received(..) | Msg::Persisted(_) | Msg::WriteFailed(_) => {}
        }
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(name, number)| (name.to_string(), *number))
            .collect();
        all.push(("calls_open".into(), self.open.len() as u64));
        all.push(("view_size".into(), self.peer_sampler.len() as u64));
        all
    }
}
