use super::Node;
use crate::sans_io::Now;
use crate::wire::{Body, Shuffle};

impl Node {
    pub(super) fn peer_sampler_tick(&mut self, now: Now) {
        let every = self.settings.bounds.shuffle();
        self.peer_sampler
            .tick(now, every, &mut self.rng)
            .into_iter()
            .for_each(|(to, m)| self.send(&to, Body::Shuffle(Box::new(m))));
    }

    pub(super) fn on_shuffle(&mut self, from: &str, m: Shuffle) {
        self.peer_sampler
            .take(m, &mut self.rng)
            .into_iter()
            .for_each(|back| self.send(from, Body::Shuffle(Box::new(back))));
    }
}
