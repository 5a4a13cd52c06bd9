//! A stand-in for a worker, as the users' pages describe one that is told what to do in the answers to its beats. It does
//! not guard its capacity and runs single tasks; the time of a task stands in `jobSpec` as `ms=NUMBER`.

use crate::deployment::{Machine, SERVICE};
use crate::http;
use crate::record::Record;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

const HOLD_MAX_MS: u64 = 6000;
/// An answer that comes later than this is dropped.
const ANSWER_LIMIT: Duration = Duration::from_millis(1000);
/// The most ends in one beat.
const ENDS_AT_ONCE: usize = 500;

/// A start, as the worker has seen it, with its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub started: u64,
    pub ended: Option<(u64, String)>,
    /// When `lastSeen` reached the end, unless the hold had lapsed in between.
    pub noted: Option<u64>,
}

/// What all workers of a run have seen.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: String,
    index: Option<usize>,
    lapsed_since: bool,
}

struct Running {
    run: u64,
    ends_at: u64,
    started: u64,
    index: usize,
}

pub struct Worker {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    pub fn start(side: &Machine, id: &str, rack: usize, record: Record, runs: Runs) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut state = State {
            id: id.into(),
            control: side.control(),
            facts: json!({
                "backend": SERVICE, "address": side.app(), "zone": side.zone, "version": "v1", "slots": 8,
                "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 65536, "gpus": 0},
                "labels": [if rack % 2 == 0 { "a" } else { "b" }, format!("r-{rack}")],
            }),
            call_seq: 0,
            fence: 0,
            hold_until: 0,
            running: BTreeMap::new(),
            highest_over: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            record,
            runs,
            stop: stop.clone(),
        };
        let thread = spawn(move || state.run());
        Self {
            stop,
            thread: Some(thread),
        }
    }

    /// The worker crashes: all that it runs is gone.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct State {
    id: String,
    control: String,
    facts: Value,
    call_seq: u64,
    fence: u64,
    hold_until: u64,
    running: BTreeMap<String, Running>,
    /// By task, the highest run that was stopped or has ended here.
    highest_over: BTreeMap<String, u64>,
    ends: Vec<Ended>,
    next_end: u64,
    record: Record,
    runs: Runs,
    stop: Arc<AtomicBool>,
}

