use super::disk::{Condition, SimDisk};
use super::EPOCH;
use crate::checkers::{summary, Promised, Summary};
use crate::history::{Event, History};
use crate::scenario::{job, last_fault, random_faults, Fault, Mix, Scenario, Shape};
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use crate::standin::worker::Worker;
use crate::standin::Ask;
use landingdrift::agreement::Core;
use landingdrift::kernel::{Draw, Effect, Msg, Now, Part, Request, Verdict};
use landingdrift::node::Node;
use landingdrift::record::{JobSpec, Record, WorkerFacts};
use landingdrift::settings::Settings;
use landingdrift::wire::{pack_as, unpack_as, Body, WireDefect, WIRE_VERSION};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Happenings in a second of a day, at the most; a busy one has a tenth of it.
const HAPPENINGS: u64 = 60_000;

/// How often everything looks at the time.
const TICK: u64 = 20;
/// How often a write that a disk did not take is tried again.
const DISK_RETRY: u64 = 200;

pub(super) enum Kind {
    Core(Option<Box<Core>>, Box<SimDisk>),
    Node(Option<Box<Node>>),
}

pub(super) struct Proc {
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
    pub fn up(&self) -> bool {
        match &self.kind {
            Kind::Core(p, _) => p.is_some(),
            Kind::Node(p) => p.is_some(),
        }
    }
    pub fn is_core(&self) -> bool {
        matches!(self.kind, Kind::Core(..))
    }
}

pub(super) struct Hand {
    pub worker: Option<Worker>,
    pub facts: WorkerFacts,
    pub zone: usize,
    pub frozen: bool,
    pub cut: bool,
    pub inbox: Vec<(u64, Verdict)>,
    pub life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ent {
    Worker(usize, u64),
    Client,
    Operator(usize),
}

pub(super) enum Happening {
    Tick(usize, u64),
    Deliver {
        to: usize,
        life: u64,
        from: String,
        bytes: Vec<u8>,
    },
    Saved(usize, u64, u64),
    Call {
        to: String,
        from: Ent,
        call: u64,
        req: Request,
    },
    Answer {
        to: Ent,
        call: u64,
        v: Verdict,
    },
    HandTick(usize, u64),
    ClientTick,
    Fault(usize),
    Heal(usize),
    Calm,
    Probe,
    Look,
}

struct Due {
    t: u64,
    seq: u64,
    what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, o: &Self) -> bool {
        (self.t, self.seq) == (o.t, o.seq)
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
        (self.t, self.seq).cmp(&(o.t, o.seq))
    }
}

/// What a day left behind.
pub struct Report {
    pub history: History,
    pub summary: Summary,
    pub latencies: Vec<u64>,
    pub counters: BTreeMap<String, u64>,
    pub faults: Vec<Fault>,
    pub log: Vec<String>,
    /// More happened than a day can hold: something goes round in circles.
    pub circling: bool,
    /// Milliseconds that each job took which was done.
    pub took: BTreeMap<String, u64>,
    pub copies_won: u64,
    /// Messages between the system's own processes.
    pub messages: u64,
}

/// The world that the parts live in.
pub struct World {
    pub(super) t: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<Due>>,
    pub(super) draw: Draw,
    pub(super) shape: Shape,
    scenario: Scenario,
    pub(super) faults: Vec<Fault>,
    pub(super) targets: BTreeMap<usize, Vec<usize>>,
    pub(super) procs: Vec<Proc>,
    pub(super) by_addr: BTreeMap<String, usize>,
    pub(super) hands: Vec<Hand>,
    pub(super) client: Client,
    pub(super) operators: Vec<Operator>,
    pub(super) blocked: BTreeSet<(usize, usize)>,
    pub(super) history: History,
    pub(super) log: Vec<String>,
    calls: BTreeMap<u64, (Ent, u64)>,
    next_call: u64,
    pub(super) settings: Settings,
    pub(super) calm: bool,
    pub(super) seed: u64,
    planned: VecDeque<(u64, JobSpec)>,
    messages: u64,
    arrivals: BTreeMap<(usize, usize), u64>,
    /// Of a hundred answers, so many are lost.
    pub(super) answers_lost: u64,
    able: (usize, Vec<String>),
    /// The farthest place that any core has applied.
    committed: u64,
    closing: bool,
}

