//! An answer is taken from the peer that was asked, for the call that was asked, and once.

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request};
use landingdrift::settings::Settings;
use landingdrift::state::{pack_apply_result, ClusterState, Command};
use landingdrift::wire::{
    Body, ForwardResponse, ProposeResponse, ReadIndexResponse, RequestToken, WatchBatch,
};
use serde_json::json;

const NODE: &str = "10.0.0.1:1";
const CORE: &str = "10.0.0.2:1";
const HOLDER: &str = "10.0.0.3:1";
const STRANGER: &str = "10.0.0.9:1";

/// A node that follows a cluster state in which another one holds the zone scheduler of zone `z`.
struct Desk {
    node: Node,
    elapsed: u64,
}

impl Desk {
    fn new() -> Self {
        let settings = Settings {
            listen: NODE.into(),
            seeds: vec![CORE.into()],
            ..Settings::default()
        };
        let mut state = ClusterState::new(&settings.cluster);
        let commands = [
            Command::RegisterNode {
                node: HOLDER.into(),
                zone: "z".into(),
                http: HOLDER.into(),
            },
            Command::GrantLease {
                lease: "cell/z".into(),
                holder: HOLDER.into(),
                from_epoch: 0,
            },
        ];
        for (i, c) in commands.iter().enumerate() {
            state.apply(i as u64 + 1, 1000, c).expect("entered");
        }
        let node = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
        let mut desk = Self { node, elapsed: 1 };
        let batch = WatchBatch {
            replica: CORE.into(),
            leader: CORE.into(),
            ok: true,
            sent: 1,
            quorum_age: 0,
            clock: 1000,
            commit: state.applied_index,
            snapshot: state.pack(),
            snapshot_index: state.applied_index,
            entries: Vec::new(),
            replicas: vec![CORE.into()],
            light: false,
            reached: state.applied_index,
            incarnation: 0,
            follows: 0,
            config_index: 0,
        };
        desk.hear(CORE, Body::WatchBatch(Box::new(batch)));
        desk
    }

    fn step(&mut self, msg: Msg) -> Vec<Effect> {
        let mono = self.elapsed;
        self.node.step(Now { mono, wall: mono }, msg)
    }

    fn hear(&mut self, from: &str, body: Body) -> Vec<Effect> {
        self.step(Msg::Wire(from.into(), body))
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> Vec<Effect> {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body: body.into(),
            ..Request::default()
        };
        self.step(Msg::Call(7, request))
    }

    /// A heartbeat for the zone scheduler of the other node; the token under which it was passed on.
    fn heartbeat(&mut self) -> RequestToken {
        let info = json!({"worker": "w", "incarnation": 1, "service": "s", "labels": [], "zone": "z", "room": 1, "leaving": false});
        let body = json!({"facts": info, "running": [], "ended": []}).to_string();
        let effects = self.call("POST", "/v1/beats", &body);
        let passed = forwards(&effects);
        assert_eq!(passed.len(), 1, "{effects:?}");
        assert_eq!(passed[0].0, HOLDER);
        passed[0].1
    }

    /// What happens while time passes.
    fn silence(&mut self, ms: u64) -> Vec<Effect> {
        let mut all = Vec::new();
        for _ in 0..ms / 20 {
            self.elapsed += 20;
            all.extend(self.step(Msg::Tick));
        }
        all
    }
}

fn forwards(effects: &[Effect]) -> Vec<(String, RequestToken)> {
    let passed = effects.iter().filter_map(|e| match e {
        Effect::Send(to, Body::ForwardRequest(f)) => Some((to.clone(), f.token)),
        _ => None,
    });
    passed.collect()
}

/// The answers that the caller got: status and body.
fn told(effects: &[Effect]) -> Vec<(u16, serde_json::Value)> {
    let answers = effects.iter().filter_map(|e| match e {
        Effect::Answer(7, v) => Some((v.status, v.body.clone())),
        _ => None,
    });
    answers.collect()
}

fn forwarded(token: RequestToken) -> Body {
    Body::ForwardResponse(Box::new(ForwardResponse {
        token,
        status: 200,
        retry_ms: 0,
        body: b"{\"starts\": []}".to_vec(),
        by: String::new(),
        config_version: 0,
    }))
}

