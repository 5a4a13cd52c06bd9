//! Selection of the node that a repeatable call is forwarded to.

use super::forward::ForwardAttempt;
use crate::node::Node;
use crate::sans_io::Now;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes that did not answer a forwarded call in time. Each is avoided until its entry expires or it responds.
#[derive(Default)]
pub struct UnresponsiveNodes {
    /// Expiry in monotonic milliseconds, by node address.
    until: BTreeMap<String, u64>,
}

impl UnresponsiveNodes {
    pub(super) fn mark_unresponsive(&mut self, node: &str, until: u64) {
        self.until.insert(node.into(), until);
    }

    pub(super) fn mark_responsive(&mut self, node: &str) {
        self.until.remove(node);
    }

    fn contains(&self, node: &str, now: Now) -> bool {
        self.until.get(node).is_some_and(|until| now.mono < *until)
    }
}

impl Node {
    /// Picks a node that a call was not forwarded to yet: lease holders first, since they have full copies of the
    /// cluster state; then nodes that are alive, then peers, then seeds. Recently unresponsive nodes are only a
    /// fallback.
    pub(super) fn pick_forward_target(
        &mut self,
        now: Now,
        attempts: &[ForwardAttempt],
    ) -> Option<String> {
        let mut fallback = Vec::new();
        for group in self.forward_target_groups() {
            let (unresponsive, responsive): (Vec<String>, Vec<String>) = group
                .into_iter()
                .filter(|node| *node != self.name && !node.is_empty())
                .filter(|node| !attempts.iter().any(|attempt| attempt.to == *node))
                .partition(|node| self.calls.unresponsive_nodes.contains(node, now));
            if let Some(picked) = self.rng.pick(&responsive) {
                return Some(picked.clone());
            }
            fallback.extend(unresponsive);
        }
        self.rng.pick(&fallback).cloned()
    }

    /// The HTTP address of another node that has a full copy of the cluster state: a lease holder that is alive and has
    /// not timed out recently.
    pub(super) fn pick_full_copy_address(&mut self, now: Now) -> Option<String> {
        let mut addresses = BTreeSet::new();
        for lease in self.state.leases.values() {
            let holder = lease.holder.as_str();
            let member = self.state.nodes.get(holder);
            let is_unresponsive = self.calls.unresponsive_nodes.contains(holder, now);
            let can_answer = holder != self.name && !is_unresponsive;
            let alive = member.filter(|member| member.alive && can_answer);
            addresses.extend(alive.map(|member| member.http.clone()));
        }
        addresses.remove("");
        let addresses: Vec<String> = addresses.into_iter().collect();
        self.rng.pick(&addresses).cloned()
    }

    /// Groups of nodes, in order of decreasing likelihood that they can answer.
    fn forward_target_groups(&self) -> [Vec<String>; 4] {
        let leases = self.state.leases.values();
        let holders = leases.map(|lease| lease.holder.clone()).collect();
        let nodes = self.state.nodes.iter();
        let alive = nodes.filter(|(_, node)| node.alive);
        let alive = alive.map(|(address, _)| address.clone()).collect();
        let peers = self.peer_sampler.with_role("node");
        let known_replicas = &self.peer_sampler.replicas;
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.filter(|seed| !known_replicas.contains(*seed));
        [holders, alive, peers, seeds.cloned().collect()]
    }
}
