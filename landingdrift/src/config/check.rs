use super::{canonical_host, ClusterConfig, Queue, Service, Zone};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum length of a name, in characters.
const MAX_NAME_CHARACTERS: usize = 64;
const NAME_REMEDY: &str = "use 1 to 64 letters, digits, '-', '_' or '.' for the name";
/// Upper limit of [`Queue::max_attempts`].
const MAX_ATTEMPTS: u32 = 1_000_000;
/// Upper limit of [`Queue::priority`].
const MAX_PRIORITY: u32 = 100;
/// Minimum of [`Queue::window_ms`] and [`Queue::unsure_bound_ms`], in milliseconds.
const MIN_WINDOW_MS: u64 = 1000;
/// Valid states of a zone; an empty state means `serving`.
const ZONE_STATES: [&str; 4] = ["", "serving", "draining", "evacuated"];

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigError {
    /// A field is unknown or of the wrong type.
    Schema {
        /// Path of the invalid field.
        path: String,
        /// Description of the error.
        why: String,
    },
    /// A name or value is invalid, or contradicts another value.
    Value {
        /// Path of the invalid field.
        path: String,
        /// How to correct it.
        remedy: String,
    },
}

impl ConfigError {
    /// Path of the invalid field.
    pub fn path(&self) -> &str {
        match self {
            Self::Schema { path, .. } | Self::Value { path, .. } => path,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Schema { path, why } => write!(
                f,
                "{path}: {why}; see docs/operators/configuration.md for the fields"
            ),
            Self::Value { path, remedy } => write!(f, "{path}: {remedy}"),
        }
    }
}

/// Parses and validates a configuration from JSON; unknown fields and fields of the wrong type are errors.
pub fn read(value: &serde_json::Value) -> Result<ClusterConfig, ConfigError> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| ConfigError::Schema {
            path: error.path().to_string(),
            why: error.inner().to_string(),
        })
        .and_then(|config| check(&config).map(|()| config))
}

/// Validates a configuration; returns the first error.
pub fn check(config: &ClusterConfig) -> Result<(), ConfigError> {
    for (name, queue) in &config.queues {
        check_queue(name, queue)?;
    }
    check_routes(config)?;
    for (name, service) in &config.services {
        check_service(name, service)?;
    }
    for (name, zone) in &config.zones {
        check_zone(name, zone)?;
    }
    Ok(())
}

/// Returns an error about the field at a path unless a condition holds.
fn ensure(holds: bool, path: &str, remedy: &str) -> Result<(), ConfigError> {
    if holds {
        return Ok(());
    }
    Err(ConfigError::Value {
        path: path.into(),
        remedy: remedy.into(),
    })
}

/// The path of a queue, service or zone, for errors about its fields.
struct Item {
    path: String,
}

impl Item {
    /// Validates the name of an item, for example of kind `queues`, and builds its path.
    fn named(kind: &str, name: &str) -> Result<Self, ConfigError> {
        let path = format!("{kind}.{name}");
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let is_short = (1..=MAX_NAME_CHARACTERS).contains(&name.len());
        ensure(is_short && name.chars().all(is_allowed), &path, NAME_REMEDY)?;
        Ok(Self { path })
    }

    fn ensure(&self, holds: bool, field: &str, remedy: &str) -> Result<(), ConfigError> {
        ensure(holds, &format!("{}.{field}", self.path), remedy)
    }
}

fn check_queue(name: &str, queue: &Queue) -> Result<(), ConfigError> {
    let item = Item::named("queues", name)?;
    let attempts_in_range = (1..=MAX_ATTEMPTS).contains(&queue.max_attempts);
    item.ensure(
        attempts_in_range,
        "tries",
        "give a number from 1 to 1000000",
    )?;
    item.ensure(queue.quota >= 1, "quota", "give at least 1")?;
    let range_remedy = "give 0 to 100";
    let allowance_in_range = queue.failure_allowance_percent <= 100;
    item.ensure(allowance_in_range, "defectAllowancePercent", range_remedy)?;
    let speculation_in_range = queue.speculation_percent <= 100;
    item.ensure(speculation_in_range, "speculationPercent", range_remedy)?;
    item.ensure(queue.priority <= MAX_PRIORITY, "priority", range_remedy)?;
    let min_remedy = "give at least 1000";
    item.ensure(queue.window_ms >= MIN_WINDOW_MS, "windowMs", min_remedy)?;
    let is_bound_long_enough = queue.unsure_bound_ms >= MIN_WINDOW_MS;
    item.ensure(is_bound_long_enough, "unsureBoundMs", min_remedy)
}

/// Checks the queues with a prefix: no two have the same host and prefix, each prefix begins with '/', and each queue's
/// service is declared.
fn check_routes(config: &ClusterConfig) -> Result<(), ConfigError> {
    let mut routes = BTreeMap::new();
    for (name, queue) in &config.queues {
        if queue.prefix.is_empty() {
            continue;
        }
        let item = Item::named("queues", name)?;
        let route = (canonical_host(&queue.host), &queue.prefix);
        let is_unique = routes.insert(route, name).is_none();
        let remedy = "another queue has the same host and prefix: give one of them another";
        item.ensure(is_unique, "prefix", remedy)?;
        let has_slash = queue.prefix.starts_with('/');
        item.ensure(has_slash, "prefix", "begin the prefix with '/'")?;
        let is_known = config.services.contains_key(&queue.service);
        let remedy = "declare the service, or name one that is declared";
        item.ensure(is_known, "service", remedy)?;
    }
    Ok(())
}

fn check_service(name: &str, service: &Service) -> Result<(), ConfigError> {
    let item = Item::named("services", name)?;
    item.ensure(service.max_task_cpu >= 1, "taskRoom", "give at least 1")?;
    let gang_fits_task = service.max_gang_cpu >= service.max_task_cpu;
    item.ensure(gang_fits_task, "gangRoom", "give at least taskRoom")
}

fn check_zone(name: &str, zone: &Zone) -> Result<(), ConfigError> {
    let item = Item::named("zones", name)?;
    let is_known = ZONE_STATES.contains(&zone.state.as_str());
    let remedy = "give 'serving', 'draining' or 'evacuated'";
    item.ensure(is_known, "state", remedy)
}
