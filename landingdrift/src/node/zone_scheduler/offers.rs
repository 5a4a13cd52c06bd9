//! Offers of free slots to the schedulers that have reservations on their workers.

use super::offer_round::{OfferRound, PromisedResources};
use super::targets::next_target;
use super::WorkerState;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{ClusterState, Resources, Worker};
use crate::wire::{Body, Offer, OfferOutcome, OfferResponse, RequestToken};

/// Factor from the offer timeout to the time for which the resources of an accepted offer stay promised. It equals the
/// factor for the timeout of a proposed start, which must end before its resources are released.
const PROMISE_TIMEOUT_FACTOR: u64 = 2;

/// The names of a worker and of the zone whose scheduler it belongs to.
struct ZoneWorker {
    zone: String,
    worker: String,
}

impl Node {
    /// Offers every free slot.
    pub(in crate::node) fn offer_all(&mut self, now: Now) {
        if !self.is_fresh_for_zones(now) || self.zone_schedulers.is_empty() {
            return;
        }
        let idle = self.idle_workers(now);
        // Only idle workers are cleaned up, to avoid scanning the reservations of all workers.
        for idle_worker in &idle {
            self.drop_ended_jobs(idle_worker);
        }
        for ZoneWorker { zone, worker } in idle {
            if self.free_resources(now, &zone, &worker).cpu > 0 {
                self.start_offer_round(now, &zone, &worker);
            }
        }
    }

    /// The workers with a free slot that may be offered now and is not being offered yet.
    fn idle_workers(&self, now: Now) -> Vec<ZoneWorker> {
        let mut idle = Vec::new();
        for (zone, zone_scheduler) in &self.zone_schedulers {
            for (worker, state) in &zone_scheduler.workers {
                if state.may_be_offered(now) && self.free_resources(now, zone, worker).cpu > 0 {
                    idle.push(ZoneWorker {
                        zone: zone.clone(),
                        worker: worker.clone(),
                    });
                }
            }
        }
        idle
    }

    /// Drops the reservations of jobs that have ended.
    fn drop_ended_jobs(&mut self, idle: &ZoneWorker) {
        let zone_scheduler = self.zone_schedulers.get_mut(&idle.zone);
        let worker = zone_scheduler.and_then(|zone| zone.workers.get_mut(&idle.worker));
        if let Some(worker) = worker {
            let open = &self.state.unfinished_jobs;
            worker
                .reservations
                .retain(|reservation| open.contains(&reservation.job));
        }
    }

    /// The resources of a worker that are neither used nor promised; zero if the worker may not get a new task.
    fn free_resources(&self, now: Now, zone: &str, worker: &str) -> Resources {
        let known = self.state.workers.get(worker);
        let (Some(known), Some(worker_state)) = (known, self.worker(zone, worker)) else {
            return Resources::default();
        };
        let may_get_task = self.state.accepts_new_tasks(worker, known)
            && (!is_probation_slot_taken(&self.state, known, worker_state)
                || self.has_reservation_of_idle_job(now, known, worker_state));
        if !may_get_task {
            return Resources::default();
        }
        let mut taken = known.used;
        for promise in &worker_state.promises {
            taken = taken.plus(promise.resources);
        }
        let total = known
            .info
            .total_resources()
            .component_min(worker_state.resources);
        total.minus(taken)
    }

    /// Whether a job with a reservation on a worker has been idle for too long while the service has spare capacity.
    fn has_reservation_of_idle_job(
        &self,
        now: Now,
        known: &Worker,
        worker_state: &WorkerState,
    ) -> bool {
        // Checked first because it is cheap: in a busy service many jobs are idle.
        if !self.state.has_spare_capacity(&known.info.service) {
            return false;
        }
        let at = self.cluster_time(now);
        let mut reservations = worker_state.reservations.iter();
        reservations.any(|reservation| {
            let job = self.state.jobs.get(&reservation.job);
            job.is_some_and(|job| job.is_idle_too_long(at))
        })
    }

    /// Starts a round of offers for a free slot of a worker.
    fn start_offer_round(&mut self, now: Now, zone: &str, worker: &str) {
        let round_number = self.token();
        let Some(worker_state) = self.worker_mut(zone, worker) else {
            return;
        };
        worker_state.offer_round = Some(OfferRound::new(round_number, now.mono));
        self.offer_next(now, zone, worker);
    }

    /// Offers the slot of the current round to its next target, or ends the round.
    fn offer_next(&mut self, now: Now, zone: &str, worker: &str) {
        // Drawn for every offer, so that the random sequence does not depend on the target.
        let sample = self.rng.unit();
        let resources = self.free_resources(now, zone, worker);
        let worker_incarnation = self.incarnation_of(worker);
        let Some(zone_scheduler) = self.zone_schedulers.get_mut(zone) else {
            return;
        };
        let epoch = zone_scheduler.epoch;
        let Some(worker_state) = zone_scheduler.workers.get_mut(worker) else {
            return;
        };
        let Some(round) = worker_state.offer_round.as_mut() else {
            return;
        };
        if resources.cpu == 0 || round.is_last {
            worker_state.offer_round = None;
            worker_state.no_offers_until = now.mono + self.settings.bounds.heartbeat_interval();
            return;
        }
        let hopper = &self.settings.hopper;
        let Some(target) = next_target(&worker_state.reservations, round, hopper, sample) else {
            worker_state.offer_round = None;
            return;
        };
        let token = RequestToken {
            incarnation: self.incarnation,
            number: round.round_number,
            attempt: round.refusals,
        };
        round.record_offer(token, &target);
        self.count("offers", 1);
        self.count("offers_not_refusable", u64::from(!target.refusable));
        let offer = Offer {
            token,
            job: target.job,
            worker: worker.into(),
            incarnation: worker_incarnation,
            zone_scheduler: zone.into(),
            epoch,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            refusable: target.refusable,
        };
        self.send(&target.scheduler, Body::Offer(Box::new(offer)));
    }

