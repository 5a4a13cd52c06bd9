//! The settings of a process, read from a file and from flags and validated as a whole. Names that end in `_ms` are in
//! milliseconds, names that end in `_bytes` in bytes.

mod bounds;
mod check;
mod read;

pub use bounds::Bounds;
pub use read::{from_arguments, ParsedArguments, SettingsError, FLAGS};

use serde::{Deserialize, Serialize};

/// A node with less CPU than this, in thousandths of a core, is small: it follows a light copy of the cluster state,
/// without jobs and workers, and its link is assumed to be slow.
pub const SMALL_NODE_SHARE: u32 = 100;

/// Limits on what a cluster stores and accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a job, in bytes.
    pub job_bytes: u64,
    /// Maximum size of the configuration, in bytes.
    #[serde(rename = "desired_bytes")]
    pub config_bytes: u64,
    /// Maximum number of unfinished jobs in the cluster. Jobs that are due much later may use only half of this limit
    /// and of the next one.
    pub open_jobs: u64,
    /// Maximum memory for unfinished and retained jobs in one copy of the cluster state, in bytes; a process holds up
    /// to two copies.
    pub jobs_memory_bytes: u64,
    /// Maximum number of requests that one node processes at once.
    pub calls: u64,
    /// Maximum memory of a process for the request bodies of HTTP clients and the large responses to them, in bytes.
    pub http_memory_bytes: u64,
    /// Maximum number of open connections of HTTP clients to a process.
    pub http_connections: u64,
    /// How long a finished job is retained in full, in milliseconds.
    pub retain_ms: u64,
    /// How long a finished job's identity is kept after that, in milliseconds, so that late retries of its submission
    /// are recognised.
    pub identity_ms: u64,
    /// Number of log entries between two snapshots.
    #[serde(rename = "capture_every")]
    pub snapshot_every: u64,
    /// Maximum size of the log entries that a replica keeps in memory, in bytes. A snapshot is taken once the log has grown
    /// by half of this size since the latest one.
    pub log_bytes: u64,
    /// Size at which a log segment is closed, in bytes.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            job_bytes: 1 << 20,
            config_bytes: 4 << 20,
            open_jobs: 20_000,
            jobs_memory_bytes: 512 << 20,
            calls: 2000,
            http_memory_bytes: 64 << 20,
            http_connections: 2000,
            retain_ms: 600_000,
            identity_ms: 86_400_000,
            snapshot_every: 5000,
            log_bytes: 32 << 20,
            segment_bytes: 8 << 20,
        }
    }
}

/// Parameters of the scheduling policy, named after the Hopper paper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hopper {
    /// Number of reservations for each waiting task.
    pub probe_ratio: u32,
    /// Number of refusals after which the next offer of a slot can't be refused.
    pub refusals: u32,
    /// ε of the fairness guarantee: each job gets at least 1 - ε of its fair share.
    pub epsilon: f64,
    /// Fraction of the reservations, smallest first, within which one whose data is near the worker is preferred; from 0
    /// to 1.
    pub locality: f64,
    /// An attempt counts as slow once it has run for this many times the median duration of its queue.
    pub slow_factor: f64,
}

impl Default for Hopper {
    fn default() -> Self {
        Self {
            probe_ratio: 4,
            refusals: 3,
            epsilon: 0.1,
            locality: 0.03,
            slow_factor: 2.0,
        }
    }
}

/// All settings of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the cluster; processes of different clusters ignore each other.
    pub cluster: String,
    /// Address for the cluster's other processes; also the name of this process.
    pub listen: String,
    /// Address of the HTTP interface for clients, workers and operators.
    pub http: String,
    /// Zone of this machine.
    pub zone: String,
    /// Addresses of other processes through which this one finds the cluster.
    pub seeds: Vec<String>,
    /// Initial replicas of a new cluster; the seeds if empty.
    pub founders: Vec<String>,
    /// Whether this replica only joins an existing cluster and never founds one. For a replica with an empty disk.
    pub join_only: bool,
    /// Number of voting replicas: 2f+1 to tolerate the loss of f machines at once. Further replicas are standbys.
    pub voters: u32,
    /// Whether this replica may become a voter only if all members are standby-only. As long as another member is not,
    /// this replica can't replace a lost voter.
    pub standby_only: bool,
    /// CPU that this process may use, in thousandths of a core; nodes with more are preferred for leases.
    pub share: u32,
    /// Whether a replica runs on the same machine. Other nodes are then preferred for leases, so that the loss of one
    /// machine does not take both.
    #[serde(rename = "beside_core")]
    pub beside_replica: bool,
    /// Data folder of a replica; empty for a node.
    pub data: String,
    /// Log level: `error`, `warn`, `info` or `debug`.
    pub log: String,
    /// Time bounds that the system promises to operators.
    pub bounds: Bounds,
    /// Limits on what a cluster stores and accepts.
    pub limits: Limits,
    /// Parameters of the scheduling policy.
    pub hopper: Hopper,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: "landingdrift".into(),
            listen: String::new(),
            http: String::new(),
            zone: String::new(),
            seeds: Vec::new(),
            founders: Vec::new(),
            join_only: false,
            voters: 3,
            standby_only: false,
            share: 1000,
            beside_replica: false,
            data: String::new(),
            log: "info".into(),
            bounds: Bounds::default(),
            limits: Limits::default(),
            hopper: Hopper::default(),
        }
    }
}

impl Settings {
    /// The replicas that found a new cluster; empty for a process that only joins one.
    pub fn founders(&self) -> Vec<String> {
        if self.join_only {
            Vec::new()
        } else if self.founders.is_empty() {
            self.seeds.clone()
        } else {
            self.founders.clone()
        }
    }

    /// Returns these settings with the reloadable ones taken from `new`, and the names of the other settings that
    /// differ in `new` and need a restart. The founders stay those of the start, even if they were given as seeds: other
    /// seeds must not lead to a second cluster.
    pub fn with_reloadable_from(&self, new: &Settings) -> (Settings, Vec<&'static str>) {
        let not_reloadable = [
            ("cluster", self.cluster != new.cluster),
            ("listen", self.listen != new.listen),
            ("http", self.http != new.http),
            ("zone", self.zone != new.zone),
            (
                "founders",
                !new.founders.is_empty() && !new.join_only && self.founders() != new.founders,
            ),
            ("join_only", self.join_only != new.join_only),
            ("voters", self.voters != new.voters),
            ("standby_only", self.standby_only != new.standby_only),
            ("share", self.share != new.share),
            ("beside_core", self.beside_replica != new.beside_replica),
            ("data", self.data != new.data),
            (
                "limits.http_memory_bytes",
                self.limits.http_memory_bytes != new.limits.http_memory_bytes,
            ),
            (
                "limits.http_connections",
                self.limits.http_connections != new.limits.http_connections,
            ),
        ];
        let updated = Settings {
            seeds: new.seeds.clone(),
            founders: if self.seeds == new.seeds {
                self.founders.clone()
            } else {
                self.founders()
            },
            log: new.log.clone(),
            bounds: new.bounds.clone(),
            limits: Limits {
                http_memory_bytes: self.limits.http_memory_bytes,
                http_connections: self.limits.http_connections,
                ..new.limits.clone()
            },
            hopper: new.hopper.clone(),
            ..self.clone()
        };
        let differing = not_reloadable.into_iter().filter(|(_, differs)| *differs);
        (updated, differing.map(|(name, _)| name).collect())
    }
}
