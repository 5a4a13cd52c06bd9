//! Checkers of the system's promises. They read only histories and reuse none of the scheduler's decision logic, so
//! that a bug there can't also hide in its checker.

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

/// One violation of a rule, found in a history.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When it was violated, in milliseconds since the beginning of the day.
    pub at_ms: u64,
    /// A message that names the job, worker or node involved and the observed values.
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

/// The bounds that the system promises, and the wall clock's time at the start of the history, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PromisedBounds {
    /// How long clients may be unable to get an accepted job's state.
    pub state_ms: u64,
    /// How long a run of a job may still start after the job's cancel was acknowledged.
    pub cancel_ms: u64,
    /// How long a run may still start on a worker after the worker announced that it is leaving.
    pub leave_ms: u64,
    /// How long a run may still start in a zone after the zone was drained or evacuated.
    pub empty_zone_ms: u64,
    /// How long an accepted change of the configuration may take to be in force everywhere.
    pub config_ms: u64,
    /// How long service may take to return after a total outage.
    pub outage_ms: u64,
    /// How long before its due time a run may start.
    pub early_ms: u64,
    /// How long a job may have no run although one of its tasks is due and there is room for it.
    pub idle_job_ms: u64,
    /// How long a gang member may run without one of its partners if no fault affects the gang.
    pub without_partner_ms: u64,
    /// How long a gang member may run without one of its partners if a fault affects the gang.
    pub without_partner_in_fault_ms: u64,
    /// How long service may take to return after a downtime ends, that is, once a majority of the replicas and a node
    /// that reaches it are back; `outage_ms` applies instead if all replicas were down at some time in the downtime.
    pub recover_ms: u64,
    /// How long a node that is up and connected may take to be ready.
    pub ready_ms: u64,
    /// The wall clock's time at time 0 of the history, in milliseconds since 1970.
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
            idle_job_ms: 3000,
            without_partner_ms: 1000,
            without_partner_in_fault_ms: 4500,
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

/// All checkers, in the order in which their violations are reported.
pub const ALL: &[Checker] = &[
    checker("never forgotten", jobs::never_forgotten),
    checker("state within its bound", jobs::state_in_time),
    checker("turned away never runs", jobs::refused_never_runs),
    checker("no repeat without leave", runs::no_unpermitted_repeat),
    checker("steps in order", runs::dependencies_first),
    checker("not before its time", runs::not_before_due_time),
    checker("not long after its time", runs::not_long_after_due_time),
    checker("room", runs::within_capacity),
    checker("fitting workers", runs::only_fitting_workers),
    checker("tries", runs::max_attempts),
    checker("cancelled stays cancelled", jobs::cancelled_stays_cancelled),
    checker("leaving workers", runs::no_start_on_leaving_workers),
    checker("emptied zones", runs::no_start_in_emptied_zones),
    checker("gangs together", runs::gangs_together),
    checker("one of two rivals", configuration::one_of_two_accepted),
    checker(
        "configuration never slides back",
        configuration::never_reverts,
    ),
    checker("configuration takes hold", configuration::takes_effect),
    checker("back after an outage", outage::service_returns),
    checker("all come to an end", jobs::all_jobs_end),
];

/// Rules whose results with real processes depend on the speed of the machine as much as on the system.
pub const MACHINE_DEPENDENT: &[&str] = &[
    "state within its bound",
    "configuration takes hold",
    "back after an outage",
];

/// Runs all checkers on a history and returns every violation.
pub fn check(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    ALL.iter()
        .flat_map(|checker| (checker.check)(history, bounds))
        .collect()
}
