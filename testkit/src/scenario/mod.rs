//! Scenarios of simulated test runs, which are called days: shapes of deployments, mixes of jobs, and faults.

mod fault;
mod mix;
mod node_class;
mod shape;

pub use fault::{last_fault, random_faults, Fault, FaultKind};
pub use mix::{random_job, Mix};
pub use node_class::NodeClass;
pub use shape::Shape;

use serde::{Deserialize, Serialize};

/// The limit on `seconds` and on `settle`.
const MAX_SECONDS: u64 = 86_400;
/// The limit on the rate of jobs, in jobs per second.
const MAX_JOBS_PER_SECOND: f64 = 10_000.0;
/// The limit on nodes of all classes.
const MAX_NODES: usize = 1000;
/// The limit on workers.
const MAX_WORKERS: usize = 10_000;
/// The limit on random faults.
const MAX_RANDOM_FAULTS: usize = 1000;
/// The earliest start of a random fault, in milliseconds; by then the first leader has been elected.
pub const FIRST_RANDOM_FAULT_MS: u64 = 3000;
/// The minimum number of seconds of load in a scenario with random faults.
const MIN_SECONDS_WITH_FAULTS: u64 = 4;

/// A day to simulate, as described by a scenario file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub shape: Shape,
    /// How long jobs are offered, in seconds.
    pub seconds: u64,
    /// How long the day goes on after the load with all faults healed, in seconds; it may end earlier.
    #[serde(default = "default_settle", rename = "settle")]
    pub settle_seconds: u64,
    /// The number of nodes on machines of the default class; 0 for the shape's number.
    #[serde(default)]
    pub nodes: usize,
    /// Additional nodes on machines of other classes.
    #[serde(default, rename = "class")]
    pub node_classes: Vec<NodeClass>,
    /// The number of workers; 0 for the shape's number.
    #[serde(default)]
    pub workers: usize,
    /// Each worker calls a proxy on its own machine instead of nodes.
    #[serde(default, rename = "proxies")]
    pub has_worker_proxies: bool,
    /// Clients call any running node, whether it reports ready or not.
    #[serde(default, rename = "any_node")]
    pub clients_call_any_node: bool,
    /// Jobs per second; 0 for the shape's rate.
    #[serde(default, rename = "rate")]
    pub jobs_per_second: f64,
    /// The duration of the workers' leases, in milliseconds; 0 for none. Workers with a lease kill their runs when it
    /// expires, and identify runs by name.
    #[serde(default)]
    pub lease_ms: u64,
    /// The share of jobs that can never succeed.
    #[serde(default, rename = "doomed")]
    pub doomed_share: f64,
    /// The share of jobs whose clients give up and cancel if the submission is not answered within 0.7 s.
    #[serde(default, rename = "give_up")]
    pub giving_up_share: f64,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The number of additional faults, sampled from the seed.
    #[serde(default, rename = "random")]
    pub random_faults: usize,
    /// One last fault, sampled from the seed, begins just before the last polls of jobs and reads of the configuration.
    #[serde(default, rename = "last")]
    pub has_last_fault: bool,
    /// The seeds that tests run.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
}

fn default_settle() -> u64 {
    40
}

fn default_seeds() -> Vec<u64> {
    vec![1, 2]
}

/// A scenario file that can't be simulated.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("failed to read scenario file '{path}' ({source}): give the path of a readable file")]
    File {
        path: String,
        source: std::io::Error,
    },
    #[error("failed to parse scenario file '{path}': {source}")]
    Syntax {
        path: String,
        source: toml::de::Error,
    },
    #[error("invalid scenario file '{path}': {source}")]
    Invalid { path: String, source: InvalidValue },
}

/// The message about an invalid value: the field and the valid values.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidValue(String);

/// Fails with a message that names the remedy unless a condition holds.
fn ensure(condition: bool, remedy: &str) -> Result<(), InvalidValue> {
    if condition {
        Ok(())
    } else {
        Err(InvalidValue(remedy.into()))
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn load(path: &str) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::File {
            path: path.into(),
            source,
        })?;
        let scenario: Self = toml::from_str(&text).map_err(|source| ScenarioError::Syntax {
            path: path.into(),
            source,
        })?;
        scenario.check().map_err(|source| ScenarioError::Invalid {
            path: path.into(),
            source,
        })?;
        Ok(scenario)
    }

    /// The number of nodes on machines of the default class.
    pub fn default_class_nodes(&self) -> usize {
        match self.nodes {
            0 => self.shape.nodes(),
            nodes => nodes,
        }
    }

    /// The class of the machine that a node runs on; the default class for the first [`Self::default_class_nodes`]
    /// nodes.
    pub fn class_of_node(&self, index: usize) -> NodeClass {
        let mut first = self.default_class_nodes();
        for class in &self.node_classes {
            if (first..first + class.count).contains(&index) {
                return class.clone();
            }
            first += class.count;
        }
        NodeClass::default()
    }

    /// The number of nodes of all classes.
    pub fn node_count(&self) -> usize {
        let classes = self.node_classes.iter();
        self.default_class_nodes() + classes.map(|class| class.count).sum::<usize>()
    }

    /// The number of workers.
    pub fn worker_count(&self) -> usize {
        match self.workers {
            0 => self.shape.workers(),
            workers => workers,
        }
    }

    /// The mix of jobs: the shape's, with the scenario's rate and share of doomed jobs.
    pub fn mix(&self) -> Mix {
        let mut mix = self.shape.mix();
        if self.jobs_per_second > 0.0 {
            mix.jobs_per_second = self.jobs_per_second;
        }
        if self.doomed_share > 0.0 {
            mix.doomed_share = self.doomed_share;
        }
        mix
    }

    /// Checks the values of the scenario; the error names the field and the valid values.
    pub fn check(&self) -> Result<(), InvalidValue> {
        ensure(
            (1..=MAX_SECONDS).contains(&self.seconds),
            "seconds: give 1 to 86400",
        )?;
        ensure(
            self.settle_seconds <= MAX_SECONDS,
            "settle: give at most 86400",
        )?;
        let rate = self.jobs_per_second;
        ensure(
            rate.is_finite() && (0.0..=MAX_JOBS_PER_SECOND).contains(&rate),
            "rate: give 0 (the shape's own) to 10000 jobs per second",
        )?;
        ensure(
            (0.0..=1.0).contains(&self.doomed_share),
            "doomed: give a share from 0 to 1",
        )?;
        ensure(
            (0.0..=1.0).contains(&self.giving_up_share),
            "give_up: give a share from 0 to 1",
        )?;
        ensure(
            self.node_count() <= MAX_NODES && self.workers <= MAX_WORKERS,
            "nodes, workers: give at most 1000 nodes and 10000 workers",
        )?;
        ensure(
            self.random_faults <= MAX_RANDOM_FAULTS,
            "random: give at most 1000",
        )?;
        ensure(
            self.random_faults == 0 || self.seconds >= MIN_SECONDS_WITH_FAULTS,
            "seconds: give at least 4 seconds if `random` is set, as random faults begin after 3 seconds",
        )?;
        for (index, fault) in self.faults.iter().enumerate() {
            fault
                .check(self.node_count(), self.worker_count())
                .map_err(|InvalidValue(remedy)| {
                    InvalidValue(format!("faults[{index}].{remedy}"))
                })?;
        }
        Ok(())
    }
}
