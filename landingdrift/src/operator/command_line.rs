//! The operator's command line: its commands, and what the words of one ask for.

use super::client::ClientError;
use lexopt::Arg;
use std::ffi::OsString;

/// The commands, each with its words and what it does.
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

/// The help of one command, or of all where there is none of this name.
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
        .map(|(c, what)| format!("  {c:<9} {what}\n"))
        .collect();
    format!(
        "landingdrift operator [--at IP:PORT,...] [--json] [--within SECONDS] COMMAND ...\n\n{list}\n  --at      nodes to ask, one after the other (default 127.0.0.1:8000)\n  --json    print JSON instead of text\n  --within  how long to try (default 10)\n\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 no node answered, 4 a rival change came first, 5 a roll-out was halted, 6 not known whether it was taken."
    )
}

/// Where a node is asked when none is named.
const DEFAULT_AT: &str = "127.0.0.1:8000";
/// How many seconds a command is tried for when nothing else is said.
const DEFAULT_WITHIN_SECONDS: u64 = 10;
/// How many seconds each stage of a roll-out is watched for when nothing else is said.
const DEFAULT_WATCH_SECONDS: u64 = 5;

/// What the words after `operator` say.
pub(super) struct Arguments {
    pub at: Vec<String>,
    pub json: bool,
    pub within: u64,
    pub patch: bool,
    pub wait: bool,
    pub help: bool,
    pub base: Option<u64>,
    pub stages: Vec<String>,
    pub watch: u64,
    pub queue: String,
    pub limit: String,
    pub after: String,
    pub worker: String,
    /// The command and what follows it.
    pub rest: Vec<String>,
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
            rest: Vec::new(),
        }
    }
}

impl Arguments {
    /// The command, empty where none was given.
    pub fn command(&self) -> &str {
        self.rest.first().map_or("", String::as_str)
    }

    /// A word after the command, which needs it.
    pub fn argument(&self, i: usize, what: &str) -> Result<&str, ClientError> {
        let word = self.rest.get(i).map(String::as_str);
        word.ok_or_else(|| ClientError::Usage(format!("{} needs {what}", self.command())))
    }
}

/// Reads the words after `operator`.
pub(super) fn read_arguments(arguments: Vec<OsString>) -> Result<Arguments, ClientError> {
    let mut w = Arguments::default();
    let mut p = lexopt::Parser::from_args(arguments);
    while let Some(arg) = p.next().map_err(wrong_words)? {
        match arg {
            Arg::Long("at") => w.at = text(&mut p)?.split(',').map(str::to_string).collect(),
            Arg::Long("json") => w.json = true,
            Arg::Long("patch") => w.patch = true,
            Arg::Long("wait") => w.wait = true,
            Arg::Long("help") | Arg::Short('h') => w.help = true,
            Arg::Long("within") => w.within = number("within", &mut p)?,
            Arg::Long("base") => w.base = Some(number("base", &mut p)?),
            Arg::Long("stages") => w.stages = names(&text(&mut p)?),
            Arg::Long("watch") => w.watch = number("watch", &mut p)?,
            Arg::Long("queue") => w.queue = text(&mut p)?,
            Arg::Long("limit") => w.limit = text(&mut p)?,
            Arg::Long("after") => w.after = text(&mut p)?,
            Arg::Long("worker") => w.worker = text(&mut p)?,
            Arg::Value(value) => {
                let word = value.into_string();
                let word =
                    word.map_err(|_| ClientError::Usage("arguments are text in UTF-8".into()))?;
                w.rest.push(word);
            }
            other => return Err(wrong_words(other.unexpected())),
        }
    }
    Ok(w)
}

fn wrong_words(e: lexopt::Error) -> ClientError {
    ClientError::Usage(e.to_string())
}

/// The value of the flag that was read last.
fn text(p: &mut lexopt::Parser) -> Result<String, ClientError> {
    let value = p.value().map_err(wrong_words)?;
    let value = value.into_string();
    value.map_err(|_| ClientError::Usage("flags take text in UTF-8".into()))
}

fn number(flag: &str, p: &mut lexopt::Parser) -> Result<u64, ClientError> {
    let value = text(p)?;
    let number = value.parse::<u64>();
    number.map_err(|_| ClientError::Usage(format!("--{flag} takes a whole number, not '{value}'")))
}

fn names(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}
