//! `digest`: fingerprints of simulated days and of the explorer, to show that a change of the code changed no behaviour.
//!
//! Only values enter the fingerprints, no names of types or fields, so that they outlive a renaming.

use super::{for_each_seed, Arguments};
use crate::explorer::walk::{Outcome, Walk};
use crate::simulator::World;
use sha2::{Digest, Sha256};

/// Days of each shape, and walks of the explorer, unless `--seeds` says otherwise.
const DEFAULT_SEEDS: u64 = 40;
/// Threads unless `--threads` says otherwise.
const DEFAULT_THREADS: u64 = 8;
/// The walks of the explorer, alike in all but their seeds.
const WALK_VOTERS: u32 = 3;
const WALK_STANDBYS: usize = 1;
/// In milliseconds of virtual time.
const WALK_MS: u64 = 60_000;
const WALK_FAULTS: usize = 24;

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

/// Prints the fingerprints; there is nothing that they could find wrong.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let file = arguments.file("digest")?;
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
