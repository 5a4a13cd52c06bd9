//! The command line of the test kit.

mod arguments;
mod capacity;
mod digest;
mod explore;
mod fleet;
mod measure;
mod run;
mod scale;
mod soak;
mod sweep;

pub(crate) use arguments::Arguments;

use crate::checkers::Violation;
use crate::history::History;
use crate::scenario::{Scenario, Shape};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// At most so many violations of a day are printed.
const MOST_VIOLATIONS: usize = 20;

const HELP: &str = "testkit COMMAND ...

  run FILE [--seed N] [--random N] [--shape S] [--last] [--log] [--history FILE]
                                                 simulate a scenario in virtual time
  sweep FILE [--from N] [--seeds N] [--random N] [--shape S] [--last] [--threads N]
                                                 simulate it with many seeds; a failing one is shrunk;
                                                 --last adds a fault straight before the closing reads
  digest FILE [--from N] [--seeds N] [--random N] [--shape S] [--last] [--threads N]
                                                 fingerprints of the days and of walks of the explorer: equal before
                                                 and after a change that changes no behaviour
  explore [--voters N] [--standbys N] [--from N] [--seeds N] [--random N] [--seconds N] [--threads N]
                                                 random walks of the replicas alone, under the model checker
  fleet [--shape odvoza|gunasekera] [--seconds N] [--settle N] [--rate N] [--folder DIR]
        [--program FILE] [--scenario FILE] [--history FILE]
                                                 real processes on this machine; a leader and a node are killed midway
  soak [--from N] [--seeds N] [--seconds N] [--faults N] [--small N] [--folder DIR] [--program FILE]
                                                 days on real processes, one a seed: signals, restarts, crashes and
                                                 changes of configuration, in series and overlapping; --small adds so
                                                 many nodes with little processor; logs of failing seeds are kept
  measure [--shape S] [--seeds N] [--seconds N] [--load U,..] [--beta B,..] [--vary NAME=VALUE,..]
                                                 admission against FIFO and SRPT with best-effort copies
  capacity [--sizes N,N,N] [--warm SECONDS] [--seconds N] [--seed N]
                                                 what each role costs in virtual time, and at the users' target;
                                                 with --record FILE: bytes of memory a byte of a packed state
  scale [--sizes N,..] [--nodes N] [--starts N] [--seconds N] [--seed N] [--folder DIR] [--program FILE]
                                                 real cores and nodes beside fake workers and hollow nodes, on this machine

Exit codes: 0 no rule was violated, 1 a rule was violated, 2 wrong command line.";

/// A scenario file, with what the command line says otherwise.
fn scenario(arguments: &Arguments, file: &str) -> Result<Scenario, String> {
    let mut scenario = Scenario::load(file).map_err(|error| error.to_string())?;
    let random_faults = scenario.random_faults as u64;
    scenario.random_faults = arguments.number("random", random_faults)? as usize;
    scenario.has_last_fault |= arguments.has("last");
    if arguments.text("shape").is_some() {
        scenario.shape = shape(arguments)?;
    }
    scenario.check().map_err(|error| error.to_string())?;
    Ok(scenario)
}

/// The shape that the command line names.
fn shape(arguments: &Arguments) -> Result<Shape, String> {
    let name = arguments.text("shape").unwrap_or("gunasekera");
    Shape::from_name(name)
        .ok_or_else(|| format!("no shape is called '{name}': give odvoza or gunasekera"))
}

/// Runs a command; the result is the exit code.
pub fn run(arguments: Vec<OsString>) -> i32 {
    let result = Arguments::parse(arguments).and_then(|arguments| run_command(&arguments));
    match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("testkit: {error}\n\n{HELP}");
            2
        }
    }
}

/// Runs the command that is named; true if it found nothing wrong.
fn run_command(arguments: &Arguments) -> Result<bool, String> {
    if arguments.has("help") {
        landingdrift::outln!("{HELP}");
        return Ok(true);
    }
    match arguments.words.first().map(String::as_str) {
        Some("run") => run::run(arguments),
        Some("sweep") => sweep::run(arguments),
        Some("digest") => digest::run(arguments),
        Some("explore") => explore::run(arguments),
        Some("fleet") => fleet::run(arguments),
        Some("measure") => measure::run(arguments),
        Some("capacity") => capacity::run(arguments),
        Some("scale") => scale::run(arguments),
        Some("soak") => soak::run(arguments),
        Some(other) => Err(format!("no command is called '{other}'")),
        None => Err("no command was given".into()),
    }
}

/// Runs `work` for each seed, several at a time; the results in the order of the seeds.
fn for_each_seed<T: Send>(
    seeds: Range<u64>,
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
    let mut results = results.into_inner().map_err(|error| error.to_string())?;
    results.sort_by_key(|(seed, _)| *seed);
    Ok(results.into_iter().map(|(_, result)| result).collect())
}

/// Writes a history to the file that the command line names, if it does.
fn write_history(arguments: &Arguments, history: &History) -> Result<(), String> {
    let Some(path) = arguments.text("history") else {
        return Ok(());
    };
    std::fs::write(path, history.json_lines())
        .map_err(|error| format!("'{path}' can't be written ({error})"))
}

fn print_violations(violations: &[Violation]) {
    for violation in violations.iter().take(MOST_VIOLATIONS) {
        landingdrift::outln!("VIOLATED {violation}");
    }
    let mut count_by_rule: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in violations {
        *count_by_rule.entry(violation.rule).or_default() += 1;
    }
    for (rule, count) in count_by_rule {
        landingdrift::outln!("{count} violations of: {rule}");
    }
}

/// A line with the mean and quantiles of how long jobs took, in milliseconds.
fn latency_line(latencies_ms: &[u64]) -> String {
    let mut sorted = latencies_ms.to_vec();
    sorted.sort_unstable();
    let quantile = |quantile: f64| {
        let position = sorted.len().saturating_sub(1) as f64 * quantile;
        sorted.get(position as usize).copied().unwrap_or(0)
    };
    let sum = sorted.iter().sum::<u64>();
    let mean = sum.checked_div(sorted.len() as u64).unwrap_or(0);
    format!(
        "{} done: mean {mean} ms, median {} ms, p95 {} ms, p99 {} ms",
        sorted.len(),
        quantile(0.5),
        quantile(0.95),
        quantile(0.99)
    )
}
