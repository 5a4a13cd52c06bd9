//! The log entries of a small cluster, with every kind of command. Together they fill every collection
//! of the cluster state.

use landingdrift::state::{
    ClusterState, Command, EndReport, JobSpec, Order, Outcome, Placement, ProposalId,
    ReplicaMember, RunName, StepSpec, TaskSpec, WorkerInfo,
};
use serde_json::json;

/// Cluster time of the first entry, in milliseconds since 1970.
const START_MS: u64 = 1_700_000_000_000;
/// Cluster time between two entries, in milliseconds.
const STEP_MS: u64 = 10;
/// Deadline of all orders: after the end of the history, so that their results are kept.
const DEADLINE_MS: u64 = START_MS + 3_600_000;

/// An entry with its log index and the cluster time at which it was appended.
pub struct HistoryEntry {
    pub log_index: u64,
    pub at: u64,
    pub command: Command,
}

/// The entries, and the cluster state that results from them.
pub struct History {
    pub entries: Vec<HistoryEntry>,
    pub state: ClusterState,
}

impl History {
    /// Builds the history. One job submission is rejected because its queue has reached its quota; all other entries are
    /// accepted.
    pub fn build() -> Self {
        let mut history = Self {
            entries: Vec::new(),
            state: ClusterState::new("stored"),
        };
        history.add_members();
        history.add_leases_and_configuration();
        history.add_workers();
        history.add_job_with_tombstone();
        history.add_job_of_steps();
        history.add_running_jobs();
        history.add_lost_worker();
        history.add_retired_queue();
        history.add_orders();
        history
    }

    fn apply(&mut self, command: Command) -> bool {
        let log_index = self.state.applied_index + 1;
        let at = START_MS + log_index * STEP_MS;
        let accepted = self.state.apply(log_index, at, &command).is_ok();
        self.entries.push(HistoryEntry {
            log_index,
            at,
            command,
        });
        accepted
    }

    fn apply_ok(&mut self, command: Command) {
        let command_text = format!("{command:?}");
        assert!(self.apply(command), "rejected: {command_text}");
    }

    fn apply_order(&mut self, number: u64, action: Command) {
        let proposal = ProposalId {
            proposer: "10.0.1.1:7000".into(),
            incarnation: 5,
            number,
        };
        self.apply_ok(Command::Order(Order {
            action: Box::new(action),
            proposal,
            deadline: DEADLINE_MS,
        }));
    }

    fn add_members(&mut self) {
        let member = |disk: u64, voter: bool| ReplicaMember {
            voter,
            disk,
            zone: format!("z{disk}"),
            standby_only: !voter,
        };
        let replica = |disk: u64| format!("10.0.0.{disk}:7000");
        self.apply_ok(Command::TermStarted { leader: replica(1) });
        let replicas = (1..=3).map(|disk| (replica(disk), member(disk, true)));
        self.apply_ok(Command::FoundCluster {
            replicas: replicas.collect(),
        });
        for disk in [4, 5] {
            self.apply_ok(Command::UpdateReplica {
                replica: replica(disk),
                member: member(disk, false),
            });
        }
        self.apply_ok(Command::RemoveReplica {
            replica: replica(5),
            disk: 5,
        });
        for (node, zone) in [("10.0.1.1:7000", "z1"), ("10.0.1.2:7000", "z2")] {
            self.apply_ok(Command::RegisterNode {
                node: node.into(),
                zone: zone.into(),
                http: node.replace(":7000", ":8000"),
            });
        }
        self.apply_ok(Command::MarkNodeGone {
            node: "10.0.1.2:7000".into(),
        });
    }

