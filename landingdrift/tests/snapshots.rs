//! Snapshot transfer between replicas: a snapshot is installed completely or not at all, lost chunks are resent, and
//! confirmed entries are never lost.

mod replicas;

use landingdrift::settings::Limits;
use landingdrift::snapshot_chunks::{ChunkOutcome, ChunkedSnapshot, SnapshotAssembly, CHUNK_BYTES};
use landingdrift::wire::{AppendRequest, Body, InstallSnapshot, InstallSnapshotResponse};
use replicas::behind::{limits, start_with_lagging_replica, SNAPSHOT_EVERY_ENTRIES};
use replicas::{name, SentMessage, TestCluster};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

fn install_requests(cluster: &TestCluster, to: usize) -> Vec<(u64, InstallSnapshot)> {
    let messages = cluster
        .sent
        .iter()
        .filter(|(_, message)| message.to == name(to));
    messages
        .filter_map(|(time, message)| match &message.body {
            Body::InstallSnapshot(m) => Some((*time, (**m).clone())),
            _ => None,
        })
        .collect()
}

fn heartbeats(cluster: &TestCluster, to: usize) -> Vec<u64> {
    let messages = cluster
        .sent
        .iter()
        .filter(|(_, message)| message.to == name(to));
    messages
        .filter_map(|(time, message)| {
            matches!(&message.body, Body::AppendRequest(_)).then_some(*time)
        })
        .collect()
}

fn expect_catch_up(cluster: &mut TestCluster, lagging: usize) {
    let caught_up = cluster.run_until(10_000, TestCluster::all_in_sync);
    assert!(caught_up, "{:#?}", cluster.log_lines);
    assert!(cluster.counter(lagging, "snapshots_installed") >= 1);
    cluster.run(200);
    let last = cluster.disks[lagging].last();
    assert_eq!(
        last,
        cluster.replica(lagging).state().applied_index,
        "every applied entry must be on its disk"
    );
}

#[test]
fn a_lagging_replica_receives_each_chunk_once_and_heartbeats_during_the_transfer() {
    let (mut cluster, leader, lagging) = start_with_lagging_replica();
    cluster.start_replica(lagging);
    let since = cluster.now_ms;
    expect_catch_up(&mut cluster, lagging);
    let sent = install_requests(&cluster, lagging);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    let total = sent[0].1.total as usize;
    assert!(total > 3 * CHUNK_BYTES, "{total} bytes");
    let expected: Vec<u64> = (0..total.div_ceil(CHUNK_BYTES))
        .map(|n| (n * CHUNK_BYTES) as u64)
        .collect();
    assert_eq!(offsets, expected);
    assert!(sent.iter().all(|(_, m)| m.snapshot.len() <= CHUNK_BYTES));
    assert_eq!(cluster.counter(leader, "snapshots_sent"), 1);
    assert_eq!(cluster.counter(leader, "snapshot_chunks_repeated"), 0);
    let first_heartbeat = heartbeats(&cluster, lagging)[0];
    assert!(
        first_heartbeat <= since + 200,
        "heartbeats must not wait for the snapshot"
    );
}

#[test]
fn an_unacknowledged_chunk_does_not_delay_heartbeats() {
    let (mut cluster, leader, lagging) = start_with_lagging_replica();
    let receiver = name(lagging);
    cluster.drops_message = Box::new(move |message: &SentMessage| {
        message.from == receiver && matches!(&message.body, Body::InstallSnapshotResponse(_))
    });
    cluster.start_replica(lagging);
    cluster.run(4000);
    let sent = install_requests(&cluster, lagging);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    assert!(offsets.iter().all(|o| *o == 0), "{offsets:?}");
    assert!((2..=12).contains(&offsets.len()), "{offsets:?}");
    let heartbeat_times = heartbeats(&cluster, lagging);
    let gaps = heartbeat_times.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.max().is_some_and(|g| g <= 200), "{heartbeat_times:?}");
    assert_eq!(
        cluster.leader(),
        Some(leader),
        "no election must take place"
    );
    cluster.drops_message = Box::new(|_| false);
    expect_catch_up(&mut cluster, lagging);
}

#[test]
fn lost_chunks_are_resent_and_the_snapshot_is_installed_once() {
    let (mut cluster, _, lagging) = start_with_lagging_replica();
    let chunks_sent = Rc::new(Cell::new(0));
    cluster.drops_message = Box::new(move |message: &SentMessage| {
        let is_chunk = matches!(&message.body, Body::InstallSnapshot(_));
        chunks_sent.set(chunks_sent.get() + u64::from(is_chunk));
        is_chunk && chunks_sent.get().is_multiple_of(3)
    });
    cluster.start_replica(lagging);
    expect_catch_up(&mut cluster, lagging);
    assert_eq!(cluster.counter(lagging, "snapshots_installed"), 1);
    assert_eq!(cluster.counter(lagging, "snapshots_refused"), 0);
}

