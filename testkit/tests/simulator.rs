//! The simulator itself: the same seed gives the same history, another one another.

use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;

fn storm() -> Scenario {
    let mut scenario = Scenario::load("scenarios/storm.toml").expect("the scenario is there");
    scenario.seconds = 10;
    scenario
}

#[test]
fn the_same_seed_gives_the_same_history_byte_for_byte() {
    let (first, _) = simulate(&storm(), 11);
    let (second, _) = simulate(&storm(), 11);
    assert_eq!(first.history.json_lines(), second.history.json_lines());
    assert_eq!(first.counters, second.counters);
    let (other, _) = simulate(&storm(), 12);
    assert_ne!(first.history.digest(), other.history.digest());
}

#[test]
fn faults_bite() {
    // What the scenarios rely on really happens: disks lose, workers are lost, leaders change.
    let seen = |file: &str, seed: u64, counter: &str| {
        let path = format!("scenarios/{file}.toml");
        let scenario = Scenario::load(&path).expect("the scenario is there");
        let (report, _) = simulate(&scenario, seed);
        report.counters.get(counter).copied().unwrap_or(0)
    };
    // Whether a single disk's last batch held entries is random, so the losses of three days are summed up.
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
