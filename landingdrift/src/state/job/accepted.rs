//! Accepted jobs: their tasks, each with the history of its attempts.

use super::{AttemptState, JobSpec, JobState, StepSpec, TaskSpec, TaskState};
use serde::{Deserialize, Serialize};

/// Maximum number of ended attempts kept per task. Long-running tasks would otherwise accumulate them without limit.
const MAX_ENDED_ATTEMPTS: usize = 64;

/// One attempt to run a task on a worker. Times are milliseconds since 1970 by the cluster clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Attempt {
    /// Number of the attempt, unique across all jobs.
    pub no: u64,
    /// Number of this run of the task, from 1; the members of a gang share it.
    pub run: u32,
    /// Name of the worker that it was placed on.
    pub worker: String,
    /// Incarnation of that worker.
    pub incarnation: u64,
    /// Whether it may be running, or how it ended.
    pub state: AttemptState,
    /// Whether an entry has marked it to be stopped by its worker. The worker may be asked to stop an unsure attempt
    /// even without the mark.
    pub stop: bool,
    /// Whether it is a speculative copy of a running attempt.
    pub copy: bool,
    /// When it was placed.
    pub ordered: u64,
    /// When it was first reported as running; 0 before that.
    pub started: u64,
    /// When it ended, or since when its outcome is unknown; 0 before that.
    pub ended: u64,
    /// Run time reported by the worker, in milliseconds.
    pub ran_ms: u64,
    /// Text about its end, usually from the worker.
    pub note: String,
    /// Checkpoint that it resumes from; empty for none.
    pub checkpoint: String,
}

/// A task with the history of its attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Task {
    /// Whether it is done, has failed or was cancelled; `Waiting` also while an attempt is running.
    pub state: TaskState,
    /// Number of failed attempts, including those no longer kept in `attempts`.
    #[serde(rename = "defects")]
    pub failures: u32,
    /// All attempts that may be running and the most recent ended ones, the latest last.
    #[serde(rename = "sends")]
    pub attempts: Vec<Attempt>,
    /// Indices of the single tasks it depends on; empty in a job of steps.
    #[serde(rename = "waits")]
    pub dependencies: Vec<u32>,
    /// Newest known checkpoint; empty for none.
    pub checkpoint: String,
    /// Index of its step; 0 in a job of single tasks, as are `repetition` and `index`.
    pub step: u32,
    /// Index of the repetition that it belongs to, from 0.
    #[serde(rename = "time")]
    pub repetition: u32,
    /// Index within the step.
    pub index: u32,
}

impl Task {
    /// The attempts that may be running.
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state.live())
    }

    /// Adds an attempt, and drops the oldest ended one if there are too many. The last attempt that began is kept,
    /// because [`Job::has_begun`] relies on it.
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
    /// The job as the client submitted it.
    pub spec: JobSpec,
    /// Hash of the request body, to detect a different submission with the same id.
    pub hash: u64,
    /// State of the job, derived from its tasks.
    pub state: JobState,
    /// When it was accepted.
    pub accepted: u64,
    /// When it ended; 0 before that.
    pub ended: u64,
    /// Whether it was cancelled.
    pub cancel: bool,
    /// The single tasks, or the tasks of all steps, ordered by repetition, step and index.
    pub tasks: Vec<Task>,
    /// Why it failed or was cancelled.
    pub reason: String,
    /// Number of tasks done for each step of each repetition, ordered by repetition and then step; empty in a job of
    /// single tasks.
    pub done: Vec<u32>,
}

impl Attempt {
    /// Whether the worker is known to have begun running it.
    fn has_begun(&self) -> bool {
        let by_state = matches!(
            self.state,
            AttemptState::Running | AttemptState::Succeeded | AttemptState::Failed
        );
        by_state || self.started > 0 || self.ran_ms > 0
    }
}

impl Job {
    /// Whether a worker is known to have begun running any of its tasks.
    pub fn has_begun(&self) -> bool {
        let mut attempts = self.tasks.iter().flat_map(|task| &task.attempts);
        attempts.any(Attempt::has_begun)
    }

