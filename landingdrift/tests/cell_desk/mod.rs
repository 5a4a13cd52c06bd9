//! A node that holds a zone scheduler and owns a queue; the tests are its workers, its replicas and its clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

use landingdrift::node::{Heartbeat, Node, RunningAttempt};
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::state::{
    ClusterState, Command, EndReport, JobSpec, Outcome, Placement, RunName, StepSpec, TaskSpec,
    WorkerInfo,
};
use landingdrift::wire::{Body, WatchBatch};
use serde_json::json;

pub const NODE: &str = "10.0.0.1:1";

pub const CORE: &str = "10.0.0.2:1";

/// A node that holds the zone scheduler of zone `z` and owns queue `q`, with one worker.
pub struct Desk {
    pub r: ClusterState,
    pub n: Node,
    pub t: u64,
    pub call: u64,
}

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

impl Desk {
    pub fn new() -> Self {
        let settings = Settings {
            listen: NODE.into(),
            http: NODE.into(),
            zone: "z".into(),
            seeds: vec![CORE.into()],
            bounds: Bounds {
                lease_ms: 6000,
                ..Bounds::default()
            },
            ..Settings::default()
        };
        let now = Now { mono: 1, wall: 1 };
        let mut d = Self {
            r: ClusterState::new(&settings.cluster),
            n: Node::new(settings, now, 1),
            t: 1,
            call: 0,
        };
        d.enter(Command::RegisterNode {
            node: NODE.into(),
            zone: "z".into(),
            http: NODE.into(),
        });
        for lease in ["cell/z", "queue/q"] {
            d.enter(Command::GrantLease {
                lease: lease.into(),
                holder: NODE.into(),
                from_epoch: 0,
            });
        }
        d.enter(Command::UpdateConfig {
            change: "c".into(),
            base: 0,
            patch: false,
            number: 0,
            value: json!({"queues": {"q": {"tries": 3, "quota": 9, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
                "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
        });
        d.enter(Command::UpdateWorker {
            info: info(),
            zone_epoch: 1,
        });
        d
    }

    pub fn enter(&mut self, c: Command) {
        let index = self.r.applied_index + 1;
        self.r
            .apply(index, 1000 + self.t, &c)
            .unwrap_or_else(|e| panic!("{c:?}: {e}"));
    }

    pub fn now(&self) -> Now {
        Now {
            mono: self.t,
            wall: 1000 + self.t,
        }
    }

    /// The node follows to where the cluster state is.
    pub fn follow(&mut self) -> Vec<Effect> {
        let batch = WatchBatch {
            replica: CORE.into(),
            leader: CORE.into(),
            ok: true,
            sent: self.t,
            quorum_age: 0,
            clock: 1000 + self.t,
            commit: self.r.applied_index,
            snapshot: self.r.pack(),
            snapshot_index: self.r.applied_index,
            entries: Vec::new(),
            replicas: vec![CORE.into()],
            light: false,
            reached: self.r.applied_index,
        };
        let now = self.now();
        self.n.step(
            now,
            Msg::Wire(CORE.into(), Body::WatchBatch(Box::new(batch))),
        )
    }

    /// A job of one step of so many tasks.
    pub fn accept(&mut self, id: &str, count: u32) {
        let seen = self.r.applied_index;
        self.enter(Command::AcceptJob {
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

    /// A job of one task, and a run of it on the worker.
    pub fn started(&mut self) {
        self.accept("j", 1);
        self.enter(Command::StartAttempts {
            job: "j".into(),
            owner_epoch: 2,
            placements: vec![Placement {
                task: 0,
                worker: "w".into(),
                incarnation: 1,
                zone_epoch: 1,
                copy: false,
            }],
        });
        self.follow();
    }

    /// A heartbeat of the worker; the answer, and what was proposed with it.
    pub fn heartbeat(&mut self, sequence: u64, running: bool) -> (Option<Response>, Vec<Command>) {
        let name = RunName {
            job: "j".into(),
            task: "0.0.0".into(),
            run: 1,
        };
        let run = RunningAttempt {
            name: Some(name),
            ..RunningAttempt::default()
        };
        let heartbeat = Heartbeat {
            info: info(),
            running: if running { vec![run] } else { Vec::new() },
            sequence,
            uses_run_names: true,
            ..Heartbeat::default()
        };
        self.call += 1;
        let req = Request {
            method: "POST".into(),
            path: "/v1/beats".into(),
            body: serde_json::to_vec(&heartbeat).expect("JSON"),
            ..Request::default()
        };
        let now = self.now();
        said(self.n.step(now, Msg::Call(self.call, req)))
    }
}

pub fn said(effects: Vec<Effect>) -> (Option<Response>, Vec<Command>) {
    let mut answer = None;
    let mut proposed = Vec::new();
    for e in effects {
        match e {
            Effect::Answer(_, v) => answer = Some(v),
            Effect::Send(_, Body::ProposeRequest(p)) => {
                proposed.push(Command::unpack(&p.command).expect("a command"))
            }
            _ => {}
        }
    }
    (answer, proposed)
}

pub fn voids(of: &[Command]) -> Vec<EndReport> {
    of.iter()
        .filter_map(|c| match c {
            Command::ReportAttempts { ends, .. } => Some(ends.clone()),
            _ => None,
        })
        .flatten()
        .filter(|e| e.outcome == Outcome::NeverStarted)
        .collect()
}
