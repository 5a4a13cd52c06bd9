//! Simulated processes, each with its part, machine, clocks and disk.

use super::link::Link;
use crate::simulator::disk::SimDisk;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Msg, StateMachine as _};
use landingdrift::settings::Settings;
use landingdrift::wire::WIRE_VERSION;
use landingdrift::worker_proxy::WorkerProxy;
use std::collections::BTreeMap;

/// The part that a process runs; the option is none while the process is down.
pub(in crate::simulator) enum Part {
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
    pub part: Part,
    pub address: String,
    pub zone: usize,
    pub machine: Machine,
    /// Incremented at each start and end; actions for an earlier incarnation are dropped.
    pub incarnation: u64,
    pub is_frozen: bool,
    /// It is lost permanently.
    pub is_gone: bool,
    /// Messages that arrived while it was frozen.
    pub inbox: Vec<Msg>,
    /// The error of its wall clock, in milliseconds.
    pub wall_offset_ms: i64,
    /// The factor on the latencies of its messages; 1 without a fault.
    pub slowness: u64,
    /// The time of its monotonic clock at the beginning of the day, in milliseconds.
    pub steady_offset_ms: u64,
    /// The version of the configuration that was last recorded as in force while it was ready.
    pub config_version: u64,
    /// Messages from and to it may be delayed, duplicated, reordered or lost.
    pub is_flaky: bool,
    /// The wire version that its build speaks.
    pub wire_version: u16,
    /// After a loss of data, the log index that the replica has to reach again before it counts as available.
    pub recovery_index: u64,
    /// The sums of its ended incarnations' counters, by role and name.
    pub counters: BTreeMap<String, u64>,
}

impl Process {
    pub fn new(
        part: Part,
        address: String,
        zone: usize,
        machine: Machine,
        steady_offset_ms: u64,
    ) -> Self {
        Self {
            part,
            address,
            zone,
            machine,
            incarnation: 0,
            is_frozen: false,
            is_gone: false,
            inbox: Vec::new(),
            wall_offset_ms: 0,
            slowness: 1,
            steady_offset_ms,
            config_version: 0,
            is_flaky: false,
            wire_version: WIRE_VERSION,
            recovery_index: 0,
            counters: BTreeMap::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        match &self.part {
            Part::Replica { replica, .. } => replica.is_some(),
            Part::Node(node) => node.is_some(),
            Part::WorkerProxy(proxy) => proxy.is_some(),
        }
    }

    /// Whether it is up and not frozen.
    pub fn is_awake(&self) -> bool {
        self.is_up() && !self.is_frozen && !self.is_gone
    }

    /// The running replica, if it is one.
    pub fn replica(&self) -> Option<&Replica> {
        match &self.part {
            Part::Replica { replica, .. } => replica.as_deref(),
            Part::Node(_) | Part::WorkerProxy(_) => None,
        }
    }

    /// The running node, if it is one.
    pub fn node(&self) -> Option<&Node> {
        match &self.part {
            Part::Node(node) => node.as_deref(),
            Part::Replica { .. } | Part::WorkerProxy(_) => None,
        }
    }

    /// The disk, if it is a replica; it exists also while the process is down.
    pub fn disk_mut(&mut self) -> Option<&mut SimDisk> {
        match &mut self.part {
            Part::Replica { disk, .. } => Some(disk),
            Part::Node(_) | Part::WorkerProxy(_) => None,
        }
    }

    /// Whether it is a node, up or down.
    pub fn is_node(&self) -> bool {
        matches!(self.part, Part::Node(_))
    }

    /// Whether it is a replica, up or down.
    pub fn is_replica(&self) -> bool {
        matches!(self.part, Part::Replica { .. })
    }

    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.machine.link.reset();
        self.is_frozen = false;
        self.inbox.clear();
    }

    /// Adds the counters of the running part to the sums of earlier incarnations.
    pub fn accumulate_counters(&mut self) {
        let (role, counters) = match &self.part {
            Part::Replica { replica, .. } => {
                ("core", replica.as_ref().map(|replica| replica.counters()))
            }
            Part::Node(node) => ("node", node.as_ref().map(|node| node.counters())),
            Part::WorkerProxy(proxy) => ("proxy", proxy.as_ref().map(|proxy| proxy.counters())),
        };
        for (name, value) in counters.unwrap_or_default() {
            let key = format!("{role}_{name}");
            *self.counters.entry(key).or_default() += value;
        }
    }
}
