//! Shapes of deployments: their sizes, job mixes and configurations.

use super::Mix;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// A kind of deployment that scenarios are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Shape {
    /// 17 machines: three replicas, three nodes, 11 workers with a capacity of 64.
    Odvoza,
    /// 18 machines: three replicas, four nodes, 11 workers with a capacity of 16.
    Gunasekera,
}

impl Shape {
    /// The shape with a name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "odvoza" => Some(Self::Odvoza),
            "gunasekera" => Some(Self::Gunasekera),
            _ => None,
        }
    }

    /// The name of the shape on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Odvoza => "odvoza",
            Self::Gunasekera => "gunasekera",
        }
    }

    /// The number of nodes on machines of the default class, unless a scenario gives another.
    pub fn nodes(self) -> usize {
        match self {
            Self::Odvoza => 3,
            Self::Gunasekera => 4,
        }
    }

    /// The number of workers, unless a scenario gives another.
    pub fn workers(self) -> usize {
        11
    }

    /// The capacity of each worker.
    pub fn cpu(self) -> u32 {
        match self {
            Self::Odvoza => 64,
            Self::Gunasekera => 16,
        }
    }

    /// The mix and rate of the deployment's jobs.
    pub fn mix(self) -> Mix {
        let names = |names: &[&str]| names.iter().map(ToString::to_string).collect();
        match self {
            Self::Odvoza => Mix {
                jobs_per_second: 11.0,
                queues: names(&["calendars", "reminders", "residents"]),
                services: names(&["municipal", "notices"]),
                ..Mix::default()
            },
            Self::Gunasekera => Mix {
                jobs_per_second: 9.0,
                queues: names(&["quotations", "recounts", "pickups"]),
                services: names(&["trade", "stock"]),
                ..Mix::default()
            },
        }
    }

    /// The deployment's configuration, in the JSON form of the API.
    pub fn config(self) -> Value {
        let mix = self.mix();
        let queue = |finish_within_ms: u64, priority: u32| {
            json!({
                "finishWithinMs": finish_within_ms,
                "defectAllowancePercent": 10,
                "tries": 3,
                "quota": 2000,
                "priority": priority,
                "speculationPercent": 40,
                "windowMs": 600_000,
                "unsureBoundMs": 15_000,
            })
        };
        let service = json!({
            "labels": ["ssd", "printer"],
            "taskRoom": self.cpu() / 2,
            "gangRoom": self.cpu(),
        });
        let serving = json!({"state": "serving"});
        json!({
            "queues": {
                (mix.queues[0].as_str()): queue(60_000, 0),
                (mix.queues[1].as_str()): queue(30_000, 1),
                (mix.queues[2].as_str()): queue(5_000, 4),
            },
            "services": {
                (mix.services[0].as_str()): service,
                (mix.services[1].as_str()): service,
            },
            "zones": {"z0": serving, "z1": serving, "z2": serving},
        })
    }
}
