//! Reservations of schedulers on workers, and the sizes of their jobs. Hopper's worker side.

use crate::node::Node;
use crate::sans_io::Now;
use crate::wire::{Reserve, Sizes};

impl Node {
    /// Keeps a scheduler's reservations and offers free slots.
    pub(in crate::node) fn on_reserve(&mut self, now: Now, m: Reserve) {
        self.count("reservations", m.reservations.len() as u64);
        for r in m.reservations {
            let Some(w) = self
                .zone_schedulers
                .values_mut()
                .find_map(|c| c.workers.get_mut(&r.worker))
            else {
                continue;
            };
            w.idle_until = 0;
            match w.queue.iter_mut().find(|q| q.job == r.job) {
                Some(q) => *q = r,
                None => w.queue.push(r),
            }
        }
        self.offer_all(now);
    }

    /// Sizes travel on messages that are sent anyway.
    pub(super) fn take_sizes(&mut self, sizes: &[Sizes]) {
        for s in sizes {
            self.zone_schedulers
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .flat_map(|w| w.queue.iter_mut())
                .filter(|q| q.job == s.job)
                .for_each(|q| {
                    q.size = s.size;
                    q.remaining = s.remaining;
                    q.starved = s.starved;
                    q.scheduler = s.scheduler.clone();
                });
        }
    }
}
