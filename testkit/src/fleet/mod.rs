//! A fleet of real processes on one machine, with stand-in workers, clients and an operator.

mod drive;
mod launch;

pub use drive::{call, run, Outcome};
pub use launch::{program, Fleet};

use crate::scenario::{Fault, Shape};
use std::fmt;
use std::path::PathBuf;

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    pub shape: Shape,
    /// How long jobs are offered.
    pub seconds: u64,
    /// How long to wait at the most for all jobs to end.
    pub settle: u64,
    pub rate: f64,
    /// The program under simulation.
    pub program: PathBuf,
    /// Where data folders and logs go.
    pub folder: PathBuf,
    pub faults: Vec<Fault>,
    pub seed: u64,
    /// Print lines while it runs.
    pub talk: bool,
}

/// Why a fleet could not be rehearsed.
#[derive(Debug)]
pub enum FleetError {
    NoProgram(PathBuf),
    Io { what: String, why: std::io::Error },
    NotReady(String),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NoProgram(p) => write!(f, "no program at {}: build it with 'cargo build --workspace', or name it with --program", p.display()),
            Self::Io { what, why } => write!(f, "{what}: {why}: check the folder and that the loopback addresses are free"),
            Self::NotReady(what) => write!(f, "{what}: look at the logs in the fleet's folder"),
        }
    }
}
