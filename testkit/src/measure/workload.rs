use crate::scenario::Shape;
use crate::simulator::PlannedJob;
use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::json;

/// Jobs with the times they are offered at.
#[derive(Clone, Debug, Default)]
pub struct Load {
    pub seconds: u64,
    pub jobs: Vec<PlannedJob>,
}

/// The longest run, as a multiple of the shortest.
const LONGEST: f64 = 20.0;

/// The shortest a task runs, in milliseconds; longer where there are more slots, so that both shapes see like numbers of tasks.
pub fn shortest(shape: Shape) -> f64 {
    match shape {
        Shape::Odvoza => 1600.0,
        Shape::Gunasekera => 400.0,
    }
}

/// Jobs of heavy-tailed sizes, whose tasks run Pareto times, at a utilisation.
pub fn workload(shape: Shape, utilisation: f64, beta: f64, seconds: u64, seed: u64) -> Load {
    let mut rng = Rng::new(seed ^ 0x10ad);
    let mix = shape.mix();
    let slots = f64::from(shape.cpu()) * shape.workers() as f64;
    let ms = shortest(shape);
    // The mean of a Pareto time cut off at its longest.
    let mean = ms * (1.0 + (1.0 - LONGEST.powf(1.0 - beta)) / (beta - 1.0));
    let size = |rng: &mut Rng| ((1.0 - rng.unit()).powf(-1.0 / 1.1) as u64).clamp(1, 100);
    let mean_size = (0..20_000).map(|_| size(&mut rng)).sum::<u64>() as f64 / 20_000.0;
    let gap = mean_size * mean / (utilisation * slots);
    let (mut t, mut jobs) = (2000.0, Vec::new());
    while t < (2 + seconds) as f64 * 1000.0 {
        let n = size(&mut rng);
        let queue = rng.pick(&mix.queues).cloned().unwrap_or_default();
        let service = rng.pick(&mix.services).cloned().unwrap_or_default();
        let tasks = (0..n)
            .map(|i| TaskSpec {
                name: format!("t{i}"),
                service: service.clone(),
                cpu: 1,
                may_repeat: true,
                payload: json!({"ms": ms as u64, "tail": beta}),
                ..TaskSpec::default()
            })
            .collect();
        jobs.push(PlannedJob {
            at_ms: t as u64,
            spec: JobSpec {
                id: format!("m-{}-{}", jobs.len(), n),
                queue,
                tasks,
                ..JobSpec::default()
            },
        });
        t += -(1.0 - rng.unit()).ln() * gap;
    }
    Load { seconds, jobs }
}
