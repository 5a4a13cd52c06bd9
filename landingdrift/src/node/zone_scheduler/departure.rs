//! Workers that report that they leave.
//!
//! The report is an announcement. It proves nothing of what runs there: a worker may send it first, serve on for many
//! seconds, and heartbeat as before. So from then on the worker gets nothing new, and what it runs is dead when its lease
//! has run out, as with any other silence. Only a worker that had announced before, in its heartbeats, that it is leaving
//! sends the report as its last word; and where there are no leases the report is the only word there is.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{zone_lease, Command, WorkerInfo};

/// What a worker has said of its leaving. Times are milliseconds by this node's monotonic clock.
#[derive(Default)]
pub(super) struct Departure {
    /// The incarnation of the process that this is about.
    incarnation: u64,
    /// Its newest heartbeat said so.
    announced: bool,
    /// When its report was received first.
    reported_at: Option<u64>,
    /// The report was its last word.
    is_final: bool,
}

impl Departure {
    /// Takes note of whether a heartbeat of a process says that it is leaving.
    pub fn note_heartbeat(&mut self, incarnation: u64, says_leaving: bool) {
        self.begin_process(incarnation);
        self.announced = says_leaving;
    }

    /// What an earlier process of the worker has said does not count for this one.
    fn begin_process(&mut self, incarnation: u64) {
        if incarnation != self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }

    fn note_report(&mut self, now: Now, incarnation: u64, has_lease: bool) {
        self.begin_process(incarnation);
        self.reported_at.get_or_insert(now.mono);
        self.is_final |= self.announced || !has_lease;
    }

    /// Whether a process of the worker has reported that it leaves.
    fn is_reported(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.reported_at.is_some()
    }

    /// Whether the worker has ended: it has said its last word, and was silent since for `silence_ms`.
    pub fn has_ended(&self, now: Now, last_heartbeat: u64, silence_ms: u64) -> bool {
        let Some(reported_at) = self.reported_at.filter(|_| self.is_final) else {
            return false;
        };
        now.mono >= reported_at.max(last_heartbeat) + silence_ms
    }

    /// How long a worker that did not announce it stays at least, when workers stay for `leave_ms`.
    pub fn remaining_ms(&self, now: Now, leave_ms: u64) -> Option<u64> {
        let reported_at = self.reported_at.filter(|_| !self.is_final)?;
        Some((reported_at + leave_ms).saturating_sub(now.mono))
    }
}

impl Node {
    /// A worker reports that it leaves: this node offers it no more.
    pub(in crate::node) fn on_worker_left(&mut self, now: Now, worker: &str) {
        let has_lease = self.settings.bounds.lease_ms > 0;
        let incarnation = self.incarnation_of(worker);
        for worker in self.workers_named(worker) {
            worker.departure.note_report(now, incarnation, has_lease);
            worker.leaving = true;
        }
        self.count("workers_left", 1);
        let known = self.state.workers.get(worker);
        let announced = known.is_some_and(|known| known.info.leaving);
        let attempts = known.map_or(0, |known| known.attempts.len());
        self.log(format!(
            "worker {worker} reports that it leaves; announced before: {announced}; live attempts: {attempts}"
        ));
    }

    /// The command by which a worker is leaving for all nodes; none if the cluster state has it so.
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

    /// Whether a worker that says it stays is leaving all the same: it has reported so, or its process has said so before.
    pub(super) fn is_leaving(&self, info: &WorkerInfo) -> bool {
        let worker = self.worker(&info.zone, &info.worker);
        let known = self.state.workers.get(&info.worker);
        let was_leaving = known
            .is_some_and(|known| known.info.leaving && known.info.incarnation == info.incarnation);
        was_leaving || worker.is_some_and(|worker| worker.departure.is_reported(info.incarnation))
    }
}
