//! How the runs of each task went on the recorded day.

use crate::state::{Attempt, AttemptState, ClusterState, Job, Outcome};
use std::collections::BTreeMap;

/// Milliseconds that a run takes whose task never ended well on the recorded day: nothing is known of it, so it is short.
const UNKNOWN_RUN_MS: u64 = 100;

/// How a run ended, after how long.
#[derive(Clone, Copy)]
pub(super) struct RecordedRun {
    pub outcome: Outcome,
    pub ran_ms: u64,
}

/// A job and the number of one of its tasks.
type TaskKey = (String, u32);

/// The recorded runs of all tasks, and how many of each have been given out.
pub(super) struct RecordedRuns {
    runs: BTreeMap<TaskKey, Vec<RecordedRun>>,
    used: BTreeMap<TaskKey, usize>,
}

impl RecordedRuns {
    /// The runs that the cluster state at the end of a day tells of.
    pub fn of(end: &ClusterState) -> Self {
        let mut runs = BTreeMap::new();
        for (id, job) in &end.jobs {
            for i in 0..job.tasks.len() {
                runs.insert((id.clone(), i as u32), runs_of_task(job, i));
            }
        }
        Self {
            runs,
            used: BTreeMap::new(),
        }
    }

    /// The next run of a task: the same number of its runs as recorded; beyond them, like its last good one.
    pub fn next(&mut self, key: TaskKey) -> RecordedRun {
        let recorded = self.runs.get(&key).map_or(&[][..], Vec::as_slice);
        let used = self.used.entry(key).or_default();
        let next = recorded.get(*used).copied();
        *used += 1;
        next.unwrap_or_else(|| like_last_good(recorded))
    }
}

fn like_last_good(recorded: &[RecordedRun]) -> RecordedRun {
    let mut latest_first = recorded.iter().rev();
    let good = latest_first.find(|run| run.outcome == Outcome::Succeeded);
    good.copied().unwrap_or(RecordedRun {
        outcome: Outcome::Succeeded,
        ran_ms: UNKNOWN_RUN_MS,
    })
}

fn runs_of_task(job: &Job, i: usize) -> Vec<RecordedRun> {
    let attempts = job.tasks[i].attempts.iter();
    attempts.filter_map(recorded_run).collect()
}

/// The run of a attempt, if it is known how it went.
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
