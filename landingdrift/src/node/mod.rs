//! A node: follows the cluster state, serves calls, and schedules the queues and zones whose leases it holds.
//!
//! - `watch` follows the cluster state, `propose` proposes changes to it,
//! - `calls` serves HTTP,
//! - `scheduler` and `gangs` place the tasks of the queues whose leases this node holds,
//! - `zone_scheduler` manages the workers of the zones whose leases it holds,
//! - `known_index` tells which part of the log this node knew when it received a call,
//! - `gossip` keeps the peer sampler's view up to date.

mod calls;
mod gangs;
mod gossip;
mod known_index;
mod propose;
mod scheduler;
mod watch;
mod zone_scheduler;

pub use zone_scheduler::{
    find_stragglers, Heartbeat, ObservedRun, RescheduleReason, RunProgress, RunningAttempt,
};

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{fnv1a, Effect, Msg, Now, Response, Rng, StateMachine};
use crate::settings::Settings;
use crate::state::ClusterState;
use crate::wire::{Body, RequestToken};
use std::collections::{BTreeMap, VecDeque};

/// Divisor of the election timeout: a longer time between two ticks means that the process was frozen.
const FREEZE_TIMEOUT_DIVISOR: u64 = 2;

/// The state machine of a node, driven by ticks, messages and calls.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) name: String,
    pub(crate) rng: Rng,
    pub(crate) state: ClusterState,
    /// `state` is a light copy: it has the configuration, leases and nodes, but neither jobs nor workers.
    pub(crate) light: bool,
    pub(crate) watch: watch::Watch,
    pub(crate) peer_sampler: PeerSampler,
    pub(crate) zone_schedulers: BTreeMap<String, zone_scheduler::ZoneScheduler>,
    pub(crate) scheduler: scheduler::Scheduler,
    pub(crate) calls: calls::Calls,
    pub(crate) proposals: BTreeMap<u64, propose::Proposal>,
    known_index: known_index::KnownIndex,
    /// Random number of this process; responses to requests of an earlier process are dropped.
    pub(crate) incarnation: u64,
    next_token: u64,
    last_tick: u64,
    /// The time of the next introductions to worker proxies.
    next_introductions_at: u64,
    /// Deadline for the exit of a stopping node, in monotonic milliseconds; none while it is not stopping.
    stopping: Option<u64>,
    /// Messages that this node has sent to itself.
    loopback: VecDeque<Body>,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl Node {
    /// Creates a node that has not received the cluster state yet.
    pub fn new(settings: Settings, now: Now, seed: u64) -> Self {
        let name = settings.listen.clone();
        let mut rng = Rng::new(seed ^ fnv1a(name.as_bytes()));
        let first_token = rng.next_u64();
        let incarnation = rng.next_u64();
        Self {
            state: ClusterState::new(&settings.cluster),
            light: false,
            watch: watch::Watch::new(now),
            peer_sampler: PeerSampler::new(&name, "node", &settings.zone),
            zone_schedulers: BTreeMap::new(),
            scheduler: scheduler::Scheduler::default(),
            calls: calls::Calls::default(),
            proposals: BTreeMap::new(),
            known_index: known_index::KnownIndex::new(now),
            incarnation,
            // The upper 16 bits are left free, so that incrementing the token does not overflow.
            next_token: first_token >> 16,
            last_tick: now.mono,
            next_introductions_at: 0,
            stopping: None,
            loopback: VecDeque::new(),
            counters: BTreeMap::new(),
            out: Vec::new(),
            rng,
            name,
            settings,
        }
    }

    /// Adds to one of this node's counters.
    pub(crate) fn count(&mut self, name: &'static str, number: u64) {
        *self.counters.entry(name).or_default() += number;
    }

    pub(crate) fn log(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }

    /// Returns a number that is unique among the requests, proposals and calls of this process.
    pub(crate) fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// The token of one attempt of a request.
    pub(crate) fn request_token(&self, number: u64, attempt: usize) -> RequestToken {
        RequestToken {
            incarnation: self.incarnation,
            number,
            attempt: attempt as u32,
        }
    }

    /// Whether a response is to a request of this incarnation of the process. Other responses are counted.
    fn is_own(&mut self, token: &RequestToken) -> bool {
        let own = token.incarnation == self.incarnation;
        self.count("responses_to_another_incarnation", u64::from(!own));
        own
    }

    /// Sends a message to a process, or queues it in the loopback if it is to this node.
    pub(crate) fn send(&mut self, to: &str, body: Body) {
        if to == self.name {
            self.loopback.push_back(body);
        } else {
            self.out.push(Effect::Send(to.into(), body));
        }
    }

    /// Whether the watch is fresh enough to answer callers and place tasks.
    pub(crate) fn is_fresh(&self, now: Now) -> bool {
        self.watch.has_snapshot && self.watch_age(now) <= self.settings.bounds.max_watch_age()
    }

    /// Whether the watch is fresh enough to act as a zone scheduler. A light copy never is, since it has no runs.
    pub(crate) fn is_fresh_for_zones(&self, now: Now) -> bool {
        !self.light
            && self.watch.has_snapshot
            && self.watch_age(now) <= self.settings.bounds.max_watch_age_for_zones()
    }

    fn watch_age(&self, now: Now) -> u64 {
        now.mono.saturating_sub(self.watch.fresh_at)
    }

    fn is_fresh_and_running(&self, now: Now) -> bool {
        self.is_fresh(now) && self.stopping.is_none()
    }

    /// The epoch of a lease, if this node holds it.
    pub(crate) fn epoch(&self, lease: &str) -> Option<u64> {
        let lease = self.state.current_lease(lease)?;
        (lease.holder == self.name).then_some(lease.epoch)
    }

    /// A longer time between two steps means that the process was frozen, in milliseconds.
    fn freeze_timeout(&self) -> u64 {
        self.settings.bounds.election_timeout() / FREEZE_TIMEOUT_DIVISOR
    }

    fn on_tick(&mut self, now: Now) {
        let since_last_tick = now.mono.saturating_sub(self.last_tick);
        self.last_tick = now.mono;
        if since_last_tick > self.freeze_timeout() {
            // This process was frozen: heartbeats may be unprocessed, so every worker counts as having just sent one.
            self.count("own_freezes", 1);
            for worker in self.all_workers() {
                worker.last_heartbeat = now.mono;
            }
        }
        self.watch_tick(now);
        self.report_catch_up(now);
        self.peer_sampler_tick(now);
        self.proposals_tick(now);
        self.calls_tick(now);
        self.zone_schedulers_tick(now);
        self.scheduler_tick(now);
        if let Some(exit_by) = self.stopping {
            let drained = !self.is_member() && self.calls.is_empty();
            if now.mono >= exit_by || drained {
                self.out.push(Effect::Exit);
            }
        }
    }

    /// Whether the cluster state lists this node as alive or as a lease holder.
    fn is_member(&self) -> bool {
        let known = self.state.nodes.get(&self.name);
        let mut leases = self.state.leases.values();
        leases.any(|lease| lease.holder == self.name) || known.is_some_and(|node| node.alive)
    }

    fn on_received(&mut self, now: Now, from: &str, body: Body) {
        match body {
            Body::WatchBatch(batch) => self.on_batch(now, from, *batch),
            Body::WatchSnapshotChunk(chunk) => self.on_watch_chunk(now, from, &chunk),
            Body::WatchRequest(request) => self.on_misdirected_watch_request(from, &request),
            Body::ProposeResponse(response) if self.is_own(&response.token) => {
                self.on_propose_response(now, from, *response)
            }
            Body::ReadIndexResponse(response) if self.is_own(&response.token) => {
                self.on_read_index_response(now, from, *response)
            }
            Body::Shuffle(shuffle) => self.on_shuffle(from, *shuffle),
            Body::Reserve(reserve) => self.on_reserve(now, *reserve),
            Body::Offer(offer) => self.on_offer(now, from, *offer),
            Body::OfferResponse(response) if self.is_own(&response.token) => {
                self.on_offer_response(now, from, *response)
            }
            Body::OfferOutcome(outcome) if self.is_own(&outcome.token) => {
                self.on_offer_outcome(now, from, *outcome)
            }
            Body::ForwardRequest(request) => self.on_forward_request(now, from, *request),
            Body::ForwardResponse(response) if self.is_own(&response.token) => {
                self.on_forward_response(now, from, *response)
            }
            Body::Hello(_) | Body::JoinCluster(_) => {}
            // Responses to an earlier incarnation, which `is_own` has counted.
            Body::ProposeResponse(_)
            | Body::ReadIndexResponse(_)
            | Body::OfferResponse(_)
            | Body::OfferOutcome(_)
            | Body::ForwardResponse(_) => {}
            _ => self.count("messages_unexpected", 1),
        }
    }

    /// This node's copy of the cluster state.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Whether readiness probes of this node succeed: its copy is fresh and it is not stopping.
    pub fn is_ready(&self, now: Now) -> bool {
        self.is_fresh_and_running(now)
    }

    /// The response to a call whose outcome is unknown because its command may have been appended.
    pub(crate) fn unknown_outcome_response(&self) -> Response {
        Response::error(
            503,
            "unsure",
            "the outcome of this call is unknown: retry with the same id, or poll",
        )
        .retry(self.settings.bounds.retry_after())
    }
}

impl StateMachine for Node {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        self.detect_freeze(now);
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Received(from, body) => self.on_received(now, &from, body),
            Msg::Call(call, request) => self.on_call(now, calls::Origin::Local(call), request),
            Msg::SettingsChanged(settings) => self.settings = *settings,
            Msg::Stop => {
                self.stopping = Some(now.mono + self.settings.bounds.node_timeout());
                self.watch.next_watch_request = now.mono;
                self.watch_tick(now);
            }
            Msg::Persisted(_) | Msg::WriteFailed(_) => {}
        }
        while let Some(body) = self.loopback.pop_front() {
            let own_address = self.name.clone();
            self.on_received(now, &own_address, body);
        }
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(name, number)| (name.to_string(), *number))
            .collect();
        all.push(("watches_light_copy".into(), u64::from(self.light)));
        all.push(("watch_index".into(), self.state.applied_index));
        all.push(("version_in_force".into(), self.state.version));
        all.push(("zones_held".into(), self.zone_schedulers.len() as u64));
        all.push(("calls_open".into(), self.calls.len() as u64));
        all.push(("jobs_open".into(), self.state.unfinished_jobs.len() as u64));
        all.push(("view_size".into(), self.peer_sampler.len() as u64));
        all
    }
}
