//! What happens in the day: ticks, messages, calls and answers, each with what it costs its process.

use super::{MeteredDay, OpenCall, REPLICAS, TICK_MS};
use crate::fakes::{request, Output};
use crate::history::Event;
use crate::measure::capacity::meter::timed;
use crate::simulator::EPOCH;
use landingdrift::sans_io::{Effect, Msg, Now, Request, Response};
use landingdrift::wire::{pack, unpack, Body};
use serde_json::json;
use std::cmp::Ordering;

/// A job that was refused is submitted again after this time at the earliest, in milliseconds.
const MIN_RETRY_MS: u64 = 200;
/// How long a job is on its way to a node, in milliseconds.
const SUBMIT_LATENCY_MS: u64 = 2;
/// Messages and answers take 1 ms to this many.
const LATENCY_SPREAD_MS: u64 = 3;
/// Calls take 1 ms to this many.
const CALL_LATENCY_SPREAD_MS: u64 = 4;
/// A write takes so long at least, in milliseconds.
const WRITE_MS: u64 = 2;
/// A write takes less than so many milliseconds more.
const WRITE_SPREAD_MS: u64 = 3;

/// Who makes a call.
#[derive(Clone, Copy)]
pub(super) enum Caller {
    Worker(usize),
    /// Whoever submits the job of this number.
    Client(u64),
    Operator,
}

/// What happens at a moment. Processes and workers are named by their positions.
pub(super) enum Action {
    TickProcess(usize),
    Deliver {
        to: usize,
        frame: Vec<u8>,
    },
    CompleteWrite {
        process: usize,
        write_id: u64,
    },
    Call {
        to: usize,
        open: OpenCall,
        request: Request,
    },
    Answer {
        open: OpenCall,
        response: Response,
    },
    TickWorker(usize),
    /// The job of a number is submitted.
    Submit(u64),
    TickOperator,
}

/// An action that is due, ordered by its time, then by when it was scheduled.
pub(super) struct ScheduledAction {
    pub at_ms: u64,
    pub sequence: u64,
    pub action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |scheduled: &Self| (scheduled.at_ms, scheduled.sequence);
        key(self).cmp(&key(other))
    }
}

impl MeteredDay {
    pub(super) fn perform(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::TickProcess(process) => {
                self.step(process, Msg::Tick);
                self.schedule_in(TICK_MS, Action::TickProcess(process));
            }
            Action::Deliver { to, frame } => self.deliver(to, &frame),
            Action::CompleteWrite { process, write_id } => {
                self.step(process, Msg::Persisted(write_id));
            }
            Action::Call { to, open, request } => {
                // Numbers of calls and of actions come from one sequence, so that seeds give the same days as ever.
                self.sequence += 1;
                let call = self.sequence;
                self.open_calls.insert(call, open);
                self.processes[to].tally.calls += 1.0;
                self.step(to, Msg::Call(call, request));
            }
            Action::Answer { open, response } => self.answered(open, &response),
            Action::TickWorker(worker) => {
                let outputs = self.workers[worker].tick(now);
                self.handle_outputs(Caller::Worker(worker), outputs);
                self.schedule_in(TICK_MS, Action::TickWorker(worker));
            }
            Action::Submit(job) => self.submit(job),
            Action::TickOperator => {
                let outputs = self.operator.tick(now);
                self.handle_outputs(Caller::Operator, outputs);
                if !self.operator.is_idle() {
                    self.schedule_in(TICK_MS, Action::TickOperator);
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, frame: &[u8]) {
        let (envelope, spent) = timed(self.clock_cost, || unpack(&self.cluster, frame));
        let tally = &mut self.processes[to].tally;
        tally.messages_in += 1.0;
        tally.bytes_in += frame.len() as f64;
        tally.wire += spent;
        if let Ok(envelope) = envelope {
            self.step(to, Msg::Received(envelope.from, envelope.body));
        }
    }

    fn answered(&mut self, open: OpenCall, response: &Response) {
        let now = self.now;
        match open.caller {
            Caller::Worker(worker) => {
                let outputs = self.workers[worker].answer(now, open.call, response);
                self.handle_outputs(open.caller, outputs);
            }
            Caller::Operator => {
                let outputs = self.operator.answer(now, open.call, response);
                self.handle_outputs(open.caller, outputs);
            }
            // A job is submitted until it is accepted, and not polled.
            Caller::Client(job) if matches!(response.status, 200 | 202) => {
                self.open_jobs.remove(&job);
            }
            Caller::Client(job) => {
                let pause_ms = response.retry_ms.max(MIN_RETRY_MS);
                self.schedule_in(pause_ms, Action::Submit(job));
            }
        }
    }

    fn submit(&mut self, job: u64) {
        let to = REPLICAS + self.rng.below(self.size.nodes as u64) as usize;
        let Some(spec) = self.open_jobs.get(&job) else {
            return;
        };
        let request = request("POST", "/v1/jobs", "", Some(&json!(spec)));
        let open = OpenCall {
            caller: Caller::Client(job),
            call: 0,
        };
        self.schedule_in(SUBMIT_LATENCY_MS, Action::Call { to, open, request });
    }

    fn handle_outputs(&mut self, caller: Caller, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(Event::RunStarted { .. }) => self.starts += 1.0,
                Output::Event(_) => {}
                Output::Call { to, call, request } => {
                    let latency_ms = 1 + self.rng.below(CALL_LATENCY_SPREAD_MS);
                    let open = OpenCall { caller, call };
                    if let Some(to) = self.by_address.get(&to).copied() {
                        self.schedule_in(latency_ms, Action::Call { to, open, request });
                    }
                }
            }
        }
    }

    /// One step of a process, with its processor time and its effects.
    fn step(&mut self, number: usize, message: Msg) {
        let now = Now {
            mono: self.now + 1,
            wall: EPOCH + self.now,
        };
        let process = &mut self.processes[number];
        let (effects, spent) = timed(self.clock_cost, || process.step(now, message));
        process.tally.step += spent;
        for effect in effects {
            self.apply(number, effect);
        }
    }

    fn apply(&mut self, process: usize, effect: Effect) {
        match effect {
            Effect::Send(to, body) => self.send(process, &to, &body),
            Effect::Persist(batch) => {
                let write_id = batch.write_id;
                let delay_ms = WRITE_MS + self.rng.below(WRITE_SPREAD_MS);
                self.schedule_in(delay_ms, Action::CompleteWrite { process, write_id });
            }
            Effect::Respond(call, response) => {
                if let Some(open) = self.open_calls.remove(&call) {
                    let latency_ms = 1 + self.rng.below(LATENCY_SPREAD_MS);
                    self.schedule_in(latency_ms, Action::Answer { open, response });
                }
            }
            Effect::Log(_) | Effect::Exit => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, body: &Body) {
        let Some(to) = self.by_address.get(to).copied() else {
            return;
        };
        let sender = &mut self.processes[from];
        let (frame, spent) = timed(self.clock_cost, || {
            pack(&self.cluster, &sender.address, body)
        });
        sender.tally.messages_out += 1.0;
        sender.tally.bytes_out += frame.len() as f64;
        sender.tally.wire += spent;
        // One connection keeps its order.
        let arrival_ms = self.now + 1 + self.rng.below(LATENCY_SPREAD_MS);
        let last = self.arrivals.entry((from, to)).or_default();
        *last = arrival_ms.max(*last);
        let at_ms = *last;
        self.schedule(at_ms, Action::Deliver { to, frame });
    }
}
