//! Replicas whose disks fail or hang for a while.

mod replicas;

use landingdrift::settings::Limits;
use landingdrift::wire::Body;
use replicas::{name, Behaviour, TestCluster};

/// Two election timeouts, plus the time for the election of another leader.
const FAILOVER_MS: u64 = 2500;

fn start_with_faulty_leader_disk(behaviour: Behaviour) -> (TestCluster, usize) {
    let mut cluster = TestCluster::start(Limits::default());
    cluster.commit_change(10);
    let faulty = cluster.leader().expect("a leader");
    cluster.disks[faulty].behaviour = behaviour;
    cluster.propose(faulty, 10);
    (cluster, faulty)
}

fn expect_another_leader(cluster: &mut TestCluster, faulty: usize) {
    let has_failed_over = cluster.run_until(FAILOVER_MS, |cluster| {
        cluster.leader().is_some_and(|l| l != faulty)
    });
    assert!(has_failed_over, "{:#?}", cluster.log_lines);
    cluster.commit_change(10);
}

fn expect_recovery(cluster: &mut TestCluster, faulty: usize) {
    cluster.disks[faulty].behaviour = Behaviour::Works;
    cluster.run(3000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    assert_eq!(cluster.exits, 0);
    let last = cluster.disks[faulty].last();
    assert_eq!(
        last,
        cluster.replica(faulty).state().applied_index,
        "every applied entry must be on its disk"
    );
    let disk = cluster.get(faulty, "/v1/status").body["disk"]["state"].clone();
    assert_eq!(disk, "sound");
}

#[test]
fn a_leader_whose_disk_fails_transfers_leadership_and_recovers() {
    let (mut cluster, faulty) = start_with_faulty_leader_disk(Behaviour::Fails);
    expect_another_leader(&mut cluster, faulty);
    let status = cluster.get(faulty, "/v1/status").body;
    assert_eq!(status["disk"]["state"], "refusing", "{status}");
    assert_eq!(cluster.get(faulty, "/ready").status, 503);
    cluster.run(2000);
    assert_eq!(cluster.counter(faulty, "disk_refused"), 1);
    assert!(cluster.counter(faulty, "disk_retries") >= 5);
    expect_recovery(&mut cluster, faulty);
    cluster.commit_change(10);
}

#[test]
fn a_leader_whose_disk_hangs_transfers_leadership_and_recovers() {
    let (mut cluster, faulty) = start_with_faulty_leader_disk(Behaviour::Hangs);
    expect_another_leader(&mut cluster, faulty);
    assert_eq!(cluster.counter(faulty, "disk_stalled"), 1);
    expect_recovery(&mut cluster, faulty);
    cluster.commit_change(10);
}

#[test]
fn a_replica_whose_disk_fails_accepts_no_entries_and_grants_no_vote() {
    let (mut cluster, faulty) = start_with_faulty_leader_disk(Behaviour::Fails);
    expect_another_leader(&mut cluster, faulty);
    cluster.run(1000);
    let (since, pending_before) = (cluster.now_ms, cluster.disks[faulty].pending.len());
    (0..20).for_each(|_| cluster.commit_change(1000));
    assert!(
        cluster.disks[faulty].pending.len() <= pending_before + 1,
        "unconfirmed writes must not accumulate: {}",
        cluster.disks[faulty].pending.len()
    );
    let faulty_name = name(faulty);
    let sent = cluster
        .sent
        .iter()
        .filter(|(time, message)| *time > since && message.from == faulty_name);
    sent.for_each(|(_, message)| match &message.body {
        Body::VoteResponse(v) => assert!(!v.granted),
        Body::VoteRequest(_) => panic!("a replica whose disk fails must not request votes"),
        _ => {}
    });
    let heartbeats = cluster
        .sent
        .iter()
        .filter(|(time, message)| *time > since && message.to == faulty_name);
    let entries = heartbeats.filter(
        |(_, message)| matches!(&message.body, Body::AppendRequest(a) if !a.entries.is_empty()),
    );
    assert_eq!(
        entries.count(),
        0,
        "no entries must be sent to a replica whose disk fails"
    );
    expect_recovery(&mut cluster, faulty);
}

#[test]
fn nothing_is_confirmed_while_a_majority_of_disks_fails() {
    let mut cluster = TestCluster::start(Limits::default());
    cluster.commit_change(10);
    let leader = cluster.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let set_behaviour = |cluster: &mut TestCluster, behaviour: Behaviour| {
        others
            .iter()
            .for_each(|i| cluster.disks[*i].behaviour = behaviour);
    };
    set_behaviour(&mut cluster, Behaviour::Fails);
    let token = cluster.propose(leader, 10);
    cluster.run(5000);
    assert!(
        !cluster.is_confirmed(token),
        "a proposal must not be confirmed while only one disk works"
    );
    set_behaviour(&mut cluster, Behaviour::Works);
    assert!(cluster.run_until(5000, |cluster| cluster.leader().is_some()));
    cluster.run(1000);
    cluster.commit_change(10);
    cluster.run(1000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    assert_eq!(cluster.exits, 0);
}

#[test]
fn a_replica_that_crashes_while_its_disk_fails_keeps_all_confirmed_entries() {
    let (mut cluster, faulty) = start_with_faulty_leader_disk(Behaviour::Fails);
    expect_another_leader(&mut cluster, faulty);
    cluster.crash(faulty);
    cluster.commit_change(10);
    cluster.disks[faulty].behaviour = Behaviour::Works;
    cluster.start_replica(faulty);
    cluster.run(4000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    cluster.commit_change(10);
}
