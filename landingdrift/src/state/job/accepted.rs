//! Accepted jobs: their tasks, each with the history of its attempts.

use super::{AttemptState, JobSpec, JobState, StepSpec, TaskSpec, TaskState};
use serde::{Deserialize, Serialize};

/// A task keeps at most so many attempts that have ended: a long-running one is started again as long as its job lives.
const MAX_ENDED_ATTEMPTS: usize = 64;

/// One attempt to run a task on a worker. Times are milliseconds since 1970 by the cluster clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Attempt {
    /// Its number, different for all attempts of all jobs.
    pub no: u64,
    /// Numbers the starts of the task from 1; the members of a gang share it.
    pub run: u32,
    /// The worker.
    pub worker: String,
    /// The incarnation of the worker that it was placed on.
    pub incarnation: u64,
    /// What has become of it.
    pub state: AttemptState,
    /// The worker is to stop it.
    pub stop: bool,
    /// A speculative copy of a running one.
    pub copy: bool,
    /// When it was placed.
    pub ordered: u64,
    /// When it was reported as running; 0 before.
    pub started: u64,
    /// When it ended, or since when its outcome is unknown; 0 before.
    pub ended: u64,
    /// How long it ran by its worker, in milliseconds.
    pub ran_ms: u64,
    /// What the worker said of its end.
    pub note: String,
    /// The checkpoint it goes on from; empty for none.
    pub checkpoint: String,
}

/// A task with the history of its attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Task {
    /// What has become of it.
    pub state: TaskState,
    /// Attempts that failed.
    #[serde(rename = "defects")]
    pub failures: u32,
    /// The attempts, the latest last: those that may be running, and the latest of the others.
    #[serde(rename = "sends")]
    pub attempts: Vec<Attempt>,
    /// Numbers of the single tasks it waits for.
    pub waits: Vec<u32>,
    /// The newest checkpoint known of it; empty for none.
    pub checkpoint: String,
    /// The number of its step; 0 in a job of single tasks, as the next two.
    pub step: u32,
    /// Which of the recurring times of the job it belongs to.
    pub time: u32,
    /// Its number in the step.
    pub index: u32,
}

impl Task {
    /// Attempts that may be running.
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state.live())
    }

    /// Adds an attempt, and drops the oldest ended one if too many are kept. The last one that has begun stays: it shows that
    /// the task has.
    pub(in crate::state) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        if self.attempts.len() - self.live().count() <= MAX_ENDED_ATTEMPTS {
            return;
        }
        let last_begun = self.attempts.iter().rposition(Attempt::has_begun);
        let mut numbered = self.attempts.iter().enumerate();
        let oldest =
            numbered.position(|(i, attempt)| !attempt.state.live() && Some(i) != last_begun);
        if let Some(oldest) = oldest {
            self.attempts.remove(oldest);
        }
    }
}

/// An accepted job. Times are milliseconds since 1970 by the cluster clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Job {
    /// What the client submitted.
    pub spec: JobSpec,
    /// A hash of what the client sent.
    pub hash: u64,
    /// What has become of it, derived from its tasks.
    pub state: JobState,
    /// When it was accepted.
    pub accepted: u64,
    /// When it ended; 0 before.
    pub ended: u64,
    /// It was cancelled.
    pub cancel: bool,
    /// Its tasks: the single ones, or those of all steps, time by time.
    pub tasks: Vec<Task>,
    /// Why it failed or was cancelled.
    pub reason: String,
    /// Tasks done, by time and step.
    pub done: Vec<u32>,
}

impl Attempt {
    /// Whether the worker has begun with it, as far as is known.
    fn has_begun(&self) -> bool {
        let by_state = matches!(
            self.state,
            AttemptState::Running | AttemptState::Succeeded | AttemptState::Failed
        );
        by_state || self.started > 0 || self.ran_ms > 0
    }
}

impl Job {
    /// Whether a worker has begun with one of its tasks.
    pub fn has_begun(&self) -> bool {
        let mut attempts = self.tasks.iter().flat_map(|task| &task.attempts);
        attempts.any(Attempt::has_begun)
    }

    /// A job as it is accepted, from a spec that was checked; `waits` are the dependencies of its single tasks.
    pub fn new(spec: JobSpec, waits: Vec<Vec<u32>>) -> Self {
        let times = spec.times.max(1);
        let mut tasks = Vec::new();
        for waits in waits {
            tasks.push(Task {
                waits,
                ..Task::default()
            });
        }
        for time in 0..times {
            for (step, step_spec) in spec.steps.iter().enumerate() {
                tasks.extend((0..step_spec.count).map(|index| Task {
                    step: step as u32,
                    time,
                    index,
                    ..Task::default()
                }));
            }
        }
        let done = vec![0; spec.steps.len() * times as usize];
        Self {
            tasks,
            done,
            spec,
            ..Self::default()
        }
    }

    fn has_steps(&self) -> bool {
        !self.spec.steps.is_empty()
    }

