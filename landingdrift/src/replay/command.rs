//! The command `replay`: makes recordings, checks them against this build, and reruns them.

use super::{rerun, Difference, Recording, RecordingError, Summary};
use crate::config::{self, ClusterConfig};
use crate::sans_io::roles::Role;
use crate::settings::Settings;
use lexopt::Arg;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "replay", summary: "records a cluster's log and reruns its decisions", run } }

const HELP: &str = "landingdrift replay record FOLDER OUT   record the log in the data folder of a stopped core
landingdrift replay check RECORDING     apply the recorded entries with this build and list differing results
landingdrift replay run RECORDING [--desired FILE] [--settings FILE] [--json]
                                        rerun the scheduler's decisions in virtual time and compare

Exit codes: 0 done, 1 results differ (check), 2 invalid command line, recording or file.";

/// The maximum number of differences or jobs that are printed; the others are only counted.
const MAX_SHOWN: usize = 20;

/// An error that makes a replay command fail.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}\n\n{help}", help = HELP)]
    Arguments(lexopt::Error),
    #[error("missing argument\n\n{help}", help = HELP)]
    MissingArgument,
    #[error("unknown command '{0}'\n\n{help}", help = HELP)]
    UnknownCommand(String),
    #[error("values of flags must be valid UTF-8")]
    FlagValueNotUtf8,
    #[error("arguments must be valid UTF-8")]
    ArgumentNotUtf8,
    #[error("failed to write '{file}': {error}; pass another file")]
    Write { file: String, error: std::io::Error },
    #[error("failed to read '{file}': {error}; pass another file")]
    Read { file: String, error: std::io::Error },
    #[error("'{file}' is not valid JSON: {error}; correct it")]
    InvalidJson {
        file: String,
        error: serde_json::Error,
    },
    #[error("invalid settings in '{file}': {error}")]
    InvalidSettings {
        file: String,
        error: toml::de::Error,
    },
    #[error("{0}")]
    InvalidConfig(String),
    #[error("{0}")]
    Recording(RecordingError),
}

impl From<RecordingError> for CommandError {
    fn from(error: RecordingError) -> Self {
        Self::Recording(error)
    }
}

/// The parsed command line after `replay`.
#[derive(Default)]
struct Arguments {
    help: bool,
    json: bool,
    config: Option<String>,
    settings: Option<String>,
    /// The command and its arguments.
    positional: Vec<String>,
}

impl Arguments {
    /// The argument at an index, which the command requires.
    fn argument(&self, index: usize) -> Result<&str, CommandError> {
        let word = self.positional.get(index).map(String::as_str);
        word.ok_or(CommandError::MissingArgument)
    }
}

fn run(arguments: Vec<OsString>) -> i32 {
    let result = parse_arguments(arguments).and_then(|arguments| execute(&arguments));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("landingdrift replay: {error}");
            2
        }
    }
}

fn parse_arguments(words: Vec<OsString>) -> Result<Arguments, CommandError> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_args(words);
    while let Some(arg) = parser.next().map_err(CommandError::Arguments)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                arguments.help = true;
                // Further arguments are ignored.
                return Ok(arguments);
            }
            Arg::Long("desired") => arguments.config = Some(text(&mut parser)?),
            Arg::Long("settings") => arguments.settings = Some(text(&mut parser)?),
            Arg::Long("json") => arguments.json = true,
            Arg::Value(value) => {
                let word = value.into_string();
                arguments
                    .positional
                    .push(word.map_err(|_| CommandError::ArgumentNotUtf8)?);
            }
            other => return Err(CommandError::Arguments(other.unexpected())),
        }
    }
    Ok(arguments)
}

/// The value of the flag that was parsed last.
fn text(parser: &mut lexopt::Parser) -> Result<String, CommandError> {
    let value = parser.value().map_err(CommandError::Arguments)?;
    let value = value.into_string();
    value.map_err(|_| CommandError::FlagValueNotUtf8)
}

/// Executes a command; returns the exit code.
fn execute(arguments: &Arguments) -> Result<i32, CommandError> {
    if arguments.help {
        crate::outln!("{HELP}");
        return Ok(0);
    }
    match arguments.argument(0)? {
        "record" => record(arguments),
        "check" => check(arguments),
        "run" => compare_rerun(arguments),
        other => Err(CommandError::UnknownCommand(other.to_string())),
    }
}

/// Writes a recording of the log in a stopped replica's data folder.
fn record(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::from_data_folder(Path::new(arguments.argument(1)?))?;
    let file = arguments.argument(2)?;
    std::fs::write(file, recording.text()).map_err(|error| CommandError::Write {
        file: file.to_string(),
        error,
    })?;
    crate::outln!("{} entries recorded", recording.entries.len());
    Ok(0)
}

