//! Comparators: one central scheduler with perfect knowledge, and the product's own delay for each order.

use super::workload::Load;
use super::Figures;
use crate::fakes::worker::common_rng;
use crate::scenario::Shape;
use landingdrift::state::JobSpec;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How often the scheduler acts, in milliseconds.
const TICK_MS: u64 = 20;
/// No run takes more than so many times its shortest duration.
const MAX_TAIL_FACTOR: f64 = 20.0;
/// The median of durations is known once so many runs have ended.
const MIN_DURATIONS: usize = 5;
/// The median is that of so many of the last durations.
const RECENT_DURATIONS: usize = 256;
/// A task is slow that runs longer than so many times the median.
const SLOW_FACTOR: f64 = 2.0;

/// How a comparator picks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// In the order of arrival, without copies.
    Fifo,
    /// The job with the fewest remaining tasks first; copies of slow tasks as slots come free.
    SrptBestEffort,
}

#[derive(Clone, Copy)]
struct Run {
    number: u64,
    started_ms: u64,
}

struct Job {
    id: String,
    /// The position of its service.
    service: usize,
    arrived_ms: u64,
    /// Tasks that have not started.
    waiting: u64,
    /// Tasks that have not ended.
    remaining: u64,
    task_ms: f64,
    tail: f64,
    /// The runs of each task that is running.
    running: BTreeMap<u64, Vec<Run>>,
}

/// The end of a run; the earliest is the smallest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunEnd {
    at_ms: u64,
    job: usize,
    task: u64,
    run: u64,
}

/// Runs a load under a comparator, with a delay in milliseconds for each order.
pub fn compare(shape: Shape, load: &Load, seed: u64, policy: Policy, delay_ms: u64) -> Figures {
    let mut scheduler = Scheduler::new(shape, seed, policy, delay_ms);
    let mut arrivals = load.jobs.iter().enumerate().peekable();
    while arrivals.peek().is_some() || !scheduler.jobs.is_empty() {
        scheduler.now += TICK_MS;
        let now = scheduler.now;
        while let Some((number, planned)) = arrivals.next_if(|(_, next)| next.at_ms <= now) {
            scheduler.add(number, &planned.spec, planned.at_ms);
        }
        scheduler.end_runs();
        scheduler.start_runs();
    }
    scheduler.figures
}

struct Scheduler {
    policy: Policy,
    seed: u64,
    delay_ms: u64,
    services: Vec<String>,
    now: u64,
    /// Free slots of each service.
    free: Vec<u64>,
    /// Jobs that have not ended, by their order of arrival.
    jobs: BTreeMap<usize, Job>,
    ends: BinaryHeap<Reverse<RunEnd>>,
    /// Durations of the runs that ended first, in milliseconds.
    durations_ms: Vec<u64>,
    last_run: u64,
    figures: Figures,
}

impl Scheduler {
    fn new(shape: Shape, seed: u64, policy: Policy, delay_ms: u64) -> Self {
        let services = shape.mix().services;
        let mut free = vec![0; services.len()];
        for worker in 0..shape.workers() {
            free[worker % services.len()] += u64::from(shape.cpu());
        }
        Self {
            policy,
            seed,
            delay_ms,
            services,
            now: 0,
            free,
            jobs: BTreeMap::new(),
            ends: BinaryHeap::new(),
            durations_ms: Vec::new(),
            last_run: 0,
            figures: Figures::default(),
        }
    }

    fn add(&mut self, number: usize, spec: &JobSpec, arrived_ms: u64) {
        let first = &spec.tasks[0];
        let tasks = spec.tasks.len() as u64;
        let mut services = self.services.iter();
        let service = services.position(|service| *service == first.service);
        let job = Job {
            id: spec.id.clone(),
            service: service.unwrap_or(0),
            arrived_ms,
            waiting: tasks,
            remaining: tasks,
            task_ms: first.payload["ms"].as_f64().unwrap_or(1.0),
            tail: first.payload["tail"].as_f64().unwrap_or(1.5),
            running: BTreeMap::new(),
        };
        self.jobs.insert(number, job);
    }

