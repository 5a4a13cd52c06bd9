//! `testkit scale`: runs of real processes beside hollow nodes, at several sizes, as tables.

use super::capacity::{commit, worker_counts};
use super::Arguments;
use crate::fleet::program;
use crate::measure::capacity::TARGET;
use crate::scale::{self, Options, Outcome};
use hdrhistogram::Histogram;
use std::path::{Path, PathBuf};

/// The most hollow nodes: each has an address and some threads of this process.
const MAX_NODES: u64 = 200;
/// The most sizes of one command.
const MAX_SIZES: usize = 20;
/// The most workers of a size.
const MAX_WORKERS: usize = 1000;

const RUNS_HEADER: &str = "| workers | hollow nodes | starts/s wanted | starts/s reached | running at the end | jobs accepted | submission to first start of a job, ms (p50 / p95 / p99 / most) | submission to each start, ms | round of the hollow process, ms (p50 / most) | frames it dropped |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
const PROCESSES_HEADER: &str = "\n| workers | process | resident, MB | at the most, MB | of a core, % |\n| --- | --- | --- | --- | --- |";

/// A run that was made.
struct Run {
    options: Options,
    outcome: Outcome,
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile);
    format!(
        "{} / {} / {} / {}",
        at(0.5),
        at(0.95),
        at(0.99),
        histogram.max()
    )
}

fn print_run(run: &Run) {
    let Run { options, outcome } = run;
    landingdrift::outln!(
        "| {} | {} | {:.0} | {:.1} | {} | {} | {} | {} | {} / {} | {} |",
        options.workers,
        options.nodes,
        options.starts,
        outcome.starts,
        outcome.running,
        outcome.jobs,
        quantiles(&outcome.first_start_ms),
        quantiles(&outcome.each_start_ms),
        outcome.lag.median_ms,
        outcome.lag.longest_ms,
        outcome.dropped
    );
}

fn print_processes(run: &Run) {
    for process in &run.outcome.usage {
        landingdrift::outln!(
            "| {} | {} | {:.0} | {:.0} | {:.1} |",
            run.options.workers,
            process.name,
            process.resident as f64 / 1e6,
            process.peak_resident as f64 / 1e6,
            process.core_percent
        );
    }
}

/// What all sizes have in common.
struct Command<'a> {
    arguments: &'a Arguments,
    nodes: usize,
    seconds: u64,
    /// Starts a second; as many as the target has for the workers where 0.
    starts: f64,
    seed: u64,
}

impl<'a> Command<'a> {
    fn new(arguments: &'a Arguments) -> Result<Self, String> {
        let limited = |name: &str, default: u64, least: u64, most: u64| {
            let number = arguments.number(name, default)?;
            if (least..=most).contains(&number) {
                Ok(number)
            } else {
                Err(format!("--{name}: give {least} to {most}"))
            }
        };
        Ok(Self {
            arguments,
            nodes: limited("nodes", 24, 1, MAX_NODES)? as usize,
            seconds: limited("seconds", 75, 6, 600)?,
            starts: limited("starts", 0, 0, 2000)? as f64,
            seed: arguments.number("seed", 1)?,
        })
    }

    fn run(&self, run_index: usize, workers: usize, folder: &Path) -> Result<Run, String> {
        let starts = if self.starts > 0.0 {
            self.starts
        } else {
            TARGET.starts / TARGET.workers * workers as f64
        };
        let named_program = self.arguments.text("program");
        let options = Options {
            workers,
            nodes: self.nodes,
            run_index,
            starts,
            seconds: self.seconds,
            program: named_program.map_or_else(program, PathBuf::from),
            folder: folder.join(workers.to_string()),
            seed: self.seed,
        };
        eprintln!("{workers} workers, {starts:.0} starts a second wanted");
        let outcome = scale::run(&options).map_err(|error| {
            format!("the scale run of {workers} workers could not be made: {error}")
        })?;
        Ok(Run { options, outcome })
    }
}

/// Makes a run of each size and prints the tables of those that succeeded.
pub fn run(arguments: &Arguments) -> Result<bool, String> {
    let sizes = worker_counts(arguments, "100,300,600", MAX_WORKERS)?;
    if sizes.len() > MAX_SIZES {
        return Err("--sizes: give at most 20 sizes at once".into());
    }
    let command = Command::new(arguments)?;
    let names: Vec<String> = sizes.iter().map(ToString::to_string).collect();
    landingdrift::outln!(
        "    testkit scale --sizes {} --nodes {} --starts {} --seconds {} --seed {}\n\nCheckout at {}; wall clock of this machine, last two thirds of each run.\n",
        names.join(","),
        command.nodes,
        command.starts,
        command.seconds,
        command.seed,
        commit()
    );
    let own_folder = format!("landingdrift-scale-{}", std::process::id());
    let own_folder = std::env::temp_dir().join(own_folder);
    let named_folder = arguments.text("folder").map(PathBuf::from);
    let folder = named_folder.as_ref().unwrap_or(&own_folder);
    let results: Vec<Result<Run, String>> = sizes
        .iter()
        .enumerate()
        .map(|(index, workers)| command.run(index, *workers, folder))
        .collect();
    landingdrift::outln!("{RUNS_HEADER}");
    results.iter().flatten().for_each(print_run);
    landingdrift::outln!("{PROCESSES_HEADER}");
    results.iter().flatten().for_each(print_processes);
    if named_folder.is_none() {
        let _ = std::fs::remove_dir_all(&own_folder);
    }
    for result in results {
        result?;
    }
    Ok(true)
}
