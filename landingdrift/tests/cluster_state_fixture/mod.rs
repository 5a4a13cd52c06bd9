//! A cluster state with a node, leases, a configuration and two workers, for tests that apply commands to it.

#![allow(dead_code, reason = "each test file uses a part of it")]

use landingdrift::state::{
    ApplyResult, ClusterState, Command, EndReport, JobSpec, JobState, Outcome, Placement, TaskSpec,
    WorkerInfo,
};
use serde_json::json;

/// A cluster state with node `n`, leases on zone `z` (epoch 1) and queue `q` (epoch 2), and workers `w` and `v`.
pub struct StateFixture {
    pub state: ClusterState,
    pub last_index: u64,
    pub at: u64,
}

impl StateFixture {
    pub fn new() -> Self {
        let mut fixture = Self {
            state: ClusterState::new("c"),
            last_index: 0,
            at: 1_000_000,
        };
        fixture.apply_ok(Command::RegisterNode {
            node: "n".into(),
            zone: "z".into(),
            http: "h".into(),
        });
        fixture.apply_ok(Command::GrantLease {
            lease: "cell/z".into(),
            holder: "n".into(),
            from_epoch: 0,
        });
        fixture.apply_ok(Command::GrantLease {
            lease: "queue/q".into(),
            holder: "n".into(),
            from_epoch: 0,
        });
        fixture.apply_ok(Command::UpdateConfig {
            change: "first".into(),
            base_version: 0,
            is_patch: false,
            version: 0,
            value: config(2),
        });
        fixture.update_worker("w", 1, false);
        fixture.update_worker("v", 1, false);
        fixture
    }
    /// Applies a command 10 ms after the previous one.
    pub fn apply(&mut self, command: Command) -> ApplyResult {
        self.last_index += 1;
        self.at += 10;
        self.state.apply(self.last_index, self.at, &command)
    }
    /// Applies a command that must be accepted.
    pub fn apply_ok(&mut self, command: Command) -> serde_json::Value {
        let command_text = format!("{command:?}");
        self.apply(command)
            .unwrap_or_else(|e| panic!("{command_text}: {e}"))
    }
    /// Registers or updates a worker with 4 CPU in zone `z`.
    pub fn update_worker(&mut self, worker: &str, incarnation: u64, leaving: bool) {
        let info = WorkerInfo {
            worker: worker.into(),
            incarnation,
            service: "s".into(),
            labels: ["l".to_string()].into(),
            zone: "z".into(),
            cpu: 4,
            leaving,
            ..WorkerInfo::default()
        };
        self.apply_ok(Command::UpdateWorker {
            info,
            zone_epoch: 1,
        });
    }
    /// Submits a job of single tasks to queue `q`.
    pub fn submit(&mut self, id: &str, tasks: Vec<TaskSpec>) -> ApplyResult {
        let seen = self.state.applied_index;
        self.apply(Command::SubmitJob {
            spec: JobSpec {
                id: id.into(),
                queue: "q".into(),
                tasks,
                ..JobSpec::default()
            },
            hash: 1,
            seen,
        })
    }
    /// Starts attempts of tasks, each on a worker, under the current leases.
    pub fn start(&mut self, job: &str, placements: &[(u32, &str)]) -> ApplyResult {
        self.start_under(job, placements, 2, 1, false)
    }
    /// Starts speculative copies of tasks, each on a worker, under the current leases.
    pub fn start_copy(&mut self, job: &str, placements: &[(u32, &str)]) -> ApplyResult {
        self.start_under(job, placements, 2, 1, true)
    }
    /// Starts attempts under the given epochs of the queue lease and the zone lease, optionally as speculative copies.
    pub fn start_under(
        &mut self,
        job: &str,
        placements: &[(u32, &str)],
        owner_epoch: u64,
        zone_epoch: u64,
        copy: bool,
    ) -> ApplyResult {
        let incarnation = |w: &str| self.state.workers.get(w).map_or(0, |w| w.info.incarnation);
        let placements = placements
            .iter()
            .map(|(task, w)| Placement {
                task: *task,
                worker: w.to_string(),
                incarnation: incarnation(w),
                zone_epoch,
                copy,
            })
            .collect();
        self.apply(Command::StartAttempts {
            job: job.into(),
            owner_epoch,
            placements,
        })
    }
    /// Reports the end of an attempt by incarnation 1 of its worker.
    pub fn report_end(&mut self, worker: &str, no: u64, outcome: Outcome) {
        self.apply_ok(Command::ReportAttempts {
            worker: worker.into(),
            incarnation: 1,
            running: vec![],
            ends: vec![EndReport {
                no,
                outcome,
                ran_ms: 5,
                ..EndReport::default()
            }],
        });
    }
    pub fn job_state(&self, job: &str) -> JobState {
        self.state.jobs[job].state
    }
}

/// A configuration with queue `q`, service `s` and zone `z`; tasks of the queue get at most `max_attempts` attempts.
pub fn config(max_attempts: u32) -> serde_json::Value {
    json!({"queues": {"q": {"tries": max_attempts, "quota": 3, "windowMs": 60_000, "unsureBoundMs": 5000, "speculationPercent": 50, "defectAllowancePercent": 100}},
           "services": {"s": {"labels": ["l", "m"], "taskRoom": 4, "gangRoom": 8}}, "zones": {"z": {}}})
}

/// A task that needs 3 CPU and may not be repeated.
pub fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        cpu: 3,
        ..TaskSpec::default()
    }
}

/// A task that needs 3 CPU and may be repeated.
pub fn repeatable(name: &str) -> TaskSpec {
    TaskSpec {
        may_repeat: true,
        ..task(name)
    }
}
