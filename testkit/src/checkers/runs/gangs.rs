//! Checkers of gangs: members run together.

use super::{runs, specs, task, Run};
use crate::checkers::conditions::Conditions;
use crate::checkers::{Broken, Promised};
use crate::history::{Event, History};
use landingdrift::state::Outcome;
use std::collections::BTreeMap;

/// Members of a gang are never left waiting alone: whoever runs for long, runs with all that are not done.
pub fn gangs(h: &History, p: &Promised) -> Vec<Broken> {
    alone_times(h, p)
        .into_iter()
        .filter(|a| a.ms > if a.struck { p.alone_struck } else { p.alone })
        .map(|a| {
            Broken::new(
                "gangs together",
                a.t,
                format!(
                    "{} was alone for {} ms{}",
                    a.who,
                    a.ms,
                    if a.struck {
                        ", a member was struck"
                    } else {
                        ""
                    }
                ),
            )
        })
        .collect()
}

/// How long a gang's member ran without another one.
pub struct Alone {
    pub who: String,
    pub t: u64,
    pub ms: u64,
    /// A fault struck a member's worker, or the processes that give it orders, meanwhile.
    pub struck: bool,
}

/// Every time that a member of a gang ran without another.
pub fn alone_times(h: &History, p: &Promised) -> Vec<Alone> {
    let c = Conditions::of(h, p.recover, p.outage);
    let s = specs(h);
    let all = runs(h);
    let mut of: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for r in &all {
        if let Some(t) = task(&s, r.job, r.task).filter(|t| !t.gang.is_empty()) {
            of.entry((r.job, t.gang.as_str())).or_default().push(r);
        }
    }
    let dark = dark_times(h);
    let end = h.events.last().map_or(0, |a| a.t);
    let struck: Vec<(u64, u64)> = strikes(h);
    let mut out = Vec::new();
    for ((job, gang), runs) in &of {
        let names: Vec<&str> = s[job]
            .tasks
            .iter()
            .filter(|t| t.gang == *gang)
            .map(|t| t.name.as_str())
            .collect();
        for r in runs {
            let to = r.to.min(end);
            // A worker that nobody can reach can't be told to stop.
            let reached = dark
                .iter()
                .filter(|(w, from, until)| *w == r.worker && *from <= to && *until >= r.from)
                .map(|(_, from, _)| *from)
                .min();
            let to = reached.map_or(to, |t| to.min(t.max(r.from)));
            for other in names.iter().filter(|n| **n != r.task) {
                let partners = runs.iter().filter(|x| x.task == *other);
                // With it from when it starts, if it has not ended by then, or at once when it was done well.
                let since = partners
                    .filter(|x| x.to >= r.from || x.outcome == Some(Outcome::Succeeded))
                    .map(|x| x.from.max(r.from))
                    .min()
                    .unwrap_or(u64::MAX);
                let until = since.min(to);
                out.push(Alone {
                    who: format!("{job}/{} on {}", r.task, r.worker),
                    t: r.from,
                    // While the replica has no majority nobody can be told to stop.
                    ms: c.answerable(r.from, until.max(r.from)),
                    struck: struck.iter().any(|(a, b)| *a <= until && *b >= r.from),
                });
            }
        }
    }
    out
}

/// Times in which some fault was at work that keeps orders from workers, and shortly after.
fn strikes(h: &History) -> Vec<(u64, u64)> {
    let mut out: Vec<(u64, u64)> = Vec::new();
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    let quiet = [
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
        "dark",
        "light",
    ];
    for a in &h.events {
        match &a.e {
            Event::Fault { what } if !quiet.iter().any(|q| what.starts_with(q)) => {
                open.entry(what).or_insert(a.t);
            }
            Event::Healed { what } => {
                out.extend(open.remove(what.as_str()).map(|t| (t, a.t + 4000)))
            }
            _ => {}
        }
    }
    out.extend(open.into_values().map(|t| (t, u64::MAX)));
    out
}

/// Times in which a worker could not be reached, as the faults say.
fn dark_times(h: &History) -> Vec<(&str, u64, u64)> {
    let mut out: Vec<(&str, u64, u64)> = Vec::new();
    for a in &h.events {
        if let Event::Fault { what } = &a.e {
            if let Some(w) = what.strip_prefix("dark ") {
                out.push((w, a.t, u64::MAX));
            } else if let Some(w) = what.strip_prefix("light ") {
                out.iter_mut()
                    .filter(|(n, _, to)| *n == w && *to == u64::MAX)
                    .for_each(|d| d.2 = a.t + 2000);
            }
        }
    }
    out
}
