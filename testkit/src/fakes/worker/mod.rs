//! A fake worker: it sends heartbeats, runs tasks as ordered by nodes, and reports their outcomes.

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

/// The interval of heartbeats until a node sets another, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 250;
/// The timeout of a heartbeat, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;
/// The delay of the heartbeat that reports an end, in milliseconds: short, so that the capacity is soon reused.
const END_REPORT_DELAY_MS: u64 = 20;
/// The pause before a heartbeat to another node, in milliseconds.
const NODE_SWITCH_PAUSE_MS: u64 = 20;

/// The faults injected into a worker.
#[derive(Clone, Debug)]
pub struct InjectedFaults {
    /// The factor on the durations of runs.
    pub slowdown: f64,
    /// The share of runs that fail, while heartbeats go on as usual.
    pub failing_share: f64,
}

impl Default for InjectedFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            failing_share: 0.0,
        }
    }
}

/// A run of a task.
struct Run {
    job: String,
    task: String,
    /// The number of the run among those of its task.
    number: u32,
    started_ms: u64,
    ends_ms: u64,
    /// The outcome that the run will have when it ends.
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

    /// The elapsed share of the run's duration, in thousandths.
    fn progress(&self, now: u64) -> u64 {
        let duration_ms = (self.ends_ms - self.started_ms).max(1);
        (now - self.started_ms) * 1000 / duration_ms
    }
}

/// The random numbers of a run when policies are compared: they depend only on the seed, the job, the task and whether
/// the run is a copy, so that all policies get the same random numbers.
pub fn common_rng(seed: u64, job: &str, task: &str, copy: bool) -> Rng {
    Rng::new(seed ^ fnv1a(format!("{job}/{task}/{copy}").as_bytes()))
}

/// A heartbeat that has not been answered.
#[derive(Clone, Copy)]
struct OpenCall {
    call: u64,
    sent_ms: u64,
}

/// A fake worker with its current runs, its unacknowledged ends and its calls.
pub struct Worker {
    pub info: WorkerInfo,
    pub injected_faults: InjectedFaults,
    /// The addresses of all nodes, as the platform lists them.
    pub nodes: Vec<String>,
    /// The index in `nodes` of the node that the worker calls.
    current_node: usize,
    rng: Rng,
    seed: u64,
    /// If set, the duration and outcome of a run depend only on this seed, the job, the task and whether the run is a
    /// copy; see [`common_rng`].
    pub common_seed: Option<u64>,
    /// The current runs, by attempt number.
    running: BTreeMap<u64, Run>,
    /// Ends that no node has acknowledged yet; each heartbeat reports them.
    unreported_ends: Vec<EndReport>,
    /// Attempts that ended, were refused, or were stopped before their start order arrived; they must not start again.
    finished: BTreeSet<u64>,
    heartbeat_ms: u64,
    next_heartbeat_ms: u64,
    open_call: Option<OpenCall>,
    last_call: u64,
    /// The lease, if the worker has one. A worker with a lease identifies runs to the nodes by job, task and run number
    /// instead of attempt number.
    lease: Option<WorkerLease>,
    /// The report of an unannounced departure, until it is acknowledged.
    departure: Option<DepartureReport>,
}

impl Worker {
    /// A worker that has just started.
    pub fn new(info: WorkerInfo, nodes: Vec<String>, seed: u64) -> Self {
        let mut rng = Rng::new(seed ^ fnv1a(info.worker.as_bytes()) ^ info.incarnation);
        let current_node = rng.below(nodes.len() as u64) as usize;
        Self {
            info,
            injected_faults: InjectedFaults::default(),
            nodes,
            current_node,
            rng,
            seed,
            common_seed: None,
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

    /// The same worker, with a lease on its runs.
    pub fn with_lease(mut self) -> Self {
        self.lease = Some(WorkerLease::default());
        self
    }

    /// Whether the worker has a lease, active or not.
    pub fn has_lease(&self) -> bool {
        self.lease.is_some()
    }

    /// The event to record when the worker has started.
    pub fn started_event(&self) -> Event {
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

    /// Announces that the worker is about to leave.
    pub fn leave(&mut self, now: u64) -> Vec<Output> {
        self.info.leaving = true;
        self.open_call = None;
        self.next_heartbeat_ms = now;
        let worker = self.info.worker.clone();
        let mut outputs = vec![Output::Event(Event::WorkerLeaving { worker })];
        outputs.extend(self.tick(now));
        outputs
    }

    /// The address of the node that the worker calls.
    fn node(&self) -> String {
        self.nodes[self.current_node % self.nodes.len().max(1)].clone()
    }

    /// Changes the worker's capacity and labels; answers to earlier heartbeats are then ignored.
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

    /// Ends finished runs, lets the lease expire if it is due, and makes the calls that are due.
    pub fn tick(&mut self, now: u64) -> Vec<Output> {
        let mut outputs = self.end_runs(now);
        outputs.extend(self.expire_lease(now));
        outputs.extend(self.report_departure(now));
        let open = self.open_call;
        if open.is_some_and(|open| now >= open.sent_ms + CALL_TIMEOUT_MS) {
            self.open_call = None;
            self.switch_node(now);
        }
        if self.open_call.is_none() && now >= self.next_heartbeat_ms {
            outputs.push(self.heartbeat(now));
        }
        outputs
    }

    fn switch_node(&mut self, now: u64) {
        let others = self.nodes.len().max(2) as u64 - 1;
        let step = 1 + self.rng.below(others) as usize;
        self.current_node = (self.current_node + step) % self.nodes.len().max(1);
        self.next_heartbeat_ms = now + NODE_SWITCH_PAUSE_MS;
    }

    fn heartbeat(&mut self, now: u64) -> Output {
        self.last_call += 1;
        let call = self.last_call;
        self.open_call = Some(OpenCall { call, sent_ms: now });
        let body = if self.lease.is_some() {
            self.lease_heartbeat_body(now, call)
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

    /// Ends the runs whose duration has elapsed.
    fn end_runs(&mut self, now: u64) -> Vec<Output> {
        let finished = self.running.iter().filter(|(_, run)| now >= run.ends_ms);
        let finished: Vec<u64> = finished.map(|(attempt, _)| *attempt).collect();
        finished
            .into_iter()
            .filter_map(|attempt| self.end_run(now, attempt))
            .collect()
    }

    fn end_run(&mut self, now: u64, attempt: u64) -> Option<Output> {
        let run = self.running.remove(&attempt)?;
        self.finished.insert(attempt);
        let note = if run.outcome == Outcome::Failed {
            "the run failed"
        } else {
            ""
        };
        let name = self.record_ended_run(run.name());
        self.unreported_ends.push(EndReport {
            no: attempt,
            name,
            outcome: run.outcome,
            ran_ms: now - run.started_ms,
            note: note.into(),
            ..EndReport::default()
        });
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now + END_REPORT_DELAY_MS);
        Some(Output::Event(Event::RunEnded {
            worker: self.info.worker.clone(),
            attempt,
            job: run.job,
            task: run.task,
            outcome: run.outcome,
        }))
    }

    /// The number of current runs.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }
}
