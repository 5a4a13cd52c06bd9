//! Heartbeats and lease expiry in the zone scheduler. Each test drives a node by messages.

mod node_harness;

use landingdrift::node::Heartbeat;
use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::state::Command;
use landingdrift::wire::{Body, ForwardRequest, RequestToken};
use node_harness::{info, never_started, response_and_proposals, NodeHarness};
use serde_json::json;

#[test]
fn a_stopped_attempt_missing_from_a_later_heartbeat_was_never_started() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    let (response, _) = harness.heartbeat(1, false);
    let starts = response.expect("answered").body["starts"].clone();
    assert_eq!(starts[0]["task"], json!("0.0.0"), "the order is sent");
    harness.append(Command::CancelJob { job: "j".into() });
    harness.install_full_copy();
    // A duplicate of the same heartbeat: the response with the order may still arrive.
    assert_eq!(never_started(&harness.heartbeat(1, false).1), []);
    // The next heartbeat shows that the response was dropped.
    assert_eq!(never_started(&harness.heartbeat(2, false).1).len(), 1);
}

#[test]
fn a_stopped_attempt_that_runs_was_started() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, false);
    harness.append(Command::CancelJob { job: "j".into() });
    harness.install_full_copy();
    let (response, proposed) = harness.heartbeat(2, true);
    assert_eq!(never_started(&proposed), []);
    assert_eq!(
        response.expect("answered").body["stopRuns"],
        json!([["j", "0.0.0", 1]])
    );
}

#[test]
fn a_new_holder_does_not_treat_attempts_missing_from_the_first_heartbeat_as_never_started() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.append(Command::CancelJob { job: "j".into() });
    harness.install_full_copy();
    // The previous holder may have sent the order in its response to this heartbeat.
    assert_eq!(never_started(&harness.heartbeat(7, false).1), []);
    assert_eq!(never_started(&harness.heartbeat(8, false).1).len(), 1);
}

#[test]
fn attempts_of_an_unresponsive_worker_expire_only_when_its_lease_has_certainly_expired() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, true);
    harness.append(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![1],
        ends: vec![],
    });
    let mut expired = Vec::new();
    for t in (20..8000).step_by(20) {
        harness.elapsed_ms = t;
        harness.install_full_copy();
        let now = harness.now();
        let (_, proposed) = response_and_proposals(harness.node.step(now, Msg::Tick));
        // The proposal is sent again until a replica answers; only the first one is applied.
        let first = expired.is_empty();
        for command in proposed.into_iter().filter(|_| first) {
            if let Command::ExpireAttempts { worker, .. } = &command {
                expired.push((t, worker.clone()));
            }
            let index = harness.state.applied_index + 1;
            let _ = harness.state.apply(index, 1000 + t, &command);
        }
    }
    assert_eq!(expired.len(), 1, "{expired:?}");
    // A lease of 6,000 ms lasts 6,123 ms by a clock that runs 2 % slow.
    assert!((6123..6400).contains(&expired[0].0), "{expired:?}");
    let task = &harness.state.jobs["j"].tasks[0];
    assert_eq!(task.failures, 0);
    assert!(task.live().next().is_none());
}

#[test]
fn a_forwarded_heartbeat_is_rejected_naming_the_lease_holder() {
    let mut harness = NodeHarness::new();
    let other = "10.0.0.3:1";
    harness.register_node(other, other);
    harness.append(Command::GrantLease {
        lease: "cell/z".into(),
        holder: other.into(),
        from_epoch: 1,
    });
    harness.install_full_copy();
    let heartbeat = Heartbeat {
        info: info(),
        ..Heartbeat::default()
    };
    let forwarded = ForwardRequest {
        token: RequestToken::default(),
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: String::new(),
        body: serde_json::to_vec(&heartbeat).expect("JSON"),
    };
    let now = harness.now();
    let effects = harness.node.step(
        now,
        Msg::Received(
            "10.0.0.9:1".into(),
            Body::ForwardRequest(Box::new(forwarded)),
        ),
    );
    let by = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Body::ForwardResponse(response)) => {
            Some((response.status, response.by.clone()))
        }
        _ => None,
    });
    assert_eq!(by, Some((503, other.to_string())));
}

#[test]
fn no_lease_is_renewed_while_the_result_of_an_expiry_is_unknown() {
    let mut harness = NodeHarness::new();
    harness.start_job();
    harness.heartbeat(1, true);
    let mut proposed = Vec::new();
    // No replica answers, and the proposal times out; it may still be applied.
    for t in (20..12_000).step_by(20) {
        harness.elapsed_ms = t;
        harness.install_full_copy();
        let now = harness.now();
        proposed.extend(response_and_proposals(harness.node.step(now, Msg::Tick)).1);
    }
    let expiries: Vec<&Command> = proposed
        .iter()
        .filter(|command| matches!(command, Command::ExpireAttempts { .. }))
        .collect();
    assert!(
        expiries.len() > 1,
        "it is proposed until a replica has answered"
    );
    let (response, _) = harness.heartbeat(2, true);
    let response = response.expect("answered");
    let lease = response.body.get("holdMs");
    assert_eq!((response.status, lease), (503, None));
}
