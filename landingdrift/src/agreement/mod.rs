//! A core: the replicated log, its leader's duties and the feed to the nodes.

mod clock;
mod duties;
mod elect;
mod feed;
mod feed_snapshots;
mod inspect;
mod log;
mod members;
pub mod membership;
mod peers;
mod replicate;
mod snapshot;
mod status;
mod stop;
mod storage;
mod wake;

pub use clock::ClusterClock;
pub(crate) use peers::{Follower, Peer};

use crate::chunks::{Assembly, ChunkedSnapshot};
use crate::kernel::{Effect, HardState, Msg, Now, Part, Rng, Snapshot, WriteBatch};
use crate::record::ClusterState;
use crate::settings::Settings;
use crate::views::PeerSampler;
use crate::wire::{Body, DurabilityWitness, Entry, RequestToken};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a core finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Drawn when the data folder was made.
    pub disk: u64,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub notes: Vec<DurabilityWitness>,
    /// Something in the middle was damaged and left out.
    pub damaged: bool,
}

/// The role of a core in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether an election would be won.
    Asking,
    Candidate,
    Leader,
}

/// A core.
#[derive(Clone)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) name: String,
    disk: u64,
    rng: Rng,
    hard_state: HardState,
    role: Role,
    leader: String,
    /// The entries after `base`.
    log: VecDeque<Entry>,
    base: (u64, u64),
    snapshot: Arc<ChunkedSnapshot>,
    captured: u64,
    /// The bytes of the entries applied since.
    uncaptured_bytes: u64,
    incoming: Assembly,
    record: ClusterState,
    commit: u64,
    durable: u64,
    write_id: u64,
    saved: u64,
    held: VecDeque<(u64, Effect)>,
    /// Last index in each save not yet durable.
    saving: VecDeque<(u64, u64)>,
    unsaved: WriteBatch,
    /// What each identity (address and disk) may have confirmed.
    notes: BTreeMap<(String, u64), DurabilityWitness>,
    /// The farthest place this core has confirmed, as others remember it.
    floor: (u64, u64),
    /// The farthest log it heard of when it woke, and until when it leaves the lead to whoever holds that.
    yields: ((u64, u64), u64),
    damaged: bool,
    waking: Option<wake::Waking>,
    heard_leader: u64,
    election_at: u64,
    /// Until when a core that woke stands early.
    eager_until: u64,
    /// Those that gave their vote, with their disks.
    votes: BTreeMap<String, u64>,
    peers: BTreeMap<String, Peer>,
    round: u64,
    rounds: VecDeque<(u64, u64)>,
    led_since: u64,
    opened: u64,
    duty_index: u64,
    /// When a duty was last moved to a better place.
    moved: u64,
    followers: BTreeMap<String, Follower>,
    feed_snapshots: feed_snapshots::FeedSnapshots,
    reads: Vec<feed::Read>,
    asked: BTreeMap<u64, (String, RequestToken)>,
    /// Whom to tell what has become durable, and the round it asked in.
    confirmed: Option<(String, u64)>,
    /// The ticket that makes the current term durable.
    hard_state_write: u64,
    /// Requests to be admitted, and when they came.
    join_requests: BTreeMap<String, (u64, membership::JoinRequest)>,
    /// Zones of other replicas, as they said when they or this one started.
    zones: BTreeMap<String, String>,
    /// When this replica last asked to be admitted.
    joined_at: Option<u64>,
    /// This replica's disk is empty while others have a log: it is a newcomer, whatever the settings say of founders.
    joining: bool,
    resilience: membership::Resilience,
    wants_round: bool,
    /// All others are to hear from this leader, whether there are entries for them or not.
    wants_beat: bool,
    last_round: u64,
    /// How far the log agrees with that of the present leader.
    verified: u64,
    clock: ClusterClock,
    views: PeerSampler,
    last_tick: u64,
    members_cache: Option<members::Members>,
    /// Asked to stop: until when it may go on, and whether the leader lets it end.
    stopping: Option<u64>,
    released: bool,
    /// When the lead was last offered to another.
    handed_at: u64,
    storage: storage::Storage,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl Replica {
    /// A core from what its disk holds.
    pub fn new(settings: Settings, loaded: Loaded, now: Now, seed: u64) -> Result<Self, String> {
        let record = loaded.snapshot.as_ref().map_or_else(
            || Ok(ClusterState::new(&settings.cluster)),
            |c| ClusterState::unpack(&c.bytes),
        )?;
        (record.cluster == settings.cluster).then_some(()).ok_or_else(|| {
            format!(
                "the data folder belongs to cluster '{}', not '{}': correct 'cluster' or 'data' in the settings",
                record.cluster, settings.cluster
            )
        })?;
        let base = loaded
            .snapshot
            .as_ref()
            .map_or((0, 0), |c| (c.index, c.term));
        let log: VecDeque<Entry> = loaded
            .entries
            .into_iter()
            .filter(|e| e.index > base.0)
            .collect();
        let last = log.back().map_or(base.0, |e| e.index);
        let name = settings.listen.clone();
        let waking = wake::Waking::new(now, settings.bounds.wake());
        let fresh = log.is_empty() && base.0 == 0 && loaded.hard_state == HardState::default();
        let mut hard_state = loaded.hard_state;
        let mut unsaved = WriteBatch::default();
        if fresh && !settings.join_only {
            // A founder stays one after a restart, whatever the settings say then.
            hard_state.founders = settings.founders();
            unsaved.hard_state = Some(hard_state.clone());
        }
        let mut views = PeerSampler::new(&settings.listen, "core", &settings.zone, &settings.seeds);
        views.cores = record
            .cores
            .keys()
            .cloned()
            .chain(settings.founders())
            .collect();
        Ok(Self {
            name,
            disk: loaded.disk,
            rng: Rng::new(seed),
            joining: hard_state.founders.is_empty(),
            hard_state,
            role: Role::Follower,
            leader: String::new(),
            log,
            base,
            captured: base.0,
            snapshot: Arc::new(
                loaded
                    .snapshot
                    .map_or_else(ChunkedSnapshot::default, ChunkedSnapshot::from),
            ),
            uncaptured_bytes: 0,
            incoming: Assembly::default(),
            record,
            commit: base.0,
            durable: last,
            write_id: 0,
            saved: 0,
            held: VecDeque::new(),
            saving: VecDeque::new(),
            unsaved,
            notes: loaded
                .notes
                .into_iter()
                .map(|n| ((n.core.clone(), n.disk), n))
                .collect(),
            floor: (0, 0),
            yields: ((0, 0), 0),
            damaged: loaded.damaged,
            waking: Some(waking),
            heard_leader: now.mono,
            election_at: now.mono + settings.bounds.election(),
            eager_until: 0,
            votes: BTreeMap::new(),
            peers: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            led_since: 0,
            opened: 0,
            duty_index: 0,
            moved: 0,
            followers: BTreeMap::new(),
            feed_snapshots: feed_snapshots::FeedSnapshots::default(),
            reads: Vec::new(),
            asked: BTreeMap::new(),
            confirmed: None,
            hard_state_write: 0,
            join_requests: BTreeMap::new(),
            zones: BTreeMap::new(),
            joined_at: None,
            resilience: membership::Resilience::default(),
            wants_round: false,
            wants_beat: false,
            last_round: 0,
            verified: 0,
            clock: ClusterClock::default(),
            views,
            last_tick: now.mono,
            members_cache: None,
            stopping: None,
            released: false,
            handed_at: 0,
            storage: storage::Storage::default(),
            counters: BTreeMap::new(),
            out: Vec::new(),
            settings,
        })
    }

    pub(crate) fn count(&mut self, name: &'static str, n: u64) {
        *self.counters.entry(name).or_default() += n;
    }

    fn line(&mut self, text: String) {
        self.out.push(Effect::Log(text));
    }

    fn send(&mut self, to: &str, body: Body) {
        self.out.push(Effect::Send(to.into(), body));
    }

    /// Applies what is committed and gives the waiting their verdicts.
    fn apply_committed(&mut self) {
        while self.record.place < self.commit {
            let next = self.record.place + 1;
            let Some(e) = self.entry(next).cloned() else {
                break;
            };
            let result = self.record.apply_bytes(e.index, e.at, &e.command);
            self.uncaptured_bytes += e.command.len() as u64;
            self.count("entries_applied", 1);
            self.count("entries_refused", u64::from(result.is_err()));
            if let Some((to, token)) = self.asked.remove(&next) {
                let response = crate::record::pack_apply_result(&result);
                let leader = self.name.clone();
                self.send(
                    &to,
                    Body::ProposeResponse(Box::new(crate::wire::ProposeResponse {
                        token,
                        outcome: 0,
                        place: next,
                        leader,
                        response,
                    })),
                );
            }
        }
        self.snapshot_when_due();
    }

    fn on_tick(&mut self, now: Now) {
        let gap = now.mono.saturating_sub(self.last_tick);
        self.last_tick = now.mono;
        if gap > self.settings.bounds.election() / 2 {
            // This process was frozen: nothing it failed to hear meanwhile says anything of others.
            self.count("own_freezes", 1);
            self.heard_leader = now.mono;
            self.arm_election(now);
            self.peers.values_mut().for_each(|p| p.heard = now.mono);
            self.followers.values_mut().for_each(|f| f.heard = now.mono);
            self.storage.restart_wait(now.mono);
        }
        self.storage_tick(now);
        self.wake_tick(now);
        self.join_tick(now);
        let every = self.settings.bounds.shuffle();
        self.views
            .tick(now, every, &mut self.rng)
            .into_iter()
            .for_each(|(to, m)| self.out.push(Effect::Send(to, Body::Shuffle(Box::new(m)))));
        match self.role {
            Role::Leader => self.lead_tick(now),
            _ if now.mono >= self.election_at => self.stand(now),
            _ => {}
        }
        self.stop_tick(now);
    }
}

