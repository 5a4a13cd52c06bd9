//! The project's own scale run: real replicas and nodes on loopback addresses beside hollow workers and hollow nodes,
//! which all share this process.

mod callers;
mod drive;
mod processes;
mod wires;

pub use drive::run;
pub use processes::{usage, Usage};

use crate::fleet::FleetError;
use hdrhistogram::Histogram;
use std::fmt;
use std::path::PathBuf;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    pub workers: usize,
    /// Hollow nodes, beside the real ones.
    pub nodes: usize,
    /// Which run of this process it is, from 0: each has addresses of its own for the hollow nodes.
    pub log_index: usize,
    /// Task starts a second that the jobs handed in amount to.
    pub starts: f64,
    /// How long jobs are handed in; the last two thirds are measured.
    pub seconds: u64,
    pub program: PathBuf,
    pub folder: PathBuf,
    pub seed: u64,
}

/// What a real process took in the time measured.
#[derive(Clone, Debug)]
pub struct ChunkOutcome {
    pub name: String,
    /// Resident bytes at the end, and at the most.
    pub resident: u64,
    pub most: u64,
    /// Percent of a core.
    pub core_percent: f64,
}

/// What a run came to.
pub struct Outcome {
    /// Starts a second in the time measured.
    pub starts: f64,
    pub jobs: u64,
    /// Tasks that run at the end.
    pub running: usize,
    /// Milliseconds from hand-in to a job's first start, and to each task's start.
    pub first: Histogram<u64>,
    pub each: Histogram<u64>,
    pub taken: Vec<ChunkOutcome>,
    /// The longest that this process's own loop took for a round, in milliseconds, and the middle one.
    pub lag: (u64, u64),
    /// Frames that this process dropped because a receiver was slow.
    pub dropped: u64,
}

/// Why a scale run could not be made.
#[derive(Debug)]
pub enum ScaleError {
    Fleet(FleetError),
    Address { what: String, why: std::io::Error },
    Memory(u64),
    NotReady,
}

impl fmt::Display for ScaleError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Fleet(e) => write!(f, "{e}"),
            Self::Address { what, why } => write!(f, "can't listen at {what} ({why}): end the run that holds the address, or try again"),
            Self::Memory(mb) => write!(f, "the processes took {mb} MB, near half of this machine's memory: give smaller --sizes or fewer --nodes"),
            Self::NotReady => write!(f, "the configuration was not in force within a minute: look at the logs in the folder, or give smaller --sizes"),
        }
    }
}

impl From<FleetError> for ScaleError {
    fn from(e: FleetError) -> Self {
        Self::Fleet(e)
    }
}
