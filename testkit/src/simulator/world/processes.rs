//! The system's processes: addition, start and kill, and the handling of messages and of their effects.

use super::observe::change_id_in_notes;
use super::process::{Machine, Process, ProcessRole};
use super::{Action, World, TICK_MS};
use crate::history::Event;
use crate::simulator::disk::{Condition, SimDisk};
use crate::simulator::EPOCH;
use landingdrift::consensus::Replica;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, StateMachine as _, WriteBatch};
use landingdrift::settings::Settings;
use landingdrift::worker_proxy::WorkerProxy;

/// The interval of retries of writes on a full or stalled disk, in milliseconds.
const WRITE_RETRY_MS: u64 = 200;
/// The exclusive upper bound of the random component of a write's duration, in milliseconds.
const WRITE_JITTER_MS: u64 = 3;
/// The exclusive upper bound of the random number of pending writes that survive the kill of a process.
const SURVIVING_WRITES_BOUND: u64 = 3;
/// The exclusive upper bound of the random start of a monotonic clock, in milliseconds.
const CLOCK_START_BOUND_MS: u64 = 1 << 40;

impl World {
    /// The addresses of all nodes that are not lost permanently, up or down, as the platform lists them.
    pub(in crate::simulator) fn node_addresses(&self) -> Vec<String> {
        let processes = self.processes.iter();
        processes
            .filter(|process| process.is_node() && !process.is_removed)
            .map(|process| process.address.clone())
            .collect()
    }

    /// The settings that a process starts with.
    pub(in crate::simulator) fn settings_for(&self, process: usize) -> Settings {
        let process = &self.processes[process];
        let data = if process.is_replica() { "d" } else { "" };
        Settings {
            listen: process.address.clone(),
            http: process.address.clone(),
            zone: format!("z{}", process.zone),
            data: data.into(),
            share: process.machine.share,
            ..self.settings.clone()
        }
    }

    /// Adds a replica with an empty disk, and starts it.
    pub(in crate::simulator) fn add_replica(&mut self, zone: usize, address: String) {
        // The number of a disk must not be 0.
        let disk = SimDisk::new(self.rng.next_u64() | 1);
        let role = ProcessRole::Replica {
            replica: None,
            disk: Box::new(disk),
        };
        self.add(role, zone, address, Machine::default());
    }

    /// Adds a node on a machine, and starts it.
    pub(in crate::simulator) fn add_node(
        &mut self,
        zone: usize,
        address: String,
        machine: Machine,
    ) {
        self.add(ProcessRole::Node(None), zone, address, machine);
    }

    /// Adds the proxy of a worker, and starts it.
    pub(in crate::simulator) fn add_worker_proxy(&mut self, zone: usize, address: String) {
        self.add(
            ProcessRole::WorkerProxy(None),
            zone,
            address,
            Machine::default(),
        );
    }

    fn add(&mut self, role: ProcessRole, zone: usize, address: String, machine: Machine) {
        let number = self.processes.len();
        self.process_by_address.insert(address.clone(), number);
        let mono_offset_ms = self.rng.below(CLOCK_START_BOUND_MS);
        let process = Process::new(role, address, zone, machine, mono_offset_ms);
        self.processes.push(process);
        self.start(number);
    }

    /// The current times of a process's clocks.
    pub(super) fn clocks(&self, process: usize) -> Now {
        let process = &self.processes[process];
        Now {
            mono: process.mono_offset_ms + self.now + 1,
            wall: (EPOCH + self.now).saturating_add_signed(process.wall_offset_ms),
        }
    }

    /// Starts a process that is down and not removed.
    pub(in crate::simulator) fn start(&mut self, number: usize) {
        if self.processes[number].is_up() || self.processes[number].is_removed {
            return;
        }
        self.processes[number].mono_offset_ms = self.rng.below(CLOCK_START_BOUND_MS);
        let seed = self.rng.next_u64();
        let now = self.clocks(number);
        let settings = self.settings_for(number);
        let process = &mut self.processes[number];
        process.begin_incarnation();
        match &mut process.role {
            ProcessRole::Replica { replica, disk } => {
                let started = Replica::new(settings, disk.load(), now, seed);
                *replica = Some(Box::new(
                    started.expect("failed to load the disk of a simulated replica"),
                ));
            }
            ProcessRole::Node(node) => *node = Some(Box::new(Node::new(settings, now, seed))),
            ProcessRole::WorkerProxy(proxy) => {
                *proxy = Some(Box::new(WorkerProxy::new(settings, seed)))
            }
        }
        let first_tick = Action::TickProcess {
            process: number,
            incarnation: process.incarnation,
        };
        let jitter_ms = self.rng.below(TICK_MS);
        self.schedule_in(1 + jitter_ms, first_tick);
    }

