//! Reports of runs that have started and ended, from the heartbeat to the log.
//!
//! One report of a worker is on its way at a time. An end that was received is kept until the cluster state shows it: what
//! a worker has reported outweighs what is inferred from its silence, so such an attempt never expires.

use super::{Heartbeat, WorkerState};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Command, EndReport};

/// Ends that wait are reported without a heartbeat when so many are missing.
const MISSED_HEARTBEATS: u64 = 2;

impl Node {
    /// Proposes which runs have started and which have ended.
    pub(super) fn propose_report(
        &mut self,
        now: Now,
        heartbeat: &Heartbeat,
        running: Vec<u64>,
        ends: Vec<EndReport>,
    ) {
        let command = Command::ReportAttempts {
            worker: heartbeat.info.worker.clone(),
            incarnation: heartbeat.info.incarnation,
            running,
            ends,
        };
        self.propose_report_command(now, &heartbeat.info.worker, &command);
    }

    fn propose_report_command(&mut self, now: Now, worker: &str, command: &Command) {
        let worker = worker.into();
        let within = self.settings.bounds.request_timeout();
        self.propose(now, command, Purpose::Report { worker }, within);
    }

    /// Proposes the ends of a heartbeat that comes too late to renew the worker's lease: they count all the same.
    pub(super) fn report_late_ends(&mut self, now: Now, heartbeat: &Heartbeat) {
        let ends = self.live_ends(now, heartbeat);
        let info = &heartbeat.info;
        let Some(worker) = self.worker_mut(&info.zone, &info.worker) else {
            return;
        };
        worker.note_ends(&ends);
        if ends.is_empty() || worker.report_proposed {
            return;
        }
        worker.report_proposed = true;
        self.propose_report(now, heartbeat, Vec::new(), ends);
    }

    /// A report has an outcome, or is given up. Ends that came meanwhile, or that it did not bring into the log, are
    /// reported because of the next heartbeat, or without one if heartbeats are missing.
    pub(in crate::node) fn on_report_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.report_proposed = false;
        }
    }

    /// Proposes the reported ends that the cluster state does not show and no report on its way has: the worker may be
    /// silent by now.
    pub(super) fn report_remaining_ends(&mut self, now: Now) {
        let wait_ms = MISSED_HEARTBEATS * self.settings.bounds.worker_heartbeat_interval();
        let mut remaining: Vec<(String, Vec<EndReport>)> = Vec::new();
        for zone_scheduler in self.zone_schedulers.values_mut() {
            for (name, worker) in &mut zone_scheduler.workers {
                if worker.has_remaining_ends(now, wait_ms) {
                    worker.report_proposed = true;
                    worker.last_report_at = now.mono;
                    let ends = worker.reported_ends.values().cloned().collect();
                    remaining.push((name.clone(), ends));
                }
            }
        }
        for (worker, ends) in remaining {
            let command = Command::ReportAttempts {
                incarnation: self.incarnation_of(&worker),
                running: Vec::new(),
                ends,
                worker: worker.clone(),
            };
            self.propose_report_command(now, &worker, &command);
        }
    }
}

impl WorkerState {
    /// Keeps ends that were reported until the cluster state shows them.
    pub(super) fn note_ends(&mut self, ends: &[EndReport]) {
        for end in ends {
            self.reported_ends.insert(end.no, end.clone());
        }
    }

    /// Whether ends wait for a report that no heartbeat brings: the newest one, or the newest report, is `wait_ms` old.
    fn has_remaining_ends(&self, now: Now, wait_ms: u64) -> bool {
        let is_due = now.mono >= self.last_heartbeat.max(self.last_report_at) + wait_ms;
        !self.reported_ends.is_empty() && !self.report_proposed && is_due
    }
}
