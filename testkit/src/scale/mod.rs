//! The project's own scale run: real replicas and nodes on loopback addresses beside fake workers and hollow nodes. A
//! hollow node is the real node's state machine run inside this process, to have more of them than the machine could
//! hold as processes.

mod connections;
mod drive;
mod figures;
mod hollow;
mod processes;
mod setup;

pub use drive::run;
pub use processes::{usage, Usage};

use crate::fleet::FleetError;
use hdrhistogram::Histogram;
use std::path::PathBuf;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    pub workers: usize,
    /// Hollow nodes, beside the real ones.
    pub nodes: usize,
    /// Which run of this process it is, from 0: each has addresses of its own for the hollow nodes.
    pub run_index: usize,
    /// Task starts a second that the submitted jobs amount to.
    pub starts: f64,
    /// How long jobs are submitted; the last two thirds are measured.
    pub seconds: u64,
    /// The program that the real processes run.
    pub program: PathBuf,
    /// Where the logs and disks of the real processes go.
    pub folder: PathBuf,
    pub seed: u64,
}

/// What a process took in the time measured.
#[derive(Clone, Debug)]
pub struct ProcessUsage {
    pub name: String,
    /// Resident memory at the end, in bytes.
    pub resident: u64,
    /// The most resident memory that it ever had, in bytes.
    pub peak_resident: u64,
    /// Percent of a core.
    pub core_percent: f64,
}

/// How long this process's own loop took for a round, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LoopLag {
    pub median_ms: u64,
    pub longest_ms: u64,
}

/// The result of a run.
pub struct Outcome {
    /// Starts a second in the time measured.
    pub starts: f64,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Tasks that run at the end.
    pub running: usize,
    /// Milliseconds from submitting a job to the start of its first task.
    pub first_start_ms: Histogram<u64>,
    /// Milliseconds from submitting a job to the start of each of its tasks.
    pub each_start_ms: Histogram<u64>,
    pub usage: Vec<ProcessUsage>,
    pub lag: LoopLag,
    /// Frames that this process dropped because a receiver was slow.
    pub dropped: u64,
}

/// Why a scale run failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error(
        "can't listen at {address} ({source}): end the run that holds the address, or try again"
    )]
    Address {
        address: String,
        source: std::io::Error,
    },
    #[error("the processes took {megabytes} MB, near half of this machine's memory: give smaller --sizes or fewer --nodes")]
    Memory { megabytes: u64 },
    #[error("the configuration was not in force within a minute: look at the logs in the folder, or give smaller --sizes")]
    NotReady,
}
