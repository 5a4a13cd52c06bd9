//! What is seen of the system while it runs: which parts could work, which are ready, what is in force.

use super::{Kind, Proc, World};
use crate::history::Event;
use landingdrift::state::ClusterState;
use std::collections::BTreeMap;

impl World {
    /// What could work now, for the history; and whom the platform finds ready.
    pub(in crate::simulator) fn look(&mut self) {
        let able = self.able_parts();
        if able != self.able {
            self.able = able.clone();
            self.note(Event::Able {
                replicas: able.0,
                nodes: able.1,
            });
        }
        if self.t.is_multiple_of(500) {
            let ready = (0..self.procs.len())
                .filter(|i| self.says_ready(*i))
                .map(|i| self.procs[i].addr.clone())
                .collect();
            self.client.ready = ready;
        }
    }

    /// How many replicas form the largest group that could work now, and the nodes that reach all of it.
    fn able_parts(&mut self) -> (usize, Vec<String>) {
        let state = |p: &Proc| {
            if let Kind::Replica(Some(c), _) = &p.kind {
                Some((c.state().applied_index, c.state().replicas.clone()))
            } else {
                None
            }
        };
        let newest = self
            .procs
            .iter()
            .filter_map(state)
            .max_by_key(|(log_index, _)| *log_index);
        self.committed = self.committed.max(newest.as_ref().map_or(0, |(p, _)| *p));
        let voters = newest.map_or(BTreeMap::new(), |(_, c)| c);
        let whole = |p: &Proc| {
            p.is_core()
                && p.up()
                && !p.frozen
                && !p.gone
                && (voters.is_empty() || voters.get(&p.addr).is_some_and(|c| c.voter))
                && state(p).is_some_and(|(at, _)| at >= p.owes)
        };
        let linked = |a: usize, b: usize| {
            self.procs[a].wire == self.procs[b].wire
                && !self.blocked.contains(&(a, b))
                && !self.blocked.contains(&(b, a))
        };
        let replicas: Vec<usize> = (0..self.procs.len())
            .filter(|i| whole(&self.procs[*i]))
            .collect();
        let group: Vec<usize> = replicas
            .iter()
            .map(|c| {
                replicas
                    .iter()
                    .copied()
                    .filter(|d| d == c || linked(*c, *d))
                    .collect::<Vec<_>>()
            })
            .max_by_key(Vec::len)
            .unwrap_or_default();
        let nodes: Vec<String> = (0..self.procs.len())
            .filter(|i| {
                let p = &self.procs[*i];
                !p.is_core()
                    && p.up()
                    && !p.frozen
                    && !p.gone
                    && group.iter().all(|c| linked(*i, *c))
            })
            .map(|i| self.procs[i].addr.clone())
            .collect();
        (group.len(), nodes)
    }

    fn says_ready(&self, i: usize) -> bool {
        let now = self.now(i);
        let p = &self.procs[i];
        matches!(&p.kind, Kind::Node(Some(n)) if !p.frozen && n.is_ready(now))
    }

    /// Every now and then: what nodes that say they are ready have in force, and what the operator reads.
    pub(super) fn probe(&mut self) {
        for i in 0..self.procs.len() {
            let now = self.now(i);
            let p = &self.procs[i];
            if let Kind::Node(Some(n)) = &p.kind {
                if !p.frozen {
                    let (node, version, by, ready) = (
                        p.addr.clone(),
                        n.state().version,
                        mark(n.state()),
                        n.is_ready(now),
                    );
                    self.note(Event::NodeVersion {
                        node,
                        version,
                        by,
                        ready,
                    });
                }
            }
        }
        if self.t.is_multiple_of(3000) {
            self.operators[1].read();
        }
    }
}

/// The mark that the change in force has left in the configuration.
pub(super) fn mark(r: &ClusterState) -> String {
    r.config.notes.get("by").cloned().unwrap_or_default()
}
