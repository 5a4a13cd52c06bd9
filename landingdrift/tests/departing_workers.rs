//! Departure reports of workers: their attempts expire only when they have certainly ended.

mod node_harness;

use landingdrift::node::{Heartbeat, RunningAttempt};
use landingdrift::sans_io::{Effect, Msg, Request, StateMachine};
use landingdrift::state::{Command, WorkerInfo};
use node_harness::heartbeats::run_name;
use node_harness::{info, NodeHarness};

/// The interval of ticks and heartbeats in these tests, in milliseconds.
const STEP_MS: u64 = 100;

/// Sends the worker's departure report, and checks that the report is acknowledged only after it is committed.
fn send_departure_report(harness: &mut NodeHarness) {
    harness.call += 1;
    let request = Request {
        method: "POST".into(),
        path: "/v1/workers/w/left".into(),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(harness.call, request));
    let is_acknowledged =
        |effect: &Effect| matches!(effect, Effect::Respond(_, answer) if answer.status == 200);
    let was_already_leaving = harness.state.workers["w"].info.leaving;
    let is_acknowledged_at_once = effects.iter().any(is_acknowledged);
    assert_eq!(
        is_acknowledged_at_once, was_already_leaving,
        "acknowledged only once committed, so that a later holder has the report too"
    );
    let response_effects = harness.commit(effects).effects;
    assert!(is_acknowledged_at_once || response_effects.iter().any(is_acknowledged));
}

/// A heartbeat of the worker, which runs the job's task and announces whether it is leaving.
fn heartbeat(sequence: u64, leaving: bool) -> Heartbeat {
    Heartbeat {
        info: WorkerInfo { leaving, ..info() },
        running: vec![RunningAttempt {
            name: Some(run_name(1)),
            ..RunningAttempt::default()
        }],
        sequence,
        uses_run_names: true,
        ..Heartbeat::default()
    }
}

/// The number of attempts that the commands expire.
fn expired_attempt_count(commands: &[Command]) -> usize {
    let counts = commands.iter().map(|command| match command {
        Command::ExpireAttempts { attempts, .. } => attempts.len(),
        _ => 0,
    });
    counts.sum()
}

/// Lets time pass until `until_ms`, with a heartbeat at each step if `next_heartbeat` returns one; returns the time at
/// which the attempt expired.
fn pass_time(
    harness: &mut NodeHarness,
    until_ms: u64,
    next_heartbeat: impl Fn(u64) -> Option<Heartbeat>,
) -> Option<u64> {
    while harness.elapsed_ms < until_ms {
        harness.elapsed_ms += STEP_MS;
        harness.install_full_copy();
        let now = harness.now();
        let mut effects: Vec<Effect> = harness.node.step(now, Msg::Tick);
        if let Some(heartbeat) = next_heartbeat(harness.elapsed_ms) {
            effects.extend(harness.send_heartbeat_effects(heartbeat));
        }
        if expired_attempt_count(&harness.commit(effects).commands) > 0 {
            return Some(harness.elapsed_ms);
        }
    }
    None
}

#[test]
fn a_worker_that_keeps_running_after_its_report_keeps_its_runs_and_gets_no_new_work() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    send_departure_report(&mut harness);
    assert!(
        harness.state.workers["w"].info.leaving,
        "it gets no new work"
    );
    let expired_at = pass_time(&mut harness, 5000, |at| Some(heartbeat(at, false)));
    assert_eq!(expired_at, None, "it is still running");
    // Later heartbeats that do not announce leaving change nothing.
    assert!(harness.state.workers["w"].info.leaving);
}

#[test]
fn after_an_unannounced_departure_report_runs_expire_only_with_the_lease() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    send_departure_report(&mut harness);
    let expired_at = pass_time(&mut harness, 10_000, |_| None).expect("the attempt expires");
    // The last heartbeat arrived at 500 ms, and a lease of 6,000 ms lasts 6,123 ms by a clock that runs 2 % slow.
    assert!((6623..7000).contains(&expired_at), "{expired_at}");
}

#[test]
fn after_an_announcement_runs_expire_soon_after_the_departure_report() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, true)));
    send_departure_report(&mut harness);
    let expired_at = pass_time(&mut harness, 5000, |_| None).expect("the attempt expires");
    assert!(expired_at <= 1200, "{expired_at}");
}

#[test]
fn runs_do_not_expire_while_heartbeats_arrive_after_a_final_report() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, true)));
    send_departure_report(&mut harness);
    let expired_at = pass_time(&mut harness, 5000, |at| Some(heartbeat(at, true)));
    assert_eq!(expired_at, None);
}

#[test]
fn the_next_process_of_a_departed_worker_gets_work_again() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    send_departure_report(&mut harness);
    let next = |at| Heartbeat {
        info: WorkerInfo {
            incarnation: 2,
            ..info()
        },
        running: Vec::new(),
        ..heartbeat(at, false)
    };
    pass_time(&mut harness, 1500, |at| Some(next(at)));
    assert!(!harness.state.workers["w"].info.leaving);
}

#[test]
fn a_node_that_does_not_know_the_worker_rejects_its_report() {
    let mut harness = NodeHarness::new();
    // The node follows no replica yet, so its copy of the cluster state is empty.
    let request = Request {
        method: "POST".into(),
        path: "/v1/workers/w/left".into(),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(1, request));
    let statuses = effects.iter().filter_map(|effect| match effect {
        Effect::Respond(_, answer) => Some(answer.status),
        _ => None,
    });
    assert_eq!(statuses.collect::<Vec<_>>(), [503]);
}
