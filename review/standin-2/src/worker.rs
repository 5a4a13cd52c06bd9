//! A stand-in worker that follows the page on the protocol. Its tasks take the time that the job's text states, as in
//! `work 800` (milliseconds).

use crate::http::{self, Call};
use crate::record::{lock, Record, Start};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The longest hold that a worker accepts, in milliseconds.
const MAX_HOLD_MS: u64 = 6000;
/// An answer that comes later than this is dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a worker says of itself.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub backend: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory_mb: u64,
    /// The `controlAddr` address on its `side` machine.
    pub side: SocketAddr,
}

struct Running {
    run: u64,
    since: Instant,
    work: Duration,
}

/// The state of a worker.
#[derive(Default)]
struct State {
    running: BTreeMap<String, Running>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    fence: u64,
    hold_until: Option<Instant>,
}

/// A worker that runs in a thread.
pub struct Worker {
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    pub fn start(profile: Profile, record: &Record) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let state = Mutex::new(State {
            next_end: 1,
            ..State::default()
        });
        let thread = {
            let (ends, record) = (ends.clone(), record.clone());
            std::thread::spawn(move || run(&profile, &ends, &state, &record))
        };
        Self {
            ends,
            thread: Some(thread),
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(profile: &Profile, ends: &AtomicBool, state: &Mutex<State>, record: &Record) {
    let mut sequence = 0;
    let mut failures = 0;
    while !ends.load(Ordering::SeqCst) {
        sequence += 1;
        let body = {
            let mut state = lock(state);
            state.end_due_tasks(profile, record);
            state.beat(profile, sequence)
        };
        let path = format!("/landingdrift/Workers.Heartbeat/{}", profile.id);
        let call = Call {
            method: "POST",
            path: &path,
            host: "control",
            headers: &[],
            body: &body,
        };
        let sent = Instant::now();
        let reply = http::call(profile.side, &call, ANSWER_TIMEOUT);
        let mut pause = 200;
        match reply {
            Ok(reply) if (200..300).contains(&reply.status) => {
                failures = 0;
                let orders: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                pause = orders["retryAfterMs"].as_u64().unwrap_or(1400);
                lock(state).obey(&orders, sent, profile, record);
            }
            Ok(reply) => {
                failures += 1;
                record.note(&format!(
                    "worker {}: beat {sequence} of {} bytes is answered {}",
                    profile.id,
                    body.len(),
                    reply.status
                ));
            }
            Err(error) => {
                failures += 1;
                record.note(&format!(
                    "worker {}: beat {sequence}: {error:?}",
                    profile.id
                ));
            }
        }
        if failures > 0 {
            pause = (100_u64 << (failures - 1).min(4)).min(1400);
        }
        wait_for_beat(Duration::from_millis(pause), state, profile, record);
    }
}

/// Waits for the time of the next beat: after a pause, or 50 ms after an end.
fn wait_for_beat(pause: Duration, state: &Mutex<State>, profile: &Profile, record: &Record) {
    let mut until = Instant::now() + pause;
    while Instant::now() < until {
        sleep(Duration::from_millis(5));
        if lock(state).end_due_tasks(profile, record) {
            until = until.min(Instant::now() + Duration::from_millis(50));
        }
    }
}

impl State {
    fn beat(&self, profile: &Profile, sequence: u64) -> String {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, running)| {
                let share = running.since.elapsed().as_secs_f64() / running.work.as_secs_f64();
                json!([task, running.run, "", (share * 100.0).min(99.0) as u64])
            })
            .collect();
        let finished: Vec<Value> = self
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({"backend": profile.backend, "address": format!("{}:9", profile.side.ip()), "zone": profile.zone, "version": "v1",
               "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": profile.cpu, "memMb": profile.memory_mb, "gpus": 0},
               "labels": ["a", profile.rack], "clockMs": 0, "callSeq": sequence, "running": running, "finished": finished})
        .to_string()
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.running.remove(task);
        let over = self.over.entry(task.into()).or_default();
        *over = (*over).max(run);
        self.finished.push((self.next_end, task.into(), run, how));
        self.next_end += 1;
    }

    /// Ends the tasks whose work is done, and all if the hold has lapsed; returns whether any has ended.
    fn end_due_tasks(&mut self, profile: &Profile, record: &Record) -> bool {
        let now = Instant::now();
        let lapsed = self.hold_until.is_some_and(|until| now >= until);
        let due: Vec<(String, u64, bool)> = self
            .running
            .iter()
            .map(|(task, running)| {
                (
                    task.clone(),
                    running.run,
                    now >= running.since + running.work,
                )
            })
            .filter(|(_, _, done)| *done || lapsed)
            .collect();
        for (task, run, done) in &due {
            let how = if *done { "done" } else { "lapsed" };
            record.note(&format!(
                "worker {}: {task} run {run} ends {how}",
                profile.id
            ));
            self.end(task, *run, how);
        }
        !due.is_empty()
    }

    /// Carries out the orders in the answer to a beat that was sent at `sent`.
    fn obey(&mut self, orders: &Value, sent: Instant, profile: &Profile, record: &Record) {
        let fence = orders["fenceToken"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        if let Some(last) = orders["lastSeen"].as_u64() {
            self.finished.retain(|(number, ..)| *number > last);
        }
        for stop in orders["stop"].as_array().into_iter().flatten() {
            let (task, run) = (
                stop[0].as_str().unwrap_or(""),
                stop[1].as_u64().unwrap_or(0),
            );
            if self
                .running
                .get(task)
                .is_some_and(|running| running.run == run)
            {
                record.note(&format!(
                    "worker {}: {task} run {run} is stopped",
                    profile.id
                ));
                self.end(task, run, "stopped");
            } else {
                let over = self.over.entry(task.into()).or_default();
                *over = (*over).max(run);
            }
        }
        let Some(hold_ms) = orders["holdMs"].as_u64() else {
            return;
        };
        let held = sent + Duration::from_millis(hold_ms.min(MAX_HOLD_MS));
        self.hold_until = Some(self.hold_until.map_or(held, |until| until.max(held)));
        for start in orders["start"].as_array().into_iter().flatten() {
            let (task, run) = (
                start[0].as_str().unwrap_or(""),
                start[1].as_u64().unwrap_or(0),
            );
            if self.running.contains_key(task) {
                continue;
            }
            if run <= self.over.get(task).copied().unwrap_or(0) {
                self.finished
                    .push((self.next_end, task.into(), run, "refused"));
                self.next_end += 1;
                continue;
            }
            let text = start[2].as_str().unwrap_or("");
            let work_ms = text
                .split(' ')
                .nth(1)
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(500);
            record.note_start(Start {
                at_ms: record.now_ms(),
                worker: profile.id.clone(),
                zone: profile.zone.clone(),
                task: task.into(),
                run,
            });
            let running = Running {
                run,
                since: Instant::now(),
                work: Duration::from_millis(work_ms),
            };
            self.running.insert(task.into(), running);
        }
    }
}
