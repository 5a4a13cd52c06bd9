//! Whom a free slot is offered to. Hopper's order, with V drawn by the jobs' sizes.

use super::offers::Episode;
use crate::settings::Hopper;
use crate::wire::Reservation;
use std::cmp::Ordering;

/// The least weight of a job in the draw by V: a job of no size has a chance too.
const LEAST_WEIGHT: f64 = 0.01;

/// The job that a slot is offered for, and the scheduler that it is offered to.
pub(super) struct Target {
    pub job: String,
    pub scheduler: String,
    pub refusable: bool,
}

/// Whom to offer a slot to: the smallest job first, then what refusals named, then a draw by V.
pub(super) fn next_target(
    queue: &[Reservation],
    episode: &Episode,
    hopper: &Hopper,
    rng: f64,
) -> Option<Target> {
    let mut open: Vec<&Reservation> = queue
        .iter()
        .filter(|r| !episode.asked.contains(&r.scheduler))
        .collect();
    if episode.refusals < hopper.refusals && !open.is_empty() {
        open.sort_by(|a, b| smaller_first(a, b));
        let first = first_or_local(&open, hopper.locality);
        return Some(target(&first.job, &first.scheduler, true));
    }
    if let Some(named) = &episode.unsatisfied {
        return Some(target(&named.job, &named.scheduler, false));
    }
    let drawn = draw_by_size(queue, rng)?;
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

/// The first reservation; but any of the smallest share may go first when its data is near.
fn first_or_local<'a>(sorted: &[&'a Reservation], locality: f64) -> &'a Reservation {
    let share = (sorted.len() as f64 * locality).ceil() as usize;
    let smallest = &sorted[..share.clamp(1, sorted.len())];
    let local = smallest.iter().find(|r| r.local);
    local.unwrap_or(&sorted[0])
}

/// A reservation drawn by the jobs' sizes; `rng` is in [0, 1).
fn draw_by_size(queue: &[Reservation], rng: f64) -> Option<&Reservation> {
    let weight = |r: &Reservation| r.size.max(LEAST_WEIGHT);
    let sum: f64 = queue.iter().map(weight).sum();
    let mut mark = rng * sum;
    for reservation in queue {
        mark -= weight(reservation);
        if mark <= 0.0 {
            return Some(reservation);
        }
    }
    queue.last()
}
