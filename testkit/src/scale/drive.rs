use super::callers;
use super::processes::{child_at, usage, Usage};
use super::wires::{listen, Wires};
use super::{ChunkOutcome, Options, Outcome, ScaleError};
use crate::fleet::{Fleet, Options as FleetOptions};
use crate::history::Event;
use crate::measure::capacity::{config, info, job, TARGET, ZONES};
use crate::scenario::Shape;
use crate::standin::operator::Operator;
use crate::standin::worker::Worker;
use crate::standin::{request, Ask};
use hdrhistogram::Histogram;
use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response, Rng};
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use landingdrift::wire::{pack, unpack, Body};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const TICK: u64 = 20;
/// Half of the machine's 24 GB, with something to spare.
const MEMORY: u64 = 11 << 30;

#[derive(Clone, Copy)]
enum Ent {
    Worker(usize),
    Client(u64),
    Operator,
}

enum Input {
    Frame(usize, Vec<u8>),
    Answer((Ent, u64), Response),
}

struct Hollow {
    addr: String,
    part: Node,
}

struct Scale<'a> {
    o: &'a Options,
    start: Instant,
    cluster: String,
    nodes: Vec<Hollow>,
    by_listen: BTreeMap<String, usize>,
    by_http: BTreeMap<String, usize>,
    local: VecDeque<(usize, Msg)>,
    wires: Wires,
    real: Sender<((Ent, u64), String, Request)>,
    calls: BTreeMap<u64, (Ent, u64)>,
    next_call: u64,
    workers: Vec<Worker>,
    operator: Operator,
    all_http: Vec<String>,
    rng: Rng,
    /// Jobs that wait to be handed in, with when; and jobs not acknowledged yet.
    due: BTreeSet<(u64, u64)>,
    open: BTreeMap<u64, JobSpec>,
    handed: BTreeMap<String, u64>,
    begun: BTreeSet<String>,
    accepted: u64,
    started: u64,
    from: u64,
    first: Histogram<u64>,
    each: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are right")
}

/// Runs real replicas and nodes beside hollow ones, and stops them all.
pub fn run(o: &Options) -> Result<Outcome, ScaleError> {
    let fleet = Fleet::start(&FleetOptions {
        shape: Shape::Gunasekera,
        seconds: o.seconds,
        settle: 0,
        rate: 0.0,
        program: o.program.clone(),
        folder: o.folder.clone(),
        faults: Vec::new(),
        seed: o.seed,
        talk: false,
    })?;
    let (tx, rx) = channel();
    let mut s = Scale::new(o, &fleet, &tx)?;
    s.ready(&rx)?;
    let names: Vec<(String, u32)> = fleet
        .procs
        .iter()
        .filter_map(|p| {
            let role = crate::fleet::call(
                &callers::http(1000),
                &p.http,
                &request("GET", "/v1/status", "", None),
            );
            let kind = match (p.replica, role.body["role"] == "Leader") {
                (true, true) => "core leader",
                (true, false) => "core follower",
                _ => "node",
            };
            child_at(&p.listen).map(|pid| (format!("{kind} {}", p.listen), pid))
        })
        .chain([("this process (hollow)".into(), std::process::id())])
        .collect();
    s.live(&rx, &names)
}

