//! TWICE: the only heartbeat of a worker's short life comes seconds late, when a new life runs tasks at the same address;
//! the living one is taken for gone, and what runs on it is started elsewhere as well.

use crate::client::{self, Clients, RECOUNT};
use crate::deployment::Deployment;
use crate::record::Record;
use crate::worker::{Event, Shared, Stage, Worker};
use crate::Verdict;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Of 7 workers one is a share of 0.14.
const WORKERS: usize = 7;
/// The first life ends this long after its first heartbeat was sent, and the next one begins after `addrReuseS`.
const FIRST_LIFE_MS: u64 = 600;
const DOWN_MS: u64 = 2000;
/// How late the heartbeat comes.
const LATE_MS: u64 = 4500;
/// How long a stop takes on that worker; the pages allow 200 ms.
const STOP_MS: u64 = 150;
/// Of the queue that the jobs are handed in at.
const MAX_ATTEMPTS: usize = 3;
const JOBS: usize = 40;
const EVERY_MS: u64 = 250;

pub fn run(record: &Record, trouble: bool, failing: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record, 3, 2, WORKERS)?;
    deployment.boot(&client::config())?;
    let shared = Arc::new(Mutex::new(Shared::default()));
    // The worker of the first side machine is started below.
    let mut late = client::profiles(&deployment).remove(0);
    late.stop = Duration::from_millis(STOP_MS);
    let _workers = client::workers_but(&deployment, &shared, record, Some(&late.id));
    let clients = Clients::new(&deployment, &shared, record);
    sleep(Duration::from_secs(3));
    // The first life: its one heartbeat is on its way for long, gets no answer within a second, and the worker crashes.
    record.line("the first life sends its only heartbeat, and crashes");
    let first_id = "i-01d01d01";
    let body = json!({
        "backend": "trade-orders", "address": late.address, "zone": late.zone, "version": "v1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "callSeq": 1,
        "capacity": {"cpu": late.cpu, "memMb": late.mem_mb, "gpus": 0}, "labels": late.labels, "clockMs": 40,
        "running": [], "finished": [],
    })
    .to_string();
    let deliver = {
        let (record, to) = (record.clone(), late.beats_to);
        move || {
            let request = format!("POST /landingdrift/Workers.Heartbeat/{first_id} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let Ok(mut connection) = TcpStream::connect(to) else {
                return;
            };
            let _ = connection.write_all(request.as_bytes());
            record.line(&format!("the heartbeat of {first_id} arrives"));
            let _ = connection.set_read_timeout(Some(Duration::from_secs(1)));
            let mut answer = [0; 2000];
            let length = connection.read(&mut answer).unwrap_or(0);
            let answer = String::from_utf8_lossy(&answer[..length]).replace("\r\n", " ");
            record.line(&format!(
                "the answer, which nobody hears any more: {answer}"
            ));
        }
    };
    if !trouble {
        deliver();
    } else {
        std::thread::spawn(move || {
            sleep(Duration::from_millis(LATE_MS));
            deliver();
        });
    }
    sleep(Duration::from_millis(FIRST_LIFE_MS + DOWN_MS));
    record.line(&format!(
        "the next life, {}, begins at the same address",
        late.id
    ));
    let switches = crate::worker::Switches::default();
    Worker::spawn(late.clone(), &shared, record, &switches);
    sleep(Duration::from_millis(300));
    for number in 0..JOBS {
        let id = format!("dddd{number:012x}");
        // Those that fail do so after different times.
        let fails_after = 500 + number as u64 * 173 % 600;
        let stage = Stage {
            count: if failing { 20 } else { 10 },
            cpu: 400,
            mem_mb: 1200,
            work_ms: if failing { fails_after } else { 3000 },
            fails: failing,
            ..Stage::default()
        };
        clients.submit(number, RECOUNT, &id, &stage, "recount")?;
        sleep(Duration::from_millis(EVERY_MS));
    }
    sleep(Duration::from_secs(8));
    if let Some(name) = deployment.ended_by_itself() {
        return Err(format!("{name} has ended by itself"));
    }
    if failing {
        return Ok(judge_budget(&shared.lock().unwrap(), record));
    }
    // Two runs of one task at once, on workers that are up: every worker that is listed here is.
    let events: Vec<Event> = shared.lock().unwrap().events.clone();
    let mut running: std::collections::BTreeMap<String, (String, u64)> = Default::default();
    let mut twice = Vec::new();
    for event in &events {
        if event.how.is_empty() {
            if let Some((other, since)) = running.get(&event.task) {
                twice.push(format!(
                    "{} runs on {other} since {since}, and starts on {} at {}",
                    event.task, event.worker, event.at
                ));
            }
            running.insert(event.task.clone(), (event.worker.clone(), event.at));
        } else if running
            .get(&event.task)
            .is_some_and(|(worker, _)| *worker == event.worker)
        {
            running.remove(&event.task);
        }
    }
    for text in &twice {
        record.line(&format!("TWICE {text}"));
    }
    Ok(match twice.first() {
        Some(first) => Verdict::Broken(format!(
            "TWICE: {} tasks ran twice at once; {first}",
            twice.len()
        )),
        None => Verdict::Held("no task ran twice at once".into()),
    })
}

/// BUDGET: a start once `maxAttempts` runs of the task have ended failed, and those ends are taken note of in the end.
fn judge_budget(shared: &Shared, record: &Record) -> Verdict {
    let mut failed: std::collections::BTreeMap<&str, usize> = Default::default();
    let mut beyond = Vec::new();
    for event in &shared.events {
        let failures = failed.entry(event.task.as_str()).or_default();
        let noted = (event.worker.clone(), event.task.clone(), event.run);
        if event.how.is_empty() && *failures >= MAX_ATTEMPTS {
            beyond.push(format!(
                "{} starts as run {} on {} at {}, after {failures} failed runs",
                event.task, event.run, event.worker, event.at
            ));
        } else if event.how == "failed" && shared.noted.contains(&noted) {
            *failures += 1;
        }
    }
    for text in &beyond {
        record.line(&format!("BUDGET {text}"));
    }
    match beyond.first() {
        Some(first) => {
            Verdict::Broken(format!("BUDGET: {} starts too many; {first}", beyond.len()))
        }
        None => Verdict::Held("no task started once too often".into()),
    }
}
