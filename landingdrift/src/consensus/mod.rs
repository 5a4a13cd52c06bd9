//! A replica: the replicated log, its leader's leases and the watch to the nodes.

mod clock;
mod election;
mod inspect;
mod leases;
mod log;
mod members;
pub mod membership;
mod peers;
mod recovery;
mod replicate;
mod snapshot;
mod status;
mod stop;
mod storage;
mod watch;
mod watch_snapshots;

pub use clock::ClusterClock;
pub(crate) use peers::{Peer, Watcher};

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{Effect, HardState, Msg, Now, Part, Rng, Snapshot, WriteBatch};
use crate::settings::Settings;
use crate::snapshot_chunks::{ChunkedSnapshot, SnapshotAssembly};
use crate::state::ClusterState;
use crate::wire::{Body, DurabilityWitness, Entry, RequestToken};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Drawn when the data folder was made.
    pub disk: u64,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub witnesses: Vec<DurabilityWitness>,
    /// Something in the middle was damaged and left out.
    pub damaged: bool,
}

/// The role of a core in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether an election would be won.
    PreCandidate,
    Candidate,
    Leader,
}

/// A replica.
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
    snapshot_index: u64,
    /// The bytes of the entries applied since.
    bytes_since_snapshot: u64,
    incoming: SnapshotAssembly,
    state: ClusterState,
    commit: u64,
    durable: u64,
    write_id: u64,
    saved: u64,
    held: VecDeque<(u64, Effect)>,
    /// Last index in each save not yet durable.
    saving: VecDeque<(u64, u64)>,
    pending_batch: WriteBatch,
    /// What each identity (address and disk) may have confirmed.
    witnesses: BTreeMap<(String, u64), DurabilityWitness>,
    /// The farthest place this replica has confirmed, as others remember it.
    recovery_floor: (u64, u64),
    /// The farthest log it heard of when it woke, and until when it leaves the lead to whoever holds that.
    deferral: ((u64, u64), u64),
    damaged: bool,
    recovery: Option<recovery::Recovery>,
    heard_leader: u64,
    election_at: u64,
    /// Until when a replica that woke stands early.
    fast_election_until: u64,
    /// Those that gave their vote, with their disks.
    votes: BTreeMap<String, u64>,
    peers: BTreeMap<String, Peer>,
    round: u64,
    rounds: VecDeque<(u64, u64)>,
    leader_since: u64,
    term_start_index: u64,
    command_index: u64,
    /// When a lease was last moved to a better place.
    moved: u64,
    watchers: BTreeMap<String, Watcher>,
    watch_snapshots: watch_snapshots::WatchSnapshots,
    reads: Vec<watch::Read>,
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
    needs_round: bool,
    /// All others are to hear from this leader, whether there are entries for them or not.
    needs_heartbeat: bool,
    last_round: u64,
    /// How far the log agrees with that of the present leader.
    verified: u64,
    clock: ClusterClock,
    peer_sampler: PeerSampler,
    last_tick: u64,
    members_cache: Option<members::Members>,
    /// Asked to stop: until when it may go on, and whether the leader lets it end.
    stopping: Option<u64>,
    leave_permitted: bool,
    /// When the lead was last offered to another.
    transfer_offered_at: u64,
    storage: storage::Storage,
    counters: BTreeMap<&'static str, u64>,
    out: Vec<Effect>,
}

