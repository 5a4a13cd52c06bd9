//! Flow control of the watch: what is on its way to a node is not sent again, and what was overtaken takes no copy back.

mod node_harness;
mod replicas;

use landingdrift::sans_io::{Effect, Msg, Part};
use landingdrift::state::Command;
use landingdrift::wire::{Body, WatchBatch, WatchRequest, WatchSnapshotChunk};
use node_harness::{NodeHarness, REPLICA};
use replicas::{TestCluster, NODE};

const HEARTBEAT_MS: u64 = 100;

/// Three replicas that a node follows, and the index that it has applied.
fn followed() -> (TestCluster, u64) {
    let (mut cores, applied) = TestCluster::start_with_node();
    cores.send_watch_request(TestCluster::watch_request_of(NODE, applied));
    (cores, applied)
}

/// The node asks every tenth of a heartbeat, as if nothing had arrived since; returns how often entries were sent.
fn times_sent(cores: &mut TestCluster, request: &WatchRequest, for_ms: u64) -> usize {
    let before = cores.batches(NODE).len();
    for _ in 0..for_ms / 10 {
        cores.send_watch_request(request.clone());
        cores.run(10);
    }
    let batches = cores.batches(NODE).split_off(before);
    let with_entries = batches.iter().filter(|batch| !batch.entries.is_empty());
    with_entries.count()
}

#[test]
fn entries_on_their_way_are_not_sent_again_for_each_request() {
    let (mut cores, applied) = followed();
    cores.commit_change(200_000);
    let request = TestCluster::watch_request_of(NODE, applied);
    // 200 kB take a link of 2 Mbit/s 800 ms.
    assert_eq!(times_sent(&mut cores, &request, 800), 1);
    // The pause doubles each time.
    let times = times_sent(&mut cores, &request, 12_000);
    assert!((2..=3).contains(&times), "{times}");
}

#[test]
fn entries_that_were_lost_are_sent_again_soon() {
    let (mut cores, applied) = followed();
    cores.commit_change(10);
    let request = TestCluster::watch_request_of(NODE, applied);
    let times = times_sent(&mut cores, &request, 4 * HEARTBEAT_MS);
    assert_eq!(times, 2);
}

#[test]
fn a_light_copy_is_not_moved_past_entries_that_are_on_their_way() {
    let (mut cores, applied) = followed();
    // Beside a larger node.
    cores.watch_request("10.8.8.9:1", applied);
    cores.commit_change(10);
    let request = WatchRequest {
        share: 50,
        light: true,
        ..TestCluster::watch_request_of(NODE, applied)
    };
    cores.send_watch_request(request.clone());
    cores.run(5);
    cores.commit_change(10);
    cores.send_watch_request(request);
    cores.run(5);
    let last = cores.batches(NODE).pop().expect("a batch");
    assert!(last.light);
    let skipped = last.entries.is_empty() && last.reached > applied;
    assert!(!skipped, "{last:?}");
}

#[test]
fn a_node_that_has_restarted_is_sent_what_its_predecessor_was_sent() {
    let (mut cores, applied) = followed();
    cores.commit_change(200_000);
    let request = WatchRequest {
        sent: 500,
        ..TestCluster::watch_request_of(NODE, applied)
    };
    assert_eq!(times_sent(&mut cores, &request, 20), 1);
    // A process that has just started: its clock is another one, and it has applied nothing.
    let restarted = TestCluster::watch_request_of(NODE, 1);
    assert_eq!(times_sent(&mut cores, &restarted, 20), 1);
}

/// One chunk that holds all of a snapshot of the state as the replicas have it.
fn whole_snapshot(harness: &NodeHarness, light: bool, requested_from: u64) -> WatchSnapshotChunk {
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
    harness.node.step(now, Msg::Wire(from.into(), body))
}

#[test]
fn a_chunk_that_took_longer_than_the_patience_with_its_replica_is_used() {
    let mut harness = NodeHarness::new();
    let chunk = whole_snapshot(&harness, true, 0);
    // The node asks, hears nothing for long, and asks others.
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
fn a_chunk_that_was_overtaken_does_not_take_the_copy_back() {
    let mut harness = NodeHarness::new();
    let overtaken = whole_snapshot(&harness, false, 0);
    harness.follow();
    harness.append(Command::SetEvacuation {
        zone: "z".into(),
        on: true,
    });
    harness.follow();
    let newest = harness.node.state().applied_index;
    receive(&mut harness, REPLICA, overtaken);
    assert_eq!(harness.node.state().applied_index, newest);
}

#[test]
fn a_copy_that_has_to_go_back_is_not_shown_before_it_has_caught_up() {
    let mut harness = NodeHarness::new();
    let earlier = whole_snapshot(&harness, true, 0);
    harness.append(Command::SetEvacuation {
        zone: "z".into(),
        on: true,
    });
    harness.follow();
    let now = harness.now();
    assert!(harness.node.is_ready(now));
    // The leader wants a light copy here, and has none as new as this node's.
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
    };
    let body = Body::WatchBatch(Box::new(batch));
    harness.node.step(now, Msg::Wire(REPLICA.into(), body));
    assert!(harness.node.is_ready(now));
}

/// A snapshot of so many bytes at an index, in chunks of which the first begins at 0.
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

/// How much of a snapshot the node says that it has, by its last request among some effects.
fn part_received(effects: &[Effect]) -> Option<(u64, u64)> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Send(_, Body::WatchRequest(request)) => {
            Some((request.part_index, request.part_received))
        }
        _ => None,
    })
}

#[test]
fn chunks_of_two_snapshots_on_their_way_at_once_do_not_make_each_other_useless() {
    let mut harness = NodeHarness::new();
    receive(&mut harness, REPLICA, chunk(1000, 0));
    receive(&mut harness, REPLICA, chunk(1200, 0));
    receive(&mut harness, REPLICA, chunk(1000, 1000));
    let effects = receive(&mut harness, REPLICA, chunk(1200, 1000));
    assert_eq!(part_received(&effects), Some((1200, 2000)));
    // An older one comes up again only once nothing more has come of this one.
    receive(&mut harness, REPLICA, chunk(1000, 0));
    let effects = receive(&mut harness, REPLICA, chunk(1200, 2000));
    assert_eq!(part_received(&effects), Some((1200, 3000)));
    harness.elapsed_ms += 20 * HEARTBEAT_MS;
    let effects = receive(&mut harness, REPLICA, chunk(1000, 0));
    assert_eq!(part_received(&effects), Some((1000, 1000)));
}
