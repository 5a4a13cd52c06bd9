//! What a day came to.

use crate::state::{AttemptState, ClusterState, Job, JobState};
use std::collections::BTreeMap;

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Summary {
    /// Jobs by how they ended.
    pub states: BTreeMap<String, JobState>,
    /// Milliseconds from acceptance to the end, of jobs that were done.
    pub took: BTreeMap<String, u64>,
    /// Workers on which tasks ended well.
    pub placed: BTreeMap<String, String>,
    pub kept: u64,
    pub missed: u64,
    pub copies: u64,
}

impl Summary {
    /// The story that a cluster state tells.
    pub fn of(r: &ClusterState) -> Self {
        let mut story = Self {
            kept: r.queues.values().map(|q| q.kept).sum(),
            missed: r.queues.values().map(|q| q.missed).sum(),
            copies: r.queues.values().map(|q| q.copies_ever).sum(),
            ..Self::default()
        };
        for (id, job) in &r.jobs {
            story.states.insert(id.clone(), job.state);
            if job.state == JobState::Done {
                let took = job.ended.saturating_sub(job.accepted);
                story.took.insert(id.clone(), took);
            }
            story.placed.extend(placed(id, job));
        }
        story
    }
}

/// The tasks of a job that ended well, each with its worker.
fn placed(id: &str, job: &Job) -> BTreeMap<String, String> {
    let mut placed = BTreeMap::new();
    for (i, task) in job.tasks.iter().enumerate() {
        let succeeded = task
            .attempts
            .iter()
            .find(|s| s.state == AttemptState::Succeeded);
        if let Some(attempt) = succeeded {
            placed.insert(format!("{id}/{}", job.name(i)), attempt.worker.clone());
        }
    }
    placed
}
