//! Checkers of runs: their repetition, dependencies, start times, placement and number of attempts, and the members of
//! gangs.

mod due_times;
mod gangs;
mod limits;
mod placement;
mod unreported;

pub use due_times::{not_before_due_time, not_long_after_due_time};
pub use gangs::{gangs_together, times_without_partner};
pub use limits::{max_attempts, Limits};
pub use placement::{
    no_start_in_emptied_zones, no_start_on_leaving_workers, only_fitting_workers, within_capacity,
};

use crate::checkers::{PromisedBounds, Violation};
use crate::history::{Event, History};
use landingdrift::state::{JobSpec, Outcome, TaskSpec};
use std::collections::{BTreeMap, BTreeSet};
use unreported::unreported_ends;

/// The specifications of all offered jobs, by job id.
struct Specs<'a>(BTreeMap<&'a str, &'a JobSpec>);

impl<'a> Specs<'a> {
    fn new(history: &'a History) -> Self {
        let offered = history
            .events
            .iter()
            .filter_map(|timed| match &timed.event {
                Event::Offered { spec } => Some((spec.id.as_str(), spec)),
                _ => None,
            });
        Self(offered.collect())
    }

    fn job(&self, id: &str) -> Option<&'a JobSpec> {
        self.0.get(id).copied()
    }

    fn task(&self, job: &str, name: &str) -> Option<&'a TaskSpec> {
        let tasks = &self.job(job)?.tasks;
        tasks.iter().find(|task| task.name == name)
    }
}

/// The id of a job and the name of one of its tasks.
type TaskKey<'a> = (&'a str, &'a str);

/// One run of a task on a worker.
struct Run<'a> {
    worker: &'a str,
    job: &'a str,
    task: &'a str,
    from: u64,
    /// When the run ended, in milliseconds; `u64::MAX` if it has not ended.
    to: u64,
    /// The outcome of the run; none if it has not ended, if its worker died, or if the worker could not report the end.
    outcome: Option<Outcome>,
}

/// All runs, in the order of their starts.
fn runs(history: &History) -> Vec<Run<'_>> {
    let unreported = unreported_ends(history);
    let mut runs: Vec<Run> = Vec::new();
    // The indices in `runs` of the runs that have not ended, by worker and attempt.
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for timed in &history.events {
        match &timed.event {
            Event::RunStarted {
                worker,
                attempt,
                job,
                task,
                ..
            } => {
                open.insert((worker, *attempt), runs.len());
                runs.push(Run {
                    worker,
                    job,
                    task,
                    from: timed.at_ms,
                    to: u64::MAX,
                    outcome: None,
                });
            }
            Event::RunEnded {
                worker,
                attempt,
                outcome,
                ..
            } if *outcome != Outcome::NeverStarted => {
                if let Some(position) = open.remove(&(worker.as_str(), *attempt)) {
                    runs[position].to = timed.at_ms;
                    let is_reported = !unreported.contains(&(worker.as_str(), *attempt));
                    runs[position].outcome = is_reported.then_some(*outcome);
                }
            }
            Event::WorkerDied { worker } => open.retain(|(run_worker, _), position| {
                let has_died = run_worker == worker;
                if has_died {
                    runs[*position].to = timed.at_ms;
                }
                !has_died
            }),
            _ => {}
        }
    }
    runs
}

/// A task that may not be repeated never runs twice at the same time, and never again after it succeeded.
pub fn no_unpermitted_repeat(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let specs = Specs::new(history);
    let mut runs_of_task: BTreeMap<TaskKey, Vec<Run>> = BTreeMap::new();
    for run in runs(history) {
        let task = specs.task(run.job, run.task);
        if task.is_some_and(|task| !task.may_repeat) {
            let runs = runs_of_task.entry((run.job, run.task)).or_default();
            runs.push(run);
        }
    }
    let mut violations = Vec::new();
    for runs in runs_of_task.values() {
        for (position, run) in runs.iter().enumerate() {
            let earlier = runs[..position].iter();
            violations.extend(earlier.filter_map(|earlier| repeat_violation(earlier, run)));
        }
    }
    violations
}

/// The violation if `run` must not follow the earlier run of the same task; none if it may.
fn repeat_violation(earlier: &Run, run: &Run) -> Option<Violation> {
    let Run {
        job, task, worker, ..
    } = run;
    let description = if earlier.to > run.from {
        format!(
            "{job}/{task} started on {worker} while it ran on {}",
            earlier.worker
        )
    } else if earlier.outcome == Some(Outcome::Succeeded) {
        format!("{job}/{task} started again on {worker} after it had succeeded")
    } else {
        return None;
    };
    Some(Violation::new(
        "no repeat without leave",
        run.from,
        description,
    ))
}

/// No task starts before the tasks that it depends on have succeeded.
pub fn dependencies_first(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let specs = Specs::new(history);
    let mut succeeded: BTreeSet<TaskKey> = BTreeSet::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::RunEnded {
                job,
                task,
                outcome: Outcome::Succeeded,
                ..
            } => {
                succeeded.insert((job, task));
            }
            Event::RunStarted { job, task, .. } => {
                let Some(spec) = specs.task(job, task) else {
                    continue;
                };
                let mut dependencies = spec.depends_on.iter();
                let missing = dependencies.find(|name| !succeeded.contains(&(job, name.as_str())));
                if let Some(missing) = missing {
                    violations.push(Violation::new(
                        "steps in order",
                        timed.at_ms,
                        format!("{job}/{task} started before {missing} succeeded"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
