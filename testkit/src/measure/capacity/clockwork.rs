use super::footprint::State;
use super::load;
use super::meter::{clock_cost, reference, timed, Tally};
use super::target::ZONES;
use crate::history::Event;
use crate::simulator::EPOCH;
use crate::standin::operator::Operator;
use crate::standin::worker::Worker;
use crate::standin::{request, Ask};
use landingdrift::consensus::{Loaded, Replica};
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response, Rng};
use landingdrift::settings::Settings;
use landingdrift::state::{ClusterState, JobSpec};
use landingdrift::wire::{pack, unpack, Body};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const TICK: u64 = 20;

/// The part of a process, as far as the product's public surface shows it.
enum Kind {
    Replica(Box<Replica>),
    Node(Box<Node>),
}

struct Proc {
    addr: String,
    kind: Kind,
    tally: Tally,
}

impl Proc {
    fn step(&mut self, now: Now, msg: Msg) -> Vec<Effect> {
        match &mut self.kind {
            Kind::Replica(c) => c.step(now, msg),
            Kind::Node(n) => n.step(now, msg),
        }
    }
    fn counter(&self, name: &str) -> f64 {
        let all = match &self.kind {
            Kind::Replica(c) => c.counters(),
            Kind::Node(n) => n.counters(),
        };
        all.iter().find(|(k, _)| k == name).map_or(0, |(_, v)| *v) as f64
    }
    fn state(&self) -> &ClusterState {
        match &self.kind {
            Kind::Replica(c) => c.state(),
            Kind::Node(n) => n.state(),
        }
    }
    fn leads(&self) -> bool {
        matches!(&self.kind, Kind::Replica(c) if c.leads())
    }
}

#[derive(Clone, Copy)]
enum Ent {
    Worker(usize),
    Client(u64),
    Operator,
}

enum Happening {
    Tick(usize),
    Deliver(usize, Vec<u8>),
    Saved(usize, u64),
    Call(usize, Ent, u64, Request),
    Answer(Ent, u64, Response),
    HandTick(usize),
    HandIn(u64),
    OperatorTick,
}

struct Due(u64, u64, Happening);

impl PartialEq for Due {
    fn eq(&self, o: &Self) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(o.0, o.1))
    }
}

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    Leader,
    Follower,
    Queue,
    ZoneScheduler,
    Plain,
}

impl Duty {
    /// All of them, as the tables have them.
    pub const ALL: [Duty; 5] = [
        Duty::Leader,
        Duty::Follower,
        Duty::Queue,
        Duty::ZoneScheduler,
        Duty::Plain,
    ];
    /// What the tables call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leader => "core leader",
            Self::Follower => "core follower",
            Self::Queue => "node with a queue",
            Self::ZoneScheduler => "node with a cell",
            Self::Plain => "plain node",
        }
    }
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub workers: usize,
    pub nodes: usize,
    /// Task starts a second that the jobs handed in amount to.
    pub starts: f64,
}

impl Size {
    /// How long a task runs, so that every worker runs as many as at the target.
    pub fn task_ms(&self) -> f64 {
        let t = &super::target::TARGET;
        1000.0 * (t.running / t.workers) * self.workers as f64 / self.starts
    }
}

/// What a run came to.
pub struct Run {
    pub size: Size,
    /// Starts a second in the window.
    pub starts: f64,
    /// By lease: how many processes, and the mean of their tallies a second.
    pub roles: BTreeMap<Duty, (usize, Tally)>,
    /// Mean processor time of the reference work, in nanoseconds.
    pub reference: f64,
    pub state: State,
    /// The packed record at the end.
    pub packed_state: Vec<u8>,
}

