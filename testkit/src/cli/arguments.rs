//! The words of a command line: the command, its file, and flags with their values.

use std::ffi::OsString;

/// Flags without a value.
const PLAIN_FLAGS: [&str; 3] = ["log", "help", "last"];

/// Flags with a value.
const VALUE_FLAGS: [&str; 26] = [
    "seed", "history", "from", "seeds", "random", "threads", "shape", "seconds", "settle", "rate",
    "folder", "program", "scenario", "out", "load", "beta", "vary", "sizes", "warm", "nodes",
    "starts", "record", "voters", "standbys", "faults", "small",
];

/// A flag and its value; empty for a plain one.
struct Flag {
    name: String,
    value: String,
}

/// A command line that was read.
pub(crate) struct Arguments {
    flags: Vec<Flag>,
    /// The words that are no flags.
    pub words: Vec<String>,
}

impl Arguments {
    /// Reads a command line; the error names what is wrong.
    pub fn parse(arguments: Vec<OsString>) -> Result<Self, String> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut parsed = Self {
            flags: Vec::new(),
            words: Vec::new(),
        };
        while let Some(argument) = parser.next().map_err(|error| error.to_string())? {
            match argument {
                lexopt::Arg::Long(name) if PLAIN_FLAGS.contains(&name) => {
                    let name = name.to_string();
                    parsed.add(name, String::new());
                }
                lexopt::Arg::Short('h') => parsed.add("help".into(), String::new()),
                lexopt::Arg::Long(name) if VALUE_FLAGS.contains(&name) => {
                    let name = name.to_string();
                    let value = parser.value().map_err(|error| error.to_string())?;
                    let value = value
                        .into_string()
                        .map_err(|_| format!("--{name} takes text in UTF-8"))?;
                    parsed.add(name, value);
                }
                lexopt::Arg::Value(word) => {
                    let word = word.into_string();
                    let word = word.map_err(|_| "arguments are text in UTF-8".to_string())?;
                    parsed.words.push(word);
                }
                other => return Err(other.unexpected().to_string()),
            }
        }
        Ok(parsed)
    }

    fn add(&mut self, name: String, value: String) {
        self.flags.push(Flag { name, value });
    }

    /// The value of a flag; the last one where it is given more than once.
    pub fn text(&self, name: &str) -> Option<&str> {
        let mut newest_first = self.flags.iter().rev();
        let flag = newest_first.find(|flag| flag.name == name);
        flag.map(|flag| flag.value.as_str())
    }

    /// Whether a flag is given.
    pub fn has(&self, name: &str) -> bool {
        self.flags.iter().any(|flag| flag.name == name)
    }

    /// The number that a flag gives, or a default.
    pub fn number(&self, name: &str, default: u64) -> Result<u64, String> {
        let Some(value) = self.text(name) else {
            return Ok(default);
        };
        value
            .parse()
            .map_err(|_| format!("--{name} takes a whole number, not '{value}'"))
    }

    /// The scenario file of a command that needs one.
    pub fn file(&self, command: &str) -> Result<&str, String> {
        let file = self.words.get(1).map(String::as_str);
        file.ok_or_else(|| format!("{command} needs a scenario FILE"))
    }
}
