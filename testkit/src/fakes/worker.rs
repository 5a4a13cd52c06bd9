//! A fake worker: it sends heartbeats, runs what it is told to and reports how that ended.

use super::{request, Output};
use crate::history::Event;
use landingdrift::sans_io::{fnv1a, Response, Rng};
use landingdrift::state::{EndReport, Outcome, WorkerInfo};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The pause between heartbeats until a node says otherwise, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 250;
/// A heartbeat without an answer is given up after this time, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;
/// Ends are reported this soon, so that the capacity is used again, in milliseconds.
const REPORT_END_WITHIN_MS: u64 = 20;
/// Starts are confirmed this soon, in milliseconds.
const CONFIRM_START_WITHIN_MS: u64 = 50;
/// The next node is tried after this pause, in milliseconds.
const NEXT_NODE_AFTER_MS: u64 = 20;
/// A run that is told to stop takes less than this to let go of its capacity, in milliseconds.
const STOP_WITHIN_MS: u64 = 300;
/// A task whose payload says nothing runs so long, in milliseconds.
const DEFAULT_TASK_MS: f64 = 200.0;
/// No run takes more than so many times its shortest duration.
const MAX_TAIL_FACTOR: f64 = 20.0;

/// How a worker behaves.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Runs take this many times as long.
    pub slowdown: f64,
    /// The share of runs that fail quietly.
    pub failing_share: f64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            failing_share: 0.0,
        }
    }
}

struct Run {
    job: String,
    task: String,
    started_ms: u64,
    ends_ms: u64,
    outcome: Outcome,
}

impl Run {
    /// How much of it is over, in thousandths.
    fn progress(&self, now: u64) -> u64 {
        let duration_ms = (self.ends_ms - self.started_ms).max(1);
        (now - self.started_ms) * 1000 / duration_ms
    }
}

/// The random numbers of a run when policies are compared: each task and each copy has its own, under every policy.
pub fn paired_rng(seed: u64, job: &str, task: &str, copy: bool) -> Rng {
    Rng::new(seed ^ fnv1a(format!("{job}/{task}/{copy}").as_bytes()))
}

/// A heartbeat that waits for its answer.
#[derive(Clone, Copy)]
struct OpenCall {
    call: u64,
    sent_ms: u64,
}

/// A worker.
pub struct Worker {
    pub info: WorkerInfo,
    pub behavior: Behavior,
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    /// Which of the nodes it talks to.
    current_node: usize,
    rng: Rng,
    seed: u64,
    /// Where set, a run's duration and outcome depend on its job and task alone; see [`paired_rng`].
    pub paired_seed: Option<u64>,
    /// Runs by the number of the attempt.
    running: BTreeMap<u64, Run>,
    /// Ends that no node has acknowledged.
    unreported_ends: Vec<EndReport>,
    /// Attempts that ended or were called off before they came: never to be started.
    finished: BTreeSet<u64>,
    heartbeat_ms: u64,
    next_heartbeat_ms: u64,
    open_call: Option<OpenCall>,
    last_call: u64,
}

/// A task that a node tells the worker to start.
struct Order<'a> {
    attempt: u64,
    job: &'a str,
    task: &'a str,
    cpu: u32,
    copy: bool,
    payload: &'a Value,
}

impl<'a> Order<'a> {
    fn new(start: &'a Value) -> Self {
        Self {
            attempt: start["no"].as_u64().unwrap_or(0),
            job: start["job"].as_str().unwrap_or(""),
            task: start["task"].as_str().unwrap_or(""),
            cpu: start["room"].as_u64().unwrap_or(0) as u32,
            copy: start["copy"] == json!(true),
            payload: &start["payload"],
        }
    }
}

impl Worker {
    /// A worker that has just started.
    pub fn new(info: WorkerInfo, nodes: Vec<String>, seed: u64) -> Self {
        let mut rng = Rng::new(seed ^ fnv1a(info.worker.as_bytes()) ^ info.incarnation);
        let current_node = rng.below(nodes.len() as u64) as usize;
        Self {
            info,
            behavior: Behavior::default(),
            nodes,
            current_node,
            rng,
            seed,
            paired_seed: None,
            running: BTreeMap::new(),
            unreported_ends: Vec::new(),
            finished: BTreeSet::new(),
            heartbeat_ms: DEFAULT_HEARTBEAT_MS,
            next_heartbeat_ms: 0,
            open_call: None,
            last_call: 0,
        }
    }

