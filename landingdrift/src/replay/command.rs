//! The command line of replay: it makes recordings, checks them with this build, and reruns them.

use super::{rerun, Difference, Recording, RecordingError, Summary};
use crate::config::{self, ClusterConfig};
use crate::sans_io::roles::Role;
use crate::settings::Settings;
use lexopt::Arg;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::path::Path;

inventory::submit! { Role { name: "replay", summary: "records days and decides them anew", run } }

const HELP: &str = "landingdrift replay record FOLDER OUT    record what a stopped core's data folder holds
landingdrift replay check DAY           apply a day's entries with this build; differing verdicts are listed
landingdrift replay run DAY [--desired FILE] [--settings FILE] [--json]
                                        decide a day anew in virtual time and compare

Exit codes: 0 done, 1 verdicts differ (check), 2 wrong command line, recording or file.";

/// How many differences are printed; the rest is only counted.
const MAX_SHOWN: usize = 20;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{0}\n\n{help}", help = HELP)]
    Arguments(lexopt::Error),
    #[error("a word is missing\n\n{help}", help = HELP)]
    WordMissing,
    #[error("'{0}' is no word of replay\n\n{help}", help = HELP)]
    UnknownWord(String),
    #[error("flags take text in UTF-8")]
    FlagNotText,
    #[error("arguments are text in UTF-8")]
    ArgumentNotText,
    #[error("'{file}' can't be written ({why}): name another file")]
    Write { file: String, why: std::io::Error },
    #[error("'{file}' can't be read ({why}): name another file")]
    Read { file: String, why: std::io::Error },
    #[error("'{file}' is no JSON ({why}): correct it")]
    NoJson {
        file: String,
        why: serde_json::Error,
    },
    #[error("'{file}' is wrong: {why}")]
    WrongSettings { file: String, why: toml::de::Error },
    #[error("{0}")]
    WrongDesired(String),
    #[error("{0}")]
    Recording(RecordingError),
}

impl From<RecordingError> for CommandError {
    fn from(why: RecordingError) -> Self {
        Self::Recording(why)
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
    /// An argument that the command requires.
    fn argument(&self, index: usize) -> Result<&str, CommandError> {
        let word = self.positional.get(index).map(String::as_str);
        word.ok_or(CommandError::WordMissing)
    }
}

fn run(arguments: Vec<OsString>) -> i32 {
    let done = read_arguments(arguments).and_then(|arguments| perform(&arguments));
    match done {
        Ok(code) => code,
        Err(why) => {
            eprintln!("landingdrift replay: {why}");
            2
        }
    }
}

fn read_arguments(words: Vec<OsString>) -> Result<Arguments, CommandError> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_args(words);
    while let Some(arg) = parser.next().map_err(CommandError::Arguments)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                arguments.help = true;
                // What follows is ignored.
                return Ok(arguments);
            }
            Arg::Long("desired") => arguments.config = Some(text(&mut parser)?),
            Arg::Long("settings") => arguments.settings = Some(text(&mut parser)?),
            Arg::Long("json") => arguments.json = true,
            Arg::Value(value) => {
                let word = value.into_string();
                arguments
                    .positional
                    .push(word.map_err(|_| CommandError::ArgumentNotText)?);
            }
            other => return Err(CommandError::Arguments(other.unexpected())),
        }
    }
    Ok(arguments)
}

/// The value of the flag that was read last.
fn text(parser: &mut lexopt::Parser) -> Result<String, CommandError> {
    let value = parser.value().map_err(CommandError::Arguments)?;
    let value = value.into_string();
    value.map_err(|_| CommandError::FlagNotText)
}

/// Executes a command; returns the exit code.
fn perform(arguments: &Arguments) -> Result<i32, CommandError> {
    if arguments.help {
        crate::outln!("{HELP}");
        return Ok(0);
    }
    match arguments.argument(0)? {
        "record" => record(arguments),
        "check" => check(arguments),
        "run" => run_again(arguments),
        other => Err(CommandError::UnknownWord(other.to_string())),
    }
}

