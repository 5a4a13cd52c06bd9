//! The simulation of a rerun: one node, and the replica and workers that it talks to.

use super::recorded_runs::RecordedRuns;
use super::simulated_worker::{start_orders, SimulatedWorker};
use super::summary::Summary;
use crate::config::ClusterConfig;
use crate::node::Node;
use crate::replay::Recording;
use crate::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use crate::settings::Settings;
use crate::state::{pack_apply_result, queue_lease, zone_lease, ClusterState, Command, WorkerInfo};
use crate::wire::{
    Body, Entry, ProposeRequest, ProposeResponse, ReadIndexRequest, ReadIndexResponse, WatchBatch,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The address of the only node of a rerun.
const NODE: &str = "10.0.0.1:1";
/// The address of the only replica of a rerun.
const REPLICA: &str = "10.0.0.2:1";
/// The zone of the node.
const ZONE: &str = "replay";
/// The term of all log entries of a rerun, in which there are no elections.
const TERM: u64 = 1;
/// The random seed of the node. It is fixed so that reruns of the same recording give the same summary.
const SEED: u64 = 1;
/// The retention time of ended jobs. It exceeds the length of any recording, so that ended jobs are kept for the summary,
/// and is only a quarter of the range, so that sums with it don't overflow.
const RETAIN_ALL_MS: u64 = u64::MAX / 4;

/// An applied command: its log index and its encoded result.
struct Applied {
    log_index: u64,
    result: Vec<u8>,
}

/// A node, with a simulated replica and simulated workers.
pub(super) struct Simulation {
    /// The cluster state of the replica.
    state: ClusterState,
    /// Log entries that have not been sent to the node yet.
    log: VecDeque<Entry>,
    node: Node,
    /// Virtual milliseconds since the beginning of the rerun.
    elapsed_ms: u64,
    /// The cluster time at the beginning of the recording.
    started_at: u64,
    workers: BTreeMap<String, SimulatedWorker>,
    recorded_runs: RecordedRuns,
    /// The workers whose heartbeats wait for a response, by call number.
    heartbeat_calls: BTreeMap<u64, String>,
    next_call: u64,
}

impl Simulation {
    /// A simulation at the beginning of a recording, with the workers that were registered then.
    pub fn new(recording: &Recording, settings: &Settings) -> Self {
        let started_at = start_time(recording);
        let settings = Settings {
            listen: NODE.into(),
            http: NODE.into(),
            zone: ZONE.into(),
            seeds: vec![REPLICA.into()],
            cluster: recording.start.cluster.clone(),
            ..settings.clone()
        };
        let now = Now {
            mono: 1,
            wall: started_at,
        };
        let mut simulation = Self {
            state: recording.start.clone(),
            log: VecDeque::new(),
            node: Node::new(settings, now, SEED),
            elapsed_ms: 0,
            started_at,
            workers: BTreeMap::new(),
            recorded_runs: RecordedRuns::from_state(&recording.final_state()),
            heartbeat_calls: BTreeMap::new(),
            next_call: 0,
        };
        simulation.append(&Command::RegisterNode {
            node: NODE.into(),
            zone: ZONE.into(),
            http: NODE.into(),
        });
        for worker in recording.start.workers.values() {
            simulation.update_worker(&worker.info);
        }
        simulation
    }

    fn now(&self) -> Now {
        Now {
            mono: self.elapsed_ms + 1,
            wall: self.cluster_time(),
        }
    }

    /// The current cluster time, in milliseconds since 1970.
    pub fn cluster_time(&self) -> u64 {
        self.started_at + self.elapsed_ms
    }

    /// Virtual milliseconds since the beginning of the rerun.
    pub fn elapsed(&self) -> u64 {
        self.elapsed_ms
    }

    /// Virtual milliseconds from the beginning of the rerun to a cluster time.
    pub fn since_start(&self, at: u64) -> u64 {
        at.saturating_sub(self.started_at)
    }

    /// Advances virtual time.
    pub fn advance(&mut self, ms: u64) {
        self.elapsed_ms += ms;
    }

    /// The log index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.state.applied_index
    }

    /// Whether all jobs have ended.
    pub fn all_jobs_ended(&self) -> bool {
        self.state.unfinished_jobs.is_empty()
    }

    /// The summary of the rerun so far.
    pub fn summary(&self) -> Summary {
        Summary::from_state(&self.state)
    }

    /// Appends a command to the log and applies it.
    pub fn append(&mut self, command: &Command) {
        self.apply(command);
    }

    fn apply(&mut self, command: &Command) -> Applied {
        let log_index = self.state.applied_index + 1;
        let at = self.cluster_time();
        let result = pack_apply_result(&self.state.apply(log_index, at, command));
        self.log.push_back(Entry {
            index: log_index,
            term: TERM,
            at,
            command: serde_json::to_vec(command).unwrap_or_default(),
        });
        Applied { log_index, result }
    }

    /// Appends a change that replaces the configuration.
    pub fn configure(&mut self, config: &ClusterConfig) {
        let base = self.state.version;
        let value = serde_json::to_value(config).unwrap_or_default();
        self.append(&Command::UpdateConfig {
            change: "replay".into(),
            base_version: base,
            is_patch: false,
            version: 0,
            value,
        });
    }

    /// Adds a worker, or updates one that came back or changed its registration.
    pub fn update_worker(&mut self, info: &WorkerInfo) {
        let name = info.worker.clone();
        let worker = self.workers.entry(name);
        let worker = worker.or_insert_with(|| SimulatedWorker::new(info.clone()));
        worker.update(info);
    }

    /// Stops the heartbeats of a worker until its next update.
    pub fn stop_heartbeats(&mut self, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.stop_heartbeats();
        }
    }

    /// Grants the leases of all zones and queues to the node, and collects garbage if that is due.
    pub fn grant_leases(&mut self) {
        let workers = self.workers.values();
        let zones: BTreeSet<String> = workers.map(|worker| zone_lease(worker.zone())).collect();
        let queues = self.state.config.queues.keys();
        let queues: BTreeSet<String> = queues.map(|queue| queue_lease(queue)).collect();
        for lease in zones.into_iter().chain(queues) {
            self.grant(lease);
        }
        let due = self
            .state
            .next_garbage_collection_at(RETAIN_ALL_MS, RETAIN_ALL_MS);
        if due.is_some_and(|due| due <= self.cluster_time()) {
            self.append(&Command::CollectGarbage {
                retain_ms: RETAIN_ALL_MS,
                identity_ms: RETAIN_ALL_MS,
            });
        }
    }

    fn grant(&mut self, lease: String) {
        let granted = self.state.current_lease(&lease);
        if granted.is_some_and(|granted| granted.holder == NODE) {
            return;
        }
        let from_epoch = granted.map_or(0, |granted| granted.epoch);
        self.append(&Command::GrantLease {
            lease,
            holder: NODE.into(),
            from_epoch,
        });
    }

    /// Sends the node the entries since the last batch. Sends a snapshot instead if the node has no state yet and the
    /// pending entries don't begin with log index 1.
    pub fn send_watch_batch(&mut self) {
        let entries: Vec<Entry> = std::mem::take(&mut self.log).into();
        let is_empty = self.node.state().applied_index == 0;
        let needs_snapshot = is_empty && self.state.applied_index > entries.len() as u64;
        let mut batch = WatchBatch {
            replica: REPLICA.into(),
            leader: REPLICA.into(),
            ok: true,
            sent: self.now().mono,
            quorum_age: 0,
            clock: self.cluster_time(),
            commit: self.state.applied_index,
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: Vec::new(),
            light: false,
            reached: self.state.applied_index,
            replicas: vec![REPLICA.into()],
            incarnation: 0,
            follows: 0,
            config_index: 0,
            stamp: None,
        };
        if needs_snapshot {
            batch.snapshot = self.state.pack();
            batch.snapshot_index = self.state.applied_index;
        } else {
            batch.entries = entries;
        }
        self.send(Body::WatchBatch(Box::new(batch)));
    }

    /// Sends the node a message from the replica.
    fn send(&mut self, body: Body) {
        self.step(Msg::Received(REPLICA.into(), body));
    }

    /// Steps the node and executes its effects.
    pub fn step(&mut self, msg: Msg) {
        let now = self.now();
        for effect in self.node.step(now, msg) {
            match effect {
                Effect::Send(_, Body::ProposeRequest(proposal)) => self.on_propose(&proposal),
                Effect::Send(_, Body::ReadIndexRequest(request)) => self.on_read_index(&request),
                Effect::Respond(call, response) => {
                    if let Some(worker) = self.heartbeat_calls.remove(&call) {
                        self.on_heartbeat_response(&worker, &response);
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
        let applied = self.apply(&command);
        let response = ProposeResponse {
            token: proposal.token,
            outcome: 0,
            log_index: applied.log_index,
            leader: REPLICA.into(),
            response: applied.result,
        };
        self.send(Body::ProposeResponse(Box::new(response)));
    }

    fn on_read_index(&mut self, request: &ReadIndexRequest) {
        let response = ReadIndexResponse {
            token: request.token,
            ok: true,
            log_index: self.state.applied_index,
            leader: REPLICA.into(),
            nodes: Vec::new(),
        };
        self.send(Body::ReadIndexResponse(Box::new(response)));
    }

    /// Sends the heartbeats that are due; each reports the attempts that have ended.
    pub fn step_workers(&mut self) {
        let now_ms = self.elapsed_ms;
        let workers = self.workers.iter();
        let due = workers.filter(|(_, worker)| worker.heartbeat_is_due(now_ms));
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            let heartbeat = worker.heartbeat(now_ms);
            self.next_call += 1;
            let call = self.next_call;
            self.heartbeat_calls.insert(call, name);
            let request = Request {
                method: "POST".into(),
                path: "/v1/beats".into(),
                query: String::new(),
                body: serde_json::to_vec(&heartbeat).unwrap_or_default(),
            };
            self.step(Msg::Call(call, request));
        }
    }

    /// Lets a worker apply the orders in the response to its heartbeat.
    fn on_heartbeat_response(&mut self, worker: &str, response: &Response) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        worker.apply_orders(&response.body);
        for attempt in start_orders(&response.body) {
            if worker.runs_or_has_run(attempt) {
                continue;
            }
            let Some(key) = self.state.live.get(&attempt).cloned() else {
                continue;
            };
            worker.start(attempt, self.elapsed_ms, self.recorded_runs.next(key));
        }
    }
}

/// The cluster time at the beginning of a recording. The first entries of a new cluster have time 0, as its clock is
/// not set yet; they are skipped. Returns 0 if all entries have time 0.
fn start_time(recording: &Recording) -> u64 {
    let mut times = recording.entries.iter().map(|recorded| recorded.at);
    times.find(|at| *at > 0).unwrap_or(0)
}
