//! Offers: each free slot is offered to the schedulers that have reserved it. Hopper's worker side.

use super::targets::{next_target, Target};
use super::WorkerState;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::Resources;
use crate::wire::{Body, Offer, OfferOutcome, OfferResponse, RequestToken, Sizes};
use std::collections::BTreeSet;

/// Room promised to an accepted offer.
pub(super) struct PromisedResources {
    offer: RequestToken,
    scheduler: String,
    job: String,
    resources: Resources,
    pub(super) until: u64,
}

/// The offering of one free slot.
pub(super) struct Episode {
    token: u64,
    pub(super) since: u64,
    pub(super) refusals: u32,
    /// The schedulers that it was offered to.
    pub(super) asked: BTreeSet<String>,
    /// The offer that is under way, and to whom.
    offer: RequestToken,
    scheduler: String,
    /// The smallest unsatisfied job that a refusal named.
    pub(super) unsatisfied: Option<Sizes>,
    /// The last offer could not be refused: it was the last of this slot.
    forced: bool,
    job: String,
}

/// An accepted offer's resources is held for so many bounds of an offer: as long as its start may take.
const PROMISE_OFFER_BOUNDS: u64 = 2;

impl Episode {
    fn new(token: u64, since: u64) -> Self {
        Self {
            token,
            since,
            refusals: 0,
            asked: BTreeSet::new(),
            offer: RequestToken::default(),
            scheduler: String::new(),
            unsatisfied: None,
            forced: false,
            job: String::new(),
        }
    }

    /// Takes note of the offer that goes out now.
    fn offered(&mut self, offer: RequestToken, target: &Target) {
        self.offer = offer;
        self.forced = !target.refusable;
        self.job = target.job.clone();
        self.scheduler = target.scheduler.clone();
        self.asked.insert(target.scheduler.clone());
    }

    /// Keeps the smallest unsatisfied job of those that a refusal names, if it is smaller than what was kept.
    fn take_named(&mut self, sizes: &[Sizes]) {
        let unsatisfied = sizes.iter().filter(|s| s.unsatisfied);
        let Some(named) = unsatisfied.min_by(|a, b| a.size.total_cmp(&b.size)) else {
            return;
        };
        let kept = self.unsatisfied.as_ref();
        if kept.is_none_or(|kept| named.size < kept.size) {
            self.unsatisfied = Some(named.clone());
        }
    }
}

/// A worker of a zone scheduler of this node.
struct WorkerPlace {
    zone: String,
    worker: String,
}

impl Node {
    /// Offers every free slot for its worker.
    pub(in crate::node) fn offer_all(&mut self, now: Now) {
        if !self.speaks(now) || self.zone_schedulers.is_empty() {
            return;
        }
        let idle = self.idle_workers(now);
        // Only where there is resources to offer is the queue looked through.
        for log_index in &idle {
            self.drop_ended_jobs(log_index);
        }
        for WorkerPlace { zone, worker } in idle {
            if self.free_resources(&zone, &worker).cpu > 0 {
                self.begin(now, &zone, &worker);
            }
        }
    }

    /// The workers with a free slot that may be offered now and is not yet.
    fn idle_workers(&self, now: Now) -> Vec<WorkerPlace> {
        let mut idle = Vec::new();
        for (zone, zone_scheduler) in &self.zone_schedulers {
            for (worker, state) in &zone_scheduler.workers {
                if state.may_be_offered(now) && self.free_resources(zone, worker).cpu > 0 {
                    idle.push(WorkerPlace {
                        zone: zone.clone(),
                        worker: worker.clone(),
                    });
                }
            }
        }
        idle
    }

    /// Drops the reservations of jobs that are over.
    fn drop_ended_jobs(&mut self, log_index: &WorkerPlace) {
        let zone_scheduler = self.zone_schedulers.get_mut(&log_index.zone);
        let worker = zone_scheduler.and_then(|c| c.workers.get_mut(&log_index.worker));
        if let Some(worker) = worker {
            let open = &self.state.open;
            worker.queue.retain(|r| open.contains(&r.job));
        }
    }

