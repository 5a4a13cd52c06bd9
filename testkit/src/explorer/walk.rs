//! Long random walks in virtual time: faults drawn from a seed, several at once, then a calm end. A walk that violates
//! an invariant can be shrunk to the faults that it needs.

use super::fault::{random_fault, TimedFault};
use super::observations::{Invariant, Violation};
use super::planted_bug::PlantedBug;
use super::walk_runner::WalkRunner;
use landingdrift::sans_io::Rng;

/// No fault is injected before the cluster has had this long to elect a leader and settle, in milliseconds.
const SETTLE_MS: u64 = 6000;

/// A walk: everything that happens follows from its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Walk {
    pub seed: u64,
    /// Replicas that found the cluster together, each in a zone of its own.
    pub founders: usize,
    /// The number of voters that the cluster is configured to keep.
    pub voters: u32,
    /// Replicas that join soon after the founding.
    pub standbys: usize,
    /// How long faults may be injected, in milliseconds of virtual time.
    pub length_ms: u64,
    /// The faults, ordered by time.
    pub faults: Vec<TimedFault>,
    pub planted_bug: Option<PlantedBug>,
}

/// The result of a walk.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    /// Proposals that clients were told are committed.
    pub acknowledgements: u64,
    /// Read requests that were answered.
    pub reads: u64,
    /// Faults that lost a disk or a machine for good. Those that came too early after another one were skipped.
    pub data_losses: usize,
    /// Log lines of the machines and the faults, if they were asked for.
    pub log: Vec<String>,
}

impl Walk {
    /// A walk with random faults.
    pub fn random(
        seed: u64,
        voters: u32,
        standbys: usize,
        length_ms: u64,
        fault_count: usize,
    ) -> Self {
        let mut rng = Rng::new(seed);
        let mut faults: Vec<TimedFault> = (0..fault_count)
            .map(|_| {
                let at_ms = SETTLE_MS + rng.below(length_ms - SETTLE_MS);
                let fault = random_fault(&mut rng);
                TimedFault { at_ms, fault }
            })
            .collect();
        faults.sort_by_key(|timed| timed.at_ms);
        Self {
            seed,
            founders: 3,
            voters,
            standbys,
            length_ms,
            faults,
            planted_bug: None,
        }
    }

    /// Runs the walk.
    pub fn run(&self) -> Outcome {
        WalkRunner::new(self).run()
    }

    /// Runs the walk and keeps the log lines of the machines.
    pub fn run_logged(&self) -> Outcome {
        WalkRunner::new(self).with_log().run()
    }

    /// Leaves out one fault after the other, as long as the same invariant is violated.
    pub fn shrunk(&self, invariant: Invariant) -> Self {
        let mut smallest = self.clone();
        let mut next = 0;
        while next < smallest.faults.len() {
            let mut candidate = smallest.clone();
            candidate.faults.remove(next);
            if candidate.violates(invariant) {
                smallest = candidate;
            } else {
                next += 1;
            }
        }
        smallest
    }

    fn violates(&self, invariant: Invariant) -> bool {
        let violations = self.run().violations;
        violations.iter().any(|v| v.invariant == invariant)
    }
}
