//! Failure detection: unresponsive workers, and workers that have ended or whose lease has expired.

use super::stragglers::Stragglers;
use super::WorkerState;
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::settings::Bounds;
use crate::state::{ClusterState, Command, Worker};

/// A worker that has not sent a heartbeat within `worker_lost`.
struct LostWorker {
    worker: String,
    zone_epoch: u64,
}

/// A worker that has ended or whose lease has expired, with its attempts to be expired.
struct ExpiredWorker {
    worker: String,
    zone_epoch: u64,
    attempts: Vec<u64>,
    checkpoints: Vec<(u64, String)>,
}

impl Node {
    /// Detects lost, ended and expired workers, and offers free slots.
    pub(in crate::node) fn zone_schedulers_tick(&mut self, now: Now) {
        if !self.fresh_for_zones(now) {
            // Nothing is decided on a stale copy of the cluster state, and missing heartbeats don't count against
            // workers meanwhile.
            let lost_after = self.settings.bounds.worker_timeout();
            let earliest = now.mono.saturating_sub(lost_after / 2);
            for worker in self.all_workers() {
                worker.last_heartbeat = worker.last_heartbeat.max(earliest);
            }
            return;
        }
        let (lost, expired) = self.detect_failures(now);
        self.report_remaining_ends(now);
        for worker in lost {
            self.propose_lost(now, worker);
        }
        for worker in expired {
            self.propose_expiry(now, worker);
        }
        self.offer_all(now);
    }

    /// Returns the workers that are newly lost, and those whose expiry is to be proposed.
    fn detect_failures(&mut self, now: Now) -> (Vec<LostWorker>, Vec<ExpiredWorker>) {
        let bounds = &self.settings.bounds;
        let mut lost = Vec::new();
        let mut expired = Vec::new();
        for zone_scheduler in self.zone_schedulers.values_mut() {
            let zone_epoch = zone_scheduler.epoch;
            for (name, worker) in &mut zone_scheduler.workers {
                worker.drop_overdue_offers(now, bounds.offer_timeout());
                let known = self.state.workers.get(name);
                worker.forget_applied(&self.state);
                if let Some(known) = known {
                    worker.begin_expiry(now, bounds, known);
                }
                if worker.needs_expiry_proposal(&self.state) {
                    worker.expiry_proposed = true;
                    let checkpoints = std::mem::take(&mut worker.checkpoints);
                    expired.push(ExpiredWorker {
                        worker: name.clone(),
                        zone_epoch,
                        attempts: worker.expiring.clone(),
                        checkpoints: checkpoints.into_iter().collect(),
                    });
                }
                let since_heartbeat = now.mono.saturating_sub(worker.last_heartbeat);
                let is_unresponsive = since_heartbeat > bounds.worker_timeout();
                let not_known_as_lost = known.is_some_and(|known| !known.lost);
                if is_unresponsive && not_known_as_lost && !worker.info_proposed {
                    worker.info_proposed = true;
                    lost.push(LostWorker {
                        worker: name.clone(),
                        zone_epoch,
                    });
                }
            }
        }
        (lost, expired)
    }

    /// Proposes to mark the outcome of a lost worker's attempts as unknown.
    fn propose_lost(&mut self, now: Now, lost: LostWorker) {
        let LostWorker { worker, zone_epoch } = lost;
        let incarnation = self.incarnation_of(&worker);
        self.log(format!(
            "worker {worker} is lost: no heartbeat received, the outcome of its attempts is unknown"
        ));
        self.count("workers_lost", 1);
        let command = Command::MarkWorkerLost {
            worker: worker.clone(),
            incarnation,
            zone_epoch,
        };
        let timeout_ms = self.settings.bounds.request_timeout();
        self.propose(now, &command, Purpose::UpdateWorker { worker }, timeout_ms);
    }