    /// The observation that it has started.
    pub fn up_event(&self) -> Event {
        let info = &self.info;
        Event::WorkerUp {
            worker: info.worker.clone(),
            incarnation: info.incarnation,
            service: info.service.clone(),
            labels: info.labels.iter().cloned().collect(),
            zone: info.zone.clone(),
            cpu: info.cpu,
        }
    }

    /// Announces that it is about to leave.
    pub fn leave(&mut self, now: u64) -> Vec<Output> {
        self.info.leaving = true;
        self.open_call = None;
        self.next_heartbeat_ms = now;
        let worker = self.info.worker.clone();
        let mut outputs = vec![Output::Event(Event::WorkerLeaving { worker })];
        outputs.extend(self.tick(now));
        outputs
    }

    /// Has other capacity or labels from now on; answers to older heartbeats are not obeyed any more.
    pub fn change(&mut self, now: u64, cpu: u32, labels: BTreeSet<String>) -> Vec<Output> {
        self.info.cpu = cpu;
        self.info.labels = labels;
        self.open_call = None;
        self.next_heartbeat_ms = now;
        vec![Output::Event(Event::WorkerChanged {
            worker: self.info.worker.clone(),
            labels: self.info.labels.iter().cloned().collect(),
            cpu,
        })]
    }

    /// Time has passed: ends runs and sends the heartbeat that is due.
    pub fn tick(&mut self, now: u64) -> Vec<Output> {
        let mut outputs = self.end_runs(now);
        let open = self.open_call;
        if open.is_some_and(|open| now >= open.sent_ms + CALL_TIMEOUT_MS) {
            self.open_call = None;
            self.choose_next_node(now);
        }
        if self.open_call.is_none() && now >= self.next_heartbeat_ms {
            outputs.push(self.heartbeat(now));
        }
        outputs
    }

    fn choose_next_node(&mut self, now: u64) {
        let others = self.nodes.len().max(2) as u64 - 1;
        let step = 1 + self.rng.below(others) as usize;
        self.current_node = (self.current_node + step) % self.nodes.len().max(1);
        self.next_heartbeat_ms = now + NEXT_NODE_AFTER_MS;
    }

