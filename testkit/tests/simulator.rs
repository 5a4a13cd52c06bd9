//! The simulator itself: the same seed gives the same history, another one another.

use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;

fn storm() -> Scenario {
    let mut s = Scenario::load("scenarios/storm.toml").expect("the scenario is there");
    s.seconds = 10;
    s
}

#[test]
fn the_same_seed_gives_the_same_history_byte_for_byte() {
    let (a, b) = (simulate(&storm(), 11).0, simulate(&storm(), 11).0);
    assert_eq!(a.history.text(), b.history.text());
    assert_eq!(a.counters, b.counters);
    let c = simulate(&storm(), 12).0;
    assert_ne!(a.history.digest(), c.history.digest());
}

#[test]
fn faults_bite() {
    // What the scenarios rely on really happens: disks lose, workers are lost, leaders change.
    let seen = |file: &str, seed: u64, counter: &str| {
        let s = Scenario::load(&format!("scenarios/{file}.toml")).expect("the scenario is there");
        simulate(&s, seed)
            .0
            .counters
            .get(counter)
            .copied()
            .unwrap_or(0)
    };
    // Whether a single disk's last save held entries is luck, so the losses of three days are summed up.
    let losses: u64 = (1..=3)
        .map(|seed| seen("tail", seed, "core_disk_losses_seen"))
        .sum();
    assert!(losses >= 3, "disks lost what they confirmed {losses} times");
    assert!(seen("workers", 1, "node_workers_lost") >= 3);
    assert!(seen("core", 1, "core_leaderships") >= 4);
    assert!(seen("core", 1, "node_own_freezes") >= 1);
    assert!(seen("disks", 1, "core_disk_refused") >= 2);
    assert!(seen("disks", 1, "core_disk_stalled") >= 1);
    let refused = seen("upgrade", 1, "frames_of_another_version");
    assert!(refused > 100, "builds of two versions met {refused} times");
    assert!(
        seen("replace", 1, "core_captures_installed") + seen("replace", 1, "core_entries_applied")
            > 0
    );
}
