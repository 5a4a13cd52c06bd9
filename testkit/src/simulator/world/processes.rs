//! The processes of the system: replicas and nodes, how they start, are killed and take messages.

use super::observe::mark;
use super::{Happening, World, TICK};
use crate::history::Event;
use crate::simulator::disk::Condition;
use crate::simulator::disk::SimDisk;
use crate::simulator::EPOCH;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Part};
use landingdrift::settings::Settings;
use landingdrift::wire::WIRE_VERSION;
use std::collections::BTreeMap;

/// The part that a process runs; none while it is down.
pub(in crate::simulator) enum Kind {
    Replica(Option<Box<Replica>>, Box<SimDisk>),
    Node(Option<Box<Node>>),
}

/// A simulated process, with its clocks and its disk.
pub(in crate::simulator) struct Proc {
    pub kind: Kind,
    pub addr: String,
    pub zone: usize,
    pub life: u64,
    pub frozen: bool,
    pub gone: bool,
    pub inbox: Vec<Msg>,
    pub wall_off: i64,
    pub slow: u64,
    pub mono_off: u64,
    pub version: u64,
    /// What it sends may be late, doubled, out of order or lost.
    pub flaky: bool,
    /// The wire version that its build speaks.
    pub wire: u16,
    /// Its disk has to come to this place again before it counts as whole.
    pub owes: u64,
    pub counters: BTreeMap<String, u64>,
}

impl Proc {
    /// Whether it runs.
    pub fn up(&self) -> bool {
        match &self.kind {
            Kind::Replica(p, _) => p.is_some(),
            Kind::Node(p) => p.is_some(),
        }
    }
    /// Begins a new life, of a process that runs or of one that is dead: nothing that was on its way to the last one counts.
    fn begin_life(&mut self) {
        self.life += 1;
        self.frozen = false;
        self.inbox.clear();
    }
    /// Whether it is a replica, and not a node.
    pub fn is_core(&self) -> bool {
        matches!(self.kind, Kind::Replica(..))
    }
}

/// How often a write that a disk did not take is tried again, in milliseconds.
const DISK_RETRY: u64 = 200;

impl World {
    pub(in crate::simulator) fn node_http(&self) -> Vec<String> {
        self.procs
            .iter()
            .filter(|p| !p.is_core() && !p.gone)
            .map(|p| p.addr.clone())
            .collect()
    }

    pub(super) fn settings_of(&self, addr: &str, zone: usize, replica: bool) -> Settings {
        Settings {
            listen: addr.into(),
            http: addr.into(),
            zone: format!("z{zone}"),
            data: if replica { "d".into() } else { String::new() },
            ..self.settings.clone()
        }
    }

    pub(in crate::simulator) fn add_core(&mut self, zone: usize, addr: String) {
        let disk = SimDisk::new(self.rng.number() | 1);
        self.add(Kind::Replica(None, Box::new(disk)), zone, addr);
    }

    pub(in crate::simulator) fn add_node(&mut self, zone: usize, addr: String) {
        self.add(Kind::Node(None), zone, addr);
    }

    fn add(&mut self, kind: Kind, zone: usize, addr: String) {
        let i = self.procs.len();
        self.by_addr.insert(addr.clone(), i);
        let mono_off = self.rng.below(1 << 40);
        self.procs.push(Proc {
            kind,
            addr,
            zone,
            life: 0,
            frozen: false,
            gone: false,
            inbox: Vec::new(),
            wall_off: 0,
            slow: 1,
            mono_off,
            version: 0,
            flaky: false,
            wire: WIRE_VERSION,
            owes: 0,
            counters: BTreeMap::new(),
        });
        self.start(i);
    }

    pub(super) fn now(&self, i: usize) -> Now {
        let p = &self.procs[i];
        Now {
            mono: p.mono_off + self.t + 1,
            wall: (EPOCH + self.t).saturating_add_signed(p.wall_off),
        }
    }

    /// Starts a process that is down.
    pub(in crate::simulator) fn start(&mut self, i: usize) {
        if self.procs[i].up() || self.procs[i].gone {
            return;
        }
        self.procs[i].mono_off = self.rng.below(1 << 40);
        let seed = self.rng.number();
        let now = self.now(i);
        let settings = self.settings_of(
            &self.procs[i].addr.clone(),
            self.procs[i].zone,
            self.procs[i].is_core(),
        );
        let p = &mut self.procs[i];
        p.begin_life();
        match &mut p.kind {
            Kind::Replica(part, disk) => {
                *part = Some(Box::new(
                    Replica::new(settings, disk.load(), now, seed).expect("a sound disk loads"),
                ))
            }
            Kind::Node(part) => *part = Some(Box::new(Node::new(settings, now, seed))),
        }
        let (life, jitter) = (p.life, self.rng.below(TICK));
        self.at(self.t + 1 + jitter, Happening::Tick(i, life));
    }

