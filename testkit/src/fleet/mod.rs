//! A fleet of real processes on one machine, with fake workers, clients and an operator.

mod drive;
mod launch;
mod process;
pub mod soak;

pub use drive::{run, Outcome};
pub use launch::{program, Fleet};
pub use process::{FleetProcess, FleetRole};

use crate::scenario::{Fault, NodeClass, Shape};
use std::path::PathBuf;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    pub shape: Shape,
    /// How many seconds jobs are offered.
    pub seconds: u64,
    /// How many seconds to wait at the most for all jobs to end.
    pub settle_seconds: u64,
    /// Jobs a second; the shape's own rate where 0.
    pub jobs_per_second: f64,
    /// The share of jobs that can never succeed.
    pub doomed_share: f64,
    /// Further nodes, by the class of their machines; links are as fast as this machine's, whatever the class says.
    pub node_classes: Vec<NodeClass>,
    /// Each worker calls a proxy beside it, and no node.
    pub has_worker_proxies: bool,
    /// Clients call any node that runs, whether it says that it is ready or not.
    pub clients_call_any_node: bool,
    /// The lease of workers on what they run, in milliseconds; 0 for workers without leases.
    pub lease_ms: u64,
    /// The program under test.
    pub program: PathBuf,
    /// Where data folders and logs go.
    pub folder: PathBuf,
    pub faults: Vec<Fault>,
    pub seed: u64,
    /// Print lines while it runs.
    pub verbose: bool,
}

impl Options {
    /// A fleet of a shape without load, faults or machines of other classes.
    pub fn new(shape: Shape, program: PathBuf, folder: PathBuf) -> Self {
        Self {
            shape,
            seconds: 0,
            settle_seconds: 0,
            jobs_per_second: 0.0,
            doomed_share: 0.0,
            node_classes: Vec::new(),
            has_worker_proxies: false,
            clients_call_any_node: false,
            lease_ms: 0,
            program,
            folder,
            faults: Vec::new(),
            seed: 1,
            verbose: false,
        }
    }
}

/// Why a fleet's day failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("no program at {}: build it with 'cargo build --workspace', or name it with --program", .0.display())]
    NoProgram(PathBuf),
    #[error("{subject}: {source}: check the folder and that the loopback addresses are free")]
    Io {
        /// The file, folder or program that the error is about.
        subject: String,
        source: std::io::Error,
    },
    #[error("{0}: look at the logs in the fleet's folder")]
    NotReady(String),
}
