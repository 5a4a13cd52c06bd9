//! Rounds of offers of a free slot, and the resources promised to accepted offers.

use super::targets::Target;
use crate::state::Resources;
use crate::wire::{RequestToken, Sizes};
use std::collections::BTreeSet;

/// Resources promised to an accepted offer.
pub(super) struct PromisedResources {
    pub(super) offer: RequestToken,
    pub(super) scheduler: String,
    pub(super) job: String,
    pub(super) resources: Resources,
    pub(super) until: u64,
}

/// A free slot that is offered to one scheduler after another until one accepts it.
pub(super) struct OfferRound {
    pub(super) token: u64,
    pub(super) started_at: u64,
    pub(super) refusals: u32,
    /// The schedulers that the slot was already offered to.
    pub(super) asked: BTreeSet<String>,
    /// The token of the pending offer; `scheduler` and `job` belong to it as well.
    pub(super) offer: RequestToken,
    pub(super) scheduler: String,
    pub(super) job: String,
    /// The smallest unsatisfied job named in the refusals.
    pub(super) unsatisfied: Option<Sizes>,
    /// The pending offer is the last of this round: it can't be refused for fairness.
    pub(super) is_last: bool,
}

impl OfferRound {
    pub(super) fn new(token: u64, started_at: u64) -> Self {
        Self {
            token,
            started_at,
            refusals: 0,
            asked: BTreeSet::new(),
            offer: RequestToken::default(),
            scheduler: String::new(),
            job: String::new(),
            unsatisfied: None,
            is_last: false,
        }
    }

    /// Records a new pending offer.
    pub(super) fn record_offer(&mut self, offer: RequestToken, target: &Target) {
        self.offer = offer;
        self.is_last = !target.refusable;
        self.job = target.job.clone();
        self.scheduler = target.scheduler.clone();
        self.asked.insert(target.scheduler.clone());
    }

    /// Records the smallest unsatisfied job of a refusal, if it is smaller than the recorded one.
    pub(super) fn keep_smallest_unsatisfied(&mut self, sizes: &[Sizes]) {
        let unsatisfied = sizes.iter().filter(|sizes| sizes.unsatisfied);
        let Some(smallest) = unsatisfied.min_by(|a, b| a.size.total_cmp(&b.size)) else {
            return;
        };
        let kept = self.unsatisfied.as_ref();
        if kept.is_none_or(|kept| smallest.size < kept.size) {
            self.unsatisfied = Some(smallest.clone());
        }
    }
}