impl Part for Replica {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Persisted(write_id) => self.on_saved(now, write_id),
            Msg::DiskFailed(why) => self.on_disk_error(now, &why),
            Msg::Call(call, req) => self.on_call(now, call, &req),
            Msg::SettingsChanged(new) => self.settings = *new,
            Msg::Stop => self.on_stop(now),
            Msg::Wire(from, body) => match body {
                Body::Hello(m) => self.on_hello(now, &from, *m),
                Body::VoteRequest(m) => self.on_vote(now, &from, &m),
                Body::VoteResponse(m) => self.on_vote_response(now, &from, &m),
                Body::AppendRequest(m) => self.on_append(now, &from, *m),
                Body::AppendResponse(m) => self.on_append_response(now, &from, &m),
                Body::InstallSnapshot(m) => self.on_install_snapshot(now, &from, *m),
                Body::InstallSnapshotResponse(m) => {
                    self.on_install_snapshot_response(now, &from, &m)
                }
                Body::TransferLeadership(m) => self.on_hand_over(now, m.term),
                Body::JoinCluster(m) => self.on_join(now, &from, *m),
                Body::WatchRequest(m) => self.on_pull(now, &from, *m),
                Body::Shuffle(m) => {
                    let members = self.members().into_keys().collect();
                    self.views.set_cores(members);
                    self.views
                        .take(*m, &mut self.rng)
                        .into_iter()
                        .for_each(|back| self.send(&from, Body::Shuffle(Box::new(back))));
                }
                Body::ProposeRequest(m) => self.on_propose(now, &from, m.token, m.command),
                Body::ReadIndexRequest(m) => self.on_read(now, &from, m.token),
                _ => self.count("messages_out_of_place", 1),
            },
        }
        if self.role == Role::Leader && std::mem::take(&mut self.wants_round) {
            let beat = std::mem::take(&mut self.wants_beat) || !self.reads.is_empty();
            self.send_round(now, beat);
        }
        self.flush();
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        self.all_counters()
    }
}
