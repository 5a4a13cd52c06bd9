//! Parsing and help of the operator's command line.

use super::client::ClientError;
use lexopt::Arg;
use std::ffi::OsString;

/// The commands, each with its arguments and a description for the help.
const COMMANDS: &[(&str, &str)] = &[
    ("apply", "FILE [--base N] [--patch] [--wait]  apply a configuration (default base: the current version)"),
    (
        "rollout",
        "FILE --stages Q,.. [--watch SECONDS]  apply a configuration queue by queue, the rest last; halt and roll back if a queue exceeds its failure allowance or the change is not in force on all nodes in time",
    ),
    ("get", "print the desired state in force, with its version"),
    ("change", "ID  print the progress of a change, node by node"),
    ("status", "print the state of queues and their deadlines, zones, nodes and cores"),
    ("drain", "ZONE [--worker W] [--wait]  start no new attempts in the zone or on the worker, let running ones finish"),
    ("evacuate", "ZONE [--wait]  start no new attempts in the zone, stop the repeatable ones and reschedule them elsewhere"),
    ("restore", "ZONE [--worker W]  start attempts in the zone or on the worker again"),
    ("submit", "FILE  submit a job"),
    ("job", "ID  print the state of a job"),
    ("jobs", "[--queue Q] [--limit N] [--after ID]  list jobs"),
    ("cancel", "ID  cancel a job"),
    ("resolve", "JOB TASK well|defect  set the outcome of an attempt whose outcome is unknown"),
    ("workers", "list the workers"),
];

/// The help for a command, or for all commands if the name is unknown.
pub(super) fn help(command: &str) -> String {
    let known = COMMANDS.iter().find(|(name, _)| *name == command);
    match known {
        Some((name, description)) => format!("landingdrift operator {name} {description}"),
        None => usage(),
    }
}

fn usage() -> String {
    let list: String = COMMANDS
        .iter()
        .map(|(name, description)| format!("  {name:<9} {description}\n"))
        .collect();
    format!(
        "landingdrift operator [--at IP:PORT,...] [--json] [--within SECONDS] COMMAND ...\n\n{list}\n  --at      addresses of nodes to call, one after the other (default 127.0.0.1:8000)\n  --json    print JSON instead of text\n  --within  timeout in seconds (default 10)\n\nExit codes: 0 done, 1 rejected, 2 invalid command line, 3 no node answered, 4 conflict with another change, 5 roll-out halted, 6 outcome unknown."
    )
}

/// The node that is called if `--at` is not given.
const DEFAULT_NODE: &str = "127.0.0.1:8000";
/// The default of `--within`.
const DEFAULT_TIMEOUT_SECONDS: u64 = 10;
/// The default of `--watch`: the time for which each stage of a roll-out is watched.
const DEFAULT_WATCH_SECONDS: u64 = 5;

/// The parsed command line after `operator`.
pub(super) struct Arguments {
    pub nodes: Vec<String>,
    pub json: bool,
    pub timeout_s: u64,
    pub patch: bool,
    pub wait: bool,
    pub help: bool,
    pub base: Option<u64>,
    pub stages: Vec<String>,
    pub watch_s: u64,
    pub queue: String,
    pub limit: String,
    pub after: String,
    pub worker: String,
    /// The command and its arguments.
    pub positional: Vec<String>,
}

impl Default for Arguments {
    fn default() -> Self {
        Self {
            nodes: vec![DEFAULT_NODE.into()],
            json: false,
            timeout_s: DEFAULT_TIMEOUT_SECONDS,
            patch: false,
            wait: false,
            help: false,
            base: None,
            stages: Vec::new(),
            watch_s: DEFAULT_WATCH_SECONDS,
            queue: String::new(),
            limit: String::new(),
            after: String::new(),
            worker: String::new(),
            positional: Vec::new(),
        }
    }
}

impl Arguments {
    /// The command; empty if none was given.
    pub fn command(&self) -> &str {
        self.positional.first().map_or("", String::as_str)
    }

    /// A required argument; `description` names it in the error if it is missing.
    pub fn argument(&self, index: usize, description: &str) -> Result<&str, ClientError> {
        let word = self.positional.get(index).map(String::as_str);
        word.ok_or_else(|| {
            ClientError::Usage(format!("'{}' requires {description}", self.command()))
        })
    }
}

/// Parses the command line after `operator`.
pub(super) fn parse_arguments(words: Vec<OsString>) -> Result<Arguments, ClientError> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_args(words);
    while let Some(arg) = parser.next().map_err(usage_error)? {
        match arg {
            Arg::Long("at") => {
                arguments.nodes = text(&mut parser)?.split(',').map(str::to_string).collect()
            }
            Arg::Long("json") => arguments.json = true,
            Arg::Long("patch") => arguments.patch = true,
            Arg::Long("wait") => arguments.wait = true,
            Arg::Long("help") | Arg::Short('h') => arguments.help = true,
            Arg::Long("within") => arguments.timeout_s = number("within", &mut parser)?,
            Arg::Long("base") => arguments.base = Some(number("base", &mut parser)?),
            Arg::Long("stages") => arguments.stages = names(&text(&mut parser)?),
            Arg::Long("watch") => arguments.watch_s = number("watch", &mut parser)?,
            Arg::Long("queue") => arguments.queue = text(&mut parser)?,
            Arg::Long("limit") => arguments.limit = text(&mut parser)?,
            Arg::Long("after") => arguments.after = text(&mut parser)?,
            Arg::Long("worker") => arguments.worker = text(&mut parser)?,
            Arg::Value(value) => {
                let word = value.into_string();
                let word =
                    word.map_err(|_| ClientError::Usage("arguments must be valid UTF-8".into()))?;
                arguments.positional.push(word);
            }
            other => return Err(usage_error(other.unexpected())),
        }
    }
    Ok(arguments)
}

fn usage_error(error: lexopt::Error) -> ClientError {
    ClientError::Usage(error.to_string())
}

/// The value of the flag that was parsed last.
fn text(parser: &mut lexopt::Parser) -> Result<String, ClientError> {
    let value = parser.value().map_err(usage_error)?;
    let value = value.into_string();
    value.map_err(|_| ClientError::Usage("values of flags must be valid UTF-8".into()))
}

fn number(flag: &str, parser: &mut lexopt::Parser) -> Result<u64, ClientError> {
    let value = text(parser)?;
    let number = value.parse::<u64>();
    number
        .map_err(|_| ClientError::Usage(format!("--{flag} requires a whole number, not '{value}'")))
}

fn names(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}
