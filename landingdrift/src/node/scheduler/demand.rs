//! A job's demand for slots: its startable tasks, or else speculative copies of its slow tasks.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{AttemptState, Job, Task};
use std::cmp::Reverse;

/// The number of slots that a job could use now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Demand {
    pub originals: u32,
    /// Speculative copies; 0 while there are startable tasks.
    pub copies: u32,
}

/// A running task that is a candidate for a speculative copy.
struct RunningTask {
    ran_ms: u64,
    task: u32,
}

impl Node {
    /// The number of slots that a job could use now.
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

    /// Tasks of a job that may start now and have no pending start.
    pub(super) fn startable_tasks(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let cluster_time = self.cluster_time(now);
        let pending = self.pending_tasks(id);
        let may_start = |task: u32| {
            self.state
                .check_start(id, task, false, cluster_time)
                .is_ok()
        };
        (0..job.tasks.len() as u32)
            .filter(|task| !pending.contains(task) && may_start(*task))
            .collect()
    }

    /// Running tasks that should get a speculative copy, longest running first: they have run for more than
    /// `slow_factor` times the queue's median, so that a new run would probably end earlier.
    pub(super) fn slow_tasks(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let Some(median) = self.state.median(&job.spec.queue) else {
            return Vec::new();
        };
        let slow_after_ms = self.settings.hopper.slow_factor * median;
        let cluster_time = self.cluster_time(now);
        let pending = self.pending_tasks(id);
        let mut slow: Vec<RunningTask> = Vec::new();
        for (i, state) in job.tasks.iter().enumerate() {
            let task = i as u32;
            if !job.task_spec(i).may_repeat || pending.contains(&task) {
                continue;
            }
            let Some(ran_ms) = running_ms(state, cluster_time) else {
                continue;
            };
            if ran_ms as f64 > slow_after_ms
                && self.state.check_start(id, task, true, cluster_time).is_ok()
            {
                slow.push(RunningTask { ran_ms, task });
            }
        }
        slow.sort_by_key(|running| Reverse((running.ran_ms, running.task)));
        slow.into_iter().map(|running| running.task).collect()
    }
}

/// Time in milliseconds for which a task has been running; none if it is not running or is being stopped.
fn running_ms(task: &Task, cluster_time: u64) -> Option<u64> {
    let running = task
        .live()
        .find(|attempt| attempt.state == AttemptState::Running && !attempt.stop)?;
    Some(cluster_time.saturating_sub(running.started))
}
