//! A test cluster: nodes, and one cluster state that stands in for the replicas and their log. The test decides when
//! and how often each proposal is committed.

#![allow(dead_code, reason = "each test file uses a part of it")]

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::state::{pack_apply_result, ClusterState, Command};
use landingdrift::wire::{Body, ProposeRequest, ProposeResponse, WatchBatch};
use serde_json::{json, Value};
use std::collections::BTreeMap;

pub const REPLICA: &str = "10.0.0.2:1";
const START_MS: u64 = 1_000_000;

/// A request at a node, and the proposal that the node made for it.
pub struct Order {
    node: usize,
    call: u64,
    propose: ProposeRequest,
    /// Whether the newest copy of the proposal was committed.
    committed: bool,
}

/// The result of committing one copy of a proposal.
pub struct ProposalResult {
    pub log_index: u64,
    pub response: Vec<u8>,
}

/// The response that the client got.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    pub status: u16,
    body: Value,
}

impl ClientResponse {
    pub fn kind(&self) -> &str {
        self.body["error"].as_str().unwrap_or_default()
    }
    pub fn version(&self) -> u64 {
        self.body["version"].as_u64().unwrap_or_default()
    }
}

/// A request that replaces the configuration, given its base version and further query parameters.
pub fn put(base: u64, query: &str, body: &Value) -> Request {
    Request {
        method: "PUT".into(),
        path: "/v1/desired".into(),
        query: format!("base={base}&{query}"),
        body: body.to_string().into_bytes(),
    }
}

pub struct Cluster {
    pub state: ClusterState,
    nodes: Vec<Node>,
    elapsed: u64,
    calls: u64,
    replies: BTreeMap<u64, ClientResponse>,
}

