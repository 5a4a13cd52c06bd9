//! Random jobs, sampled from a mix.

use landingdrift::sans_io::Rng;
use landingdrift::state::{JobSpec, TaskSpec};
use serde_json::json;

/// The share of runs that fail, for tasks of jobs that can succeed.
const FAILING_SHARE: f64 = 0.01;
/// The maximum number of tasks of a gang.
const MAX_GANG_TASKS: usize = 4;
/// The shortest time from the creation of a job to the due time of one of its tasks, in milliseconds.
const MIN_DUE_DELAY_MS: u64 = 1000;
/// The exclusive upper bound of the random time added to the shortest time until a task is due, in milliseconds.
const DUE_DELAY_RANGE_MS: u64 = 3000;
/// The number of zones in every deployment.
const ZONES: u64 = 3;

/// The distribution that random jobs are sampled from.
#[derive(Clone, Debug)]
pub struct Mix {
    pub jobs_per_second: f64,
    /// The queues of jobs, each equally likely.
    pub queues: Vec<String>,
    /// The services of jobs, each equally likely.
    pub services: Vec<String>,
    /// The mean minimum duration of tasks, in milliseconds; the random tail factor multiplies it.
    pub task_ms: f64,
    /// The shape parameter of the Pareto distribution of durations; 0 for constant durations.
    pub tail: f64,
    /// The share of jobs that can never succeed.
    pub doomed_share: f64,
    /// The share of jobs whose tasks may be repeated.
    pub repeatable_share: f64,
    /// The maximum number of tasks of a job.
    pub max_tasks: u64,
    /// All jobs have a single task.
    pub has_single_task: bool,
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
            has_single_task: false,
        }
    }
}

/// The kind of a random job.
#[derive(Clone, Copy, PartialEq)]
enum JobForm {
    Single,
    /// Several independent tasks.
    Parallel,
    /// A first task, tasks that depend on it, and a last task that depends on those.
    Steps,
    Gang,
    /// Each task has a due time.
    Due,
    /// The first task needs a label, the others prefer a zone.
    Labelled,
}

impl JobForm {
    fn random(rng: &mut Rng, mix: &Mix) -> Self {
        if mix.has_single_task {
            return Self::Single;
        }
        match rng.below(10) {
            0..=2 => Self::Single,
            5 | 6 => Self::Steps,
            7 => Self::Gang,
            8 => Self::Due,
            9 => Self::Labelled,
            _ => Self::Parallel,
        }
    }
}

/// A random job of the mix; `now` is the wall clock's time in milliseconds since 1970.
pub fn random_job(rng: &mut Rng, mix: &Mix, id: &str, now: u64) -> JobSpec {
    let queue = rng.pick(&mix.queues).cloned().unwrap_or_default();
    let service = rng.pick(&mix.services).cloned().unwrap_or_default();
    let may_repeat = rng.unit() < mix.repeatable_share;
    let is_doomed = rng.unit() < mix.doomed_share;
    let form = JobForm::random(rng, mix);
    let sampled = match form {
        JobForm::Single => 1,
        _ => 2 + rng.below(mix.max_tasks.max(3) - 2) as usize,
    };
    // Gangs may have fewer tasks than sampled.
    let count = if form == JobForm::Gang {
        sampled.min(MAX_GANG_TASKS)
    } else {
        sampled
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
        set_form_fields(&mut task, rng, form, index, sampled, now);
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

/// Sets the fields of a task that follow from its job's form; `count` is the sampled number of tasks.
fn set_form_fields(
    task: &mut TaskSpec,
    rng: &mut Rng,
    form: JobForm,
    index: usize,
    count: usize,
    now: u64,
) {
    match form {
        JobForm::Steps => task.depends_on = dependencies(index, count),
        JobForm::Gang => task.gang = "g".into(),
        JobForm::Due => {
            task.due = now + MIN_DUE_DELAY_MS + rng.below(DUE_DELAY_RANGE_MS);
        }
        JobForm::Labelled if index == 0 => task.labels = vec!["ssd".into()],
        JobForm::Labelled => task.near = format!("z{}", rng.below(ZONES)),
        JobForm::Single | JobForm::Parallel => {}
    }
}

/// The dependencies of a task in [`JobForm::Steps`]: all depend on the first task, and the last on all in between.
fn dependencies(index: usize, count: usize) -> Vec<String> {
    let is_last = index + 1 == count;
    match index {
        0 => Vec::new(),
        1 if is_last => vec![task_name(0)],
        _ if is_last => (1..index).map(task_name).collect(),
        _ => vec![task_name(0)],
    }
}
