//! Checkers of runs: when they start, where they run, how often they are tried, and gangs.

mod gangs;
mod limits;
mod placement;

pub use gangs::{alone_times, gangs};
pub use limits::{max_attempts, Limits};
pub use placement::{cpu, evacuated_zones, fitting, leaving};

use crate::checkers::{Broken, Promised};
use crate::history::{Event, History};
use landingdrift::state::{JobSpec, Outcome, TaskSpec};
use std::collections::{BTreeMap, BTreeSet};

type Specs<'a> = BTreeMap<&'a str, &'a JobSpec>;

fn specs(h: &History) -> Specs<'_> {
    h.events
        .iter()
        .filter_map(|a| {
            if let Event::Offered { spec } = &a.e {
                Some((spec.id.as_str(), spec))
            } else {
                None
            }
        })
        .collect()
}

fn task<'a>(s: &Specs<'a>, job: &str, task: &str) -> Option<&'a TaskSpec> {
    s.get(job)
        .and_then(|j| j.tasks.iter().find(|t| t.name == task))
}

/// One run of a task on a worker.
struct Run<'a> {
    worker: &'a str,
    job: &'a str,
    task: &'a str,
    from: u64,
    to: u64,
    outcome: Option<Outcome>,
}

/// All runs; those that never ended go on to the end of time, and a dead worker's end with it.
fn runs(h: &History) -> Vec<Run<'_>> {
    let mut out: Vec<Run> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for a in &h.events {
        match &a.e {
            Event::Started {
                worker,
                no,
                job,
                task,
                ..
            } => {
                open.insert((worker, *no), out.len());
                out.push(Run {
                    worker,
                    job,
                    task,
                    from: a.t,
                    to: u64::MAX,
                    outcome: None,
                });
            }
            Event::Ended {
                worker,
                no,
                outcome,
                ..
            } if *outcome != Outcome::NeverStarted => {
                if let Some(i) = open.remove(&(worker.as_str(), *no)) {
                    out[i].to = a.t;
                    out[i].outcome = Some(*outcome);
                }
            }
            Event::WorkerDied { worker } => {
                let dead: Vec<(&str, u64)> =
                    open.keys().filter(|(w, _)| w == worker).copied().collect();
                dead.into_iter()
                    .filter_map(|k| open.remove(&k))
                    .for_each(|i| out[i].to = a.t);
            }
            _ => {}
        }
    }
    out
}

/// Without leave to repeat, a task never runs twice at once and never again after it finished well.
pub fn no_repeat(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut by_task: BTreeMap<(&str, &str), Vec<Run>> = BTreeMap::new();
    for r in runs(h) {
        if task(&s, r.job, r.task).is_some_and(|t| !t.may_repeat) {
            by_task.entry((r.job, r.task)).or_default().push(r);
        }
    }
    let mut out = Vec::new();
    for ((job, name), of) in by_task {
        for (i, r) in of.iter().enumerate() {
            for before in &of[..i] {
                if before.to > r.from {
                    out.push(Broken::new(
                        "no repeat without leave",
                        r.from,
                        format!(
                            "{job}/{name} started on {} while it ran on {}",
                            r.worker, before.worker
                        ),
                    ));
                } else if before.outcome == Some(Outcome::Succeeded) {
                    out.push(Broken::new(
                        "no repeat without leave",
                        r.from,
                        format!(
                            "{job}/{name} started again on {} after it had finished well",
                            r.worker
                        ),
                    ));
                }
            }
        }
    }
    out
}

/// No task starts before the steps it depends on are done.
pub fn steps_in_order(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut well: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::Ended {
                job,
                task,
                outcome: Outcome::Succeeded,
                ..
            } => {
                well.insert((job, task));
            }
            Event::Started {
                job, task: name, ..
            } => {
                let missing = task(&s, job, name)
                    .into_iter()
                    .flat_map(|t| &t.depends_on)
                    .find(|d| !well.contains(&(job.as_str(), d.as_str())));
                out.extend(missing.map(|d| {
                    Broken::new(
                        "steps in order",
                        a.t,
                        format!("{job}/{name} started before {d} was done"),
                    )
                }));
            }
            _ => {}
        }
    }
    out
}

/// No task starts noticeably before its appointed time.
pub fn not_early(h: &History, p: &Promised) -> Vec<Broken> {
    let s = specs(h);
    h.events
        .iter()
        .filter_map(|a| match &a.e {
            Event::Started {
                job, task: name, ..
            } => task(&s, job, name)
                .filter(|t| a.t + p.epoch + p.early < t.due)
                .map(|t| {
                    Broken::new(
                        "not before its time",
                        a.t,
                        format!("{job}/{name} started {} ms early", t.due - a.t - p.epoch),
                    )
                }),
            _ => None,
        })
        .collect()
}
