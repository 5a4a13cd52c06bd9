//! Gossip: shuffles of this node's peer sampler view with other processes.

use super::Node;
use crate::sans_io::Now;
use crate::wire::{Body, Shuffle};

impl Node {
    /// Starts a shuffle when one is due.
    pub(super) fn peer_sampler_tick(&mut self, now: Now) {
        let interval_ms = self.settings.bounds.shuffle_interval();
        let seeds = &self.settings.seeds;
        let started = self
            .peer_sampler
            .tick(now, interval_ms, seeds, &mut self.rng);
        if let Some((peer, shuffle)) = started {
            self.send(&peer, Body::Shuffle(Box::new(shuffle)));
        }
    }

    pub(super) fn on_shuffle(&mut self, from: &str, shuffle: Shuffle) {
        let reply = self.peer_sampler.receive(shuffle, &mut self.rng);
        if let Some(reply) = reply {
            self.send(from, Body::Shuffle(Box::new(reply)));
        }
    }
}
