//! Forwarding of reads that a node can't answer itself: it asks other nodes one after another until one answers.

mod node_harness;

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Request, Response, StateMachine};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::state::Command;
use landingdrift::wire::{Body, ForwardRequest, ForwardResponse, ReadIndexResponse};
use node_harness::{NodeHarness, NODE, REPLICA};
use serde_json::json;

const HOLDERS: [&str; 3] = ["10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"];
const CALL: u64 = 1000;

/// A node with a light copy in a cluster with three other nodes that hold leases.
fn light_node() -> NodeHarness {
    let mut harness = NodeHarness::new();
    for (index, holder) in HOLDERS.into_iter().enumerate() {
        harness.register_node(holder, holder);
        let lease = ["cell/z", "queue/q", "cell/y"][index];
        let known = harness.state.leases.get(lease);
        let from_epoch = known.map_or(0, |lease| lease.epoch);
        harness.append(Command::GrantLease {
            lease: lease.into(),
            holder: holder.into(),
            from_epoch,
        });
    }
    harness.submit("j", 1);
    harness.install_light_copy();
    harness
}

fn settings_of_node() -> Settings {
    Settings {
        listen: NODE.into(),
        http: NODE.into(),
        zone: "z".into(),
        seeds: vec![REPLICA.into()],
        ..Settings::default()
    }
}

/// Sends a GET call to the node.
fn send_read(harness: &mut NodeHarness, path: &str) -> Vec<Effect> {
    let request = Request {
        method: "GET".into(),
        path: path.into(),
        ..Request::default()
    };
    let now = harness.now();
    harness.node.step(now, Msg::Call(CALL, request))
}

/// The forwarded calls among the effects, each with the node that it was sent to.
fn forwarded(effects: &[Effect]) -> Vec<(String, ForwardRequest)> {
    let forwarded = effects.iter().filter_map(|effect| match effect {
        Effect::Send(to, Body::ForwardRequest(request)) => Some((to.clone(), (**request).clone())),
        _ => None,
    });
    forwarded.collect()
}

fn answer(effects: &[Effect]) -> Option<Response> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond(CALL, response) => Some(response.clone()),
        _ => None,
    })
}

/// Delivers a node's response to a forwarded call; returns the effects.
fn respond(
    harness: &mut NodeHarness,
    from: &str,
    request: &ForwardRequest,
    status: u16,
) -> Vec<Effect> {
    respond_with_version(harness, from, request, status, 0)
}

/// Like `respond`, from a node with the given configuration version.
fn respond_with_version(
    harness: &mut NodeHarness,
    from: &str,
    request: &ForwardRequest,
    status: u16,
    config_version: u64,
) -> Vec<Effect> {
    let response = ForwardResponse {
        token: request.token,
        status,
        retry_ms: 0,
        body: serde_json::to_vec(&json!({"state": "running", "error": "busy"})).expect("JSON"),
        by: from.into(),
        config_version,
    };
    let now = harness.now();
    let body = Body::ForwardResponse(Box::new(response));
    harness.node.step(now, Msg::Received(from.into(), body))
}

/// Lets time pass while the copy stays fresh; returns all effects.
fn pass_time(harness: &mut NodeHarness, ms: u64) -> Vec<Effect> {
    let mut effects = Vec::new();
    let until = harness.elapsed_ms + ms;
    while harness.elapsed_ms < until {
        harness.elapsed_ms += 20;
        effects.extend(harness.install_light_copy());
        let now = harness.now();
        effects.extend(harness.node.step(now, Msg::Tick));
    }
    effects
}

#[test]
fn a_read_rejected_by_one_node_is_forwarded_to_another_at_once() {
    let mut harness = light_node();
    let first = forwarded(&send_read(&mut harness, "/v1/jobs/j"));
    let (to, request) = first.first().expect("it is forwarded").clone();
    let effects = respond(&mut harness, &to, &request, 503);
    assert_eq!(answer(&effects), None, "another node may have the job");
    let second = forwarded(&effects);
    let (other, request) = second.first().expect("it is forwarded again").clone();
    assert_ne!(other, to);
    let effects = respond(&mut harness, &other, &request, 200);
    assert_eq!(answer(&effects).map(|response| response.status), Some(200));
}

#[test]
fn a_read_that_one_node_does_not_answer_is_forwarded_to_another_after_a_timeout() {
    let mut harness = light_node();
    let first = forwarded(&send_read(&mut harness, "/v1/jobs/j"));
    let (unresponsive, _) = first.first().expect("it is forwarded").clone();
    let later = forwarded(&pass_time(
        &mut harness,
        Bounds::default().request_timeout() / 2,
    ));
    let (other, request) = later.first().expect("it is forwarded again").clone();
    assert_ne!(other, unresponsive);
    let effects = respond(&mut harness, &other, &request, 200);
    assert_eq!(answer(&effects).map(|response| response.status), Some(200));
    // The next read is not forwarded to the unresponsive node first.
    let next = forwarded(&send_read(&mut harness, "/v1/jobs/j"));
    assert_ne!(next[0].0, unresponsive);
}

