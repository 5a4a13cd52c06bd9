use super::conditions::Conditions;
use super::{Broken, Promised};
use crate::history::{Event, History};
use std::collections::BTreeMap;

/// Whether a job in this state has come to its end.
pub fn ended(state: &str) -> bool {
    ["done", "failed", "cancelled"].contains(&state)
}

/// An accepted job is known from then on, to the end of the day, and an end once told stays that end.
pub fn never_forgotten(h: &History, p: &Promised) -> Vec<Broken> {
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut ends: BTreeMap<&str, &str> = BTreeMap::new();
    let mut out = Vec::new();
    let mut outln = |t, what| out.push(Broken::new("never forgotten", t, what));
    for a in &h.events {
        match &a.e {
            Event::Submitted {
                id,
                status: 200 | 202,
                ..
            }
            | Event::CancelAcked { id } => {
                accepted.entry(id).or_insert(a.t);
            }
            Event::Polled {
                id, status: 404, ..
            } if accepted
                .get(id.as_str())
                .is_some_and(|t| a.t >= t + p.state) =>
            {
                outln(a.t, format!("job {id} was accepted and is unknown"))
            }
            Event::Polled {
                id,
                status: 200,
                state,
                stale,
                ..
            } => {
                accepted.entry(id).or_insert(a.t);
                match ends.get(id.as_str()) {
                    Some(before) if before != state && !stale => outln(
                        a.t,
                        format!("job {id} was told as {before} and is {state} now"),
                    ),
                    None if ended(state) => {
                        ends.insert(id, state);
                    }
                    _ => {}
                }
            }
            Event::Closed { jobs, .. } => {
                accepted
                    .keys()
                    .filter(|id| !jobs.contains_key(**id))
                    .for_each(|id| {
                        outln(
                            a.t,
                            format!("job {id} was accepted and is gone at the end of the day"),
                        )
                    });
                ends.iter()
                    .filter_map(|(id, before)| {
                        jobs.get(*id)
                            .filter(|(s, _)| s != before)
                            .map(|(s, _)| (id, before, s))
                    })
                    .for_each(|(id, before, s)| {
                        outln(
                            a.t,
                            format!(
                                "job {id} was told as {before} and is {s} at the end of the day"
                            ),
                        )
                    });
            }
            _ => {}
        }
    }
    out
}

/// From acceptance on, whoever asks nodes that say they are ready gets the state soon.
pub fn state_in_time(h: &History, p: &Promised) -> Vec<Broken> {
    unknown_times(h, p)
        .into_iter()
        .filter(|(_, _, ms)| *ms > p.state)
        .map(|(id, t, ms)| {
            Broken::new(
                "state within its bound",
                t,
                format!("the state of job {id} could not be told for {ms} ms"),
            )
        })
        .collect()
}

/// How long each asking took that began after acceptance, by when it ended, without what is excused.
pub fn unknown_times<'a>(h: &'a History, p: &Promised) -> Vec<(&'a str, u64, u64)> {
    let mut c = Conditions::of(h, p.recover, p.outage);
    // Answers that the network loses nobody gets; the client's own patience comes on top.
    let mut lost = None;
    for a in &h.events {
        match &a.e {
            Event::Fault { what } if what.starts_with("LostAnswers") => lost = lost.or(Some(a.t)),
            Event::Healed { what } if what.starts_with("LostAnswers") => lost
                .take()
                .into_iter()
                .for_each(|from| c.excuse(from, a.t + 1000)),
            _ => {}
        }
    }
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut asking: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::Submitted {
                id,
                status: 200 | 202,
                ..
            }
            | Event::CancelAcked { id } => {
                accepted.entry(id).or_insert(a.t);
            }
            Event::Asked { id } if accepted.contains_key(id.as_str()) => {
                asking.entry(id).or_insert(a.t);
            }
            Event::Polled {
                id, status: 200, ..
            } => {
                accepted.entry(id).or_insert(a.t);
                out.extend(
                    asking
                        .remove(id.as_str())
                        .map(|from| (id.as_str(), a.t, c.answerable(from, a.t))),
                );
            }
            // Whoever cancels asks for something else meanwhile.
            Event::CancelAsked { id } => {
                asking.remove(id.as_str());
            }
            Event::Closed { .. } => out.extend(
                asking
                    .iter()
                    .map(|(id, from)| (*id, a.t, c.answerable(*from, a.t))),
            ),
            _ => {}
        }
    }
    out
}

/// What is known of one job's calls to hand it in.
#[derive(Default)]
struct Calls {
    open: bool,
    /// A call's outcome is not known.
    doubt: bool,
    accepted: bool,
    refused: Option<u64>,
}

/// A job that was refused does not run, unless it is handed in again.
pub fn turned_away_never_runs(h: &History, _: &Promised) -> Vec<Broken> {
    let mut jobs: BTreeMap<&str, Calls> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::Handed { id } => {
                let j = jobs.entry(id).or_default();
                j.doubt |= j.open;
                j.open = true;
                j.refused = None;
            }
            Event::Submitted { id, status, code } => {
                let j = jobs.entry(id).or_default();
                j.open = false;
                match status {
                    200 | 202 => j.accepted = true,
                    // Refusals of the job itself.
                    400 | 413 | 429 => j.refused = Some(a.t),
                    // Refusals of this call: an earlier one may have got through.
                    503 if code != "unsure" => j.refused = (!j.doubt).then_some(a.t),
                    _ => j.doubt = true,
                }
            }
            Event::CancelAcked { id } => jobs.entry(id).or_default().accepted = true,
            Event::Started { job, worker, .. } => {
                let refused = jobs
                    .get(job.as_str())
                    .filter(|j| !j.accepted)
                    .and_then(|j| j.refused);
                out.extend(refused.map(|t| {
                    Broken::new(
                        "turned away never runs",
                        a.t,
                        format!("job {job} was turned away at {t} and started on {worker}"),
                    )
                }));
            }
            _ => {}
        }
    }
    out
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
            Event::Started { job, task, .. }
                if acked.get(job.as_str()).is_some_and(|t| a.t > t + p.cancel) =>
            {
                out.push(Broken::new(
                    "cancelled stays cancelled",
                    a.t,
                    format!(
                        "{job}/{task} started {} ms after its cancel was acknowledged",
                        a.t - acked[job.as_str()]
                    ),
                ))
            }
            _ => {}
        }
    }
    out
}

/// When the day closes, every accepted job has ended or is shown as unsure.
pub fn all_end(h: &History, _: &Promised) -> Vec<Broken> {
    let closed = h.events.iter().rev().find_map(|a| {
        if let Event::Closed { jobs, .. } = &a.e {
            Some((a.t, jobs))
        } else {
            None
        }
    });
    closed.map_or(Vec::new(), |(t, jobs)| {
        jobs.iter()
            .filter(|(_, (state, unsure))| !ended(state) && !unsure)
            .map(|(id, (state, _))| {
                Broken::new(
                    "all come to an end",
                    t,
                    format!("job {id} is still {state}"),
                )
            })
            .collect()
    })
}
