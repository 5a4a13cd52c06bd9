//! Cores whose disks refuse or hang for a while.

mod replicas;

use landingdrift::settings::Limits;
use landingdrift::wire::Body;
use replicas::{name, Behaviour, Cores};

/// Two election spans, and the time that others take to elect.
const HANDED_ON_MS: u64 = 2500;

fn strike(behaviour: Behaviour) -> (Cores, usize) {
    let mut all = Cores::start(Limits::default());
    all.change(10);
    let struck = all.leader().expect("somebody leads");
    all.disks[struck].behaviour = behaviour;
    all.propose(struck, 10);
    (all, struck)
}

fn somebody_else_leads(all: &mut Cores, struck: usize) {
    let leadership_transfer = all.until(HANDED_ON_MS, |c| c.leader().is_some_and(|l| l != struck));
    assert!(leadership_transfer, "{:#?}", all.lines);
    all.change(10);
}

fn comes_back(all: &mut Cores, struck: usize) {
    all.disks[struck].behaviour = Behaviour::Sound;
    all.run(3000);
    assert!(all.all_alike(), "{:#?}", all.lines);
    assert_eq!(all.exits, 0);
    let last = all.disks[struck].last();
    assert_eq!(
        last,
        all.replica(struck).state().applied_index,
        "all is on its disk"
    );
    let disk = all.ask(struck, "/v1/status").body["disk"]["state"].clone();
    assert_eq!(disk, "sound");
}

#[test]
fn a_leader_whose_disk_refuses_hands_its_lead_on_and_comes_back() {
    let (mut all, struck) = strike(Behaviour::Refuses);
    somebody_else_leads(&mut all, struck);
    let status = all.ask(struck, "/v1/status").body;
    assert_eq!(status["disk"]["state"], "refusing", "{status}");
    assert_eq!(all.ask(struck, "/ready").status, 503);
    all.run(2000);
    assert_eq!(all.counter(struck, "disk_refused"), 1);
    assert!(all.counter(struck, "disk_retries") >= 5);
    comes_back(&mut all, struck);
    all.change(10);
}

#[test]
fn a_leader_whose_disk_hangs_hands_its_lead_on_and_comes_back() {
    let (mut all, struck) = strike(Behaviour::Hangs);
    somebody_else_leads(&mut all, struck);
    assert_eq!(all.counter(struck, "disk_stalled"), 1);
    comes_back(&mut all, struck);
    all.change(10);
}

#[test]
fn a_core_whose_disk_refuses_takes_no_entries_and_gives_no_vote() {
    let (mut all, struck) = strike(Behaviour::Refuses);
    somebody_else_leads(&mut all, struck);
    all.run(1000);
    let (since, waiting) = (all.t, all.disks[struck].pending.len());
    (0..20).for_each(|_| all.change(1000));
    assert!(
        all.disks[struck].pending.len() <= waiting + 1,
        "writes pile up: {}",
        all.disks[struck].pending.len()
    );
    let me = name(struck);
    let sent = all.sent.iter().filter(|(t, c)| *t > since && c.from == me);
    sent.for_each(|(_, c)| match &c.body {
        Body::VoteResponse(v) => assert!(!v.granted),
        Body::VoteRequest(_) => panic!("it stands for election"),
        _ => {}
    });
    let heartbeats = all.sent.iter().filter(|(t, c)| *t > since && c.to == me);
    let entries = heartbeats
        .filter(|(_, c)| matches!(&c.body, Body::AppendRequest(a) if !a.entries.is_empty()));
    assert_eq!(entries.count(), 0, "nothing is sent that can't be kept");
    comes_back(&mut all, struck);
}

#[test]
fn where_most_disks_refuse_nothing_is_confirmed_until_they_are_back() {
    let mut all = Cores::start(Limits::default());
    all.change(10);
    let leader = all.leader().expect("somebody leads");
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let refuse = |all: &mut Cores, to: Behaviour| {
        others.iter().for_each(|i| all.disks[*i].behaviour = to);
    };
    refuse(&mut all, Behaviour::Refuses);
    let token = all.propose(leader, 10);
    all.run(5000);
    assert!(!all.confirmed(token), "confirmed by one disk");
    refuse(&mut all, Behaviour::Sound);
    assert!(all.until(5000, |c| c.leader().is_some()));
    all.run(1000);
    all.change(10);
    all.run(1000);
    assert!(all.all_alike(), "{:#?}", all.lines);
    assert_eq!(all.exits, 0);
}

#[test]
fn a_core_that_is_killed_while_its_disk_refuses_has_all_that_it_confirmed() {
    let (mut all, struck) = strike(Behaviour::Refuses);
    somebody_else_leads(&mut all, struck);
    all.kill(struck);
    all.change(10);
    all.disks[struck].behaviour = Behaviour::Sound;
    all.boot(struck);
    all.run(4000);
    assert!(all.all_alike(), "{:#?}", all.lines);
    all.change(10);
}
