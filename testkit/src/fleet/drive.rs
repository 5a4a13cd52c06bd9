//! A fleet's day: the fakes act on real processes until the load has ended and all is answered.

mod close;
mod faults;
mod setup;

pub use setup::run;

use super::launch::Fleet;
use super::{FleetError, Options};
use crate::calls::OutgoingCall;
use crate::checkers::{Summary, Violation};
use crate::fakes::client::Client;
use crate::fakes::operator::Operator;
use crate::fakes::worker::Worker;
use crate::fakes::{request, Output};
use crate::history::{Event, History};
use crate::scenario::Fault;
use landingdrift::sans_io::{Response, Rng};
use landingdrift::state::WorkerInfo;
use reqwest::blocking::Client as Http;
use std::collections::{BTreeSet, VecDeque};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

/// How often nodes are asked which version is in force, in milliseconds.
const PROBE_EVERY_MS: u64 = 500;
/// How often the operator reads the configuration, in milliseconds: with one probe in six.
const READ_EVERY_MS: u64 = 3000;
/// How long the day waits for an answer before all fakes get their tick.
const TICK: Duration = Duration::from_millis(10);

/// The result of a fleet's day.
pub struct Outcome {
    pub history: History,
    pub summary: Summary,
    pub violations: Vec<Violation>,
    /// Milliseconds that each job took which was done.
    pub latencies_ms: Vec<u64>,
    /// Jobs that ended within the time that their queue promises.
    pub promises_kept: u64,
    /// Jobs that did not.
    pub promises_missed: u64,
}

/// Who makes a call. Numbers are positions in the lists of workers and processes.
#[derive(Clone, Copy, PartialEq)]
enum Caller {
    Worker {
        worker: usize,
        incarnation: u64,
    },
    Client,
    Operator,
    /// The day itself, which probes a process.
    Probe(usize),
}

/// A call and its number among those of its caller.
#[derive(Clone, Copy)]
struct CallKey {
    caller: Caller,
    call: u64,
}

/// What came back of a call.
struct Answer {
    key: CallKey,
    response: Response,
}

/// A place for a fake worker.
struct WorkerSlot {
    worker: Option<Worker>,
    info: WorkerInfo,
    /// Counts its starts and ends: answers to an earlier one are dropped.
    incarnation: u64,
    is_cut: bool,
}

/// A fault that is to be healed.
struct Repair {
    /// In milliseconds since the day's start.
    due_ms: u64,
    fault: Fault,
    /// The number of what it struck.
    target: usize,
}

/// A process that was asked to stop.
struct Stopping {
    process: usize,
    /// When it is killed if it has not ended, in milliseconds since the day's start.
    kill_at_ms: u64,
}

/// A fleet's day under way.
struct Day<'a> {
    options: &'a Options,
    fleet: Fleet,
    start: Instant,
    history: History,
    calls: Sender<OutgoingCall<CallKey>>,
    workers: Vec<WorkerSlot>,
    client: Client,
    operator: Operator,
    rng: Rng,
    repairs: Vec<Repair>,
    stopping: Vec<Stopping>,
    /// What was seen to be wrong beside what the history tells.
    violations: Vec<Violation>,
    /// Every job has been asked for once more after the load.
    has_asked_again: bool,
    /// Processes that are killed or stand still.
    down: BTreeSet<usize>,
    http: Http,
}

