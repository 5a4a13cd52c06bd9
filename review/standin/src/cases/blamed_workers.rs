//! LOST: a rack is lost; the work whose data it held takes `spreadFactor` times as long elsewhere, as the pages say, and
//! the sound workers that do it are taken for slow and get one task at a time.

use super::judge_idle;
use crate::client::{self, Clients, RECOUNT};
use crate::deployment::{use_grown_bounds, Deployment};
use crate::record::Record;
use crate::worker::{Shared, Stage};
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Three a rack: one rack is a share of 0.136.
const WORKERS: usize = 22;
const EVERY_MS: u64 = 500;
const TRAFFIC_MS: u64 = 17_000;
const CRASH_AFTER_MS: u64 = 8000;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    use_grown_bounds();
    let mut deployment = Deployment::new(record, 3, 2, WORKERS)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    let workers = client::workers(&deployment, &shared, record);
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(5));
    let rack = workers[0].0.labels[1].clone();
    let stage = Stage {
        count: 4,
        cpu: 500,
        mem_mb: 2300,
        work_ms: 10_000,
        affinity: rack.clone(),
        ..Stage::default()
    };
    let begun = record.now();
    let mut accepted: Vec<(String, u64)> = Vec::new();
    let mut crashed = !trouble;
    for number in 0.. {
        if record.now() >= begun + TRAFFIC_MS {
            break;
        }
        if !crashed && record.now() > begun + CRASH_AFTER_MS {
            crashed = true;
            for (_, switches) in workers
                .iter()
                .filter(|(profile, _)| profile.labels[1] == rack)
            {
                switches.crash.store(true, Ordering::SeqCst);
            }
        }
        let id = format!("ffff{number:012x}");
        accepted.push(clients.submit(number, RECOUNT, &id, &stage, "recount")?);
        let next = begun + (number as u64 + 1) * EVERY_MS;
        sleep(Duration::from_millis(next.saturating_sub(record.now())));
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