    /// The resources of a worker that nothing runs in and that is not promised.
    fn free_resources(&self, zone: &str, worker: &str) -> Resources {
        let Some(r) = self
            .state
            .workers
            .get(worker)
            .filter(|r| !r.lost && !r.info.leaving && self.state.open(zone, worker))
        else {
            return Resources::default();
        };
        let Some(w) = self
            .zone_schedulers
            .get(zone)
            .and_then(|c| c.workers.get(worker))
        else {
            return Resources::default();
        };
        if r.probation > 0 && !(r.attempts.is_empty() && w.pending.is_empty()) {
            return Resources::default();
        }
        let pending = w.pending.iter();
        let taken = pending.fold(r.used, |sum, p| sum.plus(p.resources));
        r.info.total_resources().least(w.resources).less(taken)
    }

    /// Begins to offer a free slot of a worker.
    fn begin(&mut self, now: Now, zone: &str, worker: &str) {
        let token = self.token();
        let Some(w) = self
            .zone_schedulers
            .get_mut(zone)
            .and_then(|c| c.workers.get_mut(worker))
        else {
            return;
        };
        w.episode = Some(Episode::new(token, now.mono));
        self.offer_next(now, zone, worker);
    }

    /// Offers a slot to the next scheduler: the smallest job first, then what refusals named, then a draw by V.
    fn offer_next(&mut self, now: Now, zone: &str, worker: &str) {
        // Drawn for every offer, whether or not it is needed: a draw fewer would change all that follow.
        let rng = self.rng.unit();
        let resources = self.free_resources(zone, worker);
        let known = self.state.workers.get(worker);
        let incarnation = known.map_or(0, |w| w.info.incarnation);
        let Some(c) = self.zone_schedulers.get_mut(zone) else {
            return;
        };
        let epoch = c.epoch;
        let Some(w) = c.workers.get_mut(worker) else {
            return;
        };
        let Some(e) = w.episode.as_mut() else { return };
        if resources.cpu == 0 || e.forced {
            w.episode = None;
            w.idle_until = now.mono + self.settings.bounds.heartbeat();
            return;
        }
        let Some(target) = next_target(&w.queue, e, &self.settings.hopper, rng) else {
            w.episode = None;
            return;
        };
        let token = RequestToken {
            incarnation: self.incarnation,
            number: e.token,
            attempt: e.refusals,
        };
        e.offered(token, &target);
        self.count("offers", 1);
        self.count("offers_not_refusable", u64::from(!target.refusable));
        let offer = Offer {
            token,
            job: target.job,
            worker: worker.into(),
            incarnation,
            zone_scheduler: zone.into(),
            epoch,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            refusable: target.refusable,
        };
        self.send(&target.scheduler, Body::Offer(Box::new(offer)));
    }

    /// A scheduler has accepted or refused an offer.
    pub(in crate::node) fn on_offer_response(&mut self, now: Now, from: &str, m: OfferResponse) {
        let Some(zone) = self.zone_of_offer(from, &m) else {
            return self.count("responses_unexpected", 1);
        };
        self.take_sizes(&m.sizes);
        let zone_scheduler = self.zone_schedulers.get_mut(&zone);
        let Some(w) = zone_scheduler.and_then(|c| c.workers.get_mut(&m.worker)) else {
            return;
        };
        let Some(job) = w.episode.as_ref().map(|e| e.job.clone()) else {
            return;
        };
        if m.accepted {
            let until = now.mono + self.settings.bounds.offer() * PROMISE_OFFER_BOUNDS;
            w.promise(promised_room(from, &m, job, until));
            self.count("offers_accepted", 1);
            self.offer_all(now);
            return;
        }
        w.refused(&m, &job);
        self.count("offers_refused", 1);
        self.offer_next(now, &zone, &m.worker);
    }

    /// The zone of the worker whose slot a scheduler was offered, if this answers the offer that is under way.
    fn zone_of_offer(&self, from: &str, m: &OfferResponse) -> Option<String> {
        for (zone, zone_scheduler) in &self.zone_schedulers {
            let worker = zone_scheduler.workers.get(&m.worker);
            let episode = worker.and_then(|w| w.episode.as_ref());
            if episode.is_some_and(|e| e.offer == m.token && e.scheduler == from) {
                return Some(zone.clone());
            }
        }
        None
    }