impl Day<'_> {
    /// Milliseconds since the beginning of the day.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn record(&mut self, event: Event) {
        let now = self.now();
        self.history.add(now, event);
    }

    fn log_line(&self, text: &str) {
        if self.options.verbose {
            landingdrift::outln!("{:>7} {text}", self.now());
        }
    }

    fn handle_outputs(&mut self, caller: Caller, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(event) => self.record(event),
                // A cut is made here, in the fakes' own transport.
                Output::Call { .. } if self.is_cut(caller) => {}
                Output::Call { to, call, request } => {
                    let key = CallKey { caller, call };
                    let _ = self.calls.send(OutgoingCall { key, to, request });
                }
            }
        }
    }

    fn is_cut(&self, caller: Caller) -> bool {
        matches!(caller, Caller::Worker { worker, .. } if self.workers[worker].is_cut)
    }

    fn start_worker(&mut self, index: usize) {
        let nodes = match self.fleet.worker_proxies().get(index) {
            Some(proxy) => vec![proxy.clone()],
            None => self.fleet.nodes(),
        };
        let seed = self.rng.next_u64();
        let slot = &mut self.workers[index];
        slot.incarnation += 1;
        slot.info.incarnation = slot.incarnation;
        let mut worker = Worker::new(slot.info.clone(), nodes, seed);
        if self.options.lease_ms > 0 {
            worker = worker.with_lease();
        }
        let up = worker.started_event();
        slot.worker = Some(worker);
        self.record(up);
    }

    fn end_worker(&mut self, index: usize) {
        let slot = &mut self.workers[index];
        let dead = slot.worker.take();
        slot.incarnation += 1;
        let worker = slot.info.worker.clone();
        if dead.is_some_and(|dead| dead.has_lease()) {
            // Nothing that it has not reported can ever be.
            let worker = worker.clone();
            self.record(Event::LeaseExpired { worker });
        }
        self.record(Event::WorkerDied { worker });
    }

    /// Has a worker act, if it runs.
    fn with_worker(&mut self, index: usize, act: impl FnOnce(&mut Worker) -> Vec<Output>) {
        let slot = &mut self.workers[index];
        let caller = Caller::Worker {
            worker: index,
            incarnation: slot.incarnation,
        };
        if let Some(worker) = &mut slot.worker {
            let outputs = act(worker);
            self.handle_outputs(caller, outputs);
        }
    }

    /// Runs the day; `epoch_ms` is the time of day at its beginning, in milliseconds since 1970.
    fn run(mut self, answers: &Receiver<Answer>, epoch_ms: u64) -> Result<Outcome, FleetError> {
        self.record_availability();
        for worker in 0..self.workers.len() {
            self.start_worker(worker);
        }
        let mut faults = self.options.faults.clone();
        faults.sort_by_key(|fault| fault.at_ms);
        let mut faults = VecDeque::from(faults);
        let load_ms = self.options.seconds * 1000;
        let end_ms = load_ms + self.options.settle_seconds * 1000;
        let mut next_probe_ms = 0;
        let mut is_calm = false;
        loop {
            let now = self.now();
            while let Some(fault) = faults.pop_front_if(|fault| fault.at_ms <= now) {
                self.strike(&fault);
            }
            self.reap_stopping();
            self.heal_due(now, is_calm)?;
            let has_faults =
                !faults.is_empty() || !self.repairs.is_empty() || !self.stopping.is_empty();
            if now >= load_ms && !has_faults && !is_calm {
                is_calm = true;
                self.end_load();
            }
            self.tick(now);
            if now >= next_probe_ms {
                next_probe_ms = now + PROBE_EVERY_MS;
                self.probe(now);
            }
            while let Ok(answer) = answers.try_recv() {
                self.handle_answer(&answer);
            }
            if is_calm && self.is_settled() && !self.has_asked_again {
                self.has_asked_again = true;
                self.client.poll_all(now);
            }
            if is_calm && (self.is_settled() || now >= end_ms) {
                break;
            }
            if let Ok(answer) = answers.recv_timeout(TICK) {
                self.handle_answer(&answer);
            }
        }
        self.close(epoch_ms)
    }

    fn end_load(&mut self) {
        self.client.is_offering = false;
        self.record(Event::LoadEnded);
        self.log_line("load has ended");
    }

    /// Heals what is due; once the load has ended, all.
    fn heal_due(&mut self, now: u64, is_calm: bool) -> Result<(), FleetError> {
        let stopping = &self.stopping;
        let is_due = |repair: &mut Repair| {
            let waits = stopping.iter().any(|s| s.process == repair.target);
            !waits && (repair.due_ms <= now || is_calm)
        };
        let due: Vec<Repair> = self.repairs.extract_if(.., is_due).collect();
        for repair in due {
            self.heal(&repair.fault, repair.target)?;
        }
        Ok(())
    }

    fn is_settled(&self) -> bool {
        self.client.unfinished_jobs() == 0 && self.operator.is_idle()
    }

    /// All fakes get their tick.
    fn tick(&mut self, now: u64) {
        for index in 0..self.workers.len() {
            self.with_worker(index, |worker| worker.tick(now));
        }
        let outputs = self.client.tick(now);
        self.handle_outputs(Caller::Client, outputs);
        let outputs = self.operator.tick(now);
        self.handle_outputs(Caller::Operator, outputs);
    }

    /// Asks every node which version is in force, and now and then has the operator read it.
    fn probe(&mut self, now: u64) {
        for (index, process) in self.fleet.processes.iter().enumerate() {
            if !process.is_node() {
                continue;
            }
            let caller = Caller::Probe(index);
            let _ = self.calls.send(OutgoingCall {
                key: CallKey { caller, call: 0 },
                to: process.http.clone(),
                request: request("GET", "/ready", "", None),
            });
        }
        if now % READ_EVERY_MS < PROBE_EVERY_MS {
            self.operator.queue_read();
        }
    }

    fn handle_answer(&mut self, answer: &Answer) {
        let response = &answer.response;
        let CallKey { caller, call } = answer.key;
        let is_probe = matches!(caller, Caller::Probe(_));
        if response.status == 0 && !is_probe {
            return;
        }
        let now = self.now();
        let outputs = match caller {
            Caller::Worker {
                worker,
                incarnation,
            } => {
                let slot = &self.workers[worker];
                if slot.incarnation == incarnation && !slot.is_cut {
                    self.with_worker(worker, |worker| worker.answer(now, call, response));
                }
                return;
            }
            Caller::Client => self.client.answer(now, call, response),
            Caller::Operator => self.operator.answer(now, call, response),
            Caller::Probe(process) => self.probe_answered(process, response),
        };
        self.handle_outputs(caller, outputs);
    }

    fn probe_answered(&self, process: usize, response: &Response) -> Vec<Output> {
        let Some(version) = response.body["version"].as_u64() else {
            return Vec::new();
        };
        vec![Output::Event(Event::NodeVersion {
            node: self.fleet.processes[process].http.clone(),
            version,
            change: String::new(),
            ready: response.status == 200,
        })]
    }
}
