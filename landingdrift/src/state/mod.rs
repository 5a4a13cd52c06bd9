//! The cluster state: the one replicated state, and the rules that every entry is checked against.
//!
//! Admission proposes, the cluster state disposes: [`ClusterState::apply`] is the only place
//! where anything changes, and it is the same code on replicas and nodes.

pub mod command;
pub mod derive;
pub mod job;
pub mod order;
pub mod pack;

mod apply;

pub use apply::{pack_apply_result, unpack_apply_result, ApplyResult};
pub use command::{Change, Command, EndReport, Outcome, Placement, Rejection, RunName, WorkerInfo};
pub use job::{
    Attempt, AttemptState, Job, JobSpec, JobState, Resources, StepSpec, Task, TaskSpec, TaskState,
};
pub use order::{Order, ProposalId};

use crate::config::ClusterConfig;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Version of the cluster state's format; another one is refused.
pub const STATE_VERSION: u16 = 3;

/// How long, by the agreed clock, a change of configuration is known by its identity; the newest one always is.
pub const CHANGES_KEPT_MS: u64 = 86_400_000;

/// More changes than this within that time are refused rather than forgotten.
pub const CHANGES_MOST: usize = 50_000;

/// A worker as the cluster state knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    #[serde(rename = "facts")]
    pub info: WorkerInfo,
    /// Its heartbeats are missing.
    pub lost: bool,
    /// Good ends needed before it is trusted again; 0 when trusted.
    pub probation: u32,
    /// Its last ends, true for good ones.
    pub ends: VecDeque<bool>,
    pub since: u64,
    /// Room taken by sends that may be running.
    pub used: Resources,
    /// Attempts that may be running.
    #[serde(rename = "sends")]
    pub attempts: BTreeSet<u64>,
}

/// A lease given to one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    pub holder: String,
    pub epoch: u64,
}

/// A node as the cluster state knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeMember {
    pub zone: String,
    pub http: String,
    pub alive: bool,
}

/// A replica of the log as the cluster state lists it. Its identity is its address together with its disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMember {
    pub voter: bool,
    /// Drawn when the data folder was made; 0 only before the first members are agreed on.
    pub disk: u64,
    pub zone: String,
    /// It does not vote as long as others can.
    #[serde(default)]
    pub standby_only: bool,
}

/// What is left of a job after it was retained for its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tombstone {
    pub hash: u64,
    pub state: JobState,
    pub until: u64,
}

/// What a queue has lived through.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueStats {
    /// How long good runs took, the latest last.
    pub durations: VecDeque<u32>,
    /// The shape of their tail, and their median; worked out anew when some have come.
    pub beta: f64,
    pub median: u32,
    /// Good runs so far.
    pub seen: u32,
    /// Ends of jobs within the window: when, and whether the promise was kept.
    pub promises: VecDeque<(u64, bool)>,
    pub unfinished: u32,
    pub kept: u64,
    pub missed: u64,
    pub running: u32,
    pub copies: u32,
    pub copies_ever: u64,
    pub copies_won: u64,
}

/// The whole state that the replicas agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterState {
    pub format: u16,
    pub cluster: String,
    /// The index of the last entry applied.
    #[serde(rename = "place")]
    pub applied_index: u64,
    /// The agreed clock, in milliseconds since 1970; it never goes back.
    pub at: u64,
    pub version: u64,
    #[serde(rename = "desired")]
    pub config: ClusterConfig,
    /// The changes of configuration that are known by their identity, the newest last.
    pub changes: VecDeque<Change>,
    /// The answers to orders whose deadline has not passed, by deadline and proposal, as they go over the wire.
    pub orders: BTreeMap<(u64, ProposalId), Vec<u8>>,
    pub jobs: BTreeMap<String, Job>,
    #[serde(rename = "tombs")]
    pub tombstones: BTreeMap<String, Tombstone>,
    /// Jobs and tombstones to drop, by time.
    pub expiry: BTreeSet<(u64, String)>,
    /// Ids rejected: at which place, and when.
    pub refusals: BTreeMap<String, (u64, u64)>,
    /// Unfinished jobs.
    pub open: BTreeSet<String>,
    pub workers: BTreeMap<String, Worker>,
    #[serde(rename = "grants")]
    pub leases: BTreeMap<String, Lease>,
    /// Zones that are being evacuated, whatever the configuration says.
    #[serde(rename = "emptied")]
    pub evacuated_zones: BTreeSet<String>,
    /// Queues that were removed while they held unfinished jobs, until those end.
    pub retired: BTreeMap<String, crate::config::Queue>,
    pub nodes: BTreeMap<String, NodeMember>,
    #[serde(rename = "cores")]
    pub replicas: BTreeMap<String, ReplicaMember>,
    pub queues: BTreeMap<String, QueueStats>,
    /// The attempts that may be running, by number.
    pub live: BTreeMap<u64, (String, u32)>,
    #[serde(rename = "next_send")]
    pub next_attempt: u64,
    pub next_epoch: u64,
}

