//! Flow control of the watch: data in flight to a node is not resent, and a late snapshot never reverts a node's
//! copy to an older state.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::state::Command;
use landingdrift::wire::{Body, WatchBatch, WatchRequest, WatchSnapshotChunk};
use node_harness::{NodeHarness, REPLICA};
use replicas::{TestCluster, NODE};

const HEARTBEAT_MS: u64 = 100;

/// Starts three replicas followed by a node; returns them and the index that the node has applied.
fn start_with_watching_node() -> (TestCluster, u64) {
    let (mut cluster, applied) = TestCluster::start_with_node();
    cluster.send_watch_request(TestCluster::watch_request_of(NODE, applied));
    (cluster, applied)
}

/// Repeats a node's request every 10 ms, a tenth of a heartbeat interval, as if the responses were lost; returns the
/// number of batches with entries that were sent.
fn count_batches_with_entries(
    cluster: &mut TestCluster,
    request: &WatchRequest,
    for_ms: u64,
) -> usize {
    let before = cluster.batches(NODE).len();
    for _ in 0..for_ms / 10 {
        cluster.send_watch_request(request.clone());
        cluster.run(10);
    }
    let batches = cluster.batches(NODE).split_off(before);
    let with_entries = batches.iter().filter(|batch| !batch.entries.is_empty());
    with_entries.count()
}

#[test]
fn entries_in_flight_are_not_resent_for_each_request() {
    let (mut cluster, applied) = start_with_watching_node();
    cluster.commit_change(200_000);
    let request = TestCluster::watch_request_of(NODE, applied);
    // The transfer of 200 kB over a link of 2 Mbit/s takes 800 ms.
    assert_eq!(count_batches_with_entries(&mut cluster, &request, 800), 1);
    // The retransmission timeout doubles each time.
    let batches_sent = count_batches_with_entries(&mut cluster, &request, 12_000);
    assert!((2..=3).contains(&batches_sent), "{batches_sent}");
}

#[test]
fn lost_entries_are_resent_after_the_timeout() {
    let (mut cluster, applied) = start_with_watching_node();
    cluster.commit_change(10);
    let request = TestCluster::watch_request_of(NODE, applied);
    let batches_sent = count_batches_with_entries(&mut cluster, &request, 4 * HEARTBEAT_MS);
    assert_eq!(batches_sent, 2);
}

#[test]
fn a_light_copy_does_not_skip_entries_in_flight() {
    let (mut cluster, applied) = start_with_watching_node();
    // A node follows a light copy only if there is also a larger node.
    cluster.watch_request("10.8.8.9:1", applied);
    cluster.commit_change(10);
    let request = WatchRequest {
        share: 50,
        light: true,
        ..TestCluster::watch_request_of(NODE, applied)
    };
    cluster.send_watch_request(request.clone());
    cluster.run(5);
    cluster.commit_change(10);
    cluster.send_watch_request(request);
    cluster.run(5);
    let last = cluster.batches(NODE).pop().expect("a batch");
    assert!(last.light);
    let skipped = last.entries.is_empty() && last.reached > applied;
    assert!(!skipped, "{last:?}");
}

#[test]
fn entries_are_sent_again_to_a_restarted_node() {
    let (mut cluster, applied) = start_with_watching_node();
    cluster.commit_change(200_000);
    let request = WatchRequest {
        sent: 500,
        ..TestCluster::watch_request_of(NODE, applied)
    };
    assert_eq!(count_batches_with_entries(&mut cluster, &request, 20), 1);
    // A process that has just started: its clock differs, and it has applied fewer entries.
    let restarted = TestCluster::watch_request_of(NODE, 1);
    assert_eq!(count_batches_with_entries(&mut cluster, &restarted, 20), 1);
}

/// A single chunk with a complete snapshot of the replicas' current state.
fn complete_snapshot_chunk(
    harness: &NodeHarness,
    light: bool,
    requested_from: u64,
) -> WatchSnapshotChunk {
    let bytes = if light {
        harness.state.without_jobs_and_workers().pack()
    } else {
        harness.state.pack()
    };
    WatchSnapshotChunk {
        commit: harness.state.applied_index,
        light,
        index: harness.state.applied_index,
        term: 1,
        offset: 0,
        total: bytes.len() as u64,
        checksum: crc32fast::hash(&bytes),
        bytes,
        requested_from,
    }
}

fn receive(harness: &mut NodeHarness, from: &str, chunk: WatchSnapshotChunk) -> Vec<Effect> {
    let now = harness.now();
    let body = Body::WatchSnapshotChunk(Box::new(chunk));
    harness.node.step(now, Msg::Received(from.into(), body))
}

