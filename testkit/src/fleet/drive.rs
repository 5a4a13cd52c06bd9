use super::launch::Fleet;
use super::{FleetError, Options};
use crate::checkers::{check, summary, Broken, Promised, Summary};
use crate::history::{Event, History};
use crate::scenario::{Fault, Kind};
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use crate::standin::worker::Worker;
use crate::standin::{request, Ask};
use landingdrift::sans_io::{Request, Response, Rng};
use landingdrift::state::WorkerInfo;
use reqwest::blocking::Client as Http;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a fleet's day came to.
pub struct Outcome {
    pub history: History,
    pub summary: Summary,
    pub broken: Vec<Broken>,
    pub latencies: Vec<u64>,
    pub kept: u64,
    pub missed: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Ent {
    Worker(usize, u64),
    Client,
    Operator,
    Probe(usize),
}

type Answer = (Ent, u64, Response);

/// Makes one call and gives what came back; a lost answer has status 0.
pub fn call(http: &Http, to: &str, req: &Request) -> Response {
    let method = reqwest::Method::from_bytes(req.method.as_bytes()).unwrap_or_default();
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    let sent = http
        .request(method, format!("http://{to}{}{query}", req.path))
        .body(req.body.clone())
        .send();
    sent.map_or_else(
        |_| Response::default(),
        |r| {
            let status = r.status().as_u16();
            let body: Value = r.json().unwrap_or(Value::Null);
            Response {
                status,
                retry_ms: body["retryMs"].as_u64().unwrap_or(0),
                body,
                ..Response::default()
            }
        },
    )
}

struct Hand {
    worker: Option<Worker>,
    info: WorkerInfo,
    life: u64,
    cut: bool,
}

struct Day<'a> {
    o: &'a Options,
    fleet: Fleet,
    start: Instant,
    history: History,
    tx: Sender<(Ent, String, u64, Request)>,
    hands: Vec<Hand>,
    client: Client,
    operator: Operator,
    rng: Rng,
    healing: Vec<(u64, Fault, usize)>,
    /// Processes that are killed or stand still.
    down: BTreeSet<usize>,
    http: Http,
}

fn callers(rx: Receiver<(Ent, String, u64, Request)>, back: Sender<Answer>) {
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..24 {
        let (rx, back) = (rx.clone(), back.clone());
        let http = Http::builder()
            .timeout(Duration::from_millis(2500))
            .no_proxy()
            .build()
            .unwrap_or_default();
        thread::spawn(move || loop {
            let Ok((ent, to, n, req)) = rx
                .lock()
                .map_or(Err(std::sync::mpsc::RecvError), |r| r.recv())
            else {
                return;
            };
            if back.send((ent, n, call(&http, &to, &req))).is_err() {
                return;
            }
        });
    }
}

