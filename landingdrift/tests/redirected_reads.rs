//! A large configuration is neither read nor changed through a node with a light copy, which may have a narrow link:
//! callers would time out before the response arrives, and the change would block the link for all other calls.

mod node_harness;

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::state::Command;
use node_harness::{NodeHarness, REPLICA};
use serde_json::json;

const CALL: u64 = 1000;
const FULL_COPY: &str = "10.0.0.3:1";
const FULL_COPY_HTTP: &str = "10.0.0.3:80";
const LARGE_BYTES: usize = 300_000;
const CHANGE_QUERY: &str = "base=2&change=c";

/// A node in a cluster where another node has a full copy and holds the leases; the configuration has a note of
/// `note_bytes`.
fn harness(note_bytes: usize) -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.register_node(FULL_COPY, FULL_COPY_HTTP);
    for lease in ["cell/z", "queue/q"] {
        let from_epoch = harness.state.leases[lease].epoch;
        harness.append(Command::GrantLease {
            lease: lease.into(),
            holder: FULL_COPY.into(),
            from_epoch,
        });
    }
    harness.append(Command::UpdateConfig {
        change: "large".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"notes": {"n": "x".repeat(note_bytes)}}),
    });
    harness
}

/// Reads the configuration; returns the response if there is one at once.
fn read(harness: &mut NodeHarness) -> Option<Response> {
    call(harness, "GET", "", Vec::new())
}

/// Changes the note in the configuration to one of `note_bytes`; returns the response if there is one at once.
fn change(harness: &mut NodeHarness, note_bytes: usize) -> Option<Response> {
    let body = json!({"notes": {"n": "y".repeat(note_bytes)}});
    let body = serde_json::to_vec(&body).expect("JSON");
    call(harness, "PATCH", CHANGE_QUERY, body)
}

fn call(harness: &mut NodeHarness, method: &str, query: &str, body: Vec<u8>) -> Option<Response> {
    let request = Request {
        method: method.into(),
        path: "/v1/desired".into(),
        query: query.into(),
        body,
    };
    let now = harness.now();
    let effects = harness.node.step(now, Msg::Call(CALL, request));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Respond(CALL, response) => Some(response),
        _ => None,
    })
}

/// Guards against a node that is unresponsive while it transfers a large change over its link.
#[test]
fn a_large_change_is_redirected_from_a_node_with_a_light_copy() {
    let mut harness = harness(1000);
    harness.install_light_copy();
    let response = change(&mut harness, LARGE_BYTES).expect("an answer at once");
    assert_eq!(response.status, 307);
    let location = format!("{FULL_COPY_HTTP}/v1/desired?{CHANGE_QUERY}");
    assert_eq!(response.location, location);
}

#[test]
fn a_small_change_is_proposed_anywhere_and_a_large_one_by_a_node_with_a_full_copy() {
    let mut small_change = harness(1000);
    small_change.install_light_copy();
    assert_eq!(change(&mut small_change, 1000), None, "it is proposed");
    let mut full_copy = harness(1000);
    full_copy.install_full_copy();
    assert_eq!(change(&mut full_copy, LARGE_BYTES), None, "it is proposed");
}

#[test]
fn a_read_of_a_large_configuration_is_redirected_from_a_node_with_a_light_copy() {
    let mut harness = harness(LARGE_BYTES);
    harness.install_light_copy();
    let response = read(&mut harness).expect("an answer at once");
    assert_eq!(response.status, 307);
    assert_eq!(response.location, format!("{FULL_COPY_HTTP}/v1/desired"));
}

#[test]
fn a_small_configuration_is_read_anywhere() {
    let mut harness = harness(1000);
    harness.install_light_copy();
    assert_eq!(read(&mut harness), None, "it is read at this node");
}

#[test]
fn a_node_with_a_full_copy_does_not_redirect_reads() {
    let mut harness = harness(LARGE_BYTES);
    harness.install_full_copy();
    assert_eq!(read(&mut harness), None, "it is read at this node");
}

#[test]
fn a_read_is_not_redirected_to_a_node_that_may_have_a_light_copy() {
    let mut harness = harness(LARGE_BYTES);
    for lease in ["cell/z", "queue/q"] {
        let from_epoch = harness.state.leases[lease].epoch;
        harness.append(Command::GrantLease {
            lease: lease.into(),
            holder: node_harness::NODE.into(),
            from_epoch,
        });
    }
    harness.install_light_copy();
    assert_eq!(read(&mut harness), None, "it is read at this node");
}

#[test]
fn a_small_node_without_a_copy_rejects_reads_without_a_retry_delay() {
    let settings = Settings {
        listen: node_harness::NODE.into(),
        seeds: vec![REPLICA.into()],
        share: 56,
        ..Settings::default()
    };
    let mut harness = harness(LARGE_BYTES);
    harness.node = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
    let response = read(&mut harness).expect("an answer at once");
    assert_eq!(response.status, 503);
    assert_eq!(response.retry_ms, 0, "another node may be asked at once");
}
