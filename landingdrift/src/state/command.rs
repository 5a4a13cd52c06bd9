use super::{JobSpec, Order, ReplicaMember, Resources, TaskSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WorkerInfo {
    pub worker: String,
    /// Grows with each start of the worker's process.
    pub incarnation: u64,
    pub service: String,
    pub labels: BTreeSet<String>,
    pub zone: String,
    /// Processor capacity.
    #[serde(rename = "room")]
    pub cpu: u32,
    #[serde(default)]
    pub memory: u32,
    #[serde(default)]
    pub accelerators: u32,
    #[serde(default)]
    pub rack: String,
    /// Where the worker stands; a newer worker there proves that this one is gone.
    #[serde(default)]
    pub address: String,
    pub leaving: bool,
}

impl WorkerInfo {
    /// All its capacity.
    pub fn total_resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
    /// Whether data that is near the place named is near this worker.
    pub fn near(&self, location: &str) -> bool {
        !location.is_empty()
            && (location == self.worker || location == self.zone || location == self.rack)
    }
    /// Whether a worker with these facts is of the task's service and carries its labels.
    pub fn serves(&self, task: &TaskSpec) -> bool {
        self.service == task.service && task.labels.iter().all(|l| self.labels.contains(l))
    }
}

/// A task placed on a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    pub task: u32,
    pub worker: String,
    pub incarnation: u64,
    /// The epoch of the zone scheduler that offered the slot.
    #[serde(rename = "cell_epoch")]
    pub zone_epoch: u64,
    pub copy: bool,
}

/// How a attempt ended, by its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Outcome {
    #[serde(rename = "well")]
    Succeeded,
    #[default]
    #[serde(rename = "defect")]
    Failed,
    Stopped,
    /// Never started, and never will be.
    #[serde(rename = "void")]
    NeverStarted,
    /// Dead through no fault of its own: its lease passed, or its gang broke up.
    #[serde(rename = "lapsed")]
    Expired,
}

/// A run by its names, for workers that do not keep our numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RunName {
    pub job: String,
    pub task: String,
    pub run: u32,
}

/// The end of a attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndReport {
    #[serde(default)]
    pub no: u64,
    /// In place of `no`.
    #[serde(default)]
    pub name: Option<RunName>,
    pub outcome: Outcome,
    #[serde(default)]
    pub ran_ms: u64,
    #[serde(default)]
    pub note: String,
    /// The newest checkpoint of the run.
    #[serde(default)]
    pub checkpoint: String,
}

/// What can be entered into the cluster state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The first entry of a term.
    #[serde(rename = "Opened")]
    TermStarted { leader: String },
    #[serde(rename = "Configure")]
    UpdateConfig {
        change: String,
        base: u64,
        patch: bool,
        /// The version it becomes; 0 for the next.
        #[serde(default)]
        number: u64,
        #[serde(with = "super::pack::json")]
        value: serde_json::Value,
    },
    /// `seen` is the place that the admitting node had followed to when the call came.
    #[serde(rename = "Accept")]
    AcceptJob { spec: JobSpec, hash: u64, seen: u64 },
    #[serde(rename = "Cancel")]
    CancelJob { job: String },
    #[serde(rename = "Start")]
    StartAttempts {
        job: String,
        owner_epoch: u64,
        placements: Vec<Placement>,
    },
    /// A worker's facts have changed.
    #[serde(rename = "Facts")]
    UpdateWorker {
        #[serde(rename = "facts")]
        info: WorkerInfo,
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// What a worker has started and ended.
    #[serde(rename = "Report")]
    ReportAttempts {
        worker: String,
        incarnation: u64,
        running: Vec<u64>,
        ends: Vec<EndReport>,
    },
    /// A worker's heartbeats are missing.
    #[serde(rename = "Lost")]
    WorkerLost {
        worker: String,
        incarnation: u64,
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
    },
    /// A worker's lease has surely passed, or it is gone: these attempts run there no more. Checkpoints that were heard go along.
    #[serde(rename = "Lapse")]
    ExpireAttempts {
        worker: String,
        incarnation: u64,
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        #[serde(default)]
        checkpoints: Vec<(u64, String)>,
    },
    /// Attempts that do no good where they are: told to stop, so that they run elsewhere. `blame` says that the worker is at fault.
    #[serde(rename = "Recall")]
    RescheduleAttempts {
        worker: String,
        #[serde(rename = "cell_epoch")]
        zone_epoch: u64,
        #[serde(rename = "sends")]
        attempts: Vec<u64>,
        blame: bool,
    },
    /// A zone is evacuated, or serves again; apart from the configuration, so that it races no change.
    #[serde(rename = "Empty")]
    SetEvacuation { zone: String, on: bool },
    /// The operator says how an unsure attempt ended.
    #[serde(rename = "Resolve")]
    ResolveAttempt {
        job: String,
        task: String,
        #[serde(rename = "well")]
        succeeded: bool,
    },
    #[serde(rename = "Grant")]
    GrantLease {
        #[serde(rename = "duty")]
        lease: String,
        holder: String,
        from_epoch: u64,
    },
    #[serde(rename = "Node")]
    RegisterNode {
        node: String,
        zone: String,
        http: String,
    },
    #[serde(rename = "NodeGone")]
    RemoveNode { node: String },
    /// The first replicas, all at once; refused where there are some already.
    #[serde(rename = "Found")]
    FoundCluster {
        #[serde(rename = "cores")]
        replicas: BTreeMap<String, ReplicaMember>,
    },
    /// A replica is admitted, promoted or demoted.
    #[serde(rename = "Core")]
    UpdateReplica {
        #[serde(rename = "core")]
        replica: String,
        member: ReplicaMember,
    },
    /// An identity (an address with its disk) leaves the membership.
    #[serde(rename = "CoreGone")]
    RemoveReplica {
        #[serde(rename = "core")]
        replica: String,
        disk: u64,
    },
    /// Lets bounds that have passed take effect.
    #[serde(rename = "Sweep")]
    CollectGarbage { retain_ms: u64, identity_ms: u64 },
    /// An order of an operator or caller, which takes effect at most once and not after its deadline.
    Order(Order),
}

