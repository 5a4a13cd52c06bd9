use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Room of a worker, or what a task needs of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    pub cpu: u32,
    pub memory: u32,
    pub accelerators: u32,
}

impl Room {
    /// Whether `other` fits into it.
    pub fn holds(self, other: Self) -> bool {
        other.cpu <= self.cpu
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }
    /// What is left of it without `other`.
    pub fn less(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
    /// The smaller of each.
    pub fn least(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

/// A job as a client hands it in: single tasks, or steps of alike ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct JobSpec {
    /// Made by the client; retries carry the same one.
    pub id: String,
    pub queue: String,
    #[serde(default)]
    pub tasks: Vec<TaskSpec>,
    /// Steps of alike tasks, kept once and not task by task.
    #[serde(default)]
    pub steps: Vec<StepSpec>,
    /// Handed to the workers of all steps as it is.
    #[serde(default)]
    pub payload: String,
    /// The steps run so many times (0 and 1: once), each time with a due time of its own.
    #[serde(default)]
    pub times: u32,
    /// When the first time is due, in milliseconds since 1970, and the period after it.
    #[serde(default)]
    pub first_due: u64,
    #[serde(default)]
    pub period_ms: u64,
}

/// A step: so many tasks that are alike. Its tasks are called TIME.STEP.INDEX, counted from 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct StepSpec {
    pub count: u32,
    /// Numbers of earlier steps whose tasks must all be done before.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// The tasks run as one group: they start together, and one good end counts for all.
    #[serde(default)]
    pub gang: bool,
    pub task: TaskSpec,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TaskSpec {
    #[serde(default)]
    pub name: String,
    pub service: String,
    #[serde(default)]
    pub labels: Vec<String>,
    /// Processor room.
    pub room: u32,
    #[serde(default)]
    pub memory: u32,
    #[serde(default)]
    pub accelerators: u32,
    #[serde(default)]
    pub depends_on: Vec<String>,
    #[serde(default)]
    pub may_repeat: bool,
    /// Not before this moment, in milliseconds since 1970.
    #[serde(default)]
    pub due: u64,
    /// Tasks of one gang run together or not at all.
    #[serde(default)]
    pub gang: String,
    /// A zone, rack or worker where the task's data is near.
    #[serde(default)]
    pub near: String,
    /// Members of its gang belong on one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// At most so many tasks of its step on one worker; 0 for any number.
    #[serde(default)]
    pub anti_affinity: u32,
    /// It never ends well: however it ends it is started again, until the job is cancelled.
    #[serde(default)]
    pub long_running: bool,
    /// It keeps its progress, and goes on from there when it is started again.
    #[serde(default)]
    pub checkpoints: bool,
    /// A rough guess of how long it runs.
    #[serde(default)]
    pub estimate_ms: u32,
    /// Handed to the worker as it is.
    #[serde(default, with = "crate::record::pack::json")]
    pub payload: serde_json::Value,
}

impl TaskSpec {
    /// The room it needs.
    pub fn needs(&self) -> Room {
        Room {
            cpu: self.room,
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
}

/// What has become of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum JobState {
    #[default]
    Waiting,
    Running,
    Cancelling,
    Done,
    Failed,
    Cancelled,
}

impl JobState {
    /// Whether nothing more will happen to the job.
    pub fn ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// What has become of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TaskState {
    #[default]
    Waiting,
    Done,
    Failed,
    Cancelled,
}

/// What has become of a send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum SendState {
    /// In the record; the worker has not said that it started.
    #[default]
    Ordered,
    Running,
    /// Its start may have been delivered and its end is unknown.
    Unsure,
    Well,
    Defect,
    /// Killed on our order; it is not running any more.
    Stopped,
    /// The worker says it never started it and never will.
    Void,
    /// Its hold passed, its worker is gone or its gang broke up: dead, through no fault of its own.
    Lapsed,
}

impl SendState {
    /// Whether the send may be running.
    pub fn live(self) -> bool {
        matches!(self, Self::Ordered | Self::Running | Self::Unsure)
    }
}

/// One send of a task to a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Send {
    pub no: u64,
    /// Numbers the starts of the task from 1; the members of a gang share it.
    pub run: u32,
    pub worker: String,
    pub incarnation: u64,
    pub state: SendState,
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

/// A task with its ledger of sends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Task {
    pub state: TaskState,
    pub defects: u32,
    pub sends: Vec<Send>,
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
    /// Sends that may be running.
    pub fn live(&self) -> impl Iterator<Item = &Send> {
        self.sends.iter().filter(|s| s.state.live())
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

/// Why a job can't be taken as it is.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecDefect {
    pub path: String,
    pub remedy: String,
}

impl std::fmt::Display for SpecDefect {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// The most tasks that one job may have.
pub const TASKS_MOST: usize = 2000;
/// The most tasks that the steps of a job may have over all times.
pub const STEP_TASKS_MOST: u64 = 20_000;

impl JobSpec {
    /// Reads a job, naming the field at fault.
    pub fn read(body: &[u8]) -> Result<Self, SpecDefect> {
        let de = &mut serde_json::Deserializer::from_slice(body);
        serde_path_to_error::deserialize(de).map_err(|e| SpecDefect {
            path: e.path().to_string(),
            remedy: e.inner().to_string(),
        })
    }

    /// Checks the shape of the job: names, steps, cycles, gangs.
    pub fn check(&self) -> Result<Vec<Vec<u32>>, SpecDefect> {
        let no = |path: String, remedy: &str| SpecDefect {
            path,
            remedy: remedy.into(),
        };
        let name_ok = |n: &str| {
            !n.is_empty()
                && n.len() <= 128
                && n.chars()
                    .all(|c| c.is_ascii_alphanumeric() || "-_.:".contains(c))
        };
        name_ok(&self.id).then_some(()).ok_or_else(|| {
            no(
                "id".into(),
                "use 1 to 128 letters, digits, '-', '_', '.' or ':'",
            )
        })?;
        if !self.steps.is_empty() {
            return self.check_steps().map(|()| Vec::new());
        }
        (1..=TASKS_MOST)
            .contains(&self.tasks.len())
            .then_some(())
            .ok_or_else(|| no("tasks".into(), "give 1 to 2000 tasks; split a larger job"))?;
        let mut by_name = BTreeMap::new();
        for (i, t) in self.tasks.iter().enumerate() {
            name_ok(&t.name).then_some(()).ok_or_else(|| {
                no(
                    format!("tasks[{i}].name"),
                    "use 1 to 128 letters, digits, '-', '_', '.' or ':'",
                )
            })?;
            by_name
                .insert(t.name.as_str(), i as u32)
                .map_or(Ok(()), |_| {
                    Err(no(
                        format!("tasks[{i}].name"),
                        "give every task of a job a name of its own",
                    ))
                })?;
            (t.room >= 1)
                .then_some(())
                .ok_or_else(|| no(format!("tasks[{i}].room"), "give at least 1"))?;
        }
        let mut waits = Vec::new();
        for (i, t) in self.tasks.iter().enumerate() {
            let of: Result<Vec<u32>, _> = t
                .depends_on
                .iter()
                .map(|d| {
                    by_name.get(d.as_str()).copied().ok_or_else(|| {
                        no(
                            format!("tasks[{i}].dependsOn"),
                            &format!("'{d}' is no task of this job: correct the name"),
                        )
                    })
                })
                .collect();
            waits.push(of?);
        }
        self.check_cycle(&waits)?;
        self.check_gangs(&waits)?;
        Ok(waits)
    }

    fn check_steps(&self) -> Result<(), SpecDefect> {
        let no = |path: String, remedy: &str| SpecDefect {
            path,
            remedy: remedy.into(),
        };
        self.tasks
            .is_empty()
            .then_some(())
            .ok_or_else(|| no("tasks".into(), "give single tasks or steps, not both"))?;
        let round: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let all = round.saturating_mul(u64::from(self.times.max(1)));
        (1..=STEP_TASKS_MOST)
            .contains(&all)
            .then_some(())
            .ok_or_else(|| {
                no(
                    "steps".into(),
                    "give 1 to 20000 tasks over all times; split a larger job",
                )
            })?;
        for (i, s) in self.steps.iter().enumerate() {
            (s.count >= 1)
                .then_some(())
                .ok_or_else(|| no(format!("steps[{i}].count"), "give at least 1"))?;
            s.depends_on
                .iter()
                .all(|d| (*d as usize) < i)
                .then_some(())
                .ok_or_else(|| {
                    no(
                        format!("steps[{i}].dependsOn"),
                        "name earlier steps by their numbers, counted from 0",
                    )
                })?;
            let own = s.task.gang.is_empty() && s.task.depends_on.is_empty();
            own.then_some(()).ok_or_else(|| {
                no(
                    format!("steps[{i}].task"),
                    "give the step, not its task, 'gang' and 'dependsOn'",
                )
            })?;
        }
        Ok(())
    }

    /// What its tasks ask for, each kind once, with where it stands and how many of them are one gang.
    fn kinds(&self) -> Vec<(String, &TaskSpec, u32)> {
        let single = self.tasks.iter().enumerate();
        let steps = self.steps.iter().enumerate();
        single
            .map(|(i, t)| (format!("tasks[{i}]"), t, 1))
            .chain(steps.map(|(i, s)| {
                let gang = if s.gang { s.count } else { 1 };
                (format!("steps[{i}].task"), &s.task, gang)
            }))
            .collect()
    }

    fn check_cycle(&self, waits: &[Vec<u32>]) -> Result<(), SpecDefect> {
        let mut left: Vec<usize> = waits.iter().map(Vec::len).collect();
        let mut next: Vec<Vec<usize>> = vec![Vec::new(); waits.len()];
        for (i, of) in waits.iter().enumerate() {
            of.iter().for_each(|d| next[*d as usize].push(i));
        }
        let mut ready: Vec<usize> = (0..left.len()).filter(|i| left[*i] == 0).collect();
        let mut seen = 0;
        while let Some(i) = ready.pop() {
            seen += 1;
            for n in &next[i] {
                left[*n] -= 1;
                if left[*n] == 0 {
                    ready.push(*n);
                }
            }
        }
        (seen == waits.len())
            .then_some(())
            .ok_or_else(|| SpecDefect {
                path: "tasks".into(),
                remedy: "the steps depend on each other in a circle: remove one dependsOn".into(),
            })
    }

    fn check_gangs(&self, waits: &[Vec<u32>]) -> Result<(), SpecDefect> {
        // Members start together, so none may wait, directly or not, for another of its gang.
        for (i, t) in self
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| !t.gang.is_empty())
        {
            let mut todo = waits[i].clone();
            let mut seen = vec![false; waits.len()];
            while let Some(d) = todo.pop().map(|d| d as usize) {
                (self.tasks[d].gang != t.gang).then_some(()).ok_or_else(|| SpecDefect {
                    path: format!("tasks[{i}].dependsOn"),
                    remedy: format!("a member of gang '{}' can't wait for another member: remove the dependsOn or the gang", t.gang),
                })?;
                if !std::mem::replace(&mut seen[d], true) {
                    todo.extend(&waits[d]);
                }
            }
        }
        Ok(())
    }

    /// Checks that the desired state lets the job run at all.
    pub fn satisfiable(&self, desired: &crate::desired::Desired) -> Result<(), SpecDefect> {
        let no = |path: String, remedy: String| SpecDefect { path, remedy };
        desired.queues.get(&self.queue).map(|_| ()).ok_or_else(|| {
            no(
                "queue".into(),
                format!(
                    "no queue is called '{}': create it or name another",
                    self.queue
                ),
            )
        })?;
        let mut gangs: BTreeMap<(String, &str), u32> = BTreeMap::new();
        for (at, t, together) in self.kinds() {
            let s = desired.services.get(&t.service).ok_or_else(|| {
                no(
                    format!("{at}.service"),
                    format!(
                        "no service is called '{}': declare it or name another",
                        t.service
                    ),
                )
            })?;
            t.labels.iter().find(|l| !s.any_label && !s.labels.contains(l)).map_or(Ok(()), |l| {
                Err(no(
                    format!("{at}.labels"),
                    format!("service '{}' has no workers with label '{l}': declare it or leave it out", t.service),
                ))
            })?;
            (t.room <= s.task_room).then_some(()).ok_or_else(|| {
                no(
                    format!("{at}.room"),
                    format!(
                        "service '{}' gives a task at most {}: ask for less",
                        t.service, s.task_room
                    ),
                )
            })?;
            if !t.gang.is_empty() || together > 1 {
                let name = if together > 1 { &at } else { &t.gang };
                let sum = gangs.entry((name.clone(), &t.service)).or_default();
                *sum = sum.saturating_add(t.room.saturating_mul(together));
                (*sum <= s.gang_room).then_some(()).ok_or_else(|| {
                    no(
                        format!("{at}.gang"),
                        format!("gang '{name}' needs more than the {} that service '{}' gives a gang: make it smaller", s.gang_room, t.service),
                    )
                })?;
            }
        }
        Ok(())
    }
}
