//! Figures of admission in virtual time: the product against this kit's own comparators.

pub mod capacity;
mod comparators;
mod workload;

pub use comparators::{compare, Policy};
pub use workload::{workload, Load};

use crate::history::Event;
use crate::scenario::{Scenario, Shape};
use crate::simulator::World;
use landingdrift::settings::Hopper;
use std::collections::BTreeMap;

/// A day goes on so long after the load for the last jobs to end, in seconds.
const SETTLE_SECONDS: u64 = 300;
/// The load of a day ends so long after its last job was offered, in seconds.
const AFTER_LOAD_SECONDS: u64 = 3;
/// The load in which nothing is in the way of an order: utilisation, Pareto shape, seconds and seed.
const IDLE_UTILISATION: f64 = 0.05;
const IDLE_BETA: f64 = 1.5;
const IDLE_SECONDS: u64 = 40;
const IDLE_SEED: u64 = 7;

/// What a policy made of a load.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Milliseconds that each job took, by its id.
    pub latency_of_job_ms: BTreeMap<String, u64>,
    /// Speculative copies that were started.
    pub copies: u64,
    /// Copies that ended first.
    pub copies_won: u64,
    /// Runs that were started, copies included.
    pub starts: u64,
    /// Messages between the system's own processes.
    pub messages: u64,
    /// Bytes that the system has written to its log.
    pub log_bytes: u64,
}

/// How long jobs took, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyStatistics {
    pub mean_ms: f64,
    pub median_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
}

impl Figures {
    /// How long the jobs took whose ids a test lets through.
    pub fn latencies(&self, is_included: impl Fn(&str) -> bool) -> LatencyStatistics {
        let jobs = self.latency_of_job_ms.iter();
        let included = jobs.filter(|(id, _)| is_included(id));
        let mut sorted: Vec<u64> = included.map(|(_, latency_ms)| *latency_ms).collect();
        sorted.sort_unstable();
        let quantile = |quantile: f64| {
            let position = sorted.len().saturating_sub(1) as f64 * quantile;
            sorted.get(position as usize).map_or(0.0, |ms| *ms as f64)
        };
        LatencyStatistics {
            mean_ms: sorted.iter().sum::<u64>() as f64 / sorted.len().max(1) as f64,
            median_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
        }
    }
}

/// The free values of the product's admission.
#[derive(Clone, Debug)]
pub struct FreeValues {
    pub hopper: Hopper,
    /// The share of running attempts that may be copies, in percent.
    pub speculation_percent: u32,
}

impl Default for FreeValues {
    fn default() -> Self {
        Self {
            hopper: Hopper::default(),
            speculation_percent: 40,
        }
    }
}

fn world(shape: Shape, load: &Load, seed: u64, values: &FreeValues) -> World {
    let scenario = Scenario {
        shape,
        seconds: load.seconds + AFTER_LOAD_SECONDS,
        settle_seconds: SETTLE_SECONDS,
        nodes: 0,
        node_classes: Vec::new(),
        workers: 0,
        has_worker_proxies: false,
        clients_call_any_node: false,
        jobs_per_second: 0.0,
        lease_ms: 0,
        doomed_share: 0.0,
        giving_up_share: 0.0,
        faults: Vec::new(),
        random_faults: 0,
        has_last_fault: false,
        seeds: Vec::new(),
    };
    let mut world = World::new(&scenario, seed);
    let hopper = values.hopper.clone();
    world.prepare_measurement(load.jobs.clone(), hopper, values.speculation_percent);
    world
}

/// The product in the simulator, under a load.
pub fn product(shape: Shape, load: &Load, seed: u64, values: &FreeValues) -> Figures {
    let report = world(shape, load, seed, values).run();
    let log_bytes = report.counters.get("core_log_bytes").copied();
    Figures {
        copies: report.summary.copies as u64,
        copies_won: report.copies_won,
        starts: report.summary.starts as u64,
        messages: report.messages,
        log_bytes: log_bytes.unwrap_or(0),
        latency_of_job_ms: report.latency_of_job_ms,
    }
}

/// The mean time from a job's being offered to its task's start where nothing is in its way, in milliseconds.
pub fn order_delay_ms(shape: Shape) -> u64 {
    let load = workload(shape, IDLE_UTILISATION, IDLE_BETA, IDLE_SECONDS, IDLE_SEED);
    let history = world(shape, &load, IDLE_SEED, &FreeValues::default())
        .run()
        .history;
    let mut offered_ms: BTreeMap<&str, u64> = BTreeMap::new();
    let mut delays_ms: Vec<u64> = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::Offered { spec } if spec.tasks.len() == 1 => {
                offered_ms.insert(&spec.id, timed.at_ms);
            }
            Event::RunStarted {
                job, copy: false, ..
            } => {
                if let Some(offered_ms) = offered_ms.remove(job.as_str()) {
                    delays_ms.push(timed.at_ms - offered_ms);
                }
            }
            _ => {}
        }
    }
    delays_ms.iter().sum::<u64>() / delays_ms.len().max(1) as u64
}
