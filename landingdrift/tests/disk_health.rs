//! Replicas whose disks fail or hang for a while.

mod replicas;

use landingdrift::settings::Limits;
use landingdrift::wire::Body;
use replicas::{name, Behaviour, TestCluster};

/// Two election spans, and the time that others take to elect.
const HANDED_ON_MS: u64 = 2500;

fn strike(behaviour: Behaviour) -> (TestCluster, usize) {
    let mut cluster = TestCluster::start(Limits::default());
    cluster.commit_change(10);
    let struck = cluster.leader().expect("somebody leads");
    cluster.disks[struck].behaviour = behaviour;
    cluster.propose(struck, 10);
    (cluster, struck)
}

fn somebody_else_leads(cluster: &mut TestCluster, struck: usize) {
    let leadership_transfer =
        cluster.run_until(HANDED_ON_MS, |c| c.leader().is_some_and(|l| l != struck));
    assert!(leadership_transfer, "{:#?}", cluster.log_lines);
    cluster.commit_change(10);
}

fn comes_back(cluster: &mut TestCluster, struck: usize) {
    cluster.disks[struck].behaviour = Behaviour::Works;
    cluster.run(3000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    assert_eq!(cluster.exits, 0);
    let last = cluster.disks[struck].last();
    assert_eq!(
        last,
        cluster.replica(struck).state().applied_index,
        "all is on its disk"
    );
    let disk = cluster.get(struck, "/v1/status").body["disk"]["state"].clone();
    assert_eq!(disk, "sound");
}

#[test]
fn a_leader_whose_disk_refuses_hands_its_lead_on_and_comes_back() {
    let (mut cluster, struck) = strike(Behaviour::Fails);
    somebody_else_leads(&mut cluster, struck);
    let status = cluster.get(struck, "/v1/status").body;
    assert_eq!(status["disk"]["state"], "refusing", "{status}");
    assert_eq!(cluster.get(struck, "/ready").status, 503);
    cluster.run(2000);
    assert_eq!(cluster.counter(struck, "disk_refused"), 1);
    assert!(cluster.counter(struck, "disk_retries") >= 5);
    comes_back(&mut cluster, struck);
    cluster.commit_change(10);
}

#[test]
fn a_leader_whose_disk_hangs_hands_its_lead_on_and_comes_back() {
    let (mut cluster, struck) = strike(Behaviour::Hangs);
    somebody_else_leads(&mut cluster, struck);
    assert_eq!(cluster.counter(struck, "disk_stalled"), 1);
    comes_back(&mut cluster, struck);
    cluster.commit_change(10);
}

#[test]
fn a_core_whose_disk_refuses_takes_no_entries_and_gives_no_vote() {
    let (mut cluster, struck) = strike(Behaviour::Fails);
    somebody_else_leads(&mut cluster, struck);
    cluster.run(1000);
    let (since, waiting) = (cluster.now_ms, cluster.disks[struck].pending.len());
    (0..20).for_each(|_| cluster.commit_change(1000));
    assert!(
        cluster.disks[struck].pending.len() <= waiting + 1,
        "writes pile up: {}",
        cluster.disks[struck].pending.len()
    );
    let me = name(struck);
    let sent = cluster
        .sent
        .iter()
        .filter(|(t, c)| *t > since && c.from == me);
    sent.for_each(|(_, c)| match &c.body {
        Body::VoteResponse(v) => assert!(!v.granted),
        Body::VoteRequest(_) => panic!("it stands for election"),
        _ => {}
    });
    let heartbeats = cluster
        .sent
        .iter()
        .filter(|(t, c)| *t > since && c.to == me);
    let entries = heartbeats
        .filter(|(_, c)| matches!(&c.body, Body::AppendRequest(a) if !a.entries.is_empty()));
    assert_eq!(entries.count(), 0, "nothing is sent that can't be kept");
    comes_back(&mut cluster, struck);
}

#[test]
fn where_most_disks_refuse_nothing_is_confirmed_until_they_are_back() {
    let mut cluster = TestCluster::start(Limits::default());
    cluster.commit_change(10);
    let leader = cluster.leader().expect("somebody leads");
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let refuse = |cluster: &mut TestCluster, to: Behaviour| {
        others.iter().for_each(|i| cluster.disks[*i].behaviour = to);
    };
    refuse(&mut cluster, Behaviour::Fails);
    let token = cluster.propose(leader, 10);
    cluster.run(5000);
    assert!(!cluster.is_confirmed(token), "confirmed by one disk");
    refuse(&mut cluster, Behaviour::Works);
    assert!(cluster.run_until(5000, |c| c.leader().is_some()));
    cluster.run(1000);
    cluster.commit_change(10);
    cluster.run(1000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    assert_eq!(cluster.exits, 0);
}

#[test]
fn a_core_that_is_killed_while_its_disk_refuses_has_all_that_it_confirmed() {
    let (mut cluster, struck) = strike(Behaviour::Fails);
    somebody_else_leads(&mut cluster, struck);
    cluster.crash(struck);
    cluster.commit_change(10);
    cluster.disks[struck].behaviour = Behaviour::Works;
    cluster.start_replica(struck);
    cluster.run(4000);
    assert!(cluster.all_in_sync(), "{:#?}", cluster.log_lines);
    cluster.commit_change(10);
}
