use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A job as a client hands it in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct JobSpec {
    /// Made by the client; retries carry the same one.
    pub id: String,
    pub queue: String,
    pub tasks: Vec<TaskSpec>,
}

/// A task of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct TaskSpec {
    pub name: String,
    pub service: String,
    #[serde(default)]
    pub labels: Vec<String>,
    pub room: u32,
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
    /// A zone or worker where the task's data is near.
    #[serde(default)]
    pub near: String,
    /// Handed to the worker as it is.
    #[serde(default)]
    pub payload: serde_json::Value,
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
}

/// A task with its ledger of sends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Task {
    pub state: TaskState,
    pub defects: u32,
    pub sends: Vec<Send>,
    /// Numbers of the tasks it waits for.
    pub waits: Vec<u32>,
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
        let mut gangs: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for (i, t) in self.tasks.iter().enumerate() {
            let s = desired.services.get(&t.service).ok_or_else(|| {
                no(
                    format!("tasks[{i}].service"),
                    format!(
                        "no service is called '{}': declare it or name another",
                        t.service
                    ),
                )
            })?;
            t.labels.iter().find(|l| !s.labels.contains(l)).map_or(Ok(()), |l| {
                Err(no(
                    format!("tasks[{i}].labels"),
                    format!("service '{}' has no workers with label '{l}': declare it or leave it out", t.service),
                ))
            })?;
            (t.room <= s.task_room).then_some(()).ok_or_else(|| {
                no(
                    format!("tasks[{i}].room"),
                    format!(
                        "service '{}' gives a task at most {}: ask for less",
                        t.service, s.task_room
                    ),
                )
            })?;
            if !t.gang.is_empty() {
                let sum = gangs.entry((&t.gang, &t.service)).or_default();
                *sum = sum.saturating_add(t.room);
                (*sum <= s.gang_room).then_some(()).ok_or_else(|| {
                    no(
                        format!("tasks[{i}].gang"),
                        format!("gang '{}' needs more than the {} that service '{}' gives a gang: make it smaller", t.gang, s.gang_room, t.service),
                    )
                })?;
            }
        }
        Ok(())
    }
}
