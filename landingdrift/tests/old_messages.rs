//! Messages that waited in a network or in the socket of a frozen process and are old when they are read. Guards against
//! a cluster clock that takes the time in such a message for the current one, and so starts timed jobs late for good.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::wire::{AppendRequest, Body, TransferLeadership, WatchBatch, WatchRequest};
use node_harness::{NodeHarness, REPLICA};
use replicas::{name, TestCluster, NODE};

/// How long the follower is frozen.
const FREEZE_MS: u64 = 4500;
/// By how much the cluster time may differ from the time of the test.
const TOLERANCE_MS: u64 = 250;
/// How long all processes are down.
const OUTAGE_MS: u64 = 60_000;

/// The wall-clock time of all machines of a test cluster, from which the cluster time was agreed.
fn expected_time(cluster: &TestCluster) -> u64 {
    1_700_000_000_000 + cluster.now_ms
}

/// Checks the cluster time by the leader's clock: the time of an entry that it commits now.
fn assert_cluster_time_is_current(cluster: &mut TestCluster) {
    cluster.commit_change(10);
    let leader = cluster.leader().expect("a leader");
    let time = cluster.replica(leader).state().at;
    let expected = expected_time(cluster);
    assert!(
        time.abs_diff(expected) < TOLERANCE_MS,
        "{} ms late",
        expected as i64 - time as i64
    );
}

/// The last append request that the leader sent to a follower.
fn last_append_request(cluster: &TestCluster, from: usize, to: usize) -> AppendRequest {
    let mut sent = cluster.sent.iter().rev();
    let request = sent.find_map(|(_, message)| match &message.body {
        Body::AppendRequest(request) if message.from == name(from) && message.to == name(to) => {
            Some((**request).clone())
        }
        _ => None,
    });
    request.expect("an append request")
}

/// The order of events of review/12: the leader is lost while a follower is frozen; the follower reads an old request of
/// that leader and then becomes leader itself.
#[test]
fn a_follower_that_reads_an_old_request_and_becomes_leader_does_not_set_the_cluster_time_back() {
    let (mut cluster, _) = TestCluster::start_with_node();
    let leader = cluster.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    cluster.run(500);
    let in_socket = last_append_request(&cluster, leader, follower);
    let cut_off = name(follower);
    cluster.drops_message =
        Box::new(move |message| [&message.from, &message.to].contains(&&cut_off));
    cluster.run(500);
    cluster.crash(leader);
    cluster.run(FREEZE_MS - 500);
    cluster.deliver(
        follower,
        &name(leader),
        Body::AppendRequest(Box::new(in_socket.clone())),
    );
    cluster.drops_message = Box::new(|_| false);
    let term = in_socket.term;
    let take_over = Body::TransferLeadership(Box::new(TransferLeadership { term }));
    cluster.deliver(follower, &name(leader), take_over);
    cluster.run(1000);
    assert_eq!(cluster.leader(), Some(follower));
    assert_cluster_time_is_current(&mut cluster);
}

fn receive(harness: &mut NodeHarness, batch: WatchBatch) {
    let now = harness.now();
    let body = Body::WatchBatch(Box::new(batch));
    harness.node.step(now, Msg::Received(REPLICA.into(), body));
}

/// The watch request that the node sends next.
fn next_request(harness: &mut NodeHarness) -> WatchRequest {
    loop {
        harness.elapsed_ms += 20;
        let now = harness.now();
        for effect in harness.node.step(now, Msg::Tick) {
            if let Effect::Send(_, Body::WatchRequest(request)) = effect {
                return *request;
            }
        }
    }
}

/// The same on a node, whose time its schedulers compare with due times.
#[test]
fn a_node_that_reads_an_old_batch_keeps_its_estimate_of_the_cluster_time() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    let incarnation = next_request(&mut harness).incarnation;
    let in_socket = WatchBatch {
        incarnation,
        ..harness.batch(false)
    };
    receive(&mut harness, in_socket.clone());
    harness.elapsed_ms += FREEZE_MS;
    receive(&mut harness, in_socket);
    let clock = next_request(&mut harness).clock;
    let expected = 1000 + harness.elapsed_ms;
    assert!(
        clock.abs_diff(expected) < TOLERANCE_MS,
        "{clock}, {expected}"
    );
}

/// Guards against a total outage that the cluster time leaves out: before the leader has agreed on a time, it must not
/// state the time of the last log entry to nodes, from which it would take that time as an agreed one.
#[test]
fn a_leader_that_has_not_agreed_on_a_time_yet_states_none_to_nodes() {
    let (mut cluster, _) = TestCluster::start_with_node();
    (0..3).for_each(|i| cluster.crash(i));
    cluster.now_ms += OUTAGE_MS;
    (0..3).for_each(|i| cluster.start_replica(i));
    assert!(cluster.run_until(10_000, |cluster| cluster.leader().is_some()));
    let mut last_stated = 0;
    for _ in 0..60 {
        cluster.external_messages.clear();
        cluster.run(50);
        let is_set = last_stated > 0;
        let watch_request = WatchRequest {
            clock: if is_set {
                last_stated
            } else {
                expected_time(&cluster)
            },
            carried: is_set,
            ..TestCluster::watch_request_of(NODE, 0)
        };
        cluster.send_watch_request(watch_request);
        cluster.run(10);
        for batch in cluster.batches(NODE) {
            last_stated = batch.clock;
        }
    }
    assert_cluster_time_is_current(&mut cluster);
}

/// Guards against a cluster clock that is late for good without anything that shows it to operators.
#[test]
fn metrics_show_how_far_the_cluster_clock_is_from_the_machines_clock() {
    let (mut cluster, _) = TestCluster::start_with_node();
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.counter(leader, "cluster_clock_behind_ms") < TOLERANCE_MS);
    assert!(cluster.counter(leader, "cluster_clock_ahead_ms") < TOLERANCE_MS);
    let follower = (leader + 1) % 3;
    let mut ahead = last_append_request(&cluster, leader, follower);
    ahead.clock += OUTAGE_MS;
    let ahead = Body::AppendRequest(Box::new(ahead));
    cluster.deliver(follower, &name(leader), ahead);
    cluster.step(follower, Msg::Tick);
    assert!(cluster.counter(follower, "cluster_clock_ahead_ms") > OUTAGE_MS - TOLERANCE_MS);
}
