//! The cluster state: the one replicated state, and the rules that every entry is checked against.
//!
//! Nodes propose, and the state decides: [`ClusterState::apply`] is the only place where anything changes, and it is the
//! same code on replicas and nodes. Names on disk, over HTTP and in recordings are older than those of the code; `serde`
//! attributes carry them.

pub mod command;
pub mod derive;
pub mod job;
pub mod order;
pub mod pack;

mod apply;
mod idle_jobs;
mod members;
mod memory;
mod rejection;
mod report;
mod retained;
mod worker_info;

pub use apply::{pack_apply_result, unpack_apply_result, ApplyResult};
pub use command::Command;
pub use job::{
    Attempt, AttemptState, Job, JobSpec, JobState, Resources, StepSpec, Task, TaskSpec, TaskState,
};
pub use members::{Lease, NodeMember, ReplicaMember, Worker};
pub use order::{Order, ProposalId};
pub use rejection::Rejection;
pub use report::{EndReport, Outcome, Placement, RunName};
pub use retained::{Change, QueueStats, Tombstone};
pub use worker_info::WorkerInfo;

use crate::config::{ClusterConfig, Queue};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Version of the format of the cluster state; another one is refused.
pub const STATE_VERSION: u16 = 3;

/// How long, by the cluster clock, a change of configuration is known by its identity, in milliseconds; the newest one
/// always is.
pub const CHANGE_RETENTION_MS: u64 = 86_400_000;

/// More changes than this within that time are rejected rather than forgotten.
pub const MAX_CHANGES: usize = 50_000;

/// The state that the replicas agree on. Times are milliseconds since 1970 by the cluster clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterState {
    /// The version of the format; it stands first, so that another one is told apart before the rest is read.
    pub format: u16,
    /// The name of the cluster.
    pub cluster: String,
    /// The index of the last entry applied.
    #[serde(rename = "place")]
    pub applied_index: u64,
    /// The time of the last entry applied; it never goes back.
    pub at: u64,
    /// The version of the configuration in force; 0 before the first.
    pub version: u64,
    /// The configuration in force.
    #[serde(rename = "desired")]
    pub config: ClusterConfig,
    /// The changes of configuration that are known by their identity, the newest last.
    pub changes: VecDeque<Change>,
    /// The answers to orders whose deadline has not passed, by deadline and proposal, as they go over the wire.
    pub orders: BTreeMap<(u64, ProposalId), Vec<u8>>,
    /// Jobs by id, unfinished or retained.
    pub jobs: BTreeMap<String, Job>,
    /// What is left of jobs that are retained no more, by id.
    #[serde(rename = "tombs")]
    pub tombstones: BTreeMap<String, Tombstone>,
    /// Ended jobs and tombstones by the time they ended or were made.
    pub expiry: BTreeSet<(u64, String)>,
    /// Ids of rejected jobs: the index of the entry, and its time.
    #[serde(rename = "refusals")]
    pub rejected_ids: BTreeMap<String, (u64, u64)>,
    /// Ids of unfinished jobs.
    pub open: BTreeSet<String>,
    /// Workers by name.
    pub workers: BTreeMap<String, Worker>,
    /// Leases by name, see [`zone_lease`] and [`queue_lease`].
    #[serde(rename = "grants")]
    pub leases: BTreeMap<String, Lease>,
    /// Zones that are evacuated, whatever the configuration says.
    #[serde(rename = "emptied")]
    pub evacuated_zones: BTreeSet<String>,
    /// Queues that were removed while they held unfinished jobs, until those end.
    #[serde(rename = "retired")]
    pub retired_queues: BTreeMap<String, Queue>,
    /// Nodes by name, alive or remembered.
    pub nodes: BTreeMap<String, NodeMember>,
    /// Replicas by address.
    #[serde(rename = "cores")]
    pub replicas: BTreeMap<String, ReplicaMember>,
    /// The history of each queue, by name.
    pub queues: BTreeMap<String, QueueStats>,
    /// The attempts that may be running, by number: the id of the job, and the number of the task in it.
    pub live: BTreeMap<u64, (String, u32)>,
    /// The number of the next attempt.
    #[serde(rename = "next_send")]
    pub next_attempt: u64,
    /// The epoch of the next lease.
    pub next_epoch: u64,
}

