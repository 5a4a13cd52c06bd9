//! The order in which schedulers are offered a free slot, by the Hopper algorithm. The last target of a round is
//! the smallest unsatisfied job named in refusals, or else is drawn at random, weighted by size.

use super::offer_round::OfferRound;
use crate::settings::Hopper;
use crate::wire::Reservation;
use std::cmp::Ordering;

/// Minimum weight of a job in the sampling by size, so that a job of size 0 can be selected too.
const MIN_WEIGHT: f64 = 0.01;

/// The job and the scheduler that a slot is offered to.
pub(super) struct Target {
    pub job: String,
    pub scheduler: String,
    /// The scheduler may refuse the slot because its job already has enough slots.
    pub refusable: bool,
}

/// Selects the next target of a slot: reserved jobs by priority, one per scheduler, until all schedulers were asked or
/// `hopper.refusals` have refused; then the smallest job named in refusals, else a job sampled by size.
///
/// `sample` is a uniform random number in [0, 1).
pub(super) fn next_target(
    reservations: &[Reservation],
    round: &OfferRound,
    hopper: &Hopper,
    sample: f64,
) -> Option<Target> {
    let mut unasked: Vec<&Reservation> = reservations
        .iter()
        .filter(|reservation| !round.asked.contains(&reservation.scheduler))
        .collect();
    if round.refusals < hopper.refusals && !unasked.is_empty() {
        unasked.sort_by(|a, b| compare_priority(a, b));
        let first = first_or_local(&unasked, hopper.locality);
        return Some(target(&first.job, &first.scheduler, true));
    }
    if let Some(named) = &round.unsatisfied {
        return Some(target(&named.job, &named.scheduler, false));
    }
    let sampled = sample_by_size(reservations, sample)?;
    Some(target(&sampled.job, &sampled.scheduler, false))
}

fn target(job: &str, scheduler: &str, refusable: bool) -> Target {
    Target {
        job: job.to_string(),
        scheduler: scheduler.to_string(),
        refusable,
    }
}

/// Orders starved jobs first, then smaller ones, then earlier reservations.
fn compare_priority(a: &Reservation, b: &Reservation) -> Ordering {
    b.starved
        .cmp(&a.starved)
        .then(a.size.total_cmp(&b.size))
        .then(a.asked.cmp(&b.asked))
        .then(a.job.cmp(&b.job))
}

/// The first reservation within the leading `locality` fraction whose job has data near the worker, else the first of
/// all.
fn first_or_local<'a>(sorted: &[&'a Reservation], locality: f64) -> &'a Reservation {
    let leading_len = (sorted.len() as f64 * locality).ceil() as usize;
    let leading = &sorted[..leading_len.clamp(1, sorted.len())];
    let local = leading.iter().find(|reservation| reservation.local);
    local.unwrap_or(&sorted[0])
}

/// Samples a reservation with a probability proportional to its job's size; `sample` is uniform in [0, 1).
fn sample_by_size(reservations: &[Reservation], sample: f64) -> Option<&Reservation> {
    let weight = |reservation: &Reservation| reservation.size.max(MIN_WEIGHT);
    let sum: f64 = reservations.iter().map(weight).sum();
    let mut left = sample * sum;
    for reservation in reservations {
        left -= weight(reservation);
        if left <= 0.0 {
            return Some(reservation);
        }
    }
    reservations.last()
}
