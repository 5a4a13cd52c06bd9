//! What happens in the day: ticks, messages, calls and answers, each with what it costs its process.

use super::{Clockwork, CORES, TICK};
use crate::history::Event;
use crate::measure::capacity::meter::timed;
use crate::simulator::EPOCH;
use crate::standin::{request, Ask};
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response};
use landingdrift::wire::{pack, unpack, Body};
use serde_json::json;

/// Whoever is told to come back waits for this many milliseconds at the least.
const RETRY_LEAST_MS: u64 = 200;
/// How long a job is on its way to a node, in milliseconds.
const HAND_IN_MS: u64 = 2;

/// Who makes a call.
#[derive(Clone, Copy)]
pub(super) enum Ent {
    Worker(usize),
    Client(u64),
    Operator,
}

/// What happens at a moment.
pub(super) enum Happening {
    Tick(usize),
    Deliver(usize, Vec<u8>),
    Saved(usize, u64),
    Call(usize, Ent, u64, Request),
    Answer(Ent, u64, Response),
    HandTick(usize),
    HandIn(u64),
    OperatorTick,
}

/// A happening that is due; of those at one moment the first that was planned comes first.
pub(super) struct Due {
    pub t: u64,
    pub seq: u64,
    pub what: Happening,
}

impl Due {
    fn order(&self) -> (u64, u64) {
        (self.t, self.seq)
    }
}

impl PartialEq for Due {
    fn eq(&self, o: &Self) -> bool {
        self.order() == o.order()
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
        self.order().cmp(&o.order())
    }
}

impl Clockwork {
    pub(super) fn happen(&mut self, what: Happening) {
        let t = self.t;
        match what {
            Happening::Tick(i) => {
                self.reach(i, Msg::Tick);
                self.at(t + TICK, Happening::Tick(i));
            }
            Happening::Deliver(i, bytes) => self.deliver(i, &bytes),
            Happening::Saved(i, write_id) => self.reach(i, Msg::Persisted(write_id)),
            Happening::Call(i, from, n, req) => {
                self.seq += 1;
                let call = self.seq;
                self.calls.insert(call, (from, n));
                self.procs[i].tally.calls += 1.0;
                self.reach(i, Msg::Call(call, req));
            }
            Happening::Answer(to, n, v) => self.answered(to, n, &v),
            Happening::HandTick(i) => {
                let asks = self.hands[i].tick(t);
                self.asked(Ent::Worker(i), asks);
                self.at(t + TICK, Happening::HandTick(i));
            }
            Happening::HandIn(job) => self.hand_in(job),
            Happening::OperatorTick => {
                let asks = self.operator.tick(t);
                self.asked(Ent::Operator, asks);
                if !self.operator.idle() {
                    self.at(t + TICK, Happening::OperatorTick);
                }
            }
        }
    }

    fn deliver(&mut self, i: usize, bytes: &[u8]) {
        let (env, spent) = timed(self.clock, || unpack(&self.cluster, bytes));
        let tally = &mut self.procs[i].tally;
        tally.messages_in += 1.0;
        tally.bytes_in += bytes.len() as f64;
        tally.wire += spent;
        if let Ok(env) = env {
            self.reach(i, Msg::Wire(env.from, env.body));
        }
    }

    fn answered(&mut self, to: Ent, n: u64, v: &Response) {
        let t = self.t;
        match to {
            Ent::Worker(i) => {
                let asks = self.hands[i].answer(t, n, v);
                self.asked(to, asks);
            }
            Ent::Operator => {
                let asks = self.operator.answer(t, n, v);
                self.asked(to, asks);
            }
            // Whoever hands in comes back until the job is taken, and doesn't poll.
            Ent::Client(job) if matches!(v.status, 200 | 202) => {
                self.jobs.remove(&job);
            }
            Ent::Client(job) => {
                let at = t + v.retry_ms.max(RETRY_LEAST_MS);
                self.at(at, Happening::HandIn(job));
            }
        }
    }

    fn hand_in(&mut self, job: u64) {
        let node = CORES + self.rng.below(self.size.nodes as u64) as usize;
        let Some(body) = self.jobs.get(&job).map(|spec| json!(spec)) else {
            return;
        };
        let req = request("POST", "/v1/jobs", "", Some(&body));
        let at = self.t + HAND_IN_MS;
        self.at(at, Happening::Call(node, Ent::Client(job), 0, req));
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
