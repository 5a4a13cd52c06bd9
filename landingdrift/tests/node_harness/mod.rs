//! Test harness: a node that holds the leases of a zone and a queue, with a simulated worker, replica and clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod heartbeats;

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Response, StateMachine};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::state::{
    pack_apply_result, ClusterState, Command, EndReport, JobSpec, Outcome, Placement, StepSpec,
    TaskSpec, WorkerInfo,
};
use landingdrift::wire::{Body, ProposeRequest, ProposeResponse, WatchBatch};
use serde_json::json;

/// The address of the node under test.
pub const NODE: &str = "10.0.0.1:1";

/// The address of the only replica, which is the leader.
pub const REPLICA: &str = "10.0.0.2:1";

/// A node that holds the leases of zone `z` and queue `q`, with one worker.
pub struct NodeHarness {
    /// The cluster state as the replicas have it.
    pub state: ClusterState,
    pub node: Node,
    pub elapsed_ms: u64,
    /// The number of the last call.
    pub call: u64,
}

/// Committed commands, and the node's effects on receiving the responses.
#[derive(Default)]
pub struct Committed {
    pub commands: Vec<Command>,
    pub effects: Vec<Effect>,
}

/// The identity and resources of worker `w`.
pub fn info() -> WorkerInfo {
    WorkerInfo {
        worker: "w".into(),
        incarnation: 1,
        service: "s".into(),
        zone: "z".into(),
        cpu: 4,
        ..WorkerInfo::default()
    }
}

