//! The simulator: runs replicas, nodes and worker proxies in virtual time, without sockets or threads. A
//! scenario and a seed determine everything that happens in a simulated run, which scenarios call a day.

pub(crate) mod disk;
mod faults;
mod world;

pub use world::{PlannedJob, Report, World};

use crate::checkers::{check, PromisedBounds, Violation};
use crate::scenario::Scenario;

/// The time that the wall clocks show at the beginning of the day, in milliseconds since 1970.
pub const EPOCH: u64 = 1_700_000_000_000;

/// The promised bounds, with the simulator's epoch.
fn bounds() -> PromisedBounds {
    PromisedBounds {
        epoch_ms: EPOCH,
        ..PromisedBounds::default()
    }
}

/// Simulates a day with a seed and checks its history.
pub fn simulate(scenario: &Scenario, seed: u64) -> (Report, Vec<Violation>) {
    let report = World::new(scenario, seed).run();
    let mut violations = check(&report.history, &bounds());
    if report.is_livelocked {
        violations.push(Violation::new(
            "no livelock",
            report.history.end_ms(),
            "the day exceeded the limit on actions".into(),
        ));
    }
    (report, violations)
}
