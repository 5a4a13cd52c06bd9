//! Proposals that record started and ended runs in the log.
//!
//! At most one report per worker is pending at a time. A received end is kept until it is in the cluster state: a
//! reported end takes precedence over an expired lease, so such an attempt never expires.

use super::{Heartbeat, WorkerState};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Command, EndReport};

/// Number of missed heartbeats after which ends that are not in the log yet are proposed without waiting for another
/// heartbeat.
const MISSED_HEARTBEATS: u64 = 2;

impl Node {
    /// Proposes to record the started and ended runs of a heartbeat.
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
        let timeout_ms = self.settings.bounds.request_timeout();
        self.propose(now, command, Purpose::Report { worker }, timeout_ms);
    }

    /// Proposes the ends in a heartbeat that arrives too late to renew the worker's lease; they are still valid.
    pub(super) fn report_ends_of_late_heartbeat(&mut self, now: Now, heartbeat: &Heartbeat) {
        let ends = self.ends_of_live_runs(now, heartbeat);
        let info = &heartbeat.info;
        let Some(worker) = self.worker_mut(&info.zone, &info.worker) else {
            return;
        };
        worker.record_ends(&ends);
        if ends.is_empty() || worker.report_pending {
            return;
        }
        worker.report_pending = true;
        self.propose_report(now, heartbeat, Vec::new(), ends);
    }

    /// Handles the completion or timeout of a report proposal. Ends that arrived meanwhile or were not committed are
    /// proposed with the next heartbeat, or by `propose_unrecorded_ends` if no heartbeat arrives.
    pub(in crate::node) fn on_report_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.report_pending = false;
        }
    }

    /// Proposes reported ends that are neither in the cluster state nor in a pending report, for workers whose
    /// heartbeats are missing.
    pub(super) fn propose_unrecorded_ends(&mut self, now: Now) {
        let wait_ms = MISSED_HEARTBEATS * self.settings.bounds.worker_heartbeat_interval();
        let mut unrecorded: Vec<(String, Vec<EndReport>)> = Vec::new();
        for zone_scheduler in self.zone_schedulers.values_mut() {
            for (name, worker) in &mut zone_scheduler.workers {
                if worker.must_propose_ends(now, wait_ms) {
                    worker.report_pending = true;
                    worker.last_report_proposed_at = now.mono;
                    let ends = worker.reported_ends.values().cloned().collect();
                    unrecorded.push((name.clone(), ends));
                }
            }
        }
        for (worker, ends) in unrecorded {
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
    /// Keeps reported ends until they are in the cluster state.
    pub(super) fn record_ends(&mut self, ends: &[EndReport]) {
        for end in ends {
            self.reported_ends.insert(end.no, end.clone());
        }
    }

    /// Whether ends that are not in the log yet must be proposed without waiting for a heartbeat, because neither a
    /// heartbeat nor a proposed report occurred for `wait_ms`.
    fn must_propose_ends(&self, now: Now, wait_ms: u64) -> bool {
        let is_due = now.mono >= self.last_heartbeat.max(self.last_report_proposed_at) + wait_ms;
        !self.reported_ends.is_empty() && !self.report_pending && is_due
    }
}
