//! Tests of the simulator itself: a seed determines the history, and injected faults affect the processes.

use landingdrift_testkit::scenario::Scenario;
use landingdrift_testkit::simulator::simulate;

fn short_storm() -> Scenario {
    let mut scenario = Scenario::load("scenarios/storm.toml").expect("failed to load the scenario");
    scenario.seconds = 10;
    scenario
}

#[test]
fn the_same_seed_gives_identical_histories() {
    let (first, _) = simulate(&short_storm(), 11);
    let (second, _) = simulate(&short_storm(), 11);
    assert_eq!(first.history.json_lines(), second.history.json_lines());
    assert_eq!(first.counters, second.counters);
    let (other, _) = simulate(&short_storm(), 12);
    assert_ne!(first.history.digest(), other.history.digest());
}

#[test]
fn counters_show_the_effects_of_faults() {
    // Guards against faults that are injected without effect: the counters of the processes must show the effects.
    let count = |file: &str, seed: u64, counter: &str| {
        let path = format!("scenarios/{file}.toml");
        let scenario = Scenario::load(&path).expect("failed to load the scenario");
        let (report, _) = simulate(&scenario, seed);
        report.counters.get(counter).copied().unwrap_or(0)
    };
    // Whether a lost batch contains entries is random, so the losses of three days are summed.
    let losses: u64 = (1..=3)
        .map(|seed| count("tail", seed, "core_disk_losses_seen"))
        .sum();
    assert!(
        losses >= 3,
        "replicas noticed only {losses} losses of confirmed data"
    );
    assert!(count("workers", 1, "node_workers_lost") >= 3);
    assert!(count("core", 1, "core_leaderships") >= 4);
    assert!(count("core", 1, "node_own_freezes") >= 1);
    assert!(count("disks", 1, "core_disk_refused") >= 2);
    assert!(count("disks", 1, "core_disk_stalled") >= 1);
    let rejected = count("upgrade", 1, "frames_of_another_version");
    assert!(rejected > 100, "only {rejected} frames of another version");
    assert!(
        count("replace", 1, "core_captures_installed")
            + count("replace", 1, "core_entries_applied")
            > 0
    );
}
