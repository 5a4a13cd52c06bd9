//! A few machines with their disks and the messages between them, under the checker's control.

use super::ledger::{Invariant, Ledger};
use super::planted_bug::{distort, PlantedBug};
use crate::simulator::disk::SimDisk;
use landingdrift::consensus::Replica;
use landingdrift::sans_io::{Effect, Msg, Now, Part, WriteBatch};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::state::ReplicaMember;
use landingdrift::wire::{Body, Entry};
use std::collections::BTreeMap;

/// Where answers to clients go.
pub const CLIENT: &str = "client";

/// The time of day when a walk begins, in milliseconds since 1970.
const EPOCH: u64 = 1_700_000_000_000;

/// When the whole cluster starts for the first time, in its own time.
const FIRST_START: u64 = 1000;

/// One machine with a disk.
#[derive(Clone)]
pub struct Machine {
    pub address: String,
    pub zone: String,
    pub replica: Option<Box<Replica>>,
    pub disk: SimDisk,
    pub disk_number: u64,
    pub frozen: bool,
    /// It will never come back.
    pub gone: bool,
    /// Since when it has been up and awake.
    pub up_since: u64,
    /// When its process started: its steady clock counts from there.
    pub started_at: u64,
    /// How far that clock is ahead.
    pub clock_ahead: u64,
    inbox: Vec<Msg>,
}

/// A message under way.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub from: String,
    pub to: String,
    pub body: Body,
    pub due: u64,
}

/// The machines, their messages, and what was seen of them.
#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub network: Vec<InFlight>,
    pub ledger: Ledger,
    pub settings: Settings,
    pub planted_bug: Option<PlantedBug>,
    /// Saves are confirmed at once; else by [`Cluster::sync`].
    pub instant_disks: bool,
    /// What the machines write, where that is wanted.
    pub log: Option<Vec<String>>,
    pub(super) next_token: u64,
    next_number: u64,
}

impl Cluster {
    /// Founders in zones of their own, all started; `voters` is the wanted number.
    pub fn new(founders: usize, voters: u32, seed: u64) -> Self {
        let addresses: Vec<String> = (0..founders).map(address).collect();
        let bounds = Bounds {
            replace_ms: 3000,
            ..Bounds::default()
        };
        let settings = Settings {
            seeds: addresses.clone(),
            voters,
            bounds,
            ..Settings::default()
        };
        let mut cluster = Self {
            now: FIRST_START,
            machines: Vec::new(),
            network: Vec::new(),
            ledger: Ledger::default(),
            settings,
            planted_bug: None,
            instant_disks: true,
            log: None,
            next_token: 1,
            next_number: seed.wrapping_mul(0x9e37_79b9) | 1,
        };
        for (i, address) in addresses.into_iter().enumerate() {
            cluster.add(address, format!("z{i}"));
        }
        cluster
    }

