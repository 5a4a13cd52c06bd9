//! Checkers of the answers that clients get about their jobs.

use super::conditions::Conditions;
use super::{PromisedBounds, Violation};
use crate::history::{Event, FinalState, History};
use std::collections::BTreeMap;

/// After answers stop being lost, clients need up to this long to get one, in milliseconds: they retry after a timeout
/// of their own.
const CLIENT_RETRY_MS: u64 = 1000;

/// How the descriptions of faults that lose answers begin: the name of
/// [`FaultKind::LostAnswers`](crate::scenario::FaultKind::LostAnswers).
const LOST_ANSWERS: &str = "LostAnswers";

/// Whether a state in the API is a final one.
pub fn has_ended(state: &str) -> bool {
    ["done", "failed", "cancelled"].contains(&state)
}

/// The id of the job that an event proves to be accepted, if any.
fn accepted_job(event: &Event) -> Option<&str> {
    match event {
        Event::SubmitAnswered {
            id,
            status: 200 | 202,
            ..
        }
        | Event::CancelAcknowledged { id }
        | Event::StateAnswered {
            id, status: 200, ..
        } => Some(id),
        _ => None,
    }
}

/// An accepted job stays known until the end of the day, and a reported final state never changes.
pub fn never_forgotten(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut known = KnownJobs::default();
    for timed in &history.events {
        if let Some(id) = accepted_job(&timed.event) {
            known.accepted.entry(id).or_insert(timed.at_ms);
        }
        match &timed.event {
            Event::StateAnswered {
                id, status: 404, ..
            } => known.check_unknown(id, timed.at_ms, bounds.state_ms),
            Event::StateAnswered {
                id,
                status: 200,
                state,
                stale,
                ..
            } => known.check_state(id, state, *stale, timed.at_ms),
            Event::DayEnded { jobs, .. } => known.check_final(jobs, timed.at_ms),
            _ => {}
        }
    }
    known.violations
}

/// The accepted jobs and final states that clients know of.
#[derive(Default)]
struct KnownJobs<'a> {
    /// When each job was first known to be accepted.
    accepted: BTreeMap<&'a str, u64>,
    /// The final state of each job that has ended.
    ends: BTreeMap<&'a str, &'a str>,
    violations: Vec<Violation>,
}

impl<'a> KnownJobs<'a> {
    fn add_violation(&mut self, at_ms: u64, description: String) {
        let violation = Violation::new("never forgotten", at_ms, description);
        self.violations.push(violation);
    }

    fn check_unknown(&mut self, id: &str, at_ms: u64, state_ms: u64) {
        let accepted = self.accepted.get(id);
        if accepted.is_some_and(|accepted_ms| at_ms >= accepted_ms + state_ms) {
            self.add_violation(at_ms, format!("job {id} was accepted but is unknown"));
        }
    }

    fn check_state(&mut self, id: &'a str, state: &'a str, stale: bool, at_ms: u64) {
        match self.ends.get(id) {
            Some(end) if *end != state && !stale => {
                let description = format!("job {id} was reported as {end} but is {state} now");
                self.add_violation(at_ms, description);
            }
            None if has_ended(state) => {
                self.ends.insert(id, state);
            }
            _ => {}
        }
    }

    fn check_final(&mut self, jobs: &BTreeMap<String, FinalState>, at_ms: u64) {
        let mut descriptions = Vec::new();
        for id in self.accepted.keys() {
            if !jobs.contains_key(*id) {
                descriptions.push(format!(
                    "job {id} was accepted but is missing at the end of the day"
                ));
            }
        }
        for (id, end) in &self.ends {
            let Some(last) = jobs.get(*id) else { continue };
            if last.state != *end {
                descriptions.push(format!(
                    "job {id} was reported as {end} but is {} at the end of the day",
                    last.state
                ));
            }
        }
        for description in descriptions {
            self.add_violation(at_ms, description);
        }
    }
}

/// From acceptance on, clients that poll ready nodes get the job's state within its bound.
pub fn state_in_time(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    unanswered_times(history, bounds)
        .into_iter()
        .filter(|time| time.duration_ms > bounds.state_ms)
        .map(|time| {
            Violation::new(
                "state within its bound",
                time.until,
                format!(
                    "the state of job {} was unavailable for {} ms",
                    time.job, time.duration_ms
                ),
            )
        })
        .collect()
}

/// A time in which a client polled an accepted job without getting its state.
pub struct UnansweredTime<'a> {
    pub job: &'a str,
    /// When it ended, in milliseconds.
    pub until: u64,
    /// How long it lasted without its excused parts, in milliseconds.
    pub duration_ms: u64,
}

