//! Calls by host and path. A queue must be found however its host is spelt, in the configuration and in the call.

mod node_harness;

use landingdrift::sans_io::{Effect, Msg, Request, Response, StateMachine};
use landingdrift::state::Command;
use node_harness::NodeHarness;
use serde_json::json;

/// Requests the number of a queue's waiting jobs; returns the response.
fn request_waiting_count(harness: &mut NodeHarness, host: &str) -> Response {
    harness.call += 1;
    let request = Request {
        method: "GET".into(),
        path: format!("/v1/at/{host}/p/"),
        ..Request::default()
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(harness.call, request));
    let mut answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Respond(_, response) => Some(response),
        _ => None,
    });
    answers.next_back().expect("an answer")
}

/// Sets the queue's host and prefix.
fn set_route(harness: &mut NodeHarness, host: &str) {
    harness.append(Command::UpdateConfig {
        change: "routes".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"service": "s", "host": host, "prefix": "/p/"}}}),
    });
    harness.install_full_copy();
}

#[test]
fn a_queue_is_found_however_its_host_is_spelt() {
    for declared in ["host.example", "Host.Example", "host.example:80"] {
        let mut harness = NodeHarness::new();
        set_route(&mut harness, declared);
        for called in ["host.example", "HOST.example", "host.example:8161"] {
            let answer = request_waiting_count(&mut harness, called);
            assert_eq!(
                answer.status, 200,
                "queue host {declared}, called as {called}"
            );
        }
        assert_eq!(
            request_waiting_count(&mut harness, "other.example").status,
            404
        );
    }
}

#[test]
fn a_placed_job_counts_as_waiting_until_it_is_running() {
    let mut harness = NodeHarness::new();
    set_route(&mut harness, "host.example");
    let waiting = |harness: &mut NodeHarness| {
        let answer = request_waiting_count(harness, "host.example");
        answer.body["waiting"].as_u64().expect("a count")
    };
    harness.append_started_job();
    harness.install_full_copy();
    assert_eq!(
        waiting(&mut harness),
        1,
        "the worker has not reported the run"
    );
    harness.append(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![1],
        ends: vec![],
    });
    harness.install_full_copy();
    assert_eq!(waiting(&mut harness), 0);
}