impl Replica {
    /// A replica from what its disk holds.
    pub fn new(settings: Settings, loaded: Loaded, now: Now, seed: u64) -> Result<Self, String> {
        let state = loaded.snapshot.as_ref().map_or_else(
            || Ok(ClusterState::new(&settings.cluster)),
            |c| ClusterState::unpack(&c.bytes),
        )?;
        (state.cluster == settings.cluster).then_some(()).ok_or_else(|| {
            format!(
                "the data folder belongs to cluster '{}', not '{}': correct 'cluster' or 'data' in the settings",
                state.cluster, settings.cluster
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
        let recovery = recovery::Recovery::new(now, settings.bounds.recovery_wait());
        let fresh = log.is_empty() && base.0 == 0 && loaded.hard_state == HardState::default();
        let mut hard_state = loaded.hard_state;
        let mut pending_batch = WriteBatch::default();
        if fresh && !settings.join_only {
            // A founder stays one after a restart, whatever the settings say then.
            hard_state.founders = settings.founders();
            pending_batch.hard_state = Some(hard_state.clone());
        }
        let mut peer_sampler =
            PeerSampler::new(&settings.listen, "core", &settings.zone, &settings.seeds);
        peer_sampler.replicas = state
            .replicas
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
            snapshot_index: base.0,
            snapshot: Arc::new(
                loaded
                    .snapshot
                    .map_or_else(ChunkedSnapshot::default, ChunkedSnapshot::from),
            ),
            bytes_since_snapshot: 0,
            incoming: SnapshotAssembly::default(),
            state,
            commit: base.0,
            durable: last,
            write_id: 0,
            saved: 0,
            held: VecDeque::new(),
            saving: VecDeque::new(),
            pending_batch,
            witnesses: loaded
                .witnesses
                .into_iter()
                .map(|n| ((n.replica.clone(), n.disk), n))
                .collect(),
            recovery_floor: (0, 0),
            deferral: ((0, 0), 0),
            damaged: loaded.damaged,
            recovery: Some(recovery),
            heard_leader: now.mono,
            election_at: now.mono + settings.bounds.election(),
            fast_election_until: 0,
            votes: BTreeMap::new(),
            peers: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            leader_since: 0,
            term_start_index: 0,
            command_index: 0,
            moved: 0,
            watchers: BTreeMap::new(),
            watch_snapshots: watch_snapshots::WatchSnapshots::default(),
            reads: Vec::new(),
            asked: BTreeMap::new(),
            confirmed: None,
            hard_state_write: 0,
            join_requests: BTreeMap::new(),
            zones: BTreeMap::new(),
            joined_at: None,
            resilience: membership::Resilience::default(),
            needs_round: false,
            needs_heartbeat: false,
            last_round: 0,
            verified: 0,
            clock: ClusterClock::default(),
            peer_sampler,
            last_tick: now.mono,
            members_cache: None,
            stopping: None,
            leave_permitted: false,
            transfer_offered_at: 0,
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

    /// Applies what is committed and gives the waiting their responses.
    fn apply_committed(&mut self) {
        while self.state.applied_index < self.commit {
            let next = self.state.applied_index + 1;
            let Some(e) = self.entry(next).cloned() else {
                break;
            };
            let result = self.state.apply_bytes(e.index, e.at, &e.command);
            self.bytes_since_snapshot += e.command.len() as u64;
            self.count("entries_applied", 1);
            self.count("entries_rejected", u64::from(result.is_err()));
            if let Some((to, token)) = self.asked.remove(&next) {
                let response = crate::state::pack_apply_result(&result);
                let leader = self.name.clone();
                self.send(
                    &to,
                    Body::ProposeResponse(Box::new(crate::wire::ProposeResponse {
                        token,
                        outcome: 0,
                        log_index: next,
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
            self.reset_election_timer(now);
            self.peers.values_mut().for_each(|p| p.heard = now.mono);
            self.watchers.values_mut().for_each(|f| f.heard = now.mono);
            self.storage.restart_wait(now.mono);
        }
        self.storage_tick(now);
        self.recovery_tick(now);
        self.join_tick(now);
        let every = self.settings.bounds.shuffle();
        self.peer_sampler
            .tick(now, every, &mut self.rng)
            .into_iter()
            .for_each(|(to, m)| self.out.push(Effect::Send(to, Body::Shuffle(Box::new(m)))));
        match self.role {
            Role::Leader => self.lead_tick(now),
            _ if now.mono >= self.election_at => self.start_pre_vote(now),
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
                Body::TransferLeadership(m) => self.on_transfer_leadership(now, m.term),
                Body::JoinCluster(m) => self.on_join(now, &from, *m),
                Body::WatchRequest(m) => self.on_watch_request(now, &from, *m),
                Body::Shuffle(m) => {
                    let members = self.members().into_keys().collect();
                    self.peer_sampler.set_replicas(members);
                    self.peer_sampler
                        .take(*m, &mut self.rng)
                        .into_iter()
                        .for_each(|back| self.send(&from, Body::Shuffle(Box::new(back))));
                }
                Body::ProposeRequest(m) => self.on_propose(now, &from, m.token, m.command),
                Body::ReadIndexRequest(m) => self.on_read(now, &from, m.token),
                _ => self.count("messages_unexpected", 1),
            },
        }
        if self.role == Role::Leader && std::mem::take(&mut self.needs_round) {
            let heartbeat = std::mem::take(&mut self.needs_heartbeat) || !self.reads.is_empty();
            self.send_round(now, heartbeat);
        }
        self.flush();
        std::mem::take(&mut self.out)
    }

    fn counters(&self) -> Vec<(String, u64)> {
        self.all_counters()
    }
}
