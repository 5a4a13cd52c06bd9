use super::{canonical_host, ClusterConfig};
use std::fmt;

/// What is wrong with a declared configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigError {
    /// A field is unknown or of the wrong type.
    Shape {
        /// The path of the field at fault.
        path: String,
        /// What is wrong with it.
        why: String,
    },
    /// A value is out of its range or contradicts another.
    Value {
        /// The path of the field at fault.
        path: String,
        /// What to do about it.
        remedy: String,
    },
}

impl ConfigError {
    /// The path of the field at fault.
    pub fn path(&self) -> &str {
        match self {
            Self::Shape { path, .. } | Self::Value { path, .. } => path,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Shape { path, why } => write!(
                f,
                "{path}: {why}; see docs/operators/desired-state.md for the fields"
            ),
            Self::Value { path, remedy } => write!(f, "{path}: {remedy}"),
        }
    }
}

/// Reads a configuration from JSON, refusing unknown and wrong fields.
pub fn read(value: &serde_json::Value) -> Result<ClusterConfig, ConfigError> {
    serde_path_to_error::deserialize(value)
        .map_err(|e| ConfigError::Shape {
            path: e.path().to_string(),
            why: e.inner().to_string(),
        })
        .and_then(|d| check(&d).map(|()| d))
}

/// Checks the values of a configuration.
pub fn check(d: &ClusterConfig) -> Result<(), ConfigError> {
    let ensure = |ok: bool, path: String, remedy: &str| {
        ok.then_some(()).ok_or(ConfigError::Value {
            path,
            remedy: remedy.into(),
        })
    };
    let name_ok = |n: &str| {
        !n.is_empty()
            && n.len() <= 64
            && n.chars()
                .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
    };
    for (name, q) in &d.queues {
        let at = |f: &str| format!("queues.{name}.{f}");
        ensure(
            name_ok(name),
            format!("queues.{name}"),
            "use 1 to 64 letters, digits, '-', '_' or '.' for the name",
        )?;
        ensure(
            (1..=100).contains(&q.max_attempts),
            at("tries"),
            "give a number from 1 to 100",
        )?;
        ensure(q.quota >= 1, at("quota"), "give at least 1")?;
        ensure(
            q.failure_allowance_percent <= 100,
            at("defectAllowancePercent"),
            "give 0 to 100",
        )?;
        ensure(
            q.speculation_percent <= 100,
            at("speculationPercent"),
            "give 0 to 100",
        )?;
        ensure(q.priority <= 100, at("priority"), "give 0 to 100")?;
        ensure(q.window_ms >= 1000, at("windowMs"), "give at least 1000")?;
        ensure(
            q.unsure_bound_ms >= 1000,
            at("unsureBoundMs"),
            "give at least 1000",
        )?;
    }
    let mut places = std::collections::BTreeMap::new();
    for (name, q) in d.queues.iter().filter(|(_, q)| !q.prefix.is_empty()) {
        let at = |f: &str| format!("queues.{name}.{f}");
        let other = places.insert((canonical_host(&q.host), &q.prefix), name);
        ensure(
            other.is_none(),
            at("prefix"),
            "another queue has the same host and prefix: give one of them another",
        )?;
        ensure(
            q.prefix.starts_with('/'),
            at("prefix"),
            "begin the prefix with '/'",
        )?;
        ensure(
            d.services.contains_key(&q.service),
            at("service"),
            "declare the service, or name one that is declared",
        )?;
    }
    for (name, s) in &d.services {
        ensure(
            name_ok(name),
            format!("services.{name}"),
            "use 1 to 64 letters, digits, '-', '_' or '.' for the name",
        )?;
        ensure(
            s.task_cpu >= 1,
            format!("services.{name}.taskRoom"),
            "give at least 1",
        )?;
        ensure(
            s.gang_cpu >= s.task_cpu,
            format!("services.{name}.gangRoom"),
            "give at least taskRoom",
        )?;
    }
    for (name, z) in &d.zones {
        ensure(
            name_ok(name),
            format!("zones.{name}"),
            "use 1 to 64 letters, digits, '-', '_' or '.' for the name",
        )?;
        ensure(
            ["", "serving", "draining", "evacuated"].contains(&z.state.as_str()),
            format!("zones.{name}.state"),
            "give 'serving', 'draining' or 'evacuated'",
        )?;
    }
    Ok(())
}
