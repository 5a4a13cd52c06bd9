//! A process of a fleet, and what it is there for.

use std::path::PathBuf;
use std::process::Child;

/// What a process of the fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    Replica,
    Node,
    /// Stands beside a worker and passes its calls on.
    WorkerProxy,
}

impl FleetRole {
    /// Its name on the program's command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replica => "core",
            Self::Node => "node",
            Self::WorkerProxy => "proxy",
        }
    }
}

/// A process of the fleet.
pub struct FleetProcess {
    pub role: FleetRole,
    /// The address for frames.
    pub listen: String,
    /// The address for HTTP.
    pub http: String,
    pub zone: usize,
    /// Lost for good: it is not started again.
    pub is_gone: bool,
    pub(super) child: Option<Child>,
    pub(super) log: PathBuf,
    /// The folder of its disk.
    pub(super) data: Option<PathBuf>,
    /// A settings file, where it needs other settings than the usual ones.
    pub(super) settings_file: Option<PathBuf>,
}

impl FleetProcess {
    /// Whether it is a replica.
    pub fn is_replica(&self) -> bool {
        self.role == FleetRole::Replica
    }

    /// Whether it is a node.
    pub fn is_node(&self) -> bool {
        self.role == FleetRole::Node
    }
}