#[test]
fn another_leader_continues_when_the_sender_crashes() {
    let (mut cluster, leader, lagging) = start_with_lagging_replica();
    cluster.start_replica(lagging);
    assert!(
        cluster.run_until(5000, |cluster| install_requests(cluster, lagging).len()
            >= 2)
    );
    assert_eq!(cluster.counter(lagging, "snapshots_installed"), 0);
    cluster.crash(leader);
    let has_new_leader = cluster.run_until(10_000, |cluster| {
        cluster.leader().is_some_and(|l| l != leader)
    });
    assert!(has_new_leader, "{:#?}", cluster.log_lines);
    assert_ne!(
        cluster.leader(),
        Some(lagging),
        "a replica that lacks confirmed entries must not lead"
    );
    cluster.run(3000);
    cluster.start_replica(leader);
    expect_catch_up(&mut cluster, lagging);
}

#[test]
fn the_next_leader_resumes_the_transfer_of_the_same_snapshot() {
    let snapshot = ChunkedSnapshot::new(7, 2, vec![9; 3 * CHUNK_BYTES]);
    let id = snapshot.identity();
    let mut assembly = SnapshotAssembly::default();
    assert_eq!(
        assembly.add_chunk(id, 0, snapshot.chunk(0)),
        ChunkOutcome::Incomplete
    );
    // The next leader starts with the first chunk; the receiver ignores it and answers with the number of bytes it has.
    assert_eq!(
        assembly.add_chunk(id, 0, snapshot.chunk(0)),
        ChunkOutcome::Incomplete
    );
    assert_eq!(assembly.received(), CHUNK_BYTES as u64);
    let rest = [1, 2].map(|n| n * CHUNK_BYTES as u64);
    assert_eq!(
        assembly.add_chunk(id, rest[0], snapshot.chunk(rest[0])),
        ChunkOutcome::Incomplete
    );
    let outcome = assembly.add_chunk(id, rest[1], snapshot.chunk(rest[1]));
    assert_eq!(outcome, ChunkOutcome::Complete(vec![9; 3 * CHUNK_BYTES]));
    assert_eq!(assembly.received(), 0);
}

/// A complete snapshot in one chunk, as sent by the leader of `term`.
fn install_request(term: u64, index: u64, bytes: &[u8]) -> InstallSnapshot {
    let id = ChunkedSnapshot::new(index, term, bytes.to_vec()).identity();
    InstallSnapshot {
        term,
        round: 1,
        index,
        index_term: term,
        snapshot: bytes.to_vec(),
        offset: 0,
        total: id.total,
        checksum: id.checksum,
    }
}

fn last_snapshot_response(cluster: &TestCluster, from: usize) -> InstallSnapshotResponse {
    let mut messages = cluster
        .sent
        .iter()
        .rev()
        .filter(|(_, message)| message.from == name(from));
    let found = messages.find_map(|(_, message)| match &message.body {
        Body::InstallSnapshotResponse(m) => Some((**m).clone()),
        _ => None,
    });
    found.expect("a response")
}

#[test]
fn corrupt_truncated_and_outdated_snapshots_are_not_installed() {
    let mut cluster = TestCluster::start(limits());
    (0..5).for_each(|_| cluster.commit_change(10));
    cluster.run(300);
    let leader = cluster.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    let term = cluster.replica(leader).term();
    let log_index = cluster.replica(follower).state().applied_index;
    let version = cluster.version(follower);
    let bytes = landingdrift::state::ClusterState::new("landingdrift").pack();
    let valid = install_request(term, log_index + 10, &bytes);
    let corrupt = InstallSnapshot {
        checksum: valid.checksum ^ 1,
        ..valid.clone()
    };
    let truncated = InstallSnapshot {
        total: valid.total + 1,
        ..valid.clone()
    };
    let outdated = InstallSnapshot {
        term: term - 1,
        ..valid.clone()
    };
    let not_a_state = install_request(term, log_index + 10, b"nothing");
    for (m, refused) in [
        (corrupt, true),
        (truncated, false),
        (outdated, true),
        (not_a_state, true),
    ] {
        cluster.deliver(follower, &name(leader), Body::InstallSnapshot(Box::new(m)));
        assert_eq!(last_snapshot_response(&cluster, follower).refused, refused);
        assert_eq!(cluster.replica(follower).state().applied_index, log_index);
    }
    assert_eq!(cluster.version(follower), version);
    assert_eq!(cluster.counter(follower, "snapshots_installed"), 0);
    cluster.commit_change(10);
    cluster.run(300);
    assert!(cluster.all_in_sync());
}