    /// What was accepted came to nothing: the slot is free again.
    pub(in crate::node) fn on_offer_done(&mut self, now: Now, from: &str, m: OfferOutcome) {
        if m.placed {
            return;
        }
        let promised = |p: &PromisedResources| p.offer == m.token && p.scheduler == from;
        // The cluster state knew better: its news comes before the next offer.
        let until = now.mono + self.settings.bounds.heartbeat();
        for w in self.workers_named(&m.worker) {
            if w.pending.iter().any(promised) {
                w.pending.retain(|p| !promised(p));
                w.idle_until = until;
            }
        }
    }

    /// A start entered the cluster state: the resources promised for it is now counted there.
    pub(in crate::node) fn unhold(&mut self, worker: &str, job: &str) {
        for w in self.workers_named(worker) {
            if let Some(i) = w.pending.iter().position(|p| p.job == job) {
                w.pending.remove(i);
            }
        }
    }
}

fn promised_room(from: &str, m: &OfferResponse, job: String, until: u64) -> PromisedResources {
    PromisedResources {
        offer: m.token,
        scheduler: from.into(),
        job,
        resources: Resources {
            cpu: m.cpu,
            memory: m.memory,
            accelerators: m.accelerators,
        },
        until,
    }
}

impl WorkerState {
    /// Whether the worker may be offered now, resources aside.
    fn may_be_offered(&self, now: Now) -> bool {
        let wanted = !self.queue.is_empty();
        let in_good_order = !self.leaving && now.mono >= self.suspect_until;
        self.episode.is_none() && wanted && in_good_order && now.mono >= self.idle_until
    }

    /// Keeps the resources of an accepted offer, which takes the slot.
    fn promise(&mut self, promise: PromisedResources) {
        let job = promise.job.clone();
        self.episode = None;
        self.pending.push(promise);
        for i in 0..self.queue.len() {
            let reservation = &mut self.queue[i];
            if reservation.job != job {
                continue;
            }
            reservation.remaining = reservation.remaining.saturating_sub(1);
            if reservation.remaining == 0 {
                self.queue.remove(i);
                return;
            }
        }
    }

    /// Keeps what a refusal told, for the next offer of the slot.
    fn refused(&mut self, m: &OfferResponse, job: &str) {
        let Some(e) = self.episode.as_mut() else {
            return;
        };
        e.refusals += 1;
        e.take_named(&m.sizes);
        if m.gone {
            self.queue.retain(|q| q.job != job);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Settings;

    #[test]
    fn a_placement_that_came_to_nothing_frees_its_own_room_and_no_other() {
        let now = Now { mono: 10, wall: 10 };
        let mut n = Node::new(Settings::default(), now, 1);
        let zone_scheduler = n.zone_schedulers.entry("z".into()).or_default();
        let held = zone_scheduler.workers.entry("w".into()).or_default();
        let token = |number| RequestToken {
            number,
            ..RequestToken::default()
        };
        held.pending = [(1, 3), (2, 5)]
            .map(|(offer, resources)| PromisedResources {
                offer: token(offer),
                scheduler: "10.0.0.3:1".into(),
                job: "j".into(),
                resources: Resources {
                    cpu: resources,
                    ..Resources::default()
                },
                until: 1000,
            })
            .into();
        let done = OfferOutcome {
            token: token(1),
            worker: "w".into(),
            placed: false,
        };
        n.on_offer_done(now, "10.0.0.4:1", done.clone());
        assert_eq!(
            n.zone_schedulers["z"].workers["w"].pending.len(),
            2,
            "not asked"
        );
        n.on_offer_done(now, "10.0.0.3:1", done);
        let left: Vec<u32> = n.zone_schedulers["z"].workers["w"]
            .pending
            .iter()
            .map(|p| p.resources.cpu)
            .collect();
        assert_eq!(left, [5]);
    }
}