    /// Grants the leases, with epoch 1 for zone z1, 2 for zone z2, 3 for queue `fast` and 4 for queue `old`; then sets the
    /// configuration.
    fn add_leases_and_configuration(&mut self) {
        for lease in ["cell/z1", "cell/z2", "queue/fast", "queue/old"] {
            self.apply_ok(Command::GrantLease {
                lease: lease.into(),
                holder: "10.0.1.1:7000".into(),
                from_epoch: 0,
            });
        }
        let value = json!({
            "queues": {
                "fast": {"finishWithinMs": 30_000, "defectAllowancePercent": 7, "tries": 3, "quota": 9, "priority": 2,
                         "speculationPercent": 50, "windowMs": 60_000, "unsureBoundMs": 50_000, "service": "s",
                         "host": "jobs.example", "prefix": "/fast", "stretch": 2.5, "note": "a queue"},
                "old": {"tries": 1, "quota": 1, "windowMs": 60_000, "unsureBoundMs": 50_000},
            },
            "services": {"s": {"labels": ["l"], "taskRoom": 4, "gangRoom": 16, "note": "a service"},
                         "t": {"taskRoom": 2, "gangRoom": 2, "anyLabel": true}},
            "zones": {"z1": {"state": "serving"}, "z9": {"state": "draining", "drainedWorkers": ["w9"]}},
            "notes": {"by": "the generator"},
            "retireQueues": true,
        });
        self.apply_order(
            1,
            Command::UpdateConfig {
                change: "first".into(),
                base_version: 0,
                is_patch: false,
                version: 7,
                value,
            },
        );
    }

    fn add_workers(&mut self) {
        for (worker, zone, zone_epoch) in [("w1", "z1", 1), ("w2", "z1", 1), ("w3", "z2", 2)] {
            let info = WorkerInfo {
                worker: worker.into(),
                incarnation: 11,
                service: "s".into(),
                labels: ["l".to_string()].into(),
                zone: zone.into(),
                cpu: 8,
                memory: 64,
                accelerators: 2,
                rack: format!("rack-{zone}"),
                address: format!("{worker}.example:9000"),
                leaving: false,
            };
            self.apply_ok(Command::UpdateWorker { info, zone_epoch });
        }
    }

    fn submit(&mut self, spec: JobSpec, hash: u64) -> bool {
        let seen = self.state.applied_index;
        self.apply(Command::SubmitJob { spec, hash, seen })
    }

    fn start(&mut self, job: &str, owner_epoch: u64, tasks: &[u32], worker: &str) {
        let placements = tasks.iter().map(|task| Placement {
            task: *task,
            worker: worker.into(),
            incarnation: 11,
            zone_epoch: if worker == "w3" { 2 } else { 1 },
            copy: false,
        });
        self.apply_ok(Command::StartAttempts {
            job: job.into(),
            owner_epoch,
            placements: placements.collect(),
        });
    }

    fn report(&mut self, worker: &str, running: &[u64], ends: Vec<EndReport>) {
        self.apply_ok(Command::ReportAttempts {
            worker: worker.into(),
            incarnation: 11,
            running: running.to_vec(),
            ends,
        });
    }

    fn add_job_with_tombstone(&mut self) {
        assert!(self.submit(job("forgotten", "fast", vec![task("a")]), 101));
        self.start("forgotten", 3, &[0], "w1");
        self.report("w1", &[], vec![end(1, Outcome::Succeeded, 40)]);
        self.apply_ok(Command::CollectGarbage {
            retain_ms: 0,
            identity_ms: 3_600_000,
        });
    }

    fn add_job_of_steps(&mut self) {
        let unnamed_task = TaskSpec {
            name: String::new(),
            ..task("")
        };
        let step = |count: u32, depends_on: Vec<u32>, gang: bool| StepSpec {
            count,
            depends_on,
            gang,
            task: unnamed_task.clone(),
        };
        let spec = JobSpec {
            id: "steps".into(),
            queue: "fast".into(),
            steps: vec![step(1, vec![], false), step(2, vec![0], true)],
            payload: "for all steps".into(),
            times: 2,
            first_due: START_MS,
            period_ms: STEP_MS,
            ..JobSpec::default()
        };
        assert!(self.submit(spec, 102));
        self.start("steps", 3, &[0], "w2");
        self.report("w2", &[2], vec![end(2, Outcome::Succeeded, 60)]);
        self.start("steps", 3, &[1, 2], "w2");
        self.report("w2", &[3, 4], Vec::new());
    }

