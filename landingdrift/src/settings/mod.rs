//! Settings of a process, from a file and from flags, checked as a whole.

mod bounds;
mod check;
mod read;

pub use bounds::Bounds;
pub use read::{from_arguments, SettingsError, FLAGS};

use serde::{Deserialize, Serialize};

/// Limits on what is held and taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body of a job.
    pub job_bytes: u64,
    /// The largest configuration.
    #[serde(rename = "desired_bytes")]
    pub config_bytes: u64,
    /// Unfinished jobs in the whole system.
    pub open_jobs: u64,
    /// Calls that one node works on at once.
    pub calls: u64,
    /// How long a finished job is kept in full.
    pub retain_ms: u64,
    /// How long a finished job's identity is kept after that.
    pub identity_ms: u64,
    /// Entries between two snapshots.
    #[serde(rename = "capture_every")]
    pub snapshot_every: u64,
    /// Bytes of entries that a replica keeps in memory; a snapshot is taken after half of it.
    pub log_bytes: u64,
    /// Size at which a log segment is closed.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            job_bytes: 1 << 20,
            config_bytes: 4 << 20,
            open_jobs: 20_000,
            calls: 2000,
            retain_ms: 600_000,
            identity_ms: 86_400_000,
            snapshot_every: 5000,
            log_bytes: 32 << 20,
            segment_bytes: 8 << 20,
        }
    }
}

/// Free values of admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hopper {
    /// Reservations per waiting task.
    pub probe_ratio: u32,
    /// Refusals after which an offer can't be refused.
    pub refusals: u32,
    /// ε of the fairness floor.
    pub epsilon: f64,
    /// Share of the smallest jobs among which a local one may go first.
    pub locality: f64,
    /// A running attempt is slow when it has run this many times the median of its queue.
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
    /// Processes of different clusters don't talk.
    pub cluster: String,
    /// Address for the system's own processes; it is also this process's name.
    pub listen: String,
    /// Address for callers, workers and operators.
    pub http: String,
    pub zone: String,
    /// Addresses of other processes to start from.
    pub seeds: Vec<String>,
    /// The first replicas of a new cluster; the seeds when left empty.
    pub founders: Vec<String>,
    /// This replica founds nothing: it asks to be let in by replicas that there are. An empty disk of a cluster that runs.
    pub join_only: bool,
    /// How many replicas vote: 2f+1 where f machines may be lost at once. Further ones are standbys.
    pub voters: u32,
    /// This replica does not vote as long as others can: its loss is not counted on.
    pub standby_only: bool,
    /// The share of a core that this process may use, in thousandths; leases go where there is more of it.
    pub share: u32,
    /// A replica stands on the same machine: leases rather go elsewhere, so that one loss does not hit both.
    pub beside_core: bool,
    /// The data folder of a core.
    pub data: String,
    /// `error`, `warn`, `info` or `debug`.
    pub log: String,
    pub bounds: Bounds,
    pub limits: Limits,
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
    /// The settings with those of `new` that can change while the process runs; the names of the others that differ.
    pub fn take_live(&self, new: &Settings) -> (Settings, Vec<&'static str>) {
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
        let live = Settings {
            log: new.log.clone(),
            bounds: new.bounds.clone(),
            limits: new.limits.clone(),
            hopper: new.hopper.clone(),
            ..self.clone()
        };
        let differing = fixed.into_iter().filter(|(_, differs)| *differs);
        (live, differing.map(|(name, _)| name).collect())
    }
}
