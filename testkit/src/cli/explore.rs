//! `testkit explore`: many random walks of the model checker.

use super::Arguments;
use crate::explorer::walk::Walk;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Walks are at least this long, as no fault strikes in the first seconds.
const MIN_WALK_SECONDS: u64 = 10;

/// Totals over all walks.
#[derive(Default)]
struct Totals {
    walks: u64,
    acknowledgements: u64,
    reads: u64,
    data_losses: u64,
    violating_seeds: Vec<u64>,
}

/// What the walks have in common.
#[derive(Clone, Copy)]
struct WalkSettings {
    voters: u32,
    standbys: usize,
    seconds: u64,
    fault_count: usize,
}

impl WalkSettings {
    fn walk(&self, seed: u64) -> Walk {
        let length_ms = self.seconds * 1000;
        Walk::random(
            seed,
            self.voters,
            self.standbys,
            length_ms,
            self.fault_count,
        )
    }
}

/// Runs walks with consecutive seeds; true if no invariant was violated.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let first = arguments.number("from", 1)?;
    let last = first.saturating_add(arguments.number("seeds", 200)?);
    let settings = WalkSettings {
        voters: arguments.number("voters", 3)? as u32,
        standbys: arguments.number("standbys", 0)? as usize,
        seconds: arguments.number("seconds", 60)?.max(MIN_WALK_SECONDS),
        fault_count: arguments.number("random", 24)? as usize,
    };
    let threads = arguments.number("threads", 8)?.max(1);

    let totals = run_walks(settings, first..last, threads)?;
    if let Some(seed) = totals.violating_seeds.iter().min() {
        explain(*seed, &settings.walk(*seed));
    }
    landingdrift::outln!(
        "{} walks of {} s, {} voters, {} standbys, {} faults each: {} with violations; {} proposals acknowledged, {} reads answered, {} disks or machines lost",
        totals.walks,
        settings.seconds,
        settings.voters,
        settings.standbys,
        settings.fault_count,
        totals.violating_seeds.len(),
        totals.acknowledgements,
        totals.reads,
        totals.data_losses
    );
    Ok(totals.violating_seeds.is_empty())
}

fn run_walks(
    settings: WalkSettings,
    seeds: std::ops::Range<u64>,
    threads: u64,
) -> Result<Totals, String> {
    let next = AtomicU64::new(seeds.start);
    let totals = Mutex::new(Totals::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let outcome = settings.walk(seed).run();
        let Ok(mut totals) = totals.lock() else {
            return;
        };
        totals.walks += 1;
        totals.acknowledgements += outcome.acknowledgements;
        totals.reads += outcome.reads;
        totals.data_losses += outcome.data_losses as u64;
        if let Some(violation) = outcome.violations.first() {
            landingdrift::outln!("seed {seed}: {violation:?}");
            totals.violating_seeds.push(seed);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(work);
        }
    });
    totals.into_inner().map_err(|e| e.to_string())
}

/// Prints the fewest faults that violate the same invariant, with the log.
fn explain(seed: u64, walk: &Walk) {
    let violations = walk.run().violations;
    let Some(violation) = violations.first() else {
        return;
    };
    let shrunk = walk.shrunk(violation.invariant);
    landingdrift::outln!("seed {seed}, fewest faults found: {shrunk:#?}");
    let outcome = shrunk.run_logged();
    for line in outcome.log {
        landingdrift::outln!("{line}");
    }
    landingdrift::outln!("{:?}", outcome.violations);
}
