//! Reservations that schedulers have placed on workers, and updates of the job sizes in them.

use crate::node::Node;
use crate::sans_io::Now;
use crate::wire::{Reserve, Sizes};

impl Node {
    /// Adds or replaces a scheduler's reservations, and offers free slots.
    pub(in crate::node) fn on_reserve(&mut self, now: Now, reserve: Reserve) {
        self.count("reservations", reserve.reservations.len() as u64);
        for reservation in reserve.reservations {
            let name = reservation.worker.clone();
            let Some(worker) = self.workers_named(&name).next() else {
                continue;
            };
            worker.no_offers_until = 0;
            let of_same_job = worker
                .reservations
                .iter_mut()
                .find(|earlier| earlier.job == reservation.job);
            match of_same_job {
                Some(earlier) => *earlier = reservation,
                None => worker.reservations.push(reservation),
            }
        }
        self.offer_all(now);
    }

    /// Updates the job sizes in all reservations from those in a response to an offer.
    pub(super) fn update_sizes(&mut self, sizes: &[Sizes]) {
        for sizes in sizes {
            for worker in self.all_workers() {
                for reservation in &mut worker.reservations {
                    if reservation.job != sizes.job {
                        continue;
                    }
                    reservation.size = sizes.size;
                    reservation.remaining = sizes.remaining;
                    reservation.starved = sizes.starved;
                    reservation.scheduler = sizes.scheduler.clone();
                }
            }
        }
    }
}