    fn number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_mul(6_364_136_223_846_793_005) + 2;
        self.next_number >> 8 | 1
    }

    /// A new machine with an empty disk, started.
    pub fn add(&mut self, address: String, zone: String) -> usize {
        let disk_number = self.number();
        self.machines.push(Machine {
            address,
            zone,
            replica: None,
            disk: SimDisk::new(disk_number),
            disk_number,
            frozen: false,
            gone: false,
            up_since: 0,
            started_at: 0,
            clock_ahead: 0,
            inbox: Vec::new(),
        });
        let i = self.machines.len() - 1;
        self.start(i);
        i
    }

    /// A new machine at an address that nobody has had.
    pub fn add_newcomer(&mut self, zone: String) -> usize {
        let address = address(self.machines.len());
        self.add(address, zone)
    }

    fn settings_of(&self, i: usize) -> Settings {
        let machine = &self.machines[i];
        let others = self.machines.iter().filter(|r| r.replica.is_some());
        let listed: Vec<String> = others.map(|r| r.address.clone()).take(3).collect();
        let first_start = self.now == FIRST_START;
        Settings {
            // A later machine is told of others that are up when it starts.
            seeds: if first_start || listed.is_empty() {
                self.settings.seeds.clone()
            } else {
                listed
            },
            listen: machine.address.clone(),
            http: machine.address.clone(),
            zone: machine.zone.clone(),
            data: "d".into(),
            // Only the first start of the whole cluster founds it.
            join_only: !first_start,
            ..self.settings.clone()
        }
    }

    /// Starts a machine from its disk.
    pub fn start(&mut self, i: usize) {
        if self.machines[i].replica.is_some() || self.machines[i].gone {
            return;
        }
        let settings = self.settings_of(i);
        self.machines[i].started_at = self.now;
        let seed = self.number();
        let loaded = self.machines[i].disk.load();
        let now = self.clock(i);
        match Replica::new(settings, loaded, now, seed) {
            Ok(replica) => self.machines[i].replica = Some(Box::new(replica)),
            Err(why) => self.ledger.broken(Invariant::Progress, why),
        }
        self.machines[i].frozen = false;
        self.machines[i].up_since = self.now;
    }

    fn clock(&self, i: usize) -> Now {
        let machine = &self.machines[i];
        let mono = 1 + self.now - machine.started_at + machine.clock_ahead;
        Now {
            mono,
            wall: EPOCH + self.now,
        }
    }

    /// Ends a process. After a loss of power only the first `arrived` of the unconfirmed saves are on the disk.
    pub fn crash(&mut self, i: usize, arrived: usize) {
        let machine = &mut self.machines[i];
        machine.replica = None;
        machine.inbox.clear();
        machine.disk.crash(arrived);
        if self.planted_bug == Some(PlantedBug::ForgetsSilently) {
            machine.disk.forget_log();
        }
        let address = machine.address.clone();
        self.network
            .retain(|m| m.from != address && m.to != address);
    }

    /// The machine loses its disk; it starts again with an empty one.
    pub fn wipe(&mut self, i: usize) {
        self.crash(i, 0);
        let disk_number = self.number();
        self.machines[i].disk = SimDisk::new(disk_number);
        self.machines[i].disk_number = disk_number;
    }

    /// The machine is gone for good.
    pub fn remove(&mut self, i: usize) {
        self.crash(i, 0);
        self.machines[i].gone = true;
    }

    /// Stops a machine, or lets it go on with all that reached it meanwhile.
    pub fn freeze(&mut self, i: usize, frozen: bool) {
        self.machines[i].frozen = frozen;
        if frozen {
            return;
        }
        self.machines[i].up_since = self.now;
        for msg in std::mem::take(&mut self.machines[i].inbox) {
            self.step(i, msg);
        }
    }

    /// One step of a machine.
    pub fn step(&mut self, i: usize, msg: Msg) {
        if self.machines[i].frozen {
            self.machines[i].inbox.push(msg);
            return;
        }
        let now = self.clock(i);
        let Some(replica) = self.machines[i].replica.as_mut() else {
            return;
        };
        let effects = replica.step(now, msg);
        for effect in effects {
            self.carry_out(i, effect);
        }
        self.observe(i);
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.post(i, to, body),
            Effect::Persist(save) => self.save(i, save),
            Effect::Exit => self.crash(i, usize::MAX),
            Effect::Log(text) => self.log_line(i, &text),
            Effect::Answer(..) => {}
        }
    }

    fn log_line(&mut self, i: usize, text: &str) {
        if let Some(log) = &mut self.log {
            let address = &self.machines[i].address;
            log.push(format!("{:>6} {address} {text}", self.now));
        }
    }

    fn post(&mut self, i: usize, to: String, body: Body) {
        let from = self.machines[i].address.clone();
        let body = self.planted_bug.map_or(body.clone(), |d| distort(d, body));
        if to == CLIENT {
            self.answer(&body);
            return;
        }
        let delay = 1 + self.number() % 3;
        let due = self.now + delay;
        self.network.push(InFlight {
            from,
            to,
            body,
            due,
        });
    }

    fn save(&mut self, i: usize, save: WriteBatch) {
        let write_id = save.write_id;
        self.machines[i].disk.pending.push_back(save);
        if self.planted_bug == Some(PlantedBug::ConfirmsUnsaved) {
            self.step(i, Msg::Persisted(write_id));
        } else if self.instant_disks {
            self.machines[i].disk.done(write_id);
            self.step(i, Msg::Persisted(write_id));
        }
    }

    /// The disk confirms everything that it was handed.
    pub fn sync(&mut self, i: usize) {
        let write_id = self.machines[i].disk.pending.back().map(|s| s.write_id);
        let Some(write_id) = write_id.filter(|_| self.machines[i].replica.is_some()) else {
            return;
        };
        if self.planted_bug != Some(PlantedBug::ConfirmsUnsaved) {
            self.machines[i].disk.done(write_id);
            self.step(i, Msg::Persisted(write_id));
        }
    }

    /// Delivers a message to its machine, if that is up.
    pub fn deliver(&mut self, message: InFlight) {
        let to = self
            .machines
            .iter()
            .position(|r| r.address == message.to && r.replica.is_some());
        if let Some(i) = to {
            self.step(i, Msg::Wire(message.from, message.body));
        }
    }

    /// An acknowledged entry is on as many disks as may be lost at once, and one more.
    pub(super) fn check_durable(&mut self, index: u64) {
        let term = self.ledger.committed_term(index);
        let holds = |r: &&Machine| {
            let loaded = r.disk.load();
            let covered = loaded.snapshot.is_some_and(|c| c.index >= index);
            let same = |e: &Entry| e.index == index && term.is_none_or(|t| t == e.term);
            covered || loaded.entries.iter().any(same)
        };
        let disks = self.machines.iter().filter(holds).count();
        let needed = self.settings.voters as usize / 2 + 1;
        if disks < needed {
            let what = format!("entry {index} was acknowledged on {disks} disks, not {needed}");
            self.ledger
                .broken(Invariant::AcknowledgedOnEnoughDisks, what);
        }
    }

    fn observe(&mut self, i: usize) {
        let Some(replica) = self.machines[i].replica.as_ref() else {
            return;
        };
        let address = &self.machines[i].address;
        if replica.leads() {
            let life = format!("{address} (disk {})", self.machines[i].disk_number);
            self.ledger.leads(replica.term(), &life);
        }
        let seen_to = self.ledger.committed_to().saturating_sub(8);
        for entry in replica.committed_entries().filter(|e| e.index > seen_to) {
            self.ledger
                .commits(address, entry.index, entry.term, &entry.command);
        }
    }

    /// Compares the states of all machines that have applied the same entries.
    pub fn check_states(&mut self) {
        for machine in &self.machines {
            if let Some(replica) = &machine.replica {
                let state = replica.state();
                self.ledger
                    .state(&machine.address, state.applied_index, &state.pack());
            }
        }
    }

    /// The membership by the machine that knows most.
    pub fn membership(&self) -> BTreeMap<String, ReplicaMember> {
        let replicas = self.machines.iter().filter_map(|r| r.replica.as_ref());
        replicas
            .max_by_key(|c| c.state().applied_index)
            .map(|c| c.state().replicas.clone())
            .unwrap_or_default()
    }

    /// The machine that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let machine = &self.machines[*i];
            machine.replica.as_ref().is_some_and(|c| c.leads()) && !machine.frozen
        };
        (0..self.machines.len())
            .filter(leads)
            .max_by_key(|i| self.machines[*i].replica.as_ref().map_or(0, |c| c.term()))
    }

    /// The members that vote, as indices of the machines whose disks they are; identities that are lost have none.
    pub fn intact_voters(&self) -> (usize, Vec<usize>) {
        let membership = self.membership();
        let voters: Vec<(&String, &ReplicaMember)> =
            membership.iter().filter(|(_, m)| m.voter).collect();
        let intact = voters.iter().filter_map(|(address, member)| {
            self.machines
                .iter()
                .position(|r| r.address == **address && r.disk_number == member.disk && !r.gone)
        });
        (voters.len(), intact.collect())
    }
}

fn address(i: usize) -> String {
    format!("10.0.0.{}:7000", i + 1)
}
