//! LOST: a large gang comes that does not fit beside lasting tasks; small jobs for which there is room never run.

use super::judge_idle;
use crate::client::{self, Clients, CONFIRM, QUOTE};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::worker::{Shared, Stage};
use crate::Verdict;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const WORKERS: u32 = 6;
/// Lasting tasks take 7,500 of each worker's 16,000.
const LASTING_PER_WORKER: u32 = 3;
const LASTING_CPU: u32 = 2500;
/// The largest task of the site's class `bulk-quote`: one fits on an empty worker, none beside the lasting tasks.
const GANG_CPU: u32 = 8600;
const SMALL_JOBS: u32 = 20;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record, 3, 2, WORKERS as usize)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    let workers = client::workers(&deployment, &shared, record);
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(3));
    let lasting = Stage {
        count: WORKERS * LASTING_PER_WORKER,
        cpu: LASTING_CPU,
        mem_mb: 1000,
        work_ms: 2000,
        long_running: true,
        anti_affinity: LASTING_PER_WORKER,
        ..Stage::default()
    };
    clients.submit(0, CONFIRM, "aaaa000000000001", &lasting, "lasting")?;
    sleep(Duration::from_secs(6));
    let started = shared
        .lock()
        .unwrap()
        .events
        .iter()
        .filter(|e| e.how.is_empty())
        .count();
    if started < (WORKERS * LASTING_PER_WORKER) as usize {
        return Err(format!("only {started} lasting tasks have started"));
    }
    if trouble {
        let gang = Stage {
            count: WORKERS,
            cpu: GANG_CPU,
            mem_mb: 8000,
            work_ms: 5000,
            gang: true,
            ..Stage::default()
        };
        clients.submit(1, QUOTE, "bbbb000000000001", &gang, "large")?;
    }
    sleep(Duration::from_secs(3));
    let small = Stage {
        count: 2,
        cpu: 1100,
        mem_mb: 3300,
        work_ms: 1000,
        ..Stage::default()
    };
    let mut accepted = Vec::new();
    for number in 0..SMALL_JOBS {
        let id = format!("cccc{number:012x}");
        accepted.push(clients.submit(number as usize, CONFIRM, &id, &small, "small")?);
        sleep(Duration::from_millis(300));
    }
    judge_idle(
        &mut deployment,
        &workers,
        &shared,
        record,
        CONFIRM,
        &accepted,
    )
}