    /// Kills a process where it stands.
    pub(in crate::simulator) fn kill(&mut self, i: usize) {
        if !self.procs[i].up() {
            return;
        }
        let arrived = self.rng.below(3) as usize;
        self.keep_counters(i);
        let p = &mut self.procs[i];
        p.begin_life();
        match &mut p.kind {
            Kind::Replica(part, disk) => {
                *part = None;
                disk.crash(arrived);
            }
            Kind::Node(part) => {
                *part = None;
                let node = p.addr.clone();
                self.note(Event::NodeDown { node });
            }
        }
    }

    pub(super) fn keep_counters(&mut self, i: usize) {
        let p = &mut self.procs[i];
        let now = match &p.kind {
            Kind::Replica(Some(c), _) => c.counters(),
            Kind::Node(Some(n)) => n.counters(),
            _ => Vec::new(),
        };
        let role = if p.is_core() { "core" } else { "node" };
        now.into_iter()
            .for_each(|(k, v)| *p.counters.entry(format!("{role}_{k}")).or_default() += v);
    }

    /// A replica's disk is not whole until it has come to what was confirmed.
    pub(in crate::simulator) fn owe(&mut self, i: usize) {
        self.procs[i].owes = self.committed;
    }

    pub(in crate::simulator) fn leader(&self) -> Option<usize> {
        let leads = |p: &Proc| {
            if let Kind::Replica(Some(c), _) = &p.kind {
                c.leads().then(|| c.term())
            } else {
                None
            }
        };
        (0..self.procs.len())
            .filter(|i| !self.procs[*i].frozen)
            .filter_map(|i| leads(&self.procs[i]).map(|t| (t, i)))
            .max()
            .map(|(_, i)| i)
    }

    /// A message reaches a process, or waits while it stands still.
    pub(in crate::simulator) fn reach(&mut self, i: usize, msg: Msg) {
        let p = &mut self.procs[i];
        if p.frozen {
            if !matches!(msg, Msg::Tick) {
                p.inbox.push(msg);
            }
            return;
        }
        let now = self.now(i);
        let p = &mut self.procs[i];
        let effects = match &mut p.kind {
            Kind::Replica(Some(c), _) => c.step(now, msg),
            Kind::Node(Some(n)) => n.step(now, msg),
            _ => Vec::new(),
        };
        for e in effects {
            self.effect(i, e);
        }
        let p = &mut self.procs[i];
        if let Kind::Node(Some(n)) = &p.kind {
            let version = n.state().version;
            if version != p.version && n.is_ready(now) {
                p.version = version;
                let (node, by) = (p.addr.clone(), mark(n.state()));
                self.note(Event::NodeVersion {
                    node,
                    version,
                    by,
                    ready: true,
                });
            }
        }
    }

    /// A disk that takes nothing is tried again.
    pub(super) fn not_saved(&mut self, i: usize, life: u64, write_id: u64) {
        if let Kind::Replica(_, disk) = &self.procs[i].kind {
            if disk.condition == Condition::Full {
                self.reach(i, Msg::DiskFailed("no space left".into()));
            }
        }
        self.at(self.t + DISK_RETRY, Happening::Saved(i, life, write_id));
    }

    fn effect(&mut self, i: usize, e: Effect) {
        match e {
            Effect::Send(to, body) => self.carry(i, &to, &body),
            Effect::Persist(save) => {
                let (t, life, jitter) = (self.t, self.procs[i].life, self.rng.below(3));
                if let Kind::Replica(_, disk) = &mut self.procs[i].kind {
                    let write_id = save.write_id;
                    disk.pending.push_back(save);
                    let at = t + disk.delay + jitter;
                    self.at(at, Happening::Saved(i, life, write_id));
                }
            }
            Effect::Answer(call, v) => {
                if let Some((to, n)) = self.calls.remove(&call) {
                    if self.answers_lost > 0 && self.rng.below(100) < self.answers_lost {
                        return;
                    }
                    let at = self.t + self.lag(i);
                    self.at(at, Happening::Answer { to, call: n, v });
                }
            }
            Effect::Log(text) => {
                let addr = self.procs[i].addr.clone();
                self.outln(format!("{addr} {text}"));
            }
            Effect::Exit => {
                // An orderly end: what was on its way to the disk arrives.
                let p = &mut self.procs[i];
                if let Kind::Replica(_, disk) = &mut p.kind {
                    disk.crash(usize::MAX);
                }
                self.kill(i);
            }
        }
    }
}
