//! The cases.

mod blamed_workers;
mod claimed_workers;
mod endless_probation;
mod large_answer;
mod late_first_beat;
mod recurring_jobs;
mod waiting_count;

use crate::client;
use crate::deployment::Deployment;
use crate::idle::{self, FINISH_MS, IDLE_MS};
use crate::record::Record;
use crate::worker::{Profile, Shared, Switches};
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

pub fn run(case: &str, record: &Record, trouble: bool) -> Result<Verdict, String> {
    match case {
        "blamed-workers" => blamed_workers::run(record, trouble),
        "claimed-workers" => claimed_workers::run(record, trouble),
        "endless-probation" => endless_probation::run(record, trouble),
        "large-answer" => large_answer::run(record, trouble),
        "late-first-beat" => late_first_beat::run(record, trouble, false),
        "late-first-beat-failing" => late_first_beat::run(record, trouble, true),
        "recurring-jobs" => recurring_jobs::run(record, trouble),
        "waiting-count" => waiting_count::run(record, trouble),
        other => Err(format!("no case is called '{other}'")),
    }
}

/// The end of a case about LOST: the traffic has just ended; `finish_s` later no job may be idle for 3 s.
fn judge_idle(
    deployment: &mut Deployment,
    workers: &[(Profile, Switches)],
    shared: &Arc<Mutex<Shared>>,
    record: &Record,
    prefix: &str,
    accepted: &[(String, u64)],
) -> Result<Verdict, String> {
    record.line("the traffic ends");
    let from = record.now() + FINISH_MS;
    sleep(Duration::from_millis(FINISH_MS + IDLE_MS + 500));
    if let Some(name) = deployment.ended_by_itself() {
        return Err(format!("{name} has ended by itself"));
    }
    let profiles: Vec<&Profile> = workers.iter().map(|(profile, _)| profile).collect();
    let is_down = |(_, switches): &&(Profile, Switches)| switches.crash.load(Ordering::SeqCst);
    let down: Vec<String> = workers
        .iter()
        .filter(is_down)
        .map(|(profile, _)| profile.id.clone())
        .collect();
    let found = idle::find(&shared.lock().unwrap(), &profiles, &down, accepted, from);
    let to = from + IDLE_MS;
    let front = deployment.front(deployment.fronts()[0]);
    for (id, at) in accepted {
        let state = client::state(front, prefix, id);
        let mark = if found.jobs.contains(id) {
            "; nothing of it ran in the span"
        } else {
            ""
        };
        record.line(&format!(
            "GET {prefix}{id}: {state}; accepted at {at}{mark}"
        ));
    }
    let text = format!(
        "{} of {} accepted jobs have nothing running from {from} to {to}, {FINISH_MS} ms after the traffic, with room for them twice over and at most {} of {} in use",
        found.jobs.len(),
        accepted.len(),
        found.in_use,
        found.room
    );
    Ok(if found.is_broken() {
        Verdict::Broken(format!("LOST: {text}"))
    } else {
        Verdict::Held(text)
    })
}