/// The name of the lease of keeping a zone's zone scheduler.
pub fn zone_lease(zone: &str) -> String {
    format!("cell/{zone}")
}

/// The name of the lease of owning a queue.
pub fn queue_lease(queue: &str) -> String {
    format!("queue/{queue}")
}

impl ClusterState {
    /// An empty record.
    pub fn new(cluster: &str) -> Self {
        Self {
            format: STATE_VERSION,
            cluster: cluster.into(),
            next_attempt: 1,
            next_epoch: 1,
            ..Self::default()
        }
    }

    /// The cluster state as bytes for a snapshot.
    pub fn pack(&self) -> Vec<u8> {
        pack::pack(self)
    }

    /// The cluster state without jobs and workers: configuration, leases and members.
    pub fn light(&self) -> Self {
        Self {
            format: self.format,
            cluster: self.cluster.clone(),
            applied_index: self.applied_index,
            at: self.at,
            version: self.version,
            config: self.config.clone(),
            changes: self.changes.clone(),
            orders: self.orders.clone(),
            leases: self.leases.clone(),
            evacuated_zones: self.evacuated_zones.clone(),
            nodes: self.nodes.clone(),
            replicas: self.replicas.clone(),
            next_attempt: self.next_attempt,
            next_epoch: self.next_epoch,
            ..Self::default()
        }
    }

    /// The cluster state from a snapshot.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        // The format stands first, so that another one is told apart before the rest is read.
        let other = |f: u16| {
            format!("the capture has format {f}, this build reads {STATE_VERSION}: run the build that wrote it")
        };
        let format = postcard::take_from_bytes::<u16>(bytes).map_or(0, |(f, _)| f);
        (format == STATE_VERSION)
            .then_some(())
            .ok_or_else(|| other(format))?;
        pack::unpack(bytes).map_err(|e| {
            format!("the capture can't be read ({e}): fetch it again from another core")
        })
    }

    /// A queue by the configuration, or as it was when it was removed with jobs in it.
    pub fn queue(&self, name: &str) -> Option<&crate::config::Queue> {
        self.config
            .queues
            .get(name)
            .or_else(|| self.retired.get(name))
    }

    /// Whether a worker of a zone may get new work.
    pub fn open(&self, zone: &str, worker: &str) -> bool {
        !self.evacuated_zones.contains(zone) && self.config.open(zone, worker)
    }

    /// The number of the live attempt that a worker calls by its names.
    pub fn named(&self, worker: &str, name: &RunName) -> Option<u64> {
        let job = self.jobs.get(&name.job)?;
        let task = job.tasks.get(job.find(&name.task)?)?;
        let attempt = task
            .live()
            .find(|s| s.run == name.run && s.worker == worker)?;
        Some(attempt.no)
    }

    /// The holder of a lease.
    pub fn holder(&self, lease: &str) -> Option<&Lease> {
        self.leases.get(lease)
    }

    /// A task by its job and number.
    pub fn task(&self, job: &str, no: u32) -> Option<(&Job, &Task)> {
        self.jobs
            .get(job)
            .and_then(|j| j.tasks.get(no as usize).map(|t| (j, t)))
    }

    /// A attempt by its number, while it may be running.
    pub fn attempt(&self, no: u64) -> Option<(&Job, &Task, &Attempt)> {
        let (job, task) = self.live.get(&no)?;
        let (j, t) = self.task(job, *task)?;
        t.attempts.iter().find(|s| s.no == no).map(|s| (j, t, s))
    }
}
