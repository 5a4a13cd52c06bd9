//! Start orders: a response must stay small enough for its worker, and orders that do not fit must follow in the next.

mod node_harness;

use landingdrift::node::{Heartbeat, RunningAttempt};
use landingdrift::state::{Command, JobSpec, Placement, RunName, StepSpec, TaskSpec, WorkerInfo};
use node_harness::{info, response_and_proposals, NodeHarness};
use serde_json::Value;

const TASKS: u32 = 1500;
/// Size of each task's payload, in bytes.
const PAYLOAD_BYTES: usize = 4000;
/// Maximum size of a response that workers accept, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

fn large_worker() -> WorkerInfo {
    WorkerInfo {
        cpu: TASKS,
        ..info()
    }
}

/// Submits a job of many tasks with a large payload, and places all of them on one worker.
fn place_many_tasks(harness: &mut NodeHarness) {
    harness.append(Command::UpdateConfig {
        change: "room".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: serde_json::json!({"services": {"s": {"taskRoom": 9999, "gangRoom": 9999}}}),
    });
    harness.append(Command::UpdateWorker {
        info: large_worker(),
        zone_epoch: 1,
    });
    let seen = harness.state.applied_index;
    let step = StepSpec {
        count: TASKS,
        task: TaskSpec {
            service: "s".into(),
            cpu: 1,
            ..TaskSpec::default()
        },
        ..StepSpec::default()
    };
    harness.append(Command::SubmitJob {
        spec: JobSpec {
            id: "j".into(),
            queue: "q".into(),
            steps: vec![step],
            payload: "x".repeat(PAYLOAD_BYTES),
            ..JobSpec::default()
        },
        hash: 1,
        seen,
    });
    let placement = |task| Placement {
        task,
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
        copy: false,
    };
    harness.append(Command::StartAttempts {
        job: "j".into(),
        owner_epoch: 2,
        placements: (0..TASKS).map(placement).collect(),
    });
    harness.install_full_copy();
}

fn heartbeat(harness: &mut NodeHarness, sequence: u64, running: &[RunName]) -> Value {
    let running = running.iter().map(|name| RunningAttempt {
        name: Some(name.clone()),
        ..RunningAttempt::default()
    });
    let heartbeat = Heartbeat {
        info: large_worker(),
        running: running.collect(),
        sequence,
        uses_run_names: true,
        ..Heartbeat::default()
    };
    let effects = harness.send_heartbeat_effects(heartbeat);
    response_and_proposals(effects).0.expect("an answer").body
}

#[test]
fn start_orders_that_do_not_fit_into_one_response_follow_in_the_next() {
    let mut harness = NodeHarness::new();
    place_many_tasks(&mut harness);
    let mut running: Vec<RunName> = Vec::new();
    for sequence in 1..20 {
        let body = heartbeat(&mut harness, sequence, &running);
        assert!(
            body.to_string().len() < MAX_RESPONSE_BYTES,
            "{}",
            body.to_string().len()
        );
        for start in body["starts"].as_array().expect("a list") {
            running.push(RunName {
                job: "j".into(),
                task: start["task"].as_str().expect("a name").into(),
                run: 1,
            });
        }
    }
    assert_eq!(running.len(), TASKS as usize, "all tasks are started");
    assert_eq!(
        running[0].task, "0.0.0",
        "orders are sent in the order of attempt numbers"
    );
}
