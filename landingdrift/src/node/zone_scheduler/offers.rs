//! Offers: each free slot is offered to the schedulers that have reserved it. Hopper's worker side.

use super::{WorkerState, ZoneScheduler};
use crate::node::Node;
use crate::sans_io::Now;
use crate::settings::Hopper;
use crate::state::Resources;
use crate::wire::{Body, Offer, OfferOutcome, OfferResponse, RequestToken, Reservation, Sizes};
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
    refusals: u32,
    asked: BTreeSet<String>,
    /// The offer that is under way, and to whom.
    offer: RequestToken,
    scheduler: String,
    unsatisfied: Option<Sizes>,
    forced: bool,
    job: String,
}

/// The job that a slot is offered for, and the scheduler that it is offered to.
struct Target {
    job: String,
    scheduler: String,
    refusable: bool,
}

impl Node {
    /// Offers every free slot for its worker.
    pub(in crate::node) fn offer_all(&mut self, now: Now) {
        if !self.speaks(now) || self.zone_schedulers.is_empty() {
            return;
        }
        let idle: Vec<(String, String)> = self
            .zone_schedulers
            .iter()
            .flat_map(|(z, c)| c.workers.iter().map(move |(k, w)| (z, k, w)))
            .filter(|(_, _, w)| {
                w.episode.is_none()
                    && !w.queue.is_empty()
                    && now.mono >= w.idle_until
                    && now.mono >= w.suspect_until
                    && !w.leaving
            })
            .filter(|(z, k, _)| self.free_resources(z, k).cpu > 0)
            .map(|(z, k, _)| (z.clone(), k.clone()))
            .collect();
        // Only where there is resources to offer is the queue looked through.
        let state = &self.state;
        for (zone, worker) in &idle {
            self.zone_schedulers
                .get_mut(zone)
                .and_then(|c| c.workers.get_mut(worker))
                .into_iter()
                .for_each(|w| w.queue.retain(|r| state.open.contains(&r.job)));
        }
        for (zone, worker) in idle {
            if self.free_resources(&zone, &worker).cpu > 0 {
                self.begin(now, &zone, &worker);
            }
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
        w.episode = Some(Episode {
            token,
            since: now.mono,
            refusals: 0,
            asked: BTreeSet::new(),
            offer: RequestToken::default(),
            scheduler: String::new(),
            unsatisfied: None,
            forced: false,
            job: String::new(),
        });
        self.offer_next(now, zone, worker);
    }

    /// The next scheduler to offer a slot to: the smallest job first, then what refusals named, then a draw by V.
    fn offer_next(&mut self, now: Now, zone: &str, worker: &str) {
        let rng = self.rng.unit();
        let resources = self.free_resources(zone, worker);
        let incarnation = self
            .state
            .workers
            .get(worker)
            .map_or(0, |w| w.info.incarnation);
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
        let Some(Target {
            job,
            scheduler,
            refusable,
        }) = next_target(&w.queue, e, &self.settings.hopper, rng)
        else {
            w.episode = None;
            return;
        };
        e.forced = !refusable;
        e.job = job.clone();
        e.asked.insert(scheduler.clone());
        let token = RequestToken {
            incarnation: self.incarnation,
            number: e.token,
            attempt: e.refusals,
        };
        e.offer = token;
        e.scheduler = scheduler.clone();
        self.count("offers", 1);
        self.count("offers_not_refusable", u64::from(!refusable));
        let offer = Offer {
            token,
            job,
            worker: worker.into(),
            incarnation,
            zone_scheduler: zone.into(),
            epoch,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            refusable,
        };
        self.send(&scheduler, Body::Offer(Box::new(offer)));
    }

    /// A scheduler has accepted or refused an offer.
    pub(in crate::node) fn on_offer_response(&mut self, now: Now, from: &str, m: OfferResponse) {
        let until = now.mono + self.settings.bounds.offer() * 2;
        let offered = |w: &WorkerState| {
            let episode = w.episode.as_ref();
            episode.is_some_and(|e| e.offer == m.token && e.scheduler == from)
        };
        let worker = |c: &ZoneScheduler| c.workers.get(&m.worker).is_some_and(offered);
        let Some(zone) = self
            .zone_schedulers
            .iter()
            .find(|(_, c)| worker(c))
            .map(|(z, _)| z.clone())
        else {
            return self.count("responses_unexpected", 1);
        };
        self.take_sizes(&m.sizes);
        let Some(w) = self
            .zone_schedulers
            .get_mut(&zone)
            .and_then(|c| c.workers.get_mut(&m.worker))
        else {
            return;
        };
        let Some(job) = w.episode.as_ref().map(|e| e.job.clone()) else {
            return;
        };
        if m.accepted {
            w.promise(PromisedResources {
                offer: m.token,
                scheduler: from.into(),
                job: job.clone(),
                resources: Resources {
                    cpu: m.cpu,
                    memory: m.memory,
                    accelerators: m.accelerators,
                },
                until,
            });
            self.count("offers_accepted", 1);
            self.offer_all(now);
            return;
        }
        w.refused(&m, &job);
        self.count("offers_refused", 1);
        self.offer_next(now, &zone, &m.worker);
    }

    /// What was accepted came to nothing: the slot is free again.
    pub(in crate::node) fn on_offer_done(&mut self, now: Now, from: &str, m: OfferOutcome) {
        let promised = |p: &PromisedResources| p.offer == m.token && p.scheduler == from;
        if !m.placed {
            // The cluster state knew better: its news comes before the next offer.
            let until = now.mono + self.settings.bounds.heartbeat();
            self.zone_schedulers
                .values_mut()
                .filter_map(|c| c.workers.get_mut(&m.worker))
                .filter(|w| w.pending.iter().any(promised))
                .for_each(|w| {
                    w.pending.retain(|p| !promised(p));
                    w.idle_until = until;
                });
        }
    }

    /// A start entered the cluster state: the resources promised for it is now counted there.
    pub(in crate::node) fn unhold(&mut self, worker: &str, job: &str) {
        self.zone_schedulers
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.pending
                    .iter()
                    .position(|p| p.job == job)
                    .into_iter()
                    .for_each(|i| {
                        w.pending.remove(i);
                    });
            });
    }
}

