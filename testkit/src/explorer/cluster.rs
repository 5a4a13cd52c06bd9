//! A few machines with their disks and the messages between them, under the explorer's control.

use super::observations::{Invariant, Observations};
use super::planted_bug::{distort, PlantedBug};
use crate::simulator::disk::SimDisk;
use landingdrift::consensus::Replica;
use landingdrift::sans_io::{Effect, Msg, Now, StateMachine, WriteBatch};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::wire::Body;

/// The address of all clients.
pub const CLIENT: &str = "client";

/// The time of day when a walk begins, in milliseconds since 1970.
const EPOCH: u64 = 1_700_000_000_000;

/// When the whole cluster starts for the first time, in milliseconds of virtual time.
const FIRST_START: u64 = 1000;
/// How long a machine may be unreachable before another replaces it, in milliseconds; short, to keep walks short.
const REPLACE_MS: u64 = 3000;
/// A machine that joins later is given the addresses of this many others.
const SEED_ADDRESSES: usize = 3;
/// Messages take 1 ms to this many, so that some overtake others.
const MAX_MESSAGE_DELAY_MS: u64 = 3;
/// Knuth's multiplier of a linear congruential generator.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Spreads small seeds over the generator's states.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9;

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
    /// Since when it has been up and awake, in milliseconds of virtual time.
    pub up_since: u64,
    /// When its process started: its steady clock counts from there.
    pub started_at: u64,
    /// How far that clock is ahead, in milliseconds.
    pub clock_ahead: u64,
    inbox: Vec<Msg>,
}

/// A message under way.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub from: String,
    pub to: String,
    pub body: Body,
    /// When it arrives, in milliseconds of virtual time.
    pub due: u64,
}

/// The machines, the messages under way, and what was observed of them.
#[derive(Clone)]
pub struct Cluster {
    /// Milliseconds of virtual time.
    pub now: u64,
    pub machines: Vec<Machine>,
    pub network: Vec<InFlight>,
    pub observations: Observations,
    pub settings: Settings,
    pub planted_bug: Option<PlantedBug>,
    /// Writes are confirmed at once; else by [`Cluster::sync`].
    pub instant_disks: bool,
    /// Log lines of the machines, if they are kept.
    pub log: Option<Vec<String>>,
    pub(super) last_request: u64,
    random_state: u64,
}

impl Cluster {
    /// Founders in zones of their own, all started; `voters` is the wanted number.
    pub fn new(founders: usize, voters: u32, seed: u64) -> Self {
        let addresses: Vec<String> = (0..founders).map(address).collect();
        let bounds = Bounds {
            replace_ms: REPLACE_MS,
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
            observations: Observations::default(),
            settings,
            planted_bug: None,
            instant_disks: true,
            log: None,
            last_request: 1,
            random_state: seed.wrapping_mul(SEED_MULTIPLIER) | 1,
        };
        for (machine_index, address) in addresses.into_iter().enumerate() {
            cluster.add(address, format!("z{machine_index}"));
        }
        cluster
    }

