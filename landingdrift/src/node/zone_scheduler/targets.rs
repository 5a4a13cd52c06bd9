//! The order in which a free slot is offered. Hopper's order, where the last target is drawn by the jobs' sizes.

use super::offer_round::OfferRound;
use crate::settings::Hopper;
use crate::wire::Reservation;
use std::cmp::Ordering;

/// The least weight of a job in the draw by size: a job of size 0 has a chance, too.
const LEAST_WEIGHT: f64 = 0.01;

/// The job that a slot is offered for, and the scheduler that it is offered to.
pub(super) struct Target {
    pub job: String,
    pub scheduler: String,
    /// The scheduler may refuse the slot because its job has enough of them.
    pub refusable: bool,
}

/// The next target of a slot: the smallest job first, then the one that refusals named, then one drawn by size.
///
/// `draw` is uniform in [0, 1).
pub(super) fn next_target(
    reservations: &[Reservation],
    round: &OfferRound,
    hopper: &Hopper,
    draw: f64,
) -> Option<Target> {
    let mut unasked: Vec<&Reservation> = reservations
        .iter()
        .filter(|reservation| !round.asked.contains(&reservation.scheduler))
        .collect();
    if round.refusals < hopper.refusals && !unasked.is_empty() {
        unasked.sort_by(|a, b| smaller_first(a, b));
        let first = first_or_local(&unasked, hopper.locality);
        return Some(target(&first.job, &first.scheduler, true));
    }
    if let Some(named) = &round.unsatisfied {
        return Some(target(&named.job, &named.scheduler, false));
    }
    let drawn = draw_by_size(reservations, draw)?;
    Some(target(&drawn.job, &drawn.scheduler, false))
}

fn target(job: &str, scheduler: &str, refusable: bool) -> Target {
    Target {
        job: job.to_string(),
        scheduler: scheduler.to_string(),
        refusable,
    }
}

/// Starved jobs come first, then smaller ones, then those that asked before.
fn smaller_first(a: &Reservation, b: &Reservation) -> Ordering {
    b.starved
        .cmp(&a.starved)
        .then(a.size.total_cmp(&b.size))
        .then(a.asked.cmp(&b.asked))
        .then(a.job.cmp(&b.job))
}

/// The smallest reservation; but any of the smallest share goes first if the worker is near its data.
fn first_or_local<'a>(sorted: &[&'a Reservation], locality: f64) -> &'a Reservation {
    let share = (sorted.len() as f64 * locality).ceil() as usize;
    let smallest = &sorted[..share.clamp(1, sorted.len())];
    let local = smallest.iter().find(|reservation| reservation.local);
    local.unwrap_or(&sorted[0])
}

/// A reservation drawn with a chance in proportion to its job's size; `draw` is uniform in [0, 1).
fn draw_by_size(reservations: &[Reservation], draw: f64) -> Option<&Reservation> {
    let weight = |reservation: &Reservation| reservation.size.max(LEAST_WEIGHT);
    let sum: f64 = reservations.iter().map(weight).sum();
    let mut left = draw * sum;
    for reservation in reservations {
        left -= weight(reservation);
        if left <= 0.0 {
            return Some(reservation);
        }
    }
    reservations.last()
}
