//! The pure reconciler of the membership, step by step.

use landingdrift::consensus::membership::{
    Health, JoinRequest, MemberStatus, MembershipChange, MembershipView, Resilience,
};
use landingdrift::state::ReplicaMember;
use std::collections::BTreeMap;

/// A cluster as its leader sees it; changes are carried out at once.
struct Cluster {
    target: usize,
    members: BTreeMap<String, ReplicaMember>,
    observed: BTreeMap<String, MemberStatus>,
    requests: BTreeMap<String, JoinRequest>,
}

const LEADER: &str = "a";

fn observed(health: Health) -> MemberStatus {
    MemberStatus {
        health,
        caught_up: health == Health::Reachable,
        long_unreachable: false,
    }
}

impl Cluster {
    /// Voters and standbys as (address, zone); the first voter leads.
    fn new(target: usize, voters: &[(&str, &str)], standbys: &[(&str, &str)]) -> Self {
        let mut cluster = Self {
            target,
            members: BTreeMap::new(),
            observed: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        voters.iter().for_each(|(a, z)| cluster.add(a, z, true));
        standbys.iter().for_each(|(a, z)| cluster.add(a, z, false));
        cluster
    }

    fn add(&mut self, address: &str, zone: &str, voter: bool) {
        let member = ReplicaMember {
            voter,
            disk: u64::from(address.as_bytes()[0]),
            zone: zone.into(),
            standby_only: false,
        };
        self.members.insert(address.into(), member);
        self.see(address, Health::Reachable);
    }

    fn see(&mut self, address: &str, health: Health) {
        if address != LEADER {
            self.observed.insert(address.into(), observed(health));
        }
    }

    fn view(&self) -> MembershipView<'_> {
        MembershipView {
            leader: LEADER,
            target_voters: self.target,
            members: &self.members,
            observed: &self.observed,
            requests: &self.requests,
        }
    }

    fn resilience(&self) -> Resilience {
        self.view().resilience()
    }

    fn voters(&self) -> Vec<&str> {
        let voters = self.members.iter().filter(|(_, m)| m.voter);
        voters.map(|(address, _)| address.as_str()).collect()
    }

    /// Carries out changes until none is due; says which were made.
    fn settle(&mut self) -> Vec<MembershipChange> {
        let mut made = Vec::new();
        while let Some(change) = self.view().next_change() {
            assert!(made.len() < 32, "the changes go round in circles: {made:?}");
            self.carry_out(&change);
            made.push(change);
        }
        made
    }

    fn carry_out(&mut self, change: &MembershipChange) {
        match change {
            MembershipChange::Admit(address, request) => {
                self.add(address, &request.zone, false);
                self.members.get_mut(address).expect("admitted").disk = request.disk;
            }
            MembershipChange::Promote(address) => {
                self.members.get_mut(address).expect("a member").voter = true;
            }
            MembershipChange::Demote(address) => {
                self.members.get_mut(address).expect("a member").voter = false;
            }
            MembershipChange::Remove(address) => {
                self.members.remove(address);
                self.observed.remove(address);
            }
        }
    }

    fn request(&mut self, address: &str, disk: u64, zone: &str) {
        let request = JoinRequest {
            disk,
            zone: zone.into(),
            standby_only: false,
        };
        self.requests.insert(address.into(), request);
    }
}

const THREE: [(&str, &str); 3] = [("a", "z0"), ("b", "z1"), ("c", "z2")];

#[test]
fn a_planned_replacement_leaves_as_many_voters_as_before() {
    let mut cluster = Cluster::new(3, &THREE, &[]);
    cluster.request("d", 40, "z2");
    cluster.settle();
    assert_eq!(
        cluster.voters(),
        ["a", "b", "c"],
        "a newcomer only stands by"
    );
    cluster.see("c", Health::Leaving);
    cluster.settle();
    assert_eq!(cluster.voters(), ["a", "b", "d"]);
    cluster.see("c", Health::Unreachable);
    cluster.settle();
    assert_eq!(cluster.resilience().machine_losses_left, 1);
}

#[test]
fn three_planned_replacements_and_a_lost_zone_leave_a_majority() {
    let mut cluster = Cluster::new(3, &THREE, &[]);
    for (newcomer, old, zone) in [("d", "c", "z2"), ("e", "b", "z1"), ("f", "d", "z2")] {
        cluster.request(newcomer, u64::from(newcomer.as_bytes()[0]), zone);
        cluster.settle();
        cluster.see(old, Health::Leaving);
        cluster.settle();
        cluster.see(old, Health::Unreachable);
        cluster.settle();
    }
    assert_eq!(cluster.voters(), ["a", "e", "f"]);
    assert!(cluster.resilience().zone_loss_survivable);
}

