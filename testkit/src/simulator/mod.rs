//! The simulator: the same parts as the real processes run, in virtual time; one seed decides all.

pub(crate) mod disk;
mod faults;
mod world;

pub use world::{PlannedJob, Report, World};

use crate::checkers::{check, PromisedBounds, Violation};
use crate::scenario::Scenario;

/// What the clocks of the system show at time 0, in milliseconds since 1970.
pub const EPOCH: u64 = 1_700_000_000_000;

/// The promised bounds, for histories of the simulator.
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
            "more happened than a day can hold".into(),
        ));
    }
    (report, violations)
}
