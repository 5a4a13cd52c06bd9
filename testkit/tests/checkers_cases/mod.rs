//! For each rule, histories that violate it, and similar histories that conform to all rules.

mod configuration;
mod events;
mod jobs;
mod outage;
mod runs;
mod workers;

use landingdrift_testkit::history::Event;

/// Events with their times in milliseconds.
pub type TimedEvents = Vec<(u64, Event)>;

/// A rule, a history that violates only this rule, and one that conforms to all rules.
pub struct Case {
    pub rule: &'static str,
    pub violating: TimedEvents,
    pub conforming: TimedEvents,
}

/// The cases of all rules; every checker has at least one.
pub fn cases() -> Vec<Case> {
    let all = [
        jobs::never_forgotten(),
        jobs::state_within_its_bound(),
        jobs::refused_never_runs(),
        runs::no_repeat_without_leave(),
        runs::steps_in_order(),
        runs::not_before_its_time(),
        runs::not_long_after_its_time(),
        workers::capacity(),
        workers::fitting_workers(),
        runs::max_attempts(),
        jobs::cancelled_stays_cancelled(),
        workers::leaving_workers(),
        workers::emptied_zones(),
        runs::gangs_together(),
        configuration::one_of_two_rivals(),
        configuration::takes_effect(),
        configuration::quota_takes_effect(),
        configuration::never_reverts(),
        outage::back_after_an_outage(),
        jobs::all_come_to_an_end(),
    ];
    all.into_iter().flatten().collect()
}
