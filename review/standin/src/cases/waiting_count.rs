//! MIXED: a worker is lost for good; jobs that were placed on it and have not begun are missing in the count of those
//! that wait.

use crate::client::{self, Clients, CONFIRM, HOST};
use crate::deployment::Deployment;
use crate::http;
use crate::record::Record;
use crate::worker::{Shared, Stage};
use crate::Verdict;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Of 7 workers one is a share of 0.14.
const WORKERS: usize = 7;
/// `visible_ms` and 2 s.
const COUNTED_AFTER_MS: u64 = 5000;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record, 3, 2, WORKERS)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    let workers = client::workers(&deployment, &shared, record);
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(6));
    if trouble {
        workers[0].1.crash.store(true, Ordering::SeqCst);
    }
    sleep(Duration::from_millis(200));
    let mut accepted = Vec::new();
    let stage = Stage {
        count: 1,
        cpu: 1100,
        mem_mb: 1000,
        work_ms: 1000,
        ..Stage::default()
    };
    for number in 0..40u64 {
        let id = format!("eeee{number:012x}");
        accepted.push(clients.submit(number as usize, CONFIRM, &id, &stage, "confirm")?);
    }
    let mut worst: Option<String> = None;
    let mut wrong = 0;
    let until = record.now() + 9000;
    while record.now() < until {
        for front in &clients.fronts {
            let sent = record.now();
            let answer = http::call(
                *front,
                "GET",
                CONFIRM,
                &[("Host", HOST)],
                &[],
                Duration::from_secs(1),
            );
            let Ok(answer) = answer else { continue };
            let Some(waiting) = answer.body["waiting"].as_u64() else {
                continue;
            };
            let now = record.now();
            // Only jobs that still have not begun when the answer has come.
            let unbegun = {
                let shared = shared.lock().unwrap();
                let is_unbegun = |(id, at): &&(String, u64)| {
                    at + COUNTED_AFTER_MS < sent && shared.first_start(id).is_none()
                };
                accepted.iter().filter(is_unbegun).count() as u64
            };
            if unbegun > 0 {
                record.line(&format!("GET {CONFIRM} at {front}, sent at {sent}: waiting {waiting}; {unbegun} jobs have not begun"));
            }
            if waiting * 2 < unbegun {
                wrong += 1;
                worst.get_or_insert(format!("at {now} {front} answers waiting {waiting}, while {unbegun} jobs accepted over {COUNTED_AFTER_MS} ms before have not begun"));
            }
        }
        sleep(Duration::from_millis(100));
    }
    if let Some(name) = deployment.ended_by_itself() {
        return Err(format!("{name} has ended by itself"));
    }
    match worst {
        Some(first) => Ok(Verdict::Broken(format!("MIXED: {wrong} answers; {first}"))),
        None => Ok(Verdict::Held("no count was under half".into())),
    }
}
