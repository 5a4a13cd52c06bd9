//! The summary of a recording or a rerun.

use crate::state::{AttemptState, ClusterState, Job, JobState};
use std::collections::BTreeMap;

/// What a recording or a rerun came to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Summary {
    /// The final states of the jobs.
    pub states: BTreeMap<String, JobState>,
    /// Milliseconds from acceptance to the end, of jobs that succeeded.
    pub took: BTreeMap<String, u64>,
    /// The workers on which tasks succeeded.
    pub placed: BTreeMap<String, String>,
    /// Jobs that kept the promise of their queue.
    pub kept: u64,
    /// Jobs that missed it.
    pub missed: u64,
    /// Speculative copies.
    pub copies: u64,
}

impl Summary {
    /// The summary of a cluster state.
    pub fn of(state: &ClusterState) -> Self {
        let mut summary = Self {
            kept: state.queues.values().map(|queue| queue.kept).sum(),
            missed: state.queues.values().map(|queue| queue.missed).sum(),
            copies: state.queues.values().map(|queue| queue.copies_ever).sum(),
            ..Self::default()
        };
        for (id, job) in &state.jobs {
            summary.states.insert(id.clone(), job.state);
            if job.state == JobState::Done {
                let took = job.ended.saturating_sub(job.accepted);
                summary.took.insert(id.clone(), took);
            }
            summary.placed.extend(placed(id, job));
        }
        summary
    }
}

/// The tasks of a job that succeeded, each with its worker.
fn placed(id: &str, job: &Job) -> BTreeMap<String, String> {
    let mut placed = BTreeMap::new();
    for (i, task) in job.tasks.iter().enumerate() {
        let succeeded = task
            .attempts
            .iter()
            .find(|attempt| attempt.state == AttemptState::Succeeded);
        if let Some(attempt) = succeeded {
            placed.insert(format!("{id}/{}", job.name(i)), attempt.worker.clone());
        }
    }
    placed
}
