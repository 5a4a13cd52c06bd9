//! Requests to one machine wait on its link for some seconds; some clients give up and cancel their jobs elsewhere.

use crate::client::{configuration, job_call, job_call_at};
use crate::deployment::Deployment;
use crate::link::slow_link;
use crate::record::Record;
use crate::worker::{Runs, Worker};
use crate::Outcome;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const EDGES: usize = 7;
const SIDES: usize = 4;
/// The edge machine whose link is choked; it has no disk.
const CHOKED: usize = 4;
/// Where the jobs are cancelled.
const OTHER: usize = 6;
/// For so long the link is choked.
const CHOKE_MS: u64 = 4000;
/// For so long what clients send to the machine waits on its link.
const WAIT_MS: u64 = 900;
const GAP_MS: u64 = 500;
const JOBS: u64 = 8;
/// Of these jobs, a quarter, the clients give up.
const GIVEN_UP: [u64; 2] = [5, 6];
/// Half of the aim of 1,000 ms.
const GIVE_UP_MS: u64 = 500;
const STEP_MS: u64 = 5000;
const STEPS: u64 = 3;
const CANCEL_MS: u64 = 3000;
/// A choked machine counts as slowed for so long afterwards.
const SLOWED_MS: u64 = 5000;
const CONTACT_MS: u64 = 3000;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let deployment = Arc::new(Deployment::prepare(record.clone(), EDGES, SIDES)?);
    deployment.start_all()?;
    deployment.configure(&configuration(1, 3000))?;
    deployment.wait_ready()?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for (number, side) in deployment.sides.iter().enumerate() {
        workers.push(Worker::start(
            side,
            &format!("i-{number}"),
            number / 3,
            record.clone(),
            runs.clone(),
        ));
    }
    sleep(Duration::from_secs(3));

    let wait_ms = if trouble { WAIT_MS } else { 0 };
    let link = slow_link(deployment.edges[CHOKED].front(), wait_ms)?;
    let choked_from = record.now();
    let cancelled: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..JOBS {
        let (deployment, link, cancelled) = (deployment.clone(), link.clone(), cancelled.clone());
        clients.push(spawn(move || {
            let id = format!("{:016x}", 0x7a21_d94b_36f8_0000 + number);
            let gives_up = GIVEN_UP.contains(&number);
            let limit = Duration::from_millis(if gives_up { GIVE_UP_MS } else { 3000 });
            let record = &deployment.record;
            let _ = job_call_at(record, &link, "the choked machine", "POST", &id, &job(), limit);
            if !gives_up {
                return;
            }
            for _ in 0..3 {
                let answer = job_call(record, &deployment.edges[OTHER], "DELETE", &id, "");
                if answer.is_ok_and(|answer| answer.status == 410 || answer.status == 200) {
                    cancelled.lock().unwrap().push((id, record.now()));
                    return;
                }
            }
        }));
        sleep(Duration::from_millis(GAP_MS));
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_millis(STEPS * STEP_MS + SLOWED_MS));

    let in_touch_from = choked_from + CHOKE_MS + WAIT_MS + SLOWED_MS + CONTACT_MS;
    let mut broken = false;
    for (id, at) in cancelled.lock().unwrap().iter() {
        for run in runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.task.starts_with(id.as_str()))
        {
            let is_late = run.started > at + CANCEL_MS && run.started > in_touch_from;
            record.line(&format!(
                "{} started {} ms after the cancelling was acknowledged, in touch: {}",
                run.task,
                run.started as i64 - *at as i64,
                run.started > in_touch_from
            ));
            broken |= is_late;
        }
    }
    if cancelled.lock().unwrap().is_empty() {
        return Err("no cancelling was acknowledged".into());
    }
    workers.iter_mut().for_each(Worker::stop);
    Ok(broken)
}

/// A job of steps that run one after the other.
fn job() -> String {
    let step = |number: u64| {
        let after: Vec<u64> = number.checked_sub(1).into_iter().collect();
        json!({"count": 1, "cpu": 1000, "memMb": 256, "estRuntimeMs": STEP_MS, "dependsOn": after})
    };
    json!({"jobSpec": format!("ms={STEP_MS}"), "stages": (0..STEPS).map(step).collect::<Vec<_>>()}).to_string()
}
