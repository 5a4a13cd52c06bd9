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

fn installs(cluster: &TestCluster, to: usize) -> Vec<(u64, InstallSnapshot)> {
    let of = cluster.sent.iter().filter(|(_, c)| c.to == name(to));
    of.filter_map(|(t, c)| match &c.body {
        Body::InstallSnapshot(m) => Some((*t, (**m).clone())),
        _ => None,
    })
    .collect()
}

fn heartbeats(cluster: &TestCluster, to: usize) -> Vec<u64> {
    let of = cluster.sent.iter().filter(|(_, c)| c.to == name(to));
    of.filter_map(|(t, c)| matches!(&c.body, Body::AppendRequest(_)).then_some(*t))
        .collect()
}

fn expect_catch_up(cluster: &mut TestCluster, behind: usize) {
    let caught_up = cluster.run_until(10_000, TestCluster::all_in_sync);
    assert!(caught_up, "{:#?}", cluster.log_lines);
    assert!(cluster.counter(behind, "snapshots_installed") >= 1);
    cluster.run(200);
    let last = cluster.disks[behind].last();
    assert_eq!(
        last,
        cluster.replica(behind).state().applied_index,
        "every applied entry is on its disk"
    );
}

#[test]
fn a_replica_far_behind_is_sent_each_chunk_once_and_heartbeats_meanwhile() {
    let (mut cluster, leader, behind) = start_with_lagging_replica();
    cluster.start_replica(behind);
    let since = cluster.now_ms;
    expect_catch_up(&mut cluster, behind);
    let sent = installs(&cluster, behind);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    let total = sent[0].1.total as usize;
    assert!(total > 3 * CHUNK_BYTES, "{total} bytes");
    let want: Vec<u64> = (0..total.div_ceil(CHUNK_BYTES))
        .map(|n| (n * CHUNK_BYTES) as u64)
        .collect();
    assert_eq!(offsets, want);
    assert!(sent.iter().all(|(_, m)| m.snapshot.len() <= CHUNK_BYTES));
    assert_eq!(cluster.counter(leader, "snapshots_sent"), 1);
    assert_eq!(cluster.counter(leader, "snapshot_chunks_repeated"), 0);
    let first_heartbeat = heartbeats(&cluster, behind)[0];
    assert!(
        first_heartbeat <= since + 200,
        "heartbeats must not wait for the snapshot"
    );
}

#[test]
fn an_unacknowledged_chunk_does_not_delay_heartbeats() {
    let (mut cluster, leader, behind) = start_with_lagging_replica();
    let me = name(behind);
    cluster.drops_message = Box::new(move |c: &SentMessage| {
        c.from == me && matches!(&c.body, Body::InstallSnapshotResponse(_))
    });
    cluster.start_replica(behind);
    cluster.run(4000);
    let sent = installs(&cluster, behind);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    assert!(offsets.iter().all(|o| *o == 0), "{offsets:?}");
    assert!((2..=12).contains(&offsets.len()), "{offsets:?}");
    let heartbeat_times = heartbeats(&cluster, behind);
    let gaps = heartbeat_times.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.max().is_some_and(|g| g <= 200), "{heartbeat_times:?}");
    assert_eq!(cluster.leader(), Some(leader), "no election takes place");
    cluster.drops_message = Box::new(|_| false);
    expect_catch_up(&mut cluster, behind);
}

#[test]
fn lost_chunks_are_resent_and_the_snapshot_is_installed_once() {
    let (mut cluster, _, behind) = start_with_lagging_replica();
    let seen = Rc::new(Cell::new(0));
    cluster.drops_message = Box::new(move |c: &SentMessage| {
        let chunk = matches!(&c.body, Body::InstallSnapshot(_));
        seen.set(seen.get() + u64::from(chunk));
        chunk && seen.get().is_multiple_of(3)
    });
    cluster.start_replica(behind);
    expect_catch_up(&mut cluster, behind);
    assert_eq!(cluster.counter(behind, "snapshots_installed"), 1);
    assert_eq!(cluster.counter(behind, "snapshots_refused"), 0);
}

#[test]
fn another_leader_continues_when_the_sender_crashes() {
    let (mut cluster, leader, behind) = start_with_lagging_replica();
    cluster.start_replica(behind);
    assert!(cluster.run_until(5000, |cluster| installs(cluster, behind).len() >= 2));
    assert_eq!(cluster.counter(behind, "snapshots_installed"), 0);
    cluster.crash(leader);
    let has_new_leader = cluster.run_until(10_000, |cluster| {
        cluster.leader().is_some_and(|l| l != leader)
    });
    assert!(has_new_leader, "{:#?}", cluster.log_lines);
    assert_ne!(
        cluster.leader(),
        Some(behind),
        "a replica that lacks confirmed entries leads"
    );
    cluster.run(3000);
    cluster.start_replica(leader);
    expect_catch_up(&mut cluster, behind);
}

#[test]
fn the_next_leader_resumes_the_transfer_of_the_same_snapshot() {
    let snapshot = ChunkedSnapshot::new(7, 2, vec![9; 3 * CHUNK_BYTES]);
    let of = snapshot.identity();
    let mut assembly = SnapshotAssembly::default();
    assert_eq!(
        assembly.add_chunk(of, 0, snapshot.chunk(0)),
        ChunkOutcome::Incomplete
    );
    // The next leader starts with the first chunk, and is told how many bytes the receiver has.
    assert_eq!(
        assembly.add_chunk(of, 0, snapshot.chunk(0)),
        ChunkOutcome::Incomplete
    );
    assert_eq!(assembly.received(), CHUNK_BYTES as u64);
    let rest = [1, 2].map(|n| n * CHUNK_BYTES as u64);
    assert_eq!(
        assembly.add_chunk(of, rest[0], snapshot.chunk(rest[0])),
        ChunkOutcome::Incomplete
    );
    let whole = assembly.add_chunk(of, rest[1], snapshot.chunk(rest[1]));
    assert_eq!(whole, ChunkOutcome::Complete(vec![9; 3 * CHUNK_BYTES]));
    assert_eq!(assembly.received(), 0);
}