    /// What was asked for a task.
    pub fn task_spec(&self, task: usize) -> &TaskSpec {
        if self.has_steps() {
            &self.step_of(task).task
        } else {
            &self.spec.tasks[task]
        }
    }

    /// The step that a task belongs to, in a job of steps.
    fn step_of(&self, task: usize) -> &StepSpec {
        &self.spec.steps[self.tasks[task].step as usize]
    }

    /// A task's name within its job: its own, or TIME.STEP.INDEX.
    pub fn name(&self, task: usize) -> String {
        if !self.has_steps() {
            return self.spec.tasks[task].name.clone();
        }
        let Task {
            time, step, index, ..
        } = &self.tasks[task];
        format!("{time}.{step}.{index}")
    }

    /// The number of the task with a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        if !self.has_steps() {
            let mut tasks = self.spec.tasks.iter();
            return tasks.position(|task| task.name == name);
        }
        let mut parts = name.split('.').map(|part| part.parse::<u32>().ok());
        let time = parts.next()??;
        let step = parts.next()??;
        let index = parts.next()??;
        let step_spec = self.spec.steps.get(step as usize)?;
        let exists = time < self.spec.times.max(1) && index < step_spec.count;
        let is_whole = parts.next().is_none();
        (exists && is_whole).then(|| self.first_task_of(time, step) + index as usize)
    }

    /// The number of the first task of a step at a time.
    fn first_task_of(&self, time: u32, step: u32) -> usize {
        let count = |steps: &[StepSpec]| steps.iter().map(|s| s.count as usize).sum::<usize>();
        let tasks_per_time = count(&self.spec.steps);
        let before = count(&self.spec.steps[..step as usize]);
        time as usize * tasks_per_time + before
    }

    /// When a task is due.
    pub fn due(&self, task: usize) -> u64 {
        let time = u64::from(self.tasks[task].time);
        let after_first = time.saturating_mul(self.spec.period_ms);
        let job_due = self.spec.first_due.saturating_add(after_first);
        self.task_spec(task).due.max(job_due)
    }

    /// Whether all that a task depends on is done.
    pub fn are_dependencies_done(&self, task_no: usize) -> bool {
        let task = &self.tasks[task_no];
        if !self.has_steps() {
            let is_done = |other: &u32| self.tasks[*other as usize].state == TaskState::Done;
            return task.waits.iter().all(is_done);
        }
        let is_step_done = |step: &u32| {
            let done = self.done[self.done_index(task.time, *step)];
            done == self.spec.steps[*step as usize].count
        };
        self.step_of(task_no).depends_on.iter().all(is_step_done)
    }

    /// The position of a step at a time in [`Job::done`].
    fn done_index(&self, time: u32, step: u32) -> usize {
        time as usize * self.spec.steps.len() + step as usize
    }

    /// Sets a task's state, and counts it for the steps that depend on it.
    pub fn set_task_state(&mut self, task_no: usize, state: TaskState) {
        let task = &mut self.tasks[task_no];
        let before = std::mem::replace(&mut task.state, state);
        let (time, step) = (task.time, task.step);
        let group = self.done_index(time, step);
        let becomes_done = state == TaskState::Done && before != TaskState::Done;
        if let Some(done) = self.done.get_mut(group) {
            *done += u32::from(becomes_done);
        }
    }

    /// Whether one success of a gang counts for all of it.
    pub fn ends_as_one(&self, task: usize) -> bool {
        self.has_steps() && self.in_gang(task)
    }

    /// Whether a task runs in a gang.
    pub fn in_gang(&self, task: usize) -> bool {
        if self.has_steps() {
            self.step_of(task).gang
        } else {
            !self.spec.tasks[task].gang.is_empty()
        }
    }

    /// All members of a task's gang, itself among them; nobody where it runs alone.
    pub fn gang(&self, task_no: usize) -> Vec<usize> {
        if !self.in_gang(task_no) {
            return Vec::new();
        }
        if !self.has_steps() {
            let name = &self.spec.tasks[task_no].gang;
            let all = 0..self.spec.tasks.len();
            return all.filter(|i| self.spec.tasks[*i].gang == *name).collect();
        }
        let task = &self.tasks[task_no];
        let first = self.first_task_of(task.time, task.step);
        let count = self.step_of(task_no).count as usize;
        (first..first + count).collect()
    }

    /// Whether a task speaks for its gang: the first member, in a job of single tasks the first that is not done.
    pub fn leads_gang(&self, task: usize) -> bool {
        if self.has_steps() {
            return self.in_gang(task) && self.tasks[task].index == 0;
        }
        let is_open = |member: &usize| self.tasks[*member].state != TaskState::Done;
        self.gang(task).into_iter().find(is_open) == Some(task)
    }

    /// Attempts of a task's step that may be running on a worker.
    pub fn step_attempts_on(&self, task: usize, worker: &str) -> u32 {
        let step = self.tasks[task].step;
        let of_step = self.tasks.iter().filter(|task| task.step == step);
        let live = of_step.flat_map(Task::live);
        live.filter(|attempt| attempt.worker == worker).count() as u32
    }
}
