//! The cluster configuration that operators declare: queues, services and zones.

mod check;
mod hosts;
mod patch;

pub use check::{check, read, ConfigError};
pub use hosts::{canonical_host, is_same_host};
pub use patch::merge;

use std::collections::BTreeMap;

/// The complete configuration, validated and put into force as a whole.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct ClusterConfig {
    /// Queues by name.
    #[prost(btree_map = "string, message", tag = "1")]
    pub queues: BTreeMap<String, Queue>,
    /// Services by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub services: BTreeMap<String, Service>,
    /// Zones by name.
    #[prost(btree_map = "string, message", tag = "3")]
    pub zones: BTreeMap<String, Zone>,
    /// Free-form annotations, stored but not interpreted.
    #[prost(btree_map = "string, string", tag = "4")]
    pub notes: BTreeMap<String, String>,
    /// Whether queues with unfinished jobs may be removed; their jobs then run to their end. Otherwise a configuration
    /// that removes such a queue is rejected.
    #[prost(bool, tag = "5")]
    pub retire_queues: bool,
}

/// A queue, its limits, and its promise: the objective for the completion time of its jobs.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Queue {
    /// Promised completion time of jobs, in milliseconds; 0 for no promise.
    #[prost(uint64, tag = "1")]
    pub finish_within_ms: u64,
    /// Failure allowance: the maximum percentage of the jobs ended within the window that may have failed or missed the
    /// promise.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "defectAllowancePercent")]
    pub failure_allowance_percent: u32,
    /// Number of failures after which a task is not retried.
    #[prost(uint32, tag = "3")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Maximum number of unfinished jobs in the queue.
    #[prost(uint32, tag = "4")]
    pub quota: u32,
    /// Priority from 0 to 100; jobs of higher priority go first among jobs of similar size. The
    /// scheduling policy divides the rank of a job by 1 + priority.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
    /// Maximum number of running speculative copies, in percent of the queue's running attempts.
    #[prost(uint32, tag = "6")]
    pub speculation_percent: u32,
    /// Length of the window over which the failure allowance is evaluated, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub window_ms: u64,
    /// How long the outcome of an attempt may stay unknown before it counts as a failure, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub unsure_bound_ms: u64,
    /// Service that runs the tasks of jobs submitted by host and prefix.
    #[prost(string, tag = "9")]
    pub service: String,
    /// Host whose requests are submitted to the queue as jobs if their path begins with `prefix`.
    #[prost(string, tag = "10")]
    pub host: String,
    /// Path prefix of the queue's requests; the longest matching prefix wins. Empty if the queue gets no jobs by host and
    /// prefix.
    #[prost(string, tag = "11")]
    pub prefix: String,
    /// Promised completion time as a multiple of the run time of the job's longest dependency chain; stored, but not
    /// evaluated.
    #[prost(double, tag = "12")]
    pub stretch: f64,
    /// Free-form annotation, stored but not interpreted.
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
    /// Maximum CPU that one task may need.
    #[prost(uint32, tag = "2")]
    #[serde(rename = "taskRoom")]
    pub max_task_cpu: u32,
    /// Maximum CPU that a gang may need in total.
    #[prost(uint32, tag = "3")]
    #[serde(rename = "gangRoom")]
    pub max_gang_cpu: u32,
    /// Whether tasks may require labels that `labels` doesn't list.
    #[prost(bool, tag = "4")]
    pub any_label: bool,
    /// Free-form annotation, stored but not interpreted.
    #[prost(string, tag = "5")]
    pub note: String,
}

/// The desired state of a zone.
#[derive(Clone, PartialEq, prost::Message, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Zone {
    /// `serving` (also if empty), `draining` (no new work; running work finishes) or `evacuated` (repeatable work is
    /// also stopped).
    #[prost(string, tag = "1")]
    pub state: String,
    /// Workers of the zone that get no new work.
    #[prost(string, repeated, tag = "2")]
    pub drained_workers: Vec<String>,
}

impl Zone {
    /// Whether the zone may get new work.
    pub fn is_serving(&self) -> bool {
        self.state.is_empty() || self.state == "serving"
    }
}

impl ClusterConfig {
    /// Whether a worker of a zone may get new work: the zone is serving and the worker isn't drained.
    pub fn allows_new_work(&self, zone: &str, worker: &str) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|z| z.is_serving() && !z.drained_workers.iter().any(|w| w == worker))
    }
    /// Whether the configuration evacuates a zone, so that repeatable work in it is stopped.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.state == "evacuated")
    }
}
