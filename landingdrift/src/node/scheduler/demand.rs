//! What a job wants of a slot now: its tasks that may start, or spare copies of those that are slow.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{AttemptState, Job, Task};
use std::cmp::Reverse;

/// What a job wants of a slot now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Wants {
    pub originals: u32,
    /// Spare copies; none while a task waits for its first run.
    pub copies: u32,
}

/// A task that runs, and for how long it has.
struct RunningTask {
    ran: u64,
    task: u32,
}

impl Node {
    pub(super) fn wants(&self, now: Now, id: &str, job: &Job) -> Wants {
        let originals = self.startable_tasks(now, id, job).len() as u32;
        if originals > 0 {
            return Wants {
                originals,
                copies: 0,
            };
        }
        let copies = self.slow(now, id, job).len() as u32;
        Wants {
            originals: 0,
            copies,
        }
    }

    /// Tasks of a job that may start now and whose start is not under way.
    pub(super) fn startable_tasks(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let agreed = self.agreed(now);
        let underway = self.underway_tasks(id);
        let may_start = |task: u32| self.state.may_start(id, task, false, agreed).is_ok();
        (0..job.tasks.len() as u32)
            .filter(|task| !underway.contains(task) && may_start(*task))
            .collect()
    }

    /// Running tasks that are worth a spare copy, the slowest first: what is left would take longer than a new run.
    pub(super) fn slow(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let Some(median) = self.state.median(&job.spec.queue) else {
            return Vec::new();
        };
        let slow_after = self.settings.hopper.slow_factor * median;
        let agreed = self.agreed(now);
        let underway = self.underway_tasks(id);
        let mut slow: Vec<RunningTask> = Vec::new();
        for (i, state) in job.tasks.iter().enumerate() {
            let task = i as u32;
            if !job.of(i).may_repeat || underway.contains(&task) {
                continue;
            }
            let Some(ran) = running_for(state, agreed) else {
                continue;
            };
            if ran as f64 > slow_after && self.state.may_start(id, task, true, agreed).is_ok() {
                slow.push(RunningTask { ran, task });
            }
        }
        slow.sort_by_key(|running| Reverse((running.ran, running.task)));
        slow.into_iter().map(|running| running.task).collect()
    }
}

/// How long a task has run, if it runs and is not told to stop.
fn running_for(task: &Task, agreed: u64) -> Option<u64> {
    let running = task
        .live()
        .find(|s| s.state == AttemptState::Running && !s.stop)?;
    Some(agreed.saturating_sub(running.started))
}