/// Runs a fleet's day and checks its history.
pub fn run(o: &Options) -> Result<Outcome, FleetError> {
    let fleet = Fleet::start(o)?;
    let nodes = fleet.nodes();
    let (tx, rx) = channel();
    let (back, answers) = channel();
    callers(rx, back);
    let http = Http::builder()
        .timeout(Duration::from_millis(1000))
        .no_proxy()
        .build()
        .unwrap_or_default();
    let waiting = Instant::now();
    while !nodes
        .iter()
        .all(|n| call(&http, n, &request("GET", "/ready", "", None)).status == 200)
    {
        if waiting.elapsed() > Duration::from_secs(60) {
            return Err(FleetError::NotReady(
                "not all nodes became ready within a minute".into(),
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let start = Instant::now();
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let mut mix = o.shape.mix();
    if o.rate > 0.0 {
        mix.rate = o.rate;
    }
    let services = mix.services.clone();
    let hands = (0..o.shape.workers())
        .map(|i| Hand {
            worker: None,
            info: WorkerInfo {
                worker: format!("w{i}"),
                incarnation: 0,
                service: services[i % 2].clone(),
                labels: [(i % 3 != 0).then(|| "ssd".to_string())]
                    .into_iter()
                    .flatten()
                    .collect(),
                zone: format!("z{}", i % 3),
                cpu: o.shape.cpu(),
                ..WorkerInfo::default()
            },
            life: 0,
            cut: false,
        })
        .collect();
    let mut operator = Operator::new("op", nodes.clone(), o.seed);
    operator.apply(false, o.shape.config());
    let day = Day {
        o,
        fleet,
        start,
        history: History::default(),
        tx,
        hands,
        client: Client::new("j", nodes, mix, o.seed, epoch),
        operator,
        rng: Rng::new(o.seed ^ 77),
        healing: Vec::new(),
        down: BTreeSet::new(),
        http,
    };
    day.live(&answers, epoch)
}

impl Day<'_> {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&mut self, e: Event) {
        let t = self.now();
        self.history.add(t, e);
    }

    fn talk(&self, text: &str) {
        if self.o.talk {
            landingdrift::outln!("{:>7} {text}", self.now());
        }
    }

    fn asked(&mut self, from: Ent, asks: Vec<Ask>) {
        for a in asks {
            match a {
                Ask::DurabilityWitness(e) => self.note(e),
                // A cut is made here, in the stand-ins' own transport.
                Ask::Call { .. } if matches!(from, Ent::Worker(i, _) if self.hands[i].cut) => {}
                Ask::Call { to, call, req } => {
                    let _ = self.tx.send((from, to, call, req));
                }
            }
        }
    }

    fn worker_up(&mut self, i: usize) {
        let nodes = self.fleet.nodes();
        let seed = self.rng.number();
        let h = &mut self.hands[i];
        h.life += 1;
        h.info.incarnation = h.life;
        let w = Worker::new(h.info.clone(), nodes, seed);
        let up = w.up();
        h.worker = Some(w);
        self.note(up);
    }

    fn worker_dies(&mut self, i: usize) {
        self.hands[i].worker = None;
        self.hands[i].life += 1;
        let worker = self.hands[i].info.worker.clone();
        self.note(Event::WorkerDied { worker });
    }

    fn live(mut self, answers: &Receiver<Answer>, epoch: u64) -> Result<Outcome, FleetError> {
        self.able();
        (0..self.hands.len()).for_each(|i| self.worker_up(i));
        let mut faults = self.o.faults.clone();
        faults.sort_by_key(|f| f.at);
        faults.reverse();
        let (load, end) = (
            self.o.seconds * 1000,
            (self.o.seconds + self.o.settle) * 1000,
        );
        let mut next_probe = 0;
        let mut calm = false;
        loop {
            let now = self.now();
            while let Some(f) = faults.pop_if(|f| f.at <= now) {
                self.strike(&f);
            }
            for (_, f, x) in self
                .healing
                .extract_if(.., |(t, _, _)| *t <= now || calm)
                .collect::<Vec<_>>()
            {
                self.heal(&f, x)?;
            }
            if now >= load && faults.is_empty() && self.healing.is_empty() && !calm {
                calm = true;
                self.client.offering = false;
                self.note(Event::Calm);
                self.talk("load has ended");
            }
            for i in 0..self.hands.len() {
                let life = self.hands[i].life;
                let asks = self.hands[i]
                    .worker
                    .as_mut()
                    .map_or(Vec::new(), |w| w.tick(now));
                self.asked(Ent::Worker(i, life), asks);
            }
            let asks = self.client.tick(now);
            self.asked(Ent::Client, asks);
            let asks = self.operator.tick(now);
            self.asked(Ent::Operator, asks);
            if now >= next_probe {
                next_probe = now + 500;
                for (i, p) in self
                    .fleet
                    .procs
                    .iter()
                    .enumerate()
                    .filter(|(_, p)| !p.replica)
                {
                    let _ = self.tx.send((
                        Ent::Probe(i),
                        p.http.clone(),
                        0,
                        request("GET", "/ready", "", None),
                    ));
                }
                if now % 3000 < 500 {
                    self.operator.read();
                }
            }
            while let Ok((ent, n, v)) = answers.try_recv() {
                self.answered(ent, n, &v);
            }
            if calm && ((self.client.waiting() == 0 && self.operator.idle()) || now >= end) {
                break;
            }
            if let Ok((ent, n, v)) = answers.recv_timeout(Duration::from_millis(10)) {
                self.answered(ent, n, &v);
            }
        }
        self.close(epoch)
    }

    fn answered(&mut self, ent: Ent, n: u64, v: &Response) {
        if v.status == 0 && !matches!(ent, Ent::Probe(_)) {
            return;
        }
        let now = self.now();
        let asks = match ent {
            Ent::Worker(i, life) if self.hands[i].life == life && !self.hands[i].cut => self.hands
                [i]
                .worker
                .as_mut()
                .map_or(Vec::new(), |w| w.answer(now, n, v)),
            Ent::Worker(..) => Vec::new(),
            Ent::Client => self.client.answer(now, n, v),
            Ent::Operator => self.operator.answer(now, n, v),
            Ent::Probe(i) if v.body["version"].is_u64() => {
                vec![Ask::DurabilityWitness(Event::NodeVersion {
                    node: self.fleet.procs[i].http.clone(),
                    version: v.body["version"].as_u64().unwrap_or(0),
                    by: String::new(),
                    ready: v.status == 200,
                })]
            }
            Ent::Probe(_) => Vec::new(),
        };
        self.asked(ent, asks);
    }

    fn leader(&self) -> usize {
        let role = |p: &super::launch::Running| {
            call(&self.http, &p.http, &request("GET", "/v1/status", "", None)).body["role"]
                == "Leader"
        };
        self.fleet
            .procs
            .iter()
            .position(|p| p.replica && role(p))
            .unwrap_or(0)
    }

    fn strike(&mut self, f: &Fault) {
        let number = f
            .who
            .rsplit(':')
            .next()
            .and_then(|n| n.parse::<usize>().ok())
            .unwrap_or(0);
        let x = match f.who.split(':').next() {
            Some("leader") => self.leader(),
            Some("node") => {
                let all = (0..self.fleet.procs.len()).filter(|i| !self.fleet.procs[*i].replica);
                all.clone().nth(number % all.count().max(1)).unwrap_or(0)
            }
            Some("core") => number % 3,
            _ => number,
        };
        self.talk(&format!("fault {:?} {}", f.kind, f.who));
        self.note(Event::Fault {
            what: format!("{:?} {x}", f.kind),
        });
        let node_down = |d: &mut Self| {
            if !d.fleet.procs[x].replica {
                let node = d.fleet.procs[x].http.clone();
                d.note(Event::NodeDown { node });
            }
        };
        match f.kind {
            Kind::Kill => {
                self.fleet.kill(x);
                node_down(self);
            }
            Kind::Freeze => self.fleet.freeze(x),
            Kind::Restart => {
                let orderly = self.fleet.stop(x, Duration::from_secs(10));
                self.talk(if orderly {
                    "stopped in order"
                } else {
                    "did not stop in order"
                });
                node_down(self);
            }
            Kind::Outage | Kind::LoseZone => {
                let of: Vec<usize> = (0..self.fleet.procs.len())
                    .filter(|i| f.kind == Kind::Outage || self.fleet.procs[*i].zone == x)
                    .collect();
                for i in of {
                    self.fleet.kill(i);
                    if !self.fleet.procs[i].replica {
                        let node = self.fleet.procs[i].http.clone();
                        self.note(Event::NodeDown { node });
                    }
                }
                let zone = format!("z{x}");
                let lost = |h: &Hand| f.kind == Kind::LoseZone && h.info.zone == zone;
                (0..self.hands.len())
                    .filter(|i| lost(&self.hands[*i]))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|i| self.worker_dies(i));
            }
            Kind::LoseTail => {
                self.fleet.kill(x);
                let lost = self.fleet.cut_back(x, 6000);
                self.talk(&lost.map_or_else(
                    |e| e.to_string(),
                    |n| format!("its disk lost the last {n} bytes"),
                ));
            }
            Kind::ReplaceCore => {
                let done = self.fleet.replace(x);
                self.talk(&done.map_or_else(
                    |e| e.to_string(),
                    |()| "an empty core starts at a new address".into(),
                ));
            }
            Kind::WorkerCrash => self.worker_dies(x),
            Kind::WorkerCut => {
                self.hands[x].cut = true;
                self.note(Event::Fault {
                    what: format!("dark w{x}"),
                });
            }
            Kind::WorkerLeaves => {
                let now = self.now();
                let life = self.hands[x].life;
                let asks = self.hands[x]
                    .worker
                    .as_mut()
                    .map_or(Vec::new(), |w| w.leave(now));
                self.asked(Ent::Worker(x, life), asks);
            }
            Kind::Drain => self.operator.zone(&format!("z{x}"), "draining"),
            Kind::Evacuate => self.operator.zone(&format!("z{x}"), "evacuated"),
            other => self.talk(&format!("{other:?} is for the simulator only: left out")),
        }
        match f.kind {
            Kind::Kill | Kind::Freeze | Kind::Restart | Kind::LoseTail | Kind::ReplaceCore => {
                self.down.insert(x);
            }
            Kind::LoseZone => self
                .down
                .extend((0..self.fleet.procs.len()).filter(|i| self.fleet.procs[*i].zone == x)),
            Kind::Outage => self.down.extend(0..self.fleet.procs.len()),
            _ => {}
        }
        self.able();
        self.healing.push((self.now() + f.lasts, f.clone(), x));
    }

    /// What could work now, for the history.
    fn able(&mut self) {
        let up = |replica: bool| -> Vec<String> {
            let all = self.fleet.procs.iter().enumerate();
            all.filter(|(i, p)| p.replica == replica && !self.down.contains(i))
                .map(|(_, p)| p.http.clone())
                .collect()
        };
        let (replicas, nodes) = (up(true).len(), up(false));
        self.note(Event::Able { replicas, nodes });
    }

    fn heal(&mut self, f: &Fault, x: usize) -> Result<(), FleetError> {
        match f.kind {
            Kind::Kill | Kind::Restart | Kind::LoseTail => self.fleet.up(x)?,
            Kind::LoseZone => {
                (0..self.fleet.procs.len()).try_for_each(|i| self.fleet.up(i))?;
                (0..self.hands.len())
                    .filter(|i| self.hands[*i].worker.is_none())
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|i| self.worker_up(i));
            }
            Kind::Freeze => self.fleet.wake(x),
            Kind::Outage => {
                (0..self.fleet.procs.len()).try_for_each(|i| self.fleet.up(i))?;
                self.note(Event::OutageOver);
            }
            Kind::WorkerCrash if self.hands[x].worker.is_none() => self.worker_up(x),
            Kind::WorkerCut => {
                self.hands[x].cut = false;
                self.note(Event::Fault {
                    what: format!("light w{x}"),
                });
            }
            Kind::WorkerLeaves => {
                self.worker_dies(x);
                self.worker_up(x);
            }
            Kind::Drain | Kind::Evacuate => {
                self.operator.zone(&format!("z{x}"), "serving");
            }
            _ => {}
        }
        match f.kind {
            Kind::Outage | Kind::LoseZone => self.down.retain(|i| self.fleet.procs[*i].gone),
            Kind::Kill | Kind::Freeze | Kind::Restart | Kind::LoseTail => {
                self.down.remove(&x);
            }
            _ => {}
        }
        self.able();
        self.note(Event::Healed {
            what: format!("{:?} {x}", f.kind),
        });
        Ok(())
    }

    fn close(mut self, epoch: u64) -> Result<Outcome, FleetError> {
        let nodes = self.fleet.nodes();
        let ask = |path: &str, query: &str| {
            let max_attempts = (0..30).map(|i| {
                if i > 0 {
                    thread::sleep(Duration::from_millis(200));
                }
                call(
                    &self.http,
                    &nodes[i % nodes.len()],
                    &request("GET", path, query, None),
                )
            });
            max_attempts
                .filter(|v| v.status == 200)
                .map(|v| v.body)
                .next()
                .ok_or_else(|| {
                    FleetError::NotReady(format!("{path} could not be read at the end of the day"))
                })
        };
        let mut jobs: BTreeMap<String, (String, bool)> = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = ask("/v1/jobs", &format!("limit=500&after={after}"))?;
            for j in page["jobs"].as_array().into_iter().flatten() {
                let (id, state) = (
                    j["id"].as_str().unwrap_or("").to_string(),
                    j["state"].as_str().unwrap_or("").to_string(),
                );
                let ended = ["done", "failed", "cancelled"].contains(&state.as_str());
                let unsure = !ended && ask(&format!("/v1/jobs/{id}"), "")?["unsure"] == true;
                jobs.insert(id, (state, unsure));
            }
            match page["next"].as_str() {
                Some(n) => after = n.to_string(),
                None => break,
            }
        }
        let config = ask("/v1/desired", "")?;
        let (version, by) = (
            config["version"].as_u64().unwrap_or(0),
            config["desired"]["notes"]["by"]
                .as_str()
                .unwrap_or("")
                .to_string(),
        );
        let status = ask("/v1/status", "")?;
        let sum = |key: &str| {
            status["queues"]
                .as_object()
                .into_iter()
                .flatten()
                .filter_map(|(_, q)| q[key].as_u64())
                .sum()
        };
        let (kept, missed) = (sum("kept"), sum("missed"));
        self.note(Event::Closed { version, by, jobs });
        for i in 0..self.fleet.procs.len() {
            if self.fleet.ended(i) {
                return Err(FleetError::NotReady(format!(
                    "{} ended by itself",
                    self.fleet.procs[i].listen
                )));
            }
        }
        // Heartbeats and calls of a real day wait for this machine as well.
        let promised = Promised {
            epoch,
            alone: Promised::default().alone_struck,
            ..Promised::default()
        };
        let broken = check(&self.history, &promised);
        Ok(Outcome {
            summary: summary(&self.history, &promised),
            broken,
            latencies: std::mem::take(&mut self.client.told.latencies),
            history: self.history,
            kept,
            missed,
        })
    }
}
