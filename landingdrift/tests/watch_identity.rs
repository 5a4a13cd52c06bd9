//! A watch batch is addressed to one process and one copy of the cluster state. Another process or copy must ignore it:
//! otherwise entries would be skipped, or a stale copy would count as fresh.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::settings::Limits;
use landingdrift::state::Command;
use landingdrift::wire::{Body, Entry, WatchBatch, WatchRequest};
use node_harness::{NodeHarness, REPLICA};
use replicas::{TestCluster, NODE};
use serde_json::json;

/// Time without a batch after which no copy is fresh, in milliseconds.
const STALE_MS: u64 = 5000;

/// Longest interval between watch requests of a node, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 150;

fn receive(harness: &mut NodeHarness, batch: WatchBatch) -> Vec<Effect> {
    let now = harness.now();
    let body = Body::WatchBatch(Box::new(batch));
    harness.node.step(now, Msg::Received(REPLICA.into(), body))
}

fn is_ready(harness: &NodeHarness) -> bool {
    harness.node.is_ready(harness.now())
}

/// The node's next request.
fn next_request(harness: &mut NodeHarness) -> WatchRequest {
    harness.elapsed_ms += REQUEST_INTERVAL_MS;
    let effects = harness.node.step(harness.now(), Msg::Tick);
    let mut requests = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send(_, Body::WatchRequest(request)) => Some(*request),
        _ => None,
    });
    requests.next_back().expect("a request")
}

fn patch(base: u64, value: serde_json::Value) -> Command {
    Command::UpdateConfig {
        change: format!("on-{base}"),
        base_version: base,
        is_patch: true,
        version: 0,
        value,
    }
}

/// The entry at the end of the log.
fn last_entry(harness: &NodeHarness, command: &Command) -> Entry {
    Entry {
        index: harness.state.applied_index,
        term: 1,
        at: 1000 + harness.elapsed_ms,
        command: command.pack(),
    }
}

#[test]
fn a_batch_for_an_earlier_process_does_not_make_a_copy_fresh() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    let own = next_request(&mut harness).incarnation;
    harness.elapsed_ms += STALE_MS;
    assert!(own > 0 && !is_ready(&harness));
    // The earlier process had run for a long time, so by this process's clock its requests lie in the future.
    let for_earlier = WatchBatch {
        incarnation: own ^ 1,
        sent: 900_000_000,
        ..harness.batch(false)
    };
    receive(&mut harness, for_earlier);
    assert!(!is_ready(&harness));
    let for_this = WatchBatch {
        incarnation: own,
        ..harness.batch(false)
    };
    receive(&mut harness, for_this);
    assert!(is_ready(&harness));
}

#[test]
fn a_light_copy_does_not_skip_missing_entries() {
    let mut harness = NodeHarness::new();
    harness.install_light_copy();
    let index = harness.state.applied_index;
    let first = patch(
        1,
        json!({"queues": {"added": {"tries": 1, "quota": 1, "windowMs": 1000, "unsureBoundMs": 1000}}}),
    );
    harness.append(first.clone());
    let first_entry = last_entry(&harness, &first);
    let second = Command::SetEvacuation {
        zone: "z".into(),
        evacuate: true,
    };
    harness.append(second.clone());
    let second_entry = last_entry(&harness, &second);
    // The batch continues the copy of an earlier process, which already had the first entry.
    let for_another_copy = WatchBatch {
        entries: vec![second_entry.clone()],
        follows: index + 1,
        ..harness.batch(true)
    };
    receive(&mut harness, for_another_copy);
    assert_eq!(harness.node.state().applied_index, index);
    let for_this_copy = WatchBatch {
        entries: vec![first_entry, second_entry],
        follows: index,
        ..harness.batch(true)
    };
    receive(&mut harness, for_this_copy);
    assert_eq!(harness.node.state().applied_index, index + 2);
    assert!(harness.node.state().config.queues.contains_key("added"));
}

#[test]
fn a_rejected_change_does_not_come_into_force_on_a_light_copy() {
    let mut harness = NodeHarness::new();
    harness.submit("j", 1);
    harness.install_light_copy();
    let index = harness.state.applied_index;
    // Rejected because the queue has a job, which a light copy does not know.
    let rejected = patch(1, json!({"queues": {"q": null}}));
    let result = harness
        .state
        .apply(index + 1, 1000 + harness.elapsed_ms, &rejected);
    result.expect_err("the queue holds a job");
    let batch_with_rejected = WatchBatch {
        entries: vec![last_entry(&harness, &rejected)],
        follows: index,
        ..harness.batch(true)
    };
    receive(&mut harness, batch_with_rejected);
    assert!(!is_ready(&harness), "its copy is not that of the replicas");
    assert_eq!(harness.counter("watch_copies_diverged"), 1);
    let request = next_request(&mut harness);
    assert_eq!((request.log_index, request.light), (0, false));
    harness.install_light_copy();
    assert!(is_ready(&harness));
    assert!(harness.node.state().config.queues.contains_key("q"));
}

#[test]
fn a_batch_names_the_process_and_copy_that_it_is_for() {
    let mut cluster = TestCluster::start(Limits::default());
    assert!(cluster.run_until(5000, |cluster| cluster.leader().is_some()));
    cluster.commit_change(10);
    cluster.run(3000);
    let leader = cluster.leader().expect("a leader is elected");
    let state = cluster.replica(leader).state();
    let (applied, config_index) = (state.applied_index, state.config_index());
    assert!(config_index > 0);
    let request = WatchRequest {
        incarnation: 77,
        ..TestCluster::watch_request_of(NODE, applied)
    };
    cluster.send_watch_request(request);
    cluster.run(5);
    let batch = cluster.batches(NODE).pop().expect("a batch");
    assert_eq!((batch.incarnation, batch.follows), (77, applied));
    assert_eq!(batch.config_index, config_index);
}

#[test]
fn batches_sent_to_an_earlier_process_are_not_in_flight_to_its_successor() {
    let (mut cluster, applied) = TestCluster::start_with_node();
    let batches_with_entries = |cluster: &TestCluster| {
        let batches = cluster.batches(NODE);
        let of_change = batches.iter().filter(|batch| batch.follows == applied);
        of_change.filter(|batch| !batch.entries.is_empty()).count()
    };
    let send_request_and_count = |cluster: &mut TestCluster, incarnation: u64| {
        let request = WatchRequest {
            incarnation,
            ..TestCluster::watch_request_of(NODE, applied)
        };
        cluster.send_watch_request(request);
        cluster.run(5);
        batches_with_entries(cluster)
    };
    send_request_and_count(&mut cluster, 1);
    let before = batches_with_entries(&cluster);
    cluster.commit_change(200_000);
    let sent = send_request_and_count(&mut cluster, 1);
    assert!(sent > before);

    assert_eq!(
        send_request_and_count(&mut cluster, 1),
        sent,
        "the entries are in flight"
    );
    assert!(
        send_request_and_count(&mut cluster, 2) > sent,
        "the successor has received nothing"
    );
}
