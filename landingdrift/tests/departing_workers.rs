//! Workers that report that they leave: what they run is dead only when that is certain.

mod node_harness;

use landingdrift::node::{Heartbeat, RunningAttempt};
use landingdrift::sans_io::{Effect, Msg, Part, Request};
use landingdrift::state::{Command, WorkerInfo};
use node_harness::heartbeats::run_name;
use node_harness::{info, NodeHarness};

/// The interval of ticks and heartbeats in these tests, in milliseconds.
const STEP_MS: u64 = 100;

/// The worker reports that it leaves.
fn report_leaving(harness: &mut NodeHarness) {
    harness.call += 1;
    let request = Request {
        method: "POST".into(),
        path: "/v1/workers/w/left".into(),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(harness.call, request));
    let is_acknowledged =
        |effect: &Effect| matches!(effect, Effect::Answer(_, answer) if answer.status == 200);
    let was_known = harness.state.workers["w"].info.leaving;
    let at_once = effects.iter().any(is_acknowledged);
    assert_eq!(at_once, was_known, "a later holder has to know it as well");
    let answers = harness.commit(effects).answers;
    assert!(at_once || answers.iter().any(is_acknowledged));
}

/// A heartbeat of the worker that runs the job's task, and says whether it is leaving.
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

/// How many attempts some commands end as expired.
fn expired(commands: &[Command]) -> usize {
    let expired = commands.iter().map(|command| match command {
        Command::ExpireAttempts { attempts, .. } => attempts.len(),
        _ => 0,
    });
    expired.sum()
}

/// Lets time pass until `until_ms`, with a heartbeat at each step if `beats` makes one; returns when the attempt expired.
fn pass_time(
    harness: &mut NodeHarness,
    until_ms: u64,
    beats: impl Fn(u64) -> Option<Heartbeat>,
) -> Option<u64> {
    while harness.elapsed_ms < until_ms {
        harness.elapsed_ms += STEP_MS;
        harness.follow();
        let now = harness.now();
        let mut effects: Vec<Effect> = harness.node.step(now, Msg::Tick);
        if let Some(heartbeat) = beats(harness.elapsed_ms) {
            effects.extend(harness.send_heartbeat_effects(heartbeat));
        }
        if expired(&harness.commit(effects).commands) > 0 {
            return Some(harness.elapsed_ms);
        }
    }
    None
}

#[test]
fn a_worker_that_reports_first_and_runs_on_keeps_its_runs_and_gets_nothing_new() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    report_leaving(&mut harness);
    assert!(harness.state.workers["w"].info.leaving, "no node uses it");
    let expired = pass_time(&mut harness, 5000, |at| Some(heartbeat(at, false)));
    assert_eq!(expired, None, "it runs on");
    // That it says in its heartbeats that it stays changes nothing.
    assert!(harness.state.workers["w"].info.leaving);
}

#[test]
fn the_runs_of_a_worker_that_reports_first_are_dead_when_its_lease_has_run_out() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    report_leaving(&mut harness);
    let expired = pass_time(&mut harness, 10_000, |_| None).expect("in the end");
    // The last heartbeat came at 500; 6,000 ms by a clock that runs 2 % slow are 6,123.
    assert!((6623..7000).contains(&expired), "{expired}");
}

#[test]
fn the_report_of_a_worker_that_had_announced_its_leaving_is_its_last_word() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, true)));
    report_leaving(&mut harness);
    let expired = pass_time(&mut harness, 5000, |_| None).expect("soon");
    assert!(expired <= 1200, "{expired}");
}

#[test]
fn a_worker_that_is_heard_after_its_last_word_still_runs() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, true)));
    report_leaving(&mut harness);
    let expired = pass_time(&mut harness, 5000, |at| Some(heartbeat(at, true)));
    assert_eq!(expired, None);
}

#[test]
fn the_next_process_of_a_worker_that_left_is_used_again() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    pass_time(&mut harness, 500, |at| Some(heartbeat(at, false)));
    report_leaving(&mut harness);
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
fn a_node_that_does_not_know_the_worker_acknowledges_no_report() {
    let mut harness = NodeHarness::new();
    // It follows no replica yet: its copy of the cluster state is empty.
    let request = Request {
        method: "POST".into(),
        path: "/v1/workers/w/left".into(),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(1, request));
    let statuses = effects.iter().filter_map(|effect| match effect {
        Effect::Answer(_, answer) => Some(answer.status),
        _ => None,
    });
    assert_eq!(statuses.collect::<Vec<_>>(), [503]);
}
