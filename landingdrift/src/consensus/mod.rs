//! A replica of the cluster state: Raft with pre-vote, leadership transfer, non-voting standbys and snapshots, and the
//! leader's reconciliation of the cluster state.
//!
//! [`Replica`] uses no clock, socket or file: it handles one message at a time and returns effects (see
//! [`crate::sans_io`]). Each field is owned by one module:
//!
//! | Module | Owns |
//! | --- | --- |
//! | `log`, `position` | the log entries in memory and the commit index |
//! | `persistence`, `disk_health` | pending and durable writes; the condition of the disk |
//! | `election` | the election timer, votes, leadership transfer |
//! | `recovery` | the check after a start for acknowledged entries that the disk has lost |
//! | `leadership`, `progress` | the leader's view of the other replicas; its periodic work |
//! | `replication`, `append` | the leader's and the follower's side of appending entries |
//! | `snapshot_transfer` | creating, sending and installing snapshots |
//! | `membership`, `membership_state` | members, voters and membership changes |
//! | `lease_assignment`, `node_registry` | live nodes and the leases that they hold |
//! | `watch`, `watch_snapshots`, `watch_flow`, `client_requests` | requests of nodes to the leader |
//! | `introductions` | shuffles to nodes that don't follow the leader |
//! | `job_admission` | the limits on the number and memory of jobs |
//! | `clock` | the cluster clock |
//! | `shutdown`, `status`, `inspect` | orderly shutdown; HTTP status and counters; read access for tests |

mod append;
mod client_requests;
mod clock;
mod disk_health;
mod election;
mod inspect;
mod introductions;
mod job_admission;
mod leadership;
mod lease_assignment;
mod log;
pub mod membership;
mod membership_state;
mod node_registry;
mod persistence;
mod position;
mod progress;
mod recovery;
mod replication;
mod shutdown;
mod snapshot_transfer;
mod status;
mod watch;
mod watch_flow;
mod watch_snapshots;

pub use clock::{ClockReading, ClusterClock};

use crate::peer_sampler::PeerSampler;
use crate::sans_io::{Effect, HardState, Msg, Now, Outbox, Rng, Snapshot, StateMachine};
use crate::settings::Settings;
use crate::state::ClusterState;
use crate::wire::{Body, DurabilityWitness, Entry, MessageStamp};
use position::LogPosition;
use std::collections::BTreeMap;

/// The role of replicas in the peer sampler, as written on the wire.
const REPLICA_ROLE: &str = "core";
/// The process is considered to have been paused if the time between two ticks exceeds the election timeout divided by
/// this.
const PAUSE_ELECTION_DIVISOR: u64 = 2;

/// The state that a replica loads from its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// The identity of the disk, generated at random when the data folder was created.
    pub disk: u64,
    /// The current term, the vote cast in it, the terms in which this replica must not vote, and the founders.
    pub hard_state: HardState,
    /// The newest snapshot of the cluster state.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot, possibly preceded by some that the snapshot covers.
    pub entries: Vec<Entry>,
    /// The log positions that other replicas' disks have acknowledged, as recorded by this replica.
    pub witnesses: Vec<DurabilityWitness>,
    /// Whether acknowledged data was unreadable and has been skipped.
    pub damaged: bool,
}

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates from the leader, if there is one.
    Follower,
    /// Collects pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Collects votes in an election.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

impl Role {
    /// The role as `/v1/status` shows it.
    fn name(self) -> &'static str {
        match self {
            Self::Follower => "Follower",
            Self::PreCandidate => "PreCandidate",
            Self::Candidate => "Candidate",
            Self::Leader => "Leader",
        }
    }
}

/// A replica of the cluster state.
#[derive(Clone)]
pub struct Replica {
    settings: Settings,
    /// The address at which other processes reach it, which also serves as its name.
    name: String,
    /// The identity of its disk. A member is identified by its name together with its disk.
    disk: u64,
    /// Random number of this process; stamps of an earlier process at this address are ignored.
    incarnation: u64,
    rng: Rng,
    hard_state: HardState,
    role: Role,
    /// The leader of the current term; empty if unknown.
    leader: String,
    log: log::ReplicatedLog,
    persistence: persistence::Persistence,
    disk_health: disk_health::DiskHealth,
    snapshots: snapshot_transfer::Snapshots,
    /// The cluster state after applying the committed log entries.
    state: ClusterState,
    /// The highest log position that each other replica's disk has acknowledged, by address and disk.
    witnesses: BTreeMap<(String, u64), DurabilityWitness>,
    recovery: recovery::RecoveryState,
    election: election::Election,
    membership: membership_state::MembershipState,
    leadership: leadership::Leadership,
    watch: watch::Watch,
    job_admission: job_admission::JobAdmission,
    pending_acknowledgement: Option<append::PendingAcknowledgement>,
    clock: ClusterClock,
    /// By how much the cluster clock was ahead of this machine's wall clock at the last tick, in milliseconds.
    clock_ahead_of_wall_ms: Option<i64>,
    peer_sampler: PeerSampler,
    /// The time of the last tick, in monotonic milliseconds.
    last_tick: u64,
    shutdown: shutdown::Shutdown,
    outbox: Outbox,
}

