//! Failure detection: workers that are lost, and workers whose lease has expired or that have ended.

use super::stragglers::Stragglers;
use super::WorkerState;
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::settings::Bounds;
use crate::state::{ClusterState, Command, Worker};

/// A worker that has been silent too long.
struct LostWorker {
    worker: String,
    zone_epoch: u64,
}

/// A worker whose lease has expired or that has ended: what ran there is dead.
struct ExpiredWorker {
    worker: String,
    zone_epoch: u64,
    attempts: Vec<u64>,
    checkpoints: Vec<(u64, String)>,
}

impl Node {
    /// Detects workers that are lost, have ended or whose lease has expired, and offers free slots.
    pub(in crate::node) fn zone_schedulers_tick(&mut self, now: Now) {
        if !self.fresh_for_zones(now) {
            // Nothing is decided on an old copy of the cluster state, and silence does not count against workers
            // meanwhile.
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

    /// The workers that are newly lost, and those whose expiry is to be proposed.
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
                let silent_for = now.mono.saturating_sub(worker.last_heartbeat);
                let is_silent = silent_for > bounds.worker_timeout();
                let not_known_as_lost = known.is_some_and(|known| !known.lost);
                if is_silent && not_known_as_lost && !worker.info_proposed {
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

    /// Proposes that the outcome of a silent worker's attempts is unknown.
    fn propose_lost(&mut self, now: Now, lost: LostWorker) {
        let LostWorker { worker, zone_epoch } = lost;
        let incarnation = self.incarnation_of(&worker);
        self.log(format!(
            "worker {worker} is silent: the outcome of its attempts is unknown"
        ));
        self.count("workers_lost", 1);
        let command = Command::WorkerLost {
            worker: worker.clone(),
            incarnation,
            zone_epoch,
        };
        let within = self.settings.bounds.request_timeout();
        self.propose(now, &command, Purpose::UpdateWorker { worker }, within);
    }

    /// Proposes that what ran on a worker is dead.
    fn propose_expiry(&mut self, now: Now, expired: ExpiredWorker) {
        let worker = expired.worker;
        let incarnation = self.incarnation_of(&worker);
        self.log(format!(
            "worker {worker} has ended, or is silent beyond its lease: what ran there is dead"
        ));
        self.count("workers_lease_expired", 1);
        let command = Command::ExpireAttempts {
            worker: worker.clone(),
            incarnation,
            zone_epoch: expired.zone_epoch,
            attempts: expired.attempts,
            checkpoints: expired.checkpoints,
        };
        let within = self.settings.bounds.request_timeout();
        self.propose(now, &command, Purpose::ExpireAttempts { worker }, within);
    }

    /// The incarnation of a worker that the cluster state knows; 0 where it knows none.
    pub(super) fn incarnation_of(&self, worker: &str) -> u64 {
        let known = self.state.workers.get(worker);
        known.map_or(0, |worker| worker.info.incarnation)
    }

    /// The log has the expiry of a worker's attempts at an index, or it is given up; then it is proposed again.
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
                "worker {worker} is stalled or slow: {} of its runs are rescheduled",
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

    /// A proposal to reschedule attempts has an outcome, or is given up.
    pub(in crate::node) fn on_reschedule_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.reschedule_proposed = false;
        }
    }
}

impl WorkerState {
    /// Begins to end the worker's attempts if it has ended or its lease has expired.
    fn begin_expiry(&mut self, now: Now, bounds: &Bounds, known: &Worker) {
        let silence_ms = bounds.max_start_order_age() / 2;
        let has_left = self
            .departure
            .has_ended(now, self.last_heartbeat, silence_ms);
        let expires_after = bounds.lease_expired_after();
        let unrenewed_for = now.mono.saturating_sub(self.lease_renewed_at);
        let lease_expired = expires_after > 0 && unrenewed_for > expires_after;
        let under_way = !self.expiring.is_empty() || self.info_proposed;
        if (has_left || lease_expired) && !under_way {
            // What the worker has reported as ended has ended as it said.
            let is_unreported = |attempt: &&u64| !self.reported_ends.contains_key(*attempt);
            let unreported = known.attempts.iter().filter(is_unreported);
            self.expiring = unreported.copied().collect();
        }
    }

    /// Forgets the ends and expiries that the cluster state shows.
    fn forget_applied(&mut self, state: &ClusterState) {
        self.reported_ends
            .retain(|attempt, _| state.live.contains_key(attempt));
        self.expiring
            .retain(|attempt| state.live.contains_key(attempt));
    }

    /// Whether attempts wait to be ended, and no proposal to do so is on its way to this node.
    fn needs_expiry_proposal(&self, state: &ClusterState) -> bool {
        let has_followed = state.applied_index >= self.expiry_log_index;
        !self.expiring.is_empty() && !self.expiry_proposed && has_followed
    }
}