/// The name of the lease on scheduling for a zone.
pub fn zone_lease(zone: &str) -> String {
    format!("cell/{zone}")
}

/// The name of the lease on owning a queue.
pub fn queue_lease(queue: &str) -> String {
    format!("queue/{queue}")
}

impl ClusterState {
    /// An empty state.
    pub fn new(cluster: &str) -> Self {
        Self {
            format: STATE_VERSION,
            cluster: cluster.into(),
            next_attempt: 1,
            next_epoch: 1,
            ..Self::default()
        }
    }

    /// The state as bytes for a snapshot.
    pub fn pack(&self) -> Vec<u8> {
        pack::pack(self)
    }

    /// The state from a snapshot. Fails where another build has written it.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        let format = postcard::take_from_bytes::<u16>(bytes).map_or(0, |(format, _)| format);
        if format != STATE_VERSION {
            return Err(format!(
                "the capture has format {format}, this build reads {STATE_VERSION}: run the build that wrote it"
            ));
        }
        pack::unpack(bytes).map_err(|e| {
            format!("the capture can't be read ({e}): fetch it again from another core")
        })
    }

    /// The state without jobs and workers: configuration, leases and members.
    pub fn without_jobs_and_workers(&self) -> Self {
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

    /// The index of the entry that made the configuration in force; 0 where there is none.
    pub fn config_index(&self) -> u64 {
        self.changes.back().map_or(0, |change| change.log_index)
    }

    /// The index of the entry that made the configuration which was in force at an index; 0 where it is not known any more.
    pub fn config_index_at(&self, index: u64) -> u64 {
        let mut changes = self.changes.iter().rev();
        let newest = changes.find(|change| change.log_index <= index);
        newest.map_or(0, |change| change.log_index)
    }

    /// A queue by the configuration, or as it was when it was removed with jobs in it.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let configured = self.config.queues.get(name);
        configured.or_else(|| self.retired_queues.get(name))
    }

    /// Whether a worker of a zone may get new work.
    pub fn allows_new_work(&self, zone: &str, worker: &str) -> bool {
        !self.evacuated_zones.contains(zone) && self.config.allows_new_work(zone, worker)
    }

    /// Whether new tasks may start on a worker.
    pub fn accepts_new_tasks(&self, name: &str, worker: &Worker) -> bool {
        !worker.lost && !worker.info.leaving && self.allows_new_work(&worker.info.zone, name)
    }

    /// The holder of a lease.
    pub fn holder(&self, lease: &str) -> Option<&Lease> {
        self.leases.get(lease)
    }

    /// Whether a live attempt is of a task that runs until its job is cancelled.
    pub fn is_long_running(&self, attempt_no: u64) -> bool {
        let Some((job, task)) = self.live.get(&attempt_no) else {
            return false;
        };
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.task_spec(*task as usize).long_running)
    }

    /// Whether a worker has attempts that will end: one on probation proves itself by those.
    pub fn has_ending_attempts(&self, worker: &Worker) -> bool {
        let mut attempts = worker.attempts.iter();
        attempts.any(|attempt_no| !self.is_long_running(*attempt_no))
    }

    /// A task by its job and number.
    pub fn task(&self, job: &str, task_no: u32) -> Option<(&Job, &Task)> {
        let job = self.jobs.get(job)?;
        let task = job.tasks.get(task_no as usize)?;
        Some((job, task))
    }

    /// An attempt by its number, while it may be running.
    pub fn attempt(&self, attempt_no: u64) -> Option<(&Job, &Task, &Attempt)> {
        let (job, task_no) = self.live.get(&attempt_no)?;
        let (job, task) = self.task(job, *task_no)?;
        let mut attempts = task.attempts.iter();
        let attempt = attempts.find(|attempt| attempt.no == attempt_no)?;
        Some((job, task, attempt))
    }

    /// The number of the live attempt that a worker calls by its names.
    pub fn live_attempt_by_name(&self, worker: &str, name: &RunName) -> Option<u64> {
        let job = self.jobs.get(&name.job)?;
        let task = job.tasks.get(job.find(&name.task)?)?;
        let mut live = task.live();
        let attempt = live.find(|a| a.run == name.run && a.worker == worker)?;
        Some(attempt.no)
    }
}
