//! The cluster state: the replicated state machine, and the rules that every log entry is checked against.
//!
//! Nodes propose commands, and [`ClusterState::apply`] accepts or rejects them. It is the only code that changes the
//! state, and it is the same on replicas and nodes. Some names on disk, over HTTP and in recordings are older than
//! those in the code; `serde` attributes preserve them.

pub mod command;
pub mod derive;
pub mod job;
pub mod order;
pub mod pack;

mod apply;
mod idle_jobs;
mod latest_orders;
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
pub use latest_orders::{LatestOrders, OrderSequence, MAX_SUBJECTS};
pub use members::{Lease, NodeMember, ReplicaMember, Worker};
pub use order::{Order, ProposalId};
pub use rejection::Rejection;
pub use report::{EndReport, Outcome, Placement, RunName};
pub use retained::{Change, QueueStats, Tombstone};
pub use worker_info::WorkerInfo;

use crate::config::{ClusterConfig, Queue};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Format version of a packed cluster state; snapshots of any other version are rejected.
pub const STATE_VERSION: u16 = 3;

/// How long the identity of a configuration change is remembered, in milliseconds by the cluster clock. The newest
/// change is always remembered.
pub const CHANGE_RETENTION_MS: u64 = 86_400_000;

/// Maximum number of remembered configuration changes. Further changes are rejected, so that no identity is dropped
/// before [`CHANGE_RETENTION_MS`] has passed.
pub const MAX_CHANGES: usize = 50_000;

/// The state that all replicas agree on. Times are milliseconds since 1970 by the cluster clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterState {
    /// The format version. It must stay the first field: [`ClusterState::unpack`] checks it before decoding the rest.
    pub format: u16,
    /// The name of the cluster.
    pub cluster: String,
    /// Log index of the last applied entry.
    #[serde(rename = "place")]
    pub applied_index: u64,
    /// Time of the last applied entry; never decreases.
    pub at: u64,
    /// Version of the configuration in force; 0 before the first one.
    pub version: u64,
    /// The configuration in force.
    #[serde(rename = "desired")]
    pub config: ClusterConfig,
    /// Configuration changes whose identities are remembered, the newest last.
    pub changes: VecDeque<Change>,
    /// Results of orders whose deadline has not passed, by deadline and proposal, in their wire encoding.
    pub orders: BTreeMap<(u64, ProposalId), Vec<u8>>,
    /// Unfinished and retained jobs by id.
    pub jobs: BTreeMap<String, Job>,
    /// Tombstones of jobs that are no longer retained in full, by job id.
    #[serde(rename = "tombs")]
    pub tombstones: BTreeMap<String, Tombstone>,
    /// Ids of ended jobs and of tombstones, ordered by the time at which the job ended or the tombstone was created.
    pub expiry: BTreeSet<(u64, String)>,
    /// Ids of recently rejected jobs, with the log index and the time of the rejected entry.
    #[serde(rename = "refusals")]
    pub rejected_ids: BTreeMap<String, (u64, u64)>,
    /// Ids of unfinished jobs.
    #[serde(rename = "open")]
    pub unfinished_jobs: BTreeSet<String>,
    /// Workers by name.
    pub workers: BTreeMap<String, Worker>,
    /// Leases by name, see [`zone_lease`] and [`queue_lease`].
    #[serde(rename = "grants")]
    pub leases: BTreeMap<String, Lease>,
    /// Zones evacuated by an operator's order, independently of the configuration.
    #[serde(rename = "emptied")]
    pub evacuated_zones: BTreeSet<String>,
    /// Queues that were removed from the configuration while they had unfinished jobs, kept until those jobs end.
    #[serde(rename = "retired")]
    pub retired_queues: BTreeMap<String, Queue>,
    /// Nodes by name: those alive, and some of those that are gone.
    pub nodes: BTreeMap<String, NodeMember>,
    /// Replicas by address.
    #[serde(rename = "cores")]
    pub replicas: BTreeMap<String, ReplicaMember>,
    /// Statistics of each queue, by queue name.
    pub queues: BTreeMap<String, QueueStats>,
    /// Attempts that may be running, by attempt number, each with the id of its job and the index of its task in the
    /// job.
    pub live: BTreeMap<u64, (String, u32)>,
    /// Number that the next attempt will get.
    #[serde(rename = "next_send")]
    pub next_attempt: u64,
    /// Epoch that the next granted lease will get.
    pub next_epoch: u64,
    /// The latest orders, by which older ones are recognized. Not part of the format of version 3: [`ClusterState::pack`]
    /// appends it.
    #[serde(skip)]
    pub order_sequence: OrderSequence,
}

/// Name of the lease for scheduling in a zone.
pub fn zone_lease(zone: &str) -> String {
    format!("cell/{zone}")
}

/// Name of the lease for ownership of a queue.
pub fn queue_lease(queue: &str) -> String {
    format!("queue/{queue}")
}

impl ClusterState {
    /// Creates an empty state for the named cluster.
    pub fn new(cluster: &str) -> Self {
        Self {
            format: STATE_VERSION,
            cluster: cluster.into(),
            next_attempt: 1,
            next_epoch: 1,
            ..Self::default()
        }
    }

