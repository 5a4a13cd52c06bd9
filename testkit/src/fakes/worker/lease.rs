//! Workers that run tasks for as long as their lease lasts, and identify runs by their names and not by the numbers of
//! attempts. Such a worker forgets an end that was acknowledged, and refuses any run that is not above one that ended or
//! was called off there.

use super::{OpenCall, Worker};
use crate::fakes::Output;
use crate::history::Event;
use landingdrift::state::{EndReport, Outcome, RunName};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A worker's clock may run so much slow: it takes its lease to last so many hundredths of its time.
const SLOW_CLOCK_PERCENT: u64 = 102;

/// The lease of a worker, and what it knows of earlier runs. Times are milliseconds since the beginning of the day.
#[derive(Default)]
pub(super) struct WorkerLease {
    /// When it runs out.
    expires_ms: u64,
    /// It was renewed, and has not run out since.
    is_held: bool,
    /// The highest fencing token of an answer.
    fencing_token: u64,
    /// The highest run of each task that ended or was called off, by the names of job and task.
    ended_runs: BTreeMap<(String, String), u32>,
    /// How many ends the open heartbeat reports.
    reported_ends: usize,
}

impl WorkerLease {
    fn note_ended(&mut self, name: &RunName) {
        let key = (name.job.clone(), name.task.clone());
        let highest = self.ended_runs.entry(key).or_default();
        *highest = name.run.max(*highest);
    }

    fn has_ended(&self, name: RunName) -> bool {
        let highest = self.ended_runs.get(&(name.job, name.task));
        highest.is_some_and(|highest| name.run <= *highest)
    }
}

impl Worker {
    /// Remembers that a run has ended; returns its name if ends are reported by names.
    pub(super) fn note_ended_run(&mut self, name: RunName) -> Option<RunName> {
        let lease = self.lease.as_mut()?;
        lease.note_ended(&name);
        Some(name)
    }

    /// Whether a run is turned away.
    pub(super) fn refuses(&self, name: RunName) -> bool {
        let lease = self.lease.as_ref();
        lease.is_some_and(|lease| lease.has_ended(name))
    }

    /// The body of a heartbeat that identifies runs by their names.
    pub(super) fn named_heartbeat_body(&mut self, now: u64, call: u64) -> Value {
        let running = self.running.values();
        let running: Vec<Value> = running
            .map(|run| json!({"name": run.name(), "progress": run.progress(now)}))
            .collect();
        let nameless = |end: &EndReport| EndReport {
            no: 0,
            ..end.clone()
        };
        let ended: Vec<EndReport> = self.unreported_ends.iter().map(nameless).collect();
        if let Some(lease) = &mut self.lease {
            lease.reported_ends = ended.len();
        }
        json!({"facts": self.info, "running": running, "ended": ended, "call": call, "named": true})
    }

    /// Does as an answer says. One with a lower fencing token than before starts, stops and renews nothing.
    pub(super) fn obey_named(&mut self, now: u64, open: OpenCall, body: &Value) -> Vec<Output> {
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
        let expires_ms = open.sent_ms + lease_ms * SLOW_CLOCK_PERCENT / 100;
        lease.expires_ms = lease.expires_ms.max(expires_ms);
        lease.is_held = true;
        for stop in body["stopRuns"].as_array().into_iter().flatten() {
            self.stop_named(now, stop);
        }
        if !self.info.leaving {
            outputs.extend(self.start_all(now, body));
        }
        outputs
    }

    /// Forgets the ends that an answer acknowledges.
    fn forget_acknowledged(&mut self, body: &Value) -> Vec<Output> {
        let reported = self.lease.as_ref().map_or(0, |lease| lease.reported_ends);
        let settled = body["settledTo"].as_u64().unwrap_or(0) as usize;
        let count = settled.min(reported).min(self.unreported_ends.len());
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

    /// Stops a run by its names; one that is not there yet is turned away from now on.
    fn stop_named(&mut self, now: u64, stop: &Value) {
        let name = RunName {
            job: stop[0].as_str().unwrap_or("").into(),
            task: stop[1].as_str().unwrap_or("").into(),
            run: stop[2].as_u64().unwrap_or(0) as u32,
        };
        let mut running = self.running.iter();
        let meant = running.find(|(_, run)| run.name() == name);
        if let Some(attempt) = meant.map(|(attempt, _)| *attempt) {
            self.stop_running(now, attempt);
        } else if let Some(lease) = &mut self.lease {
            lease.note_ended(&name);
        }
    }

    /// Kills what runs when the lease has run out.
    pub(super) fn expire_lease(&mut self, now: u64) -> Vec<Output> {
        let lease = self.lease.as_mut();
        let Some(lease) = lease.filter(|lease| lease.is_held && now >= lease.expires_ms) else {
            return Vec::new();
        };
        lease.is_held = false;
        let attempts: Vec<u64> = self.running.keys().copied().collect();
        let mut outputs = Vec::new();
        for attempt in attempts {
            if let Some(run) = self.running.get_mut(&attempt) {
                run.outcome = Outcome::Expired;
            }
            outputs.extend(self.end(now, attempt));
        }
        let worker = self.info.worker.clone();
        outputs.push(Output::Event(Event::LeaseExpired { worker }));
        outputs
    }
}
