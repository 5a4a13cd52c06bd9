//! Upper bounds, valid on 64-bit machines, on the memory that jobs take in one copy of the cluster state.

use super::pack::json_bytes;
use super::{Attempt, ClusterState, Job, JobSpec, StepSpec, Task, TaskSpec};
use std::mem::size_of;

/// Allowance for the strings of an attempt or a job, such as a worker's name or a checkpoint, including allocation
/// overhead, in bytes.
const TEXT_BYTES: u64 = 96;

/// Memory of an attempt, in bytes.
const ATTEMPT_BYTES: u64 = size_of::<Attempt>() as u64 + TEXT_BYTES;

/// Memory of a task and its first attempt, in bytes. Every task is expected to get at least one attempt.
const TASK_BYTES: u64 = size_of::<Task>() as u64 + ATTEMPT_BYTES;

/// Memory of strings, including their headers, in bytes.
fn strings_memory<'a>(texts: impl IntoIterator<Item = &'a String>) -> u64 {
    texts
        .into_iter()
        .map(|text| (size_of::<String>() + text.len()) as u64)
        .sum()
}

impl TaskSpec {
    fn memory_bytes(&self) -> u64 {
        let payload = match &self.payload {
            serde_json::Value::Null => 0,
            payload => json_bytes(payload),
        };
        let names = [&self.name, &self.service, &self.gang, &self.near];
        size_of::<Self>() as u64
            + strings_memory(names)
            + strings_memory(&self.labels)
            + strings_memory(&self.depends_on)
            + payload
    }
}

impl StepSpec {
    fn memory_bytes(&self) -> u64 {
        let dependencies = (self.depends_on.len() * size_of::<u32>()) as u64;
        size_of::<Self>() as u64 + dependencies + self.task.memory_bytes()
    }
}

impl JobSpec {
    /// Number of tasks of the job over all repetitions.
    pub fn task_count(&self) -> u64 {
        let tasks_per_repetition: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let step_tasks = tasks_per_repetition.saturating_mul(u64::from(self.times.max(1)));
        step_tasks.saturating_add(self.tasks.len() as u64)
    }

    /// Memory of the spec, in bytes.
    fn spec_bytes(&self) -> u64 {
        let tasks: u64 = self.tasks.iter().map(TaskSpec::memory_bytes).sum();
        let steps: u64 = self.steps.iter().map(StepSpec::memory_bytes).sum();
        strings_memory([&self.id, &self.queue, &self.payload]) + tasks + steps
    }

    /// Memory that the job takes once it is accepted, with one attempt per task, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let tasks = self.task_count().saturating_mul(TASK_BYTES);
        (size_of::<Job>() as u64 + TEXT_BYTES)
            .saturating_add(self.spec_bytes())
            .saturating_add(tasks)
    }
}

impl Job {
    /// Memory that the job takes, counting at least one attempt per task, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let extra_attempts = |task: &Task| task.attempts.len().saturating_sub(1) as u64;
        let extra_attempts: u64 = self.tasks.iter().map(extra_attempts).sum();
        self.spec.memory_bytes() + extra_attempts * ATTEMPT_BYTES
    }
}

impl ClusterState {
    /// Memory that all unfinished and retained jobs take, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.jobs.values().map(Job::memory_bytes).sum()
    }
}
