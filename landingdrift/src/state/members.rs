//! Workers, nodes, replicas and leases, as the cluster state lists them.

use super::{Resources, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// A worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// What it says of itself.
    #[serde(rename = "facts")]
    pub info: WorkerInfo,
    /// Its heartbeats are missing.
    pub lost: bool,
    /// Successes needed before it is trusted again; 0 when trusted.
    pub probation: u32,
    /// Its last ends, true for successes.
    pub ends: VecDeque<bool>,
    /// Since when it is known, or lost, in milliseconds since 1970 by the cluster clock.
    pub since: u64,
    /// The resources of attempts that may be running.
    pub used: Resources,
    /// The numbers of attempts that may be running.
    #[serde(rename = "sends")]
    pub attempts: BTreeSet<u64>,
}

/// A lease on a singleton role, such as scheduling for a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The node that holds it; empty for none.
    pub holder: String,
    /// Differs for each grant of any lease. What a former holder proposes is rejected by it.
    pub epoch: u64,
}

/// A node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeMember {
    /// The zone it stands in.
    pub zone: String,
    /// Its address for HTTP.
    pub http: String,
    /// Whether it follows the log.
    pub alive: bool,
}

/// A replica. Its identity is its address together with its disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Whether it votes. Others stand by.
    pub voter: bool,
    /// Drawn at random when the data folder was made; 0 only before the first members are agreed on.
    pub disk: u64,
    /// The zone it stands in.
    pub zone: String,
    /// It does not vote as long as others can.
    #[serde(default)]
    pub standby_only: bool,
}
