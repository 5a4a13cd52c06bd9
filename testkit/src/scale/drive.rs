//! The loop of a scale run: submits jobs, lets fake workers run them, and measures.

use super::connections::Connections;
use super::figures::Meter;
use super::hollow::{HollowNode, LocalMessage};
use super::setup::measured_processes;
use super::{Options, Outcome, ScaleError};
use crate::calls::OutgoingCall;
use crate::fakes::operator::Operator;
use crate::fakes::worker::Worker;
use crate::fakes::{request, Output};
use crate::fleet::{Fleet, Options as FleetOptions};
use crate::history::Event;
use crate::measure::capacity::{job, TARGET};
use crate::scenario::Shape;
use hdrhistogram::Histogram;
use landingdrift::sans_io::{Msg, Response, Rng};
use landingdrift::state::JobSpec;
use landingdrift::wire::unpack;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// How often everything in this process gets its tick, in milliseconds.
const TICK_MS: u64 = 20;
/// How long the first configuration may take to be in force, in milliseconds.
const READY_WITHIN_MS: u64 = 60_000;
/// The first job is submitted this long after the beginning, in milliseconds.
const FIRST_JOB_MS: f64 = 2000.0;
/// A job that was refused is submitted again after this time at the earliest, in milliseconds.
const MIN_RETRY_MS: u64 = 200;

/// Who makes a call.
#[derive(Clone, Copy)]
pub(super) enum Caller {
    /// A worker by its index.
    Worker(usize),
    /// Whoever submits the job of this number.
    Client(u64),
    Operator,
}

/// A call and its number among those of its caller.
#[derive(Clone, Copy)]
pub(super) struct CallKey {
    pub caller: Caller,
    pub call: u64,
}

/// What arrives from real processes.
pub(super) enum Input {
    /// A frame for the hollow node of this index.
    Frame(usize, Vec<u8>),
    Answer(CallKey, Response),
}

/// A job that waits to be submitted; the earliest is the smallest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueJob {
    pub at_ms: u64,
    pub number: u64,
}

/// A scale run under way.
pub(super) struct ScaleRun<'a> {
    pub options: &'a Options,
    pub start: Instant,
    pub cluster: String,
    pub nodes: Vec<HollowNode>,
    /// The hollow nodes' indices by their addresses for frames.
    pub by_listen: BTreeMap<String, usize>,
    /// The hollow nodes' indices by their addresses for HTTP.
    pub by_http: BTreeMap<String, usize>,
    pub local_messages: VecDeque<LocalMessage>,
    pub connections: Connections,
    pub real_calls: Sender<OutgoingCall<CallKey>>,
    /// The open calls to hollow nodes.
    pub calls: BTreeMap<u64, CallKey>,
    pub last_call: u64,
    pub workers: Vec<Worker>,
    pub operator: Operator,
    /// The addresses for HTTP of all nodes.
    pub all_http: Vec<String>,
    pub rng: Rng,
    pub due_jobs: BTreeSet<DueJob>,
    /// Jobs that are not acknowledged yet, by their numbers.
    pub open_jobs: BTreeMap<u64, JobSpec>,
    /// When each job was submitted first, by its id.
    pub submitted_ms: BTreeMap<String, u64>,
    /// The ids of the jobs of which a task has started.
    pub started_jobs: BTreeSet<String>,
    pub accepted: u64,
    pub starts: u64,
    /// When the measured time began, in milliseconds.
    pub measured_from: u64,
    pub first_start_ms: Histogram<u64>,
    pub each_start_ms: Histogram<u64>,
}

/// Runs real replicas and nodes beside hollow nodes, and stops them all.
pub fn run(options: &Options) -> Result<Outcome, ScaleError> {
    let (program, folder) = (options.program.clone(), options.folder.clone());
    let fleet = Fleet::start(&FleetOptions {
        seconds: options.seconds,
        seed: options.seed,
        ..FleetOptions::new(Shape::Gunasekera, program, folder)
    })?;
    let (sender, inputs) = channel();
    let mut run = ScaleRun::new(options, &fleet, &sender)?;
    run.await_configuration(&inputs)?;
    let meter = Meter::new(measured_processes(&fleet), run.now());
    run.measure(&inputs, meter)
}

