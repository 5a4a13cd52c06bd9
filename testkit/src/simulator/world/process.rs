//! A simulated process: the part that it runs, its machine, its clocks and its disk.

use super::link::Link;
use crate::simulator::disk::SimDisk;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Msg, Part as _};
use landingdrift::settings::Settings;
use landingdrift::wire::WIRE_VERSION;
use landingdrift::worker_proxy::WorkerProxy;
use std::collections::BTreeMap;

/// The part that a process runs; none while it is down.
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
    /// Counts its starts and ends: nothing that was on its way to an earlier incarnation counts.
    pub incarnation: u64,
    pub is_frozen: bool,
    /// It never starts again.
    pub is_gone: bool,
    /// What reached it while it was frozen.
    pub inbox: Vec<Msg>,
    /// How far its clock of the day is off, in milliseconds.
    pub wall_offset_ms: i64,
    /// How many times longer its messages take.
    pub slowness: u64,
    /// What its steady clock showed at the beginning of the day, in milliseconds.
    pub steady_offset_ms: u64,
    /// The version of the configuration that it had in force when it was last ready.
    pub config_version: u64,
    /// What it sends may be late, doubled, out of order or lost.
    pub is_flaky: bool,
    /// The wire version that its build speaks.
    pub wire_version: u16,
    /// Its disk has to get to this log index again before it counts as whole.
    pub has_lost_up_to: u64,
    /// The counters of all its incarnations that have ended.
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
            has_lost_up_to: 0,
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

    /// Whether it runs and is neither frozen nor gone.
    pub fn is_awake(&self) -> bool {
        self.is_up() && !self.is_frozen && !self.is_gone
    }

    /// The replica that runs in it.
    pub fn replica(&self) -> Option<&Replica> {
        match &self.part {
            Part::Replica { replica, .. } => replica.as_deref(),
            Part::Node(_) | Part::WorkerProxy(_) => None,
        }
    }

    /// The node that runs in it.
    pub fn node(&self) -> Option<&Node> {
        match &self.part {
            Part::Node(node) => node.as_deref(),
            Part::Replica { .. } | Part::WorkerProxy(_) => None,
        }
    }

    /// The disk of a replica.
    pub fn disk_mut(&mut self) -> Option<&mut SimDisk> {
        match &mut self.part {
            Part::Replica { disk, .. } => Some(disk),
            Part::Node(_) | Part::WorkerProxy(_) => None,
        }
    }

    /// Whether it is for a node.
    pub fn is_node(&self) -> bool {
        matches!(self.part, Part::Node(_))
    }

    /// Whether it is for a replica.
    pub fn is_replica(&self) -> bool {
        matches!(self.part, Part::Replica { .. })
    }

    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.machine.link.reset();
        self.is_frozen = false;
        self.inbox.clear();
    }

    /// Adds the counters of the part that runs to those of earlier incarnations.
    pub fn keep_counters(&mut self) {
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
