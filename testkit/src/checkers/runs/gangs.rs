//! The checker of gangs: their members run at the same time.

use super::{runs, Run, Specs};
use crate::checkers::conditions::Conditions;
use crate::checkers::interval::Interval;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{Event, History, WORKER_REACHABLE, WORKER_UNREACHABLE};
use landingdrift::state::Outcome;
use std::collections::BTreeMap;

/// How long after its end a fault may still delay orders to workers, in milliseconds.
const ORDER_DELAY_AFTER_FAULT_MS: u64 = 4000;

/// How long after it is reachable again a worker may still miss orders, in milliseconds.
const ORDER_DELAY_AFTER_UNREACHABLE_MS: u64 = 2000;

/// How the descriptions of faults that delay no orders to workers begin: names of variants of
/// [`FaultKind`](crate::scenario::FaultKind) and marks of reachability.
const HARMLESS_FAULTS: [&str; 14] = [
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

/// No gang member runs longer than its bound without all partners that have not succeeded yet.
pub fn gangs(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for alone in alone_times(history, bounds) {
        let (max_ms, cause) = if alone.in_fault {
            (bounds.alone_in_fault_ms, " during a fault")
        } else {
            (bounds.alone_ms, "")
        };
        if alone.duration_ms > max_ms {
            let description = format!(
                "{} ran without a partner for {} ms{cause}",
                alone.member, alone.duration_ms
            );
            violations.push(Violation::new("gangs together", alone.from, description));
        }
    }
    violations
}

/// A time in which a gang member ran without one of its partners.
pub struct AloneTime {
    /// The member's job, task and worker, for messages.
    pub member: String,
    /// When the member started, in milliseconds.
    pub from: u64,
    /// How long it ran without the partner, without excused times, in milliseconds.
    pub duration_ms: u64,
    /// A fault that may have delayed orders to workers was active during that time.
    pub in_fault: bool,
}

/// The time that each run of a gang member went without each partner, one entry per run and partner.
pub fn alone_times(history: &History, bounds: &PromisedBounds) -> Vec<AloneTime> {
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
    let circumstances = Circumstances {
        conditions: Conditions::new(history, bounds),
        unreachable: unreachable_times(history),
        faults: fault_times(history),
        end_ms: history.end_ms(),
    };
    let mut alone_times = Vec::new();
    for ((job, gang), runs) in &runs_of_gang {
        let Some(spec) = specs.job(job) else { continue };
        let members = spec.tasks.iter().filter(|task| task.gang == *gang);
        let members: Vec<&str> = members.map(|task| task.name.as_str()).collect();
        for run in runs {
            for other in members.iter().filter(|member| **member != run.task) {
                let partners = runs.iter().filter(|partner| partner.task == *other);
                alone_times.push(circumstances.alone_time(run, partners.copied()));
            }
        }
    }
    alone_times
}

/// The circumstances that decide how long a run may be without its partners.
struct Circumstances<'a> {
    conditions: Conditions<'a>,
    unreachable: Vec<UnreachableTime<'a>>,
    faults: Vec<Interval>,
    /// The end of the history, in milliseconds.
    end_ms: u64,
}

impl Circumstances<'_> {
    /// The time that a run went without any run of one partner.
    fn alone_time<'r>(&self, run: &Run, partners: impl Iterator<Item = &'r Run<'r>>) -> AloneTime {
        // They are together from the partner's start if that had not ended before the run began; a partner that had
        // succeeded counts as present at once.
        let together_since = partners
            .filter(|partner| partner.to >= run.from || partner.outcome == Some(Outcome::Succeeded))
            .map(|partner| partner.from.max(run.from))
            .min()
            .unwrap_or(u64::MAX);
        let until = together_since.min(self.stoppable_until(run));
        let alone = Interval::new(run.from, until);
        AloneTime {
            member: format!("{}/{} on {}", run.job, run.task, run.worker),
            from: run.from,
            // Without a majority of replicas no stop order can be given.
            duration_ms: self.conditions.unexcused_ms(run.from, until.max(run.from)),
            in_fault: self.faults.iter().any(|fault| fault.overlaps(&alone)),
        }
    }

    /// The time until which the run's worker could receive a stop order: its end, or the first time it was unreachable.
    fn stoppable_until(&self, run: &Run) -> u64 {
        let to = run.to.min(self.end_ms);
        let whole = Interval::new(run.from, to);
        let first_unreachable = self
            .unreachable
            .iter()
            .filter(|time| time.worker == run.worker && time.interval.overlaps(&whole))
            .map(|time| time.interval.from)
            .min();
        first_unreachable.map_or(to, |from| to.min(from.max(run.from)))
    }
}

/// Times in which a fault that may delay orders to workers was active, each extended by [`ORDER_DELAY_AFTER_FAULT_MS`].
fn fault_times(history: &History) -> Vec<Interval> {
    let mut times: Vec<Interval> = Vec::new();
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    for timed in &history.events {
        match &timed.event {
            Event::FaultBegan { description } => {
                let is_harmless = HARMLESS_FAULTS
                    .iter()
                    .any(|harmless| description.starts_with(harmless));
                if !is_harmless {
                    open.entry(description).or_insert(timed.at_ms);
                }
            }
            Event::FaultEnded { description } => {
                if let Some(from) = open.remove(description.as_str()) {
                    times.push(Interval::new(
                        from,
                        timed.at_ms + ORDER_DELAY_AFTER_FAULT_MS,
                    ));
                }
            }
            _ => {}
        }
    }
    let lasting = open.into_values();
    times.extend(lasting.map(|from| Interval::new(from, u64::MAX)));
    times
}

/// A time in which a worker could not be reached.
struct UnreachableTime<'a> {
    worker: &'a str,
    interval: Interval,
}

/// Times in which workers were unreachable, from the marks in the descriptions of faults.
fn unreachable_times(history: &History) -> Vec<UnreachableTime<'_>> {
    let mut times: Vec<UnreachableTime> = Vec::new();
    for timed in &history.events {
        let Event::FaultBegan { description } = &timed.event else {
            continue;
        };
        if let Some(worker) = description.strip_prefix(WORKER_UNREACHABLE) {
            times.push(UnreachableTime {
                worker,
                interval: Interval::new(timed.at_ms, u64::MAX),
            });
        } else if let Some(worker) = description.strip_prefix(WORKER_REACHABLE) {
            let lasting = times
                .iter_mut()
                .filter(|time| time.worker == worker && time.interval.to == u64::MAX);
            lasting
                .for_each(|time| time.interval.to = timed.at_ms + ORDER_DELAY_AFTER_UNREACHABLE_MS);
        }
    }
    times
}
