//! What a worker says of itself.

use super::{Resources, TaskSpec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a worker says of itself in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WorkerInfo {
    /// The worker's name.
    pub worker: String,
    /// Grows with each start of the worker's process.
    pub incarnation: u64,
    /// The service whose tasks it runs.
    pub service: String,
    /// What a task may ask for beside the service.
    pub labels: BTreeSet<String>,
    /// The zone it stands in.
    pub zone: String,
    /// Its processors, in units of the operator's choice.
    #[serde(rename = "room")]
    pub cpu: u32,
    /// Its memory, in units of the operator's choice.
    #[serde(default)]
    pub memory: u32,
    /// Its accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// The rack it stands in; empty where that doesn't matter.
    #[serde(default)]
    pub rack: String,
    /// Its address. A newer worker at the same address proves that this one is gone.
    #[serde(default)]
    pub address: String,
    /// It leaves soon and takes nothing new.
    pub leaving: bool,
}

impl WorkerInfo {
    /// All that it has.
    pub fn total_resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }

    /// Whether data at a location (a zone, rack or worker) is near.
    pub fn near(&self, location: &str) -> bool {
        let own = [&self.worker, &self.zone, &self.rack];
        !location.is_empty() && own.into_iter().any(|name| name == location)
    }

    /// Whether it is of the task's service and carries its labels.
    pub fn serves(&self, task: &TaskSpec) -> bool {
        let has_label = |label: &String| self.labels.contains(label);
        self.service == task.service && task.labels.iter().all(has_label)
    }
}
