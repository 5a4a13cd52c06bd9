//! The entries of the replicated log.

use super::{EndReport, JobSpec, Order, Placement, ReplicaMember, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command that an entry of the log carries. Variants are packed by their position: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The first entry of a term.
    #[serde(rename = "Opened")]
    TermStarted {
        /// The leader of the term.
        leader: String,
    },
    /// The configuration changes.
    #[serde(rename = "Configure")]
    UpdateConfig {
        /// The identity of the change; copies of it carry the same one.
        change: String,
        /// The version that it builds on.
        base: u64,
        /// It changes parts of the current configuration, and does not replace it.
        patch: bool,
        /// The version it becomes; 0 for the next.
        #[serde(default)]
        number: u64,
        /// The configuration, or the patch.
        #[serde(with = "super::pack::json")]
        value: serde_json::Value,
    },
    /// A client submits a job.
    #[serde(rename = "Accept")]
    AcceptJob {
        /// The job.
        spec: JobSpec,
        /// A hash of what the client sent.
        hash: u64,
        /// The index that the admitting node had applied when the request came.
        seen: u64,
    },
    /// A client cancels a job.
    #[serde(rename = "Cancel")]
    CancelJob {
        /// The id of the job.
        job: String,
    },
    /// The owner of a queue starts attempts of a job, all or none.
    #[serde(rename = "Start")]
    StartAttempts {
        /// The id of the job.
        job: String,
        /// The epoch of the queue's owner.
        owner_epoch: u64,
        /// What is placed where.
        placements: Vec<Placement>,
    },
    /// A worker is new, or what it says of itself has changed.
    #[serde(rename = "Facts")]
    UpdateWorker {
        /// What it says of itself.
        #[serde(rename = "facts")]
        info: WorkerInfo,
        /// The epoch of the zone's holder.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// What a worker has started and ended.
    #[serde(rename = "Report")]
    ReportAttempts {
        /// The worker's name.
        worker: String,
        /// The incarnation of the worker that says so.
        incarnation: u64,
        /// The attempts that run.
        running: Vec<u64>,
        /// The attempts that have ended.
        ends: Vec<EndReport>,
    },
    /// A worker's heartbeats are missing.
    #[serde(rename = "Lost")]
    WorkerLost {
        /// The worker's name.
        worker: String,
        /// The incarnation that is lost.
        incarnation: u64,
        /// The epoch of the zone's holder.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// A worker's lease on these attempts has surely run out, or it is gone: they run no more.
    #[serde(rename = "Lapse")]
    ExpireAttempts {
        /// The worker's name.
        worker: String,
        /// The incarnation that ran them.
        incarnation: u64,
        /// The epoch of the zone's holder.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        /// The attempts.
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        /// The newest checkpoints that were heard, by attempt.
        #[serde(default)]
        checkpoints: Vec<(u64, String)>,
    },
    /// Attempts that do no good where they are are told to stop, so that they run elsewhere.
    #[serde(rename = "Recall")]
    RescheduleAttempts {
        /// The worker's name.
        worker: String,
        /// The epoch of the zone's holder.
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        /// The attempts.
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        /// The worker is at fault, and goes on probation.
        blame: bool,
    },
    /// A zone is evacuated, or serves again; apart from the configuration, so that it races no change of that.
    #[serde(rename = "Empty")]
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether it is evacuated.
        on: bool,
    },
    /// The operator says how an attempt ended whose outcome is unknown.
    #[serde(rename = "Resolve")]
    ResolveAttempt {
        /// The id of the job.
        job: String,
        /// The name of the task.
        task: String,
        /// Whether it succeeded.
        #[serde(rename = "well")]
        succeeded: bool,
    },
    /// The leader grants a lease to a node.
    #[serde(rename = "Grant")]
    GrantLease {
        /// The name of the lease, see [`super::zone_lease`] and [`super::queue_lease`].
        #[serde(rename = "duty")]
        lease: String,
        /// The node that gets it; empty for nobody.
        holder: String,
        /// The epoch that it follows on; 0 for none.
        from_epoch: u64,
    },
    /// A node is there.
    #[serde(rename = "Node")]
    RegisterNode {
        /// The node's name.
        node: String,
        /// Its zone.
        zone: String,
        /// Its address for HTTP.
        http: String,
    },
    /// A node is gone.
    #[serde(rename = "NodeGone")]
    RemoveNode {
        /// The node's name.
        node: String,
    },
    /// The first replicas, all at once; rejected where there are some already.
    #[serde(rename = "Found")]
    FoundCluster {
        /// The replicas by address.
        #[serde(rename = "cores")]
        replicas: BTreeMap<String, ReplicaMember>,
    },
    /// A replica is admitted, promoted or demoted.
    #[serde(rename = "Core")]
    UpdateReplica {
        /// Its address.
        #[serde(rename = "core")]
        replica: String,
        /// What it is from now on.
        member: ReplicaMember,
    },
    /// An identity (an address with its disk) leaves the membership.
    #[serde(rename = "CoreGone")]
    RemoveReplica {
        /// Its address.
        #[serde(rename = "core")]
        replica: String,
        /// Its disk.
        disk: u64,
    },
    /// Lets bounds that have passed take effect, and drops what was retained for its time.
    #[serde(rename = "Sweep")]
    CollectGarbage {
        /// How long ended jobs are retained, in milliseconds.
        retain_ms: u64,
        /// How long their identities are kept after that, in milliseconds.
        identity_ms: u64,
    },
    /// An order of an operator or caller, which takes effect at most once and not after its deadline.
    Order(Order),
}

/// The numbers of commands in packed entries: the positions of the variants of [`Command`].
mod kind {
    pub const TERM_STARTED: u32 = 0;
    pub const UPDATE_CONFIG: u32 = 1;
    pub const ACCEPT_JOB: u32 = 2;
    pub const SET_EVACUATION: u32 = 10;
    pub const GRANT_LEASE: u32 = 12;
    pub const REMOVE_REPLICA: u32 = 17;
    pub const COLLECT_GARBAGE: u32 = 18;
    pub const ORDER: u32 = 19;
}

/// Reads the number of a command, and what follows it.
fn take_kind(bytes: &[u8]) -> Option<(u32, &[u8])> {
    postcard::take_from_bytes::<u32>(bytes).ok()
}

impl Command {
    /// The command as an entry of the log.
    pub fn pack(&self) -> Vec<u8> {
        super::pack::pack(self)
    }

    /// The command of an entry. Fails where a newer build has written it.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        super::pack::unpack(bytes)
    }

    /// Whether an entry says something of the system as a whole (configuration, leases, members) and not of one job or
    /// worker. This is what a light copy of the state follows. The entry is not read beyond its kind, or that of what it
    /// orders.
    pub fn is_cluster_wide(bytes: &[u8]) -> bool {
        let (mut number, rest) = take_kind(bytes).unwrap_or((kind::TERM_STARTED, &[]));
        if number == kind::ORDER {
            number = take_kind(rest).map_or(kind::TERM_STARTED, |(number, _)| number);
        }
        let of_the_whole = [
            kind::TERM_STARTED,
            kind::UPDATE_CONFIG,
            kind::SET_EVACUATION,
        ];
        let of_members = kind::GRANT_LEASE..=kind::REMOVE_REPLICA;
        of_the_whole.contains(&number) || of_members.contains(&number)
    }

    /// Whether a command may come from outside the leader. Terms, leases and members are the leader's alone. The entry
    /// is not read beyond its kind.
    pub fn may_be_proposed(bytes: &[u8]) -> bool {
        match take_kind(bytes) {
            None | Some((kind::TERM_STARTED, _)) => false,
            Some((kind::GRANT_LEASE..=kind::COLLECT_GARBAGE, _)) => false,
            Some(_) => true,
        }
    }

    /// Whether an entry submits a job. It is not read beyond its kind.
    pub fn submits_job(bytes: &[u8]) -> bool {
        matches!(take_kind(bytes), Some((kind::ACCEPT_JOB, _)))
    }

    /// Whether copies of this command must take effect at most once.
    pub fn is_order(&self) -> bool {
        matches!(
            self,
            Self::UpdateConfig { .. }
                | Self::SetEvacuation { .. }
                | Self::CancelJob { .. }
                | Self::ResolveAttempt { .. }
        )
    }

    /// What the command does: of an order, what is ordered.
    pub fn action(&self) -> &Self {
        match self {
            Self::Order(order) => &order.action,
            other => other,
        }
    }
}