    /// Kills a process without a graceful stop.
    pub(in crate::simulator) fn kill(&mut self, number: usize) {
        if !self.processes[number].is_up() {
            return;
        }
        let persisted = self.rng.below(SURVIVING_WRITES_BOUND) as usize;
        let process = &mut self.processes[number];
        process.accumulate_counters();
        process.begin_incarnation();
        match &mut process.role {
            ProcessRole::Replica { replica, disk } => {
                *replica = None;
                disk.drop_pending(persisted);
            }
            ProcessRole::Node(node) => {
                *node = None;
                let node = process.address.clone();
                self.record(Event::NodeDown { node });
            }
            ProcessRole::WorkerProxy(proxy) => *proxy = None,
        }
    }

    /// Records that a replica's disk has lost data: the replica counts as unavailable until it has applied every log
    /// entry that any replica had applied before.
    pub(in crate::simulator) fn record_disk_loss(&mut self, process: usize) {
        self.processes[process].recovery_index = self.highest_applied_index;
    }

    /// The leader that is not frozen and has the highest term.
    pub(in crate::simulator) fn leader(&self) -> Option<usize> {
        let leading_term = |process: &Process| {
            let replica = process.replica().filter(|replica| replica.is_leader())?;
            Some(replica.term())
        };
        let unfrozen = self.processes.iter().enumerate();
        let unfrozen = unfrozen.filter(|(_, process)| !process.is_frozen);
        let leaders =
            unfrozen.filter_map(|(number, process)| Some((leading_term(process)?, number)));
        leaders.max().map(|(_, number)| number)
    }

    /// Delivers a message to a process and applies the effects. While the process is frozen, messages wait, and ticks
    /// are dropped.
    pub(in crate::simulator) fn step(&mut self, number: usize, message: Msg) {
        let now = self.clocks(number);
        let process = &mut self.processes[number];
        if process.is_frozen {
            if !matches!(message, Msg::Tick) {
                process.inbox.push(message);
            }
            return;
        }
        let effects = match &mut process.role {
            ProcessRole::Replica {
                replica: Some(replica),
                ..
            } => replica.step(now, message),
            ProcessRole::Node(Some(node)) => node.step(now, message),
            ProcessRole::WorkerProxy(Some(proxy)) => proxy.step(now, message),
            ProcessRole::Replica { replica: None, .. }
            | ProcessRole::Node(None)
            | ProcessRole::WorkerProxy(None) => Vec::new(),
        };
        for effect in effects {
            self.apply(number, effect);
        }
        self.observe_version(number, now);
    }

    /// Records a new version of the configuration in force on a ready node.
    fn observe_version(&mut self, number: usize, now: Now) {
        let process = &mut self.processes[number];
        let Some(node) = process.node() else { return };
        let version = node.state().version;
        if version == process.config_version || !node.is_ready(now) {
            return;
        }
        let change = change_id_in_notes(node.state());
        process.config_version = version;
        let node = process.address.clone();
        self.record(Event::NodeVersion {
            node,
            version,
            change,
            ready: true,
        });
    }

    /// Reports an error to the process if the disk is full, and schedules the write again.
    pub(super) fn retry_write(&mut self, process: usize, incarnation: u64, write_id: u64) {
        let disk = self.processes[process].disk_mut();
        if disk.is_some_and(|disk| disk.condition == Condition::Full) {
            self.step(process, Msg::WriteFailed("no space left".into()));
        }
        let retry = Action::CompleteWrite {
            process,
            incarnation,
            write_id,
        };
        self.schedule_in(WRITE_RETRY_MS, retry);
    }

    fn apply(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.send(number, &to, &body),
            Effect::Persist(batch) => self.write(number, batch),
            Effect::Respond(call, response) => self.send_answer(number, call, response),
            Effect::Log(text) => {
                let address = &self.processes[number].address;
                let line = format!("{address} {text}");
                self.log_line(&line);
            }
            Effect::Exit => {
                // A graceful exit: pending writes reach the disk.
                if let Some(disk) = self.processes[number].disk_mut() {
                    disk.drop_pending(usize::MAX);
                }
                self.kill(number);
            }
        }
    }

    fn write(&mut self, number: usize, batch: WriteBatch) {
        let jitter_ms = self.rng.below(WRITE_JITTER_MS);
        let process = &mut self.processes[number];
        let incarnation = process.incarnation;
        let write_id = batch.write_id;
        let Some(disk) = process.disk_mut() else {
            return;
        };
        disk.pending.push_back(batch);
        let delay_ms = disk.delay_ms + jitter_ms;
        let completion = Action::CompleteWrite {
            process: number,
            incarnation,
            write_id,
        };
        self.schedule_in(delay_ms, completion);
    }
}
