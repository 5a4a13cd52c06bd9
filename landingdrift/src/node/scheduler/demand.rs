//! The demand of a job: its tasks that may start, or speculative copies of those that are slow.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{AttemptState, Job, Task};
use std::cmp::Reverse;

/// How many slots a job could use now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Demand {
    pub originals: u32,
    /// Speculative copies; none while a task waits for its first run.
    pub copies: u32,
}

/// A running task.
struct RunningTask {
    ran_ms: u64,
    task: u32,
}

impl Node {
    /// How many slots a job could use now.
    pub(super) fn demand(&self, now: Now, id: &str, job: &Job) -> Demand {
        let originals = self.startable_tasks(now, id, job).len() as u32;
        if originals > 0 {
            return Demand {
                originals,
                copies: 0,
            };
        }
        let copies = self.slow_tasks(now, id, job).len() as u32;
        Demand {
            originals: 0,
            copies,
        }
    }

    /// Tasks of a job that may start now and whose start was not proposed yet.
    pub(super) fn startable_tasks(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let cluster_time = self.cluster_time(now);
        let underway = self.starting_tasks(id);
        let may_start = |task: u32| self.state.may_start(id, task, false, cluster_time).is_ok();
        (0..job.tasks.len() as u32)
            .filter(|task| !underway.contains(task) && may_start(*task))
            .collect()
    }

    /// Running tasks that are worth a speculative copy, the slowest first: they have run for so long that a new run
    /// would probably end before them.
    pub(super) fn slow_tasks(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let Some(median) = self.state.median(&job.spec.queue) else {
            return Vec::new();
        };
        let slow_after_ms = self.settings.hopper.slow_factor * median;
        let cluster_time = self.cluster_time(now);
        let underway = self.starting_tasks(id);
        let mut slow: Vec<RunningTask> = Vec::new();
        for (i, state) in job.tasks.iter().enumerate() {
            let task = i as u32;
            if !job.task_spec(i).may_repeat || underway.contains(&task) {
                continue;
            }
            let Some(ran_ms) = running_for(state, cluster_time) else {
                continue;
            };
            if ran_ms as f64 > slow_after_ms
                && self.state.may_start(id, task, true, cluster_time).is_ok()
            {
                slow.push(RunningTask { ran_ms, task });
            }
        }
        slow.sort_by_key(|running| Reverse((running.ran_ms, running.task)));
        slow.into_iter().map(|running| running.task).collect()
    }
}

/// How long a task has run, if it runs and is not being stopped.
fn running_for(task: &Task, cluster_time: u64) -> Option<u64> {
    let running = task
        .live()
        .find(|attempt| attempt.state == AttemptState::Running && !attempt.stop)?;
    Some(cluster_time.saturating_sub(running.started))
}
