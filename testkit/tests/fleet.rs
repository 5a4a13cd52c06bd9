//! Real processes on loopback, with real signals; the history is checked as in the simulator.

use landingdrift_testkit::checkers::TIMED;
use landingdrift_testkit::fleet::{program, run, Options};
use landingdrift_testkit::scenario::{Fault, Kind, Shape};

fn fault(at: u64, kind: Kind, who: &str, lasts: u64) -> Fault {
    Fault {
        at,
        kind,
        who: who.into(),
        lasts,
        amount: 0,
        by: 0,
    }
}

fn simulate(name: &str, faults: Vec<Fault>) {
    let folder =
        std::env::temp_dir().join(format!("landingdrift-test-{name}-{}", std::process::id()));
    let o = Options {
        shape: Shape::Gunasekera,
        seconds: 14,
        settle: 90,
        rate: 5.0,
        program: program(),
        folder: folder.clone(),
        faults,
        seed: 3,
        talk: false,
    };
    let outcome = run(&o).unwrap_or_else(|e| panic!("{e}; logs in {}", folder.display()));
    // How long things took on this machine is not this test's concern; what must never happen is.
    let hard_state: Vec<String> = outcome
        .broken
        .iter()
        .filter(|b| !TIMED.contains(&b.rule))
        .map(ToString::to_string)
        .collect();
    assert!(
        hard_state.is_empty(),
        "{hard_state:?}; logs in {}",
        folder.display()
    );
    assert!(
        outcome.summary.accepted > 20 && outcome.summary.done > 10,
        "{:?}",
        outcome.summary
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// One after the other: fleets of one process share their addresses.
#[test]
fn a_fleet_survives_what_kills_freezes_cuts_and_empties_its_machines() {
    simulate(
        "fleet",
        vec![
            fault(2500, Kind::Kill, "leader", 1000),
            fault(4000, Kind::Freeze, "node:1", 2500),
            fault(4500, Kind::WorkerCut, "worker:2", 2500),
            fault(5000, Kind::WorkerCrash, "worker:3", 500),
            fault(7500, Kind::Restart, "node:0", 500),
            fault(9000, Kind::Outage, "", 500),
        ],
    );
    simulate(
        "fleet-disks",
        vec![
            fault(2500, Kind::LoseTail, "leader", 700),
            fault(5000, Kind::LoseZone, "zone:0", 1500),
            fault(8500, Kind::ReplaceCore, "core:2", 500),
            fault(10_000, Kind::Outage, "", 500),
        ],
    );
}
