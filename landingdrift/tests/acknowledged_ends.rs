//! Acknowledgement of reported ends by the holder of a zone lease. A worker forgets an acknowledged end, so an end that
//! is acknowledged without being recorded in the cluster state is lost: its failure is not counted, and the task may
//! exceed its maximum attempts.

mod node_harness;

use landingdrift::state::{Command, Outcome};
use node_harness::NodeHarness;
use serde_json::json;

const SUCCESSOR: &str = "10.0.0.3:1";

/// Moves the zone's lease to another node, which places the job's task on the worker. The former holder has not
/// received these entries yet, but its copy of the cluster state still counts as fresh for some time.
fn move_lease_and_start_job(harness: &mut NodeHarness) {
    harness.install_full_copy();
    harness.register_node(SUCCESSOR, SUCCESSOR);
    harness.append(Command::GrantLease {
        lease: "cell/z".into(),
        holder: SUCCESSOR.into(),
        from_epoch: 1,
    });
    harness.append_started_job();
}

#[test]
fn a_former_holder_does_not_acknowledge_ends_of_runs_missing_from_its_copy() {
    let mut harness = NodeHarness::new();
    move_lease_and_start_job(&mut harness);
    harness.elapsed_ms += 50;
    let (response, proposed) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    let body = response.expect("answered").body;
    assert_ne!(body["settledTo"], json!(1), "acknowledged: {body}");
    assert_eq!(proposed, [], "it has no attempt to report");
}

#[test]
fn a_former_holder_does_not_stop_runs_missing_from_its_copy() {
    let mut harness = NodeHarness::new();
    move_lease_and_start_job(&mut harness);
    harness.elapsed_ms += 50;
    let (response, _) = harness.heartbeat(1, true);
    assert_eq!(response.expect("answered").body["stopRuns"], json!([]));
}

#[test]
fn the_end_of_a_nonexistent_run_is_acknowledged_once_the_copy_is_complete() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    harness.elapsed_ms += 50;
    let (response, _) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").body["settledTo"], json!(0));
    harness.elapsed_ms += 50;
    harness.install_full_copy();
    let (response, _) = harness.heartbeat_with_end(2, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").body["settledTo"], json!(1));
}

#[test]
fn a_node_with_a_light_copy_rejects_heartbeats() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.install_light_copy();
    let (response, _) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    assert_eq!(response.expect("answered").status, 503);
}
