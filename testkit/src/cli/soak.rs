//! `testkit soak`: days on real processes, one a seed; what breaks a rule is printed, and its logs are kept.

use super::{print_violations, Arguments};
use crate::fleet::soak::{untimed, Soak};
use crate::fleet::{self, program};
use std::path::PathBuf;

/// What the command line says, with its defaults.
fn soak(arguments: &Arguments) -> Result<Soak, String> {
    let own_folder = format!("landingdrift-soak-{}", std::process::id());
    let own_folder = std::env::temp_dir().join(own_folder);
    Ok(Soak {
        seconds: arguments.number("seconds", 10)?,
        faults: arguments.number("faults", 8)? as usize,
        small_nodes: arguments.number("small", 4)? as usize,
        program: arguments
            .text("program")
            .map_or_else(program, PathBuf::from),
        folder: arguments.text("folder").map_or(own_folder, PathBuf::from),
    })
}

/// Runs the days, one after the other; true if none violated a rule.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let soak = soak(arguments)?;
    let from = arguments.number("from", 1)?;
    let seeds = from..from.saturating_add(arguments.number("seeds", 5)?);
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        if !run_day(&soak, seed) {
            failed.push(seed);
        }
    }
    let count = seeds.end - seeds.start;
    landingdrift::outln!(
        "{count} seeds from {from}: {} violated a rule {failed:?}",
        failed.len()
    );
    Ok(failed.is_empty())
}

/// Runs the day of a seed; whether it violated no rule.
fn run_day(soak: &Soak, seed: u64) -> bool {
    let options = soak.day(seed);
    match fleet::run(&options) {
        Err(error) => {
            landingdrift::outln!("seed {seed}: FAILED: {error}");
            false
        }
        Ok(outcome) => {
            let summary = &outcome.summary;
            landingdrift::outln!(
                "seed {seed}: {} faults, {} jobs accepted, {} done, {} starts",
                options.faults.len(),
                summary.accepted,
                summary.done,
                summary.starts
            );
            let violations = untimed(outcome.violations);
            if violations.is_empty() {
                let _ = std::fs::remove_dir_all(&options.folder);
                return true;
            }
            for fault in &options.faults {
                landingdrift::outln!(
                    "  {} ms {:?} {} for {} ms",
                    fault.at_ms,
                    fault.kind,
                    fault.target,
                    fault.duration_ms
                );
            }
            print_violations(&violations);
            landingdrift::outln!("logs in {}", options.folder.display());
            false
        }
    }
}
