//! The membership reconciler: the sequence of changes that it derives, and the losses that the voters survive
//! afterwards.

use landingdrift::consensus::membership::{
    Health, JoinRequest, MemberStatus, MembershipChange, MembershipView, Resilience,
};
use landingdrift::state::ReplicaMember;
use std::collections::BTreeMap;

/// A cluster as seen by its leader; changes take effect at once.
struct Cluster {
    target: usize,
    members: BTreeMap<String, ReplicaMember>,
    observed: BTreeMap<String, MemberStatus>,
    requests: BTreeMap<String, JoinRequest>,
}

const LEADER: &str = "a";

fn status(health: Health) -> MemberStatus {
    MemberStatus {
        health,
        caught_up: health == Health::Reachable,
        long_unreachable: false,
    }
}

impl Cluster {
    /// Creates a cluster of voters and standbys, given as (address, zone); `target` is the desired number of voters.
    fn new(target: usize, voters: &[(&str, &str)], standbys: &[(&str, &str)]) -> Self {
        let mut cluster = Self {
            target,
            members: BTreeMap::new(),
            observed: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        voters
            .iter()
            .for_each(|(address, zone)| cluster.add(address, zone, true));
        standbys
            .iter()
            .for_each(|(address, zone)| cluster.add(address, zone, false));
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
        self.set_health(address, Health::Reachable);
    }

    fn set_health(&mut self, address: &str, health: Health) {
        if address != LEADER {
            self.observed.insert(address.into(), status(health));
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

    /// Applies changes until none is due, and returns them in order.
    fn apply_all_changes(&mut self) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        while let Some(change) = self.view().next_change() {
            assert!(
                changes.len() < 32,
                "the changes do not converge: {changes:?}"
            );
            self.apply(&change);
            changes.push(change);
        }
        changes
    }

    fn apply(&mut self, change: &MembershipChange) {
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

    fn request_to_join(&mut self, address: &str, disk: u64, zone: &str) {
        let request = JoinRequest {
            disk,
            zone: zone.into(),
            standby_only: false,
        };
        self.requests.insert(address.into(), request);
    }
}

const THREE_VOTERS: [(&str, &str); 3] = [("a", "z0"), ("b", "z1"), ("c", "z2")];

#[test]
fn a_planned_replacement_keeps_the_number_of_voters() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[]);
    cluster.request_to_join("d", 40, "z2");
    cluster.apply_all_changes();
    assert_eq!(
        cluster.voters(),
        ["a", "b", "c"],
        "a new replica must become a standby only"
    );
    cluster.set_health("c", Health::Leaving);
    cluster.apply_all_changes();
    assert_eq!(cluster.voters(), ["a", "b", "d"]);
    cluster.set_health("c", Health::Unreachable);
    cluster.apply_all_changes();
    assert_eq!(cluster.resilience().machine_losses_left, 1);
}

#[test]
fn three_successive_replacements_keep_a_zone_loss_survivable() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[]);
    for (replacement, old, zone) in [("d", "c", "z2"), ("e", "b", "z1"), ("f", "d", "z2")] {
        cluster.request_to_join(replacement, u64::from(replacement.as_bytes()[0]), zone);
        cluster.apply_all_changes();
        cluster.set_health(old, Health::Leaving);
        cluster.apply_all_changes();
        cluster.set_health(old, Health::Unreachable);
        cluster.apply_all_changes();
    }
    assert_eq!(cluster.voters(), ["a", "e", "f"]);
    assert!(cluster.resilience().zone_loss_survivable);
}

#[test]
fn one_lost_voter_of_four_is_demoted() {
    let four_voters = [
        THREE_VOTERS[0],
        THREE_VOTERS[1],
        THREE_VOTERS[2],
        ("d", "z0"),
    ];
    let mut cluster = Cluster::new(5, &four_voters, &[]);
    cluster.set_health("c", Health::Unreachable);
    assert_eq!(cluster.resilience().machine_losses_left, 0);
    cluster.apply_all_changes();
    assert_eq!(cluster.voters(), ["a", "b", "d"]);
    assert_eq!(cluster.resilience().machine_losses_left, 1);
}