/// A day without faults in virtual time, in which every process is metered.
pub struct Clockwork {
    t: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<Due>>,
    rng: Rng,
    procs: Vec<Proc>,
    by_addr: BTreeMap<String, usize>,
    arrivals: BTreeMap<(usize, usize), u64>,
    hands: Vec<Worker>,
    operator: Operator,
    jobs: BTreeMap<u64, JobSpec>,
    calls: BTreeMap<u64, (Ent, u64)>,
    size: Size,
    started: f64,
    clock: f64,
    cluster: String,
}

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
        let replicas: Vec<String> = (0..3).map(|i| name(true, i)).collect();
        let common = Settings {
            seeds: replicas.clone(),
            ..Settings::default()
        };
        let set = |addr: &str, i: usize, data: &str| Settings {
            listen: addr.into(),
            http: addr.into(),
            zone: format!("z{}", i % ZONES),
            data: data.into(),
            ..common.clone()
        };
        let at = Now {
            mono: 1,
            wall: EPOCH,
        };
        let mut procs: Vec<Proc> = Vec::new();
        for (i, addr) in replicas.iter().enumerate() {
            let loaded = Loaded {
                disk: rng.number() | 1,
                ..Loaded::default()
            };
            let part = Replica::new(set(addr, i, "d"), loaded, at, rng.number());
            procs.push(Proc {
                addr: addr.clone(),
                kind: Kind::Replica(Box::new(part.expect("an empty disk loads"))),
                tally: Tally::default(),
            });
        }
        for i in 0..size.nodes {
            let addr = name(false, i);
            let part = Node::new(set(&addr, i, ""), at, rng.number());
            procs.push(Proc {
                addr,
                kind: Kind::Node(Box::new(part)),
                tally: Tally::default(),
            });
        }
        let nodes: Vec<String> = procs.iter().skip(3).map(|p| p.addr.clone()).collect();
        let hands = (0..size.workers)
            .map(|i| Worker::new(load::info(i), nodes.clone(), rng.number()))
            .collect();
        let mut operator = Operator::new("op", nodes, rng.number());
        operator.apply(false, load::config());
        let mut w = Self {
            t: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            by_addr: procs
                .iter()
                .enumerate()
                .map(|(i, p)| (p.addr.clone(), i))
                .collect(),
            rng,
            procs,
            arrivals: BTreeMap::new(),
            hands,
            operator,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            size,
            started: 0.0,
            clock: clock_cost(),
            cluster: common.cluster,
        };
        for i in 0..w.procs.len() {
            let jitter = w.rng.below(TICK);
            w.at(1 + jitter, Happening::Tick(i));
        }
        for i in 0..size.workers {
            let jitter = w.rng.below(250);
            w.at(1000 + jitter, Happening::HandTick(i));
        }
        w.at(2000, Happening::OperatorTick);
        w
    }

    fn at(&mut self, t: u64, what: Happening) {
        self.seq += 1;
        self.queue.push(Reverse(Due(t, self.seq, what)));
    }

    /// Plans jobs from the fifth second on: as many tasks a second as the size says.
    fn plan(&mut self, until: u64) {
        let (mut t, mut n) = (5000.0, 0);
        while t < until as f64 {
            n += 1;
            let spec = load::job(&mut self.rng, n, self.size.task_ms());
            self.at(t as u64, Happening::HandIn(n));
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
            if due.0 > end {
                self.queue.push(Reverse(due));
                return;
            }
            self.t = due.0;
            self.happen(due.2);
        }
    }

    fn leader(&self) -> &Proc {
        self.procs
            .iter()
            .find(|p| p.leads())
            .unwrap_or(&self.procs[0])
    }

    fn tallies(&self) -> Vec<Tally> {
        self.procs
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
        let holds = |p: &Proc, of: &str| {
            leases
                .iter()
                .any(|(d, g)| g.holder == p.addr && d.starts_with(of))
        };
        self.procs
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

    fn happen(&mut self, what: Happening) {
        let t = self.t;
        match what {
            Happening::Tick(i) => {
                self.reach(i, Msg::Tick);
                self.at(t + TICK, Happening::Tick(i));
            }
            Happening::Deliver(i, bytes) => {
                let (env, spent) = timed(self.clock, || unpack(&self.cluster, &bytes));
                let tally = &mut self.procs[i].tally;
                tally.messages_in += 1.0;
                tally.bytes_in += bytes.len() as f64;
                tally.wire += spent;
                if let Ok(env) = env {
                    self.reach(i, Msg::Wire(env.from, env.body));
                }
            }
            Happening::Saved(i, write_id) => self.reach(i, Msg::Persisted(write_id)),
            Happening::Call(i, from, n, req) => {
                self.seq += 1;
                let call = self.seq;
                self.calls.insert(call, (from, n));
                self.procs[i].tally.calls += 1.0;
                self.reach(i, Msg::Call(call, req));
            }
            Happening::Answer(Ent::Worker(i), n, v) => {
                let asks = self.hands[i].answer(t, n, &v);
                self.asked(Ent::Worker(i), asks);
            }
            Happening::Answer(Ent::Operator, n, v) => {
                let asks = self.operator.answer(t, n, &v);
                self.asked(Ent::Operator, asks);
            }
            // Whoever hands in comes back until the job is taken, and doesn't poll.
            Happening::Answer(Ent::Client(job), _, v) => {
                if matches!(v.status, 200 | 202) {
                    self.jobs.remove(&job);
                } else {
                    self.at(t + v.retry_ms.max(200), Happening::HandIn(job));
                }
            }
            Happening::HandTick(i) => {
                let asks = self.hands[i].tick(t);
                self.asked(Ent::Worker(i), asks);
                self.at(t + TICK, Happening::HandTick(i));
            }
            Happening::HandIn(job) => {
                let node = 3 + self.rng.below(self.size.nodes as u64) as usize;
                let body = self.jobs.get(&job).map(|s| json!(s));
                if let Some(body) = body {
                    let req = request("POST", "/v1/jobs", "", Some(&body));
                    self.at(t + 2, Happening::Call(node, Ent::Client(job), 0, req));
                }
            }
            Happening::OperatorTick => {
                let asks = self.operator.tick(t);
                self.asked(Ent::Operator, asks);
                if !self.operator.idle() {
                    self.at(t + TICK, Happening::OperatorTick);
                }
            }
        }
    }

    fn asked(&mut self, from: Ent, asks: Vec<Ask>) {
        for a in asks {
            match a {
                Ask::DurabilityWitness(Event::Started { .. }) => self.started += 1.0,
                Ask::DurabilityWitness(_) => {}
                Ask::Call { to, call, req } => {
                    let at = self.t + 1 + self.rng.below(4);
                    if let Some(i) = self.by_addr.get(&to).copied() {
                        self.at(at, Happening::Call(i, from, call, req));
                    }
                }
            }
        }
    }

    /// One step of a process, with its processor time and its effects.
    fn reach(&mut self, i: usize, msg: Msg) {
        let now = Now {
            mono: self.t + 1,
            wall: EPOCH + self.t,
        };
        let p = &mut self.procs[i];
        let (effects, spent) = timed(self.clock, || p.step(now, msg));
        p.tally.step += spent;
        for e in effects {
            match e {
                Effect::Send(to, body) => self.carry(i, &to, &body),
                Effect::Persist(save) => {
                    let at = self.t + 2 + self.rng.below(3);
                    self.at(at, Happening::Saved(i, save.write_id));
                }
                Effect::Answer(call, v) => {
                    if let Some((to, n)) = self.calls.remove(&call) {
                        let at = self.t + 1 + self.rng.below(3);
                        self.at(at, Happening::Answer(to, n, v));
                    }
                }
                Effect::Log(_) | Effect::Exit => {}
            }
        }
    }

    fn carry(&mut self, from: usize, to: &str, body: &Body) {
        let Some(j) = self.by_addr.get(to).copied() else {
            return;
        };
        let p = &mut self.procs[from];
        let (bytes, spent) = timed(self.clock, || pack(&self.cluster, &p.addr, body));
        p.tally.messages_out += 1.0;
        p.tally.bytes_out += bytes.len() as f64;
        p.tally.wire += spent;
        // One connection keeps its order.
        let at = self.t + 1 + self.rng.below(3);
        let last = self.arrivals.entry((from, j)).or_default();
        *last = at.max(*last);
        let at = *last;
        self.at(at, Happening::Deliver(j, bytes));
    }
}