#[test]
fn a_late_snapshot_does_not_remove_acknowledged_entries() {
    let mut cluster = TestCluster::start(limits());
    (0..5).for_each(|_| cluster.commit_change(10));
    cluster.run(300);
    let leader = cluster.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    // Let the follower acknowledge entries that it does not know to be committed.
    let last = cluster.disks[follower].last();
    let durable_entries: Vec<_> = cluster.disks[follower].durable.entries.clone();
    let term = durable_entries.last().expect("entries").term;
    let mut next_entry = durable_entries.last().expect("entries").clone();
    let entries = [1, 2].map(|n| {
        next_entry.index = last + n;
        next_entry.clone()
    });
    let append = AppendRequest {
        term,
        prev_index: last,
        prev_term: term,
        commit: last,
        round: 1 << 40,
        entries: entries.to_vec(),
        witnesses: Vec::new(),
        clock: 0,
        may_leave: false,
        echo: None,
    };
    cluster.deliver(
        follower,
        &name(leader),
        Body::AppendRequest(Box::new(append)),
    );
    cluster.run(3);
    assert_eq!(cluster.disks[follower].last(), last + 2);
    let bytes = cluster.replica(follower).state().pack();
    let late_snapshot = install_request(term, last + 1, &bytes);
    cluster.deliver(
        follower,
        &name(leader),
        Body::InstallSnapshot(Box::new(late_snapshot)),
    );
    cluster.run(3);
    assert_eq!(
        cluster.disks[follower].last(),
        last + 2,
        "acknowledged entries must not be lost"
    );
    assert_eq!(cluster.counter(follower, "snapshots_installed"), 0);
}

#[test]
fn a_replica_that_crashes_during_an_install_never_leads_without_confirmed_entries() {
    for crash_after_ms in [1, 3, 8, 15, 25, 60] {
        let (mut cluster, leader, lagging) = start_with_lagging_replica();
        let confirmed = cluster.version(leader);
        cluster.start_replica(lagging);
        assert!(
            cluster.run_until(5000, |cluster| !install_requests(cluster, lagging)
                .is_empty())
        );
        cluster.run(crash_after_ms);
        let has_installed_snapshot =
            cluster.disks[lagging].last() >= cluster.replica(leader).state().applied_index;
        cluster.crash(lagging);
        cluster.crash(leader);
        cluster.start_replica(lagging);
        cluster.run(2000);
        let new_leader = cluster.leader();
        assert!(
            has_installed_snapshot || new_leader != Some(lagging),
            "a replica that crashed after {crash_after_ms} ms must not lead without confirmed entries: {:#?}",
            cluster.log_lines
        );
        assert!(new_leader.is_none_or(|l| cluster.version(l) >= confirmed));
        cluster.start_replica(leader);
        assert!(
            cluster.run_until(10_000, TestCluster::all_in_sync),
            "{:#?}",
            cluster.log_lines
        );
        assert_eq!(cluster.version(lagging), confirmed);
    }
}

#[test]
fn the_log_is_kept_for_a_replica_that_catches_up_during_changes() {
    let (mut cluster, leader, lagging) = start_with_lagging_replica();
    // Slow down the transfer by losing every other chunk, and commit changes during it.
    let chunks_sent = Rc::new(Cell::new(0));
    cluster.drops_message = Box::new(move |message: &SentMessage| {
        let is_chunk = matches!(&message.body, Body::InstallSnapshot(_));
        chunks_sent.set(chunks_sent.get() + u64::from(is_chunk));
        is_chunk && chunks_sent.get() % 2 == 1
    });
    cluster.start_replica(lagging);
    for _ in 0..100 {
        cluster.commit_change(200);
        cluster.run(100);
    }
    cluster.drops_message = Box::new(|_| false);
    cluster.run(1000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    let sent = install_requests(&cluster, lagging);
    let indexes: BTreeSet<u64> = sent.iter().map(|(_, m)| m.index).collect();
    assert_eq!(
        indexes.len(),
        1,
        "the snapshot must not be replaced during the transfer: {indexes:?}"
    );
    assert!(
        cluster.replica(leader).state().applied_index
            > 2 * SNAPSHOT_EVERY_ENTRIES + indexes.iter().sum::<u64>()
    );
}

#[test]
fn the_log_in_memory_is_bounded_in_bytes() {
    let mut cluster = TestCluster::start(Limits {
        log_bytes: 200_000,
        ..Limits::default()
    });
    let mut max_bytes = 0;
    for _ in 0..100 {
        cluster.commit_change(10_000);
        let bytes_in_memory = (0..3).map(|i| cluster.counter(i, "log_bytes_in_memory"));
        max_bytes = max_bytes.max(bytes_in_memory.max().unwrap_or(0));
    }
    assert!(max_bytes <= 330_000, "{max_bytes} bytes");
    assert!(cluster.counter(0, "snapshots") > 3);
}
