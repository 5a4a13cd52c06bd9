//! Simulated processes, each with its role, machine, clocks and disk.

use super::link::Link;
use crate::simulator::disk::SimDisk;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Msg, StateMachine as _};
use landingdrift::settings::Settings;
use landingdrift::wire::WIRE_VERSION;
use landingdrift::worker_proxy::WorkerProxy;
use std::collections::BTreeMap;

/// The role of a process, with its running state machine; none while the process is down.
pub(in crate::simulator) enum ProcessRole {
    Replica {
        replica: Option<Box<Replica>>,
        disk: Box<SimDisk>,
    },
    Node(Option<Box<Node>>),
    WorkerProxy(Option<Box<WorkerProxy>>),
}

/// The machine that a process runs on.
#[derive(Clone, Debug)]
pub(in crate::simulator) struct Machine {
    /// The share of a processor, in thousandths of a core.
    pub share: u32,
    pub link: Link,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            share: Settings::default().share,
            link: Link::default(),
        }
    }
}

/// A simulated process, with its clocks and its disk.
pub(in crate::simulator) struct Process {
    pub role: ProcessRole,
    pub address: String,
    pub zone: usize,
    pub machine: Machine,
    /// Incremented at each start and end; actions for an earlier incarnation are dropped.
    pub incarnation: u64,
    pub is_frozen: bool,
    /// The process is lost permanently and never starts again.
    pub is_removed: bool,
    /// Messages that arrived while the process was frozen.
    pub inbox: Vec<Msg>,
    /// The error of the process's wall clock, in milliseconds.
    pub wall_offset_ms: i64,
    /// How slow the process's link is; 1 without a fault. Scales the random latency of sent messages, and adds a fixed
    /// latency per unit above 1 to sent and received ones.
    pub slowness: u64,
    /// The offset of the process's monotonic clock from the time of the day, in milliseconds; sampled at each start.
    pub mono_offset_ms: u64,
    /// The version of the configuration that was last recorded as in force while the process was a ready node.
    pub config_version: u64,
    /// Messages from and to the process may be delayed, duplicated, reordered or lost.
    pub is_flaky: bool,
    /// The wire version that the process's build speaks.
    pub wire_version: u16,
    /// After a loss of data, the log index that the replica has to apply before it counts as available.
    pub recovery_index: u64,
    /// The sums of the counters of ended incarnations, by role and name.
    pub counters: BTreeMap<String, u64>,
}

impl Process {
    pub fn new(
        role: ProcessRole,
        address: String,
        zone: usize,
        machine: Machine,
        mono_offset_ms: u64,
    ) -> Self {
        Self {
            role,
            address,
            zone,
            machine,
            incarnation: 0,
            is_frozen: false,
            is_removed: false,
            inbox: Vec::new(),
            wall_offset_ms: 0,
            slowness: 1,
            mono_offset_ms,
            config_version: 0,
            is_flaky: false,
            wire_version: WIRE_VERSION,
            recovery_index: 0,
            counters: BTreeMap::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        match &self.role {
            ProcessRole::Replica { replica, .. } => replica.is_some(),
            ProcessRole::Node(node) => node.is_some(),
            ProcessRole::WorkerProxy(proxy) => proxy.is_some(),
        }
    }

    /// Whether the process is up and not frozen.
    pub fn is_responsive(&self) -> bool {
        self.is_up() && !self.is_frozen && !self.is_removed
    }

    /// The replica that the process runs, if any.
    pub fn replica(&self) -> Option<&Replica> {
        match &self.role {
            ProcessRole::Replica { replica, .. } => replica.as_deref(),
            ProcessRole::Node(_) | ProcessRole::WorkerProxy(_) => None,
        }
    }

    /// The node that the process runs, if any.
    pub fn node(&self) -> Option<&Node> {
        match &self.role {
            ProcessRole::Node(node) => node.as_deref(),
            ProcessRole::Replica { .. } | ProcessRole::WorkerProxy(_) => None,
        }
    }

    /// The disk of a replica, up or down; none for other processes.
    pub fn disk_mut(&mut self) -> Option<&mut SimDisk> {
        match &mut self.role {
            ProcessRole::Replica { disk, .. } => Some(disk),
            ProcessRole::Node(_) | ProcessRole::WorkerProxy(_) => None,
        }
    }

    /// Whether the process is a node, up or down.
    pub fn is_node(&self) -> bool {
        matches!(self.role, ProcessRole::Node(_))
    }

    /// Whether the process is a replica, up or down.
    pub fn is_replica(&self) -> bool {
        matches!(self.role, ProcessRole::Replica { .. })
    }

    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.machine.link.reset();
        self.is_frozen = false;
        self.inbox.clear();
    }

    /// Adds the counters of the current incarnation to the sums of ended ones.
    pub fn accumulate_counters(&mut self) {
        let (role_name, counters) = match &self.role {
            ProcessRole::Replica { replica, .. } => {
                ("core", replica.as_ref().map(|replica| replica.counters()))
            }
            ProcessRole::Node(node) => ("node", node.as_ref().map(|node| node.counters())),
            ProcessRole::WorkerProxy(proxy) => {
                ("proxy", proxy.as_ref().map(|proxy| proxy.counters()))
            }
        };
        for (name, value) in counters.unwrap_or_default() {
            let key = format!("{role_name}_{name}");
            *self.counters.entry(key).or_default() += value;
        }
    }
}
