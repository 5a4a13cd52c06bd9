//! A response is accepted only from the peer that was asked, only for the request that was sent, and only once.

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::state::{pack_apply_result, ClusterState, Command};
use landingdrift::wire::{
    Body, ForwardResponse, ProposeResponse, ReadIndexResponse, RequestToken, WatchBatch,
};
use serde_json::json;

const NODE: &str = "10.0.0.1:1";
const REPLICA: &str = "10.0.0.2:1";
const HOLDER: &str = "10.0.0.3:1";
const STRANGER: &str = "10.0.0.9:1";

/// A node that follows a cluster state in which another node holds the lease of zone `z`.
struct TestNode {
    node: Node,
    elapsed_ms: u64,
}

impl TestNode {
    fn new() -> Self {
        let settings = Settings {
            listen: NODE.into(),
            seeds: vec![REPLICA.into()],
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
        for (i, command) in commands.iter().enumerate() {
            state.apply(i as u64 + 1, 1000, command).expect("applied");
        }
        let node = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
        let mut test_node = Self {
            node,
            elapsed_ms: 1,
        };
        let batch = WatchBatch {
            replica: REPLICA.into(),
            leader: REPLICA.into(),
            ok: true,
            sent: 1,
            quorum_age: 0,
            clock: 1000,
            commit: state.applied_index,
            snapshot: state.pack(),
            snapshot_index: state.applied_index,
            entries: Vec::new(),
            replicas: vec![REPLICA.into()],
            light: false,
            reached: state.applied_index,
            incarnation: 0,
            follows: 0,
            config_index: 0,
            stamp: None,
        };
        test_node.receive(REPLICA, Body::WatchBatch(Box::new(batch)));
        test_node
    }

    fn step(&mut self, msg: Msg) -> Vec<Effect> {
        let mono = self.elapsed_ms;
        self.node.step(Now { mono, wall: mono }, msg)
    }

    fn receive(&mut self, from: &str, body: Body) -> Vec<Effect> {
        self.step(Msg::Received(from.into(), body))
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

    /// Sends a heartbeat for the zone of the other node; returns the token under which it was forwarded.
    fn heartbeat(&mut self) -> RequestToken {
        let info = json!({"worker": "w", "incarnation": 1, "service": "s", "labels": [], "zone": "z", "room": 1, "leaving": false});
        let body = json!({"facts": info, "running": [], "ended": []}).to_string();
        let effects = self.call("POST", "/v1/beats", &body);
        let forwarded = forwards(&effects);
        assert_eq!(forwarded.len(), 1, "{effects:?}");
        assert_eq!(forwarded[0].0, HOLDER);
        forwarded[0].1
    }

    /// Lets time pass without messages; returns all effects.
    fn pass_time(&mut self, ms: u64) -> Vec<Effect> {
        let mut all = Vec::new();
        for _ in 0..ms / 20 {
            self.elapsed_ms += 20;
            all.extend(self.step(Msg::Tick));
        }
        all
    }
}

fn forwards(effects: &[Effect]) -> Vec<(String, RequestToken)> {
    let forwarded = effects.iter().filter_map(|effect| match effect {
        Effect::Send(to, Body::ForwardRequest(request)) => Some((to.clone(), request.token)),
        _ => None,
    });
    forwarded.collect()
}

/// The responses to the caller: status and body.
fn answers(effects: &[Effect]) -> Vec<(u16, serde_json::Value)> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Respond(7, response) => Some((response.status, response.body.clone())),
        _ => None,
    });
    answers.collect()
}

fn forward_response(token: RequestToken) -> Body {
    Body::ForwardResponse(Box::new(ForwardResponse {
        token,
        status: 200,
        retry_ms: 0,
        body: b"{\"starts\": []}".to_vec(),
        by: String::new(),
        config_version: 0,
    }))
}

fn read_index_response(token: RequestToken) -> Body {
    Body::ReadIndexResponse(Box::new(ReadIndexResponse {
        token,
        ok: true,
        log_index: 2,
        leader: REPLICA.into(),
        nodes: Vec::new(),
    }))
}

