//! A node: follows the watch, serves calls, owns queues and may hold zone schedulers.

mod calls;
mod gangs;
mod neighbours;
mod propose;
mod scheduler;
mod watch;
mod zone_scheduler;

pub use zone_scheduler::{judge, Heartbeat, Pace, RescheduleReason, Run, Running};

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{fnv1a, Effect, Msg, Now, Part, Response, Rng};
use crate::settings::Settings;
use crate::state::ClusterState;
use crate::wire::{Body, RequestToken};
use std::collections::{BTreeMap, VecDeque};

/// A node.
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) name: String,
    pub(crate) rng: Rng,
    pub(crate) state: ClusterState,
    /// It follows a light copy: configuration, leases and members, neither jobs nor workers.
    pub(crate) light: bool,
    pub(crate) watch: watch::Watch,
    pub(crate) peer_sampler: PeerSampler,
    pub(crate) zone_schedulers: BTreeMap<String, zone_scheduler::ZoneScheduler>,
    pub(crate) sched: scheduler::Scheduler,
    pub(crate) calls: calls::Calls,
    pub(crate) proposals: BTreeMap<u64, propose::Proposal>,
    /// This life of the process: an answer to a former one is nobody's.
    pub(crate) incarnation: u64,
    next_token: u64,
    last_tick: u64,
    stopping: Option<u64>,
    local: VecDeque<Body>,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: Settings, now: Now, seed: u64) -> Self {
        let name = settings.listen.clone();
        let mut rng = Rng::new(seed ^ fnv1a(name.as_bytes()));
        let boot = rng.number();
        let incarnation = rng.number();
        Self {
            state: ClusterState::new(&settings.cluster),
            light: false,
            watch: watch::Watch::new(now),
            peer_sampler: PeerSampler::new(&name, "node", &settings.zone, &settings.seeds),
            zone_schedulers: BTreeMap::new(),
            sched: scheduler::Scheduler::default(),
            calls: calls::Calls::default(),
            proposals: BTreeMap::new(),
            incarnation,
            next_token: boot >> 16,
            last_tick: now.mono,
            stopping: None,
            local: VecDeque::new(),
            counters: BTreeMap::new(),
            out: Vec::new(),
            rng,
            name,
            settings,
        }
    }

    pub(crate) fn count(&mut self, name: &'static str, n: u64) {
        *self.counters.entry(name).or_default() += n;
    }

    pub(crate) fn line(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }

    pub(crate) fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// What goes out with one attempt of a request.
    pub(crate) fn request_token(&self, number: u64, attempt: usize) -> RequestToken {
        RequestToken {
            incarnation: self.incarnation,
            number,
            attempt: attempt as u32,
        }
    }

    /// Whether an answer is to a request of this life of the process; others are counted and dropped.
    fn is_own(&mut self, token: &RequestToken) -> bool {
        let own = token.incarnation == self.incarnation;
        self.count("responses_to_another_incarnation", u64::from(!own));
        own
    }

    /// Sends to another process, or to a part of this one without the way round.
    pub(crate) fn send(&mut self, to: &str, body: Body) {
        if to == self.name {
            self.local.push_back(body);
        } else {
            self.out.push(Effect::Send(to.into(), body));
        }
    }

    /// Whether the watch is fresh enough to act on.
    pub(crate) fn fresh(&self, now: Now) -> bool {
        self.watch.has_snapshot
            && now.mono.saturating_sub(self.watch.fresh_at) <= self.settings.bounds.fresh()
    }

    /// Whether this node may speak for the zone schedulers it holds.
    pub(crate) fn speaks(&self, now: Now) -> bool {
        self.watch.has_snapshot
            && now.mono.saturating_sub(self.watch.fresh_at) <= self.settings.bounds.speaks()
    }

    fn ready(&self, now: Now) -> bool {
        self.fresh(now) && self.stopping.is_none()
    }

    /// The epoch under which this node holds a lease, if it does.
    pub(crate) fn epoch(&self, lease: &str) -> Option<u64> {
        self.state
            .holder(lease)
            .filter(|g| g.holder == self.name)
            .map(|g| g.epoch)
    }

    fn on_tick(&mut self, now: Now) {
        let gap = now.mono.saturating_sub(self.last_tick);
        self.last_tick = now.mono;
        if gap > self.settings.bounds.election() / 2 {
            // Frozen: the silence was this node's own, nobody else's.
            self.count("own_freezes", 1);
            self.zone_schedulers
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .for_each(|w| w.last_heartbeat = now.mono);
        }
        self.watch_tick(now);
        self.peer_sampler_tick(now);
        self.proposals_tick(now);
        self.calls_tick(now);
        self.zone_schedulers_tick(now);
        self.scheduler_tick(now);
        if let Some(until) = self.stopping {
            let holds = self.state.leases.values().any(|g| g.holder == self.name)
                || self.state.nodes.get(&self.name).is_some_and(|n| n.alive);
            if now.mono >= until || (!holds && self.calls.idle()) {
                self.out.push(Effect::Exit);
            }
        }
    }

    fn on_wire(&mut self, now: Now, from: &str, body: Body) {
        match body {
            Body::WatchBatch(m) => self.on_batch(now, from, *m),
            Body::WatchSnapshotChunk(m) => self.on_watch_chunk(now, from, &m),
            Body::WatchRequest(m) => self.on_misdirected_watch_request(from, m.sent),
            Body::ProposeResponse(m) if self.is_own(&m.token) => self.on_proposed(now, from, *m),
            Body::ReadIndexResponse(m) if self.is_own(&m.token) => {
                self.on_read_place(now, from, *m)
            }
            Body::Shuffle(m) => self.on_shuffle(from, *m),
            Body::Reserve(m) => self.on_reserve(now, *m),
            Body::Offer(m) => self.on_offer(now, from, *m),
            Body::OfferResponse(m) if self.is_own(&m.token) => {
                self.on_offer_response(now, from, *m)
            }
            Body::OfferOutcome(m) if self.is_own(&m.token) => self.on_offer_done(now, from, *m),
            Body::ForwardRequest(m) => self.on_forward(now, from, *m),
            Body::ForwardResponse(m) if self.is_own(&m.token) => self.on_forwarded(from, *m),
            Body::Hello(_) | Body::JoinCluster(_) => {}
            Body::ProposeResponse(_)
            | Body::ReadIndexResponse(_)
            | Body::OfferResponse(_)
            | Body::OfferOutcome(_)
            | Body::ForwardResponse(_) => {}
            _ => self.count("messages_unexpected", 1),
        }
    }

    /// The cluster state as this node follows it.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Whether this node would say that it is ready.
    pub fn is_ready(&self, now: Now) -> bool {
        self.ready(now)
    }

    pub(crate) fn unsure_response(&self) -> Response {
        Response::error(
            503,
            "unsure",
            "it is not known whether this was taken: ask again with the same id, or poll",
        )
        .retry(self.settings.bounds.back())
    }
}

impl Part for Node {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Wire(from, body) => self.on_wire(now, &from, body),
            Msg::Call(call, req) => self.on_call(now, calls::Origin::Local(call), req),
            Msg::SettingsChanged(new) => self.settings = *new,
            Msg::Stop => {
                self.stopping = Some(now.mono + self.settings.bounds.node_lost());
                self.watch.next_watch_request = now.mono;
                self.watch_tick(now);
            }
            Msg::Persisted(_) | Msg::DiskFailed(_) => {}
        }
        while let Some(body) = self.local.pop_front() {
            let me = self.name.clone();
            self.on_wire(now, &me, body);
        }
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let mut all: Vec<(String, u64)> = self
            .counters
            .iter()
            .map(|(k, v)| (k.to_string(), *v))
            .collect();
        all.push(("watches_light_copy".into(), u64::from(self.light)));
        all.push(("watch_index".into(), self.state.applied_index));
        all.push(("version_in_force".into(), self.state.version));
        all.push(("zones_held".into(), self.zone_schedulers.len() as u64));
        all.push(("calls_open".into(), self.calls.len() as u64));
        all.push(("jobs_open".into(), self.state.open.len() as u64));
        all.push(("view_size".into(), self.peer_sampler.len() as u64));
        all
    }
}
