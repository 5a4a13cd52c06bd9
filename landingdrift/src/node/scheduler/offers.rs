//! Responses to offers of slots. If an offer is accepted, the start of the selected tasks is proposed.

use super::demand::Demand;
use super::sizes::JobShare;
use super::PendingStart;
use crate::node::propose::{Purpose, StartResult};
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Command, Job, Placement, Resources};
use crate::wire::{Body, Offer, OfferOutcome, OfferResponse, Sizes};

/// Factor from the offer timeout to the timeout of a proposed start; the zone scheduler keeps the resources promised
/// for the same time.
const START_TIMEOUT_FACTOR: u64 = 2;

/// The tasks to start for an accepted offer, with the epoch of the queue's lease.
struct Acceptance {
    owner_epoch: u64,
    placements: Vec<Placement>,
    reserved_resources: Vec<Resources>,
}

impl Acceptance {
    /// The resources that the start needs on the given worker; other members of a gang may be placed elsewhere.
    fn resources_on(&self, worker: &str) -> Resources {
        let mut sum = Resources::default();
        for (placement, resources) in self.placements.iter().zip(&self.reserved_resources) {
            if placement.worker == worker {
                sum = sum.plus(*resources);
            }
        }
        sum
    }
}

impl Node {
    /// Answers an offer of a slot, and proposes the start of the selected tasks if it is accepted.
    pub(in crate::node) fn on_offer(&mut self, now: Now, from: &str, offer: Offer) {
        let response = self.answer_offer(now, from, &offer);
        self.send(from, Body::OfferResponse(Box::new(response)));
    }

    fn answer_offer(&mut self, now: Now, from: &str, offer: &Offer) -> OfferResponse {
        let Some((job, owner_epoch)) = self.job_of_offer(now, offer) else {
            let smallest = self.smallest_unsatisfied(now, offer);
            return refusal(offer, true, smallest.into_iter().collect());
        };
        let fair_share = self.fair_share();
        let willing = !offer.refusable || wants_slot(&self.share(job), fair_share);
        let picked = if willing {
            self.pick_placements(now, job, offer)
        } else {
            None
        };
        let Some(placements) = picked else {
            return self.refuse(now, job, offer, fair_share);
        };
        let reserved_resources = placements
            .iter()
            .map(|placement| job.task_spec(placement.task as usize).needs())
            .collect();
        let acceptance = Acceptance {
            owner_epoch,
            placements,
            reserved_resources,
        };
        self.accept(now, from, offer, acceptance, fair_share)
    }

    /// The job that a slot is offered for, with the lease epoch under which this node places its tasks; none if the job
    /// has ended or is scheduled by another node, or if this node's copy of the cluster state is stale.
    fn job_of_offer(&self, now: Now, offer: &Offer) -> Option<(&Job, u64)> {
        let job = self.state.jobs.get(&offer.job)?;
        let epoch = self.epoch_for(job)?;
        self.is_fresh(now).then_some((job, epoch))
    }

    /// Refuses a slot that the job can't use or that exceeds its share. The refusal names the smallest job that could
    /// use it, if one is found.
    fn refuse(&self, now: Now, job: &Job, offer: &Offer, fair_share: f64) -> OfferResponse {
        let demand = self.demand(now, &offer.job, job);
        let gone = demand == Demand::default();
        let smallest = self.smallest_unsatisfied(now, offer);
        let own = Sizes {
            // The job that has just refused the slot must not be named as one that could use it.
            unsatisfied: false,
            ..self.sizes(job, fair_share)
        };
        refusal(offer, gone, smallest.into_iter().chain([own]).collect())
    }

    /// Accepts an offer and proposes the start.
    fn accept(
        &mut self,
        now: Now,
        from: &str,
        offer: &Offer,
        acceptance: Acceptance,
        fair_share: f64,
    ) -> OfferResponse {
        let resources = acceptance.resources_on(&offer.worker);
        let copy = acceptance.placements.iter().any(|placement| placement.copy);
        self.propose_start(now, from, offer, acceptance);
        self.count("placements_proposed", 1);
        self.count("copies_proposed", u64::from(copy));
        let job = self.state.jobs.get(&offer.job);
        let sizes = job.map(|job| self.sizes(job, fair_share));
        OfferResponse {
            token: offer.token,
            worker: offer.worker.clone(),
            accepted: true,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            gone: false,
            sizes: sizes.into_iter().collect(),
        }
    }

    fn propose_start(&mut self, now: Now, from: &str, offer: &Offer, acceptance: Acceptance) {
        let timeout_ms = self.settings.bounds.offer_timeout() * START_TIMEOUT_FACTOR;
        let command = Command::StartAttempts {
            job: offer.job.clone(),
            owner_epoch: acceptance.owner_epoch,
            placements: acceptance.placements.clone(),
        };
        let purpose = Purpose::Start {
            offer: offer.token,
            zone_scheduler: from.into(),
            worker: offer.worker.clone(),
        };
        let token = self.propose(now, &command, purpose, timeout_ms);
        let pending = PendingStart {
            job: offer.job.clone(),
            placements: acceptance.placements,
            reserved_resources: acceptance.reserved_resources,
            until: now.mono + timeout_ms,
            log_index: 0,
        };
        self.scheduler.pending.insert(token, pending);
    }

    /// Handles the end of a proposed start: if it was rejected or timed out, notifies the zone scheduler.
    pub(in crate::node) fn on_start_result(&mut self, result: StartResult) {
        let not_yet_applied_here = result.log_index > self.state.applied_index;
        if result.placed && not_yet_applied_here {
            if let Some(pending) = self.scheduler.pending.get_mut(&result.proposal) {
                pending.log_index = result.log_index;
            }
        } else {
            self.scheduler.pending.remove(&result.proposal);
        }
        if result.placed {
            return;
        }
        self.count("placements_refused", 1);
        let outcome = OfferOutcome {
            token: result.offer,
            worker: result.worker,
            placed: false,
        };
        self.send(
            &result.zone_scheduler,
            Body::OfferOutcome(Box::new(outcome)),
        );
    }
}

/// Whether a job accepts a slot that it may refuse: it has fewer slots than its size or than the fair share, and in any
/// case if it has none.
fn wants_slot(share: &JobShare, fair_share: f64) -> bool {
    share.occupied < share.job_sizes.size.max(fair_share).max(1.0)
}

fn refusal(offer: &Offer, gone: bool, sizes: Vec<Sizes>) -> OfferResponse {
    OfferResponse {
        token: offer.token,
        worker: offer.worker.clone(),
        accepted: false,
        cpu: 0,
        memory: 0,
        accelerators: 0,
        gone,
        sizes,
    }
}