#[test]
fn a_late_response_of_the_first_node_is_accepted() {
    let mut harness = light_node();
    let first = forwarded(&send_read(&mut harness, "/v1/jobs/j"));
    let (first_node, request) = first.first().expect("it is forwarded").clone();
    pass_time(&mut harness, Bounds::default().request_timeout() / 2);
    let effects = respond(&mut harness, &first_node, &request, 200);
    assert_eq!(answer(&effects).map(|response| response.status), Some(200));
}

#[test]
fn a_read_rejected_by_all_nodes_is_answered_at_once() {
    let mut harness = light_node();
    let mut effects = send_read(&mut harness, "/v1/jobs/j");
    for _ in 0..20 {
        let Some((to, request)) = forwarded(&effects).first().cloned() else {
            break;
        };
        effects = respond(&mut harness, &to, &request, 503);
    }
    let last = answer(&effects).expect("an answer");
    assert_eq!(last.status, 503);
    assert!(last.retry_ms > 0, "the response has a Retry-After");
}

#[test]
fn a_forwarded_read_is_not_forwarded_again() {
    let mut harness = light_node();
    let first = forwarded(&send_read(&mut harness, "/v1/jobs/j"));
    let (_, request) = first.first().expect("it is forwarded").clone();
    let now = harness.now();
    let body = Body::ForwardRequest(Box::new(request));
    let effects = harness
        .node
        .step(now, Msg::Received(HOLDERS[0].into(), body));
    assert!(forwarded(&effects).is_empty(), "{effects:?}");
}

#[test]
fn a_read_that_waits_while_the_copy_becomes_light_is_not_answered_with_404() {
    let mut harness = light_node();
    // A process that has just started has no copy and does not know yet that it will get a light one.
    harness.node = Node::new(settings_of_node(), harness.now(), 2);
    let effects = send_read(&mut harness, "/v1/jobs/j");
    let read_index = effects.iter().find_map(|effect| match effect {
        Effect::Send(to, Body::ReadIndexRequest(request)) => Some((to.clone(), request.token)),
        _ => None,
    });
    let (replica, token) = read_index.expect("a replica is asked for the read index");
    let response = ReadIndexResponse {
        token,
        ok: true,
        log_index: harness.state.applied_index,
        leader: REPLICA.into(),
        nodes: Vec::new(),
    };
    let now = harness.now();
    let body = Body::ReadIndexResponse(Box::new(response));
    harness.node.step(now, Msg::Received(replica, body));
    let effects = harness.install_light_copy();
    let status = answer(&effects).map(|response| response.status);
    assert_ne!(
        status,
        Some(404),
        "a light copy can't tell that a job does not exist"
    );
    assert!(!forwarded(&effects).is_empty(), "{effects:?}");
}

#[test]
fn a_node_without_a_fresh_copy_forwards_reads_by_host_and_path() {
    let mut harness = light_node();
    harness.elapsed_ms += 10 * Bounds::default().max_watch_age();
    let effects = send_read(&mut harness, "/v1/at/host.example/jobs/j");
    assert_eq!(answer(&effects), None, "another node may have a copy");
    assert!(!forwarded(&effects).is_empty(), "{effects:?}");
}

#[test]
fn a_configuration_read_that_waits_for_the_copy_is_forwarded_after_a_timeout() {
    let mut harness = light_node();
    let effects = send_read(&mut harness, "/v1/desired");
    assert!(
        forwarded(&effects).is_empty(),
        "the node tries to answer itself first"
    );
    let later = forwarded(&pass_time(
        &mut harness,
        Bounds::default().request_timeout() / 2,
    ));
    let (to, request) = later.first().expect("it is forwarded").clone();
    let effects = respond(&mut harness, &to, &request, 200);
    assert_eq!(answer(&effects).map(|response| response.status), Some(200));
}

#[test]
fn a_read_with_a_large_answer_is_retried_only_after_a_rejection() {
    let mut harness = light_node();
    let first = forwarded(&send_read(&mut harness, "/v1/status"));
    let (to, request) = first.first().expect("it is forwarded").clone();
    let later = forwarded(&pass_time(
        &mut harness,
        Bounds::default().request_timeout() / 2,
    ));
    assert!(later.is_empty(), "the answer may still be on its way");
    let effects = respond(&mut harness, &to, &request, 503);
    assert!(!forwarded(&effects).is_empty(), "{effects:?}");
}