impl State {
    fn run(&mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            self.pass_time();
            let pause_ms = self.beat();
            // The next beat goes out after the pause, or 50 ms after an end.
            let mut left = pause_ms;
            while left > 0 && !self.stop.load(Ordering::SeqCst) {
                let step = left.min(10);
                sleep(Duration::from_millis(step));
                left -= step;
                if self.pass_time() {
                    left = left.min(50);
                }
            }
        }
        for (task, running) in std::mem::take(&mut self.running) {
            self.record
                .line(&format!("{} lost {task} run {}", self.id, running.run));
            self.runs.lock().unwrap()[running.index].ended = Some((self.record.now(), "lost".into()));
        }
    }

    /// Ends what has come to its end, or whose hold is over. Returns whether anything has ended.
    fn pass_time(&mut self) -> bool {
        let now = self.record.now();
        let is_held = now < self.hold_until;
        let over: Vec<String> = self
            .running
            .iter()
            .filter(|(_, running)| !is_held || now >= running.ends_at)
            .map(|(task, _)| task.clone())
            .collect();
        if !is_held {
            self.ends.iter_mut().for_each(|end| end.lapsed_since = true);
        }
        for task in &over {
            let how = if self.running[task].ends_at <= now {
                "done"
            } else {
                "lapsed"
            };
            self.finish(task, how);
        }
        !over.is_empty()
    }

    fn finish(&mut self, task: &str, how: &str) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        self.runs.lock().unwrap()[running.index].ended = Some((self.record.now(), how.into()));
        self.add_end(task, running.run, how, Some(running.index));
    }

    fn add_end(&mut self, task: &str, run: u64, how: &str, index: Option<usize>) {
        self.record.line(&format!("{} ends {task} run {run}: {how}", self.id));
        let over = self.highest_over.entry(task.into()).or_default();
        *over = (*over).max(run);
        self.ends.push(Ended {
            number: self.next_end,
            task: task.into(),
            run,
            how: how.into(),
            index,
            lapsed_since: false,
        });
        self.next_end += 1;
    }

    /// Sends a beat and does what the answer says; returns the pause until the next one.
    fn beat(&mut self) -> u64 {
        self.call_seq += 1;
        let now = self.record.now();
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, running)| {
                let whole = (running.ends_at - running.started).max(1);
                let percent = (now.saturating_sub(running.started) * 100 / whole).min(99);
                json!([task, running.run, "", percent])
            })
            .collect();
        let finished: Vec<Value> = self
            .ends
            .iter()
            .take(ENDS_AT_ONCE)
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        let mut body = self.facts.clone();
        body["state"] = json!("ready");
        body["callSeq"] = json!(self.call_seq);
        body["clockMs"] = json!(now);
        body["running"] = json!(running);
        body["finished"] = json!(finished);
        let path = format!("/landingdrift/Workers.Heartbeat/{}", self.id);
        let answer = http::call(&self.control, "POST", &path, &[], &body.to_string(), ANSWER_LIMIT);
        match answer {
            Ok(answer) if (200..300).contains(&answer.status) => {
                let answer: Value = serde_json::from_str(&answer.body).unwrap_or_default();
                self.obey(now, &answer);
                answer["retryAfterMs"].as_u64().unwrap_or(1400)
            }
            Ok(answer) => {
                self.record
                    .line(&format!("{} beat {}: {}", self.id, self.call_seq, answer.status));
                200
            }
            Err(error) => {
                self.record
                    .line(&format!("{} beat {}: {error}", self.id, self.call_seq));
                200
            }
        }
    }

    fn obey(&mut self, sent: u64, answer: &Value) {
        self.pass_time();
        let fence = answer["fenceToken"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        if let Some(hold) = answer["holdMs"].as_u64() {
            self.hold_until = self.hold_until.max(sent + hold.min(HOLD_MAX_MS));
        }
        if let Some(last_seen) = answer["lastSeen"].as_u64() {
            let now = self.record.now();
            let (seen, left) = std::mem::take(&mut self.ends)
                .into_iter()
                .partition(|end: &Ended| end.number <= last_seen);
            self.ends = left;
            let seen: Vec<Ended> = seen;
            let mut runs = self.runs.lock().unwrap();
            for end in seen {
                self.record
                    .line(&format!("{} noted {} run {}", self.id, end.task, end.run));
                if let Some(index) = end.index.filter(|_| !end.lapsed_since) {
                    runs[index].noted = Some(now);
                }
            }
        }
        for stop in answer["stop"].as_array().into_iter().flatten() {
            let (task, run) = (stop[0].as_str().unwrap_or_default(), stop[1].as_u64().unwrap_or(0));
            self.record
                .line(&format!("{} is told to stop {task} run {run}", self.id));
            if self.running.get(task).is_some_and(|running| running.run == run) {
                self.finish(task, "stopped");
            }
            let over = self.highest_over.entry(task.into()).or_default();
            *over = (*over).max(run);
        }
        if answer["holdMs"].is_null() {
            return;
        }
        for start in answer["start"].as_array().into_iter().flatten() {
            self.start(start);
        }
    }

    fn start(&mut self, start: &Value) {
        let task = start[0].as_str().unwrap_or_default().to_string();
        let run = start[1].as_u64().unwrap_or(0);
        let spec = start[2].as_str().unwrap_or_default().to_string();
        if self.running.get(&task).is_some_and(|running| running.run == run) {
            return;
        }
        let is_over = self.highest_over.get(&task).is_some_and(|over| run <= *over);
        if is_over || self.running.contains_key(&task) {
            let is_listed = self.ends.iter().any(|end| end.task == task && end.run == run);
            if !is_listed {
                self.add_end(&task, run, "refused", None);
            }
            return;
        }
        let now = self.record.now();
        if now >= self.hold_until {
            return;
        }
        let work_ms = spec
            .strip_prefix("ms=")
            .and_then(|ms| ms.split(' ').next()?.parse().ok())
            .unwrap_or(1000);
        self.record
            .line(&format!("{} starts {task} run {run} ({spec})", self.id));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            worker: self.id.clone(),
            task: task.clone(),
            started: now,
            ended: None,
            noted: None,
        });
        let index = runs.len() - 1;
        drop(runs);
        let running = Running {
            run,
            ends_at: now + work_ms,
            started: now,
            index,
        };
        self.running.insert(task, running);
    }
}
