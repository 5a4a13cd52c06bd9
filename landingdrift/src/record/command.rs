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
    /// Processor room.
    pub room: u32,
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
    /// All its room.
    pub fn total_resources(&self) -> Resources {
        Resources {
            cpu: self.room,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
    /// Whether data that is near the place named is near this worker.
    pub fn near(&self, place: &str) -> bool {
        !place.is_empty() && (place == self.worker || place == self.zone || place == self.rack)
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
    /// The epoch of the cell that offered the slot.
    pub cell_epoch: u64,
    pub copy: bool,
}

/// How a send ended, by its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Outcome {
    Well,
    #[default]
    Defect,
    Stopped,
    /// Never started, and never will be.
    Void,
    /// Dead through no fault of its own: its hold passed, or its gang broke up.
    Lapsed,
}

/// A run by its names, for workers that do not keep our numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RunName {
    pub job: String,
    pub task: String,
    pub run: u32,
}

/// The end of a send.
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

/// What can be entered into the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The first entry of a term.
    Opened {
        leader: String,
    },
    Configure {
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
    Accept {
        spec: JobSpec,
        hash: u64,
        seen: u64,
    },
    Cancel {
        job: String,
    },
    Start {
        job: String,
        owner_epoch: u64,
        placements: Vec<Placement>,
    },
    /// A worker's facts have changed.
    Facts {
        facts: WorkerInfo,
        cell_epoch: u64,
    },
    /// What a worker has started and ended.
    Report {
        worker: String,
        incarnation: u64,
        running: Vec<u64>,
        ends: Vec<EndReport>,
    },
    /// A worker's beats are missing.
    Lost {
        worker: String,
        incarnation: u64,
        cell_epoch: u64,
    },
    /// A worker's hold has surely passed, or it is gone: these sends run there no more. Checkpoints that were heard go along.
    Lapse {
        worker: String,
        incarnation: u64,
        cell_epoch: u64,
        sends: Vec<u64>,
        #[serde(default)]
        checkpoints: Vec<(u64, String)>,
    },
    /// Sends that do no good where they are: told to stop, so that they run elsewhere. `blame` says that the worker is at fault.
    Recall {
        worker: String,
        cell_epoch: u64,
        sends: Vec<u64>,
        blame: bool,
    },
    /// A zone is emptied, or serves again; apart from the configuration, so that it races no change.
    Empty {
        zone: String,
        on: bool,
    },
    /// The operator says how an unsure send ended.
    Resolve {
        job: String,
        task: String,
        well: bool,
    },
    #[serde(rename = "Grant")]
    Lease {
        duty: String,
        holder: String,
        from_epoch: u64,
    },
    Node {
        node: String,
        zone: String,
        http: String,
    },
    NodeGone {
        node: String,
    },
    /// The first replicas, all at once; refused where there are some already.
    Found {
        cores: BTreeMap<String, ReplicaMember>,
    },
    /// A replica is admitted, promoted or demoted.
    #[serde(rename = "Core")]
    Replica {
        core: String,
        member: ReplicaMember,
    },
    /// An identity (an address with its disk) leaves the membership.
    CoreGone {
        core: String,
        disk: u64,
    },
    /// Lets bounds that have passed take effect.
    Sweep {
        retain_ms: u64,
        identity_ms: u64,
    },
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
    /// Whether an entry says something of the system as a whole (configuration, duties, members) and not of one job or
    /// worker: what a light copy of the record follows. Told by the number of its kind alone, or of what it orders.
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
            Self::Configure { .. }
                | Self::Empty { .. }
                | Self::Cancel { .. }
                | Self::Resolve { .. }
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

/// Why the record refused an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Rejection {
    /// The base version is no longer the current one.
    Rival {
        current: u64,
    },
    /// The same identity came with another body.
    OtherBody,
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
    /// The same id was turned away after this call was made.
    TurnedAway,
    /// This copy of an order entered the log after its deadline; an earlier one may have taken effect.
    Late,
    /// No change of configuration can be remembered beside those of the last day.
    TooManyChanges,
    /// The proposer's grant has passed to another.
    StaleGrant,
    Ended,
    Cancelled,
    NotDue,
    Waiting,
    NoRoom,
    Repeat,
    Spent,
    Unfit {
        why: String,
    },
    GangSplit,
    Budget,
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Rival { current } => write!(f, "another change came first: read version {current} and send the change again on top of it"),
            Self::OtherBody => write!(f, "this id was used with another body: give the new request an id of its own"),
            Self::Invalid { path, remedy } => write!(f, "{path}: {remedy}"),
            Self::Unknown { what } => write!(f, "{what} is not known: check the name"),
            Self::OverQuota { quota } => write!(f, "the queue holds its quota of {quota} unfinished jobs: come back later"),
            Self::TurnedAway => write!(f, "the same id was turned away while this call was under way: hand it in again"),
            Self::Late => write!(f, "the order came after its deadline: look whether it has taken effect, then give it again"),
            Self::TooManyChanges => write!(f, "too many changes of configuration were made within a day: come back later"),
            Self::StaleGrant => write!(f, "the duty has passed to another node: propose again through its holder"),
            Self::Ended => write!(f, "it has ended already: nothing more can be done to it"),
            Self::Cancelled => write!(f, "the job is cancelled: hand in a new one"),
            Self::NotDue => write!(f, "its appointed time has not come: wait"),
            Self::Waiting => write!(f, "a step it depends on is not done: wait"),
            Self::NoRoom => write!(f, "the worker has no room left: offer another"),
            Self::Repeat => write!(f, "it may be running already and may not be repeated: wait for its end"),
            Self::Spent => write!(f, "it has failed as often as its queue permits: look at the defects"),
            Self::Unfit { why } => write!(f, "the worker does not fit ({why}): offer another"),
            Self::GangSplit => write!(f, "the gang must be placed whole: propose all its members"),
            Self::Budget => write!(f, "the queue's speculation budget is in use: wait"),
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
    pub place: u64,
    pub at: u64,
}
