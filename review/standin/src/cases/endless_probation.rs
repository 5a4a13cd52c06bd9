//! LOST: the tasks on a worker stand still for some seconds; afterwards the worker is sound, but as a lasting task runs on
//! it, it never gets anything again, and jobs that need its label never run.

use super::judge_idle;
use crate::client::{self, Clients, CONFIRM, RECOUNT};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::worker::{Shared, Stage};
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Of 11 workers one is a share of 0.09.
const WORKERS: usize = 11;
/// The longest that tasks stand still on the small site.
const STILL_MS: u64 = 5500;
const JOBS: usize = 13;
/// The tasks stand still from this job on.
const STILL_FROM: usize = 4;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record, 3, 2, WORKERS)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    let workers = client::workers(&deployment, &shared, record);
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(3));
    let single = client::single_worker(&workers, client::SINGLE_RACK)?;
    let single_id = workers[single].0.id.clone();
    record.line(&format!(
        "rack {} has one worker, {single_id}",
        client::SINGLE_RACK
    ));
    let lasting = Stage {
        count: WORKERS as u32,
        cpu: 1000,
        mem_mb: 1000,
        work_ms: 2000,
        long_running: true,
        anti_affinity: 1,
        ..Stage::default()
    };
    clients.submit(0, CONFIRM, "aaaa000000000001", &lasting, "lasting")?;
    sleep(Duration::from_secs(3));
    let stage = Stage {
        count: 2,
        cpu: 800,
        mem_mb: 2300,
        work_ms: 4500,
        constraints: client::SINGLE_RACK.into(),
        ..Stage::default()
    };
    let mut accepted: Vec<(String, u64)> = Vec::new();
    for number in 0..JOBS {
        let id = format!("abcd{number:012x}");
        accepted.push(clients.submit(number, RECOUNT, &id, &stage, "recount")?);
        if number == STILL_FROM && trouble {
            record.line(&format!("the tasks on {single_id} stand still"));
            let still = workers[single].1.stand_still.clone();
            still.store(true, Ordering::SeqCst);
            let record = record.clone();
            std::thread::spawn(move || {
                sleep(Duration::from_millis(STILL_MS));
                still.store(false, Ordering::SeqCst);
                record.line("the tasks go on");
            });
        }
        sleep(Duration::from_millis(2200));
    }
    judge_idle(
        &mut deployment,
        &workers,
        &shared,
        record,
        RECOUNT,
        &accepted,
    )
}
