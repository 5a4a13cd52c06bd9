//! Snapshots between replicas: in chunks, whole or not at all, and never less than was confirmed.

mod replicas;

use landingdrift::settings::Limits;
use landingdrift::snapshot_chunks::{ChunkOutcome, ChunkedSnapshot, SnapshotAssembly, CHUNK_BYTES};
use landingdrift::wire::{AppendRequest, Body, InstallSnapshot, InstallSnapshotResponse};
use replicas::behind::{limits, one_behind, EVERY};
use replicas::{name, Carried, Cores};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

fn installs(all: &Cores, to: usize) -> Vec<(u64, InstallSnapshot)> {
    let of = all.sent.iter().filter(|(_, c)| c.to == name(to));
    of.filter_map(|(t, c)| match &c.body {
        Body::InstallSnapshot(m) => Some((*t, (**m).clone())),
        _ => None,
    })
    .collect()
}

fn heartbeats(all: &Cores, to: usize) -> Vec<u64> {
    let of = all.sent.iter().filter(|(_, c)| c.to == name(to));
    of.filter_map(|(t, c)| matches!(&c.body, Body::AppendRequest(_)).then_some(*t))
        .collect()
}

fn catches_up(all: &mut Cores, behind: usize) {
    let caught_up = all.until(10_000, Cores::all_alike);
    assert!(caught_up, "{:#?}", all.lines);
    assert!(all.counter(behind, "snapshots_installed") >= 1);
    all.run(200);
    let last = all.disks[behind].last();
    assert_eq!(
        last,
        all.replica(behind).state().applied_index,
        "all is on its disk"
    );
}

#[test]
fn a_core_that_is_far_behind_gets_each_chunk_once_beside_heartbeats() {
    let (mut all, leader, behind) = one_behind();
    all.boot(behind);
    let since = all.t;
    catches_up(&mut all, behind);
    let sent = installs(&all, behind);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    let total = sent[0].1.total as usize;
    assert!(total > 3 * CHUNK_BYTES, "{total} bytes");
    let want: Vec<u64> = (0..total.div_ceil(CHUNK_BYTES))
        .map(|n| (n * CHUNK_BYTES) as u64)
        .collect();
    assert_eq!(offsets, want);
    assert!(sent.iter().all(|(_, m)| m.snapshot.len() <= CHUNK_BYTES));
    assert_eq!(all.counter(leader, "snapshots_sent"), 1);
    assert_eq!(all.counter(leader, "snapshot_chunks_repeated"), 0);
    let first_beat = heartbeats(&all, behind)[0];
    assert!(first_beat <= since + 200, "its heartbeats go on");
}

#[test]
fn a_snapshot_waits_for_its_acknowledgement_and_heartbeats_do_not() {
    let (mut all, leader, behind) = one_behind();
    let me = name(behind);
    all.loses = Box::new(move |c: &Carried| {
        c.from == me && matches!(&c.body, Body::InstallSnapshotResponse(_))
    });
    all.boot(behind);
    all.run(4000);
    let sent = installs(&all, behind);
    let offsets: Vec<u64> = sent.iter().map(|(_, m)| m.offset).collect();
    assert!(offsets.iter().all(|o| *o == 0), "{offsets:?}");
    assert!((2..=12).contains(&offsets.len()), "{offsets:?}");
    let beaten = heartbeats(&all, behind);
    let gaps = beaten.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.max().is_some_and(|g| g <= 200), "{beaten:?}");
    assert_eq!(all.leader(), Some(leader), "nobody stands for election");
    all.loses = Box::new(|_| false);
    catches_up(&mut all, behind);
}

#[test]
fn lost_chunks_are_sent_again_and_nothing_else() {
    let (mut all, _, behind) = one_behind();
    let seen = Rc::new(Cell::new(0));
    all.loses = Box::new(move |c: &Carried| {
        let chunk = matches!(&c.body, Body::InstallSnapshot(_));
        seen.set(seen.get() + u64::from(chunk));
        chunk && seen.get().is_multiple_of(3)
    });
    all.boot(behind);
    catches_up(&mut all, behind);
    assert_eq!(all.counter(behind, "snapshots_installed"), 1);
    assert_eq!(all.counter(behind, "snapshots_refused"), 0);
}

#[test]
fn a_sender_that_dies_in_the_middle_is_followed_by_another() {
    let (mut all, leader, behind) = one_behind();
    all.boot(behind);
    assert!(all.until(5000, |c| installs(c, behind).len() >= 2));
    assert_eq!(all.counter(behind, "snapshots_installed"), 0);
    all.kill(leader);
    let led = all.until(10_000, |c| c.leader().is_some_and(|l| l != leader));
    assert!(led, "{:#?}", all.lines);
    assert_ne!(all.leader(), Some(behind), "it has less than was confirmed");
    all.run(3000);
    all.boot(leader);
    catches_up(&mut all, behind);
}

