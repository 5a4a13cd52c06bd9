//! The worker proxy, which forwards a worker's calls. Each test drives a proxy by messages.

use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::wire::{Body, ForwardResponse, RequestToken};
use landingdrift::worker_proxy::{WorkerProxy, LEAVING};
use serde_json::json;

fn worker_proxy() -> WorkerProxy {
    let settings = Settings {
        listen: "10.0.0.9:1".into(),
        seeds: vec!["10.0.0.1:1".into(), "10.0.0.2:1".into()],
        ..Settings::default()
    };
    WorkerProxy::new(settings, 1)
}

fn step(proxy: &mut WorkerProxy, mono: u64, msg: Msg) -> Vec<Effect> {
    proxy.step(Now { mono, wall: mono }, msg)
}

fn heartbeat(query: &str) -> Msg {
    let request = Request {
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: query.into(),
        body: b"{}".to_vec(),
    };
    Msg::Call(7, request)
}

/// The nodes that calls were forwarded to, with their tokens.
fn forwarded(effects: &[Effect]) -> Vec<(String, RequestToken)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send(to, Body::ForwardRequest(request)) => Some((to.clone(), request.token)),
            _ => None,
        })
        .collect()
}

fn response_among(effects: &[Effect]) -> Option<Response> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond(7, response) => Some(response.clone()),
        _ => None,
    })
}

fn response_from(from: &str, token: RequestToken, status: u16, by: &str) -> Msg {
    let response = ForwardResponse {
        token,
        status,
        retry_ms: 0,
        body: json!({"beatMs": 150}).to_string().into_bytes(),
        by: by.into(),
        config_version: 0,
    };
    Msg::Received(from.into(), Body::ForwardResponse(Box::new(response)))
}

#[test]
fn the_next_call_is_sent_to_the_last_known_lease_holder_first() {
    let mut proxy = worker_proxy();
    let (to, token) = forwarded(&step(&mut proxy, 10, heartbeat("")))[0].clone();
    let response = response_among(&step(
        &mut proxy,
        15,
        response_from(&to, token, 200, "10.0.0.5:1"),
    ))
    .expect("answered");
    assert_eq!(response.status, 200);
    assert_eq!(
        forwarded(&step(&mut proxy, 160, heartbeat("")))[0].0,
        "10.0.0.5:1"
    );
}

#[test]
fn after_a_rejection_another_node_is_called() {
    let mut proxy = worker_proxy();
    let (first, token) = forwarded(&step(&mut proxy, 10, heartbeat("")))[0].clone();
    step(&mut proxy, 12, response_from(&first, token, 503, &first));
    let again = forwarded(&step(&mut proxy, 40, Msg::Tick));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, first);
}

#[test]
fn a_holder_that_a_node_names_is_called_at_once() {
    let mut proxy = worker_proxy();
    let (to, token) = forwarded(&step(&mut proxy, 10, heartbeat("")))[0].clone();
    let next = forwarded(&step(
        &mut proxy,
        12,
        response_from(&to, token, 503, "10.0.0.5:1"),
    ));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0, "10.0.0.5:1");
    assert_eq!(next[0].1.number, token.number, "the same call");
    let (holder, token) = next[0].clone();
    // A holder that can't act for the zone now names no other node, and is not called again at once.
    let refusal = response_from(&holder, token, 503, &holder);
    assert_eq!(forwarded(&step(&mut proxy, 14, refusal)), []);
}

/// The responses, each with its time in milliseconds, while no node answers for 1.5 s.
fn responses_without_nodes(query: &str) -> Vec<(u64, Response)> {
    let mut proxy = worker_proxy();
    step(&mut proxy, 1, heartbeat(query));
    (20..1500)
        .step_by(20)
        .filter_map(|now_ms| {
            response_among(&step(&mut proxy, now_ms, Msg::Tick)).map(|response| (now_ms, response))
        })
        .collect()
}

#[test]
fn the_proxy_answers_a_heartbeat_that_no_node_answers_before_its_worker_drops_the_response() {
    let responses = responses_without_nodes("");
    assert_eq!(responses.len(), 1);
    let (at, response) = &responses[0];
    assert!(*at < 1000, "a worker drops responses after a second");
    assert_eq!(
        response.status, 200,
        "a worker backs off after an error response"
    );
    assert!(response.body["beatMs"].as_u64().is_some_and(|ms| ms > 0));
    let acknowledgements = ["holdMs", "epoch", "settledTo"];
    assert!(acknowledgements
        .iter()
        .all(|key| response.body.get(key).is_none()));
}

