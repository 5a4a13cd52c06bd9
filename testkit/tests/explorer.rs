//! The replicas under the model checker: random walks, every order of events up to a depth, and planted bugs.

use landingdrift::state::Command;
use landingdrift_testkit::explorer::cluster::Cluster;
use landingdrift_testkit::explorer::fault::{Fault, TimedFault};
use landingdrift_testkit::explorer::observations::Invariant;
use landingdrift_testkit::explorer::planted_bug::PlantedBug;
use landingdrift_testkit::explorer::search::{search, Budget, SearchResult};
use landingdrift_testkit::explorer::walk::Walk;
use std::collections::BTreeSet;

fn assert_holds(walk: &Walk) {
    let outcome = walk.run();
    if let Some(violation) = outcome.violations.first() {
        let shrunk = walk.shrunk(violation.invariant);
        panic!("{violation:?}\n  fewest faults found: {shrunk:#?}");
    }
    assert!(outcome.acknowledgements > 20, "hardly anything was served");
    assert!(outcome.reads > 20, "hardly any read was answered");
}

fn walk_with(faults: &[(u64, Fault)], standbys: usize, voters: u32) -> Walk {
    Walk {
        seed: 7,
        founders: 3,
        voters,
        standbys,
        length_ms: 40_000,
        faults: faults
            .iter()
            .map(|(at_ms, fault)| TimedFault {
                at_ms: *at_ms,
                fault: *fault,
            })
            .collect(),
        planted_bug: None,
    }
}

const PLANNED: Fault = Fault::ReplacePlanned {
    target: 0,
    overlap_ms: 4000,
};
const REPLACE: Fault = Fault::Replace {
    target: 0,
    newcomer_ms: 1000,
};
const WIPE: Fault = Fault::Wipe {
    target: 0,
    down_ms: 1000,
};
const ALL_POWER: Fault = Fault::PowerLossOfAll {
    persisted_writes: 0,
    down_ms: 1000,
};

#[test]
fn a_loss_after_a_planned_replacement_leaves_a_majority() {
    assert_holds(&walk_with(&[(6000, PLANNED), (20_000, REPLACE)], 0, 3));
}

#[test]
fn a_loss_after_a_wipe_and_a_wipe_after_a_loss_leave_a_majority() {
    assert_holds(&walk_with(
        &[(6000, WIPE), (14_000, REPLACE), (24_000, WIPE)],
        0,
        3,
    ));
}

#[test]
fn power_lost_in_the_middle_of_each_step_of_a_replacement_loses_nothing() {
    for after in (0..8000).step_by(400) {
        let faults = [
            (6000, PLANNED),
            (6000 + after, ALL_POWER),
            (28_000, REPLACE),
        ];
        assert_holds(&walk_with(&faults, 0, 3));
        let faults = [(6000, WIPE), (6000 + after, ALL_POWER), (28_000, REPLACE)];
        assert_holds(&walk_with(&faults, 0, 3));
    }
}

#[test]
fn random_walks_of_three_voters_break_nothing() {
    (0..24).for_each(|seed| assert_holds(&Walk::random(seed, 3, 0, 40_000, 16)));
}

#[test]
fn random_walks_of_five_voters_with_standbys_break_nothing() {
    (0..10).for_each(|seed| assert_holds(&Walk::random(1000 + seed, 5, 3, 40_000, 16)));
}

/// A cluster of three with a leader and a first configuration.
fn settled(voters: u32) -> Cluster {
    let mut cluster = Cluster::new(3, voters, 5);
    cluster.run(4000, &BTreeSet::new(), |_| false);
    let leader = cluster.leader().expect("somebody leads");
    cluster.propose(leader, 0);
    cluster.run(500, &BTreeSet::new(), |_| false);
    cluster.network.clear();
    cluster
}

const CALM: Budget = Budget {
    depth: 6,
    window: 3,
    losses: 0,
    duplicates: 0,
    timeouts: 0,
    crashes: 0,
    wipes: 0,
    stops: 0,
    freezes: 0,
    proposals: 0,
};

fn assert_no_counterexample(result: &SearchResult, min_states: usize) {
    println!("{} states, {} events deep", result.states, result.deepest);
    assert_eq!(result.counterexample, None);
    assert!(result.states > min_states, "only {} states", result.states);
}

#[test]
fn every_order_of_an_election_after_a_crash_keeps_the_invariants() {
    let budget = Budget {
        timeouts: 2,
        crashes: 1,
        losses: 1,
        proposals: 1,
        ..CALM
    };
    assert_no_counterexample(&search(&settled(3), budget), 500);
}

