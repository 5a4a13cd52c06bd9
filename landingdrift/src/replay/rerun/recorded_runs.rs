//! How the runs of each task went in the recording.

use crate::state::{Attempt, AttemptState, ClusterState, Job, Outcome};
use std::collections::BTreeMap;

/// Milliseconds that a run takes whose task never succeeded in the recording: nothing is known of it, so it is short.
const UNKNOWN_RUN_MS: u64 = 100;

/// How a run ended, and after how long.
#[derive(Clone, Copy)]
pub(super) struct RecordedRun {
    pub outcome: Outcome,
    pub ran_ms: u64,
}

/// A job and the index of one of its tasks.
type TaskKey = (String, u32);

/// The recorded runs of all tasks, and how many of each the rerun has used.
pub(super) struct RecordedRuns {
    runs: BTreeMap<TaskKey, Vec<RecordedRun>>,
    used: BTreeMap<TaskKey, usize>,
}

impl RecordedRuns {
    /// The runs in the cluster state at the end of a recording.
    pub fn of(end: &ClusterState) -> Self {
        let mut runs = BTreeMap::new();
        for (id, job) in &end.jobs {
            for task in 0..job.tasks.len() {
                runs.insert((id.clone(), task as u32), runs_of_task(job, task));
            }
        }
        Self {
            runs,
            used: BTreeMap::new(),
        }
    }

    /// The next run of a task: its n-th run goes as recorded, and beyond those like the last one that succeeded.
    pub fn next(&mut self, key: TaskKey) -> RecordedRun {
        let recorded = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
        let used = self.used.entry(key).or_default();
        let next = recorded.get(*used).copied();
        *used += 1;
        next.unwrap_or_else(|| like_last_success(recorded))
    }
}

fn like_last_success(recorded: &[RecordedRun]) -> RecordedRun {
    let mut latest_first = recorded.iter().rev();
    let success = latest_first.find(|run| run.outcome == Outcome::Succeeded);
    success.copied().unwrap_or(RecordedRun {
        outcome: Outcome::Succeeded,
        ran_ms: UNKNOWN_RUN_MS,
    })
}

fn runs_of_task(job: &Job, task: usize) -> Vec<RecordedRun> {
    let attempts = job.tasks[task].attempts.iter();
    attempts.filter_map(recorded_run).collect()
}

/// The run of an attempt, if its outcome is known.
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
