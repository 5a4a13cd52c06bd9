//! Introductions of this leader to nodes that the cluster state lists but that do not follow its log.
//!
//! A node keeps nothing on disk. After a restart it knows only its seeds, which may all be gone by then. The members do
//! keep the cluster state, so the leader sends such a node a shuffle, from which the node learns the replicas.

use super::Replica;
use crate::sans_io::Now;
use crate::wire::Body;

/// The maximum number of nodes in one round of introductions.
const MAX_NODES_PER_ROUND: usize = 8;
/// A node is introduced to in every round until it has been absent for this many times `bounds.outage_ms`.
const FREQUENT_FOR_OUTAGES: u64 = 2;
/// One in this many rounds goes to a node that has been absent for longer.
const LONG_ABSENT_ODDS: u64 = 10;

impl Replica {
    /// Sends a round of introductions if one is due.
    pub(super) fn introduction_tick(&mut self, now: Now) {
        if !self.is_ready_leader() || now.mono < self.leadership.next_introductions_at {
            return;
        }
        self.leadership.next_introductions_at = now.mono + self.settings.bounds.shuffle_interval();
        let nodes = self.nodes_to_introduce(now);
        if nodes.is_empty() {
            return;
        }
        let members = self.members().into_keys().collect();
        self.peer_sampler.set_replicas(members);
        for node in nodes {
            let shuffle = self.peer_sampler.introduction(&mut self.rng);
            self.count("introductions", 1);
            self.send(&node, Body::Shuffle(Box::new(shuffle)));
        }
    }

    /// The nodes of the next round: a random choice of those that became absent recently or, now and then, one that has
    /// been absent for longer.
    fn nodes_to_introduce(&mut self, now: Now) -> Vec<String> {
        let frequent_for_ms = FREQUENT_FOR_OUTAGES * self.settings.bounds.outage_ms;
        let node_timeout = self.settings.bounds.node_timeout();
        let names = self.state.nodes.keys();
        let absences = names.map(|name| (name.clone(), self.absent_for_ms(now, name)));
        let absent = absences.filter(|(_, absent_ms)| *absent_ms > node_timeout / 2);
        let (mut recent, long): (Vec<_>, Vec<_>) =
            absent.partition(|(_, absent_ms)| *absent_ms <= frequent_for_ms);
        let includes_long = self.rng.below(LONG_ABSENT_ODDS) == 0;
        let mut chosen: Vec<String> = Vec::new();
        if includes_long {
            chosen.extend(self.rng.pick(&long).map(|(name, _)| name.clone()));
        }
        while chosen.len() < MAX_NODES_PER_ROUND && !recent.is_empty() {
            let index = self.rng.below(recent.len() as u64) as usize;
            chosen.push(recent.swap_remove(index).0);
        }
        chosen
    }

    /// For how long a node has not followed this leader, in milliseconds.
    fn absent_for_ms(&self, now: Now, node: &str) -> u64 {
        let watcher = self.watch.watchers.get(node);
        let last_heard_at = watcher.map_or(0, |watcher| watcher.last_heard_at);
        now.mono
            .saturating_sub(last_heard_at.max(self.leadership.since))
    }
}
