//! The checker of gangs: their members run at the same time.

use super::{runs, Run, Specs};
use crate::checkers::conditions::Conditions;
use crate::checkers::interval::Interval;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{Event, History, WORKER_REACHABLE, WORKER_UNREACHABLE};
use landingdrift::state::Outcome;
use std::collections::BTreeMap;

/// The time for which a fault may still delay orders to workers after it ends, in milliseconds.
const ORDER_DELAY_AFTER_FAULT_MS: u64 = 4000;

/// The time for which a worker may still miss orders after it becomes reachable again, in milliseconds.
const ORDER_DELAY_AFTER_UNREACHABLE_MS: u64 = 2000;

/// The prefixes of the descriptions of faults that delay no orders to workers: names of variants of
/// [`FaultKind`](crate::scenario::FaultKind), and changes of a worker's reachability, which are considered separately.
const HARMLESS_FAULT_PREFIXES: [&str; 14] = [
    "Crowd",
    "Huge",
    "Doomed",
    "Storm",
    "Rivals",
    "Drain",
    "Evacuate",
    "Urgent",
    "Wrong",
    "Tries",
    "Quota",
    "ClockJump",
    WORKER_UNREACHABLE,
    WORKER_REACHABLE,
];

/// No gang member runs without one of its partners for longer than the bound, unless that partner has succeeded.
pub fn gangs_together(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for time in times_without_partner(history, bounds) {
        let (max_ms, suffix) = if time.in_fault {
            (bounds.without_partner_in_fault_ms, " during a fault")
        } else {
            (bounds.without_partner_ms, "")
        };
        if time.duration_ms > max_ms {
            let description = format!(
                "{} ran without a partner for {} ms{suffix}",
                time.member, time.duration_ms
            );
            violations.push(Violation::new("gangs together", time.from, description));
        }
    }
    violations
}

/// The time that one run of a gang member went without one of its partners.
pub struct TimeWithoutPartner {
    /// The member's job, task and worker, for messages.
    pub member: String,
    /// When the member started, in milliseconds.
    pub from: u64,
    /// How long the member ran without the partner, less the excused intervals, in milliseconds.
    pub duration_ms: u64,
    /// A fault that may have delayed orders to workers was active during that time.
    pub in_fault: bool,
}

/// The times that runs of gang members went without their partners, one entry per run and partner.
pub fn times_without_partner(
    history: &History,
    bounds: &PromisedBounds,
) -> Vec<TimeWithoutPartner> {
    let specs = Specs::new(history);
    let all_runs = runs(history);
    // The runs of each gang, by job and gang name.
    let mut runs_of_gang: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for run in &all_runs {
        let task = specs.task(run.job, run.task);
        if let Some(task) = task.filter(|task| !task.gang.is_empty()) {
            let gang = (run.job, task.gang.as_str());
            runs_of_gang.entry(gang).or_default().push(run);
        }
    }
    let context = GangContext {
        conditions: Conditions::new(history, bounds),
        unreachable: unreachable_intervals(history),
        faults: fault_intervals(history),
        end_ms: history.end_ms(),
    };
    let mut times_without_partner = Vec::new();
    for ((job, gang), gang_runs) in &runs_of_gang {
        let Some(spec) = specs.job(job) else { continue };
        let members = spec.tasks.iter().filter(|task| task.gang == *gang);
        let members: Vec<&str> = members.map(|task| task.name.as_str()).collect();
        for run in gang_runs {
            for other in members.iter().filter(|member| **member != run.task) {
                let partners = gang_runs.iter().filter(|partner| partner.task == *other);
                times_without_partner.push(context.time_without_partner(run, partners.copied()));
            }
        }
    }
    times_without_partner
}

/// The service conditions, unreachable workers and faults of a day.
struct GangContext<'a> {
    conditions: Conditions<'a>,
    unreachable: Vec<UnreachableInterval<'a>>,
    faults: Vec<Interval>,
    /// The end of the history, in milliseconds.
    end_ms: u64,
}

