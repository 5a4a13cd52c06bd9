//! `digest`: fingerprints of simulated days and of the explorer, to show that a change of the code changed no behaviour.
//!
//! Only values enter the fingerprints, no names of types or fields, so that they outlive a renaming.

use super::Arguments;
use crate::explorer::walk::{Outcome, Walk};
use crate::simulator::World;
use sha2::{Digest, Sha256};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Days of each shape, and walks of the explorer, unless `--seeds` says otherwise.
const DEFAULT_SEEDS: u64 = 40;
/// Threads unless `--threads` says otherwise.
const DEFAULT_THREADS: u64 = 8;
/// Voters, standbys, length and faults of each walk of the explorer.
const WALK_VOTERS: u32 = 3;
const WALK_STANDBYS: usize = 1;
const WALK_MS: u64 = 60_000;
const WALK_FAULTS: usize = 24;

/// Runs `work` for each seed, several at a time; the results in the order of the seeds.
fn for_each_seed<T: Send>(
    seeds: std::ops::Range<u64>,
    threads: u64,
    work: impl Fn(u64) -> T + Sync,
) -> Result<Vec<T>, String> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let result = work(seed);
                if let Ok(mut all) = results.lock() {
                    all.push((seed, result));
                }
            });
        }
    });
    let mut results = results.into_inner().map_err(|e| e.to_string())?;
    results.sort_by_key(|(seed, _)| *seed);
    Ok(results.into_iter().map(|(_, result)| result).collect())
}

/// The fingerprint of one value after another.
fn fingerprint(values: &[Vec<u8>]) -> String {
    let mut hash = Sha256::new();
    for value in values {
        hash.update((value.len() as u64).to_le_bytes());
        hash.update(value);
    }
    hash.finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// All that the outcome of a walk counts.
fn counts(outcome: &Outcome) -> [u64; 4] {
    [
        outcome.acknowledgements,
        outcome.reads,
        outcome.data_losses as u64,
        outcome.violations.len() as u64,
    ]
}

pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let file = arguments
        .rest
        .get(1)
        .ok_or("digest needs a scenario FILE")?;
    let scenario = super::scenario(arguments, file)?;
    let from = arguments.number("from", 1)?;
    let seeds = from..from.saturating_add(arguments.number("seeds", DEFAULT_SEEDS)?);
    let threads = arguments.number("threads", DEFAULT_THREADS)?.max(1);

    let days = for_each_seed(seeds.clone(), threads, |seed| {
        let report = World::new(&scenario, seed).run();
        let seen = (&report.history, report.messages, report.copies_won);
        landingdrift::state::pack::pack(&seen)
    })?;
    landingdrift::outln!(
        "{} days of {file}, shape {}: {} bytes, {}",
        days.len(),
        scenario.shape.name(),
        days.iter().map(Vec::len).sum::<usize>(),
        fingerprint(&days)
    );

    let walks = for_each_seed(seeds, threads, |seed| {
        let walk = Walk::random(seed, WALK_VOTERS, WALK_STANDBYS, WALK_MS, WALK_FAULTS);
        landingdrift::state::pack::pack(&counts(&walk.run()))
    })?;
    landingdrift::outln!("{} walks: {}", walks.len(), fingerprint(&walks));
    Ok(true)
}