    /// Proposes to end the attempts of an expired worker.
    fn propose_expiry(&mut self, now: Now, expired: ExpiredWorker) {
        let worker = expired.worker;
        let incarnation = self.incarnation_of(&worker);
        self.log(format!(
            "worker {worker} has ended or its lease has expired: its attempts are ended"
        ));
        self.count("workers_lease_expired", 1);
        let command = Command::ExpireAttempts {
            worker: worker.clone(),
            incarnation,
            zone_epoch: expired.zone_epoch,
            attempts: expired.attempts,
            checkpoints: expired.checkpoints,
        };
        let timeout_ms = self.settings.bounds.request_timeout();
        self.propose(
            now,
            &command,
            Purpose::ExpireAttempts { worker },
            timeout_ms,
        );
    }

    /// The incarnation of a worker in the cluster state; 0 if the worker is unknown.
    pub(super) fn incarnation_of(&self, worker: &str) -> u64 {
        let known = self.state.workers.get(worker);
        known.map_or(0, |worker| worker.info.incarnation)
    }

    /// A proposal to expire a worker's attempts is in the log at `log_index`, or has timed out and will be repeated.
    pub(in crate::node) fn on_expiry_proposal_done(&mut self, worker: &str, log_index: u64) {
        for worker in self.workers_named(worker) {
            worker.expiry_proposed = false;
            worker.expiry_log_index = log_index;
        }
    }

    /// Proposes to reschedule the stragglers of a worker.
    pub(super) fn reschedule_attempts(
        &mut self,
        now: Now,
        worker: &str,
        zone_epoch: u64,
        stragglers: Stragglers,
    ) {
        let Stragglers {
            attempts,
            blame_worker,
        } = stragglers;
        let suspect_until = now.mono + self.settings.bounds.cancel_ms;
        if let Some(worker) = self.workers_named(worker).next() {
            worker.reschedule_proposed = true;
            if blame_worker {
                worker.suspect_until = suspect_until;
            }
        }
        self.count("attempts_rescheduled", attempts.len() as u64);
        if blame_worker {
            self.log(format!(
                "worker {worker} is stalled or slow: rescheduling {} of its runs",
                attempts.len()
            ));
            self.count("workers_suspected", 1);
        }
        let command = Command::RescheduleAttempts {
            worker: worker.into(),
            zone_epoch,
            attempts,
            blame: blame_worker,
        };
        let purpose = Purpose::RescheduleAttempts {
            worker: worker.into(),
        };
        self.propose(
            now,
            &command,
            purpose,
            self.settings.bounds.request_timeout(),
        );
    }

    /// A proposal to reschedule attempts has completed or timed out.
    pub(in crate::node) fn on_reschedule_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.reschedule_proposed = false;
        }
    }
}

impl WorkerState {
    /// Selects the worker's attempts for expiry if it has ended or its lease has expired.
    fn begin_expiry(&mut self, now: Now, bounds: &Bounds, known: &Worker) {
        let timeout_ms = bounds.max_start_order_age() / 2;
        let has_left = self
            .departure
            .has_ended(now, self.last_heartbeat, timeout_ms);
        let expires_after = bounds.lease_expired_after();
        let unrenewed_for = now.mono.saturating_sub(self.lease_renewed_at);
        let lease_expired = expires_after > 0 && unrenewed_for > expires_after;
        let under_way = !self.expiring.is_empty() || self.info_proposed;
        if (has_left || lease_expired) && !under_way {
            // Attempts with a reported end keep the reported outcome.
            let is_unreported = |attempt: &&u64| !self.reported_ends.contains_key(*attempt);
            let unreported = known.attempts.iter().filter(is_unreported);
            self.expiring = unreported.copied().collect();
        }
    }

    /// Forgets the ends and expiries that are in the cluster state by now.
    fn forget_applied(&mut self, state: &ClusterState) {
        self.reported_ends
            .retain(|attempt, _| state.live.contains_key(attempt));
        self.expiring
            .retain(|attempt| state.live.contains_key(attempt));
    }

    /// Whether attempts are waiting to be expired and no proposal for them is pending or yet to be applied here.
    fn needs_expiry_proposal(&self, state: &ClusterState) -> bool {
        let has_applied_expiry = state.applied_index >= self.expiry_log_index;
        !self.expiring.is_empty() && !self.expiry_proposed && has_applied_expiry
    }
}
