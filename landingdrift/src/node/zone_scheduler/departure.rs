//! Departure reports of workers.
//!
//! A worker that has sent a report gets no new work. Its runs still count as live until its lease expires, as for any
//! unresponsive worker: it may send the report first and keep running and sending heartbeats for many seconds. A report
//! is final, i.e. the worker's last message, if earlier heartbeats announced the departure. It also counts as final if
//! workers have no leases, because no lease expiry would end the runs.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{zone_lease, Command, WorkerInfo};

/// A worker's departure, as far as it was announced or reported. Times are in monotonic milliseconds.
#[derive(Default)]
pub(super) struct Departure {
    /// The incarnation of the worker process that this state belongs to.
    incarnation: u64,
    /// The newest heartbeat announced that the worker is leaving.
    announced: bool,
    /// Arrival time of the first departure report.
    reported_at: Option<u64>,
    /// The departure report is the worker's last message.
    is_final: bool,
}

impl Departure {
    /// Records whether a heartbeat announces that the worker is leaving.
    pub fn record_heartbeat(&mut self, incarnation: u64, reports_leaving: bool) {
        self.reset_for_incarnation(incarnation);
        self.announced = reports_leaving;
    }

    /// Resets the state if it belongs to an earlier process of the worker.
    fn reset_for_incarnation(&mut self, incarnation: u64) {
        if incarnation != self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }

    fn record_report(&mut self, now: Now, incarnation: u64, has_lease: bool) {
        self.reset_for_incarnation(incarnation);
        self.reported_at.get_or_insert(now.mono);
        self.is_final |= self.announced || !has_lease;
    }

    /// Whether this process of the worker has sent a departure report.
    fn is_reported(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.reported_at.is_some()
    }

    /// Whether the worker process counts as exited: its report was final, and no heartbeat has arrived for `timeout_ms`
    /// since.
    pub fn has_exited(&self, now: Now, last_heartbeat: u64, timeout_ms: u64) -> bool {
        let Some(reported_at) = self.reported_at.filter(|_| self.is_final) else {
            return false;
        };
        now.mono >= reported_at.max(last_heartbeat) + timeout_ms
    }

    /// The minimum remaining time, in milliseconds, of a worker whose report is not final, assuming that it exits
    /// `leave_ms` after the report; none without such a report.
    pub fn remaining_ms(&self, now: Now, leave_ms: u64) -> Option<u64> {
        let reported_at = self.reported_at.filter(|_| !self.is_final)?;
        Some((reported_at + leave_ms).saturating_sub(now.mono))
    }
}

impl Node {
    /// Records a departure report: from now on this node does not offer the worker's slots.
    pub(in crate::node) fn on_departure_report(&mut self, now: Now, worker: &str) {
        let has_lease = self.settings.bounds.lease_ms > 0;
        let incarnation = self.incarnation_of(worker);
        for worker in self.workers_named(worker) {
            worker.departure.record_report(now, incarnation, has_lease);
            worker.leaving = true;
        }
        self.count("workers_left", 1);
        let known = self.state.workers.get(worker);
        let announced = known.is_some_and(|known| known.info.leaving);
        let attempts = known.map_or(0, |known| known.attempts.len());
        self.log(format!(
            "worker {worker} reported that it is leaving; announced before: {announced}; live attempts: {attempts}"
        ));
    }

    /// The command that marks a worker as leaving in the cluster state; none if the worker is unknown or already
    /// marked, or if this node does not hold its zone's lease.
    pub(in crate::node) fn leaving_command(&self, worker: &str) -> Option<Command> {
        let known = self.state.workers.get(worker)?;
        if known.info.leaving {
            return None;
        }
        let info = WorkerInfo {
            leaving: true,
            ..known.info.clone()
        };
        let zone_epoch = self.epoch(&zone_lease(&info.zone))?;
        Some(Command::UpdateWorker { info, zone_epoch })
    }

    /// Whether a worker counts as leaving regardless of its heartbeat: it has sent a departure report, or its process
    /// is marked as leaving in the cluster state.
    pub(super) fn is_leaving(&self, info: &WorkerInfo) -> bool {
        let worker = self.worker(&info.zone, &info.worker);
        let known = self.state.workers.get(&info.worker);
        let was_leaving = known
            .is_some_and(|known| known.info.leaving && known.info.incarnation == info.incarnation);
        was_leaving || worker.is_some_and(|worker| worker.departure.is_reported(info.incarnation))
    }
}
