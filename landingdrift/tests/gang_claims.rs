//! Workers that are kept free for a gang: only where they will come free.

mod node_harness;

use landingdrift::node::{Heartbeat, RunningAttempt};
use landingdrift::sans_io::{Msg, Part, Request};
use landingdrift::state::{Command, JobSpec, RunName, StepSpec, TaskSpec};
use node_harness::{info, NodeHarness};

/// The interval of ticks and heartbeats, in milliseconds.
const STEP_MS: u64 = 100;

/// Accepts a job of one task on so many thousandths of a core.
fn accept(harness: &mut NodeHarness, id: &str, cpu: u32, gang: bool, long_running: bool) {
    let seen = harness.state.applied_index;
    let step = StepSpec {
        count: 1,
        gang,
        task: TaskSpec {
            service: "s".into(),
            cpu,
            long_running,
            ..TaskSpec::default()
        },
        ..StepSpec::default()
    };
    harness.append(Command::AcceptJob {
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

/// Lets time pass with heartbeats of the worker, on which the long-running task goes on; returns the jobs that were started.
fn pass_time(harness: &mut NodeHarness, for_ms: u64) -> Vec<String> {
    let mut started = Vec::new();
    for _ in 0..for_ms / STEP_MS {
        harness.elapsed_ms += STEP_MS;
        let now = harness.now();
        let mut effects = harness.node.step(now, Msg::Tick);
        harness.call += 1;
        let running = RunningAttempt {
            name: Some(RunName {
                job: "lasting".into(),
                task: "0.0.0".into(),
                run: 1,
            }),
            ..RunningAttempt::default()
        };
        let heartbeat = Heartbeat {
            info: info(),
            running: vec![running],
            sequence: harness.call,
            uses_run_names: true,
            ..Heartbeat::default()
        };
        let request = Request {
            method: "POST".into(),
            path: "/v1/beats".into(),
            body: serde_json::to_vec(&heartbeat).expect("JSON"),
            ..Request::default()
        };
        effects.extend(harness.node.step(now, Msg::Call(harness.call, request)));
        for command in harness.commit(effects).commands {
            if let Command::StartAttempts { job, .. } = command {
                started.push(job);
            }
        }
    }
    started
}

#[test]
fn a_gang_that_fits_beside_no_long_running_task_keeps_no_worker_from_other_jobs() {
    let mut harness = NodeHarness::new();
    accept(&mut harness, "lasting", 1, false, true);
    harness.append_start("lasting");
    harness.follow();
    // It needs the whole worker.
    accept(&mut harness, "gang", 4, true, false);
    harness.follow();
    assert_eq!(pass_time(&mut harness, 4000), Vec::<String>::new());
    accept(&mut harness, "small", 1, false, false);
    harness.follow();
    assert_eq!(pass_time(&mut harness, 3000), ["small"]);
}