#[test]
fn a_chunk_that_arrives_after_the_request_timed_out_is_used() {
    let mut harness = NodeHarness::new();
    let chunk = complete_snapshot_chunk(&harness, true, 0);
    // The node gets no answer to its request until the timeout, and asks other replicas.
    for _ in 0..100 {
        harness.elapsed_ms += 20;
        let now = harness.now();
        harness.node.step(now, Msg::Tick);
    }
    receive(&mut harness, "10.0.0.9:1", chunk);
    assert_eq!(
        harness.node.state().applied_index,
        harness.state.applied_index
    );
}

#[test]
fn a_late_chunk_of_an_older_snapshot_does_not_revert_the_copy() {
    let mut harness = NodeHarness::new();
    let older = complete_snapshot_chunk(&harness, false, 0);
    harness.install_full_copy();
    harness.append(Command::SetEvacuation {
        zone: "z".into(),
        evacuate: true,
    });
    harness.install_full_copy();
    let newest = harness.node.state().applied_index;
    receive(&mut harness, REPLICA, older);
    assert_eq!(harness.node.state().applied_index, newest);
}

#[test]
fn a_node_reverted_to_an_older_snapshot_is_not_ready_until_it_has_caught_up() {
    let mut harness = NodeHarness::new();
    let earlier = complete_snapshot_chunk(&harness, true, 0);
    harness.append(Command::SetEvacuation {
        zone: "z".into(),
        evacuate: true,
    });
    harness.install_full_copy();
    let now = harness.now();
    assert!(harness.node.is_ready(now));
    // The node's copy must become light, but the leader's newest light snapshot is older than that copy.
    let earlier = WatchSnapshotChunk {
        requested_from: harness.state.applied_index,
        ..earlier
    };
    receive(&mut harness, REPLICA, earlier);
    assert!(!harness.node.is_ready(now));
    let batch = WatchBatch {
        replica: REPLICA.into(),
        leader: REPLICA.into(),
        ok: true,
        sent: now.mono,
        quorum_age: 0,
        clock: now.wall,
        commit: harness.state.applied_index,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: Vec::new(),
        replicas: vec![REPLICA.into()],
        light: true,
        reached: harness.state.applied_index,
        incarnation: 0,
        follows: 0,
        config_index: 0,
        stamp: None,
    };
    let body = Body::WatchBatch(Box::new(batch));
    harness.node.step(now, Msg::Received(REPLICA.into(), body));
    assert!(harness.node.is_ready(now));
}

/// The chunk of 1000 bytes at `offset` of a snapshot at `index`.
fn chunk(index: u64, offset: usize) -> WatchSnapshotChunk {
    const TOTAL: usize = 9000;
    const SIZE: usize = 1000;
    let bytes = vec![index as u8; TOTAL];
    WatchSnapshotChunk {
        commit: index,
        light: false,
        index,
        term: 1,
        offset: offset as u64,
        total: TOTAL as u64,
        checksum: crc32fast::hash(&bytes),
        bytes: bytes[offset..offset + SIZE].to_vec(),
        requested_from: 0,
    }
}

/// The index of the snapshot that the node is receiving and the bytes received, from its last request among `effects`.
fn part_received(effects: &[Effect]) -> Option<(u64, u64)> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Send(_, Body::WatchRequest(request)) => {
            Some((request.part_index, request.part_received))
        }
        _ => None,
    })
}

#[test]
fn interleaved_chunks_of_two_snapshots_do_not_reset_each_other() {
    let mut harness = NodeHarness::new();
    receive(&mut harness, REPLICA, chunk(1000, 0));
    receive(&mut harness, REPLICA, chunk(1200, 0));
    receive(&mut harness, REPLICA, chunk(1000, 1000));
    let effects = receive(&mut harness, REPLICA, chunk(1200, 1000));
    assert_eq!(part_received(&effects), Some((1200, 2000)));
    // The node returns to the older snapshot only once chunks of the newer one have stopped arriving.
    receive(&mut harness, REPLICA, chunk(1000, 0));
    let effects = receive(&mut harness, REPLICA, chunk(1200, 2000));
    assert_eq!(part_received(&effects), Some((1200, 3000)));
    harness.elapsed_ms += 20 * HEARTBEAT_MS;
    let effects = receive(&mut harness, REPLICA, chunk(1000, 0));
    assert_eq!(part_received(&effects), Some((1000, 1000)));
}
