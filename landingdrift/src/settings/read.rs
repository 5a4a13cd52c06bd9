use super::Settings;
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;

/// Flags that override the settings file, with what they set.
pub const FLAGS: &[(&str, &str)] = &[
    ("settings", "FILE  read settings from this TOML file"),
    ("cluster", "NAME  name of the cluster"),
    ("listen", "IP:PORT  address for the system's own processes"),
    (
        "http",
        "IP:PORT  address for callers, workers and operators",
    ),
    ("zone", "NAME  zone of this machine"),
    ("seeds", "A,B,C  addresses of other processes to start from"),
    (
        "founders",
        "A,B,C  first cores of a new cluster (default: the seeds)",
    ),
    ("data", "FOLDER  data folder (core only)"),
    ("log", "LEVEL  error, warn, info or debug"),
];

/// What is wrong with the settings.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsError {
    /// The command line can't be read.
    Flag(String),
    /// The file can't be opened.
    File { file: String, why: String },
    /// The file's text is wrong.
    Text { file: String, why: String },
    /// A value is missing, wrong or contradicts another.
    Value {
        setting: &'static str,
        remedy: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Flag(why) => write!(f, "{why}: see --help for the flags"),
            Self::File { file, why } => write!(f, "settings file '{file}' can't be read ({why}): correct --settings or the file's rights"),
            Self::Text { file, why } => write!(f, "settings file '{file}' is wrong: {why}; docs/operators/settings.md lists all settings"),
            Self::Value { setting, remedy } => write!(f, "setting '{setting}': {remedy}"),
        }
    }
}

/// What the words after a role's name ask for.
pub struct Asked {
    pub settings: Settings,
    pub check_only: bool,
    pub help: bool,
}

/// Reads the words after a role's name; flags win over the file.
pub fn from_arguments(arguments: Vec<OsString>, replica: bool) -> Result<Asked, SettingsError> {
    let flag = |e: lexopt::Error| SettingsError::Flag(e.to_string());
    let mut p = lexopt::Parser::from_args(arguments);
    let (mut check_only, mut help, mut given) = (false, false, Vec::<(String, String)>::new());
    while let Some(arg) = p.next().map_err(flag)? {
        match arg {
            lexopt::Arg::Long("check") => check_only = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => help = true,
            lexopt::Arg::Long(name) if FLAGS.iter().any(|(f, _)| *f == name) => {
                let name = name.to_string();
                let value =
                    p.value().map_err(flag)?.into_string().map_err(|_| {
                        SettingsError::Flag(format!("--{name} takes text in UTF-8"))
                    })?;
                given.push((name, value));
            }
            other => return Err(flag(other.unexpected())),
        }
    }
    let mut s = given
        .iter()
        .rev()
        .find(|(n, _)| n == "settings")
        .map(|(_, file)| {
            std::fs::read_to_string(file)
                .map_err(|e| SettingsError::File {
                    file: file.clone(),
                    why: e.to_string(),
                })
                .and_then(|text| {
                    toml::from_str::<Settings>(&text).map_err(|e| SettingsError::Text {
                        file: file.clone(),
                        why: e.to_string().trim().replace('\n', " "),
                    })
                })
        })
        .unwrap_or_else(|| Ok(Settings::default()))?;
    let list = |v: &str| {
        v.split(',')
            .filter(|x| !x.is_empty())
            .map(str::to_string)
            .collect::<Vec<_>>()
    };
    for (name, v) in &given {
        match name.as_str() {
            "cluster" => s.cluster = v.clone(),
            "listen" => s.listen = v.clone(),
            "http" => s.http = v.clone(),
            "zone" => s.zone = v.clone(),
            "seeds" => s.seeds = list(v),
            "founders" => s.founders = list(v),
            "data" => s.data = v.clone(),
            "log" => s.log = v.clone(),
            _ => {}
        }
    }
    if !help {
        check(&s, replica)?;
    }
    Ok(Asked {
        settings: s,
        check_only,
        help,
    })
}

