//! Figures of admission in virtual time: the product against this kit's own comparators.

mod comparators;
mod workload;

pub use comparators::{compare, Policy};
pub use workload::{workload, Load};

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
        let mut s: Vec<u64> = self.took.iter().filter(|(k, _)| of(k)).map(|(_, v)| *v).collect();
        s.sort_unstable();
        let at = |q: f64| s.get(((s.len().saturating_sub(1)) as f64 * q) as usize).map_or(0.0, |v| *v as f64);
        [s.iter().sum::<u64>() as f64 / s.len().max(1) as f64, at(0.5), at(0.95), at(0.99)]
    }
}

/// The product in the simulator, under a load.
pub fn product(shape: Shape, load: &Load, seed: u64, hopper: &Hopper) -> Figures {
    let s = Scenario {
        shape,
        seconds: load.seconds + 3,
        settle: 300,
        rate: 0.0,
        faults: Vec::new(),
        random: 0,
        seeds: Vec::new(),
    };
    let mut w = World::new(&s, seed);
    w.measure(load.jobs.clone(), hopper.clone());
    let r = w.run();
    let count = |k: &str| r.counters.get(k).copied().unwrap_or(0);
    Figures {
        took: r.took,
        copies: r.summary.copies as u64,
        copies_won: r.copies_won,
        starts: r.summary.starts as u64,
        messages: r.messages,
        log_bytes: count("core_log_bytes"),
    }
}

/// How long an order takes from acceptance to start where nothing is in its way.
pub fn order_delay(shape: Shape) -> u64 {
    let load = workload(shape, 0.02, 1.5, 20, 7);
    let f = product(
        shape,
        &load,
        7,
        &Hopper {
            slow_factor: 1000.0,
            ..Hopper::default()
        },
    );
    // One task a job here: what is not its own running time is the way there.
    let extra: Vec<u64> = load
        .jobs
        .iter()
        .filter(|(_, j)| j.tasks.len() == 1)
        .filter_map(|(_, j)| f.took.get(&j.id).map(|t| t.saturating_sub(j.tasks[0].payload["ms"].as_u64().unwrap_or(0))))
        .collect();
    let mut s = extra;
    s.sort_unstable();
    // The shortest runs are those without a tail: the lower tenth is the way alone.
    s.get(s.len() / 10).copied().unwrap_or(0)
}