/// Records what a stopped replica's data folder holds.
fn record(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::of_folder(Path::new(arguments.argument(1)?))?;
    let file = arguments.argument(2)?;
    std::fs::write(file, recording.text()).map_err(|why| CommandError::Write {
        file: file.to_string(),
        why,
    })?;
    crate::outln!("{} entries recorded", recording.entries.len());
    Ok(0)
}

/// Applies the recorded entries with this build, and lists the results that differ.
fn check(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::read(arguments.argument(1)?)?;
    let differences = recording.differences();
    for difference in differences.iter().take(MAX_SHOWN) {
        let Difference {
            log_index,
            recorded,
            now,
        } = difference;
        crate::outln!("place {log_index}: recorded {recorded}, now {now}");
    }
    crate::outln!(
        "{} entries, {} verdicts differ",
        recording.entries.len(),
        differences.len()
    );
    Ok(i32::from(!differences.is_empty()))
}

/// Reruns a recording in virtual time, and compares.
fn run_again(arguments: &Arguments) -> Result<i32, CommandError> {
    let recording = Recording::read(arguments.argument(1)?)?;
    let config = arguments.config.as_deref().map(read_desired).transpose()?;
    let settings = arguments
        .settings
        .as_deref()
        .map(read_settings)
        .transpose()?;
    let recorded = Summary::of(&recording.end());
    let now = rerun(&recording, config.as_ref(), &settings.unwrap_or_default());
    print_comparison(&recorded, &now, arguments.json);
    Ok(0)
}

fn read(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|why| CommandError::Read {
        file: file.to_string(),
        why,
    })
}

fn read_desired(file: &str) -> Result<ClusterConfig, CommandError> {
    let value = serde_json::from_str(&read(file)?).map_err(|why| CommandError::NoJson {
        file: file.to_string(),
        why,
    })?;
    config::read(&value).map_err(|why| CommandError::WrongDesired(why.to_string()))
}

fn read_settings(file: &str) -> Result<Settings, CommandError> {
    toml::from_str(&read(file)?).map_err(|why| CommandError::WrongSettings {
        file: file.to_string(),
        why,
    })
}

/// Prints the recorded summary beside that of the rerun.
fn print_comparison(recorded: &Summary, now: &Summary, as_json: bool) {
    let other_ends = other_ends(recorded, now);
    let tasks = recorded.placed.len();
    let moved = moved_tasks(recorded, now);
    if as_json {
        crate::outln!(
            "{}",
            json!({"recorded": summary(recorded), "now": summary(now), "otherEnds": other_ends, "otherWorkers": moved, "tasks": tasks})
        );
        return;
    }
    crate::outln!("recorded {}\nnow      {}", summary(recorded), summary(now));
    crate::outln!("{moved} of {tasks} tasks ended on another worker");
    crate::outln!("{} jobs ended otherwise", other_ends.len());
    for end in other_ends.iter().take(MAX_SHOWN) {
        crate::outln!("  {end}");
    }
}

/// The jobs that end in another state in the rerun.
fn other_ends(recorded: &Summary, now: &Summary) -> Vec<Value> {
    let ends = recorded.states.iter();
    ends.filter(|(job, state)| now.states.get(*job) != Some(state))
        .map(|(job, state)| json!({"job": job, "recorded": state, "now": now.states.get(job)}))
        .collect()
}

/// How many tasks end on another worker in the rerun.
fn moved_tasks(recorded: &Summary, now: &Summary) -> usize {
    let moved = |task: &String, worker: &String| {
        let now = now.placed.get(task);
        now.is_some_and(|other| other != worker)
    };
    let placed = recorded.placed.iter();
    placed.filter(|(task, worker)| moved(task, worker)).count()
}

fn summary(summary: &Summary) -> Value {
    json!({"jobs": summary.states.len(), "done": summary.took.len(), "medianMs": quantile(summary, 0.5), "p95Ms": quantile(summary, 0.95), "kept": summary.kept, "missed": summary.missed, "copies": summary.copies})
}

/// A quantile of the times that jobs took, in milliseconds; 0 where none was done.
fn quantile(summary: &Summary, quantile: f64) -> u64 {
    let mut took: Vec<u64> = summary.took.values().copied().collect();
    took.sort_unstable();
    let last = took.len().saturating_sub(1);
    let at = (last as f64 * quantile) as usize;
    took.get(at).copied().unwrap_or(0)
}
