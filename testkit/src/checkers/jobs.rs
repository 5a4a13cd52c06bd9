//! Checkers of what clients are told about their jobs.

use super::conditions::Conditions;
use super::{PromisedBounds, Violation};
use crate::history::{Event, FinalState, History};
use std::collections::BTreeMap;

/// Clients get their answers this long after the network stops losing them: they ask again after a time of their own,
/// in milliseconds.
const CLIENT_RETRY_MS: u64 = 1000;

/// Faults of this kind lose answers; see [`crate::scenario::Kind`].
const LOST_ANSWERS: &str = "LostAnswers";

/// Whether a job in this state has ended.
pub fn has_ended(state: &str) -> bool {
    ["done", "failed", "cancelled"].contains(&state)
}

/// The job that an event shows to be accepted, if it does.
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

/// An accepted job is known from then on, to the end of the day, and an end once reported stays that end.
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

/// What clients know of their jobs.
#[derive(Default)]
struct KnownJobs<'a> {
    /// When each job was first known to be accepted.
    accepted: BTreeMap<&'a str, u64>,
    /// The state of each job that has ended.
    ends: BTreeMap<&'a str, &'a str>,
    violations: Vec<Violation>,
}

impl<'a> KnownJobs<'a> {
    fn violated(&mut self, at_ms: u64, description: String) {
        let violation = Violation::new("never forgotten", at_ms, description);
        self.violations.push(violation);
    }

    fn check_unknown(&mut self, id: &str, at_ms: u64, state_ms: u64) {
        let accepted = self.accepted.get(id);
        if accepted.is_some_and(|accepted_ms| at_ms >= accepted_ms + state_ms) {
            self.violated(at_ms, format!("job {id} was accepted and is unknown"));
        }
    }

    fn check_state(&mut self, id: &'a str, state: &'a str, stale: bool, at_ms: u64) {
        match self.ends.get(id) {
            Some(end) if *end != state && !stale => {
                let description = format!("job {id} was reported as {end} and is {state} now");
                self.violated(at_ms, description);
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
                    "job {id} was accepted and is gone at the end of the day"
                ));
            }
        }
        for (id, end) in &self.ends {
            let Some(last) = jobs.get(*id) else { continue };
            if last.state != *end {
                descriptions.push(format!(
                    "job {id} was reported as {end} and is {} at the end of the day",
                    last.state
                ));
            }
        }
        for description in descriptions {
            self.violated(at_ms, description);
        }
    }
}

/// From acceptance on, whoever asks nodes that say they are ready gets the state soon.
pub fn state_in_time(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    unknown_times(history, bounds)
        .into_iter()
        .filter(|unknown| unknown.duration_ms > bounds.state_ms)
        .map(|unknown| {
            Violation::new(
                "state within its bound",
                unknown.until,
                format!(
                    "the state of job {} could not be told for {} ms",
                    unknown.job, unknown.duration_ms
                ),
            )
        })
        .collect()
}

/// A time in which a client asked for the state of an accepted job and got no answer.
pub struct UnknownTime<'a> {
    pub job: &'a str,
    /// When it ended, in milliseconds.
    pub until: u64,
    /// How long it lasted without what is excused, in milliseconds.
    pub duration_ms: u64,
}

/// The times in which accepted jobs were asked for without an answer.
pub fn unknown_times<'a>(history: &'a History, bounds: &PromisedBounds) -> Vec<UnknownTime<'a>> {
    let mut conditions = Conditions::new(history, bounds);
    excuse_lost_answers(&mut conditions, history);
    let unknown_time = |job: &'a str, from: u64, until: u64| UnknownTime {
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
                    times.push(unknown_time(id, from, now));
                }
            }
            // Whoever cancels stops asking for the state.
            Event::CancelRequested { id } => {
                asking_since.remove(id.as_str());
            }
            Event::DayEnded { .. } => {
                for (id, from) in &asking_since {
                    times.push(unknown_time(id, *from, now));
                }
            }
            _ => {}
        }
    }
    times
}

/// Excuses the times in which the network loses answers, and the time after which clients have asked again.
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

/// What is known of the calls that submit one job.
#[derive(Default)]
struct SubmitCalls {
    /// A call has no answer yet.
    is_open: bool,
    /// The outcome of an earlier call is not known: it may have got through.
    is_uncertain: bool,
    is_accepted: bool,
    /// When the job was refused for good, in milliseconds.
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
            // Refusals of this call: an earlier one may have got through.
            503 if code != "unsure" => self.refused_ms = (!self.is_uncertain).then_some(at_ms),
            _ => self.is_uncertain = true,
        }
    }
}

/// A job that was refused does not run, unless it is submitted again.
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
                        format!("job {job} was refused at {refused_ms} and started on {worker}"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Soon after a cancel is acknowledged nothing more of the job starts.
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

/// When the day ends, every accepted job has ended or is shown as unsure.
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
