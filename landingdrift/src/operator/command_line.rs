//! The operator's command line: its commands, flags and arguments.

use super::client::ClientError;
use lexopt::Arg;
use std::ffi::OsString;

/// The commands, each with its arguments and what it does.
const COMMANDS: &[(&str, &str)] = &[
    ("apply", "FILE [--base N] [--patch] [--wait]  put a configuration into force (base: the current version when left out)"),
    (
        "rollout",
        "FILE --stages Q,.. [--watch SECONDS]  put it into force queue by queue, the rest last; halt and go back when a queue spends its allowance or a node stays behind",
    ),
    ("get", "the desired state in force, with its version"),
    ("change", "ID  how far a change has come, node by node"),
    ("status", "queues, promises, zones, nodes, cores"),
    ("drain", "ZONE [--worker W] [--wait]  nothing new there; running work ends"),
    ("evacuate", "ZONE [--wait]  nothing new there; repeatable work is stopped and runs elsewhere"),
    ("restore", "ZONE [--worker W]  take work there again"),
    ("submit", "FILE  hand a job in"),
    ("job", "ID  the state of a job"),
    ("jobs", "[--queue Q] [--limit N] [--after ID]  list jobs"),
    ("cancel", "ID  cancel a job"),
    ("resolve", "JOB TASK well|defect  say how an unsure send ended"),
    ("workers", "list the workers"),
];

/// The help for a command, or for all if there is none of this name.
pub(super) fn help(command: &str) -> String {
    let known = COMMANDS.iter().find(|(name, _)| *name == command);
    match known {
        Some((name, what)) => format!("landingdrift operator {name} {what}"),
        None => usage(),
    }
}

fn usage() -> String {
    let list: String = COMMANDS
        .iter()
        .map(|(name, what)| format!("  {name:<9} {what}\n"))
        .collect();
    format!(
        "landingdrift operator [--at IP:PORT,...] [--json] [--within SECONDS] COMMAND ...\n\n{list}\n  --at      nodes to ask, one after the other (default 127.0.0.1:8000)\n  --json    print JSON instead of text\n  --within  how long to try (default 10)\n\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 no node answered, 4 a rival change came first, 5 a roll-out was halted, 6 not known whether it was taken."
    )
}

/// The node that is called when none is named.
const DEFAULT_AT: &str = "127.0.0.1:8000";
/// How many seconds a command is tried for by default.
const DEFAULT_WITHIN_SECONDS: u64 = 10;
/// How many seconds each stage of a roll-out is watched for by default.
const DEFAULT_WATCH_SECONDS: u64 = 5;

/// The parsed command line after `operator`.
pub(super) struct Arguments {
    pub at: Vec<String>,
    pub json: bool,
    /// In seconds.
    pub within: u64,
    pub patch: bool,
    pub wait: bool,
    pub help: bool,
    pub base: Option<u64>,
    pub stages: Vec<String>,
    /// In seconds.
    pub watch: u64,
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
            at: vec![DEFAULT_AT.into()],
            json: false,
            within: DEFAULT_WITHIN_SECONDS,
            patch: false,
            wait: false,
            help: false,
            base: None,
            stages: Vec::new(),
            watch: DEFAULT_WATCH_SECONDS,
            queue: String::new(),
            limit: String::new(),
            after: String::new(),
            worker: String::new(),
            positional: Vec::new(),
        }
    }
}

impl Arguments {
    /// The command, empty where none was given.
    pub fn command(&self) -> &str {
        self.positional.first().map_or("", String::as_str)
    }

    /// An argument that the command requires.
    pub fn argument(&self, index: usize, what: &str) -> Result<&str, ClientError> {
        let word = self.positional.get(index).map(String::as_str);
        word.ok_or_else(|| ClientError::Usage(format!("{} needs {what}", self.command())))
    }
}

/// Parses the command line after `operator`.
pub(super) fn read_arguments(words: Vec<OsString>) -> Result<Arguments, ClientError> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_args(words);
    while let Some(arg) = parser.next().map_err(usage_error)? {
        match arg {
            Arg::Long("at") => {
                arguments.at = text(&mut parser)?.split(',').map(str::to_string).collect()
            }
            Arg::Long("json") => arguments.json = true,
            Arg::Long("patch") => arguments.patch = true,
            Arg::Long("wait") => arguments.wait = true,
            Arg::Long("help") | Arg::Short('h') => arguments.help = true,
            Arg::Long("within") => arguments.within = number("within", &mut parser)?,
            Arg::Long("base") => arguments.base = Some(number("base", &mut parser)?),
            Arg::Long("stages") => arguments.stages = names(&text(&mut parser)?),
            Arg::Long("watch") => arguments.watch = number("watch", &mut parser)?,
            Arg::Long("queue") => arguments.queue = text(&mut parser)?,
            Arg::Long("limit") => arguments.limit = text(&mut parser)?,
            Arg::Long("after") => arguments.after = text(&mut parser)?,
            Arg::Long("worker") => arguments.worker = text(&mut parser)?,
            Arg::Value(value) => {
                let word = value.into_string();
                let word =
                    word.map_err(|_| ClientError::Usage("arguments are text in UTF-8".into()))?;
                arguments.positional.push(word);
            }
            other => return Err(usage_error(other.unexpected())),
        }
    }
    Ok(arguments)
}

fn usage_error(why: lexopt::Error) -> ClientError {
    ClientError::Usage(why.to_string())
}

/// The value of the flag that was read last.
fn text(parser: &mut lexopt::Parser) -> Result<String, ClientError> {
    let value = parser.value().map_err(usage_error)?;
    let value = value.into_string();
    value.map_err(|_| ClientError::Usage("flags take text in UTF-8".into()))
}

fn number(flag: &str, parser: &mut lexopt::Parser) -> Result<u64, ClientError> {
    let value = text(parser)?;
    let number = value.parse::<u64>();
    number.map_err(|_| ClientError::Usage(format!("--{flag} takes a whole number, not '{value}'")))
}

fn names(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}
