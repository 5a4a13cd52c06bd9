use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::json;

/// What kinds of jobs are offered, and how many.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Jobs a second.
    pub rate: f64,
    pub queues: Vec<String>,
    pub services: Vec<String>,
    /// Mean of the shortest a task runs, in milliseconds.
    pub ms: f64,
    /// Shape of the tasks' durations; 0 for no tail.
    pub tail: f64,
    /// Share of jobs that can never succeed.
    pub doomed: f64,
    /// Share of jobs whose tasks are all alike and may be repeated.
    pub repeatable: f64,
    pub most_tasks: u64,
    /// Only single tasks.
    pub plain: bool,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            rate: 5.0,
            queues: Vec::new(),
            services: Vec::new(),
            ms: 250.0,
            tail: 1.5,
            doomed: 0.0,
            repeatable: 0.5,
            most_tasks: 8,
            plain: false,
        }
    }
}

/// A job of the mix: single, many, in steps, as a gang, or appointed.
pub fn job(rng: &mut Rng, mix: &Mix, id: &str, now: u64) -> JobSpec {
    let queue = rng.pick(&mix.queues).cloned().unwrap_or_default();
    let service = rng.pick(&mix.services).cloned().unwrap_or_default();
    let may_repeat = rng.unit() < mix.repeatable;
    let doomed = rng.unit() < mix.doomed;
    let kind = if mix.plain { 0 } else { rng.below(10) };
    let number = match kind {
        0..=2 => 1,
        _ => 2 + rng.below(mix.most_tasks.max(3) - 2),
    };
    let tasks = (0..number)
        .map(|i| {
            let ms = mix.ms * (0.5 + rng.unit());
            let mut t = TaskSpec {
                name: format!("t{i}"),
                service: service.clone(),
                cpu: 1 + rng.below(2) as u32,
                may_repeat,
                payload: json!({"ms": ms as u64, "tail": mix.tail, "doomed": doomed, "failing": 0.01}),
                ..TaskSpec::default()
            };
            match kind {
                // In steps: a start, a middle that fans out, an end.
                5 | 6 if i > 0 => {
                    t.depends_on = if i + 1 == number {
                        (1..i).map(|d| format!("t{d}")).chain((i == 1).then(|| "t0".into())).collect()
                    } else {
                        vec!["t0".into()]
                    }
                }
                7 => t.gang = "g".into(),
                8 => t.due = now + 1000 + rng.below(3000),
                9 if i == 0 => t.labels = vec!["ssd".into()],
                9 => t.near = format!("z{}", rng.below(3)),
                _ => {}
            }
            t
        })
        .take(if kind == 7 { 4 } else { number as usize })
        .collect();
    JobSpec {
        id: id.into(),
        queue,
        tasks,
        ..JobSpec::default()
    }
}