#[test]
fn every_order_around_a_lost_disk_keeps_the_invariants() {
    let budget = Budget {
        timeouts: 1,
        wipes: 1,
        duplicates: 1,
        proposals: 1,
        ..CALM
    };
    assert_no_counterexample(&search(&settled(3), budget), 500);
}

#[test]
fn every_order_around_a_stop_and_a_freeze_keeps_the_invariants() {
    let budget = Budget {
        timeouts: 1,
        stops: 1,
        freezes: 1,
        proposals: 1,
        ..CALM
    };
    assert_no_counterexample(&search(&settled(3), budget), 500);
}

#[test]
fn every_order_of_an_exchange_among_four_replicas_keeps_the_invariants() {
    let mut cluster = settled(3);
    cluster.add_newcomer("z1".into());
    cluster.run(1000, &BTreeSet::new(), |_| false);
    cluster.network.clear();
    assert_eq!(cluster.membership().len(), 4, "the newcomer stands by");
    let budget = Budget {
        timeouts: 1,
        stops: 1,
        crashes: 1,
        ..CALM
    };
    assert_no_counterexample(&search(&cluster, budget), 500);
}

/// Whether a planted bug is caught in some walk, by the invariant that is meant for it.
fn caught(planted_bug: PlantedBug, invariant: Invariant) -> bool {
    (0..40).any(|seed| {
        let walk = Walk {
            planted_bug: Some(planted_bug),
            ..Walk::random(seed, 3, 0, 30_000, 24)
        };
        let outcome = walk.run();
        outcome.violations.iter().any(|v| v.invariant == invariant)
    })
}

#[test]
fn votes_for_everybody_are_caught_as_two_leaders_in_a_term() {
    assert!(caught(PlantedBug::VotesForAll, Invariant::OneLeaderPerTerm));
}

#[test]
fn unsaved_confirmations_are_caught_as_acknowledged_on_too_few_disks() {
    assert!(caught(
        PlantedBug::ConfirmsUnsaved,
        Invariant::AcknowledgedOnEnoughDisks
    ));
}

#[test]
fn old_answers_are_caught_as_stale_reads() {
    assert!(caught(PlantedBug::AnswersOldReads, Invariant::NoStaleRead));
}

#[test]
fn two_acknowledged_rivals_are_caught() {
    assert!(caught(
        PlantedBug::AcknowledgesRivals,
        Invariant::OneWinnerPerVersion
    ));
}

#[test]
fn disks_that_forget_silently_are_caught_as_committed_entries_replaced() {
    assert!(caught(
        PlantedBug::ForgetsSilently,
        Invariant::CommittedStays
    ));
}

#[test]
fn entries_passed_on_with_other_times_are_caught_as_different_states() {
    assert!(caught(PlantedBug::AltersTimes, Invariant::SameState));
}

#[test]
fn votes_for_nobody_are_caught_as_no_progress() {
    assert!(caught(PlantedBug::VotesForNobody, Invariant::Progress));
}

#[test]
fn newcomers_that_never_vote_are_caught_as_not_repaired() {
    assert!(caught(PlantedBug::IgnoresNewcomers, Invariant::Repaired));
}

#[test]
fn nobody_but_the_leader_changes_the_membership() {
    let mut cluster = settled(3);
    let leader = cluster.leader().expect("somebody leads");
    let before = cluster.membership();
    let (replica, member) = before.iter().next().expect("members");
    let commands = [
        Command::RemoveReplica {
            replica: replica.clone(),
            disk: member.disk,
        },
        Command::FoundCluster {
            replicas: Default::default(),
        },
        Command::TermStarted {
            leader: replica.clone(),
        },
    ];
    for (number, command) in commands.iter().enumerate() {
        cluster.propose_command(leader, 1000 + number as u64, command);
    }
    cluster.run(1000, &BTreeSet::new(), |_| false);
    assert_eq!(cluster.membership(), before);
}

#[test]
fn nobody_waits_for_a_disk_that_is_known_to_be_lost() {
    let mut cluster = settled(3);
    (0..3).for_each(|i| cluster.crash(i, usize::MAX));
    cluster.wipe(1);
    (0..3).for_each(|i| cluster.start(i));
    let wait = cluster.settings.bounds.recovery_wait();
    cluster.run(wait / 2, &BTreeSet::new(), |_| false);
    assert!(cluster.leader().is_some(), "two of three know everything");
}

#[test]
fn a_newcomer_asks_to_be_admitted_at_once() {
    let mut cluster = settled(3);
    let newcomer = cluster.add_newcomer("z0".into());
    let heartbeats = 3 * cluster.settings.bounds.heartbeat_interval();
    cluster.run(heartbeats, &BTreeSet::new(), |_| false);
    let address = &cluster.machines[newcomer].address;
    assert!(cluster.membership().contains_key(address));
}
