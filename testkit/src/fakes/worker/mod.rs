//! A fake worker: it sends heartbeats, runs what it is told to and reports how that ended.

mod departure;
mod lease;
mod orders;

use super::{request, Output};
use crate::history::Event;
use departure::DepartureReport;
use landingdrift::sans_io::{fnv1a, Rng};
use landingdrift::state::{EndReport, Outcome, RunName, WorkerInfo};
use lease::WorkerLease;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The pause between heartbeats until a node says otherwise, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 250;
/// A heartbeat without an answer is given up after this time, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;
/// Ends are reported this soon, so that the capacity is used again, in milliseconds.
const REPORT_END_WITHIN_MS: u64 = 20;
/// The next node is tried after this pause, in milliseconds.
const NEXT_NODE_AFTER_MS: u64 = 20;

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
    /// Numbers the starts of the task.
    number: u32,
    started_ms: u64,
    ends_ms: u64,
    outcome: Outcome,
}

impl Run {
    fn name(&self) -> RunName {
        RunName {
            job: self.job.clone(),
            task: self.task.clone(),
            run: self.number,
        }
    }

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
    /// Where set, it runs tasks for as long as its lease lasts, and identifies runs by their names.
    lease: Option<WorkerLease>,
    /// Its report that it leaves, until that is acknowledged.
    departure: Option<DepartureReport>,
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
            lease: None,
            departure: None,
        }
    }

    /// The same worker with a lease on what it runs.
    pub fn with_lease(mut self) -> Self {
        self.lease = Some(WorkerLease::default());
        self
    }

    /// Whether it has a lease on what it runs.
    pub fn has_lease(&self) -> bool {
        self.lease.is_some()
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

    /// The node that it talks to.
    fn node(&self) -> String {
        self.nodes[self.current_node % self.nodes.len().max(1)].clone()
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
        outputs.extend(self.expire_lease(now));
        outputs.extend(self.report_departure(now));
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
        let body = if self.lease.is_some() {
            self.named_heartbeat_body(now, call)
        } else {
            self.heartbeat_body(now)
        };
        Output::Call {
            to: self.node(),
            call,
            request: request("POST", "/v1/beats", "", Some(&body)),
        }
    }

    fn heartbeat_body(&self, now: u64) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(attempt, run)| json!({"no": attempt, "progress": run.progress(now)}))
            .collect();
        json!({
            "facts": self.info,
            "running": running,
            "ended": self.unreported_ends,
        })
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
        let name = self.note_ended_run(run.name());
        self.unreported_ends.push(EndReport {
            no: attempt,
            name,
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

    /// How many runs there are.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