#[test]
fn an_unresponsive_replica_is_not_asked_for_the_read_index_twice_in_a_row() {
    let mut harness = light_node();
    let settings = Settings {
        seeds: vec![REPLICA.into(), "10.0.0.9:1".into()],
        ..settings_of_node()
    };
    harness.node = Node::new(settings, harness.now(), 2);
    harness.install_full_copy();
    let mut effects = send_read(&mut harness, "/v1/jobs/unknown");
    for _ in 0..60 {
        harness.elapsed_ms += 20;
        let now = harness.now();
        effects.extend(harness.node.step(now, Msg::Tick));
    }
    let asked: Vec<&String> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send(to, Body::ReadIndexRequest(_)) => Some(to),
            _ => None,
        })
        .collect();
    assert!(asked.len() >= 2, "{asked:?}");
    assert!(asked.windows(2).all(|two| two[0] != two[1]), "{asked:?}");
}

#[test]
fn retries_are_limited_to_a_share_of_the_calls_when_no_node_responds() {
    let mut harness = light_node();
    let calls = 400;
    let mut forwards = 0;
    for _ in 0..calls {
        forwards += forwarded(&send_read(&mut harness, "/v1/jobs/j")).len();
        forwards += forwarded(&pass_time(&mut harness, 20)).len();
    }
    forwards += forwarded(&pass_time(
        &mut harness,
        Bounds::default().request_timeout(),
    ))
    .len();
    assert!(forwards >= calls, "{forwards}");
    // The retry budget: a tenth of the calls, one retry per second, and the initial budget. The loop takes 8 s and the
    // wait for the last timeouts at most 3 s.
    let (duration_s, initial_budget) = (11, 10);
    let max_forwards = calls + calls / 10 + duration_s + initial_budget;
    assert!(forwards <= max_forwards, "{forwards}");
}

/// Adds a route by host and path to the configuration.
fn add_route(harness: &mut NodeHarness) {
    harness.append(Command::UpdateConfig {
        change: "route".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"service": "s", "host": "host.example", "prefix": "/p/"}}}),
    });
}

/// The status of the response to a forwarded call.
fn forward_status(harness: &mut NodeHarness, request: &ForwardRequest) -> u16 {
    let body = Body::ForwardRequest(Box::new(request.clone()));
    let effects = harness
        .node
        .step(harness.now(), Msg::Received(HOLDERS[2].into(), body));
    let responses = effects.iter().filter_map(|effect| match effect {
        Effect::Send(_, Body::ForwardResponse(response)) => Some(response.status),
        _ => None,
    });
    responses.max().expect("a response")
}

#[test]
fn a_node_without_a_new_route_does_not_answer_a_forwarded_waiting_count_request_with_404() {
    let mut asked = light_node();
    add_route(&mut asked);
    asked.install_light_copy();
    let (_, request) = forwarded(&send_read(&mut asked, "/v1/at/host.example/p/"))
        .first()
        .expect("a node with a light copy forwards the request")
        .clone();
    let mut other = NodeHarness::new();
    other.install_full_copy();
    let status = forward_status(&mut other, &request);
    assert_eq!(
        status, 503,
        "503 makes the forwarding node ask the next one"
    );
    add_route(&mut other);
    other.install_full_copy();
    assert_eq!(forward_status(&mut other, &request), 200);
}

/// Submits a job by host and path.
fn submit(harness: &mut NodeHarness, path: &str) -> Vec<Effect> {
    let request = Request {
        method: "POST".into(),
        path: path.into(),
        body: json!({"steps": [{"tasks": 1}]}).to_string().into_bytes(),
        ..Request::default()
    };
    let now = harness.now();
    harness.node.step(now, Msg::Call(CALL, request))
}

#[test]
fn after_an_answer_from_a_newer_configuration_a_node_does_not_answer_from_its_older_one() {
    let mut harness = light_node();
    add_route(&mut harness);
    harness.install_light_copy();
    let version = harness.node.state().version;
    let (to, request) = forwarded(&send_read(&mut harness, "/v1/at/host.example/p/"))
        .first()
        .expect("a node with a light copy forwards the request")
        .clone();
    let effects = respond_with_version(&mut harness, &to, &request, 404, version + 1);
    assert_eq!(answer(&effects).map(|response| response.status), Some(404));
    // The other node's configuration no longer has the route; this node's still has it.
    let again = forwarded(&send_read(&mut harness, "/v1/at/host.example/p/"));
    assert_eq!(again[0].1.query, format!("config={}", version + 1));
    let unknown_route = send_read(&mut harness, "/v1/at/host.example/other/");
    assert_eq!(
        answer(&unknown_route),
        None,
        "a newer configuration may have the route"
    );
    let submitted = submit(&mut harness, "/v1/at/host.example/p/1");
    let status = answer(&submitted).map(|response| response.status);
    assert_eq!(status, Some(503), "the job was not accepted");
    // Once the copy is as fresh as that answer, the node answers from it again.
    harness.elapsed_ms += 20;
    harness.install_light_copy();
    let unknown_route = send_read(&mut harness, "/v1/at/host.example/other/");
    let status = answer(&unknown_route).map(|response| response.status);
    assert_eq!(status, Some(404));
}
