//! How long the packed cluster state is, and what it takes in memory.

use super::meter::timed;
use landingdrift::state::ClusterState;

/// How long the packed cluster state is, and what it is long for.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    pub jobs: f64,
    /// Tasks of all jobs kept.
    pub tasks: f64,
    pub workers: f64,
    pub running: f64,
    pub bytes: f64,
    /// What would be missing without the jobs, the workers, the list of running tasks.
    pub of_jobs: f64,
    pub of_workers: f64,
    pub of_running: f64,
    /// Processor time of packing it, in nanoseconds.
    pub pack: f64,
}

impl State {
    pub(super) fn of(r: &ClusterState, clock: f64) -> Self {
        let (bytes, pack) = timed(clock, || r.pack().len() as f64);
        let without = |leave: fn(&mut ClusterState)| {
            let mut less = r.clone();
            leave(&mut less);
            bytes - less.pack().len() as f64
        };
        Self {
            jobs: r.jobs.len() as f64,
            tasks: r.jobs.values().map(|j| j.tasks.len() as f64).sum(),
            workers: r.workers.len() as f64,
            running: r.live.len() as f64,
            bytes,
            of_jobs: without(|r| r.jobs.clear()),
            of_workers: without(|r| r.workers.clear()),
            of_running: without(|r| r.live.clear()),
            pack,
        }
    }
}

fn resident() -> f64 {
    std::fs::read_to_string("/proc/self/status")
        .unwrap_or_default()
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<f64>().ok())
        .map_or(0.0, |kb| kb * 1024.0)
}

/// Resident bytes that a cluster state takes in memory for each byte that it is long when packed; right only in a process
/// that has done nothing else, as memory that was given back is taken again.
pub fn memory_of_a_byte(packed: &[u8]) -> f64 {
    let copies = (48 << 20) / packed.len().max(1) + 1;
    let before = resident();
    let all: Vec<ClusterState> = (0..copies)
        .filter_map(|_| ClusterState::unpack(packed).ok())
        .collect();
    let grown = resident() - before;
    let bytes = all.len() * packed.len();
    drop(all);
    grown / bytes.max(1) as f64
}