#[test]
fn a_leaving_worker_gets_no_false_acknowledgement() {
    let responses = responses_without_nodes(LEAVING);
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].1.status, 503);
}

#[test]
fn a_response_is_accepted_only_for_its_attempt_and_from_the_node_asked() {
    let mut proxy = worker_proxy();
    let (to, first) = forwarded(&step(&mut proxy, 10, heartbeat("")))[0].clone();
    let stranger = response_from("10.0.0.8:1", first, 200, "");
    assert_eq!(response_among(&step(&mut proxy, 11, stranger)), None);
    let of_earlier_process = RequestToken {
        incarnation: first.incarnation ^ 1,
        ..first
    };
    assert_eq!(
        response_among(&step(
            &mut proxy,
            12,
            response_from(&to, of_earlier_process, 200, "")
        )),
        None
    );
    assert!(response_among(&step(&mut proxy, 13, response_from(&to, first, 200, &to))).is_some());
    let (_, second) = forwarded(&step(&mut proxy, 160, heartbeat("")))[0].clone();
    // A duplicate of the response to the earlier heartbeat does not answer the open one.
    assert_eq!(
        response_among(&step(&mut proxy, 161, response_from(&to, first, 200, &to))),
        None
    );
    assert!(response_among(&step(&mut proxy, 162, response_from(&to, second, 200, &to))).is_some());
    assert_eq!(
        response_among(&step(&mut proxy, 163, response_from(&to, second, 200, &to))),
        None
    );
}

#[test]
fn a_response_after_the_call_timed_out_is_dropped() {
    let mut proxy = worker_proxy();
    let (to, token) = forwarded(&step(&mut proxy, 1, heartbeat("")))[0].clone();
    let response = (20..1500)
        .step_by(20)
        .find_map(|now_ms| response_among(&step(&mut proxy, now_ms, Msg::Tick)));
    assert!(response.is_some());
    assert_eq!(
        response_among(&step(&mut proxy, 1501, response_from(&to, token, 200, &to))),
        None
    );
}

fn evacuation() -> Msg {
    let request = Request {
        method: "PUT".into(),
        path: "/v1/zones/z/empty".into(),
        ..Request::default()
    };
    Msg::Call(7, request)
}

#[test]
fn an_unrepeatable_call_without_a_response_is_sent_once_and_has_an_unknown_outcome() {
    let mut proxy = worker_proxy();
    let mut effects = step(&mut proxy, 1, evacuation());
    for now_ms in (20..3000).step_by(20) {
        effects.extend(step(&mut proxy, now_ms, Msg::Tick));
    }
    assert_eq!(forwarded(&effects).len(), 1);
    let response = response_among(&effects).expect("answered");
    let error = response.body["error"].clone();
    assert_eq!((response.status, error), (503, json!("unsure")));
}

#[test]
fn an_unrepeatable_call_goes_to_another_node_after_a_rejection() {
    let mut proxy = worker_proxy();
    let (first, token) = forwarded(&step(&mut proxy, 1, evacuation()))[0].clone();
    step(&mut proxy, 5, response_from(&first, token, 503, &first));
    let again = forwarded(&step(&mut proxy, 40, Msg::Tick));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, first);
}

#[test]
fn a_client_error_becomes_unsure_if_another_node_may_have_applied_the_call() {
    let mut proxy = worker_proxy();
    let request = Request {
        method: "PUT".into(),
        path: "/v1/desired".into(),
        query: "base=1&change=c".into(),
        body: b"{}".to_vec(),
    };
    let mut sent = forwarded(&step(&mut proxy, 1, Msg::Call(7, request)));
    for now_ms in (20..1000).step_by(20) {
        sent.extend(forwarded(&step(&mut proxy, now_ms, Msg::Tick)));
    }
    assert_eq!(sent.len(), 2, "without a response another node is called");
    let (to, token) = sent[1].clone();
    let response = response_among(&step(&mut proxy, 1000, response_from(&to, token, 400, &to)))
        .expect("answered");
    let error = response.body["error"].clone();
    assert_eq!((response.status, error), (503, json!("unsure")));
}
