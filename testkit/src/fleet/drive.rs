//! A fleet's day: the stand-ins act on real processes until the load has ended and all is answered.

mod calls;
mod close;
mod faults;
mod setup;

pub use calls::call;
pub use setup::run;

use super::launch::Fleet;
use super::{FleetError, Options};
use crate::checkers::{Broken, Summary};
use crate::history::{Event, History};
use crate::scenario::Fault;
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use crate::standin::worker::Worker;
use crate::standin::{request, Ask};
use calls::{Answer, Outgoing};
use landingdrift::sans_io::{Response, Rng};
use landingdrift::state::WorkerInfo;
use reqwest::blocking::Client as Http;
use std::collections::BTreeSet;
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

/// How often nodes are asked which version is in force, in milliseconds.
const PROBE_EVERY_MS: u64 = 500;
/// How often the operator reads the configuration, in milliseconds: with one probe in six.
const READ_EVERY_MS: u64 = 3000;
/// How long the day waits for an answer before all stand-ins look at the time again.
const TURN: Duration = Duration::from_millis(10);

/// What a fleet's day came to.
pub struct Outcome {
    pub history: History,
    pub summary: Summary,
    pub broken: Vec<Broken>,
    pub latencies: Vec<u64>,
    pub kept: u64,
    pub missed: u64,
}

/// Who makes a call.
#[derive(Clone, Copy, PartialEq)]
enum Ent {
    /// A worker's number, and its life.
    Worker(usize, u64),
    Client,
    Operator,
    /// The day itself, which looks at a process.
    Probe(usize),
}

/// A place for a stand-in worker.
struct Hand {
    worker: Option<Worker>,
    info: WorkerInfo,
    life: u64,
    cut: bool,
}

/// A fault that is to be healed.
struct Repair {
    /// In milliseconds since the day's start.
    due: u64,
    fault: Fault,
    /// The number of what it struck.
    target: usize,
}

struct Day<'a> {
    o: &'a Options,
    fleet: Fleet,
    start: Instant,
    history: History,
    tx: Sender<Outgoing>,
    hands: Vec<Hand>,
    client: Client,
    operator: Operator,
    rng: Rng,
    healing: Vec<Repair>,
    /// Processes that are killed or stand still.
    down: BTreeSet<usize>,
    http: Http,
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
                    let _ = self.tx.send(Outgoing {
                        from,
                        to,
                        call,
                        request: req,
                    });
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
        let load = self.o.seconds * 1000;
        let end = (self.o.seconds + self.o.settle) * 1000;
        let mut next_probe = 0;
        let mut calm = false;
        loop {
            let now = self.now();
            while let Some(f) = faults.pop_if(|f| f.at <= now) {
                self.strike(&f);
            }
            self.heal_due(now, calm)?;
            if now >= load && faults.is_empty() && self.healing.is_empty() && !calm {
                calm = true;
                self.client.offering = false;
                self.note(Event::Calm);
                self.talk("load has ended");
            }
            self.tick(now);
            if now >= next_probe {
                next_probe = now + PROBE_EVERY_MS;
                self.probe(now);
            }
            while let Ok(answer) = answers.try_recv() {
                self.answered(&answer);
            }
            if calm && (self.all_answered() || now >= end) {
                break;
            }
            if let Ok(answer) = answers.recv_timeout(TURN) {
                self.answered(&answer);
            }
        }
        self.close(epoch)
    }

    /// Heals what is due; once the load has ended, all.
    fn heal_due(&mut self, now: u64, calm: bool) -> Result<(), FleetError> {
        let due = self.healing.extract_if(.., |r| r.due <= now || calm);
        let due: Vec<Repair> = due.collect();
        for repair in due {
            self.heal(&repair.fault, repair.target)?;
        }
        Ok(())
    }

    fn all_answered(&self) -> bool {
        self.client.waiting() == 0 && self.operator.idle()
    }

    /// Lets every stand-in look at the time.
    fn tick(&mut self, now: u64) {
        for i in 0..self.hands.len() {
            let Hand { worker, life, .. } = &mut self.hands[i];
            let life = *life;
            let asks = worker.as_mut().map_or(Vec::new(), |w| w.tick(now));
            self.asked(Ent::Worker(i, life), asks);
        }
        let asks = self.client.tick(now);
        self.asked(Ent::Client, asks);
        let asks = self.operator.tick(now);
        self.asked(Ent::Operator, asks);
    }

    /// Asks every node which version is in force, and now and then has the operator read it.
    fn probe(&mut self, now: u64) {
        for (i, p) in self
            .fleet
            .procs
            .iter()
            .enumerate()
            .filter(|(_, p)| !p.replica)
        {
            let _ = self.tx.send(Outgoing {
                from: Ent::Probe(i),
                to: p.http.clone(),
                call: 0,
                request: request("GET", "/ready", "", None),
            });
        }
        if now % READ_EVERY_MS < PROBE_EVERY_MS {
            self.operator.read();
        }
    }

    fn answered(&mut self, answer: &Answer) {
        let Answer { to, call, response } = answer;
        if response.status == 0 && !matches!(to, Ent::Probe(_)) {
            return;
        }
        let now = self.now();
        let asks = match *to {
            Ent::Worker(i, life) => self.worker_answered(now, i, life, answer),
            Ent::Client => self.client.answer(now, *call, response),
            Ent::Operator => self.operator.answer(now, *call, response),
            Ent::Probe(i) => self.probe_answered(i, response),
        };
        self.asked(*to, asks);
    }

    fn worker_answered(&mut self, now: u64, i: usize, life: u64, answer: &Answer) -> Vec<Ask> {
        let hand = &mut self.hands[i];
        if hand.life != life || hand.cut {
            return Vec::new();
        }
        hand.worker
            .as_mut()
            .map_or(Vec::new(), |w| w.answer(now, answer.call, &answer.response))
    }

    fn probe_answered(&self, i: usize, response: &Response) -> Vec<Ask> {
        let Some(version) = response.body["version"].as_u64() else {
            return Vec::new();
        };
        vec![Ask::DurabilityWitness(Event::NodeVersion {
            node: self.fleet.procs[i].http.clone(),
            version,
            by: String::new(),
            ready: response.status == 200,
        })]
    }
}
