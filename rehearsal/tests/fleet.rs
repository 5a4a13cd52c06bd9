//! Real processes on loopback, with real signals; the history is checked as in the simulator.

use rehearsal::fleet::{program, run, Options};
use rehearsal::scenario::{Fault, Kind, Shape};

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

#[test]
fn a_fleet_survives_kills_a_freeze_a_cut_and_an_outage() {
    let folder = std::env::temp_dir().join(format!("landingdrift-test-fleet-{}", std::process::id()));
    let faults = vec![
        fault(2500, Kind::Kill, "leader", 1000),
        fault(4000, Kind::Freeze, "node:1", 2500),
        fault(4500, Kind::WorkerCut, "worker:2", 2500),
        fault(5000, Kind::WorkerCrash, "worker:3", 500),
        fault(7500, Kind::Restart, "node:0", 500),
        fault(9000, Kind::Outage, "", 500),
    ];
    let o = Options {
        shape: Shape::Gunasekera,
        seconds: 12,
        settle: 90,
        rate: 5.0,
        program: program(),
        folder: folder.clone(),
        faults,
        seed: 3,
        talk: false,
    };
    let outcome = run(&o).unwrap_or_else(|e| panic!("{e}; logs in {}", folder.display()));
    let told: Vec<String> = outcome.broken.iter().map(ToString::to_string).collect();
    // How long things took on this machine is not this test's concern; what must never happen is.
    let timed = ["back after an outage", "configuration holds"];
    let hard: Vec<&String> = told.iter().filter(|b| !timed.iter().any(|t| b.contains(t))).collect();
    assert!(hard.is_empty(), "{hard:?}; logs in {}", folder.display());
    assert!(outcome.summary.accepted > 20 && outcome.summary.done > 10, "{:?}", outcome.summary);
    let _ = std::fs::remove_dir_all(&folder);
}