fn propose_response(token: RequestToken) -> Body {
    Body::ProposeResponse(Box::new(ProposeResponse {
        token,
        outcome: 0,
        log_index: 3,
        leader: REPLICA.into(),
        response: pack_apply_result(&Ok(json!({"zone": "z", "emptied": true}))),
    }))
}

fn read_token(effects: &[Effect]) -> RequestToken {
    let asked = effects.iter().find_map(|effect| match effect {
        Effect::Send(to, Body::ReadIndexRequest(request)) if to == REPLICA => Some(request.token),
        _ => None,
    });
    asked.expect("a replica is asked")
}

fn proposal_token(effects: &[Effect]) -> RequestToken {
    let asked = effects.iter().find_map(|effect| match effect {
        Effect::Send(to, Body::ProposeRequest(request)) if to == REPLICA => Some(request.token),
        _ => None,
    });
    asked.expect("a replica is sent the proposal")
}

/// The token of the same request by another incarnation of the process.
fn of_another_incarnation(token: RequestToken) -> RequestToken {
    RequestToken {
        incarnation: token.incarnation ^ 1,
        ..token
    }
}

#[test]
fn a_forwarded_call_is_answered_only_by_the_node_that_was_asked_and_once() {
    let mut node = TestNode::new();
    let token = node.heartbeat();
    assert_eq!(
        answers(&node.receive(STRANGER, forward_response(token))),
        []
    );
    assert_eq!(
        answers(&node.receive(HOLDER, forward_response(of_another_incarnation(token)))),
        []
    );
    assert_eq!(
        answers(&node.receive(HOLDER, forward_response(token))).len(),
        1
    );
    assert_eq!(answers(&node.receive(HOLDER, forward_response(token))), []);
}

#[test]
fn a_read_is_answered_only_by_the_replica_that_was_asked_and_once() {
    let mut node = TestNode::new();
    let token = read_token(&node.call("GET", "/v1/desired", ""));
    assert_eq!(
        answers(&node.receive(STRANGER, read_index_response(token))),
        []
    );
    assert_eq!(
        answers(&node.receive(REPLICA, read_index_response(of_another_incarnation(token)))),
        []
    );
    assert_eq!(
        answers(&node.receive(REPLICA, forward_response(token))),
        [],
        "a response of another kind is not accepted"
    );
    assert_eq!(
        answers(&node.receive(REPLICA, read_index_response(token))).len(),
        1
    );
    assert_eq!(
        answers(&node.receive(REPLICA, read_index_response(token))),
        []
    );
}

#[test]
fn a_proposal_is_answered_only_by_a_replica_that_was_asked_and_once() {
    let mut node = TestNode::new();
    let token = proposal_token(&node.call("PUT", "/v1/zones/z/empty", ""));
    assert_eq!(
        answers(&node.receive(STRANGER, propose_response(token))),
        []
    );
    assert_eq!(
        answers(&node.receive(REPLICA, propose_response(of_another_incarnation(token)))),
        []
    );
    assert_eq!(
        answers(&node.receive(REPLICA, propose_response(token))).len(),
        1
    );
    assert_eq!(answers(&node.receive(REPLICA, propose_response(token))), []);
}

#[test]
fn a_proposal_with_an_unreadable_response_has_an_unknown_outcome() {
    let mut node = TestNode::new();
    let token = proposal_token(&node.call("PUT", "/v1/zones/z/empty", ""));
    let Body::ProposeResponse(mut answer) = propose_response(token) else {
        panic!("it is an answer to a proposal");
    };
    answer.response = b"{".to_vec();
    assert_eq!(
        answers(&node.receive(REPLICA, Body::ProposeResponse(answer))),
        []
    );
    let responses = answers(&node.pass_time(6000));
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].1["error"], json!("unsure"));
}

#[test]
fn an_unanswered_forwarded_call_is_not_repeated_and_has_an_unknown_outcome() {
    let mut node = TestNode::new();
    let token = node.heartbeat();
    let effects = node.pass_time(6000);
    assert_eq!(forwards(&effects), [], "it is sent once");
    let responses = answers(&effects);
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].0, 503);
    assert_eq!(responses[0].1["error"], json!("unsure"));
    assert_eq!(
        answers(&node.receive(HOLDER, forward_response(token))),
        [],
        "a response after the timeout is not accepted"
    );
}
