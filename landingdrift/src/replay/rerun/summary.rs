//! The summary of a recording or a rerun, for comparing the two.

use crate::state::{AttemptState, ClusterState, Job, JobState};
use std::collections::BTreeMap;

/// The results of a recording or a rerun.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Summary {
    /// The final state of each job, by job ID.
    pub states: BTreeMap<String, JobState>,
    /// The time from acceptance to the end of each job that succeeded, in milliseconds.
    #[serde(rename = "took")]
    pub turnaround_ms: BTreeMap<String, u64>,
    /// The worker on which each task succeeded, by `JOB/TASK`.
    #[serde(rename = "placed")]
    pub workers_by_task: BTreeMap<String, String>,
    /// The number of jobs that succeeded within the deadline of their queue, or at any time if the queue has none.
    pub kept: u64,
    /// The number of jobs that ended without success, except for cancelled ones, or succeeded after the deadline of
    /// their queue.
    pub missed: u64,
    /// The number of speculative copies that were started.
    pub copies: u64,
}

impl Summary {
    /// Summarizes the final state of a cluster.
    pub fn from_state(state: &ClusterState) -> Self {
        let mut summary = Self {
            kept: state.queues.values().map(|queue| queue.kept).sum(),
            missed: state.queues.values().map(|queue| queue.missed).sum(),
            copies: state
                .queues
                .values()
                .map(|queue| queue.copies_started)
                .sum(),
            ..Self::default()
        };
        for (id, job) in &state.jobs {
            summary.states.insert(id.clone(), job.state);
            if job.state == JobState::Done {
                let turnaround_ms = job.ended.saturating_sub(job.accepted);
                summary.turnaround_ms.insert(id.clone(), turnaround_ms);
            }
            summary.workers_by_task.extend(workers_by_task(id, job));
        }
        summary
    }
}

/// The tasks of a job that succeeded, each with its worker.
fn workers_by_task(id: &str, job: &Job) -> BTreeMap<String, String> {
    let mut workers = BTreeMap::new();
    for (i, task) in job.tasks.iter().enumerate() {
        let succeeded = task
            .attempts
            .iter()
            .find(|attempt| attempt.state == AttemptState::Succeeded);
        if let Some(attempt) = succeeded {
            workers.insert(format!("{id}/{}", job.task_name(i)), attempt.worker.clone());
        }
    }
    workers
}
