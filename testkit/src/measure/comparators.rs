//! Comparators: one central scheduler with perfect knowledge, and the product's own delay for each order.

use super::workload::Load;
use super::Figures;
use crate::fakes::worker::paired_rng;
use crate::scenario::Shape;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How a comparator picks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// In the order of arrival, without copies.
    Fifo,
    /// The job with the fewest remaining tasks first; copies of slow tasks as slots come free.
    SrptBestEffort,
}

struct Job {
    id: String,
    service: usize,
    arrived: u64,
    waiting: u64,
    remaining: u64,
    ms: f64,
    tail: f64,
    /// Runs of tasks: when started, and how many there are of the task.
    running: BTreeMap<u64, Vec<(u64, u64)>>,
}

/// Runs a load under a comparator.
pub fn compare(shape: Shape, load: &Load, seed: u64, policy: Policy, delay: u64) -> Figures {
    let services = shape.mix().services;
    let slots_of = |s: usize| {
        (0..shape.workers())
            .filter(|i| i % services.len() == s)
            .count() as u64
            * u64::from(shape.cpu())
    };
    let mut free: Vec<u64> = (0..services.len()).map(slots_of).collect();
    let mut out = Figures::default();
    let mut jobs: BTreeMap<usize, Job> = BTreeMap::new();
    let mut coming = load.jobs.iter().enumerate().peekable();
    // Ends of runs: when, job, task, run.
    let mut ends: BinaryHeap<Reverse<(u64, usize, u64, u64)>> = BinaryHeap::new();
    let mut durations: Vec<u64> = Vec::new();
    let (mut t, mut run) = (0u64, 0u64);
    while coming.peek().is_some() || !jobs.is_empty() {
        t += 20;
        while let Some((i, planned)) = coming.next_if(|(_, planned)| planned.at_ms <= t) {
            let spec = &planned.spec;
            let p = &spec.tasks[0].payload;
            let n = spec.tasks.len() as u64;
            let service = services
                .iter()
                .position(|s| *s == spec.tasks[0].service)
                .unwrap_or(0);
            jobs.insert(
                i,
                Job {
                    id: spec.id.clone(),
                    service,
                    arrived: planned.at_ms,
                    waiting: n,
                    remaining: n,
                    ms: p["ms"].as_f64().unwrap_or(1.0),
                    tail: p["tail"].as_f64().unwrap_or(1.5),
                    running: BTreeMap::new(),
                },
            );
        }
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= t) {
            let Some(Reverse((at, i, task, no))) = ends.pop() else {
                break;
            };
            let Some(j) = jobs.get_mut(&i) else { continue };
            let Some(runs) = j
                .running
                .get(&task)
                .filter(|r| r.iter().any(|(n, _)| *n == no))
            else {
                continue;
            };
            // The first to end is the task's end; the others are killed.
            let started = runs.iter().find(|(n, _)| *n == no).map_or(at, |(_, s)| *s);
            out.copies_won += u64::from(runs.len() > 1 && runs[0].0 != no);
            free[j.service] += runs.len() as u64;
            durations.push(at - started);
            j.running.remove(&task);
            j.remaining -= 1;
            if j.remaining == 0 {
                out.took.insert(j.id.clone(), at - j.arrived);
                jobs.remove(&i);
            }
        }
        let median = (durations.len() >= 5).then(|| {
            let mut tail: Vec<u64> = durations.iter().rev().take(256).copied().collect();
            tail.sort_unstable();
            tail[tail.len() / 2] as f64
        });
        let mut order: Vec<usize> = jobs.keys().copied().collect();
        if policy == Policy::SrptBestEffort {
            order.sort_by_key(|i| (jobs[i].remaining, *i));
        }
        for i in order {
            let Some(j) = jobs.get_mut(&i) else { continue };
            let mut go = |j: &mut Job, task: u64, copy: bool| {
                run += 1;
                let luck = paired_rng(seed, &j.id, &format!("t{task}"), copy).unit();
                let long = (1.0 - luck).powf(-1.0 / j.tail).min(20.0);
                ends.push(Reverse((t + delay + (j.ms * long) as u64, i, task, run)));
                j.running.entry(task).or_default().push((run, t + delay));
                out.starts += 1;
                out.copies += u64::from(copy);
            };
            while j.waiting > 0 && free[j.service] > 0 {
                j.waiting -= 1;
                free[j.service] -= 1;
                let task = j.waiting;
                go(j, task, false);
            }
            if let Some(m) = median.filter(|_| policy == Policy::SrptBestEffort && j.waiting == 0) {
                let slow: Vec<u64> = j
                    .running
                    .iter()
                    .filter(|(_, r)| r.len() == 1 && t.saturating_sub(r[0].1) as f64 > 2.0 * m)
                    .map(|(k, _)| *k)
                    .collect();
                for task in slow {
                    if free[j.service] > 0 {
                        free[j.service] -= 1;
                        go(j, task, true);
                    }
                }
            }
        }
    }
    out
}
