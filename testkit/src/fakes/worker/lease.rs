//! Workers with a lease, which kill their runs when it expires and identify runs by name instead of attempt number.
//! Such a worker forgets acknowledged ends, and refuses runs of a task up to the highest run number that ended or was
//! stopped on this worker.

use super::{OpenCall, Worker};
use crate::fakes::Output;
use crate::history::Event;
use landingdrift::state::{EndReport, Outcome, RunName};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long a worker keeps its lease, in percent of the granted duration; above 100 as with a slow clock.
const SLOW_CLOCK_LEASE_PERCENT: u64 = 102;

/// The lease of a worker, and its record of earlier runs.
#[derive(Default)]
pub(super) struct WorkerLease {
    /// When the lease expires, in milliseconds.
    expires_ms: u64,
    /// Whether the lease has been granted and has not expired.
    is_active: bool,
    /// The highest fencing token received.
    fencing_token: u64,
    /// The highest number of a run that ended or was stopped, by job and task.
    ended_runs: BTreeMap<(String, String), u32>,
    /// The number of ends that the unanswered heartbeat reports.
    reported_ends: usize,
}

impl WorkerLease {
    fn record_ended(&mut self, name: &RunName) {
        let key = (name.job.clone(), name.task.clone());
        let highest = self.ended_runs.entry(key).or_default();
        *highest = name.run.max(*highest);
    }

    /// Whether this run or one of the task's later runs has ended or was stopped on this worker.
    fn is_outdated(&self, name: RunName) -> bool {
        let highest = self.ended_runs.get(&(name.job, name.task));
        highest.is_some_and(|highest| name.run <= *highest)
    }
}

impl Worker {
    /// Records the end of a run; returns its name for the report, or none if the worker has no lease.
    pub(super) fn record_ended_run(&mut self, name: RunName) -> Option<RunName> {
        let lease = self.lease.as_mut()?;
        lease.record_ended(&name);
        Some(name)
    }

    /// Whether the worker refuses to start a run, because it is outdated; false without a lease.
    pub(super) fn refuses(&self, name: RunName) -> bool {
        let lease = self.lease.as_ref();
        lease.is_some_and(|lease| lease.is_outdated(name))
    }

    /// The body of a heartbeat that identifies runs by name.
    pub(super) fn lease_heartbeat_body(&mut self, now: u64, call: u64) -> Value {
        let running = self.running.values();
        let running: Vec<Value> = running
            .map(|run| json!({"name": run.name(), "progress": run.progress(now)}))
            .collect();
        let without_attempt = |end: &EndReport| EndReport {
            no: 0,
            ..end.clone()
        };
        let ended: Vec<EndReport> = self.unreported_ends.iter().map(without_attempt).collect();
        if let Some(lease) = &mut self.lease {
            lease.reported_ends = ended.len();
        }
        json!({"facts": self.info, "running": running, "ended": ended, "call": call, "named": true})
    }

    /// Handles the answer to a heartbeat. If the answer's fencing token is lower than an earlier one, the worker
    /// ignores its orders and does not renew the lease.
    pub(super) fn handle_lease_answer(
        &mut self,
        now: u64,
        open: OpenCall,
        body: &Value,
    ) -> Vec<Output> {
        let mut outputs = self.forget_acknowledged(body);
        let Some(lease) = &mut self.lease else {
            return outputs;
        };
        let token = body["epoch"].as_u64().unwrap_or(0);
        let Some(lease_ms) = body["holdMs"].as_u64() else {
            return outputs;
        };
        if token < lease.fencing_token {
            return outputs;
        }
        lease.fencing_token = token;
        let expires_ms = open.sent_ms + lease_ms * SLOW_CLOCK_LEASE_PERCENT / 100;
        lease.expires_ms = lease.expires_ms.max(expires_ms);
        lease.is_active = true;
        for stop in body["stopRuns"].as_array().into_iter().flatten() {
            self.stop_by_name(now, stop);
        }
        if !self.info.leaving {
            outputs.extend(self.start_all(now, body));
        }
        outputs
    }

    /// Removes the ends that an answer acknowledges from those to report.
    fn forget_acknowledged(&mut self, body: &Value) -> Vec<Output> {
        let reported = self.lease.as_ref().map_or(0, |lease| lease.reported_ends);
        let acknowledged_count = body["settledTo"].as_u64().unwrap_or(0) as usize;
        let count = acknowledged_count
            .min(reported)
            .min(self.unreported_ends.len());
        let acknowledged = self.unreported_ends.drain(..count);
        let worker = &self.info.worker;
        let event = |end: EndReport| {
            Output::Event(Event::EndAcknowledged {
                worker: worker.clone(),
                attempt: end.no,
            })
        };
        acknowledged.map(event).collect()
    }

    /// Stops a run by name; a run whose start order has not arrived yet will be refused.
    fn stop_by_name(&mut self, now: u64, stop: &Value) {
        let name = RunName {
            job: stop[0].as_str().unwrap_or("").into(),
            task: stop[1].as_str().unwrap_or("").into(),
            run: stop[2].as_u64().unwrap_or(0) as u32,
        };
        let mut running = self.running.iter();
        let target = running.find(|(_, run)| run.name() == name);
        if let Some(attempt) = target.map(|(attempt, _)| *attempt) {
            self.stop_running(now, attempt);
        } else if let Some(lease) = &mut self.lease {
            lease.record_ended(&name);
        }
    }

    /// Kills all runs if the lease has expired.
    pub(super) fn expire_lease(&mut self, now: u64) -> Vec<Output> {
        let lease = self.lease.as_mut();
        let Some(lease) = lease.filter(|lease| lease.is_active && now >= lease.expires_ms) else {
            return Vec::new();
        };
        lease.is_active = false;
        let attempts: Vec<u64> = self.running.keys().copied().collect();
        let mut outputs = Vec::new();
        for attempt in attempts {
            if let Some(run) = self.running.get_mut(&attempt) {
                run.outcome = Outcome::Expired;
            }
            outputs.extend(self.end_run(now, attempt));
        }
        let worker = self.info.worker.clone();
        outputs.push(Output::Event(Event::LeaseExpired { worker }));
        outputs
    }
}
