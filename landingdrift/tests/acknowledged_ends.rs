//! Which ends of runs a holder of a zone lease acknowledges. The worker forgets an end that was acknowledged: if the
//! cluster state does not count it, nothing ever will, and a task is started again that has failed often enough.

mod node_harness;

use landingdrift::state::{Command, Outcome};
use node_harness::NodeHarness;
use serde_json::json;

const SUCCESSOR: &str = "10.0.0.3:1";

/// The zone's lease moves to another node, which places the job's task on the worker. The node that held the lease
/// before has not followed that yet: its copy of the cluster state counts as fresh for some time.
fn move_lease_and_start_job(harness: &mut NodeHarness) {
    harness.follow();
    harness.register_node(SUCCESSOR, SUCCESSOR);
    harness.append(Command::GrantLease {
        lease: "cell/z".into(),
        holder: SUCCESSOR.into(),
        from_epoch: 1,
    });
    harness.append_started_job();
}

#[test]
fn a_former_holder_acknowledges_no_end_of_a_run_that_its_copy_does_not_know() {
    let mut harness = NodeHarness::new();
    move_lease_and_start_job(&mut harness);
    harness.elapsed_ms += 50;
    let (response, proposed) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    let body = response.expect("answered").body;
    assert_ne!(body["settledTo"], json!(1), "acknowledged: {body}");
    assert_eq!(proposed, [], "it has no attempt to report");
}

#[test]
fn a_former_holder_stops_no_run_that_its_copy_does_not_know() {
    let mut harness = NodeHarness::new();
    move_lease_and_start_job(&mut harness);
    harness.elapsed_ms += 50;
    let (response, _) = harness.heartbeat(1, true);
    assert_eq!(response.expect("answered").body["stopRuns"], json!([]));
}

#[test]
fn the_end_of_a_run_that_there_never_was_is_acknowledged_once_the_copy_is_surely_complete() {
    let mut harness = NodeHarness::new();
    harness.follow();
    harness.elapsed_ms += 50;
    let (response, _) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").body["settledTo"], json!(0));
    harness.elapsed_ms += 50;
    harness.follow();
    let (response, _) = harness.heartbeat_with_end(2, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").body["settledTo"], json!(1));
}

#[test]
fn a_light_copy_answers_no_heartbeat() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.follow_light();
    let (response, _) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").status, 503);
}