    /// Adds two jobs whose attempts are 5 (succeeded), 6 (running, asked to stop) and 7 (expired).
    fn add_running_jobs(&mut self) {
        assert!(self.submit(job("done", "fast", vec![task("a")]), 103));
        self.start("done", 3, &[0], "w1");
        self.report("w1", &[5], vec![end(5, Outcome::Succeeded, 80)]);
        let dependent_task = TaskSpec {
            depends_on: vec!["a".into()],
            ..task("b")
        };
        let spec = job(
            "running",
            "fast",
            vec![task("a"), dependent_task, task("c")],
        );
        assert!(self.submit(spec, 104));
        self.start("running", 3, &[0], "w1");
        self.start("running", 3, &[2], "w1");
        self.report("w1", &[6, 7], Vec::new());
        self.apply_ok(Command::RescheduleAttempts {
            worker: "w1".into(),
            zone_epoch: 1,
            attempts: vec![6],
            blame: true,
        });
        self.apply_ok(Command::ExpireAttempts {
            worker: "w1".into(),
            incarnation: 11,
            zone_epoch: 1,
            attempts: vec![7],
            checkpoints: vec![(7, "half".into())],
        });
        let named = EndReport {
            name: Some(RunName {
                job: "running".into(),
                task: "a".into(),
                run: 9,
            }),
            ..end(99, Outcome::NeverStarted, 0)
        };
        self.report("w1", &[], vec![named]);
    }

    /// Adds a job on a worker that is then lost: the outcome of attempt 8 stays unknown, that of attempt 9 is resolved by
    /// the operator.
    fn add_lost_worker(&mut self) {
        assert!(self.submit(job("unsure", "fast", vec![task("a"), task("b")]), 105));
        self.start("unsure", 3, &[0], "w3");
        self.start("unsure", 3, &[1], "w3");
        self.apply_ok(Command::MarkWorkerLost {
            worker: "w3".into(),
            incarnation: 11,
            zone_epoch: 2,
        });
        self.apply_order(
            2,
            Command::ResolveTask {
                job: "unsure".into(),
                task: "b".into(),
                succeeded: false,
            },
        );
    }

    fn add_retired_queue(&mut self) {
        let plain = || TaskSpec {
            service: "t".into(),
            cpu: 1,
            name: "a".into(),
            ..TaskSpec::default()
        };
        assert!(self.submit(job("last", "old", vec![plain()]), 106));
        let over_quota = self.submit(job("turned-away", "old", vec![plain()]), 107);
        assert!(!over_quota, "the queue's quota is one job");
        self.apply_ok(Command::UpdateConfig {
            change: "second".into(),
            base_version: 7,
            is_patch: true,
            version: 0,
            value: json!({"queues": {"old": null}}),
        });
    }

    fn add_orders(&mut self) {
        self.apply_order(
            3,
            Command::SetEvacuation {
                zone: "z2".into(),
                evacuate: true,
            },
        );
        self.apply_order(
            4,
            Command::CancelJob {
                job: "running".into(),
            },
        );
    }
}

fn job(id: &str, queue: &str, tasks: Vec<TaskSpec>) -> JobSpec {
    JobSpec {
        id: id.into(),
        queue: queue.into(),
        tasks,
        ..JobSpec::default()
    }
}

fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        labels: vec!["l".into()],
        cpu: 2,
        memory: 8,
        may_repeat: true,
        due: START_MS - STEP_MS,
        near: "rack-z1".into(),
        same_rack: true,
        anti_affinity: 3,
        checkpoints: true,
        estimate_ms: 500,
        payload: json!({"run": ["this", 1]}),
        ..TaskSpec::default()
    }
}

fn end(no: u64, outcome: Outcome, ran_ms: u64) -> EndReport {
    EndReport {
        no,
        outcome,
        ran_ms,
        note: format!("send {no}"),
        checkpoint: format!("checkpoint of {no}"),
        ..EndReport::default()
    }
}