impl World {
    /// A world at the beginning of a day.
    pub fn new(s: &Scenario, seed: u64) -> Self {
        let mut draw = Draw::new(seed);
        let mut faults = s.faults.clone();
        faults.extend(random_faults(
            &mut Draw::new(seed ^ 0xfa17),
            s.random,
            3000,
            s.seconds * 1000,
        ));
        faults.sort_by_key(|f| f.at);
        let mut mix = s.shape.mix();
        if s.rate > 0.0 {
            mix.rate = s.rate;
        }
        let cores: Vec<String> = (0..3).map(|i| format!("10.0.{i}.1:7000")).collect();
        let settings = Settings {
            seeds: cores.clone(),
            ..Settings::default()
        };
        let mut w = Self {
            t: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            client: Client::new("j", Vec::new(), mix, draw.number(), EPOCH),
            operators: Vec::new(),
            draw,
            shape: s.shape,
            scenario: s.clone(),
            faults,
            targets: BTreeMap::new(),
            procs: Vec::new(),
            by_addr: BTreeMap::new(),
            hands: Vec::new(),
            blocked: BTreeSet::new(),
            history: History::default(),
            log: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            settings,
            calm: false,
            seed,
            planned: VecDeque::new(),
            messages: 0,
            arrivals: BTreeMap::new(),
            answers_lost: 0,
            able: (0, Vec::new()),
            committed: 0,
            closing: false,
        };
        (0..3).for_each(|i| w.add_core(i, cores[i].clone()));
        (0..if s.nodes > 0 {
            s.nodes
        } else {
            s.shape.nodes()
        })
            .for_each(|i| w.add_node(i % 3, format!("10.0.{}.{}:7000", i % 3, 10 + i)));
        let nodes = w.node_http();
        let services = s.shape.mix().services;
        for i in 0..if s.workers > 0 {
            s.workers
        } else {
            s.shape.workers()
        } {
            let labels = [
                (i % 3 != 0).then(|| "ssd".to_string()),
                (i % 4 == 0).then(|| "printer".to_string()),
            ]
            .into_iter()
            .flatten()
            .collect();
            let facts = WorkerFacts {
                worker: format!("w{i}"),
                incarnation: 1,
                service: services[i % 2].clone(),
                labels,
                zone: format!("z{}", i % 3),
                room: s.shape.room(),
                ..WorkerFacts::default()
            };
            w.hands.push(Hand {
                worker: None,
                facts,
                zone: i % 3,
                frozen: false,
                cut: false,
                inbox: Vec::new(),
                life: 0,
            });
            w.start_worker(i);
        }
        let (seed_a, seed_b, seed_c) = (w.draw.number(), w.draw.number(), w.draw.number());
        w.client = Client::new(
            "j",
            nodes.clone(),
            {
                let mut m = s.shape.mix();
                if s.rate > 0.0 {
                    m.rate = s.rate
                }
                m
            },
            seed_a,
            EPOCH,
        );
        w.operators = vec![
            Operator::new("op0", nodes.clone(), seed_b),
            Operator::new("op1", nodes, seed_c),
        ];
        w.operators[0].apply(false, s.shape.desired());
        for i in 0..w.faults.len() {
            let at = w.faults[i].at;
            w.at(at, Happening::Fault(i));
        }
        w.at(1, Happening::ClientTick);
        w.at(500, Happening::Probe);
        w.at(0, Happening::Look);
        w.at(s.seconds * 1000, Happening::Calm);
        w
    }

