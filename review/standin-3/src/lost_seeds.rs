//! All processes are killed at once. Three machines that are not counted never come back; they are the seeds of the
//! settings. Soon after the others have started again, the settings name other seeds.

use crate::client::{configuration, hand_in, job_call, one_step};
use crate::deployment::{Deployment, Machine, SIGHUP, SIGKILL};
use crate::http::call;
use crate::record::Record;
use crate::worker::{Runs, Worker};
use crate::Outcome;
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

const EDGES: usize = 7;
const SIDES: usize = 4;
/// The edge machines without a disk that are the seeds for a while.
const LOST_SEEDS: [usize; 3] = [3, 4, 5];
/// The edge machines that stay: the three core machines and one without a disk.
const STAYING: [usize; 4] = [0, 1, 2, 6];
/// How long the killed processes are away.
const DOWN_MS: u64 = 1600;
/// The operator's list, which the settings follow, is this much behind.
const SEED_LAG_MS: u64 = 3000;
const RECOVERY_MS: u64 = 12_000;
const FINISH_MS: u64 = 14_000;
/// For so long every job and the configuration are asked for, again and again.
const ASK_MS: u64 = 24_000;
const OLD_JOB: &str = "5c0e7a21d94b36f8";
const NEW_JOB: &str = "7a21d94b36f85c0e";

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let deployment = Deployment::prepare(record.clone(), EDGES, SIDES)?;
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

    let edges = &deployment.edges;
    let lost: Vec<&Machine> = LOST_SEEDS.iter().map(|number| &edges[*number]).collect();
    let staying: Vec<&Machine> = STAYING.iter().map(|number| &edges[*number]).collect();
    deployment.change_seeds(&lost)?;
    deployment.signal_all(SIGHUP);
    let job = one_step(
        1000,
        json!({"count": 2, "cpu": 500, "memMb": 256, "estRuntimeMs": 1000}),
    );
    if !hand_in(&deployment, &STAYING, OLD_JOB, &job) {
        return Err("the job was not accepted".into());
    }
    sleep(Duration::from_secs(3));
    let killed = record.now();
    if trouble {
        deployment.signal_all(SIGKILL);
        sleep(Duration::from_millis(DOWN_MS));
        for machine in staying.iter().copied().chain(&deployment.sides) {
            deployment.start(machine)?;
        }
    }
    sleep(Duration::from_millis(
        (killed + SEED_LAG_MS).saturating_sub(record.now()),
    ));
    deployment.change_seeds(&[&edges[0], &edges[1], &edges[2]])?;
    deployment.signal_all(SIGHUP);
    sleep(Duration::from_millis(RECOVERY_MS));

    let is_new_accepted = hand_in(&deployment, &STAYING, NEW_JOB, &job);
    record.line(&format!("the new job was accepted: {is_new_accepted}"));
    sleep(Duration::from_millis(FINISH_MS));

    // The jobs that were accepted, and the configuration, are asked for at all machines in turn.
    let asked_from = record.now();
    let (mut old_job, mut new_job, mut config) = (false, !is_new_accepted, false);
    for attempt in 0.. {
        if record.now() >= asked_from + ASK_MS || (old_job && new_job && config) {
            break;
        }
        let machine = staying[attempt % staying.len()];
        old_job = old_job || is_known(record, machine, OLD_JOB);
        new_job = new_job || is_known(record, machine, NEW_JOB);
        config = config || is_config_read(record, machine);
        sleep(Duration::from_millis(200));
    }
    record.line(&format!(
        "answered within {ASK_MS} ms: the accepted job {old_job}, the new job (if accepted) {new_job}, the configuration {config}"
    ));
    workers.iter_mut().for_each(Worker::stop);
    Ok(!(old_job && new_job && config))
}

fn is_known(record: &Record, machine: &Machine, id: &str) -> bool {
    job_call(record, machine, "GET", id, "").is_ok_and(|answer| answer.status == 200)
}

fn is_config_read(record: &Record, machine: &Machine) -> bool {
    let limit = Duration::from_secs(1);
    let answer = call(&machine.control(), "GET", "/landingdrift/Config.Read", &[], "", limit);
    let status = answer.as_ref().map(|answer| answer.status);
    record.line(&format!("Config.Read at {} -> {status:?}", machine.name));
    status == Ok(200)
}