impl ScaleRun<'_> {
    /// Milliseconds since the beginning.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn await_configuration(&mut self, inputs: &Receiver<Input>) -> Result<(), ScaleError> {
        while !self.operator.is_idle() {
            if self.now() >= READY_WITHIN_MS {
                return Err(ScaleError::NotReady);
            }
            self.run_round(inputs);
        }
        Ok(())
    }

    /// Submits jobs for the whole time and measures the last two thirds of it.
    fn measure(
        mut self,
        inputs: &Receiver<Input>,
        mut meter: Meter,
    ) -> Result<Outcome, ScaleError> {
        let begin = self.now();
        let length_ms = self.options.seconds * 1000;
        self.plan_jobs(begin);
        let end = begin + length_ms;
        let measured_from = begin + length_ms / 3;
        while self.now() < end {
            let now = self.now();
            if !meter.has_begun() && now >= measured_from {
                meter.begin();
                self.measured_from = now;
                self.starts = 0;
            }
            meter.check_memory(now)?;
            self.run_round(inputs);
            if now >= measured_from {
                meter.note_lag(self.now() - now);
            }
        }
        let measured_ms = self.now().saturating_sub(self.measured_from).max(1) as f64;
        Ok(Outcome {
            starts: 1000.0 * self.starts as f64 / measured_ms,
            jobs: self.accepted,
            running: self.workers.iter().map(Worker::running_count).sum(),
            usage: meter.usage(measured_ms),
            lag: meter.lag(),
            dropped: self.connections.dropped,
            first_start_ms: self.first_start_ms,
            each_start_ms: self.each_start_ms,
        })
    }

    /// Plans as many jobs as make the wanted number of starts a second.
    fn plan_jobs(&mut self, begin: u64) {
        let starts = self.options.starts;
        let running_per_worker = TARGET.running / TARGET.workers;
        let task_ms = 1000.0 * running_per_worker * self.options.workers as f64 / starts;
        let end = (begin + self.options.seconds * 1000) as f64;
        let mut at_ms = begin as f64 + FIRST_JOB_MS;
        let mut number = 0;
        while at_ms < end {
            number += 1;
            let spec = job(&mut self.rng, number, task_ms);
            self.due_jobs.insert(DueJob {
                at_ms: at_ms as u64,
                number,
            });
            at_ms += spec.tasks.len() as f64 * 1000.0 / starts;
            self.open_jobs.insert(number, spec);
        }
    }

    /// One round: everything gets its tick, then what arrives is handled until the next one.
    fn run_round(&mut self, inputs: &Receiver<Input>) {
        let now = self.now();
        let next_tick = (now / TICK_MS + 1) * TICK_MS;
        self.tick(now);
        loop {
            self.step_local_messages();
            let left_ms = next_tick.saturating_sub(self.now());
            match inputs.recv_timeout(Duration::from_millis(left_ms)) {
                Ok(input) => self.handle(input),
                Err(_) => return,
            }
            if left_ms == 0 {
                return;
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for index in 0..self.nodes.len() {
            self.step(index, Msg::Tick);
        }
        while let Some(due) = self.due_jobs.first().copied() {
            if due.at_ms > now {
                break;
            }
            self.due_jobs.pop_first();
            self.submit(due.number);
        }
        let outputs = self.operator.tick(now);
        self.handle_outputs(Caller::Operator, outputs);
        for index in 0..self.workers.len() {
            let outputs = self.workers[index].tick(now);
            self.handle_outputs(Caller::Worker(index), outputs);
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Frame(node_index, frame) => {
                if let Ok(envelope) = unpack(&self.cluster, &frame) {
                    self.step(node_index, Msg::Received(envelope.from, envelope.body));
                }
            }
            Input::Answer(key, response) => {
                // Workers and the operator have timeouts of their own for calls without an answer.
                let is_client = matches!(key.caller, Caller::Client(_));
                if response.status > 0 || is_client {
                    self.answered(key, &response);
                }
            }
        }
    }

    fn submit(&mut self, number: u64) {
        let Some(spec) = self.open_jobs.get(&number) else {
            return;
        };
        let id = spec.id.clone();
        let body = json!(spec);
        let now = self.now();
        self.submitted_ms.entry(id).or_insert(now);
        let node = self.rng.pick(&self.all_http).cloned().unwrap_or_default();
        let request = request("POST", "/v1/jobs", "", Some(&body));
        self.call(Caller::Client(number), 0, &node, request);
    }

    fn handle_outputs(&mut self, caller: Caller, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(Event::RunStarted {
                    job, copy: false, ..
                }) => self.run_started(&job),
                Output::Event(_) => {}
                Output::Call { to, call, request } => self.call(caller, call, &to, request),
            }
        }
    }

    fn run_started(&mut self, job: &str) {
        self.starts += 1;
        let now = self.now();
        let submitted_ms = self.submitted_ms.get(job).copied().unwrap_or(now);
        let waited_ms = now.saturating_sub(submitted_ms).max(1);
        let is_first = self.started_jobs.insert(job.into());
        if now < self.measured_from {
            return;
        }
        self.each_start_ms.saturating_record(waited_ms);
        if is_first {
            self.first_start_ms.saturating_record(waited_ms);
        }
    }

    /// Hands a response to whoever called.
    pub(super) fn answered(&mut self, key: CallKey, response: &Response) {
        let now = self.now();
        let outputs = match key.caller {
            Caller::Worker(index) => self.workers[index].answer(now, key.call, response),
            Caller::Operator => self.operator.answer(now, key.call, response),
            Caller::Client(number) => {
                self.job_answered(number, response, now);
                Vec::new()
            }
        };
        self.handle_outputs(key.caller, outputs);
    }

    fn job_answered(&mut self, number: u64, response: &Response, now: u64) {
        if matches!(response.status, 200 | 202) {
            self.accepted += u64::from(self.open_jobs.remove(&number).is_some());
        } else {
            let at_ms = now + response.retry_ms.max(MIN_RETRY_MS);
            self.due_jobs.insert(DueJob { at_ms, number });
        }
    }
}