    /// Makes this a day of planned jobs alone, with free values of admission to be measured.
    pub fn measure(
        &mut self,
        jobs: Vec<(u64, JobSpec)>,
        hopper: landingdrift::settings::Hopper,
        speculation_percent: u32,
    ) {
        // Promises that such a load can't keep would spend the queues' allowances, and with them all copies.
        let mut desired = self.shape.desired();
        desired["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["finishWithinMs"] = 0.into());
        desired["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["quota"] = 20_000.into());
        desired["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["speculationPercent"] = speculation_percent.into());
        let (nodes, seed) = (self.node_http(), self.draw.number());
        self.operators[0] = Operator::new("op0", nodes, seed);
        self.operators[0].apply(false, desired);
        self.planned = jobs.into();
        self.client.offering = false;
        self.client.cancels = 0.0;
        self.settings.hopper = hopper;
        let seed = self.seed;
        self.hands
            .iter_mut()
            .filter_map(|h| h.worker.as_mut())
            .for_each(|w| w.paired = Some(seed));
        for i in 0..self.procs.len() {
            let p = &self.procs[i];
            let cfg = self.settings_of(&p.addr.clone(), p.zone, p.is_core());
            self.reach(i, Msg::Changed(Box::new(cfg)));
        }
    }

    pub(super) fn node_http(&self) -> Vec<String> {
        self.procs
            .iter()
            .filter(|p| !p.is_core() && !p.gone)
            .map(|p| p.addr.clone())
            .collect()
    }

    fn settings_of(&self, addr: &str, zone: usize, core: bool) -> Settings {
        Settings {
            listen: addr.into(),
            http: addr.into(),
            zone: format!("z{zone}"),
            data: if core { "d".into() } else { String::new() },
            ..self.settings.clone()
        }
    }

    pub(super) fn add_core(&mut self, zone: usize, addr: String) {
        let disk = SimDisk::new(self.draw.number() | 1);
        self.add(Kind::Core(None, Box::new(disk)), zone, addr);
    }

    pub(super) fn add_node(&mut self, zone: usize, addr: String) {
        self.add(Kind::Node(None), zone, addr);
    }

    fn add(&mut self, kind: Kind, zone: usize, addr: String) {
        let i = self.procs.len();
        self.by_addr.insert(addr.clone(), i);
        let mono_off = self.draw.below(1 << 40);
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
    pub(super) fn start(&mut self, i: usize) {
        if self.procs[i].up() || self.procs[i].gone {
            return;
        }
        self.procs[i].mono_off = self.draw.below(1 << 40);
        let seed = self.draw.number();
        let now = self.now(i);
        let cfg = self.settings_of(
            &self.procs[i].addr.clone(),
            self.procs[i].zone,
            self.procs[i].is_core(),
        );
        let p = &mut self.procs[i];
        p.life += 1;
        p.frozen = false;
        p.inbox.clear();
        match &mut p.kind {
            Kind::Core(part, disk) => {
                *part = Some(Box::new(
                    Core::new(cfg, disk.load(), now, seed).expect("a sound disk loads"),
                ))
            }
            Kind::Node(part) => *part = Some(Box::new(Node::new(cfg, now, seed))),
        }
        let (life, jitter) = (p.life, self.draw.below(TICK));
        self.at(self.t + 1 + jitter, Happening::Tick(i, life));
    }

    /// Kills a process where it stands.
    pub(super) fn kill(&mut self, i: usize) {
        if !self.procs[i].up() {
            return;
        }
        let arrived = self.draw.below(3) as usize;
        self.keep_counters(i);
        let p = &mut self.procs[i];
        p.life += 1;
        p.frozen = false;
        p.inbox.clear();
        match &mut p.kind {
            Kind::Core(part, disk) => {
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

    fn keep_counters(&mut self, i: usize) {
        let p = &mut self.procs[i];
        let now = match &p.kind {
            Kind::Core(Some(c), _) => c.counters(),
            Kind::Node(Some(n)) => n.counters(),
            _ => Vec::new(),
        };
        let role = if p.is_core() { "core" } else { "node" };
        now.into_iter()
            .for_each(|(k, v)| *p.counters.entry(format!("{role}_{k}")).or_default() += v);
    }

    pub(super) fn start_worker(&mut self, i: usize) {
        let nodes = self.node_http();
        let seed = self.draw.number();
        let h = &mut self.hands[i];
        h.life += 1;
        h.frozen = false;
        h.facts.incarnation = h.life;
        h.facts.leaving = false;
        let w = Worker::new(h.facts.clone(), nodes, seed);
        let up = w.up();
        h.worker = Some(w);
        let life = h.life;
        self.note(up);
        let jitter = self.draw.below(TICK);
        self.at(self.t + 1 + jitter, Happening::HandTick(i, life));
    }

    pub(super) fn at(&mut self, t: u64, what: Happening) {
        self.seq += 1;
        self.queue.push(Reverse(Due {
            t,
            seq: self.seq,
            what,
        }));
    }

    pub(super) fn note(&mut self, e: Event) {
        self.history.add(self.t, e);
    }

    pub(super) fn say(&mut self, text: String) {
        self.log.push(format!("{:>7} {text}", self.t));
    }

    /// Runs the day to its end.
    pub fn run(mut self) -> Report {
        let end = (self.scenario.seconds + self.scenario.settle) * 1000;
        let most = (self.scenario.seconds + self.scenario.settle) * HAPPENINGS;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.t > end || self.seq > most {
                break;
            }
            self.t = due.t;
            self.happen(due.what);
            // A day that has come to rest needn't be sat out.
            if self.calm
                && self.t.is_multiple_of(1000)
                && self.t > (self.scenario.seconds + 15) * 1000
                && self.at_rest()
            {
                if self.closing {
                    break;
                }
                self.close_day();
            }
        }
        let circling = self.seq > most;
        self.close(circling)
    }

    fn at_rest(&self) -> bool {
        self.client.waiting() == 0
            && self.operators.iter().all(Operator::idle)
            && self.targets.is_empty()
    }

    /// The closing reads: the configuration, and every job once more; straight before them, where wanted, one last fault.
    fn close_day(&mut self) {
        self.closing = true;
        if self.scenario.last {
            let f = last_fault(&mut Draw::new(self.seed ^ 0x1a57), self.t);
            self.faults.push(f);
            self.strike(self.faults.len() - 1);
        }
        let t = self.t;
        self.client.ask_for_all(t);
        self.operators.iter_mut().for_each(Operator::read);
    }

    fn close(mut self, circling: bool) -> Report {
        (0..self.procs.len()).for_each(|i| self.keep_counters(i));
        let best = self
            .procs
            .iter()
            .filter_map(|p| {
                if let Kind::Core(Some(c), _) = &p.kind {
                    Some(c)
                } else {
                    None
                }
            })
            .max_by_key(|c| (c.leads(), c.record().place));
        let best_copies = best.map_or(0, |c| {
            c.record().queues.values().map(|q| q.copies_won).sum()
        });
        let (version, by, jobs) = best.map_or((0, String::new(), BTreeMap::new()), |c| {
            (c.record().version, mark(c.record()), states(c.record()))
        });
        // Whatever has not ended is shown with its ledger, for whoever looks for the cause.
        let open: Vec<String> = best.map_or(Vec::new(), |c| {
            let jobs = c
                .record()
                .open
                .iter()
                .filter_map(|id| c.record().jobs.get(id));
            jobs.map(|j| {
                format!(
                    "still open: {}",
                    serde_json::to_string(j).unwrap_or_default()
                )
            })
            .collect()
        });
        open.into_iter().for_each(|l| self.say(l));
        let copies_won = best_copies;
        self.note(Event::Closed { version, by, jobs });
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        self.procs
            .iter()
            .flat_map(|p| &p.counters)
            .for_each(|(k, v)| *counters.entry(k.clone()).or_default() += v);
        Report {
            summary: summary(
                &self.history,
                &Promised {
                    epoch: EPOCH,
                    ..Promised::default()
                },
            ),
            latencies: std::mem::take(&mut self.client.told.latencies),
            history: self.history,
            counters,
            faults: self.faults,
            log: self.log,
            circling,
            took: std::mem::take(&mut self.client.told.took),
            copies_won,
            messages: self.messages,
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(i, life) if self.procs[i].life == life => {
                self.reach(i, Msg::Tick);
                self.at(self.t + TICK, Happening::Tick(i, life));
            }
            Happening::Deliver {
                to,
                life,
                from,
                bytes,
            } if self.procs[to].life == life => {
                match unpack_as(self.procs[to].wire, &self.settings.cluster, &bytes) {
                    Err(WireDefect::Version(_)) => {
                        *self.procs[to]
                            .counters
                            .entry("frames_of_another_version".into())
                            .or_default() += 1
                    }
                    Ok(env) => self.reach(to, Msg::Wire(from, env.body)),
                    Err(e) => panic!("a frame of our own can't be read: {e}"),
                }
            }
            Happening::Saved(i, life, ticket) if self.procs[i].life == life => {
                let Kind::Core(_, disk) = &mut self.procs[i].kind else {
                    return;
                };
                if disk.condition != Condition::Sound {
                    return self.not_saved(i, life, ticket);
                }
                disk.done(ticket);
                self.reach(i, Msg::Saved(ticket));
            }
            Happening::Call {
                to,
                from,
                call,
                req,
            } => {
                let Some(i) = self
                    .by_addr
                    .get(&to)
                    .copied()
                    .filter(|i| self.procs[*i].up())
                else {
                    return;
                };
                self.next_call += 1;
                self.calls.insert(self.next_call, (from, call));
                let n = self.next_call;
                self.reach(i, Msg::Call(n, req));
            }
            Happening::Answer { to, call, v } => self.answer(to, call, v),
            Happening::HandTick(i, life) if self.hands[i].life == life => {
                if !self.hands[i].frozen {
                    let t = self.t;
                    let asks = self.hands[i]
                        .worker
                        .as_mut()
                        .map_or(Vec::new(), |w| w.tick(t));
                    self.asked(Ent::Worker(i, life), asks);
                }
                self.at(self.t + TICK, Happening::HandTick(i, life));
            }
            Happening::ClientTick => {
                let t = self.t;
                while let Some((_, spec)) = self.planned.pop_front_if(|(at, _)| *at <= t) {
                    let asks = self.client.offer(t, spec);
                    self.asked(Ent::Client, asks);
                }
                let asks = self.client.tick(t);
                self.asked(Ent::Client, asks);
                for i in 0..self.operators.len() {
                    let asks = self.operators[i].tick(t);
                    self.asked(Ent::Operator(i), asks);
                }
                self.at(self.t + TICK, Happening::ClientTick);
            }
            Happening::Fault(i) => self.strike(i),
            Happening::Heal(i) => self.heal(i),
            Happening::Calm => self.come_to_rest(),
            Happening::Probe => {
                self.probe();
                self.at(self.t + 500, Happening::Probe);
            }
            Happening::Look => {
                self.look();
                self.at(self.t + 100, Happening::Look);
            }
            _ => {}
        }
    }

    /// What could work now, for the history; and whom the platform finds ready.
    pub(super) fn look(&mut self) {
        let record = |p: &Proc| {
            if let Kind::Core(Some(c), _) = &p.kind {
                Some((c.record().place, c.record().cores.clone()))
            } else {
                None
            }
        };
        let newest = self
            .procs
            .iter()
            .filter_map(record)
            .max_by_key(|(place, _)| *place);
        self.committed = self.committed.max(newest.as_ref().map_or(0, |(p, _)| *p));
        let voters = newest.map_or(BTreeMap::new(), |(_, c)| c);
        let whole = |p: &Proc| {
            p.is_core()
                && p.up()
                && !p.frozen
                && !p.gone
                && (voters.is_empty() || voters.get(&p.addr).is_some_and(|c| c.voter))
                && record(p).is_some_and(|(at, _)| at >= p.owes)
        };
        let linked = |a: usize, b: usize| {
            self.procs[a].wire == self.procs[b].wire
                && !self.blocked.contains(&(a, b))
                && !self.blocked.contains(&(b, a))
        };
        let cores: Vec<usize> = (0..self.procs.len())
            .filter(|i| whole(&self.procs[*i]))
            .collect();
        let group: Vec<usize> = cores
            .iter()
            .map(|c| {
                cores
                    .iter()
                    .copied()
                    .filter(|d| d == c || linked(*c, *d))
                    .collect::<Vec<_>>()
            })
            .max_by_key(Vec::len)
            .unwrap_or_default();
        let nodes: Vec<String> = (0..self.procs.len())
            .filter(|i| {
                let p = &self.procs[*i];
                !p.is_core()
                    && p.up()
                    && !p.frozen
                    && !p.gone
                    && group.iter().all(|c| linked(*i, *c))
            })
            .map(|i| self.procs[i].addr.clone())
            .collect();
        let able = (group.len(), nodes);
        if able != self.able {
            self.able = able.clone();
            self.note(Event::Able {
                cores: able.0,
                nodes: able.1,
            });
        }
        if self.t.is_multiple_of(500) {
            let ready = (0..self.procs.len())
                .filter(|i| self.says_ready(*i))
                .map(|i| self.procs[i].addr.clone())
                .collect();
            self.client.ready = ready;
        }
    }

    fn says_ready(&self, i: usize) -> bool {
        let now = self.now(i);
        let p = &self.procs[i];
        matches!(&p.kind, Kind::Node(Some(n)) if !p.frozen && n.is_ready(now))
    }

    /// A core's disk is not whole until it has come to what was confirmed.
    pub(super) fn owe(&mut self, i: usize) {
        self.procs[i].owes = self.committed;
    }

    /// After an outage: jobs for every queue and service, so that it shows whether all are served.
    pub(super) fn muster(&mut self) {
        let t = self.t;
        let all = self.shape.mix();
        for queue in &all.queues {
            for service in &all.services {
                let mix = Mix {
                    queues: vec![queue.clone()],
                    services: vec![service.clone()],
                    plain: true,
                    tail: 0.0,
                    repeatable: 1.0,
                    ..all.clone()
                };
                let mut spec = job(
                    &mut self.draw,
                    &mix,
                    &format!("muster-{t}-{queue}-{service}"),
                    EPOCH + t,
                );
                let one = spec.tasks[0].clone();
                spec.tasks = (0..24)
                    .map(|n| landingdrift::record::TaskSpec {
                        name: format!("t{n}"),
                        ..one.clone()
                    })
                    .collect();
                let asks = self.client.offer_surely(t, spec);
                self.asked(Ent::Client, asks);
            }
        }
    }

    /// Every now and then: what nodes that say they are ready have in force, and what the operator reads.
    fn probe(&mut self) {
        for i in 0..self.procs.len() {
            let now = self.now(i);
            let p = &self.procs[i];
            if let Kind::Node(Some(n)) = &p.kind {
                if !p.frozen {
                    let (node, version, by, ready) = (
                        p.addr.clone(),
                        n.record().version,
                        mark(n.record()),
                        n.is_ready(now),
                    );
                    self.note(Event::NodeVersion {
                        node,
                        version,
                        by,
                        ready,
                    });
                }
            }
        }
        if self.t.is_multiple_of(3000) {
            self.operators[1].read();
        }
    }

    fn come_to_rest(&mut self) {
        self.calm = true;
        self.client.offering = false;
        for i in 0..self.faults.len() {
            self.heal(i);
        }
        self.blocked.clear();
        (0..self.procs.len()).for_each(|i| self.start(i));
        for i in 0..self.hands.len() {
            if self.hands[i].worker.is_none() && !self.hands[i].facts.leaving {
                self.start_worker(i);
            }
        }
        self.note(Event::Calm);
    }

    /// A message reaches a process, or waits while it stands still.
    pub(super) fn reach(&mut self, i: usize, msg: Msg) {
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
            Kind::Core(Some(c), _) => c.step(now, msg),
            Kind::Node(Some(n)) => n.step(now, msg),
            _ => Vec::new(),
        };
        for e in effects {
            self.effect(i, e);
        }
        let p = &mut self.procs[i];
        if let Kind::Node(Some(n)) = &p.kind {
            let version = n.record().version;
            if version != p.version && n.is_ready(now) {
                p.version = version;
                let (node, by) = (p.addr.clone(), mark(n.record()));
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
    fn not_saved(&mut self, i: usize, life: u64, ticket: u64) {
        if let Kind::Core(_, disk) = &self.procs[i].kind {
            if disk.condition == Condition::Full {
                self.reach(i, Msg::DiskDefect("no space left".into()));
            }
        }
        self.at(self.t + DISK_RETRY, Happening::Saved(i, life, ticket));
    }

    fn effect(&mut self, i: usize, e: Effect) {
        match e {
            Effect::Send(to, body) => self.carry(i, &to, &body),
            Effect::Save(save) => {
                let (t, life, jitter) = (self.t, self.procs[i].life, self.draw.below(3));
                if let Kind::Core(_, disk) = &mut self.procs[i].kind {
                    let ticket = save.ticket;
                    disk.pending.push_back(save);
                    let at = t + disk.delay + jitter;
                    self.at(at, Happening::Saved(i, life, ticket));
                }
            }
            Effect::Answer(call, v) => {
                if let Some((to, n)) = self.calls.remove(&call) {
                    if self.answers_lost > 0 && self.draw.below(100) < self.answers_lost {
                        return;
                    }
                    let at = self.t + self.lag(i);
                    self.at(at, Happening::Answer { to, call: n, v });
                }
            }
            Effect::Line(text) => {
                let addr = self.procs[i].addr.clone();
                self.say(format!("{addr} {text}"));
            }
            Effect::Exit => {
                // An orderly end: what was on its way to the disk arrives.
                let p = &mut self.procs[i];
                if let Kind::Core(_, disk) = &mut p.kind {
                    disk.crash(usize::MAX);
                }
                self.kill(i);
            }
        }
    }

    fn lag(&mut self, i: usize) -> u64 {
        1 + self.draw.below(3) * self.procs[i].slow + (self.procs[i].slow - 1) * 20
    }

    fn carry(&mut self, from: usize, to: &str, body: &Body) {
        let Some(j) = self
            .by_addr
            .get(to)
            .copied()
            .filter(|j| self.procs[*j].up() && !self.blocked.contains(&(from, *j)))
        else {
            return;
        };
        let at = self.t + self.lag(from) + (self.procs[j].slow - 1) * 20;
        let at = if self.procs[from].flaky || self.procs[j].flaky {
            // Connections break and come back: nothing keeps its order, some comes twice or never.
            if self.draw.below(100) < 15 {
                return;
            }
            at + if self.draw.below(100) < 40 {
                self.draw.below(400)
            } else {
                0
            }
        } else {
            // One connection keeps its order, however slow the link is.
            let last = self.arrivals.entry((from, j)).or_default();
            *last = at.max(*last);
            *last
        };
        self.messages += 1;
        let life = self.procs[j].life;
        let addr = self.procs[from].addr.clone();
        let bytes = pack_as(self.procs[from].wire, &self.settings.cluster, &addr, body);
        if (self.procs[from].flaky || self.procs[j].flaky) && self.draw.below(100) < 10 {
            let (from, bytes, again) = (addr.clone(), bytes.clone(), at + self.draw.below(500));
            self.at(
                again,
                Happening::Deliver {
                    to: j,
                    life,
                    from,
                    bytes,
                },
            );
        }
        self.at(
            at,
            Happening::Deliver {
                to: j,
                life,
                from: addr,
                bytes,
            },
        );
    }

    pub(super) fn asked(&mut self, from: Ent, asks: Vec<Ask>) {
        for a in asks {
            match a {
                Ask::Note(e) => self.note(e),
                Ask::Call { to, call, req } => {
                    if !self.dark(from) {
                        let at = self.t + 1 + self.draw.below(4);
                        self.at(
                            at,
                            Happening::Call {
                                to,
                                from,
                                call,
                                req,
                            },
                        );
                    }
                }
            }
        }
    }

    fn dark(&self, e: Ent) -> bool {
        matches!(e, Ent::Worker(i, _) if self.hands[i].cut)
    }

    fn answer(&mut self, to: Ent, call: u64, v: Verdict) {
        let t = self.t;
        match to {
            Ent::Worker(i, life) => {
                let h = &mut self.hands[i];
                if h.life != life || h.cut {
                    return;
                }
                if h.frozen {
                    h.inbox.push((call, v));
                    return;
                }
                let asks = h
                    .worker
                    .as_mut()
                    .map_or(Vec::new(), |w| w.answer(t, call, &v));
                self.asked(to, asks);
            }
            Ent::Client => {
                let asks = self.client.answer(t, call, &v);
                self.asked(to, asks);
            }
            Ent::Operator(i) => {
                let asks = self.operators[i].answer(t, call, &v);
                self.asked(to, asks);
            }
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |p: &Proc| {
            if let Kind::Core(Some(c), _) = &p.kind {
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
}

/// The mark that the change in force has left in the configuration.
fn mark(r: &Record) -> String {
    r.desired.notes.get("by").cloned().unwrap_or_default()
}

fn states(r: &Record) -> BTreeMap<String, (String, bool)> {
    let text = |s| {
        serde_json::to_value(s)
            .ok()
            .and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    };
    let unsure = |j: &landingdrift::record::Job| {
        j.tasks.iter().any(|t| {
            t.sends
                .iter()
                .any(|s| s.state == landingdrift::record::SendState::Unsure)
        })
    };
    r.jobs
        .iter()
        .map(|(k, j)| (k.clone(), (text(j.state), unsure(j))))
        .chain(
            r.tombs
                .iter()
                .map(|(k, t)| (k.clone(), (text(t.state), false))),
        )
        .collect()
}