impl Replica {
    /// Creates a replica from the state on its disk. Fails if the disk belongs to another cluster or its snapshot can't
    /// be read.
    pub fn new(
        settings: Settings,
        loaded: PersistedState,
        now: Now,
        seed: u64,
    ) -> Result<Self, String> {
        let state = load_state(&settings, loaded.snapshot.as_ref())?;
        let snapshot_position = loaded
            .snapshot
            .as_ref()
            .map_or(LogPosition::ORIGIN, |s| LogPosition::new(s.term, s.index));
        let log = log::ReplicatedLog::new(snapshot_position, loaded.entries);
        let mut persistence = persistence::Persistence::new(log.last().index);
        let mut hard_state = loaded.hard_state;
        let is_fresh = log.is_empty() && hard_state == HardState::default();
        if is_fresh && !settings.join_only {
            // Stored, so that a founder remains one after a restart even if the settings have changed.
            hard_state.founders = settings.founders();
            persistence.write_hard_state(&hard_state);
        }
        let mut peer_sampler = PeerSampler::new(&settings.listen, REPLICA_ROLE, &settings.zone);
        peer_sampler.replicas = state.replicas.keys().cloned().collect();
        peer_sampler.replicas.extend(settings.founders());
        let mut rng = Rng::new(seed);
        let query = recovery::RecoveryQuery::new(now, settings.bounds.recovery_wait());
        let by_identity = |w: DurabilityWitness| ((w.replica.clone(), w.disk), w);
        Ok(Self {
            name: settings.listen.clone(),
            disk: loaded.disk,
            incarnation: rng.next_u64(),
            rng,
            membership: membership_state::MembershipState::new(hard_state.founders.is_empty()),
            hard_state,
            role: Role::Follower,
            leader: String::new(),
            log,
            persistence,
            disk_health: disk_health::DiskHealth::default(),
            snapshots: snapshot_transfer::Snapshots::new(loaded.snapshot),
            state,
            witnesses: loaded.witnesses.into_iter().map(by_identity).collect(),
            recovery: recovery::RecoveryState::new(query, loaded.damaged),
            election: election::Election::new(now, settings.bounds.election_timeout()),
            leadership: leadership::Leadership::default(),
            watch: watch::Watch::default(),
            job_admission: job_admission::JobAdmission::default(),
            pending_acknowledgement: None,
            clock: ClusterClock::default(),
            clock_ahead_of_wall_ms: None,
            peer_sampler,
            last_tick: now.mono,
            shutdown: shutdown::Shutdown::default(),
            outbox: Outbox::default(),
            settings,
        })
    }

    fn count(&mut self, name: &'static str, n: u64) {
        self.outbox.count(name, n);
    }

    /// The stamp of a message sent now.
    fn stamp(&self, now: Now) -> MessageStamp {
        MessageStamp {
            incarnation: self.incarnation,
            sent: now.mono,
        }
    }

    fn send(&mut self, to: &str, body: Body) {
        self.outbox.send(to, body);
    }

    fn on_tick(&mut self, now: Now) {
        let gap = now.mono.saturating_sub(self.last_tick);
        self.last_tick = now.mono;
        self.clock_ahead_of_wall_ms = self.clock.ahead_of_wall_ms(now);
        if gap > self.settings.bounds.election_timeout() / PAUSE_ELECTION_DIVISOR {
            self.on_process_pause(now);
        }
        self.disk_health_tick(now);
        self.recovery_tick(now);
        self.join_tick(now);
        self.peer_sampler_tick(now);
        if self.role == Role::Leader {
            self.leader_tick(now);
        } else if now.mono >= self.election.deadline {
            self.start_pre_vote(now);
        }
        self.shutdown_tick(now);
    }

