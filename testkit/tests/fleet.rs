//! Real processes on loopback, with real signals; the history is checked as in the simulator.

use landingdrift_testkit::fleet::soak::{untimed, Soak};
use landingdrift_testkit::fleet::{program, run, Options};
use landingdrift_testkit::scenario::{Fault, FaultKind, NodeClass, Shape};
use std::path::PathBuf;

fn fault(at_ms: u64, kind: FaultKind, target: &str, duration_ms: u64) -> Fault {
    Fault {
        at_ms,
        kind,
        target: target.into(),
        duration_ms,
        amount: 0,
        clock_jump_ms: 0,
    }
}

/// The logs and data of a day.
fn folder_of(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("landingdrift-test-{name}-{}", std::process::id()))
}

/// A day with jobs and without faults.
fn busy_day(name: &str) -> Options {
    Options {
        seconds: 14,
        settle_seconds: 90,
        jobs_per_second: 5.0,
        ..Options::new(Shape::Gunasekera, program(), folder_of(name))
    }
}

fn run_day(name: &str, faults: Vec<Fault>) {
    run_options(Options {
        faults,
        seed: 3,
        ..busy_day(name)
    });
}

fn run_options(options: Options) {
    let folder = options.folder.clone();
    let outcome = run(&options).unwrap_or_else(|e| panic!("{e}; logs in {}", folder.display()));
    // How long things took on this machine is not this test's concern; what must never happen is.
    let violations: Vec<String> = untimed(outcome.violations)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        violations.is_empty(),
        "{violations:?}; logs in {}",
        folder.display()
    );
    assert!(
        outcome.summary.accepted > 20 && outcome.summary.done > 10,
        "{:?}",
        outcome.summary
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// One day after the other, since fleets of one process share their addresses.
#[test]
fn a_fleet_survives_what_kills_freezes_cuts_and_empties_its_machines() {
    run_day(
        "fleet",
        vec![
            fault(2500, FaultKind::Kill, "leader", 1000),
            fault(4000, FaultKind::Freeze, "node:1", 2500),
            fault(4500, FaultKind::WorkerCut, "worker:2", 2500),
            fault(5000, FaultKind::WorkerCrash, "worker:3", 500),
            fault(7500, FaultKind::Restart, "node:0", 500),
            fault(9000, FaultKind::Outage, "", 500),
        ],
    );
    run_day(
        "fleet-disks",
        vec![
            fault(2500, FaultKind::LoseTail, "leader", 700),
            fault(5000, FaultKind::LoseZone, "zone:0", 1500),
            fault(8500, FaultKind::ReplaceCore, "core:2", 500),
            fault(10_000, FaultKind::Outage, "", 500),
        ],
    );
    // Small nodes follow light copies and forward reads; workers call proxies; clients ask any node for each job.
    run_options(Options {
        lease_ms: 6000,
        node_classes: vec![NodeClass {
            count: 4,
            share: 56,
            ..NodeClass::default()
        }],
        has_worker_proxies: true,
        clients_call_any_node: true,
        faults: vec![
            fault(3000, FaultKind::LargeConfig, "", 500),
            fault(5000, FaultKind::Outage, "", 1000),
            fault(8000, FaultKind::Freeze, "node:0", 2500),
            fault(9000, FaultKind::Restart, "node:5", 500),
            fault(12_000, FaultKind::Outage, "", 1000),
        ],
        seed: 4,
        ..busy_day("fleet-small-nodes")
    });
    soak();
}

/// A short soak; the long one is started by hand with `testkit soak`.
fn soak() {
    let soak = Soak {
        seconds: 8,
        faults: 8,
        small_nodes: 2,
        program: program(),
        folder: folder_of("soak"),
    };
    for seed in 1..=2 {
        run_options(soak.day(seed));
    }
}