impl Cluster {
    /// Creates nodes that follow a cluster state with version 1 in force, one queue and one service.
    pub fn new(nodes: usize) -> Self {
        let settings = |n: usize| Settings {
            listen: format!("10.0.1.{n}:1"),
            seeds: vec![REPLICA.into()],
            ..Settings::default()
        };
        let now = Now { mono: 1, wall: 1 };
        let start = |n: usize| Node::new(settings(n), now, n as u64);
        let mut cluster = Self {
            state: ClusterState::new(&Settings::default().cluster),
            nodes: (0..nodes).map(start).collect(),
            elapsed: 1,
            calls: 0,
            replies: BTreeMap::new(),
        };
        let first = Command::UpdateConfig {
            change: "first".into(),
            base_version: 0,
            is_patch: false,
            version: 0,
            value: json!({"queues": {"q": {"tries": 3, "quota": 9, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
                "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
        };
        let at = cluster.cluster_time();
        cluster
            .state
            .apply(1, at, &first)
            .expect("a valid configuration");
        (0..nodes).for_each(|n| cluster.follow(n));
        cluster
    }

    fn cluster_time(&self) -> u64 {
        START_MS + self.elapsed
    }

    fn now(&self) -> Now {
        Now {
            mono: self.elapsed,
            wall: self.cluster_time(),
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.elapsed += ms;
    }

    /// Steps a node with a tick.
    pub fn tick(&mut self, node: usize) {
        self.step(node, Msg::Tick);
    }

    /// Brings a node's copy of the cluster state up to date.
    pub fn follow(&mut self, node: usize) {
        let batch = WatchBatch {
            replica: REPLICA.into(),
            leader: REPLICA.into(),
            ok: true,
            sent: self.elapsed,
            quorum_age: 0,
            clock: self.cluster_time(),
            commit: self.state.applied_index,
            snapshot: self.state.pack(),
            snapshot_index: self.state.applied_index,
            entries: Vec::new(),
            replicas: vec![REPLICA.into()],
            light: false,
            reached: self.state.applied_index,
            incarnation: 0,
            follows: 0,
            config_index: 0,
            stamp: None,
        };
        let body = Body::WatchBatch(Box::new(batch));
        self.step(node, Msg::Received(REPLICA.into(), body));
    }

    fn step(&mut self, node: usize, msg: Msg) -> Vec<Effect> {
        let now = self.now();
        let effects = self.nodes[node].step(now, msg);
        for e in &effects {
            if let Effect::Respond(call, Response { status, body, .. }) = e {
                let (status, body) = (*status, body.clone());
                let before = self.replies.insert(*call, ClientResponse { status, body });
                assert!(before.is_none(), "call {call} was answered twice");
            }
        }
        effects
    }

    /// The response that the client of an order got, if any yet.
    pub fn reply(&self, order: &Order) -> Option<ClientResponse> {
        self.replies.get(&order.call).cloned()
    }

    /// Sends a request to a node that has caught up, which must make one proposal for it.
    pub fn call(&mut self, node: usize, request: Request) -> Order {
        self.follow(node);
        self.call_at_lagging_node(node, request)
    }

    /// Like [`Self::call`], but the node has only what it received before.
    pub fn call_at_lagging_node(&mut self, node: usize, request: Request) -> Order {
        self.calls += 1;
        let call = self.calls;
        let effects = self.step(node, Msg::Call(call, request));
        let propose = effects.into_iter().find_map(|e| match e {
            Effect::Send(_, Body::ProposeRequest(p)) => Some(*p),
            _ => None,
        });
        Order {
            node,
            call,
            propose: propose.expect("it is proposed"),
            committed: false,
        }
    }

    /// Commits one copy of the proposal.
    pub fn commit(&mut self, order: &mut Order) -> ProposalResult {
        order.committed = true;
        let (log_index, at) = (self.state.applied_index + 1, self.cluster_time());
        let result = self
            .state
            .apply_bytes(log_index, at, &order.propose.command);
        ProposalResult {
            log_index,
            response: pack_apply_result(&result),
        }
    }

    fn deliver_response(&mut self, order: &Order, response: ProposeResponse) {
        let body = Body::ProposeResponse(Box::new(response));
        self.step(order.node, Msg::Received(REPLICA.into(), body));
    }

    /// Delivers the result of a copy to the node; returns the response that the client gets.
    pub fn deliver_result(
        &mut self,
        order: &Order,
        result: &ProposalResult,
    ) -> Option<ClientResponse> {
        let response = ProposeResponse {
            token: order.propose.token,
            outcome: 0,
            log_index: result.log_index,
            leader: REPLICA.into(),
            response: result.response.clone(),
        };
        self.deliver_response(order, response);
        self.reply(order)
    }

    /// Answers the newest copy as a replica that isn't the leader, unless the copy was committed or the client already
    /// has a response. The node then sends another copy.
    pub fn refuse_as_follower(&mut self, order: &mut Order) {
        if order.committed || self.reply(order).is_some() {
            return;
        }
        let response = ProposeResponse {
            token: order.propose.token,
            outcome: 1,
            log_index: 0,
            leader: String::new(),
            response: Vec::new(),
        };
        self.deliver_response(order, response);
        self.advance(50);
        let sent = self.step(order.node, Msg::Tick);
        let is_copy = |p: &ProposeRequest| p.command == order.propose.command;
        let next_copy = sent.into_iter().find_map(|e| match e {
            Effect::Send(_, Body::ProposeRequest(p)) if is_copy(&p) => Some(*p),
            _ => None,
        });
        order.propose = next_copy.unwrap_or_else(|| order.propose.clone());
    }

    /// Advances the time, with ticks at all nodes, while no replica responds.
    pub fn advance_without_responses(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.advance(20);
            (0..self.nodes.len()).for_each(|n| {
                self.step(n, Msg::Tick);
            });
        }
    }

    /// Sends a request, commits its proposal once, and delivers the result immediately; returns the client's response.
    pub fn order(&mut self, node: usize, request: Request) -> ClientResponse {
        let mut order = self.call(node, request);
        let result = self.commit(&mut order);
        self.deliver_result(&order, &result).expect("answered")
    }
}