    /// Restarts all timeouts on other processes and the disk after a pause of this process, during which it received
    /// nothing.
    fn on_process_pause(&mut self, now: Now) {
        self.count("own_freezes", 1);
        self.election.last_leader_contact = now.mono;
        self.reset_election_timer(now);
        for progress in self.leadership.progress.values_mut() {
            progress.last_heard_at = now.mono;
        }
        for watcher in self.watch.watchers.values_mut() {
            watcher.last_heard_at = now.mono;
        }
        self.disk_health.restart_timeouts(now.mono);
    }

    fn peer_sampler_tick(&mut self, now: Now) {
        if !self.peer_sampler.is_shuffle_due(now) {
            return;
        }
        let members = self.members();
        if !members.is_empty() {
            self.peer_sampler
                .set_replicas(members.into_keys().collect());
        }
        let interval = self.settings.bounds.shuffle_interval();
        let seeds = &self.settings.seeds;
        let exchange = self.peer_sampler.tick(now, interval, seeds, &mut self.rng);
        if let Some((to, shuffle)) = exchange {
            self.send(&to, Body::Shuffle(Box::new(shuffle)));
        }
    }

    fn on_message(&mut self, now: Now, from: &str, body: Body) {
        match body {
            Body::Hello(m) => self.on_hello(now, from, *m),
            Body::VoteRequest(m) => self.on_vote_request(now, from, &m),
            Body::VoteResponse(m) => self.on_vote_response(now, from, &m),
            Body::AppendRequest(m) => self.on_append_request(now, from, *m),
            Body::AppendResponse(m) => self.on_append_response(now, from, &m),
            Body::InstallSnapshot(m) => self.on_install_snapshot(now, from, *m),
            Body::InstallSnapshotResponse(m) => self.on_install_snapshot_response(now, from, &m),
            Body::TransferLeadership(m) => self.on_transfer_leadership(now, m.term),
            Body::JoinCluster(m) => self.on_join_request(now, from, *m),
            Body::WatchRequest(m) => self.on_watch_request(now, from, *m),
            Body::Shuffle(m) => self.on_shuffle(from, *m),
            Body::ProposeRequest(m) => self.on_propose_request(now, from, *m),
            Body::ReadIndexRequest(m) => self.on_read_index_request(now, from, m.token),
            _ => self.count("messages_unexpected", 1),
        }
    }

    fn on_shuffle(&mut self, from: &str, shuffle: crate::wire::Shuffle) {
        let members = self.members().into_keys().collect();
        self.peer_sampler.set_replicas(members);
        if let Some(reply) = self.peer_sampler.receive(shuffle, &mut self.rng) {
            self.send(from, Body::Shuffle(Box::new(reply)));
        }
    }

    /// Sends the round of messages requested during this step, if this replica leads.
    fn send_requested_round(&mut self, now: Now) {
        let leads = self.role == Role::Leader;
        if !leads || !std::mem::take(&mut self.leadership.round_requested) {
            return;
        }
        let heartbeat_requested = std::mem::take(&mut self.leadership.heartbeat_requested);
        let reads_wait = !self.leadership.pending_reads.is_empty();
        self.send_round(now, heartbeat_requested || reads_wait);
    }
}

impl StateMachine for Replica {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Persisted(write_id) => self.on_persisted(now, write_id),
            Msg::WriteFailed(reason) => self.on_disk_error(now, &reason),
            Msg::Call(call, request) => self.on_call(now, call, &request),
            Msg::SettingsChanged(settings) => self.settings = *settings,
            Msg::Stop => self.on_stop(now),
            Msg::Received(from, body) => self.on_message(now, &from, body),
        }
        self.send_requested_round(now);
        self.flush();
        self.outbox.take_effects()
    }

    fn counters(&self) -> Vec<(String, u64)> {
        self.all_counters()
    }
}

/// Loads the cluster state from the snapshot on disk; without a snapshot, the state is empty. Fails if the snapshot
/// belongs to another cluster.
fn load_state(settings: &Settings, snapshot: Option<&Snapshot>) -> Result<ClusterState, String> {
    let state = match snapshot {
        Some(snapshot) => ClusterState::unpack(&snapshot.bytes)?,
        None => ClusterState::new(&settings.cluster),
    };
    if state.cluster != settings.cluster {
        return Err(format!(
            "the data folder belongs to cluster '{}', not '{}': correct 'cluster' or 'data' in the settings",
            state.cluster, settings.cluster
        ));
    }
    Ok(state)
}
