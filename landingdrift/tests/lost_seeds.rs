//! Processes whose seeds are all gone. Guards against a process that stays alone for good after a restart, although the
//! others run, and against a second cluster founded by changed seeds.

mod node_harness;
mod replicas;

use landingdrift::consensus::{PersistedState, Replica};
use landingdrift::node::{Heartbeat, Node};
use landingdrift::sans_io::{Effect, Msg, Now, Request, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::wire::{Body, ForwardRequest, PeerView, RequestToken, Shuffle};
use landingdrift::worker_proxy::WorkerProxy;
use node_harness::NodeHarness;
use replicas::{name, TestCluster, NODE};
use serde_json::json;
use std::collections::BTreeSet;

const LOST_SEED: &str = "10.0.9.1:1";
const NEW_SEED: &str = "10.0.9.2:1";
const OWN_ADDRESS: &str = "10.0.9.3:1";
const PROXY: &str = "10.0.9.4:1";
const TICK_MS: u64 = 20;
/// The time within which a process must have contacted a seed or a process that it has just learned of.
const CONTACT_MS: u64 = 20_000;

fn settings(seed: &str) -> Settings {
    Settings {
        listen: OWN_ADDRESS.into(),
        http: OWN_ADDRESS.into(),
        zone: "z".into(),
        seeds: vec![seed.into()],
        ..Settings::default()
    }
}

fn now(mono: u64) -> Now {
    Now { mono, wall: mono }
}

/// The processes to which a part sends messages within `CONTACT_MS`, beginning after `from_ms`.
fn contacted(part: &mut dyn StateMachine, from_ms: u64) -> BTreeSet<String> {
    let mut receivers = BTreeSet::new();
    for mono in (from_ms..from_ms + CONTACT_MS).step_by(TICK_MS as usize) {
        for effect in part.step(now(mono), Msg::Tick) {
            if let Effect::Send(to, _) = effect {
                receivers.insert(to);
            }
        }
    }
    receivers
}

/// A shuffle in which a replica introduces itself.
fn introduction(replica: &str) -> Msg {
    let shuffle = Shuffle {
        reply: false,
        view: vec![PeerView {
            addr: replica.into(),
            role: "core".into(),
            zone: "z".into(),
            age: 0,
        }],
        replicas: vec![replica.into()],
    };
    Msg::Received(replica.into(), Body::Shuffle(Box::new(shuffle)))
}

/// Guards against parts that keep the seeds of their start although the settings name others.
#[test]
fn every_part_uses_the_seeds_of_changed_settings_and_no_longer_the_old_ones() {
    let old = settings(LOST_SEED);
    let replica = Replica::new(
        Settings {
            join_only: true,
            ..old.clone()
        },
        PersistedState::default(),
        now(1),
        1,
    );
    let parts: Vec<(&str, Box<dyn StateMachine>)> = vec![
        ("node", Box::new(Node::new(old.clone(), now(1), 1))),
        ("worker proxy", Box::new(WorkerProxy::new(old.clone(), 1))),
        ("replica", Box::new(replica.expect("an empty disk loads"))),
    ];
    for (kind, mut part) in parts {
        let before = contacted(part.as_mut(), 20);
        assert!(before.contains(LOST_SEED), "{kind}: {before:?}");
        let (changed, _) = old.with_reloadable_from(&settings(NEW_SEED));
        part.step(
            now(20 + CONTACT_MS),
            Msg::SettingsChanged(Box::new(changed)),
        );
        let first_requests = contacted(part.as_mut(), 20 + CONTACT_MS);
        assert!(first_requests.contains(NEW_SEED), "{kind}");
        let after = contacted(part.as_mut(), 20 + 2 * CONTACT_MS);
        assert!(!after.contains(LOST_SEED), "{kind}: {after:?}");
    }
}

/// Guards against a second cluster: the founders may be given as seeds, which change while the process runs.
#[test]
fn changed_seeds_do_not_change_the_founders() {
    let old = settings(LOST_SEED);
    let (changed, unchangeable) = old.with_reloadable_from(&settings(NEW_SEED));
    assert_eq!(changed.seeds, [NEW_SEED]);
    assert_eq!(changed.founders(), [LOST_SEED]);
    assert!(unchangeable.is_empty(), "{unchangeable:?}");
    let joining = Settings {
        join_only: true,
        ..old
    };
    let (changed, _) = joining.with_reloadable_from(&settings(NEW_SEED));
    assert!(changed.founders().is_empty());
}

/// Guards against a node without a disk that stays alone after all processes were killed, as its seeds are gone.
#[test]
fn after_a_total_outage_the_leader_introduces_itself_to_nodes_that_do_not_follow_it() {
    let (mut cluster, _) = TestCluster::start_with_node();
    (0..3).for_each(|i| cluster.crash(i));
    cluster.run(1000);
    cluster.external_messages.clear();
    (0..3).for_each(|i| cluster.start_replica(i));
    let introduces_members = |cluster: &TestCluster| {
        let members: BTreeSet<String> = (0..3).map(name).collect();
        let mut messages = cluster.external_messages.iter();
        messages.any(|message| match &message.body {
            Body::Shuffle(shuffle) if message.to == NODE => {
                members == shuffle.replicas.iter().cloned().collect()
            }
            _ => false,
        })
    };
    assert!(cluster.run_until(10_000, introduces_members));
}

/// Guards against introductions that are sent to nodes for no reason.
#[test]
fn a_node_that_follows_the_leader_is_sent_no_introductions() {
    let (mut cluster, applied) = TestCluster::start_with_node();
    cluster.watch_request(NODE, applied);
    cluster.run(50);
    cluster.external_messages.clear();
    for _ in 0..100 {
        cluster.run(100);
        cluster.watch_request(NODE, applied);
    }
    let mut messages = cluster.external_messages.iter();
    assert!(!messages.any(|message| matches!(message.body, Body::Shuffle(_))));
}

/// Guards against a node that knows a live replica and asks its dead seeds alone.
#[test]
fn a_node_that_was_introduced_to_a_replica_follows_it_although_its_seeds_are_gone() {
    let mut node = Node::new(settings(LOST_SEED), now(1), 1);
    node.step(now(10), introduction(NEW_SEED));
    let receivers = contacted(&mut node, 20);
    assert!(receivers.contains(NEW_SEED), "{receivers:?}");
}

/// Guards against replicas that know each other from the log but only ever shuffle with their seeds.
#[test]
fn replicas_shuffle_with_the_members_that_they_know_from_their_log() {
    let mut cluster = TestCluster::start(Default::default());
    (0..3).for_each(|i| cluster.crash(i));
    for settings in &mut cluster.settings {
        settings.seeds = vec![LOST_SEED.into()];
    }
    (0..3).for_each(|i| cluster.start_replica(i));
    cluster.sent.clear();
    cluster.run(CONTACT_MS);
    let sent = cluster.sent.iter();
    let shuffles = sent.filter(|(_, message)| matches!(message.body, Body::Shuffle(_)));
    let receivers: BTreeSet<&str> = shuffles.map(|(_, message)| message.to.as_str()).collect();
    for i in 0..3 {
        assert!(receivers.contains(name(i).as_str()), "{receivers:?}");
    }
}

/// A heartbeat of the harness's worker that its proxy forwards.
fn forwarded_heartbeat(harness: &NodeHarness) -> Msg {
    let heartbeat = Heartbeat {
        info: node_harness::info(),
        sequence: 1,
        ..Heartbeat::default()
    };
    let request = ForwardRequest {
        token: RequestToken {
            incarnation: 1,
            number: harness.call,
            attempt: 0,
        },
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: String::new(),
        body: json!(heartbeat).to_string().into_bytes(),
    };
    Msg::Received(PROXY.into(), Body::ForwardRequest(Box::new(request)))
}

/// Guards against workers that are never used again because their proxies restarted with dead seeds.
#[test]
fn a_zone_scheduler_introduces_itself_to_the_proxy_of_a_silent_worker() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    let now = harness.now();
    let heartbeat = forwarded_heartbeat(&harness);
    harness.node.step(now, heartbeat);
    let mut introduced = false;
    for _ in 0..100 {
        harness.elapsed_ms += TICK_MS;
        harness.install_full_copy();
        let now = harness.now();
        let effects = harness.node.step(now, Msg::Tick);
        introduced |= effects.iter().any(
            |effect| matches!(effect, Effect::Send(to, Body::Shuffle(shuffle)) if to == PROXY && shuffle.view[0].role == "node"),
        );
    }
    assert!(introduced);
}

/// Guards against a proxy that goes on calling its dead seeds although a node has introduced itself.
#[test]
fn a_worker_proxy_forwards_calls_to_a_node_that_has_introduced_itself() {
    let mut proxy = WorkerProxy::new(settings(LOST_SEED), 1);
    let shuffle = Shuffle {
        reply: false,
        view: vec![PeerView {
            addr: NEW_SEED.into(),
            role: "node".into(),
            zone: "z".into(),
            age: 0,
        }],
        replicas: Vec::new(),
    };
    proxy.step(
        now(10),
        Msg::Received(NEW_SEED.into(), Body::Shuffle(Box::new(shuffle))),
    );
    let heartbeat = Request {
        method: "POST".into(),
        path: "/v1/beats".into(),
        body: b"{}".to_vec(),
        ..Request::default()
    };
    let effects = proxy.step(now(20), Msg::Call(1, heartbeat));
    let is_forwarded = |effect: &Effect| matches!(effect, Effect::Send(to, Body::ForwardRequest(_)) if to == NEW_SEED);
    assert!(effects.iter().any(is_forwarded));
}
