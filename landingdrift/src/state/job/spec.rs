//! Jobs as clients submit them.

use super::Resources;
use serde::{Deserialize, Serialize};

/// A job as a client submits it: single tasks, or steps of alike ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct JobSpec {
    /// Made by the client; retries carry the same one.
    pub id: String,
    /// The queue it is submitted to.
    pub queue: String,
    /// Single tasks; empty in a job of steps.
    #[serde(default)]
    pub tasks: Vec<TaskSpec>,
    /// Steps of alike tasks, kept once and not task by task.
    #[serde(default)]
    pub steps: Vec<StepSpec>,
    /// Passed to the workers of all steps as it is.
    #[serde(default)]
    pub payload: String,
    /// The steps run so many times (0 and 1: once), each time with a due time of its own.
    #[serde(default)]
    pub times: u32,
    /// When the first time is due, in milliseconds since 1970.
    #[serde(default)]
    pub first_due: u64,
    /// The period between two times, in milliseconds.
    #[serde(default)]
    pub period_ms: u64,
}

impl JobSpec {
    /// When its last task is due, in milliseconds since 1970.
    pub fn last_due(&self) -> u64 {
        let later_times = u64::from(self.times.max(1)) - 1;
        let after_first = later_times.saturating_mul(self.period_ms);
        let last_time = self.first_due.saturating_add(after_first);
        let single = self.tasks.iter().map(|task| task.due);
        let steps = self.steps.iter().map(|step| step.task.due);
        single.chain(steps).fold(last_time, u64::max)
    }
}

/// A step: so many tasks that are alike. Its tasks are called TIME.STEP.INDEX, counted from 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// Numbers of earlier steps whose tasks must all be done before.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// The tasks run as one group: they start together, and one good end counts for all.
    #[serde(default)]
    pub gang: bool,
    /// What each task asks for; its name is not used.
    pub task: TaskSpec,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TaskSpec {
    /// Its name, which no other task of the job has.
    #[serde(default)]
    pub name: String,
    /// The service whose workers run it.
    pub service: String,
    /// Labels that the worker must have.
    #[serde(default)]
    pub labels: Vec<String>,
    /// The processors it needs, in the units of the workers.
    #[serde(rename = "room")]
    pub cpu: u32,
    /// The memory it needs, in the units of the workers.
    #[serde(default)]
    pub memory: u32,
    /// The accelerators it needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Names of tasks that must be done before.
    #[serde(default)]
    pub depends_on: Vec<String>,
    /// Running it twice does no harm: speculative copies are allowed, and new attempts while one is unsure.
    #[serde(default)]
    pub may_repeat: bool,
    /// Not before this moment, in milliseconds since 1970.
    #[serde(default)]
    pub due: u64,
    /// Tasks of one gang run together or not at all.
    #[serde(default)]
    pub gang: String,
    /// A zone, rack or worker where the task's data is near.
    #[serde(default)]
    pub near: String,
    /// Members of its gang belong on one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// At most so many tasks of its step on one worker; 0 for any number.
    #[serde(default)]
    pub anti_affinity: u32,
    /// It never ends well: however it ends it is started again, until the job is cancelled.
    #[serde(default)]
    pub long_running: bool,
    /// It keeps its progress, and goes on from there when it is started again.
    #[serde(default)]
    pub checkpoints: bool,
    /// A rough guess of how long it runs, in milliseconds.
    #[serde(default)]
    pub estimate_ms: u32,
    /// Passed to the worker as it is.
    #[serde(default, with = "crate::state::pack::json")]
    pub payload: serde_json::Value,
}

impl TaskSpec {
    /// The resources it needs.
    pub fn needs(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
}
