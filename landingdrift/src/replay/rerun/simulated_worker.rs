//! The workers of a rerun: they send heartbeats, obey the responses, and end their runs as recorded.

use super::recorded_runs::RecordedRun;
use crate::node::{Heartbeat, RunningAttempt};
use crate::state::{EndReport, Outcome, WorkerInfo};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual milliseconds between the heartbeats of a worker: a little less than the default bounds demand.
const HEARTBEAT_INTERVAL_MS: u64 = 240;

/// A running attempt, in virtual milliseconds.
struct Execution {
    started_at: u64,
    ends_at: u64,
    outcome: Outcome,
}

/// A worker of a rerun.
pub(super) struct SimulatedWorker {
    info: WorkerInfo,
    running: BTreeMap<u64, Execution>,
    /// Ends that were not acknowledged yet.
    ended: Vec<EndReport>,
    /// Attempts that have ended here or were never started.
    over: BTreeSet<u64>,
    next_heartbeat: u64,
    silent: bool,
}

impl SimulatedWorker {
    /// A worker that runs nothing yet.
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            running: BTreeMap::new(),
            ended: Vec::new(),
            over: BTreeSet::new(),
            next_heartbeat: 0,
            silent: false,
        }
    }

    pub fn zone(&self) -> &str {
        &self.info.zone
    }

    /// Joins or comes back with these facts: a new incarnation of the worker runs nothing.
    pub fn update(&mut self, info: &WorkerInfo) {
        if info.incarnation > self.info.incarnation {
            self.running.clear();
        }
        self.info = info.clone();
        self.silent = false;
    }

    /// Sends no heartbeats until it comes back.
    pub fn fall_silent(&mut self) {
        self.silent = true;
    }

    /// Whether it sends a heartbeat now: one is due, or a run has ended.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let has_ended = || self.running.values().any(|run| now_ms >= run.ends_at);
        !self.silent && (now_ms >= self.next_heartbeat || has_ended())
    }

    /// Ends the runs whose time is over, and returns the heartbeat that reports them.
    pub fn heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.next_heartbeat = now_ms + HEARTBEAT_INTERVAL_MS;
        self.end_runs(now_ms);
        let running = self.running.keys().map(|attempt| RunningAttempt {
            attempt: *attempt,
            ..RunningAttempt::default()
        });
        Heartbeat {
            info: self.info.clone(),
            running: running.collect(),
            ended: self.ended.clone(),
            ..Heartbeat::default()
        }
    }

    fn end_runs(&mut self, now_ms: u64) {
        let over = self.running.iter().filter(|(_, run)| now_ms >= run.ends_at);
        let over: Vec<u64> = over.map(|(attempt, _)| *attempt).collect();
        for attempt in over {
            if let Some(run) = self.running.remove(&attempt) {
                self.report_end(attempt, run.outcome, now_ms - run.started_at);
            }
        }
    }

    fn report_end(&mut self, attempt: u64, outcome: Outcome, ran_ms: u64) {
        self.over.insert(attempt);
        self.ended.push(EndReport {
            no: attempt,
            outcome,
            ran_ms,
            ..EndReport::default()
        });
    }

    /// Drops the ends that were acknowledged, and stops runs as ordered.
    pub fn obey(&mut self, response: &Value) {
        let settled = numbers(&response["settled"]);
        self.ended.retain(|end| !settled.contains(&end.no));
        for attempt in numbers(&response["stops"]) {
            if self.running.remove(&attempt).is_some() {
                self.report_end(attempt, Outcome::Stopped, 0);
            } else if !self.over.contains(&attempt) {
                self.report_end(attempt, Outcome::NeverStarted, 0);
            }
        }
    }

    /// Whether an attempt was started here, or is over.
    pub fn knows(&self, attempt: u64) -> bool {
        self.running.contains_key(&attempt) || self.over.contains(&attempt)
    }

    /// Starts an attempt, which ends as recorded.
    pub fn start(&mut self, attempt: u64, now_ms: u64, run: RecordedRun) {
        // Ends are checked before starts in a step, so a run of no time ends with the next one.
        let ends_at = now_ms + run.ran_ms.max(1);
        let execution = Execution {
            started_at: now_ms,
            ends_at,
            outcome: run.outcome,
        };
        self.running.insert(attempt, execution);
    }
}

/// The numbers of the attempts that a response orders to start.
pub(super) fn starts(response: &Value) -> Vec<u64> {
    let starts = response["starts"].as_array();
    let starts = starts.into_iter().flatten();
    starts.filter_map(|start| start["no"].as_u64()).collect()
}

fn numbers(list: &Value) -> Vec<u64> {
    let list = list.as_array().into_iter().flatten();
    list.filter_map(Value::as_u64).collect()
}
