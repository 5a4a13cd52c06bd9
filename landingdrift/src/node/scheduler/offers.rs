//! Answers to offers of a slot: an offer that is accepted becomes a start, which the cluster state rules on.

use super::demand::Wants;
use super::sizes::Standing;
use super::Pending;
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Command, Job, Placement, Resources};
use crate::wire::{Body, Offer, OfferOutcome, OfferResponse, RequestToken, Sizes};

/// A start is given up after so many bounds of an offer; its zone scheduler holds the promised resources for as long.
const START_OFFER_BOUNDS: u64 = 2;

/// An offer that a job takes: what starts, and under which epoch of its queue.
struct Acceptance {
    owner_epoch: u64,
    placements: Vec<Placement>,
    reserved_resources: Vec<Resources>,
}

impl Acceptance {
    /// The resources that the start takes on the offered worker; the rest of a gang is placed elsewhere.
    fn room_on(&self, worker: &str) -> Resources {
        let placed = self.placements.iter().zip(&self.reserved_resources);
        placed
            .filter(|(placement, _)| placement.worker == worker)
            .fold(Resources::default(), |sum, (_, resources)| {
                sum.plus(*resources)
            })
    }
}

impl Node {
    pub(in crate::node) fn on_offer(&mut self, now: Now, from: &str, m: Offer) {
        let response = self.consider(now, from, &m);
        self.send(from, Body::OfferResponse(Box::new(response)));
    }

    fn consider(&mut self, now: Now, from: &str, m: &Offer) -> OfferResponse {
        let Some((job, owner_epoch)) = self.job_of_offer(now, m) else {
            let named = self.smallest_unsatisfied(now, m);
            return refusal(m, true, named.into_iter().collect());
        };
        let floor = self.floor();
        let willing = !m.refusable || wants_more(&self.standing(job), floor);
        let picked = if willing {
            self.pick(now, job, m)
        } else {
            None
        };
        let Some(placements) = picked else {
            return self.refuse(now, job, m, floor);
        };
        let reserved_resources = placements
            .iter()
            .map(|p| job.of(p.task as usize).needs())
            .collect();
        let acceptance = Acceptance {
            owner_epoch,
            placements,
            reserved_resources,
        };
        self.accept(now, from, m, acceptance, floor)
    }

    /// The job that a slot is offered for, with the epoch under which this node places its tasks; none where it is over,
    /// another's, or not known freshly enough.
    fn job_of_offer(&self, now: Now, m: &Offer) -> Option<(&Job, u64)> {
        let job = self.state.jobs.get(&m.job)?;
        let epoch = self.epoch_for(job)?;
        self.fresh(now).then_some((job, epoch))
    }

    /// A refusal of a slot that the job can't use, or has no right to; it names a smaller job that could.
    fn refuse(&self, now: Now, job: &Job, m: &Offer, floor: f64) -> OfferResponse {
        let wants = self.wants(now, &m.job, job);
        let gone = wants == Wants::default();
        let named = self.smallest_unsatisfied(now, m);
        let own = Sizes {
            unsatisfied: false,
            ..self.sizes(job, floor)
        };
        refusal(m, gone, named.into_iter().chain([own]).collect())
    }

    /// Proposes the start that an offer is accepted for.
    fn accept(
        &mut self,
        now: Now,
        from: &str,
        m: &Offer,
        acceptance: Acceptance,
        floor: f64,
    ) -> OfferResponse {
        let resources = acceptance.room_on(&m.worker);
        let copy = acceptance.placements.iter().any(|p| p.copy);
        self.propose_start(now, from, m, acceptance);
        self.count("placements_proposed", 1);
        self.count("copies_proposed", u64::from(copy));
        let job = self.state.jobs.get(&m.job);
        let sizes = job.map(|j| self.sizes(j, floor));
        OfferResponse {
            token: m.token,
            worker: m.worker.clone(),
            accepted: true,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            gone: false,
            sizes: sizes.into_iter().collect(),
        }
    }

    fn propose_start(&mut self, now: Now, from: &str, m: &Offer, acceptance: Acceptance) {
        let within = self.settings.bounds.offer() * START_OFFER_BOUNDS;
        let command = Command::StartAttempts {
            job: m.job.clone(),
            owner_epoch: acceptance.owner_epoch,
            placements: acceptance.placements.clone(),
        };
        let purpose = Purpose::Start {
            offer: m.token,
            zone_scheduler: from.into(),
            worker: m.worker.clone(),
        };
        let token = self.propose(now, &command, purpose, within);
        let pending = Pending {
            job: m.job.clone(),
            placements: acceptance.placements,
            reserved_resources: acceptance.reserved_resources,
            until: now.mono + within,
            log_index: 0,
        };
        self.sched.pending.insert(token, pending);
    }

    /// The cluster state has ruled on a start, or nobody did in time: the zone scheduler is told where it came to nothing.
    pub(in crate::node) fn start_ruled(
        &mut self,
        token: u64,
        offer: RequestToken,
        zone_scheduler: &str,
        worker: &str,
        log_index: u64,
        placed: bool,
    ) {
        if placed && log_index > self.state.applied_index {
            if let Some(pending) = self.sched.pending.get_mut(&token) {
                pending.log_index = log_index;
            }
        } else {
            self.sched.pending.remove(&token);
        }
        if placed {
            return;
        }
        self.count("placements_refused", 1);
        let done = OfferOutcome {
            token: offer,
            worker: worker.into(),
            placed,
        };
        self.send(zone_scheduler, Body::OfferOutcome(Box::new(done)));
    }
}

/// Whether a job that may refuse a slot takes it: it has fewer than its size or the least share, and may always have
/// one.
fn wants_more(standing: &Standing, floor: f64) -> bool {
    standing.occupied < standing.sizing.size.max(floor).max(1.0)
}

fn refusal(m: &Offer, gone: bool, sizes: Vec<Sizes>) -> OfferResponse {
    OfferResponse {
        token: m.token,
        worker: m.worker.clone(),
        accepted: false,
        cpu: 0,
        memory: 0,
        accelerators: 0,
        gone,
        sizes,
    }
}
