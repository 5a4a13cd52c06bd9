//! The processes of the day: one part of the product in each.

use crate::measure::capacity::meter::Tally;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Part};
use landingdrift::state::ClusterState;

/// The part of a process, as far as the product's public surface shows it.
pub(super) enum Kind {
    Replica(Box<Replica>),
    Node(Box<Node>),
}

/// A process with what its work has cost so far.
pub(super) struct Process {
    pub addr: String,
    pub kind: Kind,
    pub tally: Tally,
}

impl Process {
    pub fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match &mut self.kind {
            Kind::Replica(c) => c.step(now, msg),
            Kind::Node(n) => n.step(now, msg),
        }
    }
    pub fn counter(&self, name: &str) -> f64 {
        let all = match &self.kind {
            Kind::Replica(c) => c.counters(),
            Kind::Node(n) => n.counters(),
        };
        all.iter().find(|(k, _)| k == name).map_or(0, |(_, v)| *v) as f64
    }
    pub fn state(&self) -> &ClusterState {
        match &self.kind {
            Kind::Replica(c) => c.state(),
            Kind::Node(n) => n.state(),
        }
    }
    pub fn leads(&self) -> bool {
        matches!(&self.kind, Kind::Replica(c) if c.leads())
    }
}
