//! How large a run is, and what it came to.

use crate::measure::capacity::footprint::State;
use crate::measure::capacity::meter::Tally;
use std::collections::BTreeMap;

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    Leader,
    Follower,
    Queue,
    ZoneScheduler,
    Plain,
}

impl Duty {
    /// All of them, as the tables have them.
    pub const ALL: [Duty; 5] = [
        Duty::Leader,
        Duty::Follower,
        Duty::Queue,
        Duty::ZoneScheduler,
        Duty::Plain,
    ];
    /// What the tables call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leader => "core leader",
            Self::Follower => "core follower",
            Self::Queue => "node with a queue",
            Self::ZoneScheduler => "node with a cell",
            Self::Plain => "plain node",
        }
    }
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub workers: usize,
    pub nodes: usize,
    /// Task starts a second that the jobs handed in amount to.
    pub starts: f64,
}

impl Size {
    /// How long a task runs, so that every worker runs as many as at the target.
    pub fn task_ms(&self) -> f64 {
        let t = &crate::measure::capacity::target::TARGET;
        1000.0 * (t.running / t.workers) * self.workers as f64 / self.starts
    }
}

/// What a run came to.
pub struct Run {
    pub size: Size,
    /// Starts a second in the window.
    pub starts: f64,
    /// By lease: how many processes, and the mean of their tallies a second.
    pub roles: BTreeMap<Duty, (usize, Tally)>,
    /// Mean processor time of the reference work, in nanoseconds.
    pub reference: f64,
    pub state: State,
    /// The packed record at the end.
    pub packed_state: Vec<u8>,
}
