//! LOST: a machine beside a worker freezes for less than the time after which the worker counts as lost; the starts that
//! come together meanwhile make an answer of over 4 MiB, which acknowledges nothing, again and again.

use super::judge_idle;
use crate::client::{self, Clients, RECOUNT};
use crate::deployment::{Deployment, Kind};
use crate::record::Record;
use crate::worker::{Shared, Stage};
use crate::Verdict;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const WORKERS: usize = 11;
const JOBS: usize = 20;
const FREEZE_MS: u64 = 2500;
/// The longest `jobSpec` that the pages allow.
const JOB_SPEC_BYTES: usize = 4000;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record, 3, 2, WORKERS)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    let workers = client::workers(&deployment, &shared, record);
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(3));
    let single = client::single_worker(&workers, client::SINGLE_RACK)?;
    let side = deployment.of_kind(Kind::Side)[single];
    // Sixty tasks are the widest step of the site's class `stock-recount`.
    let stage = Stage {
        count: 60,
        cpu: 6,
        mem_mb: 16,
        work_ms: 2000,
        constraints: client::SINGLE_RACK.into(),
        ..Stage::default()
    };
    let job_spec = "x".repeat(JOB_SPEC_BYTES);
    if trouble {
        deployment.signal(side, "STOP");
    }
    let frozen_at = record.now();
    let mut accepted: Vec<(String, u64)> = Vec::new();
    for number in 0..JOBS {
        let id = format!("9999{number:012x}");
        accepted.push(clients.submit(number, RECOUNT, &id, &stage, &job_spec)?);
    }
    sleep(Duration::from_millis(
        (frozen_at + FREEZE_MS).saturating_sub(record.now()),
    ));
    if trouble {
        deployment.signal(side, "CONT");
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
