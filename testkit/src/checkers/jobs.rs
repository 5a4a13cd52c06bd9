//! Checkers of the answers that clients get about their jobs.

use super::conditions::Conditions;
use super::{PromisedBounds, Violation};
use crate::history::{Event, FinalState, History};
use std::collections::{BTreeMap, BTreeSet};

/// The time that clients may need for an answer after a lost-answers fault ends, in milliseconds: the timeout of a
/// poll.
const CLIENT_RETRY_MS: u64 = 1000;

/// The prefix of the descriptions of faults that lose answers: the name of
/// [`FaultKind::LostAnswers`](crate::scenario::FaultKind::LostAnswers).
const LOST_ANSWERS_PREFIX: &str = "LostAnswers";

/// Whether a job state of the API is final.
pub fn is_final_state(state: &str) -> bool {
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
            known.accepted_ms.entry(id).or_insert(timed.at_ms);
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

/// Accepted jobs and final states as clients observed them, with the violations found.
#[derive(Default)]
struct KnownJobs<'a> {
    /// When each job was first known to be accepted, in milliseconds.
    accepted_ms: BTreeMap<&'a str, u64>,
    /// The first final state that was reported for each job.
    final_states: BTreeMap<&'a str, &'a str>,
    violations: Vec<Violation>,
}

impl<'a> KnownJobs<'a> {
    fn add_violation(&mut self, at_ms: u64, description: String) {
        let violation = Violation::new("never forgotten", at_ms, description);
        self.violations.push(violation);
    }

    fn check_unknown(&mut self, id: &str, at_ms: u64, state_ms: u64) {
        let accepted = self.accepted_ms.get(id);
        if accepted.is_some_and(|accepted_ms| at_ms >= accepted_ms + state_ms) {
            self.add_violation(at_ms, format!("job {id} was accepted but is unknown"));
        }
    }

    fn check_state(&mut self, id: &'a str, state: &'a str, stale: bool, at_ms: u64) {
        match self.final_states.get(id) {
            Some(final_state) if *final_state != state && !stale => {
                let description =
                    format!("job {id} was reported as {final_state} but is {state} now");
                self.add_violation(at_ms, description);
            }
            None if is_final_state(state) => {
                self.final_states.insert(id, state);
            }
            _ => {}
        }
    }

    fn check_final(&mut self, jobs: &BTreeMap<String, FinalState>, at_ms: u64) {
        let mut descriptions = Vec::new();
        for id in self.accepted_ms.keys() {
            if !jobs.contains_key(*id) {
                descriptions.push(format!(
                    "job {id} was accepted but is missing at the end of the day"
                ));
            }
        }
        for (id, final_state) in &self.final_states {
            let Some(last) = jobs.get(*id) else { continue };
            if last.state != *final_state {
                descriptions.push(format!(
                    "job {id} was reported as {final_state} but is {} at the end of the day",
                    last.state
                ));
            }
        }
        for description in descriptions {
            self.add_violation(at_ms, description);
        }
    }
}

/// Once a job is accepted, clients that poll it get its state within `state_ms`.
pub fn state_in_time(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    unanswered_intervals(history, bounds)
        .into_iter()
        .filter(|unanswered| unanswered.duration_ms > bounds.state_ms)
        .map(|unanswered| {
            Violation::new(
                "state within its bound",
                unanswered.until,
                format!(
                    "the state of job {} was unavailable for {} ms",
                    unanswered.job, unanswered.duration_ms
                ),
            )
        })
        .collect()
}

/// An interval in which a client polled an accepted job without getting its state.
pub struct UnansweredInterval<'a> {
    pub job: &'a str,
    /// The end of the interval, in milliseconds.
    pub until: u64,
    /// The length of the interval without its excused parts, in milliseconds.
    pub duration_ms: u64,
}

/// All intervals in which clients polled accepted jobs without getting their states.
pub fn unanswered_intervals<'a>(
    history: &'a History,
    bounds: &PromisedBounds,
) -> Vec<UnansweredInterval<'a>> {
    let mut conditions = Conditions::new(history, bounds);
    excuse_lost_answers(&mut conditions, history);
    let unanswered_interval = |job: &'a str, from: u64, until: u64| UnansweredInterval {
        job,
        until,
        duration_ms: conditions.unexcused_ms(from, until),
    };
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut polling_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut intervals = Vec::new();
    for timed in &history.events {
        let now = timed.at_ms;
        if let Some(id) = accepted_job(&timed.event) {
            accepted.entry(id).or_insert(now);
        }
        match &timed.event {
            Event::StateRequested { id } if accepted.contains_key(id.as_str()) => {
                polling_since.entry(id).or_insert(now);
            }
            Event::StateAnswered {
                id, status: 200, ..
            } => {
                if let Some(from) = polling_since.remove(id.as_str()) {
                    intervals.push(unanswered_interval(id, from, now));
                }
            }
            // The client stops polling when it cancels.
            Event::CancelRequested { id } => {
                polling_since.remove(id.as_str());
            }
            Event::DayEnded { .. } => {
                for (id, from) in &polling_since {
                    intervals.push(unanswered_interval(id, *from, now));
                }
            }
            _ => {}
        }
    }
    intervals
}