#[test]
fn a_lost_voter_of_three_is_replaced_only_once_a_standby_is_ready() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[]);
    cluster.set_health("b", Health::Unreachable);
    assert_eq!(cluster.apply_all_changes(), []);
    cluster.request_to_join("d", 40, "z1");
    cluster.apply_all_changes();
    assert_eq!(cluster.voters(), ["a", "c", "d"]);
}

#[test]
fn two_lost_voters_of_five_are_not_demoted_without_standbys() {
    let five_voters = [
        ("a", "z0"),
        ("b", "z0"),
        ("c", "z1"),
        ("d", "z1"),
        ("e", "z2"),
    ];
    let mut cluster = Cluster::new(5, &five_voters, &[]);
    cluster.set_health("c", Health::Unreachable);
    cluster.set_health("d", Health::Unreachable);
    assert_eq!(
        cluster.apply_all_changes(),
        [],
        "with fewer voters, two disks would suffice for a commit"
    );
}

#[test]
fn another_disk_at_the_address_of_a_member_is_a_new_replica() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[]);
    cluster.set_health("b", Health::Replaced);
    cluster.request_to_join("b", 77, "z1");
    let changes = cluster.apply_all_changes();
    assert_eq!(changes[0], MembershipChange::Remove("b".into()));
    assert!(matches!(&changes[1], MembershipChange::Admit(a, r) if a == "b" && r.disk == 77));
    assert_eq!(cluster.voters(), ["a", "b", "c"]);
    assert_eq!(cluster.members["b"].disk, 77);
}

#[test]
fn a_disk_is_not_admitted_while_it_responds_at_another_address() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[]);
    let disk_of_b = cluster.members["b"].disk;
    cluster.request_to_join("x", disk_of_b, "z1");
    assert_eq!(cluster.apply_all_changes(), []);
    cluster.set_health("b", Health::Unreachable);
    cluster.apply_all_changes();
    assert!(
        cluster.members.contains_key("x"),
        "a moved disk must be admitted at its new address"
    );
}

#[test]
fn voters_are_promoted_in_pairs_and_spread_over_the_zones() {
    let standbys = [("d", "z0"), ("e", "z1"), ("f", "z2")];
    let mut cluster = Cluster::new(5, &THREE_VOTERS, &standbys[..1]);
    assert_eq!(
        cluster.apply_all_changes(),
        [],
        "four voters survive no more losses than three"
    );
    cluster.add("e", "z1", false);
    cluster.apply_all_changes();
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "e"]);
    assert!(cluster.resilience().zone_loss_survivable);
    assert_eq!(cluster.resilience().machine_losses_left, 2);
}

#[test]
fn voters_in_a_crowded_zone_are_spread_and_the_changes_converge() {
    let crowded = [("a", "z0"), ("b", "z0"), ("c", "z0")];
    let standbys = [("d", "z1"), ("e", "z2")];
    let mut cluster = Cluster::new(3, &crowded, &standbys);
    assert!(!cluster.resilience().zone_loss_survivable);
    cluster.apply_all_changes();
    assert!(cluster.resilience().zone_loss_survivable);
    assert_eq!(cluster.voters().len(), 3);
}

#[test]
fn too_few_zones_are_reported_and_surplus_voters_are_demoted() {
    let two_zones = [("a", "z0"), ("b", "z1"), ("c", "z1")];
    let mut cluster = Cluster::new(3, &two_zones, &[]);
    assert_eq!(cluster.apply_all_changes(), []);
    assert!(!cluster.resilience().zone_loss_survivable);
    cluster.add("d", "z0", true);
    cluster.apply_all_changes();
    assert_eq!(cluster.voters().len(), 3);
    assert!(cluster.voters().contains(&LEADER));
}

#[test]
fn a_standby_only_replica_is_not_promoted_while_others_may_vote() {
    let mut cluster = Cluster::new(3, &THREE_VOTERS, &[("d", "z1")]);
    cluster.members.get_mut("d").expect("a member").standby_only = true;
    cluster.set_health("b", Health::Unreachable);
    assert_eq!(cluster.apply_all_changes(), []);
}
