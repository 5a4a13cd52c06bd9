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

/// What a policy made of a load: milliseconds by job, and copies.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub took: BTreeMap<String, u64>,
    pub copies: u64,
    pub copies_won: u64,
    pub starts: u64,
    /// Messages of the system's own and bytes of log, for each job.
    pub messages: u64,
    pub log_bytes: u64,
}

impl Figures {
    /// Mean, median, p95 and p99 of the jobs that a test lets through.
    pub fn quantiles(&self, of: impl Fn(&str) -> bool) -> [f64; 4] {
        let mut s: Vec<u64> = self
            .took
            .iter()
            .filter(|(k, _)| of(k))
            .map(|(_, v)| *v)
            .collect();
        s.sort_unstable();
        let at = |q: f64| {
            s.get(((s.len().saturating_sub(1)) as f64 * q) as usize)
                .map_or(0.0, |v| *v as f64)
        };
        [
            s.iter().sum::<u64>() as f64 / s.len().max(1) as f64,
            at(0.5),
            at(0.95),
            at(0.99),
        ]
    }
}

/// The share of running attempts that may be copies, where nothing else is said.
pub const SPECULATION: u32 = 40;

fn world(shape: Shape, load: &Load, seed: u64, (hopper, speculation): (&Hopper, u32)) -> World {
    let s = Scenario {
        has_last_fault: false,
        shape,
        seconds: load.seconds + 3,
        settle_seconds: 300,
        nodes: 0,
        workers: 0,
        jobs_per_second: 0.0,
        faults: Vec::new(),
        random_faults: 0,
        seeds: Vec::new(),
    };
    let mut w = World::new(&s, seed);
    w.measure(load.jobs.clone(), hopper.clone(), speculation);
    w
}

/// The product in the simulator, under a load.
pub fn product(shape: Shape, load: &Load, seed: u64, values: (&Hopper, u32)) -> Figures {
    let r = world(shape, load, seed, values).run();
    let count = |k: &str| r.counters.get(k).copied().unwrap_or(0);
    Figures {
        took: r.latency_of_job_ms,
        copies: r.summary.copies as u64,
        copies_won: r.copies_won,
        starts: r.summary.starts as u64,
        messages: r.messages,
        log_bytes: count("core_log_bytes"),
    }
}

/// How long an order takes, in the mean, from a job's being offered to its task's start where nothing is in its way.
pub fn order_delay(shape: Shape) -> u64 {
    let load = workload(shape, 0.05, 1.5, 40, 7);
    let h = world(shape, &load, 7, (&Hopper::default(), SPECULATION))
        .run()
        .history;
    let mut offered: BTreeMap<&str, u64> = BTreeMap::new();
    let mut ways: Vec<u64> = Vec::new();
    for timed in &h.events {
        match &timed.event {
            Event::Offered { spec } if spec.tasks.len() == 1 => {
                offered.insert(&spec.id, timed.at_ms);
            }
            Event::RunStarted {
                job, copy: false, ..
            } => ways.extend(
                offered
                    .remove(job.as_str())
                    .map(|offered_ms| timed.at_ms - offered_ms),
            ),
            _ => {}
        }
    }
    ways.iter().sum::<u64>() / ways.len().max(1) as u64
}