    fn end_runs(&mut self) {
        while let Some(Reverse(end)) = self.ends.peek().copied() {
            if end.at_ms > self.now {
                return;
            }
            self.ends.pop();
            self.end_run(end);
        }
    }

    /// The first run of a task to end is the task's end; the others are killed.
    fn end_run(&mut self, end: RunEnd) {
        let Some(job) = self.jobs.get_mut(&end.job) else {
            return;
        };
        let Some(runs) = job.running.get(&end.task) else {
            return;
        };
        let Some(run) = runs.iter().find(|run| run.number == end.run) else {
            return;
        };
        let is_copy = runs[0].number != end.run;
        self.figures.copies_won += u64::from(is_copy);
        self.free[job.service] += runs.len() as u64;
        self.durations_ms.push(end.at_ms - run.started_ms);
        job.running.remove(&end.task);
        job.remaining -= 1;
        if job.remaining == 0 {
            let latency_ms = end.at_ms - job.arrived_ms;
            let latencies = &mut self.figures.latency_of_job_ms;
            latencies.insert(job.id.clone(), latency_ms);
            self.jobs.remove(&end.job);
        }
    }

    /// The median of the last durations, once there are enough.
    fn median_ms(&self) -> Option<f64> {
        if self.durations_ms.len() < MIN_DURATIONS {
            return None;
        }
        let newest_first = self.durations_ms.iter().rev();
        let mut recent: Vec<u64> = newest_first.take(RECENT_DURATIONS).copied().collect();
        recent.sort_unstable();
        Some(recent[recent.len() / 2] as f64)
    }

    fn start_runs(&mut self) {
        let median_ms = self.median_ms();
        let mut order: Vec<usize> = self.jobs.keys().copied().collect();
        if self.policy == Policy::SrptBestEffort {
            order.sort_by_key(|number| (self.jobs[number].remaining, *number));
        }
        for number in order {
            self.start_waiting(number);
            if self.policy == Policy::SrptBestEffort {
                self.start_copies(number, median_ms);
            }
        }
    }

    fn start_waiting(&mut self, number: usize) {
        while let Some(job) = self.jobs.get_mut(&number) {
            if job.waiting == 0 || self.free[job.service] == 0 {
                return;
            }
            job.waiting -= 1;
            let task = job.waiting;
            self.start(number, task, false);
        }
    }

    /// Starts copies of a job's slow tasks, once all its tasks have started.
    fn start_copies(&mut self, number: usize, median_ms: Option<f64>) {
        let (Some(job), Some(median_ms)) = (self.jobs.get(&number), median_ms) else {
            return;
        };
        if job.waiting > 0 {
            return;
        }
        let is_slow = |runs: &[Run]| {
            let running_ms = self.now.saturating_sub(runs[0].started_ms) as f64;
            runs.len() == 1 && running_ms > SLOW_FACTOR * median_ms
        };
        let service = job.service;
        let slow = job.running.iter().filter(|(_, runs)| is_slow(runs));
        let slow: Vec<u64> = slow.map(|(task, _)| *task).collect();
        for task in slow {
            if self.free[service] > 0 {
                self.start(number, task, true);
            }
        }
    }

    /// Starts a run of a task in a free slot.
    fn start(&mut self, number: usize, task: u64, is_copy: bool) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        self.free[job.service] -= 1;
        self.last_run += 1;
        let mut rng = common_rng(self.seed, &job.id, &format!("t{task}"), is_copy);
        let tail_factor = (1.0 - rng.unit()).powf(-1.0 / job.tail);
        let duration_ms = (job.task_ms * tail_factor.min(MAX_TAIL_FACTOR)) as u64;
        let started_ms = self.now + self.delay_ms;
        self.ends.push(Reverse(RunEnd {
            at_ms: started_ms + duration_ms,
            job: number,
            task,
            run: self.last_run,
        }));
        job.running.entry(task).or_default().push(Run {
            number: self.last_run,
            started_ms,
        });
        self.figures.starts += 1;
        self.figures.copies += u64::from(is_copy);
    }
}