impl NodeHarness {
    pub fn new() -> Self {
        let settings = Settings {
            listen: NODE.into(),
            http: NODE.into(),
            zone: "z".into(),
            seeds: vec![REPLICA.into()],
            bounds: Bounds {
                lease_ms: 6000,
                ..Bounds::default()
            },
            ..Settings::default()
        };
        let now = Now { mono: 1, wall: 1 };
        let mut harness = Self {
            state: ClusterState::new(&settings.cluster),
            node: Node::new(settings, now, 1),
            elapsed_ms: 1,
            call: 0,
        };
        harness.register_node(NODE, NODE);
        for lease in ["cell/z", "queue/q"] {
            harness.append(Command::GrantLease {
                lease: lease.into(),
                holder: NODE.into(),
                from_epoch: 0,
            });
        }
        harness.append(Command::UpdateConfig {
            change: "c".into(),
            base_version: 0,
            is_patch: false,
            version: 0,
            value: json!({"queues": {"q": {"tries": 3, "quota": 9, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
                "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
        });
        harness.append(Command::UpdateWorker {
            info: info(),
            zone_epoch: 1,
        });
        harness
    }

    /// Appends a command to the log and applies it; it must not be rejected.
    pub fn append(&mut self, command: Command) {
        let index = self.state.applied_index + 1;
        self.state
            .apply(index, 1000 + self.elapsed_ms, &command)
            .unwrap_or_else(|rejection| panic!("{command:?}: {rejection}"));
    }

    /// Registers a node in the zone, with its address and its HTTP address.
    pub fn register_node(&mut self, node: &str, http: &str) {
        self.append(Command::RegisterNode {
            node: node.into(),
            zone: "z".into(),
            http: http.into(),
        });
    }

    /// Commits the proposals among the effects, responds to them, and gives the node a full copy.
    pub fn commit(&mut self, effects: Vec<Effect>) -> Committed {
        let mut committed = Committed::default();
        for effect in effects {
            if let Effect::Send(_, Body::ProposeRequest(request)) = effect {
                let (command, effects) = self.commit_proposal(*request);
                committed.commands.push(command);
                committed.effects.extend(effects);
            }
        }
        self.install_full_copy();
        committed
    }

    /// Commits a proposal of the node and responds to it; returns the command and the effects of the response.
    pub fn commit_proposal(&mut self, request: ProposeRequest) -> (Command, Vec<Effect>) {
        let command = Command::unpack(&request.command).expect("a command");
        let log_index = self.state.applied_index + 1;
        let at = 1000 + self.elapsed_ms;
        let result = self.state.apply(log_index, at, &command);
        let response = ProposeResponse {
            token: request.token,
            outcome: 0,
            log_index,
            leader: REPLICA.into(),
            response: pack_apply_result(&result),
        };
        let body = Body::ProposeResponse(Box::new(response));
        let now = self.now();
        let effects = self.node.step(now, Msg::Received(REPLICA.into(), body));
        (command, effects)
    }

    pub fn now(&self) -> Now {
        Now {
            mono: self.elapsed_ms,
            wall: 1000 + self.elapsed_ms,
        }
    }

    /// Gives the node a full copy of the cluster state.
    pub fn install_full_copy(&mut self) -> Vec<Effect> {
        self.install_copy(self.state.pack(), false)
    }

    /// Gives the node a light copy of the cluster state.
    pub fn install_light_copy(&mut self) -> Vec<Effect> {
        self.install_copy(self.state.without_jobs_and_workers().pack(), true)
    }

    /// A batch without entries, for a node with a light (`light`) or full copy.
    pub fn batch(&self, light: bool) -> WatchBatch {
        let index = self.state.applied_index;
        WatchBatch {
            replica: REPLICA.into(),
            leader: REPLICA.into(),
            ok: true,
            sent: self.elapsed_ms,
            quorum_age: 0,
            clock: 1000 + self.elapsed_ms,
            commit: index,
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: Vec::new(),
            replicas: vec![REPLICA.into()],
            light,
            reached: index,
            incarnation: 0,
            follows: index,
            config_index: self.state.config_index(),
            stamp: None,
        }
    }

    fn install_copy(&mut self, snapshot: Vec<u8>, light: bool) -> Vec<Effect> {
        let batch = WatchBatch {
            snapshot,
            snapshot_index: self.state.applied_index,
            follows: 0,
            config_index: 0,
            ..self.batch(light)
        };
        let now = self.now();
        self.node.step(
            now,
            Msg::Received(REPLICA.into(), Body::WatchBatch(Box::new(batch))),
        )
    }

    /// Grants the zone's lease to another node and then back to this one, under a new epoch.
    pub fn pass_zone_lease_back_and_forth(&mut self) {
        let other = "10.0.0.3:1";
        self.register_node(other, other);
        for holder in [other, NODE] {
            let from_epoch = self.state.leases["cell/z"].epoch;
            self.append(Command::GrantLease {
                lease: "cell/z".into(),
                holder: holder.into(),
                from_epoch,
            });
            self.install_full_copy();
        }
    }

    /// Submits a job of one step with `count` tasks.
    pub fn submit(&mut self, id: &str, count: u32) {
        let seen = self.state.applied_index;
        self.append(Command::SubmitJob {
            spec: JobSpec {
                id: id.into(),
                queue: "q".into(),
                steps: vec![StepSpec {
                    count,
                    task: TaskSpec {
                        service: "s".into(),
                        cpu: 1,
                        ..TaskSpec::default()
                    },
                    ..StepSpec::default()
                }],
                ..JobSpec::default()
            },
            hash: 1,
            seen,
        });
    }

    /// Submits a job of one task, starts it on the worker, and gives the node a full copy.
    pub fn start_job(&mut self) {
        self.append_started_job();
        self.install_full_copy();
    }

    /// Appends a job of one task and its start on the worker, under the current epoch of the zone's lease.
    pub fn append_started_job(&mut self) {
        self.submit("j", 1);
        self.append_start("j");
    }

    /// Appends the start of a job's first task on the worker, under the current epoch of the zone's lease.
    pub fn append_start(&mut self, job: &str) {
        let zone_epoch = self.state.leases["cell/z"].epoch;
        self.append(Command::StartAttempts {
            job: job.into(),
            owner_epoch: 2,
            placements: vec![Placement {
                task: 0,
                worker: "w".into(),
                incarnation: 1,
                zone_epoch,
                copy: false,
            }],
        });
    }

    /// Submits a job of one task that needs `cpu` thousandths of a core; other properties are those of `template`.
    pub fn submit_single(&mut self, id: &str, template: StepSpec, cpu: u32) {
        let seen = self.state.applied_index;
        let task = TaskSpec {
            service: "s".into(),
            cpu,
            ..template.task
        };
        let step = StepSpec {
            count: 1,
            task,
            ..template
        };
        self.append(Command::SubmitJob {
            spec: JobSpec {
                id: id.into(),
                queue: "q".into(),
                steps: vec![step],
                ..JobSpec::default()
            },
            hash: 1,
            seen,
        });
    }

    /// The value of one of the node's counters; 0 if it does not exist yet.
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.node.counters();
        let found = counters.iter().find(|(counter, _)| counter == name);
        found.map_or(0, |(_, number)| *number)
    }
}

/// The response and the proposed commands among the effects.
pub fn response_and_proposals(effects: Vec<Effect>) -> (Option<Response>, Vec<Command>) {
    let mut response = None;
    let mut proposed = Vec::new();
    for effect in effects {
        match effect {
            Effect::Respond(_, answer) => response = Some(answer),
            Effect::Send(_, Body::ProposeRequest(request)) => {
                proposed.push(Command::unpack(&request.command).expect("a command"))
            }
            _ => {}
        }
    }
    (response, proposed)
}

/// The ends with outcome `NeverStarted` in the commands.
pub fn never_started(commands: &[Command]) -> Vec<EndReport> {
    let mut never_started = Vec::new();
    for command in commands {
        if let Command::ReportAttempts { ends, .. } = command {
            let ends = ends.iter().cloned();
            never_started.extend(ends.filter(|end| end.outcome == Outcome::NeverStarted));
        }
    }
    never_started
}
