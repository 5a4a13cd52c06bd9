//! Reads settings from a TOML file and from flags, which take precedence.

use super::check::check;
use super::Settings;
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;

/// Flags that override the settings file, each with its help text.
pub const FLAGS: &[(&str, &str)] = &[
    ("settings", "FILE  read settings from this TOML file"),
    ("cluster", "NAME  name of the cluster"),
    (
        "listen",
        "IP:PORT  address for the cluster's other processes",
    ),
    (
        "http",
        "IP:PORT  address for clients, workers and operators",
    ),
    ("zone", "NAME  zone of this machine"),
    (
        "seeds",
        "A,B,C  addresses of processes through which this one finds the cluster",
    ),
    (
        "founders",
        "A,B,C  initial cores of a new cluster (default: the seeds)",
    ),
    ("data", "FOLDER  data folder (core only)"),
    ("log", "LEVEL  error, warn, info or debug"),
];

/// Why the settings are invalid.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsError {
    /// The command line is invalid.
    Flag(String),
    /// The file can't be read.
    File {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        why: String,
    },
    /// The file isn't valid TOML, or a setting in it is unknown or of the wrong type.
    Content {
        /// Path of the file.
        file: String,
        /// Error of the TOML parser.
        why: String,
    },
    /// A value is missing, invalid or contradicts another.
    Value {
        /// Name of the setting.
        setting: &'static str,
        /// How to correct it.
        remedy: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Flag(why) => write!(formatter, "{why}: see --help for the flags"),
            Self::File { file, why } => write!(formatter, "failed to read settings file '{file}': {why}; correct --settings or the file's permissions"),
            Self::Content { file, why } => write!(formatter, "invalid settings file '{file}': {why}; docs/operators/settings.md lists all settings"),
            Self::Value { setting, remedy } => write!(formatter, "setting '{setting}': {remedy}"),
        }
    }
}

/// The result of parsing the command line after a role's name.
pub struct ParsedArguments {
    /// The settings from the file, overridden by the flags.
    pub settings: Settings,
    /// Path of the settings file; none if all settings come from flags.
    pub file: Option<PathBuf>,
    /// Whether to validate the settings and then exit (`--check`).
    pub check_only: bool,
    /// Whether to print the help text and then exit. The settings are not validated in this case.
    pub help: bool,
}

/// The flags given on the command line.
#[derive(Default)]
struct Flags {
    check_only: bool,
    help: bool,
    given: Vec<GivenFlag>,
}

/// A flag that takes a value.
struct GivenFlag {
    name: String,
    value: String,
}

/// Parses the command line after a role's name; flags take precedence over the file.
pub fn from_arguments(
    arguments: Vec<OsString>,
    is_replica: bool,
) -> Result<ParsedArguments, SettingsError> {
    let flags = read_flags(arguments)?;
    let mut newest_first = flags.given.iter().rev();
    let file = newest_first.find(|flag| flag.name == "settings");
    let mut settings = match file {
        Some(flag) => read_file(&flag.value)?,
        None => Settings::default(),
    };
    for flag in &flags.given {
        apply_flag(&mut settings, flag);
    }
    if !flags.help {
        check(&settings, is_replica)?;
    }
    Ok(ParsedArguments {
        settings,
        file: file.map(|flag| PathBuf::from(&flag.value)),
        check_only: flags.check_only,
        help: flags.help,
    })
}

fn read_flags(arguments: Vec<OsString>) -> Result<Flags, SettingsError> {
    let to_error = |why: lexopt::Error| SettingsError::Flag(why.to_string());
    let is_known = |name: &str| FLAGS.iter().any(|(flag, _)| *flag == name);
    let mut flags = Flags::default();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(arg) = parser.next().map_err(to_error)? {
        match arg {
            lexopt::Arg::Long("check") => flags.check_only = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => flags.help = true,
            lexopt::Arg::Long(name) if is_known(name) => {
                let name = name.to_string();
                let value = parser.value().map_err(to_error)?;
                let value = value.into_string().map_err(|_| {
                    SettingsError::Flag(format!("the value of --{name} must be valid UTF-8"))
                })?;
                flags.given.push(GivenFlag { name, value });
            }
            other => return Err(to_error(other.unexpected())),
        }
    }
    Ok(flags)
}

fn read_file(file: &str) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|why| SettingsError::File {
        file: file.to_string(),
        why: why.to_string(),
    })?;
    toml::from_str(&text).map_err(|why| SettingsError::Content {
        file: file.to_string(),
        why: why.to_string().trim().replace('\n', " "),
    })
}

/// Overrides the setting that corresponds to a flag.
fn apply_flag(settings: &mut Settings, flag: &GivenFlag) {
    let value = flag.value.clone();
    match flag.name.as_str() {
        "cluster" => settings.cluster = value,
        "listen" => settings.listen = value,
        "http" => settings.http = value,
        "zone" => settings.zone = value,
        "seeds" => settings.seeds = parse_addresses(&value),
        "founders" => settings.founders = parse_addresses(&value),
        "data" => settings.data = value,
        "log" => settings.log = value,
        _ => {}
    }
}

fn parse_addresses(list: &str) -> Vec<String> {
    list.split(',')
        .filter(|address| !address.is_empty())
        .map(str::to_string)
        .collect()
}