impl<'a> Scale<'a> {
    fn new(o: &'a Options, fleet: &Fleet, tx: &Sender<Input>) -> Result<Self, ScaleError> {
        let mut rng = Rng::new(o.seed);
        let seeds: Vec<String> = fleet
            .procs
            .iter()
            .filter(|p| p.replica)
            .map(|p| p.listen.clone())
            .collect();
        // The fleet's own net of the loopback range, behind its processes.
        let net = seeds
            .first()
            .and_then(|s| s.split('.').nth(1))
            .unwrap_or("9")
            .to_string();
        let cluster = format!("fleet-{net}");
        let now = clock(Instant::now());
        let nodes: Vec<Hollow> = (0..o.nodes)
            .map(|i| {
                let ip = format!("127.{net}.{}.{}", 100 + o.log_index, 1 + i);
                let set = Settings {
                    cluster: cluster.clone(),
                    listen: format!("{ip}:7000"),
                    http: format!("{ip}:8000"),
                    zone: format!("z{}", i % ZONES),
                    seeds: seeds.clone(),
                    ..Settings::default()
                };
                Hollow {
                    addr: set.listen.clone(),
                    part: Node::new(set, now, rng.number()),
                }
            })
            .collect();
        for (i, n) in nodes.iter().enumerate() {
            listen(&n.addr, tx, move |bytes| Input::Frame(i, bytes)).map_err(|why| {
                ScaleError::Address {
                    what: n.addr.clone(),
                    why,
                }
            })?;
        }
        let at = |n: &Hollow| n.addr.replace(":7000", ":8000");
        let all_http: Vec<String> = fleet
            .nodes()
            .into_iter()
            .chain(nodes.iter().map(at))
            .collect();
        let workers = (0..o.workers)
            .map(|i| Worker::new(info(i), all_http.clone(), rng.number()))
            .collect();
        let mut operator = Operator::new("op", fleet.nodes(), rng.number());
        operator.apply(false, config());
        Ok(Self {
            o,
            start: Instant::now(),
            cluster,
            by_listen: nodes
                .iter()
                .enumerate()
                .map(|(i, n)| (n.addr.clone(), i))
                .collect(),
            by_http: nodes.iter().enumerate().map(|(i, n)| (at(n), i)).collect(),
            nodes,
            local: VecDeque::new(),
            wires: Wires::default(),
            real: callers::start(tx, Input::Answer),
            calls: BTreeMap::new(),
            next_call: 0,
            workers,
            operator,
            all_http,
            rng,
            due: BTreeSet::new(),
            open: BTreeMap::new(),
            handed: BTreeMap::new(),
            begun: BTreeSet::new(),
            accepted: 0,
            started: 0,
            from: u64::MAX,
            first: histogram(),
            each: histogram(),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Waits until the configuration is in force, at the most a minute.
    fn ready(&mut self, rx: &Receiver<Input>) -> Result<(), ScaleError> {
        while !self.operator.idle() {
            (self.now() < 60_000)
                .then_some(())
                .ok_or(ScaleError::NotReady)?;
            self.round(rx);
        }
        Ok(())
    }

    fn live(
        mut self,
        rx: &Receiver<Input>,
        names: &[(String, u32)],
    ) -> Result<Outcome, ScaleError> {
        let zero = self.now();
        let length = self.o.seconds * 1000;
        self.plan(zero);
        let (end, from) = (zero + length, zero + length / 3);
        let mut lags = histogram();
        let mut before: Vec<Usage> = Vec::new();
        let mut looked = zero;
        while self.now() < end {
            let t = self.now();
            if before.is_empty() && t >= from {
                before = names.iter().map(|(_, p)| usage(*p)).collect();
                (self.from, self.started) = (t, 0);
            }
            if t >= looked + 1000 {
                looked = t;
                let taken: u64 = names.iter().map(|(_, p)| usage(*p).resident).sum();
                (taken < MEMORY)
                    .then_some(())
                    .ok_or(ScaleError::Memory(taken >> 20))?;
            }
            self.round(rx);
            if t >= from {
                lags.saturating_record((self.now() - t).max(1));
            }
        }
        let span = self.now().saturating_sub(self.from).max(1) as f64;
        let taken = names.iter().zip(&before).map(|((name, pid), b)| {
            let u = usage(*pid);
            ChunkOutcome {
                name: name.clone(),
                resident: u.resident,
                most: u.most,
                core_percent: 100.0 * (u.processor - b.processor) as f64 / span,
            }
        });
        Ok(Outcome {
            starts: 1000.0 * self.started as f64 / span,
            jobs: self.accepted,
            running: self.workers.iter().map(|w| w.load().0).sum(),
            taken: taken.collect(),
            lag: (lags.max(), lags.value_at_quantile(0.5)),
            dropped: self.wires.dropped,
            first: self.first,
            each: self.each,
        })
    }

    /// As many tasks a second as wanted, from the second second on.
    fn plan(&mut self, zero: u64) {
        let mean = 1000.0 * TARGET.running / TARGET.workers * self.o.workers as f64 / self.o.starts;
        let (mut t, mut n) = (zero as f64 + 2000.0, 0);
        let end = (zero + self.o.seconds * 1000) as f64;
        while t < end {
            n += 1;
            let spec = job(&mut self.rng, n, mean);
            self.due.insert((t as u64, n));
            t += spec.tasks.len() as f64 * 1000.0 / self.o.starts;
            self.open.insert(n, spec);
        }
    }

    /// One round: what has come, and once a tick all that looks at the time.
    fn round(&mut self, rx: &Receiver<Input>) {
        let t = self.now();
        let next = (t / TICK + 1) * TICK;
        (0..self.nodes.len()).for_each(|i| self.step(i, Msg::Tick));
        let handing: Vec<(u64, u64)> = self.due.range(..(t + 1, 0)).copied().collect();
        for key in handing {
            self.due.remove(&key);
            self.hand_in(key.1);
        }
        let asks = self.operator.tick(t);
        self.asked(Ent::Operator, asks);
        for i in 0..self.workers.len() {
            let asks = self.workers[i].tick(t);
            self.asked(Ent::Worker(i), asks);
        }
        loop {
            while let Some((i, msg)) = self.local.pop_front() {
                self.step(i, msg);
            }
            let left = next.saturating_sub(self.now());
            match rx.recv_timeout(Duration::from_millis(left)) {
                Ok(Input::Frame(i, bytes)) => {
                    if let Ok(env) = unpack(&self.cluster, &bytes) {
                        self.step(i, Msg::Wire(env.from, env.body));
                    }
                }
                Ok(Input::Answer((ent, n), v)) if v.status > 0 || matches!(ent, Ent::Client(_)) => {
                    self.answered(ent, n, &v)
                }
                Ok(_) => {}
                Err(_) => return,
            }
            if left == 0 {
                return;
            }
        }
    }

    fn hand_in(&mut self, n: u64) {
        let Some(spec) = self.open.get(&n) else {
            return;
        };
        let (id, body) = (spec.id.clone(), json!(spec));
        let now = self.now();
        self.handed.entry(id).or_insert(now);
        let to = self.rng.pick(&self.all_http).cloned().unwrap_or_default();
        let req = request("POST", "/v1/jobs", "", Some(&body));
        self.call(Ent::Client(n), 0, &to, req);
    }

    fn call(&mut self, from: Ent, n: u64, to: &str, req: Request) {
        if let Some(i) = self.by_http.get(to).copied() {
            self.next_call += 1;
            self.calls.insert(self.next_call, (from, n));
            self.local.push_back((i, Msg::Call(self.next_call, req)));
        } else {
            let _ = self.real.send(((from, n), to.into(), req));
        }
    }

    fn asked(&mut self, from: Ent, asks: Vec<Ask>) {
        for a in asks {
            match a {
                Ask::DurabilityWitness(Event::Started {
                    job, copy: false, ..
                }) => self.begins(&job),
                Ask::DurabilityWitness(_) => {}
                Ask::Call { to, call, req } => self.call(from, call, &to, req),
            }
        }
    }

    fn begins(&mut self, job: &str) {
        self.started += 1;
        let now = self.now();
        let waited = now
            .saturating_sub(self.handed.get(job).copied().unwrap_or(now))
            .max(1);
        let fresh = self.begun.insert(job.into());
        if now >= self.from {
            self.each.saturating_record(waited);
            if fresh {
                self.first.saturating_record(waited);
            }
        }
    }

    fn answered(&mut self, from: Ent, n: u64, v: &Response) {
        let t = self.now();
        let asks = match from {
            Ent::Worker(i) => self.workers[i].answer(t, n, v),
            Ent::Operator => self.operator.answer(t, n, v),
            Ent::Client(job) if matches!(v.status, 200 | 202) => {
                self.accepted += u64::from(self.open.remove(&job).is_some());
                Vec::new()
            }
            Ent::Client(job) => {
                self.due.insert((t + v.retry_ms.max(200), job));
                Vec::new()
            }
        };
        self.asked(from, asks);
    }

    fn step(&mut self, i: usize, msg: Msg) {
        for e in self.nodes[i].part.step(clock(self.start), msg) {
            match e {
                Effect::Send(to, body) => self.carry(i, &to, body),
                Effect::Answer(call, v) => {
                    if let Some((from, n)) = self.calls.remove(&call) {
                        self.answered(from, n, &v);
                    }
                }
                Effect::Persist(_) | Effect::Log(_) | Effect::Exit => {}
            }
        }
    }

    fn carry(&mut self, from: usize, to: &str, body: Body) {
        let me = &self.nodes[from].addr;
        if let Some(j) = self.by_listen.get(to).copied() {
            self.local.push_back((j, Msg::Wire(me.clone(), body)));
        } else {
            self.wires.send(to, pack(&self.cluster, me, &body));
        }
    }
}

fn clock(start: Instant) -> Now {
    Now {
        mono: 1 + start.elapsed().as_millis() as u64,
        wall: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
    }
}