    /// Encodes the state for a snapshot. The order sequence follows the other fields, unless it is empty: earlier builds
    /// of the same format version wrote none, and they ignore it.
    pub fn pack(&self) -> Vec<u8> {
        let mut bytes = pack::pack(self);
        if !self.order_sequence.is_empty() {
            bytes.extend(pack::pack(&self.order_sequence));
        }
        bytes
    }

    /// Decodes the state from a snapshot. Fails if the snapshot has another format version or is damaged.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        let format = postcard::take_from_bytes::<u16>(bytes).map_or(0, |(format, _)| format);
        if format != STATE_VERSION {
            return Err(format!(
                "unsupported snapshot format {format}, this build reads {STATE_VERSION}: run the build that wrote it"
            ));
        }
        Self::unpack_fields(bytes).map_err(|e| {
            format!(
                "failed to decode the snapshot: {e}; fetch it again from another replica (core)"
            )
        })
    }

    /// Decodes the fields, and the order sequence if the snapshot has one.
    fn unpack_fields(bytes: &[u8]) -> Result<Self, String> {
        let (mut state, rest): (Self, &[u8]) = pack::unpack_prefix(bytes)?;
        if !rest.is_empty() {
            state.order_sequence = pack::unpack(rest)?;
        }
        Ok(state)
    }

    /// The light copy of the state that small nodes follow: everything except jobs, workers and queue statistics.
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
            order_sequence: OrderSequence {
                zones: self.order_sequence.zones.clone(),
                ..OrderSequence::default()
            },
            ..Self::default()
        }
    }

    /// Log index of the entry that put the current configuration into force; 0 if there is none.
    pub fn config_index(&self) -> u64 {
        self.changes.back().map_or(0, |change| change.log_index)
    }

    /// Log index of the entry that introduced the configuration current at `index`; 0 if that entry is no longer
    /// remembered.
    pub fn config_index_at(&self, index: u64) -> u64 {
        let mut changes = self.changes.iter().rev();
        let newest = changes.find(|change| change.log_index <= index);
        newest.map_or(0, |change| change.log_index)
    }

    /// Looks up a queue in the configuration, or among the queues that were removed with unfinished jobs.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let configured = self.config.queues.get(name);
        configured.or_else(|| self.retired_queues.get(name))
    }

    /// Whether the configuration and evacuation orders allow new work on a worker of a zone.
    pub fn allows_new_work(&self, zone: &str, worker: &str) -> bool {
        !self.evacuated_zones.contains(zone) && self.config.allows_new_work(zone, worker)
    }

    /// Whether new tasks may start on a worker: it is neither lost nor leaving, and may get new work.
    pub fn accepts_new_tasks(&self, name: &str, worker: &Worker) -> bool {
        !worker.lost && !worker.info.leaving && self.allows_new_work(&worker.info.zone, name)
    }

    /// The lease with the given name, as last granted.
    pub fn current_lease(&self, lease: &str) -> Option<&Lease> {
        self.leases.get(lease)
    }

    /// Whether a live attempt belongs to a long-running task, which runs until its job is cancelled.
    pub fn is_long_running(&self, attempt_no: u64) -> bool {
        let Some((job, task)) = self.live.get(&attempt_no) else {
            return false;
        };
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.task_spec(*task as usize).long_running)
    }

    /// Whether a worker has live attempts of tasks that aren't long-running. A long-running attempt normally doesn't
    /// end by itself, so it doesn't occupy the trial slot of a worker on probation.
    pub fn has_finite_attempts(&self, worker: &Worker) -> bool {
        let mut attempts = worker.attempts.iter();
        attempts.any(|attempt_no| !self.is_long_running(*attempt_no))
    }

    /// Looks up a task by the id of its job and its index in the job.
    pub fn task(&self, job: &str, task_no: u32) -> Option<(&Job, &Task)> {
        let job = self.jobs.get(job)?;
        let task = job.tasks.get(task_no as usize)?;
        Some((job, task))
    }

    /// The request hash of the job with an id, whether it is retained in full or as a tombstone.
    pub fn known_hash(&self, id: &str) -> Option<u64> {
        match self.jobs.get(id) {
            Some(job) => Some(job.hash),
            None => self.tombstones.get(id).map(|tombstone| tombstone.hash),
        }
    }

    /// The state of the job with an id, whether it is retained in full or as a tombstone.
    pub fn known_job_state(&self, id: &str) -> Option<JobState> {
        match self.jobs.get(id) {
            Some(job) => Some(job.state),
            None => self.tombstones.get(id).map(|tombstone| tombstone.state),
        }
    }

    /// Looks up a live attempt by its number.
    pub fn attempt(&self, attempt_no: u64) -> Option<(&Job, &Task, &Attempt)> {
        let (job, task_no) = self.live.get(&attempt_no)?;
        let (job, task) = self.task(job, *task_no)?;
        let mut attempts = task.attempts.iter();
        let attempt = attempts.find(|attempt| attempt.no == attempt_no)?;
        Some((job, task, attempt))
    }

    /// The number of the live attempt on a worker that matches a run name.
    pub fn live_attempt_by_name(&self, worker: &str, name: &RunName) -> Option<u64> {
        let job = self.jobs.get(&name.job)?;
        let task = job.tasks.get(job.find_task(&name.task)?)?;
        let mut live = task.live();
        let attempt = live.find(|a| a.run == name.run && a.worker == worker)?;
        Some(attempt.no)
    }
}
