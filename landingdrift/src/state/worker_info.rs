//! A worker's description of itself.

use super::{Resources, TaskSpec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A worker's description of itself, as sent in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WorkerInfo {
    /// Name that identifies the worker in the cluster, also after a restart.
    pub worker: String,
    /// Incarnation of the worker's process; increases with each start.
    pub incarnation: u64,
    /// Service whose tasks it runs.
    pub service: String,
    /// Labels that tasks can require in addition to the service.
    pub labels: BTreeSet<String>,
    /// Zone that the worker is in.
    pub zone: String,
    /// Total CPU, in units chosen by the operator.
    #[serde(rename = "room")]
    pub cpu: u32,
    /// Total memory, in units chosen by the operator.
    #[serde(default)]
    pub memory: u32,
    /// Total number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Rack that the worker is in; empty for none.
    #[serde(default)]
    pub rack: String,
    /// Network address. Another worker at the same address proves that this one is gone if it reports an attempt that was
    /// placed after this one registered.
    #[serde(default)]
    pub address: String,
    /// Whether the worker is about to leave and accepts no new work.
    pub leaving: bool,
}

impl WorkerInfo {
    /// Total resources of the worker, used or not.
    pub fn total_resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }

    /// Whether the worker is at a location, given as the name of a zone, rack or worker.
    pub fn is_near(&self, location: &str) -> bool {
        let locations = [&self.worker, &self.zone, &self.rack];
        !location.is_empty() && locations.into_iter().any(|name| name == location)
    }

    /// Whether the worker offers the task's service and has all its labels.
    pub fn serves(&self, task: &TaskSpec) -> bool {
        let has_label = |label: &String| self.labels.contains(label);
        self.service == task.service && task.labels.iter().all(has_label)
    }
}
