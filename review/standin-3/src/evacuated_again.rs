//! An order to one machine waits on its link; the operator gives it to another machine, and then the opposite order.

use crate::client::{configuration, job_call, one_step};
use crate::deployment::{Deployment, ZONES};
use crate::http::call;
use crate::link::slow_link;
use crate::record::Record;
use crate::worker::{Runs, Worker};
use crate::Outcome;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const EDGES: usize = 7;
const SIDES: usize = 6;
/// The edge machine whose link is choked; it has no disk.
const CHOKED: usize = 4;
/// The machine that the operator asks next.
const OTHER: usize = 6;
/// For so long what is sent to the choked machine waits on its link.
const WAIT_MS: u64 = 1800;
/// After so long a silence the operator asks another machine.
const SILENCE: Duration = Duration::from_secs(1);
/// So long after the zone was taken back it is evacuated again.
const SECOND_ORDER_MS: u64 = 300;
const EVACUATE_MS: u64 = 5000;
/// A choked machine counts as slowed for so long afterwards.
const SLOWED_MS: u64 = 5000;
const CONTACT_MS: u64 = 3000;
const WATCH_MS: u64 = 8000;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let deployment = Arc::new(Deployment::prepare(record.clone(), EDGES, SIDES)?);
    deployment.start_all()?;
    deployment.configure(&configuration(1, 3000))?;
    deployment.wait_ready()?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for (number, side) in deployment.sides.iter().enumerate() {
        let id = worker_id(side.zone, number);
        workers.push(Worker::start(side, &id, number / 3, record.clone(), runs.clone()));
    }
    sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (deployment, stop) = (deployment.clone(), stop.clone());
        spawn(move || hand_in_jobs(&deployment, &stop))
    };

    let zone = ZONES[0];
    let begin = format!("/landingdrift/DrainZone.Begin/{zone}");
    let finish = format!("/landingdrift/DrainZone.Finish/{zone}");
    let other = deployment.edges[OTHER].control();
    let link = slow_link(deployment.edges[CHOKED].control(), if trouble { WAIT_MS } else { 0 })?;
    if !order(record, &other, &begin) {
        return Err("the zone was not evacuated".into());
    }
    sleep(Duration::from_millis(EVACUATE_MS + 1000));

    let choked_from = record.now();
    if !order(record, &link, &finish) && !order(record, &other, &finish) {
        return Err("the zone was not taken back".into());
    }
    sleep(Duration::from_millis(SECOND_ORDER_MS));
    if !order(record, &other, &begin) {
        return Err("the zone was not evacuated again".into());
    }
    let acknowledged = record.now();

    let in_touch_from = choked_from + WAIT_MS + SLOWED_MS + CONTACT_MS;
    let judged_from = in_touch_from.max(acknowledged + EVACUATE_MS);
    sleep(Duration::from_millis(judged_from + WATCH_MS - record.now()));
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    let runs = runs.lock().unwrap();
    let in_zone = runs.iter().filter(|run| run.worker.starts_with(zone));
    let late = in_zone.filter(|run| run.started > judged_from).count();
    record.line(&format!(
        "the zone was evacuated at {acknowledged}, with no order after that; starts there later than {judged_from}: {late}"
    ));
    drop(runs);
    workers.iter_mut().for_each(Worker::stop);
    Ok(late > 0)
}

fn worker_id(zone: &str, number: usize) -> String {
    format!("{zone}-{number}")
}

/// Gives an order; returns whether it was acknowledged.
fn order(record: &Record, address: &str, path: &str) -> bool {
    let answer = call(address, "POST", path, &[], "", SILENCE);
    record.line(&format!(
        "POST {path} -> {:?}",
        answer.as_ref().map(|answer| answer.status)
    ));
    answer.is_ok_and(|answer| (200..300).contains(&answer.status))
}

/// Hands in a job a second that fills two thirds of the workers.
fn hand_in_jobs(deployment: &Deployment, stop: &AtomicBool) {
    let step = json!({"count": 8, "cpu": 8000, "memMb": 256, "estRuntimeMs": 700});
    let job = one_step(700, step);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{:016x}", 0x7a21_d94b_36f8_0000_u64 + number);
        let _ = job_call(
            &deployment.record,
            &deployment.edges[number as usize % 3],
            "POST",
            &id,
            &job,
        );
        sleep(Duration::from_secs(1));
    }
}
