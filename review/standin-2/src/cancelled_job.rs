//! UNASKED: while a new leader is elected, a client hands a job in, gets no answer, gives up and cancels the job at another
//! node. The cancelling is answered 410, and the job is accepted and runs after that.

use crate::client::{job_call, job_id, DEADLINE_MS};
use crate::deployment::Deployment;
use crate::record::{lock, Record};
use crate::Verdict;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `cancel_ms` of the site.
const CANCEL_MS: u64 = 3000;
/// `ackMs` of the site: the time for which a cancelling is sent again.
const ACK_MS: u64 = 4000;
/// For how long the core machine is down.
const DOWN: Duration = Duration::from_millis(3500);
/// The number of clients, and the pause between their submissions.
const CLIENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(50);
/// One client in so many gives up: the pages' share is 0.25.
const GIVES_UP: u64 = 4;
/// After this time without a core machine being killed or started, machines are in touch: `contactMs` of the site.
const CONTACT_MS: u64 = 3000;
/// The time after which a client gives up and cancels its job, whether its submission was answered or not.
const PATIENCE: Duration = Duration::from_millis(700);
/// A job of two steps of 8 s; the second one waits for the first.
const JOB: &str = r#"{"jobSpec":"work 8000","stages":[{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":8000},{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":8000,"dependsOn":[0]}]}"#;

/// A job as its client sees it.
struct Cancelled {
    id: String,
    /// When the cancelling was acknowledged, and with which status.
    acknowledged: Option<(u64, u16)>,
}

/// Hands a job in, and cancels it at another node once the client's patience is over.
fn client(id: String, first: SocketAddr, others: &[SocketAddr], record: &Record) -> Cancelled {
    let give_up_at = Instant::now() + PATIENCE;
    record.note(&format!("client: POST {id} to {first}"));
    match job_call(first, "POST", &id, JOB, PATIENCE) {
        Ok((status, _)) => record.note(&format!("client: POST {id} is answered {status}")),
        Err(error) => record.note(&format!("client: POST {id}: {error:?}")),
    }
    sleep(give_up_at.saturating_duration_since(Instant::now()));
    let until = Instant::now() + Duration::from_millis(ACK_MS);
    let mut pause = Duration::from_millis(50);
    for node in others.iter().cycle() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let reply = job_call(*node, "DELETE", &id, "", left);
        if let Ok((status, _)) = reply {
            record.note(&format!(
                "client: DELETE {id} at {node} is answered {status}"
            ));
            if (200..300).contains(&status) || status == 410 {
                let acknowledged = Some((record.now_ms(), status));
                return Cancelled { id, acknowledged };
            }
        }
        sleep(pause);
        pause *= 2;
    }
    Cancelled {
        id,
        acknowledged: None,
    }
}

pub fn run(repository: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(repository, 2, 6, record)?;
    let leader = deployment.fleet.leader().ok_or("no leader is known")?;
    let survivors: Vec<String> = ["core-1", "core-2", "core-3", "edge-1", "edge-2"]
        .iter()
        .filter(|name| **name != leader)
        .map(|name| name.to_string())
        .collect();
    let fronts: Vec<SocketAddr> = survivors
        .iter()
        .map(|n| deployment.fleet.front(n))
        .collect();
    if trouble {
        record.note(&format!("{leader} is killed"));
        deployment.fleet.kill(&leader);
    }
    let restart_at = Instant::now() + DOWN;
    let jobs: Arc<Mutex<Vec<Cancelled>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (jobs, record) = (jobs.clone(), record.clone());
        let gives_up = number % GIVES_UP == 0;
        let position = number as usize % fronts.len();
        let (first, others) = (fronts[position], rotated(&fronts, position));
        threads.push(std::thread::spawn(move || {
            let id = job_id(2, number);
            if gives_up {
                lock(&jobs).push(client(id, first, &others, &record));
            } else {
                let patience = Duration::from_millis(DEADLINE_MS);
                let _ = job_call(first, "POST", &id, JOB, patience);
            }
        }));
        sleep(GAP);
    }
    sleep(restart_at.saturating_duration_since(Instant::now()));
    if trouble {
        deployment.fleet.start(&leader, false)?;
        record.note(&format!("{leader} is started again"));
    }
    let in_touch_from = record.now_ms() + CONTACT_MS;
    for thread in threads {
        let _ = thread.join();
    }
    // The second steps start after the first ones.
    sleep(Duration::from_secs(16));

    let starts = record.starts();
    let jobs = lock(&jobs);
    let mut broken = 0;
    for job in jobs.iter() {
        let Some((at_ms, status)) = job.acknowledged else {
            continue;
        };
        let prefix = format!("{}.", job.id);
        let bound = (at_ms + CANCEL_MS).max(in_touch_from);
        let late = starts
            .iter()
            .filter(|s| s.task.starts_with(&prefix) && s.at_ms > bound);
        for start in late {
            broken += 1;
            record.note(&format!(
                "UNASKED: the cancelling of {} was answered {status} at {at_ms} ms; {} starts at {} ms",
                job.id, start.task, start.at_ms
            ));
        }
    }
    let with = |wanted: u16| {
        let statuses = jobs.iter().filter_map(|job| job.acknowledged);
        statuses.filter(|(_, status)| *status == wanted).count()
    };
    record.note(&format!(
        "cancellings answered 200: {}, 410: {}, without an answer: {}; late starts: {broken}",
        with(200),
        with(410),
        jobs.iter().filter(|job| job.acknowledged.is_none()).count()
    ));
    Ok(Verdict::from_breaks(broken))
}

/// All nodes but the one at a position, beginning with the next one.
fn rotated(nodes: &[SocketAddr], position: usize) -> Vec<SocketAddr> {
    (1..nodes.len())
        .map(|step| nodes[(position + step) % nodes.len()])
        .collect()
}