    /// Creates a job from a checked spec; `dependencies` are those of each single task, from
    /// [`JobSpec::check`].
    pub fn new(spec: JobSpec, dependencies: Vec<Vec<u32>>) -> Self {
        let times = spec.times.max(1);
        let mut tasks = Vec::new();
        for dependencies in dependencies {
            tasks.push(Task {
                dependencies,
                ..Task::default()
            });
        }
        for repetition in 0..times {
            for (step, step_spec) in spec.steps.iter().enumerate() {
                tasks.extend((0..step_spec.count).map(|index| Task {
                    step: step as u32,
                    repetition,
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

    /// The spec of the task at an index; in a job of steps, the one that its step gives to all of its tasks.
    pub fn task_spec(&self, task: usize) -> &TaskSpec {
        if self.has_steps() {
            &self.step_of(task).task
        } else {
            &self.spec.tasks[task]
        }
    }

    /// The step that a task belongs to. The job must have steps.
    fn step_of(&self, task: usize) -> &StepSpec {
        &self.spec.steps[self.tasks[task].step as usize]
    }

    /// Name of a task within its job: the submitted name, or REPETITION.STEP.INDEX for tasks of steps.
    pub fn task_name(&self, task: usize) -> String {
        if !self.has_steps() {
            return self.spec.tasks[task].name.clone();
        }
        let Task {
            repetition,
            step,
            index,
            ..
        } = &self.tasks[task];
        format!("{repetition}.{step}.{index}")
    }

    /// Index of the task with the given name.
    pub fn find_task(&self, name: &str) -> Option<usize> {
        if !self.has_steps() {
            let mut tasks = self.spec.tasks.iter();
            return tasks.position(|task| task.name == name);
        }
        let mut parts = name.split('.').map(|part| part.parse::<u32>().ok());
        let repetition = parts.next()??;
        let step = parts.next()??;
        let index = parts.next()??;
        let step_spec = self.spec.steps.get(step as usize)?;
        let exists = repetition < self.spec.times.max(1) && index < step_spec.count;
        let has_three_parts = parts.next().is_none();
        (exists && has_three_parts).then(|| self.first_task_of(repetition, step) + index as usize)
    }

    /// Index of the first task of a step in a repetition.
    fn first_task_of(&self, repetition: u32, step: u32) -> usize {
        let count = |steps: &[StepSpec]| steps.iter().map(|s| s.count as usize).sum::<usize>();
        let tasks_per_repetition = count(&self.spec.steps);
        let before = count(&self.spec.steps[..step as usize]);
        repetition as usize * tasks_per_repetition + before
    }

    /// When a task is due, in milliseconds since 1970.
    pub fn task_due(&self, task: usize) -> u64 {
        let repetition = u64::from(self.tasks[task].repetition);
        let after_first = repetition.saturating_mul(self.spec.period_ms);
        let job_due = self.spec.first_due.saturating_add(after_first);
        self.task_spec(task).due.max(job_due)
    }

    /// Whether all dependencies of a task are done.
    pub fn are_dependencies_done(&self, task_no: usize) -> bool {
        let task = &self.tasks[task_no];
        if !self.has_steps() {
            let is_done = |other: &u32| self.tasks[*other as usize].state == TaskState::Done;
            return task.dependencies.iter().all(is_done);
        }
        let is_step_done = |step: &u32| {
            let done = self.done[self.done_index(task.repetition, *step)];
            done == self.spec.steps[*step as usize].count
        };
        self.step_of(task_no).depends_on.iter().all(is_step_done)
    }

    /// Index into [`Job::done`] for a step in a repetition.
    fn done_index(&self, repetition: u32, step: u32) -> usize {
        repetition as usize * self.spec.steps.len() + step as usize
    }

    /// Sets the state of a task, and updates the number of tasks done in its step.
    pub fn set_task_state(&mut self, task_no: usize, state: TaskState) {
        let task = &mut self.tasks[task_no];
        let before = std::mem::replace(&mut task.state, state);
        let (repetition, step) = (task.repetition, task.step);
        let done_index = self.done_index(repetition, step);
        let becomes_done = state == TaskState::Done && before != TaskState::Done;
        if let Some(done) = self.done.get_mut(done_index) {
            *done += u32::from(becomes_done);
        }
    }

    /// Whether the success of one member of the task's gang counts for all members.
    pub fn gang_succeeds_together(&self, task: usize) -> bool {
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

    /// Indices of all members of a task's gang, including the task; empty if it is in no gang.
    pub fn gang_members(&self, task_no: usize) -> Vec<usize> {
        if !self.in_gang(task_no) {
            return Vec::new();
        }
        if !self.has_steps() {
            let name = &self.spec.tasks[task_no].gang;
            let all = 0..self.spec.tasks.len();
            return all.filter(|i| self.spec.tasks[*i].gang == *name).collect();
        }
        let task = &self.tasks[task_no];
        let first = self.first_task_of(task.repetition, task.step);
        let count = self.step_of(task_no).count as usize;
        (first..first + count).collect()
    }

    /// Whether the task's gang is scheduled through this task: the first member, or in a job of single tasks the first
    /// member that is not done.
    pub fn leads_gang(&self, task: usize) -> bool {
        if self.has_steps() {
            return self.in_gang(task) && self.tasks[task].index == 0;
        }
        let is_unfinished = |member: &usize| self.tasks[*member].state != TaskState::Done;
        self.gang_members(task).into_iter().find(is_unfinished) == Some(task)
    }

    /// Number of live attempts on a worker that belong to the task's step, over all repetitions; in a job of single
    /// tasks, those of all its tasks.
    pub fn step_attempts_on(&self, task: usize, worker: &str) -> u32 {
        let step = self.tasks[task].step;
        let of_step = self.tasks.iter().filter(|task| task.step == step);
        let live = of_step.flat_map(Task::live);
        live.filter(|attempt| attempt.worker == worker).count() as u32
    }
}
