//! A day without faults in virtual time, in which every process is metered.

mod actions;
mod process;
mod run;

pub use run::{Role, RoleTally, Run, Size};

use super::footprint::State;
use super::load;
use super::meter::{clock_cost, reference, Tally};
use super::target::ZONES;
use crate::fakes::operator::Operator;
use crate::fakes::worker::Worker;
use crate::simulator::EPOCH;
use actions::{Action, Caller, ScheduledAction};
use landingdrift::consensus::{PersistedState, Replica};
use landingdrift::node::Node;
use landingdrift::sans_io::{Now, Rng};
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use process::{Part, Process};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How often parts get their tick, in milliseconds.
const TICK_MS: u64 = 20;
/// The replicas, which come before the nodes among the processes.
const REPLICAS: usize = 3;
/// Workers begin once the replicas have a leader, in milliseconds.
const WORKERS_FROM_MS: u64 = 1000;
/// Workers begin within this time of each other, in milliseconds.
const WORKER_JITTER_MS: u64 = 250;
/// The operator sets the configuration once the workers have begun, in milliseconds.
const OPERATOR_FROM_MS: u64 = 2000;
/// Jobs come once the configuration is in force, in milliseconds.
const JOBS_FROM_MS: f64 = 5000.0;
/// The addresses of nodes have a range of their own for so many of them.
const NODES_PER_RANGE: usize = 200;
/// The last part of the address of the first node of a range; replicas have 1.
const FIRST_NODE_ADDRESS: usize = 10;

/// A call that waits for its answer.
#[derive(Clone, Copy)]
struct OpenCall {
    caller: Caller,
    /// Its number among the calls of its caller.
    call: u64,
}

/// A day without faults in virtual time, in which every process is metered.
pub struct MeteredDay {
    /// Milliseconds since the beginning of the day.
    now: u64,
    /// The number of actions scheduled and calls made so far.
    sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    rng: Rng,
    processes: Vec<Process>,
    /// The processes by their addresses.
    by_address: BTreeMap<String, usize>,
    /// When the last message from one process to another arrives.
    arrivals: BTreeMap<(usize, usize), u64>,
    workers: Vec<Worker>,
    operator: Operator,
    /// Jobs that are not accepted yet, by their numbers.
    open_jobs: BTreeMap<u64, JobSpec>,
    open_calls: BTreeMap<u64, OpenCall>,
    size: Size,
    /// Runs that have started.
    starts: f64,
    /// What reading the clock takes, in nanoseconds.
    clock_cost: f64,
    cluster: String,
}

/// The processes: replicas with empty disks, and nodes.
fn new_processes(size: Size, rng: &mut Rng) -> Vec<Process> {
    let replicas: Vec<String> = (0..REPLICAS).map(replica_address).collect();
    let settings = |address: &str, index: usize, data: &str| Settings {
        listen: address.into(),
        http: address.into(),
        zone: format!("z{}", index % ZONES),
        data: data.into(),
        seeds: replicas.clone(),
        ..Settings::default()
    };
    let now = Now {
        mono: 1,
        wall: EPOCH,
    };
    let mut processes: Vec<Process> = Vec::new();
    for (index, address) in replicas.iter().enumerate() {
        let loaded = PersistedState {
            // Odd, as no disk has the number 0.
            disk: rng.next_u64() | 1,
            ..PersistedState::default()
        };
        let replica = Replica::new(settings(address, index, "d"), loaded, now, rng.next_u64());
        let replica = replica.expect("an empty disk loads");
        let part = Part::Replica(Box::new(replica));
        processes.push(Process::new(address.clone(), part));
    }
    for index in 0..size.nodes {
        let address = node_address(index);
        let node = Node::new(settings(&address, index, ""), now, rng.next_u64());
        processes.push(Process::new(address, Part::Node(Box::new(node))));
    }
    processes
}

fn replica_address(index: usize) -> String {
    format!("10.0.{}.1:7000", index % ZONES)
}

fn node_address(index: usize) -> String {
    let range = index / NODES_PER_RANGE;
    let zone = index % ZONES;
    let host = FIRST_NODE_ADDRESS + index % NODES_PER_RANGE;
    format!("10.{range}.{zone}.{host}:7000")
}

