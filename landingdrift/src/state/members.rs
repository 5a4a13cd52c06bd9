//! Records of workers, nodes, replicas and leases in the cluster state.

use super::{Resources, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// A known worker, with the attempts placed on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's description of itself.
    #[serde(rename = "facts")]
    pub info: WorkerInfo,
    /// Whether its heartbeats have stopped, or a newer worker has replaced it.
    pub lost: bool,
    /// Consecutive successes still needed to end its probation; 0 if it is not on probation.
    pub probation: u32,
    /// Outcomes of its most recent attempts; true for success.
    #[serde(rename = "ends")]
    pub recent_outcomes: VecDeque<bool>,
    /// When it was registered or, later, last marked as lost; in milliseconds since 1970 by the cluster clock.
    pub since: u64,
    /// Resources of the attempts that may be running on it.
    pub used: Resources,
    /// Numbers of the attempts that may be running on it.
    #[serde(rename = "sends")]
    pub attempts: BTreeSet<u64>,
}

/// A lease on a singleton role, such as scheduling for a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds the lease; empty for none.
    pub holder: String,
    /// Unique for each grant of any lease. It fences former holders: their proposals are rejected.
    pub epoch: u64,
}

/// A node that is or was a member of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeMember {
    /// Zone that it is in.
    pub zone: String,
    /// HTTP address.
    pub http: String,
    /// Whether the node is alive; one that is gone is remembered for a while.
    pub alive: bool,
}

/// A replica. It is identified by its address together with its disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Whether it is a voter; otherwise it is a standby.
    pub voter: bool,
    /// Random identity of its data folder, generated when the folder was created; 0 only until the initial members are
    /// agreed on.
    pub disk: u64,
    /// Zone that it is in.
    pub zone: String,
    /// Whether it may become a voter only if all members are standby-only.
    #[serde(default)]
    pub standby_only: bool,
}
