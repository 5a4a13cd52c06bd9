//! The replica's part of a rerun: it keeps the cluster state, leases everything to the only node, and carries its messages.

use super::hands::{starts, SimulatedWorker};
use super::runs::RecordedRuns;
use super::story::Summary;
use crate::config::ClusterConfig;
use crate::node::Node;
use crate::replay::Day;
use crate::sans_io::{Effect, Msg, Now, Part, Request, Response};
use crate::settings::Settings;
use crate::state::{pack_apply_result, queue_lease, zone_lease, ClusterState, Command, WorkerInfo};
use crate::wire::{
    Body, Entry, ProposeRequest, ProposeResponse, ReadIndexRequest, ReadIndexResponse, WatchBatch,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The only node and the only replica of a rerun.
const NODE: &str = "10.0.0.1:1";
const CORE: &str = "10.0.0.2:1";
const ZONE: &str = "replay";
/// The only leader of a rerun leads in this term.
const TERM: u64 = 1;
/// The node's seed: a rerun of the same day gives the same story.
const SEED: u64 = 1;
/// What has ended is kept for longer than any day, since the story is told from it; a quarter of all numbers, so that
/// sums with it don't overflow.
const RETAIN_ALL_MS: u64 = u64::MAX / 4;

/// Where a command has come to stand in the cluster state, and the bytes of what was decided on it.
struct Entered {
    log_index: u64,
    decision: Vec<u8>,
}

pub(super) struct Stage {
    replica: ClusterState,
    /// Entries that the node has not been told.
    log: VecDeque<Entry>,
    node: Node,
    /// Virtual milliseconds since the beginning, and the time of day at the beginning.
    t: u64,
    at0: u64,
    hands: BTreeMap<String, SimulatedWorker>,
    runs: RecordedRuns,
    /// The workers whose heartbeats wait for an answer.
    calls: BTreeMap<u64, String>,
    next_call: u64,
}

impl Stage {
    /// The beginning of a day, with the workers that there were.
    pub fn new(day: &Day, settings: &Settings) -> Self {
        let at0 = beginning(day);
        let settings = Settings {
            listen: NODE.into(),
            http: NODE.into(),
            zone: ZONE.into(),
            seeds: vec![CORE.into()],
            cluster: day.start.cluster.clone(),
            ..settings.clone()
        };
        let now = Now { mono: 1, wall: at0 };
        let mut stage = Self {
            replica: day.start.clone(),
            log: VecDeque::new(),
            node: Node::new(settings, now, SEED),
            t: 0,
            at0,
            hands: BTreeMap::new(),
            runs: RecordedRuns::of(&day.end()),
            calls: BTreeMap::new(),
            next_call: 0,
        };
        stage.enter(&Command::RegisterNode {
            node: NODE.into(),
            zone: ZONE.into(),
            http: NODE.into(),
        });
        for worker in day.start.workers.values() {
            stage.hand(&worker.info);
        }
        stage
    }

    fn now(&self) -> Now {
        Now {
            mono: self.t + 1,
            wall: self.agreed(),
        }
    }

    /// The time of day.
    pub fn agreed(&self) -> u64 {
        self.at0 + self.t
    }

    /// Virtual milliseconds since the beginning.
    pub fn elapsed(&self) -> u64 {
        self.t
    }

    /// Virtual milliseconds from the beginning to a time of day.
    pub fn since_start(&self, at: u64) -> u64 {
        at.saturating_sub(self.at0)
    }

    pub fn advance(&mut self, step: u64) {
        self.t += step;
    }

    /// The place of the cluster state's last entry.
    pub fn place(&self) -> u64 {
        self.replica.applied_index
    }

    pub fn all_is_done(&self) -> bool {
        self.replica.open.is_empty()
    }

    pub fn story(&self) -> Summary {
        Summary::of(&self.replica)
    }

    /// Enters a command into the cluster state.
    pub fn enter(&mut self, command: &Command) {
        self.enter_and_tell(command);
    }

    fn enter_and_tell(&mut self, command: &Command) -> Entered {
        let log_index = self.replica.applied_index + 1;
        let at = self.agreed();
        let decision = pack_apply_result(&self.replica.apply(log_index, at, command));
        self.log.push_back(Entry {
            index: log_index,
            term: TERM,
            at,
            command: serde_json::to_vec(command).unwrap_or_default(),
        });
        Entered {
            log_index,
            decision,
        }
    }

    /// Puts another configuration into force.
    pub fn configure(&mut self, config: &ClusterConfig) {
        let base = self.replica.version;
        let value = serde_json::to_value(config).unwrap_or_default();
        self.enter(&Command::UpdateConfig {
            change: "replay".into(),
            base,
            patch: false,
            number: 0,
            value,
        });
    }

    /// A worker comes, or comes back.
    pub fn hand(&mut self, info: &WorkerInfo) {
        let name = info.worker.clone();
        let hand = self.hands.entry(name);
        let hand = hand.or_insert_with(|| SimulatedWorker::new(info.clone()));
        hand.come(info);
    }

    /// A worker falls silent.
    pub fn silence(&mut self, worker: &str) {
        if let Some(hand) = self.hands.get_mut(worker) {
            hand.fall_silent();
        }
    }

    /// Grants all zone schedulers and queues to the node, and sweeps where that is due.
    pub fn leases(&mut self) {
        let zones: BTreeSet<String> = self.hands.values().map(|h| zone_lease(h.zone())).collect();
        let queues = self.replica.config.queues.keys();
        let queues: BTreeSet<String> = queues.map(|q| queue_lease(q)).collect();
        for lease in zones.into_iter().chain(queues) {
            self.grant(lease);
        }
        let due = self.replica.sweep_due(RETAIN_ALL_MS, RETAIN_ALL_MS);
        if due.is_some_and(|due| due <= self.agreed()) {
            self.enter(&Command::CollectGarbage {
                retain_ms: RETAIN_ALL_MS,
                identity_ms: RETAIN_ALL_MS,
            });
        }
    }

    fn grant(&mut self, lease: String) {
        let grant = self.replica.holder(&lease);
        if grant.is_some_and(|g| g.holder == NODE) {
            return;
        }
        let from_epoch = grant.map_or(0, |g| g.epoch);
        self.enter(&Command::GrantLease {
            lease,
            holder: NODE.into(),
            from_epoch,
        });
    }

    /// Tells the node what has entered the cluster state; a node that knows nothing gets the whole of it, where entries alone
    /// don't reach back to the beginning.
    pub fn watch(&mut self) {
        let entries: Vec<Entry> = std::mem::take(&mut self.log).into();
        let knows_nothing = self.node.state().applied_index == 0;
        let behind = knows_nothing && self.replica.applied_index > entries.len() as u64;
        let mut batch = WatchBatch {
            replica: CORE.into(),
            leader: CORE.into(),
            ok: true,
            sent: self.now().mono,
            quorum_age: 0,
            clock: self.agreed(),
            commit: self.replica.applied_index,
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: Vec::new(),
            light: false,
            reached: self.replica.applied_index,
            replicas: vec![CORE.into()],
        };
        if behind {
            batch.snapshot = self.replica.pack();
            batch.snapshot_index = self.replica.applied_index;
        } else {
            batch.entries = entries;
        }
        self.send(Body::WatchBatch(Box::new(batch)));
    }

    /// Sends the node a message of the replica.
    fn send(&mut self, body: Body) {
        self.step(Msg::Wire(CORE.into(), body));
    }

    /// Steps the node, and carries out what it wants.
    pub fn step(&mut self, msg: Msg) {
        let now = self.now();
        for effect in self.node.step(now, msg) {
            match effect {
                Effect::Send(_, Body::ProposeRequest(proposal)) => self.on_propose(&proposal),
                Effect::Send(_, Body::ReadIndexRequest(asked)) => self.on_read_ask(&asked),
                Effect::Answer(call, answer) => {
                    if let Some(worker) = self.calls.remove(&call) {
                        self.told(&worker, &answer);
                    }
                }
                _ => {}
            }
        }
    }

    fn on_propose(&mut self, proposal: &ProposeRequest) {
        let Ok(command) = Command::unpack(&proposal.command) else {
            return;
        };
        let entered = self.enter_and_tell(&command);
        let answer = ProposeResponse {
            token: proposal.token,
            outcome: 0,
            log_index: entered.log_index,
            leader: CORE.into(),
            response: entered.decision,
        };
        self.send(Body::ProposeResponse(Box::new(answer)));
    }

    fn on_read_ask(&mut self, asked: &ReadIndexRequest) {
        let answer = ReadIndexResponse {
            token: asked.token,
            ok: true,
            log_index: self.replica.applied_index,
            leader: CORE.into(),
            nodes: Vec::new(),
        };
        self.send(Body::ReadIndexResponse(Box::new(answer)));
    }

    /// The workers' part: runs end as recorded, heartbeats go out.
    pub fn work(&mut self) {
        let t = self.t;
        let due = self.hands.iter().filter(|(_, hand)| hand.is_due(t));
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(hand) = self.hands.get_mut(&name) else {
                continue;
            };
            let heartbeat = hand.heartbeat(t);
            self.next_call += 1;
            let call = self.next_call;
            self.calls.insert(call, name);
            let request = Request {
                method: "POST".into(),
                path: "/v1/beats".into(),
                query: String::new(),
                body: serde_json::to_vec(&heartbeat).unwrap_or_default(),
            };
            self.step(Msg::Call(call, request));
        }
    }

    /// A worker obeys the answer to its heartbeat.
    fn told(&mut self, worker: &str, answer: &Response) {
        let Some(hand) = self.hands.get_mut(worker) else {
            return;
        };
        hand.obey(&answer.body);
        for no in starts(&answer.body) {
            if hand.knows(no) {
                continue;
            }
            let Some(key) = self.replica.live.get(&no).cloned() else {
                continue;
            };
            hand.start(no, self.t, self.runs.next(key));
        }
    }
}

/// The time of day at which a day begins; the first entries of a new cluster come before its clock is set.
fn beginning(day: &Day) -> u64 {
    let mut times = day.lines.iter().map(|line| line.at);
    times.find(|at| *at > 0).unwrap_or(0)
}
