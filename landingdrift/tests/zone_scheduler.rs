//! What the holder of a zone scheduler makes of heartbeats: each test drives one node by its messages.

mod zone_scheduler_fixture;

use landingdrift::node::Heartbeat;
use landingdrift::sans_io::{Effect, Msg, Part};
use landingdrift::state::Command;
use landingdrift::wire::{Body, ForwardRequest, RequestToken};
use serde_json::json;
use zone_scheduler_fixture::{info, said, voids, Desk};

#[test]
fn a_stopped_order_that_no_later_beat_shows_was_never_started() {
    let mut d = Desk::new();
    d.started();
    let (v, _) = d.heartbeat(1, false);
    let starts = v.expect("answered").body["starts"].clone();
    assert_eq!(starts[0]["task"], json!("0.0.0"), "the order goes out");
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    // The same call again, by another way: the answer with the order may still be under way.
    assert_eq!(voids(&d.heartbeat(1, false).1), []);
    // The next call shows that the answer was dropped.
    assert_eq!(voids(&d.heartbeat(2, false).1).len(), 1);
}

#[test]
fn a_stopped_order_that_runs_is_not_void() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, false);
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    let (v, proposed) = d.heartbeat(2, true);
    assert_eq!(voids(&proposed), []);
    assert_eq!(
        v.expect("answered").body["stopRuns"],
        json!([["j", "0.0.0", 1]])
    );
}

#[test]
fn a_new_holder_does_not_judge_by_the_first_call_it_hears() {
    let mut d = Desk::new();
    d.started();
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    // Its predecessor may have answered this very call with the order.
    assert_eq!(voids(&d.heartbeat(7, false).1), []);
    assert_eq!(voids(&d.heartbeat(8, false).1).len(), 1);
}

#[test]
fn a_silent_worker_is_let_go_once_its_hold_has_surely_passed_and_not_before() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, true);
    d.enter(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![1],
        ends: vec![],
    });
    let mut expired = Vec::new();
    for t in (20..8000).step_by(20) {
        d.t = t;
        d.follow();
        let now = d.now();
        let (_, proposed) = said(d.n.step(now, Msg::Tick));
        // Until the replica's word comes the proposal is sent again; the first one counts.
        let first = expired.is_empty();
        for c in proposed.into_iter().filter(|_| first) {
            if let Command::ExpireAttempts { worker, .. } = &c {
                expired.push((t, worker.clone()));
            }
            let index = d.r.applied_index + 1;
            let _ = d.r.apply(index, 1000 + t, &c);
        }
    }
    assert_eq!(expired.len(), 1, "{expired:?}");
    // 6,000 ms by a clock that runs 2 % slow are 6,123.
    assert!((6123..6400).contains(&expired[0].0), "{expired:?}");
    let task = &d.r.jobs["j"].tasks[0];
    assert_eq!(task.failures, 0);
    assert!(task.live().next().is_none());
}

#[test]
fn a_beat_that_comes_to_another_node_learns_who_holds_the_cell() {
    let mut d = Desk::new();
    let other = "10.0.0.3:1";
    d.enter(Command::RegisterNode {
        node: other.into(),
        zone: "z".into(),
        http: other.into(),
    });
    d.enter(Command::GrantLease {
        lease: "cell/z".into(),
        holder: other.into(),
        from_epoch: 1,
    });
    d.follow();
    let heartbeat = Heartbeat {
        info: info(),
        ..Heartbeat::default()
    };
    let m = ForwardRequest {
        token: RequestToken::default(),
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: String::new(),
        body: serde_json::to_vec(&heartbeat).expect("JSON"),
    };
    let now = d.now();
    let told = d.n.step(
        now,
        Msg::Wire("10.0.0.9:1".into(), Body::ForwardRequest(Box::new(m))),
    );
    let by = told.iter().find_map(|e| match e {
        Effect::Send(_, Body::ForwardResponse(f)) => Some((f.status, f.by.clone())),
        _ => None,
    });
    assert_eq!(by, Some((503, other.to_string())));
}

#[test]
fn while_it_is_unsure_whether_a_worker_was_let_go_no_hold_is_renewed() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, true);
    let mut proposed = Vec::new();
    // No replica answers, and in the end the proposal is given up: it may still come through.
    for t in (20..12_000).step_by(20) {
        d.t = t;
        d.follow();
        let now = d.now();
        proposed.extend(said(d.n.step(now, Msg::Tick)).1);
    }
    let lease_expiry: Vec<&Command> = proposed
        .iter()
        .filter(|c| matches!(c, Command::ExpireAttempts { .. }))
        .collect();
    assert!(
        lease_expiry.len() > 1,
        "it is proposed until the core has ruled"
    );
    let (v, _) = d.heartbeat(2, true);
    let v = v.expect("answered");
    assert_eq!((v.status, v.body.get("holdMs")), (503, None));
}