impl MeteredDay {
    /// A cluster of a size, before its first moment.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let processes = new_processes(size, &mut rng);
        let addresses = processes.iter().map(|process| process.address.clone());
        let by_address = addresses.clone().zip(0..).collect();
        let nodes: Vec<String> = addresses.skip(REPLICAS).collect();
        let workers = (0..size.workers)
            .map(|index| Worker::new(load::info(index), nodes.clone(), rng.next_u64()))
            .collect();
        let mut operator = Operator::new("op", nodes, rng.next_u64());
        operator.queue_change(false, load::config());
        let mut day = Self {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            by_address,
            rng,
            processes,
            arrivals: BTreeMap::new(),
            workers,
            operator,
            open_jobs: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            size,
            starts: 0.0,
            clock_cost: clock_cost(),
            cluster: Settings::default().cluster,
        };
        day.schedule_first_ticks();
        day
    }

    /// Every part gets its ticks from a moment of its own on.
    fn schedule_first_ticks(&mut self) {
        for process in 0..self.processes.len() {
            let jitter_ms = self.rng.below(TICK_MS);
            self.schedule(1 + jitter_ms, Action::TickProcess(process));
        }
        for worker in 0..self.size.workers {
            let jitter_ms = self.rng.below(WORKER_JITTER_MS);
            self.schedule(WORKERS_FROM_MS + jitter_ms, Action::TickWorker(worker));
        }
        self.schedule(OPERATOR_FROM_MS, Action::TickOperator);
    }

    fn schedule(&mut self, at_ms: u64, action: Action) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledAction {
            at_ms,
            sequence: self.sequence,
            action,
        }));
    }

    fn schedule_in(&mut self, delay_ms: u64, action: Action) {
        self.schedule(self.now + delay_ms, action);
    }

    /// Plans jobs until a time in milliseconds: as many tasks a second as the size says.
    fn plan_jobs(&mut self, until_ms: u64) {
        let mut at_ms = JOBS_FROM_MS;
        let mut number = 0;
        while at_ms < until_ms as f64 {
            number += 1;
            let spec = load::job(&mut self.rng, number, self.size.task_ms());
            self.schedule(at_ms as u64, Action::Submit(number));
            at_ms += spec.tasks.len() as f64 * 1000.0 / self.size.starts;
            self.open_jobs.insert(number, spec);
        }
    }

    /// Runs so many seconds until everything is busy, then so many that are measured.
    pub fn run(mut self, warm_seconds: u64, measured_seconds: u64) -> Run {
        let end = warm_seconds + measured_seconds;
        self.plan_jobs(end * 1000);
        let mut references = Vec::new();
        let mut tallies_before = Vec::new();
        let mut starts_before = 0.0;
        for second in 1..=end {
            self.run_to(second * 1000);
            references.push(reference(self.clock_cost));
            if second == warm_seconds {
                tallies_before = self.tallies();
                starts_before = self.starts;
            }
        }
        let state = self.leader().state();
        Run {
            size: self.size,
            starts: (self.starts - starts_before) / measured_seconds as f64,
            roles: self.role_tallies(&tallies_before, measured_seconds),
            reference: references.iter().sum::<f64>() / references.len().max(1) as f64,
            state: State::of(state, self.clock_cost),
            packed_state: state.pack(),
        }
    }

    /// The mean tally a second of each role's processes in the measured time.
    fn role_tallies(&self, before: &[Tally], seconds: u64) -> BTreeMap<Role, RoleTally> {
        let after = self.tallies();
        let mut roles: BTreeMap<Role, RoleTally> = BTreeMap::new();
        for (index, role) in self.roles().into_iter().enumerate() {
            let sum = roles.entry(role).or_default();
            sum.processes += 1;
            sum.tally += after[index] - before[index];
        }
        for sum in roles.values_mut() {
            sum.tally = sum.tally.per(sum.processes as f64 * seconds as f64);
        }
        roles
    }

    fn run_to(&mut self, end_ms: u64) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at_ms > end_ms {
                self.queue.push(Reverse(next));
                return;
            }
            self.now = next.at_ms;
            self.perform(next.action);
        }
    }

    fn leader(&self) -> &Process {
        let leader = self.processes.iter().find(|process| process.leads());
        leader.unwrap_or(&self.processes[0])
    }

    fn tallies(&self) -> Vec<Tally> {
        let tally = |process: &Process| Tally {
            log_bytes: process.counter("log_bytes"),
            ..process.tally
        };
        self.processes.iter().map(tally).collect()
    }

    /// The role of each process; a node with a zone scheduler and a queue counts as one with a zone scheduler.
    fn roles(&self) -> Vec<Role> {
        let leases = &self.leader().state().leases;
        let holds = |process: &Process, prefix: &str| {
            leases
                .iter()
                .any(|(name, lease)| lease.holder == process.address && name.starts_with(prefix))
        };
        let role = |process: &Process| match process.part {
            Part::Replica(_) if process.leads() => Role::Leader,
            Part::Replica(_) => Role::Follower,
            Part::Node(_) if holds(process, "cell/") => Role::ZoneScheduler,
            Part::Node(_) if holds(process, "queue/") => Role::Queue,
            Part::Node(_) => Role::Plain,
        };
        self.processes.iter().map(role).collect()
    }
}
