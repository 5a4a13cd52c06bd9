//! A simulated worker of a rerun.

use super::recorded_runs::RecordedRun;
use crate::node::{Heartbeat, RunningAttempt};
use crate::state::{EndReport, Outcome, WorkerInfo};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual milliseconds between two heartbeats of a worker: slightly less than the default bounds require.
const HEARTBEAT_INTERVAL_MS: u64 = 240;

/// An attempt that runs on the worker. Times are virtual milliseconds since the beginning of the rerun.
struct SimulatedAttempt {
    started_at: u64,
    ends_at: u64,
    outcome: Outcome,
}

/// A worker that sends heartbeats, follows the orders in the responses, and ends its attempts after the recorded
/// durations with the recorded outcomes.
pub(super) struct SimulatedWorker {
    info: WorkerInfo,
    running: BTreeMap<u64, SimulatedAttempt>,
    /// Reports of ended attempts that were not acknowledged yet.
    ended: Vec<EndReport>,
    /// Attempts that have ended on this worker or were stopped before they started.
    finished: BTreeSet<u64>,
    next_heartbeat_ms: u64,
    heartbeats_stopped: bool,
}

impl SimulatedWorker {
    /// A worker that has no running attempts yet.
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            running: BTreeMap::new(),
            ended: Vec::new(),
            finished: BTreeSet::new(),
            next_heartbeat_ms: 0,
            heartbeats_stopped: false,
        }
    }

    pub fn zone(&self) -> &str {
        &self.info.zone
    }

    /// Updates the registration and resumes heartbeats. A new incarnation of the worker starts without running
    /// attempts.
    pub fn update(&mut self, info: &WorkerInfo) {
        if info.incarnation > self.info.incarnation {
            self.running.clear();
        }
        self.info = info.clone();
        self.heartbeats_stopped = false;
    }

    /// Stops sending heartbeats until the next update.
    pub fn stop_heartbeats(&mut self) {
        self.heartbeats_stopped = true;
    }

    /// Whether the worker sends a heartbeat now: the interval has passed, or an attempt has ended.
    pub fn heartbeat_is_due(&self, now_ms: u64) -> bool {
        let has_ended = || {
            self.running
                .values()
                .any(|attempt| now_ms >= attempt.ends_at)
        };
        !self.heartbeats_stopped && (now_ms >= self.next_heartbeat_ms || has_ended())
    }

    /// Ends the attempts that are due to end, and returns the heartbeat that reports them.
    pub fn heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        self.end_due_attempts(now_ms);
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

    fn end_due_attempts(&mut self, now_ms: u64) {
        let due = self.running.iter().filter(|(_, run)| now_ms >= run.ends_at);
        let due: Vec<u64> = due.map(|(attempt, _)| *attempt).collect();
        for attempt in due {
            if let Some(run) = self.running.remove(&attempt) {
                self.report_end(attempt, run.outcome, now_ms - run.started_at);
            }
        }
    }

    fn report_end(&mut self, attempt: u64, outcome: Outcome, ran_ms: u64) {
        self.finished.insert(attempt);
        self.ended.push(EndReport {
            no: attempt,
            outcome,
            ran_ms,
            ..EndReport::default()
        });
    }

    /// Drops acknowledged end reports, and stops attempts as ordered.
    pub fn apply_orders(&mut self, response: &Value) {
        let acknowledged = attempt_numbers(&response["settled"]);
        self.ended.retain(|end| !acknowledged.contains(&end.no));
        for attempt in attempt_numbers(&response["stops"]) {
            if self.running.remove(&attempt).is_some() {
                self.report_end(attempt, Outcome::Stopped, 0);
            } else if !self.finished.contains(&attempt) {
                self.report_end(attempt, Outcome::NeverStarted, 0);
            }
        }
    }

    /// Whether an attempt runs or has ended on this worker, or was stopped before it started.
    pub fn runs_or_has_run(&self, attempt: u64) -> bool {
        self.running.contains_key(&attempt) || self.finished.contains(&attempt)
    }

    /// Starts an attempt, which ends after the recorded duration with the recorded outcome.
    pub fn start(&mut self, attempt: u64, now_ms: u64, run: RecordedRun) {
        // At least 1 ms: a step handles ends before starts, so a run of 0 ms ends in the next step.
        let ends_at = now_ms + run.ran_ms.max(1);
        let simulated = SimulatedAttempt {
            started_at: now_ms,
            ends_at,
            outcome: run.outcome,
        };
        self.running.insert(attempt, simulated);
    }
}

/// The numbers of the attempts that the worker has to start according to the response to its heartbeat.
pub(super) fn start_orders(response: &Value) -> Vec<u64> {
    let starts = response["starts"].as_array();
    let starts = starts.into_iter().flatten();
    starts.filter_map(|start| start["no"].as_u64()).collect()
}

fn attempt_numbers(list: &Value) -> Vec<u64> {
    let list = list.as_array().into_iter().flatten();
    list.filter_map(Value::as_u64).collect()
}
