//! What happens in the day: ticks, messages, calls and answers, each with what it costs its process.

use super::{Clockwork, CORES, TICK};
use crate::fakes::{request, Output};
use crate::history::Event;
use crate::measure::capacity::meter::timed;
use crate::simulator::EPOCH;
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response};
use landingdrift::wire::{pack, unpack, Body};
use serde_json::json;

/// Whoever is told to come back waits for this many milliseconds at the least.
const RETRY_LEAST_MS: u64 = 200;
/// How long a job is on its way to a node, in milliseconds.
const HAND_IN_MS: u64 = 2;

/// Who makes a call.
#[derive(Clone, Copy)]
pub(super) enum Caller {
    Worker(usize),
    Client(u64),
    Operator,
}

/// What happens at a moment.
pub(super) enum Action {
    Tick(usize),
    Deliver(usize, Vec<u8>),
    Saved(usize, u64),
    Call(usize, Caller, u64, Request),
    Answer(Caller, u64, Response),
    WorkerTick(usize),
    HandIn(u64),
    OperatorTick,
}

/// A happening that is due; of those at one moment the first that was planned comes first.
pub(super) struct Due {
    pub t: u64,
    pub seq: u64,
    pub what: Action,
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
    pub(super) fn happen(&mut self, what: Action) {
        let t = self.t;
        match what {
            Action::Tick(i) => {
                self.reach(i, Msg::Tick);
                self.at(t + TICK, Action::Tick(i));
            }
            Action::Deliver(i, bytes) => self.deliver(i, &bytes),
            Action::Saved(i, write_id) => self.reach(i, Msg::Persisted(write_id)),
            Action::Call(i, from, n, req) => {
                self.seq += 1;
                let call = self.seq;
                self.calls.insert(call, (from, n));
                self.processes[i].tally.calls += 1.0;
                self.reach(i, Msg::Call(call, req));
            }
            Action::Answer(to, n, v) => self.answered(to, n, &v),
            Action::WorkerTick(i) => {
                let outputs = self.workers[i].tick(t);
                self.asked(Caller::Worker(i), outputs);
                self.at(t + TICK, Action::WorkerTick(i));
            }
            Action::HandIn(job) => self.hand_in(job),
            Action::OperatorTick => {
                let outputs = self.operator.tick(t);
                self.asked(Caller::Operator, outputs);
                if !self.operator.is_idle() {
                    self.at(t + TICK, Action::OperatorTick);
                }
            }
        }
    }

    fn deliver(&mut self, i: usize, bytes: &[u8]) {
        let (env, spent) = timed(self.clock, || unpack(&self.cluster, bytes));
        let tally = &mut self.processes[i].tally;
        tally.messages_in += 1.0;
        tally.bytes_in += bytes.len() as f64;
        tally.wire += spent;
        if let Ok(env) = env {
            self.reach(i, Msg::Wire(env.from, env.body));
        }
    }

    fn answered(&mut self, to: Caller, n: u64, v: &Response) {
        let t = self.t;
        match to {
            Caller::Worker(i) => {
                let outputs = self.workers[i].answer(t, n, v);
                self.asked(to, outputs);
            }
            Caller::Operator => {
                let outputs = self.operator.answer(t, n, v);
                self.asked(to, outputs);
            }
            // Whoever hands in comes back until the job is taken, and doesn't poll.
            Caller::Client(job) if matches!(v.status, 200 | 202) => {
                self.jobs.remove(&job);
            }
            Caller::Client(job) => {
                let at = t + v.retry_ms.max(RETRY_LEAST_MS);
                self.at(at, Action::HandIn(job));
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
        self.at(at, Action::Call(node, Caller::Client(job), 0, req));
    }

    fn asked(&mut self, from: Caller, outputs: Vec<Output>) {
        for a in outputs {
            match a {
                Output::Event(Event::RunStarted { .. }) => self.started += 1.0,
                Output::Event(_) => {}
                Output::Call {
                    to,
                    call,
                    request: req,
                } => {
                    let at = self.t + 1 + self.rng.below(4);
                    if let Some(i) = self.by_addr.get(&to).copied() {
                        self.at(at, Action::Call(i, from, call, req));
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
        let p = &mut self.processes[i];
        let (effects, spent) = timed(self.clock, || p.step(now, msg));
        p.tally.step += spent;
        for e in effects {
            match e {
                Effect::Send(to, body) => self.carry(i, &to, &body),
                Effect::Persist(save) => {
                    let at = self.t + 2 + self.rng.below(3);
                    self.at(at, Action::Saved(i, save.write_id));
                }
                Effect::Answer(call, v) => {
                    if let Some((to, n)) = self.calls.remove(&call) {
                        let at = self.t + 1 + self.rng.below(3);
                        self.at(at, Action::Answer(to, n, v));
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
        let p = &mut self.processes[from];
        let (bytes, spent) = timed(self.clock, || pack(&self.cluster, &p.addr, body));
        p.tally.messages_out += 1.0;
        p.tally.bytes_out += bytes.len() as f64;
        p.tally.wire += spent;
        // One connection keeps its order.
        let at = self.t + 1 + self.rng.below(3);
        let last = self.arrivals.entry((from, j)).or_default();
        *last = at.max(*last);
        let at = *last;
        self.at(at, Action::Deliver(j, bytes));
    }
}