impl WorkerState {
    /// Keeps the resources of an accepted offer, which takes the slot.
    fn promise(&mut self, promise: PromisedResources) {
        let job = promise.job.clone();
        self.episode = None;
        self.pending.push(promise);
        let spent = self.queue.iter_mut().position(|q| {
            if q.job == job {
                q.remaining = q.remaining.saturating_sub(1);
            }
            q.job == job && q.remaining == 0
        });
        spent.into_iter().for_each(|i| {
            self.queue.remove(i);
        });
    }

    /// Keeps what a refusal told, for the next offer of the slot.
    fn refused(&mut self, m: &OfferResponse, job: &str) {
        let Some(e) = self.episode.as_mut() else {
            return;
        };
        e.refusals += 1;
        let better = m
            .sizes
            .iter()
            .filter(|s| s.unsatisfied)
            .min_by(|a, b| a.size.total_cmp(&b.size));
        if let Some(s) = better.filter(|s| e.unsatisfied.as_ref().is_none_or(|u| s.size < u.size)) {
            e.unsatisfied = Some(s.clone());
        }
        if m.gone {
            self.queue.retain(|q| q.job != job);
        }
    }
}

/// Whom to offer a slot to: the smallest job first, then what refusals named, then a draw by V.
fn next_target(
    queue: &[Reservation],
    episode: &Episode,
    hopper: &Hopper,
    rng: f64,
) -> Option<Target> {
    let mut open: Vec<&Reservation> = queue
        .iter()
        .filter(|r| !episode.asked.contains(&r.scheduler))
        .collect();
    open.sort_by(|a, b| {
        b.starved
            .cmp(&a.starved)
            .then(a.size.total_cmp(&b.size))
            .then(a.asked.cmp(&b.asked))
            .then(a.job.cmp(&b.job))
    });
    let refusable = episode.refusals < hopper.refusals && !open.is_empty();
    let (job, scheduler) = if refusable {
        // Any of the smallest share may go first when its data is near.
        let near = ((open.len() as f64 * hopper.locality).ceil() as usize).max(1);
        let r = open[..near.min(open.len())]
            .iter()
            .find(|r| r.local)
            .unwrap_or(&open[0]);
        Some((r.job.clone(), r.scheduler.clone()))
    } else if let Some(u) = &episode.unsatisfied {
        Some((u.job.clone(), u.scheduler.clone()))
    } else {
        let sum: f64 = queue.iter().map(|r| r.size.max(0.01)).sum();
        let mut mark = rng * sum;
        queue
            .iter()
            .find(|r| {
                mark -= r.size.max(0.01);
                mark <= 0.0
            })
            .or(queue.last())
            .map(|r| (r.job.clone(), r.scheduler.clone()))
    }?;
    Some(Target {
        job,
        scheduler,
        refusable,
    })
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
