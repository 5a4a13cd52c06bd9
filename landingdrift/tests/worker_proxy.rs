//! A worker proxy carries a worker's calls; each test drives one by its messages.

use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response};
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

fn step(r: &mut WorkerProxy, mono: u64, msg: Msg) -> Vec<Effect> {
    r.step(Now { mono, wall: mono }, msg)
}

fn heartbeat(query: &str) -> Msg {
    let req = Request {
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: query.into(),
        body: b"{}".to_vec(),
    };
    Msg::Call(7, req)
}

/// Whom calls were passed to, with their tokens.
fn passed(effects: &[Effect]) -> Vec<(String, RequestToken)> {
    effects
        .iter()
        .filter_map(|e| match e {
            Effect::Send(to, Body::ForwardRequest(f)) => Some((to.clone(), f.token)),
            _ => None,
        })
        .collect()
}

fn answer(effects: &[Effect]) -> Option<Response> {
    effects.iter().find_map(|e| match e {
        Effect::Answer(7, v) => Some(v.clone()),
        _ => None,
    })
}

fn back(from: &str, token: RequestToken, status: u16, by: &str) -> Msg {
    let m = ForwardResponse {
        token,
        status,
        retry_ms: 0,
        body: json!({"beatMs": 150}).to_string().into_bytes(),
        by: by.into(),
    };
    Msg::Wire(from.into(), Body::ForwardResponse(Box::new(m)))
}

#[test]
fn the_node_that_answered_is_asked_first_the_next_time() {
    let mut r = worker_proxy();
    let (to, token) = passed(&step(&mut r, 10, heartbeat("")))[0].clone();
    let v = answer(&step(&mut r, 15, back(&to, token, 200, "10.0.0.5:1"))).expect("answered");
    assert_eq!(v.status, 200);
    assert_eq!(passed(&step(&mut r, 160, heartbeat("")))[0].0, "10.0.0.5:1");
}

#[test]
fn one_that_is_silent_or_cannot_speak_makes_way_for_another() {
    let mut r = worker_proxy();
    let (first, token) = passed(&step(&mut r, 10, heartbeat("")))[0].clone();
    step(&mut r, 12, back(&first, token, 503, &first));
    let again = passed(&step(&mut r, 40, Msg::Tick));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, first);
}

#[test]
fn a_node_that_names_the_holder_is_followed_at_once() {
    let mut r = worker_proxy();
    let (to, token) = passed(&step(&mut r, 10, heartbeat("")))[0].clone();
    let next = passed(&step(&mut r, 12, back(&to, token, 503, "10.0.0.5:1")));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0, "10.0.0.5:1");
    assert_eq!(next[0].1.number, token.number, "the same call");
    let (holder, token) = next[0].clone();
    // A holder that can't speak names nobody, and is not asked again at once.
    let m = back(&holder, token, 503, &holder);
    assert_eq!(passed(&step(&mut r, 14, m)), []);
}

/// The answers given while nobody speaks for the zone scheduler, over a second and a half.
fn in_vain(query: &str) -> Vec<(u64, Response)> {
    let mut r = worker_proxy();
    step(&mut r, 1, heartbeat(query));
    (20..1500)
        .step_by(20)
        .filter_map(|t| answer(&step(&mut r, t, Msg::Tick)).map(|v| (t, v)))
        .collect()
}

#[test]
fn a_beat_in_vain_is_told_when_to_come_back_before_its_worker_gives_it_up() {
    let told = in_vain("");
    assert_eq!(told.len(), 1);
    let (t, v) = &told[0];
    assert!(*t < 1000, "a worker drops what comes after a second");
    assert_eq!(v.status, 200, "a refusal makes it wait longer each time");
    assert!(v.body["beatMs"].as_u64().is_some_and(|ms| ms > 0));
    let nothing = ["holdMs", "epoch", "settledTo"];
    assert!(nothing.iter().all(|k| v.body.get(k).is_none()));
}

#[test]
fn a_worker_that_leaves_is_not_told_that_it_was_heard() {
    let told = in_vain(LEAVING);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].1.status, 503);
}

#[test]
fn an_answer_goes_to_the_beat_that_was_asked_from_the_node_that_was_asked() {
    let mut r = worker_proxy();
    let (to, first) = passed(&step(&mut r, 10, heartbeat("")))[0].clone();
    let stranger = back("10.0.0.8:1", first, 200, "");
    assert_eq!(answer(&step(&mut r, 11, stranger)), None);
    let former = RequestToken {
        incarnation: first.incarnation ^ 1,
        ..first
    };
    assert_eq!(answer(&step(&mut r, 12, back(&to, former, 200, ""))), None);
    assert!(answer(&step(&mut r, 13, back(&to, first, 200, &to))).is_some());
    let (_, second) = passed(&step(&mut r, 160, heartbeat("")))[0].clone();
    // The answer to the former heartbeat comes once more: it says nothing of the one under way.
    assert_eq!(answer(&step(&mut r, 161, back(&to, first, 200, &to))), None);
    assert!(answer(&step(&mut r, 162, back(&to, second, 200, &to))).is_some());
    assert_eq!(
        answer(&step(&mut r, 163, back(&to, second, 200, &to))),
        None
    );
}

#[test]
fn an_answer_after_the_beat_was_given_up_goes_to_nobody() {
    let mut r = worker_proxy();
    let (to, token) = passed(&step(&mut r, 1, heartbeat("")))[0].clone();
    let told = (20..1500)
        .step_by(20)
        .find_map(|t| answer(&step(&mut r, t, Msg::Tick)));
    assert!(told.is_some());
    assert_eq!(
        answer(&step(&mut r, 1501, back(&to, token, 200, &to))),
        None
    );
}

fn zone_order() -> Msg {
    let req = Request {
        method: "PUT".into(),
        path: "/v1/zones/z/empty".into(),
        ..Request::default()
    };
    Msg::Call(7, req)
}

#[test]
fn a_call_that_may_not_be_repeated_is_sent_once_and_silence_is_unsure() {
    let mut r = worker_proxy();
    let mut effects = step(&mut r, 1, zone_order());
    for t in (20..3000).step_by(20) {
        effects.extend(step(&mut r, t, Msg::Tick));
    }
    assert_eq!(passed(&effects).len(), 1);
    let v = answer(&effects).expect("answered");
    assert_eq!((v.status, v.body["error"].clone()), (503, json!("unsure")));
}

#[test]
fn a_call_that_may_not_be_repeated_goes_to_another_node_after_a_clear_refusal() {
    let mut r = worker_proxy();
    let (first, token) = passed(&step(&mut r, 1, zone_order()))[0].clone();
    step(&mut r, 5, back(&first, token, 503, &first));
    let again = passed(&step(&mut r, 40, Msg::Tick));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, first);
}

#[test]
fn a_refusal_is_not_passed_on_as_final_while_another_node_may_still_take_the_call() {
    let mut r = worker_proxy();
    let req = Request {
        method: "PUT".into(),
        path: "/v1/desired".into(),
        query: "base=1&change=c".into(),
        body: b"{}".to_vec(),
    };
    let mut sent = passed(&step(&mut r, 1, Msg::Call(7, req)));
    for t in (20..1000).step_by(20) {
        sent.extend(passed(&step(&mut r, t, Msg::Tick)));
    }
    assert_eq!(sent.len(), 2, "silence: another node is asked");
    let (to, token) = sent[1].clone();
    let v = answer(&step(&mut r, 1000, back(&to, token, 400, &to))).expect("answered");
    assert_eq!((v.status, v.body["error"].clone()), (503, json!("unsure")));
}
