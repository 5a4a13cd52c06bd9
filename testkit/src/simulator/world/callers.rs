//! The callers of the system: workers, the client and the operators.

use super::{Action, PlannedJob, World, TICK_MS};
use crate::fakes::worker::Worker;
use crate::fakes::Output;
use crate::history::RECOVERY_JOB_PREFIX;
use crate::scenario::{random_job, Mix};
use crate::simulator::EPOCH;
use landingdrift::sans_io::Response;
use landingdrift::state::{JobSpec, TaskSpec, WorkerInfo};

/// The largest latency of a call, in milliseconds. Latencies are random, from 1 ms to this.
const MAX_CALL_LATENCY_MS: u64 = 4;
/// The number of tasks of a recovery job: large enough that every zone gets some of them.
const RECOVERY_JOB_TASKS: usize = 24;

/// An answer that reached a worker while it was frozen.
pub(in crate::simulator) struct WaitingAnswer {
    pub call: u64,
    pub response: Response,
}

/// A worker's machine: the worker, if it is running, and the faults that affect it.
pub(in crate::simulator) struct WorkerMachine {
    pub worker: Option<Worker>,
    /// The description that the worker starts with.
    pub info: WorkerInfo,
    pub zone: usize,
    pub is_frozen: bool,
    /// The worker is partitioned from all processes.
    pub is_partitioned: bool,
    /// Answers that arrived while the worker was frozen.
    pub inbox: Vec<WaitingAnswer>,
    /// Incremented at each start and end of the worker.
    pub incarnation: u64,
    /// The address of the proxy on the same machine, which the worker calls instead of nodes.
    pub proxy: Option<String>,
}

/// The caller of a call. Workers include their incarnation, so that answers to an earlier incarnation are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::simulator) enum Caller {
    Worker { worker: usize, incarnation: u64 },
    Client,
    Operator(usize),
}

impl World {
    pub(in crate::simulator) fn start_worker(&mut self, number: usize) {
        let nodes = match &self.workers[number].proxy {
            Some(proxy) => vec![proxy.clone()],
            None => self.node_addresses(),
        };
        let seed = self.rng.next_u64();
        let machine = &mut self.workers[number];
        machine.incarnation += 1;
        machine.is_frozen = false;
        machine.info.incarnation = machine.incarnation;
        machine.info.leaving = false;
        let mut worker = Worker::new(machine.info.clone(), nodes, seed);
        if self.scenario.lease_ms > 0 {
            worker = worker.with_lease();
        }
        let started_event = worker.started_event();
        machine.worker = Some(worker);
        let first_tick = Action::TickWorker {
            worker: number,
            incarnation: machine.incarnation,
        };
        self.record(started_event);
        let jitter_ms = self.rng.below(TICK_MS);
        self.schedule_in(1 + jitter_ms, first_tick);
    }

    /// Calls `action` with a worker, if it is running, and handles the outputs.
    pub(in crate::simulator) fn with_worker(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut Worker, u64) -> Vec<Output>,
    ) {
        let now = self.now;
        let machine = &mut self.workers[number];
        let caller = Caller::Worker {
            worker: number,
            incarnation: machine.incarnation,
        };
        if let Some(worker) = &mut machine.worker {
            let outputs = action(worker, now);
            self.handle_outputs(caller, outputs);
        }
    }

    pub(super) fn tick_worker(&mut self, number: usize, incarnation: u64) {
        if self.workers[number].incarnation != incarnation {
            return;
        }
        if !self.workers[number].is_frozen {
            self.with_worker(number, Worker::tick);
        }
        let next_tick = Action::TickWorker {
            worker: number,
            incarnation,
        };
        self.schedule_in(TICK_MS, next_tick);
    }

    /// Offers the planned jobs that are due, and ticks the client and the operators.
    pub(super) fn tick_callers(&mut self) {
        let now = self.now;
        let is_due = |planned: &mut PlannedJob| planned.at_ms <= now;
        while let Some(planned) = self.planned_jobs.pop_front_if(is_due) {
            self.offer(planned.spec);
        }
        let outputs = self.client.tick(now);
        self.handle_outputs(Caller::Client, outputs);
        for number in 0..self.operators.len() {
            let outputs = self.operators[number].tick(now);
            self.handle_outputs(Caller::Operator(number), outputs);
        }
        self.schedule_in(TICK_MS, Action::TickCallers);
    }

    /// Makes the client offer a job.
    pub(in crate::simulator) fn offer(&mut self, spec: JobSpec) {
        let outputs = self.client.offer(self.now, spec);
        self.handle_outputs(Caller::Client, outputs);
    }

    fn handle_outputs(&mut self, caller: Caller, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(event) => self.record(event),
                Output::Call { to, call, request } if !self.is_partitioned(caller) => {
                    let latency_ms = 1 + self.rng.below(MAX_CALL_LATENCY_MS);
                    let arrival = Action::Call {
                        to,
                        caller,
                        call,
                        request,
                    };
                    self.schedule_in(latency_ms, arrival);
                }
                Output::Call { .. } => {}
            }
        }
    }

    fn is_partitioned(&self, caller: Caller) -> bool {
        matches!(caller, Caller::Worker { worker, .. } if self.workers[worker].is_partitioned)
    }

    /// Delivers an answer to its caller.
    pub(super) fn deliver_answer(&mut self, caller: Caller, call: u64, response: Response) {
        let now = self.now;
        match caller {
            Caller::Worker {
                worker,
                incarnation,
            } => {
                let machine = &mut self.workers[worker];
                if machine.incarnation != incarnation || machine.is_partitioned {
                    return;
                }
                if machine.is_frozen {
                    machine.inbox.push(WaitingAnswer { call, response });
                    return;
                }
                self.with_worker(worker, |worker, now| worker.answer(now, call, &response));
            }
            Caller::Client => {
                let outputs = self.client.answer(now, call, &response);
                self.handle_outputs(caller, outputs);
            }
            Caller::Operator(number) => {
                let outputs = self.operators[number].answer(now, call, &response);
                self.handle_outputs(caller, outputs);
            }
        }
    }

    /// Offers a job for every combination of queue and service after an outage, to test whether all of them are served.
    pub(in crate::simulator) fn offer_recovery_jobs(&mut self) {
        let mix = self.shape.mix();
        for queue in &mix.queues {
            for service in &mix.services {
                let spec = self.recovery_job(&mix, queue, service);
                let outputs = self.client.offer_until_accepted(self.now, spec);
                self.handle_outputs(Caller::Client, outputs);
            }
        }
    }

    fn recovery_job(&mut self, mix: &Mix, queue: &str, service: &str) -> JobSpec {
        let mix = Mix {
            queues: vec![queue.into()],
            services: vec![service.into()],
            has_single_task: true,
            tail: 0.0,
            repeatable_share: 1.0,
            ..mix.clone()
        };
        let id = format!("{RECOVERY_JOB_PREFIX}{}-{queue}-{service}", self.now);
        let spec = random_job(&mut self.rng, &mix, &id, EPOCH + self.now);
        replace_tasks_with_copies_of_first(spec, RECOVERY_JOB_TASKS)
    }
}

/// Replaces a job's tasks with `count` copies of the first task.
pub(in crate::simulator) fn replace_tasks_with_copies_of_first(
    mut spec: JobSpec,
    count: usize,
) -> JobSpec {
    let first = spec.tasks[0].clone();
    let task = |index: usize| TaskSpec {
        name: format!("t{index}"),
        ..first.clone()
    };
    spec.tasks = (0..count).map(task).collect();
    spec
}
