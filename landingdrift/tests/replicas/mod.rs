//! Three replicas in one thread, with time, network and disks controlled by the tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod behind;
mod disk;

pub use disk::{Behaviour, TestDisk};

use landingdrift::consensus::Replica;
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response, StateMachine};
use landingdrift::settings::{Limits, Settings};
use landingdrift::state::Command;
use landingdrift::wire::{
    Body, ProposeRequest, ProposeResponse, RequestToken, WatchBatch, WatchRequest,
};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

const TICK_MS: u64 = 20;
const LINK_LATENCY_MS: u64 = 1;
/// The interval between retries of writes to a failing disk.
const RETRY_MS: u64 = 100;
const CLIENT: &str = "10.9.9.9:1";
pub const NODE: &str = "10.8.8.8:1";

/// A message sent by a replica.
#[derive(Clone, Debug)]
pub struct SentMessage {
    pub from: String,
    pub to: String,
    pub body: Body,
}

pub struct TestCluster {
    pub now_ms: u64,
    pub replicas: Vec<Option<Replica>>,
    pub disks: Vec<TestDisk>,
    pub settings: Vec<Settings>,
    /// The messages in flight with their time of arrival, in the order in which they were sent.
    in_flight: VecDeque<(u64, SentMessage)>,
    /// Returns whether a message is lost.
    pub drops_message: Box<dyn Fn(&SentMessage) -> bool>,
    /// All messages that have arrived at receivers other than the replicas.
    pub external_messages: Vec<SentMessage>,
    /// All messages sent by replicas with the time of sending, oldest first; including lost ones.
    pub sent: Vec<(u64, SentMessage)>,
    pub log_lines: Vec<String>,
    pub exits: usize,
    responses: BTreeMap<u64, Response>,
    last_number: u64,
}

pub fn name(i: usize) -> String {
    format!("10.0.0.{i}:7000")
}

impl TestCluster {
    pub fn start(limits: Limits) -> Self {
        let names: Vec<String> = (0..3).map(name).collect();
        let settings: Vec<Settings> = (0..3)
            .map(|i| Settings {
                listen: name(i),
                zone: format!("z{i}"),
                seeds: names.clone(),
                limits: limits.clone(),
                ..Settings::default()
            })
            .collect();
        let mut cluster = Self {
            now_ms: 0,
            replicas: (0..3).map(|_| None).collect(),
            disks: (0..3).map(|i| TestDisk::new(i + 1)).collect(),
            settings,
            in_flight: VecDeque::new(),
            drops_message: Box::new(|_| false),
            external_messages: Vec::new(),
            sent: Vec::new(),
            log_lines: Vec::new(),
            exits: 0,
            responses: BTreeMap::new(),
            last_number: 0,
        };
        (0..3).for_each(|i| cluster.start_replica(i));
        assert!(
            cluster.run_until(20_000, |cluster| cluster.leader().is_some()),
            "no leader was elected"
        );
        cluster.run(1000);
        cluster
    }

    fn now(&self) -> Now {
        Now {
            mono: self.now_ms + 1,
            wall: 1_700_000_000_000 + self.now_ms,
        }
    }

    /// Starts a replica from the durable state of its disk.
    pub fn start_replica(&mut self, i: usize) {
        let (settings, now) = (self.settings[i].clone(), self.now());
        let loaded = self.disks[i].durable.clone();
        let replica = Replica::new(settings, loaded, now, 77 + i as u64 + self.now_ms);
        self.replicas[i] = Some(replica.expect("a sound disk loads"));
    }

    /// Crashes a replica: writes that are not durable are lost, as are messages in flight to it.
    pub fn crash(&mut self, i: usize) {
        self.replicas[i] = None;
        self.disks[i].pending.clear();
        let crashed = name(i);
        self.in_flight.retain(|(_, message)| message.to != crashed);
    }

    pub fn replica(&self, i: usize) -> &Replica {
        self.replicas[i].as_ref().expect("a running replica")
    }

    pub fn counter(&self, i: usize, name: &str) -> u64 {
        let all = self.replica(i).counters();
        all.into_iter()
            .find(|(key, _)| key == name)
            .map_or(0, |(_, value)| value)
    }