    /// The next pseudo-random number: an odd number that no disk or message had before, in practice.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_mul(LCG_MULTIPLIER) + 2;
        self.random_state >> 8 | 1
    }

    /// A new machine with an empty disk, started.
    pub fn add(&mut self, address: String, zone: String) -> usize {
        let disk_number = self.next_random();
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
        let machine_index = self.machines.len() - 1;
        self.start(machine_index);
        machine_index
    }

    /// A new machine at an address that nobody has had.
    pub fn add_newcomer(&mut self, zone: String) -> usize {
        let address = address(self.machines.len());
        self.add(address, zone)
    }

    fn settings_for(&self, machine_index: usize) -> Settings {
        let machine = &self.machines[machine_index];
        let running = self.machines.iter().filter(|other| other.replica.is_some());
        let running_addresses: Vec<String> = running
            .map(|other| other.address.clone())
            .take(SEED_ADDRESSES)
            .collect();
        let first_start = self.now == FIRST_START;
        Settings {
            // A later machine is told of others that are up when it starts.
            seeds: if first_start || running_addresses.is_empty() {
                self.settings.seeds.clone()
            } else {
                running_addresses
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
    pub fn start(&mut self, machine_index: usize) {
        if self.machines[machine_index].replica.is_some() || self.machines[machine_index].gone {
            return;
        }
        let settings = self.settings_for(machine_index);
        self.machines[machine_index].started_at = self.now;
        let seed = self.next_random();
        let loaded = self.machines[machine_index].disk.load();
        let now = self.clock(machine_index);
        match Replica::new(settings, loaded, now, seed) {
            Ok(replica) => self.machines[machine_index].replica = Some(Box::new(replica)),
            Err(error) => self.observations.violated(Invariant::Progress, error),
        }
        self.machines[machine_index].frozen = false;
        self.machines[machine_index].up_since = self.now;
    }

    fn clock(&self, machine_index: usize) -> Now {
        let machine = &self.machines[machine_index];
        let mono = 1 + self.now - machine.started_at + machine.clock_ahead;
        Now {
            mono,
            wall: EPOCH + self.now,
        }
    }

    /// Ends a process. After a loss of power only the first `persisted_writes` of the unconfirmed writes are on the
    /// disk.
    pub fn crash(&mut self, machine_index: usize, persisted_writes: usize) {
        let machine = &mut self.machines[machine_index];
        machine.replica = None;
        machine.inbox.clear();
        machine.disk.drop_pending(persisted_writes);
        if self.planted_bug == Some(PlantedBug::ForgetsSilently) {
            machine.disk.keep_only_hard_state();
        }
        let address = machine.address.clone();
        self.network
            .retain(|m| m.from != address && m.to != address);
    }

    /// The machine loses its disk; it starts again with an empty one.
    pub fn wipe(&mut self, machine_index: usize) {
        self.crash(machine_index, 0);
        let disk_number = self.next_random();
        self.machines[machine_index].disk = SimDisk::new(disk_number);
        self.machines[machine_index].disk_number = disk_number;
    }

    /// The machine is gone for good.
    pub fn remove(&mut self, machine_index: usize) {
        self.crash(machine_index, 0);
        self.machines[machine_index].gone = true;
    }

    /// Halts a machine: what reaches it waits.
    pub fn freeze(&mut self, machine_index: usize) {
        self.machines[machine_index].frozen = true;
    }

    /// Lets a frozen machine go on, with all that reached it meanwhile.
    pub fn thaw(&mut self, machine_index: usize) {
        self.machines[machine_index].frozen = false;
        self.machines[machine_index].up_since = self.now;
        for msg in std::mem::take(&mut self.machines[machine_index].inbox) {
            self.step(machine_index, msg);
        }
    }

    /// One step of a machine.
    pub fn step(&mut self, machine_index: usize, msg: Msg) {
        if self.machines[machine_index].frozen {
            self.machines[machine_index].inbox.push(msg);
            return;
        }
        let now = self.clock(machine_index);
        let Some(replica) = self.machines[machine_index].replica.as_mut() else {
            return;
        };
        let effects = replica.step(now, msg);
        for effect in effects {
            self.apply_effect(machine_index, effect);
        }
        self.observe(machine_index);
    }

    fn apply_effect(&mut self, machine_index: usize, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.post(machine_index, to, body),
            Effect::Persist(batch) => self.write(machine_index, batch),
            Effect::Exit => self.crash(machine_index, usize::MAX),
            Effect::Log(text) => self.log_line(machine_index, &text),
            Effect::Respond(..) => {}
        }
    }

    fn log_line(&mut self, machine_index: usize, text: &str) {
        if let Some(log) = &mut self.log {
            let address = &self.machines[machine_index].address;
            log.push(format!("{:>6} {address} {text}", self.now));
        }
    }

    fn post(&mut self, machine_index: usize, to: String, body: Body) {
        let from = self.machines[machine_index].address.clone();
        let body = self
            .planted_bug
            .map_or(body.clone(), |bug| distort(bug, body));
        if to == CLIENT {
            self.observe_response(&body);
            return;
        }
        let delay = 1 + self.next_random() % MAX_MESSAGE_DELAY_MS;
        let due = self.now + delay;
        self.network.push(InFlight {
            from,
            to,
            body,
            due,
        });
    }

    fn write(&mut self, machine_index: usize, batch: WriteBatch) {
        let write_id = batch.write_id;
        self.machines[machine_index].disk.pending.push_back(batch);
        if self.planted_bug == Some(PlantedBug::ConfirmsUnsaved) {
            self.step(machine_index, Msg::Persisted(write_id));
        } else if self.instant_disks {
            self.machines[machine_index].disk.confirm(write_id);
            self.step(machine_index, Msg::Persisted(write_id));
        }
    }

    /// The disk confirms all writes.
    pub fn sync(&mut self, machine_index: usize) {
        let write_id = self.machines[machine_index]
            .disk
            .pending
            .back()
            .map(|batch| batch.write_id);
        let Some(write_id) = write_id.filter(|_| self.machines[machine_index].replica.is_some())
        else {
            return;
        };
        if self.planted_bug != Some(PlantedBug::ConfirmsUnsaved) {
            self.machines[machine_index].disk.confirm(write_id);
            self.step(machine_index, Msg::Persisted(write_id));
        }
    }

    /// Delivers a message to its machine, if that is up.
    pub fn deliver(&mut self, message: InFlight) {
        let to = self
            .machines
            .iter()
            .position(|machine| machine.address == message.to && machine.replica.is_some());
        if let Some(machine_index) = to {
            self.step(machine_index, Msg::Received(message.from, message.body));
        }
    }
}

fn address(machine_index: usize) -> String {
    format!("10.0.0.{}:7000", machine_index + 1)
}
