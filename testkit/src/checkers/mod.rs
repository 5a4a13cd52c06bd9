//! Checkers of what must never happen. They read histories only: nothing here uses the product's own rules.

mod conditions;
mod configuration;
mod interval;
mod jobs;
mod outage;
mod quotas;
mod runs;
mod summary;

pub use summary::{summary, Summary};

use crate::history::History;

/// A violated rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When it was violated, in milliseconds since the beginning of the day.
    pub at_ms: u64,
    pub description: String,
}

impl Violation {
    /// A violation of a rule at a time in milliseconds.
    pub fn new(rule: &'static str, at_ms: u64, description: String) -> Self {
        Self {
            rule,
            at_ms,
            description,
        }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            formatter,
            "{} ms: {}: {}",
            self.at_ms, self.rule, self.description
        )
    }
}

/// The bounds that the system promises, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PromisedBounds {
    /// How long an accepted job's state may be unknown.
    pub state_ms: u64,
    /// How late a run may start after a cancel was acknowledged.
    pub cancel_ms: u64,
    /// How late a run may start on a worker that has announced that it leaves.
    pub leave_ms: u64,
    /// How late a run may start in a zone that was emptied.
    pub empty_zone_ms: u64,
    /// How long a change of configuration may take to be in force.
    pub config_ms: u64,
    /// How long service may take to return after a total outage.
    pub outage_ms: u64,
    /// How early a run may start before its appointed time.
    pub early_ms: u64,
    /// How long a gang's member may be alone when no fault strikes it.
    pub alone_ms: u64,
    /// How long a gang's member may be alone when a fault strikes it.
    pub alone_in_fault_ms: u64,
    /// How long service may take to return after the replicas had no majority, short of a total outage.
    pub recover_ms: u64,
    /// How long a node that is up and connected may take to be ready.
    pub ready_ms: u64,
    /// What the system's clock showed at time 0 of the history, in milliseconds since 1970.
    pub epoch_ms: u64,
}

impl Default for PromisedBounds {
    fn default() -> Self {
        Self {
            state_ms: 3000,
            cancel_ms: 3000,
            leave_ms: 2000,
            empty_zone_ms: 5000,
            config_ms: 2000,
            outage_ms: 12_000,
            early_ms: 250,
            alone_ms: 1000,
            alone_in_fault_ms: 4500,
            recover_ms: 5000,
            ready_ms: 5000,
            epoch_ms: 0,
        }
    }
}

/// A rule and the function that finds its violations in a history.
pub struct Checker {
    /// The name of the rule, as in `docs/promises.md`.
    pub rule: &'static str,
    check: fn(&History, &PromisedBounds) -> Vec<Violation>,
}

const fn checker(
    rule: &'static str,
    check: fn(&History, &PromisedBounds) -> Vec<Violation>,
) -> Checker {
    Checker { rule, check }
}

/// All checkers.
pub const ALL: &[Checker] = &[
    checker("never forgotten", jobs::never_forgotten),
    checker("state within its bound", jobs::state_in_time),
    checker("turned away never runs", jobs::refused_never_runs),
    checker("no repeat without leave", runs::no_repeat),
    checker("steps in order", runs::steps_in_order),
    checker("not before its time", runs::not_early),
    checker("room", runs::capacity),
    checker("fitting workers", runs::fitting),
    checker("tries", runs::max_attempts),
    checker("cancelled stays cancelled", jobs::cancelled),
    checker("leaving workers", runs::leaving),
    checker("emptied zones", runs::emptied_zones),
    checker("gangs together", runs::gangs),
    checker("one of two rivals", configuration::one_winner),
    checker(
        "configuration never slides back",
        configuration::never_slides_back,
    ),
    checker("configuration takes hold", configuration::takes_effect),
    checker("back after an outage", outage::service_returns),
    checker("all come to an end", jobs::all_end),
];

/// Rules on how long something takes: on real processes they say as much about the machine as about the system.
pub const TIMED: &[&str] = &[
    "state within its bound",
    "configuration takes hold",
    "back after an outage",
];

/// Runs all checkers.
pub fn check(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    ALL.iter()
        .flat_map(|checker| (checker.check)(history, bounds))
        .collect()
}