#[test]
fn the_next_leader_goes_on_where_the_same_snapshot_stopped() {
    let snapshot = ChunkedSnapshot::new(7, 2, vec![9; 3 * CHUNK_BYTES]);
    let of = snapshot.identity();
    let mut assembly = SnapshotAssembly::default();
    assert_eq!(
        assembly.add_chunk(of, 0, snapshot.chunk(0)),
        ChunkOutcome::Incomplete
    );
    // The next one begins at the beginning, and is told how much is there.
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

/// An installation as the leader of a term would send it.
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

fn last_verdict(all: &Cores, from: usize) -> InstallSnapshotResponse {
    let mut of = all.sent.iter().rev().filter(|(_, c)| c.from == name(from));
    let found = of.find_map(|(_, c)| match &c.body {
        Body::InstallSnapshotResponse(m) => Some((**m).clone()),
        _ => None,
    });
    found.expect("a verdict")
}

#[test]
fn a_spoilt_a_cut_and_an_outdated_snapshot_change_nothing() {
    let mut all = Cores::start(limits());
    (0..5).for_each(|_| all.change(10));
    all.run(300);
    let leader = all.leader().expect("somebody leads");
    let to = (leader + 1) % 3;
    let term = all.replica(leader).term();
    let log_index = all.replica(to).state().applied_index;
    let version = all.version(to);
    let bytes = landingdrift::state::ClusterState::new("landingdrift").pack();
    let good = install(term, log_index + 10, &bytes);
    let spoilt = InstallSnapshot {
        checksum: good.checksum ^ 1,
        ..good.clone()
    };
    let cut = InstallSnapshot {
        total: good.total + 1,
        ..good.clone()
    };
    let outdated = InstallSnapshot {
        term: term - 1,
        ..good.clone()
    };
    let no_record = install(term, log_index + 10, b"nothing");
    for (m, refused) in [
        (spoilt, true),
        (cut, false),
        (outdated, true),
        (no_record, true),
    ] {
        all.tell(to, &name(leader), Body::InstallSnapshot(Box::new(m)));
        assert_eq!(last_verdict(&all, to).refused, refused);
        assert_eq!(all.replica(to).state().applied_index, log_index);
    }
    assert_eq!(all.version(to), version);
    assert_eq!(all.counter(to, "snapshots_installed"), 0);
    all.change(10);
    all.run(300);
    assert!(all.all_alike());
}

#[test]
fn a_late_snapshot_takes_nothing_away_that_was_confirmed() {
    let mut all = Cores::start(limits());
    (0..5).for_each(|_| all.change(10));
    all.run(300);
    let leader = all.leader().expect("somebody leads");
    let to = (leader + 1) % 3;
    // Entries that this replica has confirmed and does not know to be committed.
    let last = all.disks[to].last();
    let tail: Vec<_> = all.disks[to].durable.entries.clone();
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
    all.tell(to, &name(leader), Body::AppendRequest(Box::new(append)));
    all.run(3);
    assert_eq!(all.disks[to].last(), last + 2);
    let bytes = all.replica(to).state().pack();
    let late = install(term, last + 1, &bytes);
    all.tell(to, &name(leader), Body::InstallSnapshot(Box::new(late)));
    all.run(3);
    assert_eq!(all.disks[to].last(), last + 2, "what it confirmed is gone");
    assert_eq!(all.counter(to, "snapshots_installed"), 0);
}

#[test]
fn a_core_killed_while_it_installs_never_leads_with_less_than_it_confirmed() {
    for at in [1, 3, 8, 15, 25, 60] {
        let (mut all, leader, behind) = one_behind();
        let confirmed = all.version(leader);
        all.boot(behind);
        assert!(all.until(5000, |c| !installs(c, behind).is_empty()));
        all.run(at);
        let whole = all.disks[behind].last() >= all.replica(leader).state().applied_index;
        all.kill(behind);
        all.kill(leader);
        all.boot(behind);
        all.run(2000);
        let lead = all.leader();
        assert!(
            whole || lead != Some(behind),
            "killed after {at} ms: {:#?}",
            all.lines
        );
        assert!(lead.is_none_or(|l| all.version(l) >= confirmed));
        all.boot(leader);
        assert!(all.until(10_000, Cores::all_alike), "{:#?}", all.lines);
        assert_eq!(all.version(behind), confirmed);
    }
}

#[test]
fn the_log_is_kept_for_a_core_that_catches_up_while_changes_go_on() {
    let (mut all, leader, behind) = one_behind();
    // A narrow link: every chunk takes its time, and a change comes with each.
    let seen = Rc::new(Cell::new(0));
    all.loses = Box::new(move |c: &Carried| {
        let chunk = matches!(&c.body, Body::InstallSnapshot(_));
        seen.set(seen.get() + u64::from(chunk));
        chunk && seen.get() % 2 == 1
    });
    all.boot(behind);
    for _ in 0..100 {
        all.change(200);
        all.run(100);
    }
    all.loses = Box::new(|_| false);
    all.run(1000);
    assert!(all.all_alike(), "{:#?}", all.lines);
    let sent = installs(&all, behind);
    let places: BTreeSet<u64> = sent.iter().map(|(_, m)| m.index).collect();
    assert_eq!(places.len(), 1, "it chased the tail: {places:?}");
    assert!(all.replica(leader).state().applied_index > 2 * EVERY + places.iter().sum::<u64>());
}

#[test]
fn the_log_in_memory_is_bounded_in_bytes() {
    let mut all = Cores::start(Limits {
        log_bytes: 200_000,
        ..Limits::default()
    });
    let mut most = 0;
    for _ in 0..100 {
        all.change(10_000);
        let held = (0..3).map(|i| all.counter(i, "log_bytes_in_memory"));
        most = most.max(held.max().unwrap_or(0));
    }
    assert!(most <= 330_000, "{most} bytes");
    assert!(all.counter(0, "snapshots") > 3);
}