/// A whole snapshot in one chunk, as sent by the leader of `term`.
fn install(term: u64, index: u64, bytes: &[u8]) -> InstallSnapshot {
    let of = ChunkedSnapshot::new(index, term, bytes.to_vec()).identity();
    InstallSnapshot {
        term,
        round: 1,
        index,
        index_term: term,
        snapshot: bytes.to_vec(),
        offset: 0,
        total: of.total,
        checksum: of.checksum,
    }
}

fn last_snapshot_response(cluster: &TestCluster, from: usize) -> InstallSnapshotResponse {
    let mut of = cluster
        .sent
        .iter()
        .rev()
        .filter(|(_, c)| c.from == name(from));
    let found = of.find_map(|(_, c)| match &c.body {
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
    let to = (leader + 1) % 3;
    let term = cluster.replica(leader).term();
    let log_index = cluster.replica(to).state().applied_index;
    let version = cluster.version(to);
    let bytes = landingdrift::state::ClusterState::new("landingdrift").pack();
    let good = install(term, log_index + 10, &bytes);
    let corrupt = InstallSnapshot {
        checksum: good.checksum ^ 1,
        ..good.clone()
    };
    let truncated = InstallSnapshot {
        total: good.total + 1,
        ..good.clone()
    };
    let outdated = InstallSnapshot {
        term: term - 1,
        ..good.clone()
    };
    let not_a_state = install(term, log_index + 10, b"nothing");
    for (m, refused) in [
        (corrupt, true),
        (truncated, false),
        (outdated, true),
        (not_a_state, true),
    ] {
        cluster.deliver(to, &name(leader), Body::InstallSnapshot(Box::new(m)));
        assert_eq!(last_snapshot_response(&cluster, to).refused, refused);
        assert_eq!(cluster.replica(to).state().applied_index, log_index);
    }
    assert_eq!(cluster.version(to), version);
    assert_eq!(cluster.counter(to, "snapshots_installed"), 0);
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
    let to = (leader + 1) % 3;
    // Entries that this replica has acknowledged, but does not know to be committed.
    let last = cluster.disks[to].last();
    let tail: Vec<_> = cluster.disks[to].durable.entries.clone();
    let term = tail.last().expect("entries").term;
    let mut more = tail.last().expect("entries").clone();
    let entries = [1, 2].map(|n| {
        more.index = last + n;
        more.clone()
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
    };
    cluster.deliver(to, &name(leader), Body::AppendRequest(Box::new(append)));
    cluster.run(3);
    assert_eq!(cluster.disks[to].last(), last + 2);
    let bytes = cluster.replica(to).state().pack();
    let late_snapshot = install(term, last + 1, &bytes);
    cluster.deliver(
        to,
        &name(leader),
        Body::InstallSnapshot(Box::new(late_snapshot)),
    );
    cluster.run(3);
    assert_eq!(
        cluster.disks[to].last(),
        last + 2,
        "acknowledged entries are lost"
    );
    assert_eq!(cluster.counter(to, "snapshots_installed"), 0);
}

#[test]
fn a_replica_that_crashes_during_an_install_never_leads_without_confirmed_entries() {
    for at in [1, 3, 8, 15, 25, 60] {
        let (mut cluster, leader, behind) = start_with_lagging_replica();
        let confirmed = cluster.version(leader);
        cluster.start_replica(behind);
        assert!(cluster.run_until(5000, |cluster| !installs(cluster, behind).is_empty()));
        cluster.run(at);
        let whole = cluster.disks[behind].last() >= cluster.replica(leader).state().applied_index;
        cluster.crash(behind);
        cluster.crash(leader);
        cluster.start_replica(behind);
        cluster.run(2000);
        let leader_now = cluster.leader();
        assert!(
            whole || leader_now != Some(behind),
            "killed after {at} ms: {:#?}",
            cluster.log_lines
        );
        assert!(leader_now.is_none_or(|l| cluster.version(l) >= confirmed));
        cluster.start_replica(leader);
        assert!(
            cluster.run_until(10_000, TestCluster::all_in_sync),
            "{:#?}",
            cluster.log_lines
        );
        assert_eq!(cluster.version(behind), confirmed);
    }
}

#[test]
fn the_log_is_kept_for_a_replica_that_catches_up_during_changes() {
    let (mut cluster, leader, behind) = start_with_lagging_replica();
    // As on a narrow link, the transfer is slow (every other chunk is lost), and a change is committed with each chunk.
    let seen = Rc::new(Cell::new(0));
    cluster.drops_message = Box::new(move |c: &SentMessage| {
        let chunk = matches!(&c.body, Body::InstallSnapshot(_));
        seen.set(seen.get() + u64::from(chunk));
        chunk && seen.get() % 2 == 1
    });
    cluster.start_replica(behind);
    for _ in 0..100 {
        cluster.commit_change(200);
        cluster.run(100);
    }
    cluster.drops_message = Box::new(|_| false);
    cluster.run(1000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    let sent = installs(&cluster, behind);
    let indexes: BTreeSet<u64> = sent.iter().map(|(_, m)| m.index).collect();
    assert_eq!(
        indexes.len(),
        1,
        "the snapshot was replaced during the transfer: {indexes:?}"
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