    /// The leader of the newest term.
    pub fn leader(&self) -> Option<usize> {
        (0..self.replicas.len())
            .filter(|i| self.replicas[*i].as_ref().is_some_and(Replica::is_leader))
            .max_by_key(|i| self.replica(*i).term())
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.advance_one_ms();
        }
    }

    /// Runs until a condition holds, for at most `ms` milliseconds; returns whether it holds.
    pub fn run_until(&mut self, ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now_ms + ms;
        while self.now_ms < end && !condition(self) {
            self.advance_one_ms();
        }
        condition(self)
    }

    /// Advances the time by one millisecond.
    fn advance_one_ms(&mut self) {
        self.now_ms += 1;
        while let Some((_, message)) = self.in_flight.pop_front_if(|(at, _)| *at <= self.now_ms) {
            match (0..3).find(|i| name(*i) == message.to) {
                Some(i) => self.step(i, Msg::Received(message.from, message.body)),
                None => self.external_messages.push(message),
            }
        }
        for i in 0..3 {
            self.step_disk(i);
            if (self.now_ms + i as u64 * 7).is_multiple_of(TICK_MS) {
                self.step(i, Msg::Tick);
            }
        }
    }

    fn step_disk(&mut self, i: usize) {
        let (now_ms, disk) = (self.now_ms, &mut self.disks[i]);
        let msg = match disk.behaviour {
            Behaviour::Works => disk.complete_writes().map(Msg::Persisted),
            Behaviour::Fails if !disk.pending.is_empty() && now_ms >= disk.next_retry => {
                disk.next_retry = now_ms + RETRY_MS;
                Some(Msg::WriteFailed("the disk is full".into()))
            }
            _ => None,
        };
        msg.into_iter().for_each(|m| self.step(i, m));
    }

    pub fn step(&mut self, i: usize, msg: Msg) {
        let now = self.now();
        let Some(replica) = self.replicas[i].as_mut() else {
            return;
        };
        for effect in replica.step(now, msg) {
            match effect {
                Effect::Send(to, body) => {
                    let from = name(i);
                    self.send(i, SentMessage { from, to, body });
                }
                Effect::Persist(batch) => self.disks[i].pending.push_back(batch),
                Effect::Respond(call, response) => {
                    self.responses.insert(call, response);
                }
                Effect::Log(text) => {
                    self.log_lines
                        .push(format!("{} {}: {text}", self.now_ms, name(i)))
                }
                Effect::Exit => self.exits += 1,
            }
        }
    }

    fn send(&mut self, i: usize, message: SentMessage) {
        self.check_durability(i, &message);
        self.sent.push((self.now_ms, message.clone()));
        if !(self.drops_message)(&message) {
            self.in_flight
                .push_back((self.now_ms + LINK_LATENCY_MS, message));
        }
    }

    /// Checks that acknowledged entries and granted votes are durable.
    fn check_durability(&self, i: usize, message: &SentMessage) {
        let disk = &self.disks[i];
        match &message.body {
            Body::AppendResponse(v) if v.ok => {
                let last = disk.last();
                assert!(
                    v.matched <= last,
                    "acknowledges index {}, but only {last} is durable",
                    v.matched
                );
                assert!(
                    v.term <= disk.durable.hard_state.term,
                    "the acknowledged term is not durable"
                );
            }
            Body::VoteResponse(v) if v.granted && !v.pre => {
                assert_eq!(
                    disk.durable.hard_state.vote, message.to,
                    "the granted vote is not durable"
                );
                assert_eq!(disk.durable.hard_state.term, v.term);
            }
            _ => {}
        }
    }

    /// Delivers a message from an external sender to a replica at once.
    pub fn deliver(&mut self, i: usize, from: &str, body: Body) {
        self.step(i, Msg::Received(from.into(), body));
    }

    /// Proposes a configuration change that adds a note of `bytes` bytes; returns its token.
    pub fn propose(&mut self, i: usize, bytes: usize) -> u64 {
        let token = self.last_number + 1;
        let command = Command::UpdateConfig {
            change: format!("c{token}"),
            base_version: self.version(i),
            is_patch: true,
            version: 0,
            value: json!({"notes": {(format!("n{token}")): random_text(token, bytes)}}),
        };
        self.propose_command(i, &command)
    }

    /// Proposes a command; returns its token.
    pub fn propose_command(&mut self, i: usize, command: &Command) -> u64 {
        self.last_number += 1;
        let token = self.last_number;
        let propose = ProposeRequest {
            token: request_token(token),
            command: command.pack(),
        };
        self.deliver(i, CLIENT, Body::ProposeRequest(Box::new(propose)));
        token
    }

    pub fn proposal_response(&self, token: u64) -> Option<ProposeResponse> {
        self.external_messages
            .iter()
            .find_map(|message| match &message.body {
                Body::ProposeResponse(p) if p.token == request_token(token) => Some((**p).clone()),
                _ => None,
            })
    }

    pub fn is_confirmed(&self, token: u64) -> bool {
        self.proposal_response(token)
            .is_some_and(|p| p.outcome == 0)
    }

    /// Proposes a change to the leader until it is accepted, and waits until it is confirmed.
    pub fn commit_change(&mut self, bytes: usize) {
        let end = self.now_ms + 5000;
        while self.now_ms < end {
            let leader = self.leader().expect("a leader");
            let token = self.propose(leader, bytes);
            self.run_until(1000, |cluster| cluster.proposal_response(token).is_some());
            if self.is_confirmed(token) {
                return;
            }
            self.run(50);
        }
        panic!("not confirmed: {:#?}", self.log_lines);
    }

    pub fn get(&mut self, i: usize, path: &str) -> Response {
        self.last_number += 1;
        let call = self.last_number;
        let req = Request {
            method: "GET".into(),
            path: path.into(),
            ..Request::default()
        };
        self.step(i, Msg::Call(call, req));
        self.responses.remove(&call).expect("an answer at once")
    }

    /// Delivers a node's watch request for the entries after `log_index` to the leader.
    pub fn watch_request(&mut self, node: &str, log_index: u64) {
        self.send_watch_request(Self::watch_request_of(node, log_index));
    }

    pub fn send_watch_request(&mut self, watch_request: WatchRequest) {
        let leader = self.leader().expect("a leader");
        let node = watch_request.node.clone();
        self.deliver(leader, &node, Body::WatchRequest(Box::new(watch_request)));
    }

    /// The watch request of a node that has applied the entries up to `log_index`.
    pub fn watch_request_of(node: &str, log_index: u64) -> WatchRequest {
        WatchRequest {
            node: node.into(),
            zone: "z".into(),
            http: node.into(),
            log_index,
            sent: 1,
            leaving: false,
            successor: String::new(),
            clock: 0,
            carried: false,
            share: 1000,
            beside_core: false,
            light: false,
            part_index: 0,
            part_checksum: 0,
            part_received: 0,
            incarnation: 0,
            echo: None,
        }
    }

    /// Starts a cluster, commits a change, and registers a node by its first watch request. Waits until the leader has
    /// applied all commands that follow from the registration; returns the cluster and the applied index.
    pub fn start_with_node() -> (Self, u64) {
        let mut cluster = Self::start(Limits::default());
        assert!(cluster.run_until(5000, |cluster| cluster.leader().is_some()));
        cluster.commit_change(10);
        cluster.send_watch_request(Self::watch_request_of(NODE, 0));
        cluster.run(3000);
        let leader = cluster.leader().expect("a leader");
        let applied = cluster.replica(leader).state().applied_index;
        (cluster, applied)
    }

    pub fn batches(&self, node: &str) -> Vec<WatchBatch> {
        let messages = self
            .external_messages
            .iter()
            .filter(|message| message.to == node);
        messages
            .filter_map(|message| match &message.body {
                Body::WatchBatch(b) => Some((**b).clone()),
                _ => None,
            })
            .collect()
    }

    pub fn version(&self, i: usize) -> u64 {
        self.replica(i).state().version
    }

    pub fn all_in_sync(&self) -> bool {
        let log_index = |i: usize| {
            self.replicas[i]
                .as_ref()
                .map(|replica| replica.state().applied_index)
        };
        log_index(0).is_some() && log_index(0) == log_index(1) && log_index(1) == log_index(2)
    }
}

/// Random text, which does not compress well.
fn random_text(seed: u64, bytes: usize) -> String {
    let mut rng = landingdrift::sans_io::Rng::new(seed);
    (0..bytes)
        .map(|_| char::from(b'a' + rng.below(26) as u8))
        .collect()
}

/// The token of a client's request with the given number.
fn request_token(number: u64) -> RequestToken {
    RequestToken {
        incarnation: 1,
        number,
        attempt: 1,
    }
}
