//! Accepted jobs: their tasks, each with its history of attempts of attempts.

use super::{AttemptState, JobSpec, JobState, StepSpec, TaskSpec, TaskState};
use serde::{Deserialize, Serialize};

/// One attempt of a task to a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Attempt {
    pub no: u64,
    /// Numbers the starts of the task from 1; the members of a gang share it.
    pub run: u32,
    pub worker: String,
    pub incarnation: u64,
    pub state: AttemptState,
    /// The worker is to stop it.
    pub stop: bool,
    /// A spare copy of a running one.
    pub copy: bool,
    pub ordered: u64,
    pub started: u64,
    pub ended: u64,
    pub ran_ms: u64,
    pub note: String,
    /// The checkpoint it goes on from.
    pub checkpoint: String,
}

/// A task with its history of attempts of attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Task {
    pub state: TaskState,
    #[serde(rename = "defects")]
    pub failures: u32,
    #[serde(rename = "sends")]
    pub attempts: Vec<Attempt>,
    /// Numbers of the single tasks it waits for.
    pub waits: Vec<u32>,
    /// The newest checkpoint known of it.
    pub checkpoint: String,
    /// Its step, the time it belongs to and its number there; all 0 in a job of single tasks.
    pub step: u32,
    pub time: u32,
    pub index: u32,
}

impl Task {
    /// Attempts that may be running.
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|s| s.state.live())
    }
}

/// An accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Job {
    pub spec: JobSpec,
    pub hash: u64,
    pub state: JobState,
    pub accepted: u64,
    pub ended: u64,
    pub cancel: bool,
    pub tasks: Vec<Task>,
    pub reason: String,
    /// Tasks done, by time and step.
    pub done: Vec<u32>,
}

impl Job {
    /// A job as it is accepted, from a spec that was checked.
    pub fn new(spec: JobSpec, waits: Vec<Vec<u32>>) -> Self {
        let times = spec.times.max(1);
        let single = waits.into_iter().map(|waits| Task {
            waits,
            ..Task::default()
        });
        let of_step = |time: u32| {
            spec.steps.iter().enumerate().flat_map(move |(step, s)| {
                (0..s.count).map(move |index| Task {
                    step: step as u32,
                    time,
                    index,
                    ..Task::default()
                })
            })
        };
        let tasks = single.chain((0..times).flat_map(of_step)).collect();
        let done = vec![0; spec.steps.len() * times as usize];
        Self {
            tasks,
            done,
            spec,
            ..Self::default()
        }
    }

    /// What was asked for a task.
    pub fn of(&self, i: usize) -> &TaskSpec {
        if self.spec.steps.is_empty() {
            &self.spec.tasks[i]
        } else {
            &self.spec.steps[self.tasks[i].step as usize].task
        }
    }

    /// A task's name within its job.
    pub fn name(&self, i: usize) -> String {
        if self.spec.steps.is_empty() {
            return self.spec.tasks[i].name.clone();
        }
        let t = &self.tasks[i];
        format!("{}.{}.{}", t.time, t.step, t.index)
    }

    /// The task with a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        if self.spec.steps.is_empty() {
            return self.spec.tasks.iter().position(|t| t.name == name);
        }
        let mut of = name.split('.').map(|p| p.parse::<u32>().ok());
        let (time, step, index) = (of.next()??, of.next()??, of.next()??);
        let s = self.spec.steps.get(step as usize)?;
        (time < self.spec.times.max(1) && index < s.count && of.next().is_none())
            .then(|| self.first(time, step) + index as usize)
    }

    /// The first task of a step at a time.
    fn first(&self, time: u32, step: u32) -> usize {
        let size = |s: &StepSpec| s.count as usize;
        let round: usize = self.spec.steps.iter().map(size).sum();
        let before: usize = self.spec.steps[..step as usize].iter().map(size).sum();
        time as usize * round + before
    }

    /// When a task is due.
    pub fn due(&self, i: usize) -> u64 {
        let late = u64::from(self.tasks[i].time).saturating_mul(self.spec.period_ms);
        self.of(i).due.max(self.spec.first_due.saturating_add(late))
    }

    /// Whether all that a task depends on is done.
    pub fn reached(&self, i: usize) -> bool {
        let t = &self.tasks[i];
        if self.spec.steps.is_empty() {
            return t
                .waits
                .iter()
                .all(|d| self.tasks[*d as usize].state == TaskState::Done);
        }
        self.spec.steps[t.step as usize]
            .depends_on
            .iter()
            .all(|d| self.done[self.group(t.time, *d)] == self.spec.steps[*d as usize].count)
    }

    fn group(&self, time: u32, step: u32) -> usize {
        time as usize * self.spec.steps.len() + step as usize
    }

    /// Sets a task's state and counts it for the steps behind.
    pub fn put(&mut self, i: usize, state: TaskState) {
        let before = std::mem::replace(&mut self.tasks[i].state, state);
        let (time, step) = (self.tasks[i].time, self.tasks[i].step);
        let group = self.group(time, step);
        if let Some(n) = self.done.get_mut(group) {
            *n += u32::from(state == TaskState::Done && before != TaskState::Done);
        }
    }

    /// Whether one good end of the gang counts for all of it.
    pub fn ends_as_one(&self, i: usize) -> bool {
        !self.spec.steps.is_empty() && self.in_gang(i)
    }

    /// Whether a task runs in a gang.
    pub fn in_gang(&self, i: usize) -> bool {
        if self.spec.steps.is_empty() {
            !self.spec.tasks[i].gang.is_empty()
        } else {
            self.spec.steps[self.tasks[i].step as usize].gang
        }
    }

    /// All members of a task's gang, itself among them; nobody where it runs alone.
    pub fn gang(&self, i: usize) -> Vec<usize> {
        if !self.in_gang(i) {
            return Vec::new();
        }
        if self.spec.steps.is_empty() {
            let name = &self.spec.tasks[i].gang;
            let all = self.spec.tasks.iter().enumerate();
            return all
                .filter(|(_, t)| &t.gang == name)
                .map(|(k, _)| k)
                .collect();
        }
        let t = &self.tasks[i];
        let first = self.first(t.time, t.step);
        (first..first + self.spec.steps[t.step as usize].count as usize).collect()
    }

    /// Whether a task speaks for its gang: the first member that is not done.
    pub fn leads_gang(&self, i: usize) -> bool {
        if !self.spec.steps.is_empty() {
            return self.in_gang(i) && self.tasks[i].index == 0;
        }
        let open = |k: &usize| self.tasks[*k].state != TaskState::Done;
        self.gang(i).into_iter().find(open) == Some(i)
    }

    /// Runs of a task's step that may be on a worker.
    pub fn beside(&self, i: usize, worker: &str) -> u32 {
        let step = self.tasks[i].step;
        let of = self.tasks.iter().filter(|t| t.step == step);
        of.flat_map(Task::live)
            .filter(|s| s.worker == worker)
            .count() as u32
    }
}
