//! Mixes of random jobs.

use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::json;

/// The share of runs that fail of a task that isn't bound to.
const FAILING_SHARE: f64 = 0.01;
/// Tasks of a gang, at the most.
const MAX_GANG: usize = 4;
/// An appointed task starts so long after its job was made at the earliest, in milliseconds.
const MIN_APPOINTMENT_MS: u64 = 1000;
/// How much later than the earliest an appointed task may start, in milliseconds.
const APPOINTMENT_SPREAD_MS: u64 = 3000;
/// The zones of every deployment.
const ZONES: u64 = 3;

/// What kinds of jobs are offered, and how many.
#[derive(Clone, Debug)]
pub struct Mix {
    pub jobs_per_second: f64,
    pub queues: Vec<String>,
    pub services: Vec<String>,
    /// Mean of the shortest duration of a task, in milliseconds.
    pub task_ms: f64,
    /// Shape of the Pareto distribution of durations; 0 for none.
    pub tail: f64,
    /// Share of jobs that can never succeed.
    pub doomed_share: f64,
    /// Share of jobs whose tasks may be repeated.
    pub repeatable_share: f64,
    /// The most tasks of a job.
    pub max_tasks: u64,
    /// Only jobs of a single task.
    pub is_plain: bool,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            jobs_per_second: 5.0,
            queues: Vec::new(),
            services: Vec::new(),
            task_ms: 250.0,
            tail: 1.5,
            doomed_share: 0.0,
            repeatable_share: 0.5,
            max_tasks: 8,
            is_plain: false,
        }
    }
}

/// How the tasks of a job hang together.
#[derive(Clone, Copy, PartialEq)]
enum Form {
    Single,
    /// Many tasks at once.
    Parallel,
    /// A first task, a middle that fans out, and a last task.
    Steps,
    Gang,
    /// Each task has an appointed time.
    Appointed,
    /// One task needs a label, the others have a zone that they prefer.
    Labelled,
}

impl Form {
    fn random(rng: &mut Rng, mix: &Mix) -> Self {
        if mix.is_plain {
            return Self::Single;
        }
        match rng.below(10) {
            0..=2 => Self::Single,
            5 | 6 => Self::Steps,
            7 => Self::Gang,
            8 => Self::Appointed,
            9 => Self::Labelled,
            _ => Self::Parallel,
        }
    }
}

/// A random job of the mix; `now` is the time of day in milliseconds since 1970.
pub fn random_job(rng: &mut Rng, mix: &Mix, id: &str, now: u64) -> JobSpec {
    let queue = rng.pick(&mix.queues).cloned().unwrap_or_default();
    let service = rng.pick(&mix.services).cloned().unwrap_or_default();
    let may_repeat = rng.unit() < mix.repeatable_share;
    let is_doomed = rng.unit() < mix.doomed_share;
    let form = Form::random(rng, mix);
    let drawn = match form {
        Form::Single => 1,
        _ => 2 + rng.below(mix.max_tasks.max(3) - 2) as usize,
    };
    // The steps of a job fan out as the number that was drawn says.
    let count = if form == Form::Gang {
        drawn.min(MAX_GANG)
    } else {
        drawn
    };
    let tasks = (0..count).map(|index| {
        let task_ms = mix.task_ms * (0.5 + rng.unit());
        let mut task = TaskSpec {
            name: task_name(index),
            service: service.clone(),
            cpu: 1 + rng.below(2) as u32,
            may_repeat,
            payload: json!({
                "ms": task_ms as u64,
                "tail": mix.tail,
                "doomed": is_doomed,
                "failing": FAILING_SHARE,
            }),
            ..TaskSpec::default()
        };
        shape_task(&mut task, rng, form, index, drawn, now);
        task
    });
    JobSpec {
        id: id.into(),
        queue,
        tasks: tasks.collect(),
        ..JobSpec::default()
    }
}

fn task_name(index: usize) -> String {
    format!("t{index}")
}

/// Gives a task, of `count`, what its job's form asks for.
fn shape_task(
    task: &mut TaskSpec,
    rng: &mut Rng,
    form: Form,
    index: usize,
    count: usize,
    now: u64,
) {
    match form {
        Form::Steps => task.depends_on = dependencies(index, count),
        Form::Gang => task.gang = "g".into(),
        Form::Appointed => {
            task.due = now + MIN_APPOINTMENT_MS + rng.below(APPOINTMENT_SPREAD_MS);
        }
        Form::Labelled if index == 0 => task.labels = vec!["ssd".into()],
        Form::Labelled => task.near = format!("z{}", rng.below(ZONES)),
        Form::Single | Form::Parallel => {}
    }
}

/// The first task comes before all others, and the last one after all others.
fn dependencies(index: usize, count: usize) -> Vec<String> {
    let is_last = index + 1 == count;
    match index {
        0 => Vec::new(),
        1 if is_last => vec![task_name(0)],
        _ if is_last => (1..index).map(task_name).collect(),
        _ => vec![task_name(0)],
    }
}
