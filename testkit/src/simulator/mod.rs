//! The same parts as the daemons run, in virtual time; one seed decides all.

pub(crate) mod disk;
mod faults;
mod world;

pub use world::{Report, World};

use crate::checkers::{check, Broken, Promised};
use crate::scenario::Scenario;

/// What the clocks of the system show at time 0.
pub const EPOCH: u64 = 1_700_000_000_000;

/// Simulates a day with a seed and checks its history.
pub fn simulate(s: &Scenario, seed: u64) -> (Report, Vec<Broken>) {
    let report = World::new(s, seed).run();
    let mut broken = check(
        &report.history,
        &Promised {
            epoch: EPOCH,
            ..Promised::default()
        },
    );
    if report.circling {
        broken.push(Broken {
            rule: "nothing goes round in circles",
            t: report.history.events.last().map_or(0, |a| a.t),
            what: "more happened than a day can hold".into(),
        });
    }
    (report, broken)
}
