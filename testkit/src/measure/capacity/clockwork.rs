//! The clockwork that meters processes: a day without faults in virtual time.

mod happenings;
mod process;
mod run;

pub use run::{Duty, Run, Size};

use super::footprint::State;
use super::load;
use super::meter::{clock_cost, reference, Tally};
use super::target::ZONES;
use crate::fakes::operator::Operator;
use crate::fakes::worker::Worker;
use crate::simulator::EPOCH;
use happenings::{Action, Caller, Due};
use landingdrift::consensus::{Loaded, Replica};
use landingdrift::node::Node;
use landingdrift::sans_io::{Now, Rng};
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use process::{Kind, Process};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How often parts look at the time, in milliseconds.
const TICK: u64 = 20;
/// The replicas, which come before the nodes among the processes.
const CORES: usize = 3;
/// Workers begin once the replicas have a leader, within a quarter of a second of each other.
const WORKERS_FROM_MS: u64 = 1000;
const WORKER_JITTER_MS: u64 = 250;
/// The operator sets the configuration once the workers have begun.
const OPERATOR_FROM_MS: u64 = 2000;
/// Jobs come once the configuration is in force.
const JOBS_FROM_MS: f64 = 5000.0;

/// A day without faults in virtual time, in which every process is metered.
pub struct Clockwork {
    t: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<Due>>,
    rng: Rng,
    processes: Vec<Process>,
    by_addr: BTreeMap<String, usize>,
    arrivals: BTreeMap<(usize, usize), u64>,
    workers: Vec<Worker>,
    operator: Operator,
    jobs: BTreeMap<u64, JobSpec>,
    calls: BTreeMap<u64, (Caller, u64)>,
    size: Size,
    started: f64,
    clock: f64,
    cluster: String,
}

/// The processes: replicas with empty disks, and nodes.
fn new_processes(size: Size, rng: &mut Rng) -> Vec<Process> {
    let replicas: Vec<String> = (0..CORES).map(|i| name(true, i)).collect();
    let set = |addr: &str, i: usize, data: &str| Settings {
        listen: addr.into(),
        http: addr.into(),
        zone: format!("z{}", i % ZONES),
        data: data.into(),
        seeds: replicas.clone(),
        ..Settings::default()
    };
    let at = Now {
        mono: 1,
        wall: EPOCH,
    };
    let proc = |addr: String, kind: Kind| Process {
        addr,
        kind,
        tally: Tally::default(),
    };
    let mut processes: Vec<Process> = Vec::new();
    for (i, addr) in replicas.iter().enumerate() {
        let loaded = Loaded {
            disk: rng.number() | 1,
            ..Loaded::default()
        };
        let part = Replica::new(set(addr, i, "d"), loaded, at, rng.number());
        let part = part.expect("an empty disk loads");
        processes.push(proc(addr.clone(), Kind::Replica(Box::new(part))));
    }
    for i in 0..size.nodes {
        let addr = name(false, i);
        let part = Node::new(set(&addr, i, ""), at, rng.number());
        processes.push(proc(addr, Kind::Node(Box::new(part))));
    }
    processes
}

/// The address of a core or node.
fn name(replica: bool, i: usize) -> String {
    let z = i % ZONES;
    format!(
        "10.{}.{z}.{}:7000",
        i / 200,
        if replica { 1 } else { 10 + i % 200 }
    )
}

