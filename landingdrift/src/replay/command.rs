//! The command line of replay: it records days, checks them with this build, and decides them anew.

use super::{rerun, Day, RecordingError, Summary};
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

/// So many differences are printed; the rest is only counted.
const SHOWN: usize = 20;

/// Why a command came to nothing.
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
    Day(RecordingError),
}

impl From<RecordingError> for CommandError {
    fn from(why: RecordingError) -> Self {
        Self::Day(why)
    }
}

/// What the words after `replay` say.
#[derive(Default)]
struct Arguments {
    help: bool,
    json: bool,
    config: Option<String>,
    settings: Option<String>,
    rest: Vec<String>,
}

impl Arguments {
    fn argument(&self, i: usize) -> Result<&str, CommandError> {
        let word = self.rest.get(i).map(String::as_str);
        word.ok_or(CommandError::WordMissing)
    }
}

fn run(arguments: Vec<OsString>) -> i32 {
    let done = read_arguments(arguments).and_then(|w| perform(&w));
    match done {
        Ok(code) => code,
        Err(why) => {
            eprintln!("landingdrift replay: {why}");
            2
        }
    }
}

fn read_arguments(arguments: Vec<OsString>) -> Result<Arguments, CommandError> {
    let mut w = Arguments::default();
    let mut p = lexopt::Parser::from_args(arguments);
    while let Some(arg) = p.next().map_err(CommandError::Arguments)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                w.help = true;
                // What follows is not looked at.
                return Ok(w);
            }
            Arg::Long("desired") => w.config = Some(text(&mut p)?),
            Arg::Long("settings") => w.settings = Some(text(&mut p)?),
            Arg::Long("json") => w.json = true,
            Arg::Value(value) => {
                let word = value.into_string();
                w.rest
                    .push(word.map_err(|_| CommandError::ArgumentNotText)?);
            }
            other => return Err(CommandError::Arguments(other.unexpected())),
        }
    }
    Ok(w)
}

/// The value of the flag that was read last.
fn text(p: &mut lexopt::Parser) -> Result<String, CommandError> {
    let value = p.value().map_err(CommandError::Arguments)?;
    let value = value.into_string();
    value.map_err(|_| CommandError::FlagNotText)
}

fn perform(w: &Arguments) -> Result<i32, CommandError> {
    if w.help {
        crate::outln!("{HELP}");
        return Ok(0);
    }
    match w.argument(0)? {
        "record" => state(w),
        "check" => check(w),
        "run" => decide_anew(w),
        other => Err(CommandError::UnknownWord(other.to_string())),
    }
}

/// Records what a stopped replica's data folder holds.
fn state(w: &Arguments) -> Result<i32, CommandError> {
    let day = Day::state(Path::new(w.argument(1)?))?;
    let file = w.argument(2)?;
    std::fs::write(file, day.text()).map_err(|why| CommandError::Write {
        file: file.to_string(),
        why,
    })?;
    crate::outln!("{} entries recorded", day.lines.len());
    Ok(0)
}

/// Applies a day's entries with this build, and lists what differs.
fn check(w: &Arguments) -> Result<i32, CommandError> {
    let day = Day::read(w.argument(1)?)?;
    let differences = day.differences();
    for (log_index, then, now) in differences.iter().take(SHOWN) {
        crate::outln!("place {log_index}: recorded {then}, now {now}");
    }
    crate::outln!(
        "{} entries, {} verdicts differ",
        day.lines.len(),
        differences.len()
    );
    Ok(i32::from(!differences.is_empty()))
}

/// Decides a day anew in virtual time, and compares.
fn decide_anew(w: &Arguments) -> Result<i32, CommandError> {
    let day = Day::read(w.argument(1)?)?;
    let config = w.config.as_deref().map(read_desired).transpose()?;
    let settings = w.settings.as_deref().map(read_settings).transpose()?;
    let then = Summary::of(&day.end());
    let now = rerun(&day, config.as_ref(), &settings.unwrap_or_default());
    tell(&then, &now, w.json);
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
    config::read(&value).map_err(|e| CommandError::WrongDesired(e.to_string()))
}

fn read_settings(file: &str) -> Result<Settings, CommandError> {
    toml::from_str(&read(file)?).map_err(|why| CommandError::WrongSettings {
        file: file.to_string(),
        why,
    })
}

/// Prints what was recorded beside what is decided now.
fn tell(then: &Summary, now: &Summary, as_json: bool) {
    let other_ends = other_ends(then, now);
    let tasks = then.placed.len();
    let moved = moved_tasks(then, now);
    if as_json {
        crate::outln!(
            "{}",
            json!({"recorded": summary(then), "now": summary(now), "otherEnds": other_ends, "otherWorkers": moved, "tasks": tasks})
        );
        return;
    }
    crate::outln!("recorded {}\nnow      {}", summary(then), summary(now));
    crate::outln!("{moved} of {tasks} tasks ended on another worker");
    crate::outln!("{} jobs ended otherwise", other_ends.len());
    for end in other_ends.iter().take(SHOWN) {
        crate::outln!("  {end}");
    }
}

/// The jobs that end otherwise now.
fn other_ends(then: &Summary, now: &Summary) -> Vec<Value> {
    let ends = then.states.iter();
    ends.filter(|(job, state)| now.states.get(*job) != Some(state))
        .map(|(job, state)| json!({"job": job, "recorded": state, "now": now.states.get(job)}))
        .collect()
}

/// How many tasks ended on another worker.
fn moved_tasks(then: &Summary, now: &Summary) -> usize {
    let moved = |task: &String, worker: &String| {
        let now = now.placed.get(task);
        now.is_some_and(|other| other != worker)
    };
    let placed = then.placed.iter();
    placed.filter(|(task, worker)| moved(task, worker)).count()
}

fn summary(s: &Summary) -> Value {
    json!({"jobs": s.states.len(), "done": s.took.len(), "medianMs": quantile(s, 0.5), "p95Ms": quantile(s, 0.95), "kept": s.kept, "missed": s.missed, "copies": s.copies})
}

/// A quantile of the times that jobs took, in milliseconds; 0 where none was done.
fn quantile(s: &Summary, q: f64) -> u64 {
    let mut took: Vec<u64> = s.took.values().copied().collect();
    took.sort_unstable();
    let last = took.len().saturating_sub(1);
    let at = (last as f64 * q) as usize;
    took.get(at).copied().unwrap_or(0)
}
