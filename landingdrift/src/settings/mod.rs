//! The settings of a process, from a file and from flags, checked as a whole. Names that end in `_ms` are in
//! milliseconds, in `_bytes` in bytes.

mod bounds;
mod check;
mod read;

pub use bounds::Bounds;
pub use read::{from_arguments, SettingsError, FLAGS};

use serde::{Deserialize, Serialize};

/// A node with less than so many thousandths of a core is small: it follows a light copy of the cluster state, and its link is
/// taken for narrow.
pub const SMALL_NODE_SHARE: u32 = 100;

/// Limits on what a cluster stores and accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest job, in bytes.
    pub job_bytes: u64,
    /// The largest configuration, in bytes.
    #[serde(rename = "desired_bytes")]
    pub config_bytes: u64,
    /// The most unfinished jobs in the cluster.
    pub open_jobs: u64,
    /// How many bytes of memory the jobs may take in one copy of the cluster state, unfinished and retained; a process has
    /// up to two copies.
    pub jobs_memory_bytes: u64,
    /// The most calls that one node works on at once.
    pub calls: u64,
    /// How long a finished job is kept in full, in milliseconds.
    pub retain_ms: u64,
    /// How long a finished job's identity is kept after that, in milliseconds, so that a late copy of it is recognised.
    pub identity_ms: u64,
    /// The number of entries between two snapshots.
    #[serde(rename = "capture_every")]
    pub snapshot_every: u64,
    /// How many bytes of entries a replica keeps in memory; a snapshot is taken after half of them.
    pub log_bytes: u64,
    /// The size at which a log segment is closed, in bytes.
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
            retain_ms: 600_000,
            identity_ms: 86_400_000,
            snapshot_every: 5000,
            log_bytes: 32 << 20,
            segment_bytes: 8 << 20,
        }
    }
}

/// The parameters of scheduling, as Hopper names them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hopper {
    /// The number of reservations for each waiting task.
    pub probe_ratio: u32,
    /// The number of refusals after which the next offer of a slot can't be refused.
    pub refusals: u32,
    /// ε of the fairness guarantee: each job gets at least 1 - ε of its fair share.
    pub epsilon: f64,
    /// The share of the smallest jobs, from 0 to 1, among which one with its data near goes first.
    pub locality: f64,
    /// An attempt is slow when it has run for this many times the median of its queue.
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
    /// The name of the cluster: processes of different clusters ignore each other.
    pub cluster: String,
    /// The address for the cluster's other processes; it is also this process's name.
    pub listen: String,
    /// The address for callers, workers and operators.
    pub http: String,
    /// The zone of this machine.
    pub zone: String,
    /// The addresses of other processes to start from.
    pub seeds: Vec<String>,
    /// The first replicas of a new cluster; the seeds when left empty.
    pub founders: Vec<String>,
    /// This replica founds no cluster: it asks the replicas of a running one to join. For an empty disk.
    pub join_only: bool,
    /// How many replicas vote: 2f+1 if f machines may be lost at once. Further ones are standbys.
    pub voters: u32,
    /// This replica does not vote as long as enough others can: its machine does not count among those that may be
    /// lost.
    pub standby_only: bool,
    /// The CPU that this process may use, in thousandths of a core; leases are rather granted where there is more.
    pub share: u32,
    /// A replica runs on the same machine: leases are rather granted elsewhere, so that one loss does not hit both.
    pub beside_core: bool,
    /// The data folder of a replica.
    pub data: String,
    /// The log level: `error`, `warn`, `info` or `debug`.
    pub log: String,
    /// Bounds that operators are promised.
    pub bounds: Bounds,
    /// Limits on what is held and taken.
    pub limits: Limits,
    /// Free values of the scheduling policy.
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
            beside_core: false,
            data: String::new(),
            log: "info".into(),
            bounds: Bounds::default(),
            limits: Limits::default(),
            hopper: Hopper::default(),
        }
    }
}

impl Settings {
    /// The first replicas of a new cluster.
    pub fn founders(&self) -> Vec<String> {
        if self.join_only {
            Vec::new()
        } else if self.founders.is_empty() {
            self.seeds.clone()
        } else {
            self.founders.clone()
        }
    }

    /// These settings, with those of `new` that can change while the process runs; and the names of those that differ
    /// but can't change.
    pub fn with_reloadable_from(&self, new: &Settings) -> (Settings, Vec<&'static str>) {
        let fixed = [
            ("cluster", self.cluster != new.cluster),
            ("listen", self.listen != new.listen),
            ("http", self.http != new.http),
            ("zone", self.zone != new.zone),
            ("seeds", self.seeds != new.seeds),
            ("founders", self.founders != new.founders),
            ("join_only", self.join_only != new.join_only),
            ("voters", self.voters != new.voters),
            ("standby_only", self.standby_only != new.standby_only),
            ("share", self.share != new.share),
            ("beside_core", self.beside_core != new.beside_core),
            ("data", self.data != new.data),
        ];
        let updated = Settings {
            log: new.log.clone(),
            bounds: new.bounds.clone(),
            limits: new.limits.clone(),
            hopper: new.hopper.clone(),
            ..self.clone()
        };
        let differing = fixed.into_iter().filter(|(_, differs)| *differs);
        (updated, differing.map(|(name, _)| name).collect())
    }
}