/// Applies the recorded entries with this build and lists the results that differ.
fn check(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::read(arguments.argument(1)?)?;
    let differences = recording.differences();
    for difference in differences.iter().take(MAX_SHOWN) {
        let Difference {
            log_index,
            recorded,
            now,
        } = difference;
        crate::outln!("log index {log_index}: recorded {recorded}, now {now}");
    }
    crate::outln!(
        "{} entries, {} results differ",
        recording.entries.len(),
        differences.len()
    );
    Ok(i32::from(!differences.is_empty()))
}

/// Reruns a recording in virtual time and compares the summaries.
fn compare_rerun(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::read(arguments.argument(1)?)?;
    let config = arguments.config.as_deref().map(read_config).transpose()?;
    let settings = arguments
        .settings
        .as_deref()
        .map(read_settings)
        .transpose()?;
    let recorded = Summary::from_state(&recording.final_state());
    let rerun_summary = rerun(&recording, config.as_ref(), &settings.unwrap_or_default());
    print_comparison(&recorded, &rerun_summary, arguments.json);
    Ok(0)
}

fn read(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Read {
        file: file.to_string(),
        error,
    })
}

fn read_config(file: &str) -> Result<ClusterConfig, CommandError> {
    let value = serde_json::from_str(&read(file)?).map_err(|error| CommandError::InvalidJson {
        file: file.to_string(),
        error,
    })?;
    config::read(&value).map_err(|error| CommandError::InvalidConfig(error.to_string()))
}

fn read_settings(file: &str) -> Result<Settings, CommandError> {
    toml::from_str(&read(file)?).map_err(|error| CommandError::InvalidSettings {
        file: file.to_string(),
        error,
    })
}

/// Prints the summary of the recording and that of the rerun.
fn print_comparison(recorded: &Summary, rerun_summary: &Summary, as_json: bool) {
    let jobs_ending_differently = jobs_ending_differently(recorded, rerun_summary);
    let tasks = recorded.workers_by_task.len();
    let moved = moved_tasks(recorded, rerun_summary);
    if as_json {
        crate::outln!(
            "{}",
            json!({"recorded": summary_json(recorded), "now": summary_json(rerun_summary), "otherEnds": jobs_ending_differently, "otherWorkers": moved, "tasks": tasks})
        );
        return;
    }
    crate::outln!(
        "recorded {}\nnow      {}",
        summary_json(recorded),
        summary_json(rerun_summary)
    );
    crate::outln!("{moved} of {tasks} tasks ended on another worker");
    crate::outln!(
        "{} jobs ended in another state",
        jobs_ending_differently.len()
    );
    for end in jobs_ending_differently.iter().take(MAX_SHOWN) {
        crate::outln!("  {end}");
    }
}

/// The jobs that ended in another state in the rerun than in the recording.
fn jobs_ending_differently(recorded: &Summary, rerun_summary: &Summary) -> Vec<Value> {
    let ends = recorded.states.iter();
    ends.filter(|(job, state)| rerun_summary.states.get(*job) != Some(state))
        .map(|(job, state)| json!({"job": job, "recorded": state, "now": rerun_summary.states.get(job)}))
        .collect()
}

/// The number of tasks that succeeded on another worker in the rerun than in the recording.
fn moved_tasks(recorded: &Summary, rerun_summary: &Summary) -> usize {
    let moved = |task: &String, worker: &String| {
        let rerun_worker = rerun_summary.workers_by_task.get(task);
        rerun_worker.is_some_and(|other| other != worker)
    };
    let placed = recorded.workers_by_task.iter();
    placed.filter(|(task, worker)| moved(task, worker)).count()
}

fn summary_json(summary: &Summary) -> Value {
    json!({"jobs": summary.states.len(), "done": summary.turnaround_ms.len(), "medianMs": quantile(summary, 0.5), "p95Ms": quantile(summary, 0.95), "kept": summary.kept, "missed": summary.missed, "copies": summary.copies})
}

/// A quantile of the turnaround times of jobs, in milliseconds; 0 if no job succeeded.
fn quantile(summary: &Summary, quantile: f64) -> u64 {
    let mut times_ms: Vec<u64> = summary.turnaround_ms.values().copied().collect();
    times_ms.sort_unstable();
    let last = times_ms.len().saturating_sub(1);
    let index = (last as f64 * quantile) as usize;
    times_ms.get(index).copied().unwrap_or(0)
}
