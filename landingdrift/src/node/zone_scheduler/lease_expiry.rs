//! Failure detection: unresponsive workers are marked as lost; the attempts of workers that have exited or whose lease
//! has expired are expired.

use super::stragglers::Stragglers;
use super::WorkerState;
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::settings::Bounds;
use crate::state::{ClusterState, Command, Worker};

/// A worker that has not sent a heartbeat within the worker timeout.
struct LostWorker {
    worker: String,
    zone_epoch: u64,
}

/// A worker that has exited or whose lease has expired, with its attempts to be expired.
struct ExpiredWorker {
    worker: String,
    zone_epoch: u64,
    attempts: Vec<u64>,
    checkpoints: Vec<(u64, String)>,
}

impl Node {
    /// Detects lost workers and expired leases, proposes the consequences, and offers free slots.
    pub(in crate::node) fn zone_schedulers_tick(&mut self, now: Now) {
        self.introductions_tick(now);
        if !self.is_fresh_for_zones(now) {
            // A stale copy of the cluster state is no basis for decisions; heartbeats missed meanwhile don't count.
            let lost_after = self.settings.bounds.worker_timeout();
            let earliest = now.mono.saturating_sub(lost_after / 2);
            for worker in self.all_workers() {
                worker.last_heartbeat = worker.last_heartbeat.max(earliest);
            }
            return;
        }
        let (lost, expired) = self.update_workers(now);
        self.propose_unrecorded_ends(now);
        for worker in lost {
            self.propose_lost(now, worker);
        }
        for worker in expired {
            self.propose_expiry(now, worker);
        }
        self.offer_all(now);
    }

    /// Updates all workers' state for the current time; returns the newly lost workers, and those whose attempts must
    /// be expired. The proposals for both are marked as pending.
    fn update_workers(&mut self, now: Now) -> (Vec<LostWorker>, Vec<ExpiredWorker>) {
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
                    worker.expiry_pending = true;
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
                let is_known_alive = known.is_some_and(|known| !known.lost);
                if is_unresponsive && is_known_alive && !worker.worker_update_pending {
                    worker.worker_update_pending = true;
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
            "worker {worker} exited or its lease expired: ending its attempts"
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

    /// Handles the end of an expiry proposal. `log_index` is 0 if it timed out; it is then proposed again.
    pub(in crate::node) fn on_expiry_proposal_done(&mut self, worker: &str, log_index: u64) {
        for worker in self.workers_named(worker) {
            worker.expiry_pending = false;
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
            worker.reschedule_pending = true;
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

    /// Handles the completion or timeout of a proposal to reschedule attempts.
    pub(in crate::node) fn on_reschedule_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.reschedule_pending = false;
        }
    }
}

impl WorkerState {
    /// Selects the worker's attempts for expiry if it has exited or its lease has expired.
    fn begin_expiry(&mut self, now: Now, bounds: &Bounds, known: &Worker) {
        let timeout_ms = bounds.max_start_order_age() / 2;
        let has_exited = self
            .departure
            .has_exited(now, self.last_heartbeat, timeout_ms);
        let expires_after = bounds.lease_expired_after();
        let unrenewed_for = now.mono.saturating_sub(self.lease_renewed_at);
        let lease_expired = expires_after > 0 && unrenewed_for > expires_after;
        let is_pending = !self.expiring.is_empty() || self.worker_update_pending;
        if (has_exited || lease_expired) && !is_pending {
            // Attempts with a reported end keep the reported outcome.
            let is_unreported = |attempt: &&u64| !self.reported_ends.contains_key(*attempt);
            let unreported = known.attempts.iter().filter(is_unreported);
            self.expiring = unreported.copied().collect();
        }
    }

    /// Removes the ends and expiries that are in the cluster state.
    fn forget_applied(&mut self, state: &ClusterState) {
        self.reported_ends
            .retain(|attempt, _| state.live.contains_key(attempt));
        self.expiring
            .retain(|attempt| state.live.contains_key(attempt));
    }

    /// Whether attempts are waiting to be expired and no proposal for them is pending or yet to be applied here.
    fn needs_expiry_proposal(&self, state: &ClusterState) -> bool {
        let has_applied_expiry = state.applied_index >= self.expiry_log_index;
        !self.expiring.is_empty() && !self.expiry_pending && has_applied_expiry
    }
}