#[test]
fn four_voters_of_which_one_is_dead_become_three() {
    let four = [THREE[0], THREE[1], THREE[2], ("d", "z0")];
    let mut cluster = Cluster::new(5, &four, &[]);
    cluster.see("c", Health::Unreachable);
    assert_eq!(cluster.resilience().machine_losses_left, 0);
    cluster.settle();
    assert_eq!(cluster.voters(), ["a", "b", "d"]);
    assert_eq!(cluster.resilience().machine_losses_left, 1);
}

#[test]
fn three_voters_of_which_one_is_dead_stay_three_until_a_standby_is_there() {
    let mut cluster = Cluster::new(3, &THREE, &[]);
    cluster.see("b", Health::Unreachable);
    assert_eq!(cluster.settle(), []);
    cluster.request("d", 40, "z1");
    cluster.settle();
    assert_eq!(cluster.voters(), ["a", "c", "d"]);
}

#[test]
fn five_voters_keep_three_disks_for_each_commit_when_two_are_dead() {
    let five = [
        ("a", "z0"),
        ("b", "z0"),
        ("c", "z1"),
        ("d", "z1"),
        ("e", "z2"),
    ];
    let mut cluster = Cluster::new(5, &five, &[]);
    cluster.see("c", Health::Unreachable);
    cluster.see("d", Health::Unreachable);
    assert_eq!(
        cluster.settle(),
        [],
        "fewer voters would confirm on two disks"
    );
}

#[test]
fn another_disk_at_a_member_address_is_a_newcomer() {
    let mut cluster = Cluster::new(3, &THREE, &[]);
    cluster.see("b", Health::Replaced);
    cluster.request("b", 77, "z1");
    let made = cluster.settle();
    assert_eq!(made[0], MembershipChange::Remove("b".into()));
    assert!(matches!(&made[1], MembershipChange::Admit(a, r) if a == "b" && r.disk == 77));
    assert_eq!(cluster.voters(), ["a", "b", "c"]);
    assert_eq!(cluster.members["b"].disk, 77);
}

#[test]
fn a_copy_of_a_disk_that_answers_elsewhere_is_not_admitted() {
    let mut cluster = Cluster::new(3, &THREE, &[]);
    let disk_of_b = cluster.members["b"].disk;
    cluster.request("x", disk_of_b, "z1");
    assert_eq!(cluster.settle(), []);
    cluster.see("b", Health::Unreachable);
    cluster.settle();
    assert!(cluster.members.contains_key("x"), "the disk has moved");
}

#[test]
fn voters_grow_by_two_and_spread_over_the_zones() {
    let standbys = [("d", "z0"), ("e", "z1"), ("f", "z2")];
    let mut cluster = Cluster::new(5, &THREE, &standbys[..1]);
    assert_eq!(cluster.settle(), [], "four voters bear no more than three");
    cluster.add("e", "z1", false);
    cluster.settle();
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "e"]);
    assert!(cluster.resilience().zone_loss_survivable);
    assert_eq!(cluster.resilience().machine_losses_left, 2);
}

#[test]
fn crowded_zones_are_thinned_out_without_going_round_in_circles() {
    let crowded = [("a", "z0"), ("b", "z0"), ("c", "z0")];
    let standbys = [("d", "z1"), ("e", "z2")];
    let mut cluster = Cluster::new(3, &crowded, &standbys);
    assert!(!cluster.resilience().zone_loss_survivable);
    cluster.settle();
    assert!(cluster.resilience().zone_loss_survivable);
    assert_eq!(cluster.voters().len(), 3);
}

#[test]
fn too_few_zones_are_told_and_too_many_voters_are_demoted() {
    let two_zones = [("a", "z0"), ("b", "z1"), ("c", "z1")];
    let mut cluster = Cluster::new(3, &two_zones, &[]);
    assert_eq!(cluster.settle(), []);
    assert!(!cluster.resilience().zone_loss_survivable);
    cluster.add("d", "z0", true);
    cluster.settle();
    assert_eq!(cluster.voters().len(), 3);
    assert!(cluster.voters().contains(&LEADER));
}

#[test]
fn a_replica_whose_loss_is_not_counted_votes_only_where_no_other_can() {
    let mut cluster = Cluster::new(3, &THREE, &[("d", "z1")]);
    cluster.members.get_mut("d").expect("a member").standby_only = true;
    cluster.see("b", Health::Unreachable);
    assert_eq!(cluster.settle(), []);
}
