//! Settings of a process, from a file and from flags, checked as a whole.

mod read;

pub use read::{from_arguments, SettingsError, FLAGS};

use serde::{Deserialize, Serialize};

/// Bounds that operators are promised; every duration inside is a ratio of one of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// A job's state can be asked for within this time of its acceptance.
    pub state_ms: u64,
    /// Nothing of a cancelled job starts after this time.
    pub cancel_ms: u64,
    /// A leaving worker gets nothing new after this time.
    pub leave_ms: u64,
    /// An evacuated zone gets nothing new after this time.
    #[serde(rename = "empty_ms")]
    pub evacuate_ms: u64,
    /// A change of configuration takes hold within this time.
    #[serde(rename = "desired_ms")]
    pub config_ms: u64,
    /// Service returns within this time after a total outage.
    pub outage_ms: u64,
    /// A standby that is silent for three times as long is dropped from the membership.
    pub replace_ms: u64,
    /// What runs on a worker is held for this long after each heartbeat, then its worker kills it; 0 holds for ever.
    #[serde(rename = "hold_ms")]
    pub lease_ms: u64,
    /// How often workers heartbeat; 0 for an eighth of `leave_ms`.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// How long a process that is told to end may take before it is killed.
    pub grace_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            state_ms: 3000,
            cancel_ms: 3000,
            leave_ms: 2000,
            evacuate_ms: 5000,
            config_ms: 2000,
            outage_ms: 12_000,
            replace_ms: 10_000,
            lease_ms: 0,
            heartbeat_ms: 0,
            grace_ms: 6000,
        }
    }
}

impl Bounds {
    /// How often parts look at the time.
    pub fn tick(&self) -> u64 {
        self.config_ms / 100
    }
    /// How often a leader is heard.
    pub fn heartbeat(&self) -> u64 {
        self.config_ms / 20
    }
    /// The shortest silence after which a replica stands for election.
    pub fn election(&self) -> u64 {
        self.config_ms / 4
    }
    /// The silence after which a voter is exchanged for a standby that is caught up: it only becomes a standby itself.
    pub fn exchange(&self) -> u64 {
        4 * self.election()
    }
    /// How long a replica that is asked to stop waits for a standby to vote in its place.
    pub fn leave(&self) -> u64 {
        self.grace_ms * 5 / 8
    }
    /// How long a recovering replica waits for all others.
    pub fn recovery_wait(&self) -> u64 {
        self.outage_ms / 8
    }
    /// How old a node's watch may be while it answers callers from it.
    pub fn fresh(&self) -> u64 {
        self.cancel_ms / 3
    }
    /// How old the watch of a zone scheduler's holder may be while it gives orders and holds.
    pub fn speaks(&self) -> u64 {
        self.cancel_ms / 6
    }
    /// How old a heartbeat's answer may be when its worker obeys a start order.
    pub fn obey(&self) -> u64 {
        self.cancel_ms / 3
    }
    /// The silence after which a node's zone schedulers pass to others; longer than `speaks` and `obey` together.
    pub fn node_lost(&self) -> u64 {
        self.cancel_ms * 11 / 20
    }
    /// The silence after which a node's queues pass to others: their starts are fenced by the cluster state alone.
    pub fn queue_lost(&self) -> u64 {
        self.cancel_ms / 4
    }
    /// How often workers heartbeat.
    pub fn worker_heartbeat(&self) -> u64 {
        if self.heartbeat_ms > 0 {
            self.heartbeat_ms
        } else {
            self.leave_ms / 8
        }
    }
    /// When a lease has surely passed, by any worker's clock: those may run 2 % slow.
    pub fn lease_expired_after(&self) -> u64 {
        self.lease_ms + self.lease_ms * 3 / 100
    }
    /// The silence after which a worker is lost.
    pub fn worker_lost(&self) -> u64 {
        self.cancel_ms
    }
    /// How long a call is worked on before its response is "unsure".
    pub fn call(&self) -> u64 {
        self.state_ms * 4 / 5
    }
    /// How long an offer waits for its response.
    pub fn offer(&self) -> u64 {
        self.config_ms / 4
    }
    /// How often views are shuffled.
    pub fn shuffle(&self) -> u64 {
        self.config_ms / 4
    }
    /// How often reservations are looked through and placed anew.
    pub fn reserve(&self) -> u64 {
        self.config_ms / 2
    }
    /// How long a process that is told to end goes on serving, so that callers find out that it is not ready.
    pub fn serve_on(&self) -> u64 {
        self.grace_ms * 5 / 12
    }
    /// When the parts of a process that was told to end are ended, whatever they still have to do.
    pub fn end_parts(&self) -> u64 {
        self.grace_ms * 2 / 3
    }
    /// When a process that was told to end has surely ended; the rest of the grace is for a slow machine.
    pub fn end_process(&self) -> u64 {
        self.grace_ms * 4 / 5
    }
    /// How long the last answers may take to leave.
    pub fn flush_answers(&self) -> u64 {
        self.grace_ms / 60
    }
    /// The longest pause before a disk that refused is tried again.
    pub fn disk_pause(&self) -> u64 {
        self.config_ms / 2
    }
    /// When a caller told to come back should do so.
    pub fn back(&self) -> u64 {
        self.state_ms / 3
    }
}

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
        (
            live,
            fixed
                .into_iter()
                .filter(|(_, differs)| *differs)
                .map(|(name, _)| name)
                .collect(),
        )
    }
}
