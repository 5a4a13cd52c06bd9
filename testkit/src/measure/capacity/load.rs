//! The workers, the configuration and the jobs of a metered day.

use super::target::{GANG, QUEUES, ZONES};
use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec, WorkerInfo};
use serde_json::{json, Value};

/// Mean of the tasks of a job; the target doesn't say.
pub const TASKS: u64 = 60;
/// Room of a worker: the target's 18.3 running tasks fill three quarters of it.
pub const ROOM: u32 = 24;

const SERVICES: [&str; 2] = ["even", "odd"];

/// The configuration: as many queues and zones as the target has.
pub fn config() -> Value {
    let queues: serde_json::Map<String, Value> = (0..QUEUES)
        .map(|q| (format!("team{q}"), json!({"finishWithinMs": 0, "defectAllowancePercent": 10, "tries": 3, "quota": 2000, "priority": q % 3, "speculationPercent": 40, "windowMs": 600_000, "unsureBoundMs": 15_000})))
        .collect();
    let zones: serde_json::Map<String, Value> = (0..ZONES)
        .map(|z| (format!("z{z}"), json!({"state": "serving"})))
        .collect();
    let service = json!({"labels": ["ssd"], "taskRoom": 8, "gangRoom": GANG});
    json!({"queues": queues, "zones": zones, "services": {(SERVICES[0]): service, (SERVICES[1]): service}})
}

/// What a worker says of itself.
pub fn info(i: usize) -> WorkerInfo {
    WorkerInfo {
        worker: format!("w{i}"),
        incarnation: 1,
        service: SERVICES[i % 2].into(),
        labels: Default::default(),
        zone: format!("z{}", i % ZONES),
        cpu: ROOM,
        ..WorkerInfo::default()
    }
}

/// A job whose tasks run so many milliseconds in the mean; one in eight is a gang.
pub fn job(rng: &mut Rng, number: u64, mean_ms: f64) -> JobSpec {
    let gang = rng.below(8) == 0;
    let most = if gang { GANG - 1 } else { 2 * TASKS - 1 };
    let service = rng.pick(&SERVICES).map_or("", |s| s);
    let tasks = (0..1 + rng.below(most))
        .map(|i| TaskSpec {
            name: format!("t{i}"),
            service: service.into(),
            cpu: 1,
            may_repeat: !gang,
            gang: if gang { "g".into() } else { String::new() },
            payload: json!({"ms": (mean_ms * (0.5 + rng.unit())) as u64}),
            ..TaskSpec::default()
        })
        .collect();
    JobSpec {
        id: format!("h-{number}"),
        queue: format!("team{}", rng.below(QUEUES as u64)),
        tasks,
        ..JobSpec::default()
    }
}
