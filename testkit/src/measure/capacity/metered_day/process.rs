//! The processes of the day: one part of the product in each.

use crate::measure::capacity::meter::Tally;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, StateMachine as _};
use landingdrift::state::ClusterState;

/// The part of a process, as far as the product's public interface shows it.
pub(super) enum Part {
    Replica(Box<Replica>),
    Node(Box<Node>),
}

/// A process with what its work has cost so far.
pub(super) struct Process {
    pub address: String,
    pub part: Part,
    pub tally: Tally,
}

impl Process {
    /// A process that has done nothing yet.
    pub fn new(address: String, part: Part) -> Self {
        Self {
            address,
            part,
            tally: Tally::default(),
        }
    }

    pub fn step(&mut self, now: Now, message: Msg) -> Vec<Effect> {
        match &mut self.part {
            Part::Replica(replica) => replica.step(now, message),
            Part::Node(node) => node.step(now, message),
        }
    }

    /// A counter of the part by its name; 0 where there is none.
    pub fn counter(&self, name: &str) -> f64 {
        let counters = match &self.part {
            Part::Replica(replica) => replica.counters(),
            Part::Node(node) => node.counters(),
        };
        let counter = counters.iter().find(|(other, _)| other == name);
        counter.map_or(0, |(_, value)| *value) as f64
    }

    pub fn state(&self) -> &ClusterState {
        match &self.part {
            Part::Replica(replica) => replica.state(),
            Part::Node(node) => node.state(),
        }
    }

    pub fn leads(&self) -> bool {
        matches!(&self.part, Part::Replica(replica) if replica.is_leader())
    }
}