/// Excuses the intervals in which answers are lost, and [`CLIENT_RETRY_MS`] after each.
fn excuse_lost_answers(conditions: &mut Conditions, history: &History) {
    let mut lost_since = None;
    for timed in &history.events {
        match &timed.event {
            Event::FaultBegan { description } if description.starts_with(LOST_ANSWERS_PREFIX) => {
                lost_since = lost_since.or(Some(timed.at_ms));
            }
            Event::FaultEnded { description } if description.starts_with(LOST_ANSWERS_PREFIX) => {
                if let Some(from) = lost_since.take() {
                    conditions.excuse(from, timed.at_ms + CLIENT_RETRY_MS);
                }
            }
            _ => {}
        }
    }
}

/// The calls that submit one job, and their outcomes so far.
#[derive(Default)]
struct SubmitCalls {
    /// The latest call has no answer yet.
    is_open: bool,
    /// The outcome of an earlier call is unknown: it may have caused the job to be accepted.
    is_uncertain: bool,
    is_accepted: bool,
    /// When the job was definitely refused, in milliseconds.
    refused_ms: Option<u64>,
}

impl SubmitCalls {
    fn on_requested(&mut self) {
        self.is_uncertain |= self.is_open;
        self.is_open = true;
        self.refused_ms = None;
    }

    fn on_answered(&mut self, status: u16, code: &str, at_ms: u64) {
        self.is_open = false;
        match status {
            200 | 202 => self.is_accepted = true,
            // Refusals of the job itself.
            400 | 413 | 429 => self.refused_ms = Some(at_ms),
            // Refusals of this call only: the job may have been accepted by an earlier call.
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
            Event::SubmitRequested { id } => jobs.entry(id).or_default().on_requested(),
            Event::SubmitAnswered { id, status, code } => {
                let calls = jobs.entry(id).or_default();
                calls.on_answered(*status, code, timed.at_ms);
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

/// No run of a job starts later than `cancel_ms` after its cancel was acknowledged. A job whose cancel was answered that
/// there is no such job is not accepted afterwards.
pub fn cancelled_stays_cancelled(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut acknowledged: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found_no_job: BTreeSet<&str> = BTreeSet::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::CancelAcknowledged { id } => {
                acknowledged.entry(id).or_insert(timed.at_ms);
            }
            Event::CancelFoundNoJob { id } => {
                acknowledged.entry(id).or_insert(timed.at_ms);
                found_no_job.insert(id);
            }
            Event::DayEnded { jobs, .. } => {
                let reappeared = found_no_job.iter().filter(|id| jobs.contains_key(**id));
                violations.extend(reappeared.map(|id| {
                    let description =
                        format!("{id} was accepted after its cancel found no such job");
                    Violation::new("cancelled stays cancelled", timed.at_ms, description)
                }));
            }
            Event::RunStarted { job, task, .. } => {
                let Some(cancelled_ms) = acknowledged.get(job.as_str()) else {
                    continue;
                };
                let delay_ms = timed.at_ms - cancelled_ms;
                if delay_ms > bounds.cancel_ms {
                    violations.push(Violation::new(
                        "cancelled stays cancelled",
                        timed.at_ms,
                        format!(
                            "{job}/{task} started {delay_ms} ms after its cancel was acknowledged"
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// At the end of the day, every job has ended or has a task whose outcome is unknown (`unsure`).
pub fn all_jobs_end(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut newest_first = history.events.iter().rev();
    let day_end = newest_first.find_map(|timed| match &timed.event {
        Event::DayEnded { jobs, .. } => Some((timed.at_ms, jobs)),
        _ => None,
    });
    let Some((at_ms, jobs)) = day_end else {
        return Vec::new();
    };
    jobs.iter()
        .filter(|(_, last)| !is_final_state(&last.state) && !last.unsure)
        .map(|(id, last)| {
            let description = format!("job {id} is still {} at the end of the day", last.state);
            Violation::new("all come to an end", at_ms, description)
        })
        .collect()
}
