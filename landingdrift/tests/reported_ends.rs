//! A reported end takes precedence over an expired lease: a received end must reach the log, and its attempt must not
//! expire instead.

mod node_harness;

use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::state::{AttemptState, Command, Outcome};
use landingdrift::wire::Body;
use node_harness::{response_and_proposals, NodeHarness};

/// Lets time pass until `until_ms` without heartbeats; commits and returns the proposed commands.
fn pass_time_without_heartbeats(harness: &mut NodeHarness, until_ms: u64) -> Vec<Command> {
    let mut committed = Vec::new();
    while harness.elapsed_ms < until_ms {
        harness.elapsed_ms += 20;
        harness.install_full_copy();
        let now = harness.now();
        let effects = harness.node.step(now, Msg::Tick);
        committed.extend(harness.commit(effects).commands);
    }
    committed
}

/// A lease holder whose first report of the worker's runs is proposed but not committed yet.
fn harness_with_pending_report() -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.elapsed_ms = 1000;
    harness.install_full_copy();
    let (_, proposed) = harness.heartbeat(1, true);
    let is_report = |command: &Command| matches!(command, Command::ReportAttempts { .. });
    assert!(proposed.iter().any(is_report), "{proposed:?}");
    harness
}

#[test]
fn an_end_received_during_another_report_is_reported_even_if_heartbeats_stop() {
    let mut harness = harness_with_pending_report();
    // The earlier report is still pending, so this one waits.
    let (_, proposed) = harness.heartbeat_with_end(2, 1, Outcome::Failed);
    assert_eq!(proposed, []);
    pass_time_without_heartbeats(&mut harness, 9000);
    let task = &harness.state.jobs["j"].tasks[0];
    assert_eq!(task.attempts[0].state, AttemptState::Failed);
    assert_eq!(task.failures, 1, "it counts as a failure");
}

#[test]
fn an_end_received_while_its_attempt_expires_is_reported() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, true);
    // The expiry is proposed and no replica answers.
    let mut is_expiring = false;
    while !is_expiring {
        harness.elapsed_ms += 20;
        harness.install_full_copy();
        let now = harness.now();
        let (_, proposed) = response_and_proposals(harness.node.step(now, Msg::Tick));
        let is_expiry = |command: &Command| matches!(command, Command::ExpireAttempts { .. });
        is_expiring = proposed.iter().any(is_expiry);
    }
    let (response, proposed) = harness.heartbeat_with_end(2, 1, Outcome::Failed);
    assert_eq!(
        response.expect("answered").status,
        503,
        "the lease is not renewed"
    );
    let reports_end = |command: &Command| match command {
        Command::ReportAttempts { ends, .. } => ends.len() == 1,
        _ => false,
    };
    assert!(proposed.iter().any(reports_end), "{proposed:?}");
}

#[test]
fn an_expiry_is_proposed_only_once_even_if_the_copy_lags_behind() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, true);
    let mut expiries = 0;
    while harness.elapsed_ms < 7000 {
        harness.elapsed_ms += 20;
        if expiries == 0 {
            harness.install_full_copy();
        }
        let now = harness.now();
        for effect in harness.node.step(now, Msg::Tick) {
            if let Effect::Send(_, Body::ProposeRequest(request)) = effect {
                let (command, _) = harness.commit_proposal(*request);
                expiries += u32::from(matches!(command, Command::ExpireAttempts { .. }));
            }
        }
        // Stop before the copy becomes stale, since a node with a stale copy answers no heartbeat.
        if expiries > 0 && harness.elapsed_ms > 6700 {
            break;
        }
    }
    assert_eq!(expiries, 1);
    // According to the log the attempt has expired: no heartbeat renews the lease, although the attempt is still live
    // in the copy.
    let (response, _) = harness.heartbeat(2, true);
    assert_eq!(response.expect("answered").status, 503);
}

#[test]
fn a_new_holder_waits_for_leases_that_its_predecessor_may_have_renewed() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.pass_zone_lease_back_and_forth();
    let taken_over_at = harness.elapsed_ms;
    let mut expired_at = None;
    while expired_at.is_none() {
        let next_step = harness.elapsed_ms + 20;
        let committed = pass_time_without_heartbeats(&mut harness, next_step);
        let is_expiry = |command: &Command| matches!(command, Command::ExpireAttempts { .. });
        expired_at = committed
            .iter()
            .any(is_expiry)
            .then_some(harness.elapsed_ms);
    }
    // The predecessor's copy counts as fresh for 500 ms, and 6,000 ms are 6,123 ms by a clock that runs 2 % slow.
    let waited_ms = expired_at.expect("the attempt expires") - taken_over_at;
    assert!((6623..7000).contains(&waited_ms), "{waited_ms}");
}