    fn heartbeat(&mut self, now: u64) -> Output {
        self.last_call += 1;
        let call = self.last_call;
        self.open_call = Some(OpenCall { call, sent_ms: now });
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(attempt, run)| json!({"no": attempt, "progress": run.progress(now)}))
            .collect();
        let body = json!({
            "facts": self.info,
            "running": running,
            "ended": self.unreported_ends,
        });
        Output::Call {
            to: self.nodes[self.current_node % self.nodes.len().max(1)].clone(),
            call,
            request: request("POST", "/v1/beats", "", Some(&body)),
        }
    }

    /// Ends the runs whose time is over.
    fn end_runs(&mut self, now: u64) -> Vec<Output> {
        let over = self.running.iter().filter(|(_, run)| now >= run.ends_ms);
        let over: Vec<u64> = over.map(|(attempt, _)| *attempt).collect();
        over.into_iter()
            .filter_map(|attempt| self.end(now, attempt))
            .collect()
    }

    fn end(&mut self, now: u64, attempt: u64) -> Option<Output> {
        let run = self.running.remove(&attempt)?;
        self.finished.insert(attempt);
        let note = if run.outcome == Outcome::Failed {
            "the run failed"
        } else {
            ""
        };
        self.unreported_ends.push(EndReport {
            no: attempt,
            outcome: run.outcome,
            ran_ms: now - run.started_ms,
            note: note.into(),
            ..EndReport::default()
        });
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now + REPORT_END_WITHIN_MS);
        Some(Output::Event(Event::RunEnded {
            worker: self.info.worker.clone(),
            attempt,
            job: run.job,
            task: run.task,
            outcome: run.outcome,
        }))
    }

    /// A node has answered a heartbeat.
    pub fn answer(&mut self, now: u64, call: u64, response: &Response) -> Vec<Output> {
        let Some(open) = self.open_call.take_if(|open| open.call == call) else {
            return Vec::new();
        };
        self.next_heartbeat_ms = now + self.heartbeat_ms;
        if response.status != 200 {
            self.choose_next_node(now);
            return Vec::new();
        }
        let body = &response.body;
        self.heartbeat_ms = body["beatMs"].as_u64().unwrap_or(DEFAULT_HEARTBEAT_MS);
        let acknowledged = numbers(&body["settled"]);
        self.unreported_ends
            .retain(|end| !acknowledged.contains(&end.no));
        for attempt in numbers(&body["stops"]) {
            self.stop(now, attempt);
        }
        // The orders of an answer that took too long may be out of date.
        let took_ms = now.saturating_sub(open.sent_ms);
        if took_ms > body["obeyMs"].as_u64().unwrap_or(0) || self.info.leaving {
            return Vec::new();
        }
        let starts = body["starts"].as_array().into_iter().flatten();
        starts
            .filter_map(|start| self.start(now, &Order::new(start)))
            .collect()
    }

    fn stop(&mut self, now: u64, attempt: u64) {
        if let Some(run) = self.running.get_mut(&attempt) {
            let ends_ms = now + self.rng.below(STOP_WITHIN_MS);
            if ends_ms < run.ends_ms {
                run.ends_ms = ends_ms;
                run.outcome = Outcome::Stopped;
            }
        } else if self.finished.insert(attempt) {
            self.unreported_ends.push(EndReport {
                no: attempt,
                outcome: Outcome::NeverStarted,
                ran_ms: 0,
                ..EndReport::default()
            });
            self.next_heartbeat_ms = now + REPORT_END_WITHIN_MS;
        }
    }

    fn start(&mut self, now: u64, order: &Order) -> Option<Output> {
        let attempt = order.attempt;
        if self.running.contains_key(&attempt) || self.finished.contains(&attempt) {
            return None;
        }
        let mut rng = match self.paired_seed {
            Some(seed) => paired_rng(seed, order.job, order.task, order.copy),
            None => Rng::new(self.seed ^ (attempt << 20)),
        };
        let duration_ms = self.random_duration_ms(&mut rng, order.payload);
        let outcome = self.random_outcome(&mut rng, order.payload);
        let run = Run {
            job: order.job.into(),
            task: order.task.into(),
            started_ms: now,
            ends_ms: now + duration_ms,
            outcome,
        };
        self.running.insert(attempt, run);
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now + CONFIRM_START_WITHIN_MS);
        Some(Output::Event(Event::RunStarted {
            worker: self.info.worker.clone(),
            attempt,
            job: order.job.into(),
            task: order.task.into(),
            cpu: order.cpu,
            copy: order.copy,
        }))
    }

    /// How long a run takes: Pareto distributed, as in the paper, where the payload names a shape for the tail; else as
    /// long as the payload says.
    fn random_duration_ms(&self, rng: &mut Rng, payload: &Value) -> u64 {
        let shortest_ms = payload["ms"].as_f64().unwrap_or(DEFAULT_TASK_MS);
        let tail = payload["tail"].as_f64().unwrap_or(0.0);
        let tail_factor = if tail > 0.0 {
            (1.0 - rng.unit()).powf(-1.0 / tail).min(MAX_TAIL_FACTOR)
        } else {
            1.0
        };
        (shortest_ms * tail_factor * self.behavior.slowdown).max(1.0) as u64
    }

    fn random_outcome(&self, rng: &mut Rng, payload: &Value) -> Outcome {
        if payload["doomed"] == json!(true) {
            return Outcome::Failed;
        }
        let task_share = payload["failing"].as_f64().unwrap_or(0.0);
        if rng.unit() < self.behavior.failing_share.max(task_share) {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    }

    /// How many runs there are.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}

/// The whole numbers of an array.
fn numbers(values: &Value) -> Vec<u64> {
    let values = values.as_array().into_iter().flatten();
    values.filter_map(Value::as_u64).collect()
}
