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

pub use clock::AgreedClock;
pub(crate) use peers::{Follower, Peer};

use crate::chunks::{Assembly, Snapshot};
use crate::kernel::{Capture, Draw, Effect, Hard, Msg, Now, Part, Save};
use crate::record::Record;
use crate::settings::Settings;
use crate::views::Views;
use crate::wire::{Body, Entry, Note, RequestToken};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a core finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Drawn when the data folder was made.
    pub disk: u64,
    pub hard: Hard,
    pub capture: Option<Capture>,
    pub entries: Vec<Entry>,
    pub notes: Vec<Note>,
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
pub struct Core {
    pub(crate) cfg: Settings,
    pub(crate) name: String,
    disk: u64,
    draw: Draw,
    hard: Hard,
    role: Role,
    leader: String,
    /// The entries after `base`.
    log: VecDeque<Entry>,
    base: (u64, u64),
    capture: Arc<Snapshot>,
    captured: u64,
    /// The bytes of the entries applied since.
    uncaptured_bytes: u64,
    incoming: Assembly,
    record: Record,
    commit: u64,
    durable: u64,
    ticket: u64,
    saved: u64,
    held: VecDeque<(u64, Effect)>,
    /// Last index in each save not yet durable.
    saving: VecDeque<(u64, u64)>,
    unsaved: Save,
    /// What each identity (address and disk) may have confirmed.
    notes: BTreeMap<(String, u64), Note>,
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
    hard_ticket: u64,
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
    clock: AgreedClock,
    views: Views,
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

impl Core {
    /// A core from what its disk holds.
    pub fn new(cfg: Settings, loaded: Loaded, now: Now, seed: u64) -> Result<Self, String> {
        let record = loaded.capture.as_ref().map_or_else(
            || Ok(Record::new(&cfg.cluster)),
            |c| Record::unpack(&c.bytes),
        )?;
        (record.cluster == cfg.cluster).then_some(()).ok_or_else(|| {
            format!(
                "the data folder belongs to cluster '{}', not '{}': correct 'cluster' or 'data' in the settings",
                record.cluster, cfg.cluster
            )
        })?;
        let base = loaded
            .capture
            .as_ref()
            .map_or((0, 0), |c| (c.index, c.term));
        let log: VecDeque<Entry> = loaded
            .entries
            .into_iter()
            .filter(|e| e.index > base.0)
            .collect();
        let last = log.back().map_or(base.0, |e| e.index);
        let name = cfg.listen.clone();
        let waking = wake::Waking::new(now, cfg.bounds.wake());
        let fresh = log.is_empty() && base.0 == 0 && loaded.hard == Hard::default();
        let mut hard = loaded.hard;
        let mut unsaved = Save::default();
        if fresh && !cfg.join_only {
            // A founder stays one after a restart, whatever the settings say then.
            hard.founders = cfg.founders();
            unsaved.hard = Some(hard.clone());
        }
        let mut views = Views::new(&cfg.listen, "core", &cfg.zone, &cfg.seeds);
        views.cores = record.cores.keys().cloned().chain(cfg.founders()).collect();
        Ok(Self {
            name,
            disk: loaded.disk,
            draw: Draw::new(seed),
            joining: hard.founders.is_empty(),
            hard,
            role: Role::Follower,
            leader: String::new(),
            log,
            base,
            captured: base.0,
            capture: Arc::new(
                loaded
                    .capture
                    .map_or_else(Snapshot::default, Snapshot::from),
            ),
            uncaptured_bytes: 0,
            incoming: Assembly::default(),
            record,
            commit: base.0,
            durable: last,
            ticket: 0,
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
            election_at: now.mono + cfg.bounds.election(),
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
            hard_ticket: 0,
            join_requests: BTreeMap::new(),
            zones: BTreeMap::new(),
            joined_at: None,
            resilience: membership::Resilience::default(),
            wants_round: false,
            wants_beat: false,
            last_round: 0,
            verified: 0,
            clock: AgreedClock::default(),
            views,
            last_tick: now.mono,
            members_cache: None,
            stopping: None,
            released: false,
            handed_at: 0,
            storage: storage::Storage::default(),
            counters: BTreeMap::new(),
            out: Vec::new(),
            cfg,
        })
    }

    pub(crate) fn count(&mut self, name: &'static str, n: u64) {
        *self.counters.entry(name).or_default() += n;
    }

    fn line(&mut self, text: String) {
        self.out.push(Effect::Line(text));
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
            let ruling = self.record.apply_bytes(e.index, e.at, &e.command);
            self.uncaptured_bytes += e.command.len() as u64;
            self.count("entries_applied", 1);
            self.count("entries_refused", u64::from(ruling.is_err()));
            if let Some((to, token)) = self.asked.remove(&next) {
                let verdict = crate::record::pack_ruling(&ruling);
                let leader = self.name.clone();
                self.send(
                    &to,
                    Body::Proposed(Box::new(crate::wire::Proposed {
                        token,
                        outcome: 0,
                        place: next,
                        leader,
                        verdict,
                    })),
                );
            }
        }
        self.capture_when_due();
    }

    fn on_tick(&mut self, now: Now) {
        let gap = now.mono.saturating_sub(self.last_tick);
        self.last_tick = now.mono;
        if gap > self.cfg.bounds.election() / 2 {
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
        let every = self.cfg.bounds.shuffle();
        self.views
            .tick(now, every, &mut self.draw)
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

impl Part for Core {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match msg {
            Msg::Tick => self.on_tick(now),
            Msg::Saved(ticket) => self.on_saved(now, ticket),
            Msg::DiskDefect(why) => self.on_disk_defect(now, &why),
            Msg::Call(call, req) => self.on_call(now, call, &req),
            Msg::Changed(new) => self.cfg = *new,
            Msg::Stop => self.on_stop(now),
            Msg::Wire(from, body) => match body {
                Body::Hello(m) => self.on_hello(now, &from, *m),
                Body::Vote(m) => self.on_vote(now, &from, &m),
                Body::VoteVerdict(m) => self.on_vote_verdict(now, &from, &m),
                Body::Append(m) => self.on_append(now, &from, *m),
                Body::AppendVerdict(m) => self.on_append_verdict(now, &from, &m),
                Body::Install(m) => self.on_install(now, &from, *m),
                Body::InstallVerdict(m) => self.on_install_verdict(now, &from, &m),
                Body::HandOver(m) => self.on_hand_over(now, m.term),
                Body::Join(m) => self.on_join(now, &from, *m),
                Body::FeedPull(m) => self.on_pull(now, &from, *m),
                Body::Shuffle(m) => {
                    let members = self.members().into_keys().collect();
                    self.views.set_cores(members);
                    self.views
                        .take(*m, &mut self.draw)
                        .into_iter()
                        .for_each(|back| self.send(&from, Body::Shuffle(Box::new(back))));
                }
                Body::Propose(m) => self.on_propose(now, &from, m.token, m.command),
                Body::ReadAsk(m) => self.on_read(now, &from, m.token),
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