impl GangContext<'_> {
    /// How long `run` went on alone before the first run of one other gang member, counted only while its worker could
    /// receive a stop order and without the excused intervals. `partners` are the runs of that member.
    fn time_without_partner<'r>(
        &self,
        run: &Run,
        partners: impl Iterator<Item = &'r Run<'r>>,
    ) -> TimeWithoutPartner {
        // A partner's run counts from its start, or from the start of `run` if it started earlier. It does not count if
        // it had ended before without success.
        let together_since = partners
            .filter(|partner| partner.to >= run.from || partner.outcome == Some(Outcome::Succeeded))
            .map(|partner| partner.from.max(run.from))
            .min()
            .unwrap_or(u64::MAX);
        let until = together_since.min(self.stoppable_until(run));
        let interval = Interval::new(run.from, until);
        TimeWithoutPartner {
            member: format!("{}/{} on {}", run.job, run.task, run.worker),
            from: run.from,
            // Without a majority of the replicas, no stop order can be issued.
            duration_ms: self.conditions.unexcused_ms(run.from, until.max(run.from)),
            in_fault: self.faults.iter().any(|fault| fault.overlaps(&interval)),
        }
    }

    /// The time until which the run's worker could receive a stop order: the end of the run, or the first time in it at
    /// which the worker was unreachable.
    fn stoppable_until(&self, run: &Run) -> u64 {
        let to = run.to.min(self.end_ms);
        let run_interval = Interval::new(run.from, to);
        let first_unreachable = self
            .unreachable
            .iter()
            .filter(|unreachable| {
                unreachable.worker == run.worker && unreachable.interval.overlaps(&run_interval)
            })
            .map(|unreachable| unreachable.interval.from)
            .min();
        first_unreachable.map_or(to, |from| to.min(from.max(run.from)))
    }
}

/// Intervals in which a fault that may delay orders to workers was active, each extended by
/// [`ORDER_DELAY_AFTER_FAULT_MS`].
fn fault_intervals(history: &History) -> Vec<Interval> {
    let mut intervals: Vec<Interval> = Vec::new();
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    for timed in &history.events {
        match &timed.event {
            Event::FaultBegan { description } => {
                let is_harmless = HARMLESS_FAULT_PREFIXES
                    .iter()
                    .any(|harmless| description.starts_with(harmless));
                if !is_harmless {
                    open.entry(description).or_insert(timed.at_ms);
                }
            }
            Event::FaultEnded { description } => {
                if let Some(from) = open.remove(description.as_str()) {
                    intervals.push(Interval::new(
                        from,
                        timed.at_ms + ORDER_DELAY_AFTER_FAULT_MS,
                    ));
                }
            }
            _ => {}
        }
    }
    let ongoing = open.into_values();
    intervals.extend(ongoing.map(|from| Interval::new(from, u64::MAX)));
    intervals
}

/// An interval in which a worker could not be reached.
struct UnreachableInterval<'a> {
    worker: &'a str,
    interval: Interval,
}

/// Intervals in which workers were unreachable, derived from the [`Event::FaultBegan`] events that mark a worker as
/// unreachable or reachable.
fn unreachable_intervals(history: &History) -> Vec<UnreachableInterval<'_>> {
    let mut intervals: Vec<UnreachableInterval> = Vec::new();
    for timed in &history.events {
        let Event::FaultBegan { description } = &timed.event else {
            continue;
        };
        if let Some(worker) = description.strip_prefix(WORKER_UNREACHABLE) {
            intervals.push(UnreachableInterval {
                worker,
                interval: Interval::new(timed.at_ms, u64::MAX),
            });
        } else if let Some(worker) = description.strip_prefix(WORKER_REACHABLE) {
            let ongoing = intervals.iter_mut().filter(|unreachable| {
                unreachable.worker == worker && unreachable.interval.to == u64::MAX
            });
            ongoing.for_each(|unreachable| {
                unreachable.interval.to = timed.at_ms + ORDER_DELAY_AFTER_UNREACHABLE_MS
            });
        }
    }
    intervals
}
