//! The outcomes and durations of each task's runs in the recording.

use crate::state::{Attempt, AttemptState, ClusterState, Job, Outcome};
use std::collections::BTreeMap;

/// The assumed duration of a run that has no recorded counterpart and whose task never succeeded in the recording.
const DEFAULT_RUN_MS: u64 = 100;

/// The outcome and the duration of a run.
#[derive(Clone, Copy)]
pub(super) struct RecordedRun {
    pub outcome: Outcome,
    pub ran_ms: u64,
}

/// The ID of a job and the index of one of its tasks.
type TaskKey = (String, u32);

/// The recorded runs of all tasks, and the number of runs of each task in the rerun so far.
pub(super) struct RecordedRuns {
    runs: BTreeMap<TaskKey, Vec<RecordedRun>>,
    used_counts: BTreeMap<TaskKey, usize>,
}

impl RecordedRuns {
    /// Collects the runs from the cluster state at the end of a recording.
    pub fn from_state(end: &ClusterState) -> Self {
        let mut runs = BTreeMap::new();
        for (id, job) in &end.jobs {
            for task in 0..job.tasks.len() {
                runs.insert((id.clone(), task as u32), runs_of_task(job, task));
            }
        }
        Self {
            runs,
            used_counts: BTreeMap::new(),
        }
    }

    /// The next run of a task. The n-th run in the rerun is the n-th recorded one; further runs repeat the last
    /// successful one, or succeed after `DEFAULT_RUN_MS` if there is none.
    pub fn next(&mut self, key: TaskKey) -> RecordedRun {
        let recorded = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
        let used_count = self.used_counts.entry(key).or_default();
        let next = recorded.get(*used_count).copied();
        *used_count += 1;
        next.unwrap_or_else(|| last_success(recorded))
    }
}

fn last_success(recorded: &[RecordedRun]) -> RecordedRun {
    let mut latest_first = recorded.iter().rev();
    let success = latest_first.find(|run| run.outcome == Outcome::Succeeded);
    success.copied().unwrap_or(RecordedRun {
        outcome: Outcome::Succeeded,
        ran_ms: DEFAULT_RUN_MS,
    })
}

fn runs_of_task(job: &Job, task: usize) -> Vec<RecordedRun> {
    let attempts = job.tasks[task].attempts.iter();
    attempts.filter_map(recorded_run).collect()
}

/// The run of an attempt that succeeded or failed; `None` for all other attempts.
fn recorded_run(attempt: &Attempt) -> Option<RecordedRun> {
    match attempt.state {
        AttemptState::Succeeded => Some(RecordedRun {
            outcome: Outcome::Succeeded,
            ran_ms: attempt.ran_ms,
        }),
        AttemptState::Failed => Some(RecordedRun {
            outcome: Outcome::Failed,
            ran_ms: attempt
                .ran_ms
                .max(attempt.ended.saturating_sub(attempt.ordered)),
        }),
        _ => None,
    }
}
