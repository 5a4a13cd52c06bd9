//! The entries of the replicated log.

use super::{EndReport, JobSpec, Order, Placement, ReplicaMember, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The command in a log entry. Variants are encoded by position: append new ones at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a term; the first entry that a new leader appends.
    #[serde(rename = "Opened")]
    TermStarted {
        /// Name of the replica that leads the term.
        leader: String,
    },
    /// Changes the configuration.
    #[serde(rename = "Configure")]
    UpdateConfig {
        /// Identity of the change; retries carry the same one.
        change: String,
        /// Configuration version that the change is based on.
        #[serde(rename = "base")]
        base_version: u64,
        /// Whether `value` is a merge patch; otherwise it replaces the whole configuration.
        #[serde(rename = "patch")]
        is_patch: bool,
        /// Version that the new configuration gets; 0 for the next one.
        #[serde(default)]
        #[serde(rename = "number")]
        version: u64,
        /// The new configuration, or the patch.
        #[serde(with = "super::pack::json")]
        value: serde_json::Value,
    },
    /// Submits a job.
    #[serde(rename = "Accept")]
    SubmitJob {
        /// The job as the client submitted it.
        spec: JobSpec,
        /// Hash of the request body.
        hash: u64,
        /// Log index that the admitting node had applied when it received the request.
        seen: u64,
    },
    /// Cancels a job.
    #[serde(rename = "Cancel")]
    CancelJob {
        /// The id of the job.
        job: String,
    },
    /// Starts attempts of a job's tasks, all or none. Proposed by the owner of the job's queue.
    #[serde(rename = "Start")]
    StartAttempts {
        /// The id of the job.
        job: String,
        /// Epoch of the queue lease under which the owner proposes.
        owner_epoch: u64,
        /// The tasks to start, each with its worker.
        placements: Vec<Placement>,
    },
    /// Registers a worker, or updates its description.
    #[serde(rename = "Facts")]
    UpdateWorker {
        /// The worker's description of itself.
        #[serde(rename = "facts")]
        info: WorkerInfo,
        /// Epoch of the zone lease under which the entry is proposed.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// Reports attempts that a worker runs or has ended.
    #[serde(rename = "Report")]
    ReportAttempts {
        /// The worker's name.
        worker: String,
        /// Incarnation of the reporting worker.
        incarnation: u64,
        /// Numbers of the running attempts.
        running: Vec<u64>,
        /// Reports of ended attempts.
        ends: Vec<EndReport>,
    },
    /// Marks a worker as lost because it has sent no heartbeats for too long; the outcomes of its attempts become
    /// unknown.
    #[serde(rename = "Lost")]
    MarkWorkerLost {
        /// The worker's name.
        worker: String,
        /// Incarnation of the worker that is lost.
        incarnation: u64,
        /// Epoch of the zone lease under which the entry is proposed.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// Ends attempts that can no longer be running: the worker's lease on them has certainly expired, or the worker is
    /// gone.
    #[serde(rename = "Lapse")]
    ExpireAttempts {
        /// The worker's name.
        worker: String,
        /// Incarnation of the worker that ran them.
        incarnation: u64,
        /// Epoch of the zone lease under which the entry is proposed.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        /// Numbers of the attempts.
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        /// Newest checkpoints that the worker reported, by attempt number.
        #[serde(default)]
        checkpoints: Vec<(u64, String)>,
    },
    /// Requests that attempts stop, so that their tasks are restarted on other workers.
    #[serde(rename = "Recall")]
    RescheduleAttempts {
        /// The worker's name.
        worker: String,
        /// Epoch of the zone lease under which the entry is proposed.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        /// Numbers of the attempts.
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        /// Whether the worker is at fault and goes on probation.
        blame: bool,
    },
    /// Evacuates a zone or returns it to service. Separate from the configuration, so that it can't conflict with a
    /// configuration change.
    #[serde(rename = "Empty")]
    SetEvacuation {
        /// Name of the zone.
        zone: String,
        /// Whether to evacuate the zone; otherwise it is returned to service.
        #[serde(rename = "on")]
        evacuate: bool,
    },
    /// Sets the outcome of a task's attempts whose outcome is unknown, by decision of the operator.
    #[serde(rename = "Resolve")]
    ResolveTask {
        /// The id of the job.
        job: String,
        /// The name of the task.
        task: String,
        /// Whether the attempts count as succeeded; otherwise they count as failed.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// Grants a lease to a node. Proposed by the leader.
    #[serde(rename = "Grant")]
    GrantLease {
        /// The name of the lease, see [`super::zone_lease`] and [`super::queue_lease`].
        #[serde(rename = "duty")]
        lease: String,
        /// Node that gets the lease; empty for none.
        holder: String,
        /// Epoch of the grant that this one replaces; 0 if there is none.
        from_epoch: u64,
    },
    /// Adds a node to the membership, or marks it as alive again.
    #[serde(rename = "Node")]
    RegisterNode {
        /// The node's name.
        node: String,
        /// Its zone.
        zone: String,
        /// Its address for HTTP.
        http: String,
    },
    /// Marks a node as gone; it is granted no lease until it registers again.
    #[serde(rename = "NodeGone")]
    MarkNodeGone {
        /// The node's name.
        node: String,
    },
    /// Sets the initial replicas; rejected if the cluster already has any.
    #[serde(rename = "Found")]
    FoundCluster {
        /// The replicas by address.
        #[serde(rename = "cores")]
        replicas: BTreeMap<String, ReplicaMember>,
    },
    /// Admits, promotes or demotes a replica.
    #[serde(rename = "Core")]
    UpdateReplica {
        /// Its address.
        #[serde(rename = "core")]
        replica: String,
        /// The replica's new membership record.
        member: ReplicaMember,
    },
    /// Removes a replica, identified by its address and disk, from the membership.
    #[serde(rename = "CoreGone")]
    RemoveReplica {
        /// Its address.
        #[serde(rename = "core")]
        replica: String,
        /// Its disk identity, see [`ReplicaMember::disk`].
        disk: u64,
    },
    /// Fails attempts whose outcome has been unknown for too long, and drops records whose retention period is over.
    #[serde(rename = "Sweep")]
    CollectGarbage {
        /// How long ended jobs are retained in full, and lost workers without attempts, in milliseconds.
        retain_ms: u64,
        /// How long their tombstones are kept after that, in milliseconds.
        identity_ms: u64,
    },
    /// An order of an operator or client, which takes effect at most once and not after its deadline. Written by earlier
    /// builds; this one proposes [`Command::ReceivedOrder`].
    Order(Order),
    /// An order that does not take effect after a later one on the same subject, see [`super::OrderSequence`].
    ReceivedOrder {
        /// The order. It must stay the first field, as the action in [`Order`].
        order: Order,
        /// Log index that the proposing node knew when it received the order.
        seen: u64,
    },
}

/// Discriminants of commands in packed entries: the positions of the variants of [`Command`].
mod kind {
    pub const TERM_STARTED: u32 = 0;
    pub const UPDATE_CONFIG: u32 = 1;
    pub const SUBMIT_JOB: u32 = 2;
    pub const SET_EVACUATION: u32 = 10;
    pub const GRANT_LEASE: u32 = 12;
    pub const REMOVE_REPLICA: u32 = 17;
    pub const COLLECT_GARBAGE: u32 = 18;
    pub const ORDER: u32 = 19;
    pub const RECEIVED_ORDER: u32 = 20;
}

/// Splits a packed command into its discriminant and the remaining bytes.
fn split_kind(bytes: &[u8]) -> Option<(u32, &[u8])> {
    postcard::take_from_bytes::<u32>(bytes).ok()
}

impl Command {
    /// Encodes the command for a log entry.
    pub fn pack(&self) -> Vec<u8> {
        super::pack::pack(self)
    }

    /// Decodes the command of a log entry. Fails on a command that only a newer build knows.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        super::pack::unpack(bytes)
    }

    /// Whether an entry concerns the whole cluster (terms, configuration, evacuations, leases, members) and not a
    /// single job or worker. Light copies of the state apply only such entries. Only the discriminant is decoded, for
    /// an order also that of its action; an entry whose discriminant can't be decoded counts as cluster-wide.
    pub fn is_cluster_wide(bytes: &[u8]) -> bool {
        let (mut number, rest) = split_kind(bytes).unwrap_or((kind::TERM_STARTED, &[]));
        if [kind::ORDER, kind::RECEIVED_ORDER].contains(&number) {
            number = split_kind(rest).map_or(kind::TERM_STARTED, |(number, _)| number);
        }
        let cluster_kinds = [
            kind::TERM_STARTED,
            kind::UPDATE_CONFIG,
            kind::SET_EVACUATION,
        ];
        let lease_and_member_kinds = kind::GRANT_LEASE..=kind::REMOVE_REPLICA;
        cluster_kinds.contains(&number) || lease_and_member_kinds.contains(&number)
    }

    /// Whether a process other than the leader may propose the entry. Commands about terms, leases, members and garbage
    /// collection are reserved for the leader. Only the discriminant is decoded.
    pub fn may_be_proposed(bytes: &[u8]) -> bool {
        match split_kind(bytes) {
            None | Some((kind::TERM_STARTED, _)) => false,
            Some((kind::GRANT_LEASE..=kind::COLLECT_GARBAGE, _)) => false,
            Some(_) => true,
        }
    }

    /// Whether an entry submits a job. Only the discriminant is decoded.
    pub fn submits_job(bytes: &[u8]) -> bool {
        matches!(split_kind(bytes), Some((kind::SUBMIT_JOB, _)))
    }

    /// Whether the command must take effect at most once, and so must be proposed inside a [`Command::ReceivedOrder`].
    pub fn is_order(&self) -> bool {
        matches!(
            self,
            Self::UpdateConfig { .. }
                | Self::SetEvacuation { .. }
                | Self::CancelJob { .. }
                | Self::ResolveTask { .. }
        )
    }

    /// The order, if the command is one.
    pub fn order(&self) -> Option<&Order> {
        match self {
            Self::Order(order) | Self::ReceivedOrder { order, .. } => Some(order),
            _ => None,
        }
    }

    /// The command itself, or the action of an order.
    pub fn action(&self) -> &Self {
        match self {
            Self::Order(order) | Self::ReceivedOrder { order, .. } => &order.action,
            other => other,
        }
    }
}
