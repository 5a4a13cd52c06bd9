//! Rounds of offers of a free slot, and the resources promised to accepted offers.

use super::targets::Target;
use crate::state::Resources;
use crate::wire::{RequestToken, Sizes};
use std::collections::BTreeSet;

/// Resources promised to an accepted offer.
pub(super) struct PromisedResources {
    /// The token of the accepted offer.
    pub(super) offer_token: RequestToken,
    pub(super) scheduler: String,
    pub(super) job: String,
    pub(super) resources: Resources,
    /// Expiry of the promise, in monotonic milliseconds.
    pub(super) until: u64,
}

/// A free slot that is offered to one scheduler after another until one accepts it.
pub(super) struct OfferRound {
    /// Identifies the round in the tokens of its offers.
    pub(super) round_number: u64,
    /// Start of the round, in monotonic milliseconds.
    pub(super) started_at: u64,
    pub(super) refusals: u32,
    /// The schedulers that the slot was already offered to.
    pub(super) asked: BTreeSet<String>,
    /// The token of the pending offer; `scheduler` and `job` belong to it as well.
    pub(super) offer_token: RequestToken,
    pub(super) scheduler: String,
    pub(super) job: String,
    /// The smallest unsatisfied job named in the refusals.
    pub(super) unsatisfied: Option<Sizes>,
    /// The pending offer is the last of this round: the scheduler must not refuse it because its job has enough slots.
    pub(super) is_last: bool,
}

impl OfferRound {
    pub(super) fn new(round_number: u64, started_at: u64) -> Self {
        Self {
            round_number,
            started_at,
            refusals: 0,
            asked: BTreeSet::new(),
            offer_token: RequestToken::default(),
            scheduler: String::new(),
            job: String::new(),
            unsatisfied: None,
            is_last: false,
        }
    }

    /// Records a new pending offer.
    pub(super) fn record_offer(&mut self, offer_token: RequestToken, target: &Target) {
        self.offer_token = offer_token;
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