fn check(s: &Settings, replica: bool) -> Result<(), SettingsError> {
    let ensure = |ok: bool, setting: &'static str, remedy: &str| {
        ok.then_some(()).ok_or_else(|| SettingsError::Value {
            setting,
            remedy: remedy.into(),
        })
    };
    let addr = |a: &str| {
        a.parse::<SocketAddr>()
            .is_ok_and(|x| x.port() != 0 && !x.ip().is_unspecified())
    };
    ensure(!s.cluster.is_empty(), "cluster", "give the cluster a name")?;
    ensure(
        addr(&s.listen),
        "listen",
        "give an IP number and port that other processes can reach, as in 10.0.0.1:7000",
    )?;
    ensure(
        addr(&s.http),
        "http",
        "give an IP number and port that callers can reach, as in 10.0.0.1:8000",
    )?;
    ensure(
        s.listen != s.http,
        "http",
        "give a port other than the one of 'listen'",
    )?;
    ensure(!s.zone.is_empty(), "zone", "name the zone of this machine")?;
    ensure(
        !s.seeds.is_empty() && s.seeds.iter().all(|a| addr(a)),
        "seeds",
        "give one to three IP:PORT addresses of other processes, separated by commas",
    )?;
    ensure(
        s.founders.iter().all(|a| addr(a)),
        "founders",
        "give IP:PORT addresses of the first cores",
    )?;
    ensure(
        !replica || !s.data.is_empty(),
        "data",
        "a core needs a data folder: give one",
    )?;
    ensure(
        replica || s.data.is_empty(),
        "data",
        "a node keeps nothing on disk: leave this out",
    )?;
    ensure(
        ["error", "warn", "info", "debug"].contains(&s.log.as_str()),
        "log",
        "give error, warn, info or debug",
    )?;
    ensure(
        (1..=15).contains(&s.voters) && s.voters % 2 == 1,
        "voters",
        "give an odd number from 1 to 15: 2f+1 where f machines may be lost at once",
    )?;
    let b = &s.bounds;
    ensure(b.config_ms >= 400, "bounds.desired_ms", "give at least 400")?;
    ensure(
        b.cancel_ms >= b.config_ms,
        "bounds.cancel_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(b.leave_ms >= 400, "bounds.leave_ms", "give at least 400")?;
    ensure(
        b.state_ms >= b.config_ms,
        "bounds.state_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        b.evacuate_ms >= b.cancel_ms,
        "bounds.empty_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        b.outage_ms >= 2 * b.cancel_ms,
        "bounds.outage_ms",
        "give at least twice bounds.cancel_ms",
    )?;
    ensure(
        b.replace_ms >= b.cancel_ms,
        "bounds.replace_ms",
        "give at least bounds.cancel_ms",
    )?;
    ensure(
        b.grace_ms >= b.config_ms,
        "bounds.grace_ms",
        "give at least bounds.desired_ms",
    )?;
    ensure(
        b.lease_ms == 0 || b.lease_ms >= b.cancel_ms,
        "bounds.hold_ms",
        "give 0, or at least bounds.cancel_ms",
    )?;
    ensure(
        b.heartbeat_ms == 0 || (20..=b.cancel_ms / 3).contains(&b.heartbeat_ms),
        "bounds.beat_ms",
        "give 0, or 20 to a third of bounds.cancel_ms",
    )?;
    let l = &s.limits;
    ensure(
        (1024..=(32 << 20)).contains(&l.job_bytes),
        "limits.job_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(
        (1024..=(32 << 20)).contains(&l.config_bytes),
        "limits.desired_bytes",
        "give 1024 to 33554432",
    )?;
    ensure(l.open_jobs >= 1, "limits.open_jobs", "give at least 1")?;
    ensure(l.calls >= 1, "limits.calls", "give at least 1")?;
    ensure(
        l.retain_ms >= b.state_ms,
        "limits.retain_ms",
        "give at least bounds.state_ms",
    )?;
    ensure(
        l.identity_ms >= 60_000,
        "limits.identity_ms",
        "give at least 60000, longer than any client retries",
    )?;
    ensure(
        l.snapshot_every >= 10,
        "limits.capture_every",
        "give at least 10",
    )?;
    ensure(
        l.log_bytes >= 65_536,
        "limits.log_bytes",
        "give at least 65536",
    )?;
    ensure(
        l.segment_bytes >= 4096,
        "limits.segment_bytes",
        "give at least 4096",
    )?;
    let h = &s.hopper;
    ensure(
        (1..=64).contains(&h.probe_ratio),
        "hopper.probe_ratio",
        "give 1 to 64",
    )?;
    ensure(h.refusals <= 16, "hopper.refusals", "give 0 to 16")?;
    ensure(
        (0.0..=1.0).contains(&h.epsilon),
        "hopper.epsilon",
        "give 0 to 1",
    )?;
    ensure(
        (0.0..=1.0).contains(&h.locality),
        "hopper.locality",
        "give 0 to 1",
    )?;
    ensure(
        h.slow_factor >= 1.0,
        "hopper.slow_factor",
        "give at least 1",
    )
}
