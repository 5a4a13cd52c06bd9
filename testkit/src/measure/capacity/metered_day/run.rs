//! How large a run is, and its result.

use crate::measure::capacity::footprint::State;
use crate::measure::capacity::meter::Tally;
use crate::measure::capacity::target::TARGET;
use std::collections::BTreeMap;

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Leader,
    Follower,
    /// A node that holds a queue, but no zone scheduler.
    Queue,
    /// A node that runs a zone scheduler.
    ZoneScheduler,
    /// A node that holds neither.
    Plain,
}

impl Role {
    /// All roles, in the order of the tables.
    pub const ALL: [Self; 5] = [
        Self::Leader,
        Self::Follower,
        Self::Queue,
        Self::ZoneScheduler,
        Self::Plain,
    ];

    /// Its name in the tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leader => "core leader",
            Self::Follower => "core follower",
            Self::Queue => "node with a queue",
            Self::ZoneScheduler => "node with a zone scheduler",
            Self::Plain => "plain node",
        }
    }

    /// Whether it is one of a replica, and not of a node.
    pub fn is_replica(self) -> bool {
        matches!(self, Self::Leader | Self::Follower)
    }
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub workers: usize,
    pub nodes: usize,
    /// Task starts a second that the submitted jobs amount to.
    pub starts: f64,
}

impl Size {
    /// How long a task runs, in milliseconds, so that every worker runs as many as at the target.
    pub fn task_ms(&self) -> f64 {
        let running_per_worker = TARGET.running / TARGET.workers;
        1000.0 * running_per_worker * self.workers as f64 / self.starts
    }
}

/// What the processes of a role took.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleTally {
    /// How many processes have the role.
    pub processes: usize,
    /// The mean of their tallies a second.
    pub tally: Tally,
}

/// The result of a run.
pub struct Run {
    pub size: Size,
    /// Starts a second in the measured time.
    pub starts: f64,
    pub roles: BTreeMap<Role, RoleTally>,
    /// Mean processor time of the reference work, in nanoseconds.
    pub reference: f64,
    pub state: State,
    /// The packed cluster state at the end.
    pub packed_state: Vec<u8>,
}
