//! The workers of a rerun: they send heartbeats, obey the answers, and end their runs as recorded.

use super::runs::RecordedRun;
use crate::node::{Heartbeat, RunningAttempt};
use crate::state::{EndReport, Outcome, WorkerInfo};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual milliseconds between the heartbeats of a worker: a little less than the default bounds ask for.
const HEARTBEAT_EVERY: u64 = 240;

/// What a worker runs.
struct Execution {
    from: u64,
    to: u64,
    outcome: Outcome,
}

/// A worker.
pub(super) struct SimulatedWorker {
    info: WorkerInfo,
    running: BTreeMap<u64, Execution>,
    /// Ends that were not yet settled.
    ended: Vec<EndReport>,
    /// Attempts that have ended here or never began.
    over: BTreeSet<u64>,
    next: u64,
    silent: bool,
}

impl SimulatedWorker {
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            running: BTreeMap::new(),
            ended: Vec::new(),
            over: BTreeSet::new(),
            next: 0,
            silent: false,
        }
    }

    pub fn zone(&self) -> &str {
        &self.info.zone
    }

    /// Comes, or comes back, with these facts: a new life of the worker runs nothing.
    pub fn come(&mut self, info: &WorkerInfo) {
        if info.incarnation > self.info.incarnation {
            self.running.clear();
        }
        self.info = info.clone();
        self.silent = false;
    }

    /// Falls silent until it comes back.
    pub fn fall_silent(&mut self) {
        self.silent = true;
    }

    /// Whether it sends a heartbeat now: it is time for one, or a run has ended.
    pub fn is_due(&self, t: u64) -> bool {
        let has_ended = || self.running.values().any(|run| t >= run.to);
        !self.silent && (t >= self.next || has_ended())
    }

    /// Ends the runs whose time is over, and gives the heartbeat that tells so.
    pub fn heartbeat(&mut self, t: u64) -> Heartbeat {
        self.next = t + HEARTBEAT_EVERY;
        self.end_runs(t);
        let running = self.running.keys().map(|no| RunningAttempt {
            attempt: *no,
            ..RunningAttempt::default()
        });
        Heartbeat {
            info: self.info.clone(),
            running: running.collect(),
            ended: self.ended.clone(),
            ..Heartbeat::default()
        }
    }

    fn end_runs(&mut self, t: u64) {
        let over = self.running.iter().filter(|(_, run)| t >= run.to);
        let over: Vec<u64> = over.map(|(no, _)| *no).collect();
        for no in over {
            if let Some(run) = self.running.remove(&no) {
                self.report_end(no, run.outcome, t - run.from);
            }
        }
    }

    fn report_end(&mut self, no: u64, outcome: Outcome, ran_ms: u64) {
        self.over.insert(no);
        self.ended.push(EndReport {
            no,
            outcome,
            ran_ms,
            ..EndReport::default()
        });
    }

    /// Forgets the ends that were settled, and stops what is to be stopped.
    pub fn obey(&mut self, answer: &Value) {
        let settled = numbers(&answer["settled"]);
        self.ended.retain(|end| !settled.contains(&end.no));
        for no in numbers(&answer["stops"]) {
            if self.running.remove(&no).is_some() {
                self.report_end(no, Outcome::Stopped, 0);
            } else if !self.over.contains(&no) {
                self.report_end(no, Outcome::NeverStarted, 0);
            }
        }
    }

    /// Whether a attempt has begun here, or is over.
    pub fn knows(&self, no: u64) -> bool {
        self.running.contains_key(&no) || self.over.contains(&no)
    }

    pub fn start(&mut self, no: u64, t: u64, run: RecordedRun) {
        // A run of no time ends with the next step: its end is looked for before it could begin.
        let to = t + run.ran_ms.max(1);
        let execution = Execution {
            from: t,
            to,
            outcome: run.outcome,
        };
        self.running.insert(no, execution);
    }
}

/// The numbers of the attempts that an answer wants started.
pub(super) fn starts(answer: &Value) -> Vec<u64> {
    let starts = answer["starts"].as_array();
    let starts = starts.into_iter().flatten();
    starts.filter_map(|start| start["no"].as_u64()).collect()
}

fn numbers(list: &Value) -> Vec<u64> {
    let list = list.as_array().into_iter().flatten();
    list.filter_map(Value::as_u64).collect()
}