    /// Handles a scheduler's response to an offer.
    pub(in crate::node) fn on_offer_response(
        &mut self,
        now: Now,
        from: &str,
        response: OfferResponse,
    ) {
        let Some(zone) = self.zone_of_offer(from, &response) else {
            return self.count("responses_unexpected", 1);
        };
        self.update_sizes(&response.sizes);
        let timeout = self.settings.bounds.offer_timeout();
        let Some(worker) = self.worker_mut(&zone, &response.worker) else {
            return;
        };
        let Some(round) = &worker.offer_round else {
            return;
        };
        let job = round.job.clone();
        if response.accepted {
            let until = now.mono + timeout * PROMISE_TIMEOUT_FACTOR;
            worker.on_accepted(promised_resources(from, &response, job, until));
            self.count("offers_accepted", 1);
            self.offer_all(now);
            return;
        }
        worker.on_refused(&response, &job);
        self.count("offers_refused", 1);
        self.offer_next(now, &zone, &response.worker);
    }

    /// The zone of the worker whose slot was offered, if the response is to the pending offer.
    fn zone_of_offer(&self, from: &str, response: &OfferResponse) -> Option<String> {
        for (zone, zone_scheduler) in &self.zone_schedulers {
            let worker = zone_scheduler.workers.get(&response.worker);
            let round = worker.and_then(|worker| worker.offer_round.as_ref());
            if round
                .is_some_and(|round| round.offer_token == response.token && round.scheduler == from)
            {
                return Some(zone.clone());
            }
        }
        None
    }

    /// Handles the outcome of a start after an accepted offer: if the start failed, releases the promised resources.
    pub(in crate::node) fn on_offer_outcome(
        &mut self,
        now: Now,
        from: &str,
        outcome: OfferOutcome,
    ) {
        if outcome.placed {
            return;
        }
        let is_for_outcome = |promise: &PromisedResources| {
            promise.offer_token == outcome.token && promise.scheduler == from
        };
        // The start may have failed because this node's copy is behind: wait before the next offer.
        let until = now.mono + self.settings.bounds.heartbeat_interval();
        for worker in self.workers_named(&outcome.worker) {
            if worker.promises.iter().any(is_for_outcome) {
                worker.promises.retain(|promise| !is_for_outcome(promise));
                worker.no_offers_until = until;
            }
        }
    }

    /// Removes the promise for a start that is in the cluster state, where its resources now count as used.
    pub(in crate::node) fn release_promise(&mut self, worker: &str, job: &str) {
        for worker in self.workers_named(worker) {
            let promise = worker
                .promises
                .iter()
                .position(|promise| promise.job == job);
            if let Some(index) = promise {
                worker.promises.remove(index);
            }
        }
    }
}

/// Whether a worker on probation already has its one allowed task; long-running tasks don't count.
fn is_probation_slot_taken(
    state: &ClusterState,
    known: &Worker,
    worker_state: &WorkerState,
) -> bool {
    let has_promises = !worker_state.promises.is_empty();
    known.probation > 0 && (has_promises || state.has_finite_attempts(known))
}

fn promised_resources(
    scheduler: &str,
    response: &OfferResponse,
    job: String,
    until: u64,
) -> PromisedResources {
    PromisedResources {
        offer_token: response.token,
        scheduler: scheduler.into(),
        job,
        resources: Resources {
            cpu: response.cpu,
            memory: response.memory,
            accelerators: response.accelerators,
        },
        until,
    }
}

impl WorkerState {
    /// Whether the worker's slots may be offered now, regardless of free resources.
    fn may_be_offered(&self, now: Now) -> bool {
        let is_reserved = !self.reservations.is_empty();
        let is_usable = !self.leaving && now.mono >= self.suspect_until;
        self.offer_round.is_none() && is_reserved && is_usable && now.mono >= self.no_offers_until
    }

    /// Drops expired promises, and the round whose offer was not answered in time.
    pub(super) fn drop_overdue_offers(&mut self, now: Now, offer_timeout: u64) {
        self.promises.retain(|promise| now.mono < promise.until);
        let round = self.offer_round.as_ref();
        if round.is_some_and(|round| now.mono >= round.started_at + offer_timeout) {
            self.offer_round = None;
        }
    }

    /// Records an accepted offer: promises its resources and reduces the job's reservation by one slot.
    fn on_accepted(&mut self, promise: PromisedResources) {
        let job = promise.job.clone();
        self.offer_round = None;
        self.promises.push(promise);
        for index in 0..self.reservations.len() {
            let reservation = &mut self.reservations[index];
            if reservation.job != job {
                continue;
            }
            reservation.remaining = reservation.remaining.saturating_sub(1);
            if reservation.remaining == 0 {
                self.reservations.remove(index);
                return;
            }
        }
    }

    /// Records a refused offer, which determines the next offer of the round.
    fn on_refused(&mut self, refusal: &OfferResponse, job: &str) {
        let Some(round) = self.offer_round.as_mut() else {
            return;
        };
        round.refusals += 1;
        round.keep_smallest_unsatisfied(&refusal.sizes);
        if refusal.gone {
            self.reservations
                .retain(|reservation| reservation.job != job);
        }
    }
}

#[cfg(test)]
mod tests;
