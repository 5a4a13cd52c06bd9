//! Jobs as clients submit them.

use super::Resources;
use serde::{Deserialize, Serialize};

/// A job as a client submits it: either single tasks or steps of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct JobSpec {
    /// Id chosen by the client; retries carry the same one.
    pub id: String,
    /// The queue it is submitted to.
    pub queue: String,
    /// Single tasks; empty in a job of steps.
    #[serde(default)]
    pub tasks: Vec<TaskSpec>,
    /// Steps of identical tasks; each step is stored once, not once per task.
    #[serde(default)]
    pub steps: Vec<StepSpec>,
    /// Passed unchanged to the workers that run the job's tasks.
    #[serde(default)]
    pub payload: String,
    /// Number of repetitions of the steps, each with its own due time; 0 and 1 both mean once.
    #[serde(default)]
    pub times: u32,
    /// When the first repetition is due, in milliseconds since 1970.
    #[serde(default)]
    pub first_due: u64,
    /// Time between the due times of two repetitions, in milliseconds.
    #[serde(default)]
    pub period_ms: u64,
}

impl JobSpec {
    /// The latest due time of its tasks, in milliseconds since 1970.
    pub fn last_due(&self) -> u64 {
        let further_repetitions = u64::from(self.times.max(1)) - 1;
        let after_first = further_repetitions.saturating_mul(self.period_ms);
        let last_repetition_due = self.first_due.saturating_add(after_first);
        let single = self.tasks.iter().map(|task| task.due);
        let steps = self.steps.iter().map(|step| step.task.due);
        single.chain(steps).fold(last_repetition_due, u64::max)
    }
}

/// A step: a number of identical tasks. They are named REPETITION.STEP.INDEX, each counted from
/// 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct StepSpec {
    /// Number of tasks in the step.
    pub count: u32,
    /// Indices of earlier steps whose tasks must all be done first.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// Whether the tasks form a gang: they start together, and the success of one counts for all.
    #[serde(default)]
    pub gang: bool,
    /// Spec of each task; its name is ignored.
    pub task: TaskSpec,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TaskSpec {
    /// Name, unique within the job.
    #[serde(default)]
    pub name: String,
    /// Service whose workers can run it.
    pub service: String,
    /// Labels that a worker must have to run it.
    #[serde(default)]
    pub labels: Vec<String>,
    /// CPU that it needs, in the units of the workers.
    #[serde(rename = "room")]
    pub cpu: u32,
    /// Memory that it needs, in the units of the workers.
    #[serde(default)]
    pub memory: u32,
    /// Number of accelerators that it needs.
    #[serde(default)]
    pub accelerators: u32,
    /// Names of tasks that must be done first.
    #[serde(default)]
    pub depends_on: Vec<String>,
    /// Whether the task is safe to run more than once. If so, it may get speculative copies, and new attempts while the
    /// outcome of another one is unknown.
    #[serde(default)]
    pub may_repeat: bool,
    /// Earliest start, in milliseconds since 1970.
    #[serde(default)]
    pub due: u64,
    /// Name of its gang, whose tasks run together or not at all; empty for none.
    #[serde(default)]
    pub gang: String,
    /// A zone, rack or worker that is near the task's data; empty for none.
    #[serde(default)]
    pub near: String,
    /// Whether the members of its gang must be placed on one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// Maximum number of tasks of its step on one worker; 0 for no limit. In a job of single tasks, all of them
    /// count as one step.
    #[serde(default)]
    pub anti_affinity: u32,
    /// Whether the task runs until the job is cancelled. It is restarted whenever an attempt ends, even after a success.
    #[serde(default)]
    pub long_running: bool,
    /// Whether the task saves checkpoints and resumes from the newest one when it is restarted.
    #[serde(default)]
    pub checkpoints: bool,
    /// Estimated run time in milliseconds; 0 if unknown.
    #[serde(default)]
    pub estimate_ms: u32,
    /// Passed unchanged to the worker.
    #[serde(default, with = "crate::state::pack::json")]
    pub payload: serde_json::Value,
}

impl TaskSpec {
    /// The resources that the task needs.
    pub fn needs(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
}
