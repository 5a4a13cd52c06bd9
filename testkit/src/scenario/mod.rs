//! Days to rehearse: shapes of deployments, mixes of jobs, faults.

mod faults;
mod mixes;

pub use faults::{last_fault, random_faults, Fault, Kind};
pub use mixes::{job, Mix};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::fmt;

/// A deployment's shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Shape {
    /// 17 machines: three replicas, three nodes, 11 workers of 64.
    Odvoza,
    /// 18 machines: three replicas, four nodes, 11 workers of 16.
    Gunasekera,
}

impl Shape {
    /// A shape by its name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "odvoza" => Some(Self::Odvoza),
            "gunasekera" => Some(Self::Gunasekera),
            _ => None,
        }
    }
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Odvoza => "odvoza",
            Self::Gunasekera => "gunasekera",
        }
    }
    pub fn nodes(self) -> usize {
        match self {
            Self::Odvoza => 3,
            Self::Gunasekera => 4,
        }
    }
    pub fn workers(self) -> usize {
        11
    }
    pub fn cpu(self) -> u32 {
        match self {
            Self::Odvoza => 64,
            Self::Gunasekera => 16,
        }
    }
    /// The mix of jobs that the deployment sees, at its rate.
    pub fn mix(self) -> Mix {
        match self {
            Self::Odvoza => Mix {
                rate: 11.0,
                queues: vec!["calendars".into(), "reminders".into(), "residents".into()],
                services: vec!["municipal".into(), "notices".into()],
                ..Mix::default()
            },
            Self::Gunasekera => Mix {
                rate: 9.0,
                queues: vec!["quotations".into(), "recounts".into(), "pickups".into()],
                services: vec!["trade".into(), "stock".into()],
                ..Mix::default()
            },
        }
    }
    /// The deployment's configuration.
    pub fn config(self) -> Value {
        let mix = self.mix();
        let queue = |within: u64, priority: u32| json!({"finishWithinMs": within, "defectAllowancePercent": 10, "tries": 3, "quota": 2000, "priority": priority, "speculationPercent": 40, "windowMs": 600_000, "unsureBoundMs": 15_000});
        let service = json!({"labels": ["ssd", "printer"], "taskRoom": self.cpu() / 2, "gangRoom": self.cpu()});
        json!({
            "queues": {(mix.queues[0].as_str()): queue(60_000, 0), (mix.queues[1].as_str()): queue(30_000, 1), (mix.queues[2].as_str()): queue(5_000, 4)},
            "services": {(mix.services[0].as_str()): service, (mix.services[1].as_str()): service},
            "zones": {"z0": {"state": "serving"}, "z1": {"state": "serving"}, "z2": {"state": "serving"}},
        })
    }
}

/// A day to rehearse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub shape: Shape,
    /// How long jobs are offered.
    pub seconds: u64,
    /// How long the day goes on after that, with all faults healed.
    #[serde(default = "settle")]
    pub settle: u64,
    /// Nodes and workers; the shape's own where 0.
    #[serde(default)]
    pub nodes: usize,
    #[serde(default)]
    pub workers: usize,
    /// Jobs a second; the shape's own where 0.
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Further faults, drawn by the seed.
    #[serde(default)]
    pub random: usize,
    /// One last fault, drawn by the seed, straight before the closing reads.
    #[serde(default)]
    pub last: bool,
    /// Seeds to run in tests.
    #[serde(default = "seeds")]
    pub seeds: Vec<u64>,
}

fn settle() -> u64 {
    40
}

fn seeds() -> Vec<u64> {
    vec![1, 2]
}

/// Why a scenario can't be rehearsed.
#[derive(Debug)]
pub enum ScenarioError {
    File { path: String, why: String },
    Text { path: String, why: String },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::File { path, why } => {
                write!(f, "'{path}' can't be read ({why}): name a scenario file")
            }
            Self::Text { path, why } => write!(f, "'{path}' is no scenario: {why}"),
        }
    }
}

impl Scenario {
    /// Reads a scenario file.
    pub fn load(path: &str) -> Result<Self, ScenarioError> {
        std::fs::read_to_string(path)
            .map_err(|e| ScenarioError::File {
                path: path.into(),
                why: e.to_string(),
            })
            .and_then(|t| {
                toml::from_str(&t).map_err(|e| ScenarioError::Text {
                    path: path.into(),
                    why: e.to_string(),
                })
            })
            .and_then(|s: Self| {
                s.check().map(|()| s).map_err(|why| ScenarioError::Text {
                    path: path.into(),
                    why,
                })
            })
    }

    /// Checks that the day can be rehearsed; what is wrong is named with its remedy.
    pub fn check(&self) -> Result<(), String> {
        let ensure = |ok: bool, why: &str| ok.then_some(()).ok_or_else(|| why.to_string());
        ensure(
            (1..=86_400).contains(&self.seconds),
            "seconds: give 1 to 86400",
        )?;
        ensure(self.settle <= 86_400, "settle: give at most 86400")?;
        ensure(
            self.rate.is_finite() && (0.0..=10_000.0).contains(&self.rate),
            "rate: give 0 (the shape's own) to 10000 jobs a second",
        )?;
        ensure(
            self.nodes <= 1000 && self.workers <= 10_000,
            "nodes, workers: give at most 1000 and 10000",
        )?;
        ensure(self.random <= 1000, "random: give at most 1000")?;
        ensure(
            self.random == 0 || self.seconds >= 4,
            "random: faults are drawn from the third second on: give at least 4 seconds",
        )?;
        let (nodes, workers) = (
            if self.nodes > 0 {
                self.nodes
            } else {
                self.shape.nodes()
            },
            if self.workers > 0 {
                self.workers
            } else {
                self.shape.workers()
            },
        );
        self.faults.iter().enumerate().try_for_each(|(i, f)| {
            f.check(nodes, workers)
                .map_err(|why| format!("faults[{i}].{why}"))
        })
    }
}
