//! The configuration: what operators declare.

mod check;
mod hosts;
mod patch;

pub use check::{check, read, ConfigError};
pub use hosts::{canonical_host, is_same_host};
pub use patch::merge;

use std::collections::BTreeMap;

/// All that operators declare, taken and put into force as a whole.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct ClusterConfig {
    /// The queues by name.
    #[prost(btree_map = "string, message", tag = "1")]
    pub queues: BTreeMap<String, Queue>,
    /// The services by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub services: BTreeMap<String, Service>,
    /// The zones by name.
    #[prost(btree_map = "string, message", tag = "3")]
    pub zones: BTreeMap<String, Zone>,
    /// Free text that travels with the configuration.
    #[prost(btree_map = "string, string", tag = "4")]
    pub notes: BTreeMap<String, String>,
    /// A queue that is removed while it holds unfinished jobs runs them to their end; without this it can't be removed.
    #[prost(bool, tag = "5")]
    pub retire_queues: bool,
}

/// A queue and its promise.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Queue {
    /// Jobs should finish within this many milliseconds; 0 promises nothing.
    #[prost(uint64, tag = "1")]
    pub finish_within_ms: u64,
    /// How many jobs in a hundred may miss the promise or fail within the window.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "defectAllowancePercent")]
    pub failure_allowance_percent: u32,
    /// How often a task may fail before it is not tried again.
    #[prost(uint32, tag = "3")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// How many unfinished jobs the queue may hold.
    #[prost(uint32, tag = "4")]
    pub quota: u32,
    /// Larger goes first where sizes are alike; weighs V.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// Running spare copies, in a hundred of the queue's running attempts.
    #[prost(uint32, tag = "6")]
    pub speculation_percent: u32,
    /// The window over which the allowances are counted.
    #[prost(uint64, tag = "7")]
    pub window_ms: u64,
    /// How long an unsure attempt may stay unsure before it counts as a error.
    #[prost(uint64, tag = "8")]
    pub unsure_bound_ms: u64,
    /// The service that runs the tasks of jobs handed in by host and prefix.
    #[prost(string, tag = "9")]
    pub service: String,
    /// Jobs handed in for this host, at a path that begins with the prefix, belong to the queue.
    #[prost(string, tag = "10")]
    pub host: String,
    /// The path prefix of its requests; the longest that fits wins.
    #[prost(string, tag = "11")]
    pub prefix: String,
    /// A promise that grows with the job: so many times its longest chain of work, beside `finishWithinMs`.
    #[prost(double, tag = "12")]
    pub stretch: f64,
    /// Free text that travels with the queue.
    #[prost(string, tag = "13")]
    pub note: String,
}

/// A service that workers offer.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Service {
    /// Labels that workers of the service may carry.
    #[prost(string, repeated, tag = "1")]
    pub labels: Vec<String>,
    /// The most capacity that one task may need.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "taskRoom")]
    pub task_cpu: u32,
    /// The most capacity that a gang may need altogether.
    #[prost(uint32, tag = "3")]
    #[serde(rename = "gangRoom")]
    pub gang_cpu: u32,
    /// Workers may carry any label; `labels` lists none.
    #[prost(bool, tag = "4")]
    pub any_label: bool,
    /// Free text that travels with the service.
    #[prost(string, tag = "5")]
    pub note: String,
}

/// What is wanted of a zone.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Zone {
    /// `serving`, `draining` (running work ends) or `evacuated` (repeatable work is stopped as well).
    #[prost(string, tag = "1")]
    pub state: String,
    /// Workers of the zone that take nothing new.
    #[prost(string, repeated, tag = "2")]
    pub drained_workers: Vec<String>,
}

impl Zone {
    /// Whether the zone may get new work.
    pub fn serving(&self) -> bool {
        self.state.is_empty() || self.state == "serving"
    }
}

impl ClusterConfig {
    /// Whether a worker of a zone may get new work.
    pub fn allows_new_work(&self, zone: &str, worker: &str) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|z| z.serving() && !z.drained_workers.iter().any(|w| w == worker))
    }
    /// Whether repeatable work in a zone is to be stopped.
    pub fn evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.state == "evacuated")
    }
}
