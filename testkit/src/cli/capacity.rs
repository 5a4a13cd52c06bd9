//! `testkit capacity`: what each role costs in virtual time, as tables.

use super::Arguments;
use crate::measure::capacity::{memory_of_a_byte, report, sizes, MeteredDay, Run, Size};
use std::path::Path;
use std::process::Command;

/// The most workers of a size.
const MAX_WORKERS: usize = 200;
/// Slopes need so many sizes.
const MIN_SIZES: usize = 3;

/// What git prints; none where it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
    output.status.success().then_some(text)
}

/// The commit that the figures belong to, where git knows it.
pub(super) fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "--short", "HEAD"]) else {
        return "unknown".into();
    };
    let changes = git(&["status", "--porcelain", "--", "landingdrift", "testkit/src"]);
    match changes {
        Some(changes) if !changes.is_empty() => format!("{commit} with changes"),
        _ => commit,
    }
}

/// The numbers of workers that `--sizes` gives.
pub(super) fn worker_counts(
    arguments: &Arguments,
    default: &str,
    most: usize,
) -> Result<Vec<usize>, String> {
    let sizes = arguments.text("sizes").unwrap_or(default).split(',');
    let parse = |text: &str| {
        let count = text.parse().ok().filter(|count| (1..=most).contains(count));
        count.ok_or_else(|| {
            format!("--sizes takes numbers of workers from 1 to {most}, not '{text}'")
        })
    };
    sizes.map(parse).collect()
}

/// A number of seconds that a flag gives.
fn seconds(arguments: &Arguments, name: &str, default: u64) -> Result<u64, String> {
    let seconds = arguments.number(name, default)?;
    if (10..=600).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(format!("--{name}: give 10 to 600 seconds"))
    }
}

/// Has a new process of this program unpack the state of the last run, and say what a packed byte takes in memory.
fn footprint(runs: &[Run]) -> Result<f64, String> {
    let name = format!("landingdrift-record-{}", std::process::id());
    let file = std::env::temp_dir().join(name);
    let packed = runs.last().map_or(&[][..], |run| &run.packed_state);
    let output = std::fs::write(&file, packed).and_then(|()| run_footprint(&file));
    let _ = std::fs::remove_file(&file);
    let output = output.map_err(|error| {
        let file = file.display();
        format!("a state can't be weighed ({error}): see that {file} can be written")
    })?;
    output
        .trim()
        .parse()
        .map_err(|_| "the state could not be unpacked: run the command again".into())
}

fn run_footprint(file: &Path) -> std::io::Result<String> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    let output = command.args(["capacity", "--record"]).arg(file).output()?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Prints what a byte of a packed state takes in memory; the process must have done nothing else before.
fn print_footprint(file: &str) -> Result<bool, String> {
    let packed = std::fs::read(file)
        .map_err(|error| format!("'{file}' can't be read ({error}): name a packed record"))?;
    landingdrift::outln!("{}", memory_of_a_byte(&packed));
    Ok(true)
}

/// Runs all sizes and prints the tables.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    if let Some(file) = arguments.text("record") {
        return print_footprint(file);
    }
    let mut workers = worker_counts(arguments, "40,80,160", MAX_WORKERS)?;
    workers.sort_unstable();
    workers.dedup();
    if workers.len() < MIN_SIZES {
        return Err("--sizes: give at least three sizes, so that slopes can be told".into());
    }
    let warm_seconds = seconds(arguments, "warm", 75)?;
    let measured_seconds = seconds(arguments, "seconds", 40)?;
    let seed = arguments.number("seed", 1)?;
    let run_size = |size: Size| {
        eprintln!(
            "{} workers, {} nodes, {:.1} starts a second",
            size.workers, size.nodes, size.starts
        );
        MeteredDay::new(size, seed).run(warm_seconds, measured_seconds)
    };
    let runs: Vec<Run> = sizes(&workers).into_iter().map(run_size).collect();
    let names: Vec<String> = workers.iter().map(ToString::to_string).collect();
    landingdrift::outln!(
        "    testkit capacity --sizes {} --warm {warm_seconds} --seconds {measured_seconds} --seed {seed}\n\nCheckout at {}; virtual time, no faults.\n",
        names.join(","),
        commit()
    );
    landingdrift::outln!("{}", report(&runs, footprint(&runs)?));
    Ok(true)
}
