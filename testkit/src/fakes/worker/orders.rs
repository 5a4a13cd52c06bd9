//! Handling of the responses to heartbeats and departure reports: a worker starts and stops runs as ordered.

use super::{common_rng, Run, Worker, DEFAULT_HEARTBEAT_MS, END_REPORT_DELAY_MS};
use crate::fakes::Output;
use crate::history::Event;
use landingdrift::sans_io::{Response, Rng};
use landingdrift::state::{EndReport, Outcome, RunName};
use serde_json::{json, Value};

/// The exclusive upper bound of the time that a stopped run takes to end, in milliseconds.
const STOP_DELAY_BOUND_MS: u64 = 300;
/// The longest delay of the heartbeat that confirms a start, in milliseconds.
const START_REPORT_DELAY_MS: u64 = 50;
/// The duration of a task whose payload gives none, in milliseconds.
const DEFAULT_TASK_MS: f64 = 200.0;
/// The maximum of the random factor on the duration of a run.
const MAX_TAIL_FACTOR: f64 = 20.0;

/// An order to start a run of a task.
struct StartOrder<'a> {
    attempt: u64,
    job: &'a str,
    task: &'a str,
    run: u32,
    cpu: u32,
    copy: bool,
    payload: &'a Value,
}

impl<'a> StartOrder<'a> {
    fn new(start: &'a Value) -> Self {
        Self {
            attempt: start["no"].as_u64().unwrap_or(0),
            job: start["job"].as_str().unwrap_or(""),
            task: start["task"].as_str().unwrap_or(""),
            run: start["run"].as_u64().unwrap_or(0) as u32,
            cpu: start["room"].as_u64().unwrap_or(0) as u32,
            copy: start["copy"] == json!(true),
            payload: &start["payload"],
        }
    }

    fn run_name(&self) -> RunName {
        RunName {
            job: self.job.into(),
            task: self.task.into(),
            run: self.run,
        }
    }
}

impl Worker {
    /// Handles the response to a heartbeat or to the report of a departure.
    pub fn answer(&mut self, now: u64, call: u64, response: &Response) -> Vec<Output> {
        if let Some(departure_event) = self.departure_answered(call, response) {
            return vec![departure_event];
        }
        let Some(open) = self.open_call.take_if(|open| open.call == call) else {
            return Vec::new();
        };
        self.next_heartbeat_ms = now + self.heartbeat_ms;
        if response.status != 200 {
            self.switch_node(now);
            return Vec::new();
        }
        let body = &response.body;
        self.heartbeat_ms = body["beatMs"].as_u64().unwrap_or(DEFAULT_HEARTBEAT_MS);
        if self.lease.is_some() {
            return self.handle_lease_answer(now, open, body);
        }
        let acknowledged = numbers(&body["settled"]);
        self.unreported_ends
            .retain(|end| !acknowledged.contains(&end.no));
        for attempt in numbers(&body["stops"]) {
            self.stop(now, attempt);
        }
        // Orders in an answer that took too long may be out of date.
        let took_ms = now.saturating_sub(open.sent_ms);
        if took_ms > body["obeyMs"].as_u64().unwrap_or(0) || self.info.leaving {
            return Vec::new();
        }
        self.start_all(now, body)
    }

    /// Starts the runs that an answer orders.
    pub(super) fn start_all(&mut self, now: u64, body: &Value) -> Vec<Output> {
        let starts = body["starts"].as_array().into_iter().flatten();
        starts
            .filter_map(|start| self.start(now, &StartOrder::new(start)))
            .collect()
    }

    fn stop(&mut self, now: u64, attempt: u64) {
        if self.running.contains_key(&attempt) {
            self.stop_running(now, attempt);
        } else if self.finished.insert(attempt) {
            self.unreported_ends.push(EndReport {
                no: attempt,
                outcome: Outcome::NeverStarted,
                ran_ms: 0,
                ..EndReport::default()
            });
            self.next_heartbeat_ms = now + END_REPORT_DELAY_MS;
        }
    }

    /// Stops a run, which ends after a random delay.
    pub(super) fn stop_running(&mut self, now: u64, attempt: u64) {
        let Some(run) = self.running.get_mut(&attempt) else {
            return;
        };
        let ends_ms = now + self.rng.below(STOP_DELAY_BOUND_MS);
        if ends_ms < run.ends_ms {
            run.ends_ms = ends_ms;
            run.outcome = Outcome::Stopped;
        }
    }

    fn start(&mut self, now: u64, order: &StartOrder) -> Option<Output> {
        let attempt = order.attempt;
        if self.running.contains_key(&attempt) || self.finished.contains(&attempt) {
            return None;
        }
        if self.refuses(order.run_name()) {
            self.report_refused(now, order);
            return None;
        }
        let mut rng = match self.common_seed {
            Some(seed) => common_rng(seed, order.job, order.task, order.copy),
            None => Rng::new(self.seed ^ (attempt << 20)),
        };
        let duration_ms = self.random_duration_ms(&mut rng, order.payload);
        let outcome = self.random_outcome(&mut rng, order.payload);
        // With a lease, a failed run may end at any time up to its duration.
        let duration_ms = if self.lease.is_some() && outcome == Outcome::Failed {
            rng.below(duration_ms)
        } else {
            duration_ms
        };
        let run = Run {
            job: order.job.into(),
            task: order.task.into(),
            number: order.run,
            started_ms: now,
            ends_ms: now + duration_ms,
            outcome,
        };
        self.running.insert(attempt, run);
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now + START_REPORT_DELAY_MS);
        Some(Output::Event(Event::RunStarted {
            worker: self.info.worker.clone(),
            attempt,
            job: order.job.into(),
            task: order.task.into(),
            cpu: order.cpu,
            copy: order.copy,
        }))
    }

    /// Reports a refused order to start a run.
    fn report_refused(&mut self, now: u64, order: &StartOrder) {
        self.finished.insert(order.attempt);
        self.unreported_ends.push(EndReport {
            no: order.attempt,
            name: Some(order.run_name()),
            outcome: Outcome::NeverStarted,
            ..EndReport::default()
        });
        self.next_heartbeat_ms = now + END_REPORT_DELAY_MS;
    }

    /// The duration of a run: the payload's minimum duration, times a Pareto-distributed factor, as in the Hopper
    /// paper, if the payload gives a shape for the tail.
    fn random_duration_ms(&self, rng: &mut Rng, payload: &Value) -> u64 {
        let minimum_ms = payload["ms"].as_f64().unwrap_or(DEFAULT_TASK_MS);
        let tail = payload["tail"].as_f64().unwrap_or(0.0);
        let tail_factor = if tail > 0.0 {
            (1.0 - rng.unit()).powf(-1.0 / tail).min(MAX_TAIL_FACTOR)
        } else {
            1.0
        };
        (minimum_ms * tail_factor * self.injected_faults.slowdown).max(1.0) as u64
    }

    fn random_outcome(&self, rng: &mut Rng, payload: &Value) -> Outcome {
        if payload["doomed"] == json!(true) {
            return Outcome::Failed;
        }
        let task_share = payload["failing"].as_f64().unwrap_or(0.0);
        if rng.unit() < self.injected_faults.failing_share.max(task_share) {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    }
}

/// The unsigned integers in an array.
fn numbers(values: &Value) -> Vec<u64> {
    let values = values.as_array().into_iter().flatten();
    values.filter_map(Value::as_u64).collect()
}
