//! `simulation explore`: many random walks of the model checker.

use super::Arguments;
use crate::explorer::walk::Walk;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Sums over all walks.
#[derive(Default)]
struct Sums {
    walks: u64,
    acknowledgements: u64,
    reads: u64,
    data_losses: u64,
    broken: Vec<u64>,
}

/// Takes walks with seeds one after the other; true if no invariant was broken.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let from = arguments.number("from", 1)?;
    let seeds = arguments.number("seeds", 200)?;
    let voters = arguments.number("voters", 3)? as u32;
    let standbys = arguments.number("standbys", 0)? as usize;
    let seconds = arguments.number("seconds", 60)?.max(10);
    let troubles = arguments.number("random", 24)? as usize;
    let threads = arguments.number("threads", 8)?.max(1);
    let next = AtomicU64::new(from);
    let sums = Mutex::new(Sums::default());
    let take_walks = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= from.saturating_add(seeds) {
            return;
        }
        let walk = Walk::drawn(seed, voters, standbys, seconds * 1000, troubles);
        let outcome = walk.take();
        let Ok(mut sums) = sums.lock() else { return };
        sums.walks += 1;
        sums.acknowledgements += outcome.acknowledgements;
        sums.reads += outcome.reads;
        sums.data_losses += outcome.data_losses as u64;
        if let Some(violation) = outcome.violations.first() {
            landingdrift::outln!("seed {seed}: {violation:?}");
            sums.broken.push(seed);
        }
    };
    std::thread::scope(|scope| {
        (0..threads).for_each(|_| {
            scope.spawn(take_walks);
        });
    });
    let sums = sums.into_inner().map_err(|e| e.to_string())?;
    if let Some(seed) = sums.broken.iter().min() {
        let walk = Walk::drawn(*seed, voters, standbys, seconds * 1000, troubles);
        if let Some(violation) = walk.take().violations.first() {
            let shrunk = walk.shrunk(violation.invariant);
            landingdrift::outln!("seed {seed}, shortest way found: {shrunk:#?}");
            for line in shrunk.take_logged().log {
                landingdrift::outln!("{line}");
            }
            landingdrift::outln!("{:?}", shrunk.take().violations);
        }
    }
    landingdrift::outln!(
        "{} walks of {seconds} s, {voters} voters, {standbys} standbys, {troubles} troubles each: {} broken; {} orders acknowledged, {} reads answered, {} disks or machines lost",
        sums.walks,
        sums.broken.len(),
        sums.acknowledgements,
        sums.reads,
        sums.data_losses
    );
    Ok(sums.broken.is_empty())
}
