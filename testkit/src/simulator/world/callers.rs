//! Those who call the system from outside: workers, the client and the operators.

use super::{Happening, World, TICK};
use crate::scenario::{job, Mix};
use crate::simulator::EPOCH;
use crate::standin::worker::Worker;
use crate::standin::Ask;
use landingdrift::sans_io::Response;
use landingdrift::state::WorkerInfo;

/// A worker's machine: the worker, if it runs, and what keeps it from working.
pub(in crate::simulator) struct WorkerMachine {
    pub worker: Option<Worker>,
    pub info: WorkerInfo,
    pub zone: usize,
    pub frozen: bool,
    pub cut: bool,
    pub inbox: Vec<(u64, Response)>,
    pub life: u64,
}

/// Who made a call; a worker with its life, so that answers to an earlier one are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::simulator) enum Ent {
    Worker(usize, u64),
    Client,
    Operator(usize),
}

impl World {
    pub(in crate::simulator) fn start_worker(&mut self, i: usize) {
        let nodes = self.node_http();
        let seed = self.rng.number();
        let h = &mut self.hands[i];
        h.life += 1;
        h.frozen = false;
        h.info.incarnation = h.life;
        h.info.leaving = false;
        let w = Worker::new(h.info.clone(), nodes, seed);
        let up = w.up();
        h.worker = Some(w);
        let life = h.life;
        self.note(up);
        let jitter = self.rng.below(TICK);
        self.at(self.t + 1 + jitter, Happening::HandTick(i, life));
    }

    /// Lets the client and the operators look at the time.
    pub(super) fn tick_client(&mut self) {
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

    pub(in crate::simulator) fn asked(&mut self, from: Ent, asks: Vec<Ask>) {
        for a in asks {
            match a {
                Ask::DurabilityWitness(e) => self.note(e),
                Ask::Call { to, call, req } => {
                    if !self.dark(from) {
                        let at = self.t + 1 + self.rng.below(4);
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

    pub(super) fn answer(&mut self, to: Ent, call: u64, v: Response) {
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

    /// After an outage: jobs for every queue and service, so that it shows whether all are served.
    pub(in crate::simulator) fn muster(&mut self) {
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
                    &mut self.rng,
                    &mix,
                    &format!("muster-{t}-{queue}-{service}"),
                    EPOCH + t,
                );
                let one = spec.tasks[0].clone();
                spec.tasks = (0..24)
                    .map(|n| landingdrift::state::TaskSpec {
                        name: format!("t{n}"),
                        ..one.clone()
                    })
                    .collect();
                let asks = self.client.offer_surely(t, spec);
                self.asked(Ent::Client, asks);
            }
        }
    }
}
