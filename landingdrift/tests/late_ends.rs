//! Metrics of reported ends of runs that are not live according to the cluster state.

mod node_harness;

use landingdrift::state::{Command, Outcome};
use node_harness::NodeHarness;

/// Expires the job's only attempt.
fn expire_attempt(harness: &mut NodeHarness) {
    harness.append(Command::ExpireAttempts {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
        attempts: vec![1],
        checkpoints: vec![],
    });
    harness.install_full_copy();
}

#[test]
fn an_end_that_contradicts_the_cluster_state_is_counted() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, true);
    expire_attempt(&mut harness);
    harness.heartbeat_with_end(2, 1, Outcome::Expired);
    assert_eq!(harness.counter("ends_contradicting_state"), 0);
    harness.heartbeat_with_end(3, 1, Outcome::Failed);
    assert_eq!(harness.counter("ends_contradicting_state"), 1);
    assert_eq!(harness.counter("ends_of_unknown_runs"), 0);
}

#[test]
fn an_end_of_a_run_without_an_attempt_is_counted() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat_with_end(1, 7, Outcome::Failed);
    assert_eq!(harness.counter("ends_of_unknown_runs"), 1);
}

#[test]
fn a_repeated_report_of_a_recorded_end_is_not_counted_as_a_contradiction() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    let (_, proposed) = harness.heartbeat_with_end(1, 1, Outcome::Failed);
    for command in proposed {
        harness.append(command);
    }
    harness.install_full_copy();
    // The response with the acknowledgement was lost, so the same end is reported again.
    harness.heartbeat_with_end(2, 1, Outcome::Failed);
    assert_eq!(harness.counter("ends_contradicting_state"), 0);
    assert_eq!(harness.counter("ends_of_unknown_runs"), 0);
}
