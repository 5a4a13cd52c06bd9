//! Loads for the comparison of policies.

use crate::scenario::Shape;
use crate::simulator::PlannedJob;
use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::json;

/// Jobs with the times they are offered at.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// How many seconds jobs are offered.
    pub seconds: u64,
    pub jobs: Vec<PlannedJob>,
}

/// The longest run, as a multiple of the shortest.
const LONGEST: f64 = 20.0;
/// Jobs come from this moment on, once there is a leader and a configuration, in seconds.
const FIRST_JOB_SECONDS: u64 = 2;
/// The Pareto shape of the sizes of jobs.
const SIZE_SHAPE: f64 = 1.1;
/// The most tasks of a job.
const MAX_TASKS: u64 = 100;
/// So many sizes are drawn to find their mean.
const SIZE_SAMPLES: u64 = 20_000;
/// Mixed into the seed, so that a load depends on no other draw.
const LOAD_SEED: u64 = 0x10ad;

/// The shortest duration of a task, in milliseconds; longer where there are more slots, so that both shapes see like
/// numbers of tasks.
pub fn shortest_task_ms(shape: Shape) -> f64 {
    match shape {
        Shape::Odvoza => 1600.0,
        Shape::Gunasekera => 400.0,
    }
}

/// A random number of tasks, with a heavy tail.
fn random_size(rng: &mut Rng) -> u64 {
    let size = (1.0 - rng.unit()).powf(-1.0 / SIZE_SHAPE) as u64;
    size.clamp(1, MAX_TASKS)
}

/// Jobs of heavy-tailed sizes, whose tasks take Pareto times of shape `beta`, at a utilisation of the workers.
pub fn workload(shape: Shape, utilisation: f64, beta: f64, seconds: u64, seed: u64) -> Load {
    let mut rng = Rng::new(seed ^ LOAD_SEED);
    let mix = shape.mix();
    let slots = f64::from(shape.cpu()) * shape.workers() as f64;
    let task_ms = shortest_task_ms(shape);
    // The mean of a Pareto time cut off at its longest.
    let mean_ms = task_ms * (1.0 + (1.0 - LONGEST.powf(1.0 - beta)) / (beta - 1.0));
    let samples = (0..SIZE_SAMPLES).map(|_| random_size(&mut rng));
    let mean_size = samples.sum::<u64>() as f64 / SIZE_SAMPLES as f64;
    let mean_pause_ms = mean_size * mean_ms / (utilisation * slots);
    let end_ms = (FIRST_JOB_SECONDS + seconds) as f64 * 1000.0;
    let mut at_ms = FIRST_JOB_SECONDS as f64 * 1000.0;
    let mut jobs: Vec<PlannedJob> = Vec::new();
    while at_ms < end_ms {
        let size = random_size(&mut rng);
        let queue = rng.pick(&mix.queues).cloned().unwrap_or_default();
        let service = rng.pick(&mix.services).cloned().unwrap_or_default();
        let task = |index: u64| TaskSpec {
            name: format!("t{index}"),
            service: service.clone(),
            cpu: 1,
            may_repeat: true,
            payload: json!({"ms": task_ms as u64, "tail": beta}),
            ..TaskSpec::default()
        };
        let spec = JobSpec {
            id: format!("m-{}-{size}", jobs.len()),
            queue,
            tasks: (0..size).map(task).collect(),
            ..JobSpec::default()
        };
        jobs.push(PlannedJob {
            at_ms: at_ms as u64,
            spec,
        });
        // Exponential pauses, as of independent callers.
        at_ms += -(1.0 - rng.unit()).ln() * mean_pause_ms;
    }
    Load { seconds, jobs }
}