fn read_place(token: RequestToken) -> Body {
    Body::ReadIndexResponse(Box::new(ReadIndexResponse {
        token,
        ok: true,
        log_index: 2,
        leader: CORE.into(),
        nodes: Vec::new(),
    }))
}

fn proposed(token: RequestToken) -> Body {
    Body::ProposeResponse(Box::new(ProposeResponse {
        token,
        outcome: 0,
        log_index: 3,
        leader: CORE.into(),
        response: pack_apply_result(&Ok(json!({"zone": "z", "emptied": true}))),
    }))
}

fn read_token(effects: &[Effect]) -> RequestToken {
    let asked = effects.iter().find_map(|e| match e {
        Effect::Send(to, Body::ReadIndexRequest(r)) if to == CORE => Some(r.token),
        _ => None,
    });
    asked.expect("a core is asked")
}

fn proposal_token(effects: &[Effect]) -> RequestToken {
    let asked = effects.iter().find_map(|e| match e {
        Effect::Send(to, Body::ProposeRequest(p)) if to == CORE => Some(p.token),
        _ => None,
    });
    asked.expect("it is proposed")
}

/// The same question as another life of the process would have asked it.
fn of_another_life(token: RequestToken) -> RequestToken {
    RequestToken {
        incarnation: token.incarnation ^ 1,
        ..token
    }
}

#[test]
fn a_call_passed_on_is_answered_by_the_node_that_was_asked_and_once() {
    let mut d = Desk::new();
    let token = d.heartbeat();
    assert_eq!(told(&d.hear(STRANGER, forwarded(token))), []);
    assert_eq!(told(&d.hear(HOLDER, forwarded(of_another_life(token)))), []);
    assert_eq!(told(&d.hear(HOLDER, forwarded(token))).len(), 1);
    assert_eq!(told(&d.hear(HOLDER, forwarded(token))), []);
}

#[test]
fn a_read_is_answered_by_the_core_that_was_asked_and_once() {
    let mut d = Desk::new();
    let token = read_token(&d.call("GET", "/v1/desired", ""));
    assert_eq!(told(&d.hear(STRANGER, read_place(token))), []);
    assert_eq!(told(&d.hear(CORE, read_place(of_another_life(token)))), []);
    assert_eq!(told(&d.hear(CORE, forwarded(token))), [], "another kind");
    assert_eq!(told(&d.hear(CORE, read_place(token))).len(), 1);
    assert_eq!(told(&d.hear(CORE, read_place(token))), []);
}

#[test]
fn a_proposal_is_answered_by_a_core_that_was_asked_and_once() {
    let mut d = Desk::new();
    let token = proposal_token(&d.call("PUT", "/v1/zones/z/empty", ""));
    assert_eq!(told(&d.hear(STRANGER, proposed(token))), []);
    assert_eq!(told(&d.hear(CORE, proposed(of_another_life(token)))), []);
    assert_eq!(told(&d.hear(CORE, proposed(token))).len(), 1);
    assert_eq!(told(&d.hear(CORE, proposed(token))), []);
}

#[test]
fn a_proposal_whose_answer_cannot_be_read_is_unsure_in_the_end() {
    let mut d = Desk::new();
    let token = proposal_token(&d.call("PUT", "/v1/zones/z/empty", ""));
    let Body::ProposeResponse(mut answer) = proposed(token) else {
        panic!("it is an answer to a proposal");
    };
    answer.response = b"{".to_vec();
    assert_eq!(told(&d.hear(CORE, Body::ProposeResponse(answer))), []);
    let told_then = told(&d.silence(6000));
    assert_eq!(told_then.len(), 1);
    assert_eq!(told_then[0].1["error"], json!("unsure"));
}

#[test]
fn silence_after_a_call_was_passed_on_sends_it_no_second_time_and_is_unsure() {
    let mut d = Desk::new();
    let token = d.heartbeat();
    let effects = d.silence(6000);
    assert_eq!(forwards(&effects), [], "it is sent once");
    let told_then = told(&effects);
    assert_eq!(told_then.len(), 1);
    assert_eq!(told_then[0].0, 503);
    assert_eq!(told_then[0].1["error"], json!("unsure"));
    assert_eq!(told(&d.hear(HOLDER, forwarded(token))), [], "too late");
}