impl Clockwork {
    /// A cluster of a size, before its first moment.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let cluster = Settings::default().cluster;
        let processes = new_processes(size, &mut rng);
        let nodes: Vec<String> = processes
            .iter()
            .skip(CORES)
            .map(|p| p.addr.clone())
            .collect();
        let workers = (0..size.workers)
            .map(|i| Worker::new(load::info(i), nodes.clone(), rng.number()))
            .collect();
        let mut operator = Operator::new("op", nodes, rng.number());
        operator.apply(false, load::config());
        let numbered = processes.iter().enumerate();
        let mut w = Self {
            t: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            by_addr: numbered.map(|(i, p)| (p.addr.clone(), i)).collect(),
            rng,
            processes,
            arrivals: BTreeMap::new(),
            workers,
            operator,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            size,
            started: 0.0,
            clock: clock_cost(),
            cluster,
        };
        w.plan_ticks();
        w
    }

    /// All look at the time from some moment on, each from its own.
    fn plan_ticks(&mut self) {
        for i in 0..self.processes.len() {
            let jitter = self.rng.below(TICK);
            self.at(1 + jitter, Action::Tick(i));
        }
        for i in 0..self.size.workers {
            let jitter = self.rng.below(WORKER_JITTER_MS);
            self.at(WORKERS_FROM_MS + jitter, Action::WorkerTick(i));
        }
        self.at(OPERATOR_FROM_MS, Action::OperatorTick);
    }

    fn at(&mut self, t: u64, what: Action) {
        self.seq += 1;
        self.queue.push(Reverse(Due {
            t,
            seq: self.seq,
            what,
        }));
    }

    /// Plans jobs from the fifth second on: as many tasks a second as the size says.
    fn plan(&mut self, until: u64) {
        let (mut t, mut n) = (JOBS_FROM_MS, 0);
        while t < until as f64 {
            n += 1;
            let spec = load::job(&mut self.rng, n, self.size.task_ms());
            self.at(t as u64, Action::HandIn(n));
            t += spec.tasks.len() as f64 * 1000.0 / self.size.starts;
            self.jobs.insert(n, spec);
        }
    }

    /// Runs so many seconds until all is on its way, then so many that are measured.
    pub fn run(mut self, warm: u64, window: u64) -> Run {
        let end = warm + window;
        self.plan(end * 1000);
        let (mut refs, mut before, mut started) = (Vec::new(), Vec::new(), 0.0);
        for second in 1..=end {
            self.run_to(second * 1000);
            refs.push(reference(self.clock));
            if second == warm {
                before = self.tallies();
                started = self.started;
            }
        }
        let after = self.tallies();
        let duties = self.duties();
        let mut roles: BTreeMap<Duty, (usize, Tally)> = BTreeMap::new();
        for (d, (a, b)) in duties.iter().zip(after.iter().zip(&before)) {
            let e = roles.entry(*d).or_default();
            e.0 += 1;
            e.1 += *a - *b;
        }
        roles
            .values_mut()
            .for_each(|(n, t)| *t = t.per(*n as f64 * window as f64));
        Run {
            size: self.size,
            starts: (self.started - started) / window as f64,
            roles,
            reference: refs.iter().sum::<f64>() / refs.len().max(1) as f64,
            state: State::of(self.leader().state(), self.clock),
            packed_state: self.leader().state().pack(),
        }
    }

    fn run_to(&mut self, end: u64) {
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.t > end {
                self.queue.push(Reverse(due));
                return;
            }
            self.t = due.t;
            self.happen(due.what);
        }
    }

    fn leader(&self) -> &Process {
        self.processes
            .iter()
            .find(|p| p.leads())
            .unwrap_or(&self.processes[0])
    }

    fn tallies(&self) -> Vec<Tally> {
        self.processes
            .iter()
            .map(|p| Tally {
                log_bytes: p.counter("log_bytes"),
                ..p.tally
            })
            .collect()
    }

    /// What each process does; a node with a zone scheduler and a queue counts as one with a zone scheduler.
    fn duties(&self) -> Vec<Duty> {
        let leases = &self.leader().state().leases;
        let holds = |p: &Process, of: &str| {
            leases
                .iter()
                .any(|(d, g)| g.holder == p.addr && d.starts_with(of))
        };
        self.processes
            .iter()
            .map(|p| match p.kind {
                Kind::Replica(_) if p.leads() => Duty::Leader,
                Kind::Replica(_) => Duty::Follower,
                Kind::Node(_) if holds(p, "cell/") => Duty::ZoneScheduler,
                Kind::Node(_) if holds(p, "queue/") => Duty::Queue,
                Kind::Node(_) => Duty::Plain,
            })
            .collect()
    }
}