/// All times in which clients polled accepted jobs without getting their states.
pub fn unanswered_times<'a>(
    history: &'a History,
    bounds: &PromisedBounds,
) -> Vec<UnansweredTime<'a>> {
    let mut conditions = Conditions::new(history, bounds);
    excuse_lost_answers(&mut conditions, history);
    let unanswered_time = |job: &'a str, from: u64, until: u64| UnansweredTime {
        job,
        until,
        duration_ms: conditions.unexcused_ms(from, until),
    };
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut asking_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut times = Vec::new();
    for timed in &history.events {
        let now = timed.at_ms;
        if let Some(id) = accepted_job(&timed.event) {
            accepted.entry(id).or_insert(now);
        }
        match &timed.event {
            Event::StateRequested { id } if accepted.contains_key(id.as_str()) => {
                asking_since.entry(id).or_insert(now);
            }
            Event::StateAnswered {
                id, status: 200, ..
            } => {
                if let Some(from) = asking_since.remove(id.as_str()) {
                    times.push(unanswered_time(id, from, now));
                }
            }
            // The client stops polling when it cancels.
            Event::CancelRequested { id } => {
                asking_since.remove(id.as_str());
            }
            Event::DayEnded { .. } => {
                for (id, from) in &asking_since {
                    times.push(unanswered_time(id, *from, now));
                }
            }
            _ => {}
        }
    }
    times
}

/// Excuses the times in which answers are lost, and the clients' retry timeout after them.
fn excuse_lost_answers(conditions: &mut Conditions, history: &History) {
    let mut lost_since = None;
    for timed in &history.events {
        match &timed.event {
            Event::FaultBegan { description } if description.starts_with(LOST_ANSWERS) => {
                lost_since = lost_since.or(Some(timed.at_ms));
            }
            Event::FaultEnded { description } if description.starts_with(LOST_ANSWERS) => {
                if let Some(from) = lost_since.take() {
                    conditions.excuse(from, timed.at_ms + CLIENT_RETRY_MS);
                }
            }
            _ => {}
        }
    }
}

/// The state of the calls that submit one job.
#[derive(Default)]
struct SubmitCalls {
    /// The latest call has no answer yet.
    is_open: bool,
    /// The outcome of an earlier call is unknown: it may have been accepted.
    is_uncertain: bool,
    is_accepted: bool,
    /// When the job was definitely refused, in milliseconds.
    refused_ms: Option<u64>,
}

impl SubmitCalls {
    fn requested(&mut self) {
        self.is_uncertain |= self.is_open;
        self.is_open = true;
        self.refused_ms = None;
    }

    fn answered(&mut self, status: u16, code: &str, at_ms: u64) {
        self.is_open = false;
        match status {
            200 | 202 => self.is_accepted = true,
            // Refusals of the job itself.
            400 | 413 | 429 => self.refused_ms = Some(at_ms),
            // Refusals of this call only: an earlier one may have been accepted.
            503 if code != "unsure" => self.refused_ms = (!self.is_uncertain).then_some(at_ms),
            _ => self.is_uncertain = true,
        }
    }
}

/// A refused job never runs unless it is submitted again.
pub fn refused_never_runs(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut jobs: BTreeMap<&str, SubmitCalls> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::SubmitRequested { id } => jobs.entry(id).or_default().requested(),
            Event::SubmitAnswered { id, status, code } => {
                let calls = jobs.entry(id).or_default();
                calls.answered(*status, code, timed.at_ms);
            }
            Event::CancelAcknowledged { id } => jobs.entry(id).or_default().is_accepted = true,
            Event::RunStarted { job, worker, .. } => {
                let calls = jobs.get(job.as_str()).filter(|calls| !calls.is_accepted);
                if let Some(refused_ms) = calls.and_then(|calls| calls.refused_ms) {
                    violations.push(Violation::new(
                        "turned away never runs",
                        timed.at_ms,
                        format!("job {job} was refused at {refused_ms} ms but started on {worker}"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// No run of a job starts later than `cancel_ms` after its cancel was acknowledged.
pub fn cancelled(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut acknowledged: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::CancelAcknowledged { id } => {
                acknowledged.entry(id).or_insert(timed.at_ms);
            }
            Event::RunStarted { job, task, .. } => {
                let Some(cancelled_ms) = acknowledged.get(job.as_str()) else {
                    continue;
                };
                let late_ms = timed.at_ms - cancelled_ms;
                if late_ms > bounds.cancel_ms {
                    violations.push(Violation::new(
                        "cancelled stays cancelled",
                        timed.at_ms,
                        format!(
                            "{job}/{task} started {late_ms} ms after its cancel was acknowledged"
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// At the end of the day, every accepted job has ended or is reported as unsure.
pub fn all_end(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut newest_first = history.events.iter().rev();
    let day_end = newest_first.find_map(|timed| match &timed.event {
        Event::DayEnded { jobs, .. } => Some((timed.at_ms, jobs)),
        _ => None,
    });
    let Some((at_ms, jobs)) = day_end else {
        return Vec::new();
    };
    jobs.iter()
        .filter(|(_, last)| !has_ended(&last.state) && !last.unsure)
        .map(|(id, last)| {
            let description = format!("job {id} is still {}", last.state);
            Violation::new("all come to an end", at_ms, description)
        })
        .collect()
}
