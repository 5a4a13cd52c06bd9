use super::{Broken, Promised};
use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// An accepted job's state can always be asked for, soon after.
pub fn never_forgotten(h: &History, p: &Promised) -> Vec<Broken> {
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::Submitted { id, status: 200 | 202 } => {
                accepted.entry(id).or_insert(a.t);
            }
            Event::Polled { id, status: 404, .. } if accepted.get(id.as_str()).is_some_and(|t| a.t >= t + p.state) => out.push(Broken {
                rule: "never forgotten",
                t: a.t,
                what: format!("job {id} was accepted and is unknown"),
            }),
            Event::Closed { jobs, .. } => accepted.keys().filter(|id| !jobs.contains_key(**id)).for_each(|id| {
                out.push(Broken {
                    rule: "never forgotten",
                    t: a.t,
                    what: format!("job {id} was accepted and is gone at the end of the day"),
                })
            }),
            _ => {}
        }
    }
    out
}

/// A job that was refused for good never runs.
pub fn turned_away_never_runs(h: &History, _: &Promised) -> Vec<Broken> {
    let gave_up: BTreeSet<&str> = h.events.iter().filter_map(|a| if let Event::GaveUp { id } = &a.e { Some(id.as_str()) } else { None }).collect();
    h.events
        .iter()
        .filter_map(|a| match &a.e {
            Event::Started { job, worker, .. } if gave_up.contains(job.as_str()) => Some(Broken {
                rule: "turned away never runs",
                t: a.t,
                what: format!("job {job} was turned away and started on {worker}"),
            }),
            _ => None,
        })
        .collect()
}

/// Soon after a cancel is acknowledged nothing more of the job starts.
pub fn cancelled(h: &History, p: &Promised) -> Vec<Broken> {
    let mut acked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::CancelAcked { id } => {
                acked.entry(id).or_insert(a.t);
            }
            Event::Started { job, task, .. } if acked.get(job.as_str()).is_some_and(|t| a.t > t + p.cancel) => out.push(Broken {
                rule: "cancelled stays cancelled",
                t: a.t,
                what: format!("{job}/{task} started {} ms after its cancel was acknowledged", a.t - acked[job.as_str()]),
            }),
            _ => {}
        }
    }
    out
}

/// When the day closes, every accepted job has ended or is shown as unsure.
pub fn all_end(h: &History, _: &Promised) -> Vec<Broken> {
    let closed = h.events.iter().rev().find_map(|a| if let Event::Closed { jobs, .. } = &a.e { Some((a.t, jobs)) } else { None });
    closed.map_or(Vec::new(), |(t, jobs)| {
        jobs.iter()
            .filter(|(_, (state, unsure))| !["done", "failed", "cancelled"].contains(&state.as_str()) && !unsure)
            .map(|(id, (state, _))| Broken {
                rule: "all come to an end",
                t,
                what: format!("job {id} is still {state}"),
            })
            .collect()
    })
}