/// The number of [`Command::Order`] in a packed entry.
const ORDER_KIND: u32 = 19;

impl Command {
    /// The command as an entry of the log.
    pub fn pack(&self) -> Vec<u8> {
        super::pack::pack(self)
    }
    /// Whether an entry says something of the system as a whole (configuration, leases, members) and not of one job or
    /// worker: what a light copy of the cluster state follows. Told by the number of its kind alone, or of what it orders.
    pub fn concerns_all(bytes: &[u8]) -> bool {
        let take = |bytes| postcard::take_from_bytes::<u32>(bytes).unwrap_or((0, &[]));
        let (kind, rest) = take(bytes);
        let kind = if kind == ORDER_KIND {
            take(rest).0
        } else {
            kind
        };
        matches!(kind, 0 | 1 | 10 | 12..=17)
    }
    /// Whether a command may come from outside the leader. Terms, assignments and members are the leader's alone.
    /// Told by the number of its kind alone.
    pub fn may_be_proposed(bytes: &[u8]) -> bool {
        let kind = postcard::take_from_bytes::<u32>(bytes).map(|(kind, _)| kind);
        kind.is_ok_and(|kind| !matches!(kind, 0 | 12..=18))
    }
    /// Whether copies of this command must take effect once at the most.
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
    /// The command of an entry.
    pub fn unpack(bytes: &[u8]) -> Result<Self, String> {
        super::pack::unpack(bytes)
    }
}

/// Why the cluster state refused an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Rejection {
    /// The base version is no longer the current one.
    #[serde(rename = "Rival")]
    VersionConflict {
        current: u64,
    },
    /// The same identity came with another body.
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    Invalid {
        path: String,
        remedy: String,
    },
    Unknown {
        what: String,
    },
    OverQuota {
        quota: u32,
    },
    /// The same id was rejected after this call was made.
    #[serde(rename = "TurnedAway")]
    PreviouslyRejected,
    /// This copy of an order entered the log after its deadline; an earlier one may have taken effect.
    #[serde(rename = "Late")]
    DeadlinePassed,
    /// No change of configuration can be remembered beside those of the last day.
    TooManyChanges,
    /// The proposer's lease has passed to another.
    #[serde(rename = "StaleGrant")]
    StaleLease,
    Ended,
    Cancelled,
    NotDue,
    Waiting,
    #[serde(rename = "NoRoom")]
    InsufficientResources,
    #[serde(rename = "Repeat")]
    AlreadyRunning,
    #[serde(rename = "Spent")]
    AttemptsExhausted,
    #[serde(rename = "Unfit")]
    UnsuitableWorker {
        why: String,
    },
    #[serde(rename = "GangSplit")]
    GangIncomplete,
    #[serde(rename = "Budget")]
    SpeculationBudgetExhausted,
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::VersionConflict { current } => write!(f, "another change came first: read version {current} and send the change again on top of it"),
            Self::BodyMismatch => write!(f, "this id was used with another body: give the new request an id of its own"),
            Self::Invalid { path, remedy } => write!(f, "{path}: {remedy}"),
            Self::Unknown { what } => write!(f, "{what} is not known: check the name"),
            Self::OverQuota { quota } => write!(f, "the queue holds its quota of {quota} unfinished jobs: come back later"),
            Self::PreviouslyRejected => write!(f, "the same id was turned away while this call was under way: hand it in again"),
            Self::DeadlinePassed => write!(f, "the order came after its deadline: look whether it has taken effect, then give it again"),
            Self::TooManyChanges => write!(f, "too many changes of configuration were made within a day: come back later"),
            Self::StaleLease => write!(f, "the duty has passed to another node: propose again through its holder"),
            Self::Ended => write!(f, "it has ended already: nothing more can be done to it"),
            Self::Cancelled => write!(f, "the job is cancelled: hand in a new one"),
            Self::NotDue => write!(f, "its appointed time has not come: wait"),
            Self::Waiting => write!(f, "a step it depends on is not done: wait"),
            Self::InsufficientResources => write!(f, "the worker has no room left: offer another"),
            Self::AlreadyRunning => write!(f, "it may be running already and may not be repeated: wait for its end"),
            Self::AttemptsExhausted => write!(f, "it has failed as often as its queue permits: look at the defects"),
            Self::UnsuitableWorker { why } => write!(f, "the worker does not fit ({why}): offer another"),
            Self::GangIncomplete => write!(f, "the gang must be placed whole: propose all its members"),
            Self::SpeculationBudgetExhausted => write!(f, "the queue's speculation budget is in use: wait"),
        }
    }
}

/// One change of configuration and what came of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub change: String,
    /// The SHA-256 of what was asked for.
    pub digest: [u8; 32],
    pub version: u64,
    #[serde(rename = "place")]
    pub log_index: u64,
    pub at: u64,
}
