//! Checks of a job before it is accepted: its shape, and whether the configuration lets it run.

use super::{JobSpec, TaskSpec};
use std::collections::BTreeMap;

/// The most tasks that one job may have.
pub const TASKS_MOST: usize = 2000;

/// The most tasks that the steps of a job may have over all times.
pub const STEP_TASKS_MOST: u64 = 20_000;

/// Why a job can't be taken as it is.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecError {
    /// The path of the field at fault.
    pub path: String,
    /// What to do about it.
    pub remedy: String,
}

impl std::fmt::Display for SpecError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// A error at a field, and what to do about it.
fn error(path: String, remedy: impl Into<String>) -> SpecError {
    SpecError {
        path,
        remedy: remedy.into(),
    }
}

impl JobSpec {
    /// Reads a job, naming the field at fault.
    pub fn read(body: &[u8]) -> Result<Self, SpecError> {
        let de = &mut serde_json::Deserializer::from_slice(body);
        serde_path_to_error::deserialize(de).map_err(|e| SpecError {
            path: e.path().to_string(),
            remedy: e.inner().to_string(),
        })
    }

    /// Checks the shape of the job: names, steps, cycles, gangs.
    pub fn check(&self) -> Result<Vec<Vec<u32>>, SpecError> {
        name_ok(&self.id).then_some(()).ok_or_else(|| {
            error(
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
            .ok_or_else(|| error("tasks".into(), "give 1 to 2000 tasks; split a larger job"))?;
        let by_name = self.check_tasks()?;
        let waits = self.dependencies(&by_name)?;
        self.check_cycle(&waits)?;
        self.check_gangs(&waits)?;
        Ok(waits)
    }

    /// Checks the single tasks one by one, and gives their numbers by their names.
    fn check_tasks(&self) -> Result<BTreeMap<&str, u32>, SpecError> {
        let mut by_name = BTreeMap::new();
        for (i, t) in self.tasks.iter().enumerate() {
            name_ok(&t.name).then_some(()).ok_or_else(|| {
                error(
                    format!("tasks[{i}].name"),
                    "use 1 to 128 letters, digits, '-', '_', '.' or ':'",
                )
            })?;
            by_name
                .insert(t.name.as_str(), i as u32)
                .map_or(Ok(()), |_| {
                    Err(error(
                        format!("tasks[{i}].name"),
                        "give every task of a job a name of its own",
                    ))
                })?;
            (t.cpu >= 1)
                .then_some(())
                .ok_or_else(|| error(format!("tasks[{i}].room"), "give at least 1"))?;
        }
        Ok(by_name)
    }

    /// The numbers of the tasks that each task waits for.
    fn dependencies(&self, by_name: &BTreeMap<&str, u32>) -> Result<Vec<Vec<u32>>, SpecError> {
        let mut waits = Vec::new();
        for (i, t) in self.tasks.iter().enumerate() {
            let of: Result<Vec<u32>, _> = t
                .depends_on
                .iter()
                .map(|d| {
                    by_name.get(d.as_str()).copied().ok_or_else(|| {
                        error(
                            format!("tasks[{i}].dependsOn"),
                            format!("'{d}' is no task of this job: correct the name"),
                        )
                    })
                })
                .collect();
            waits.push(of?);
        }
        Ok(waits)
    }

    /// Checks the steps: how many tasks, and what each depends on.
    fn check_steps(&self) -> Result<(), SpecError> {
        self.tasks
            .is_empty()
            .then_some(())
            .ok_or_else(|| error("tasks".into(), "give single tasks or steps, not both"))?;
        let round: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let all = round.saturating_mul(u64::from(self.times.max(1)));
        (1..=STEP_TASKS_MOST)
            .contains(&all)
            .then_some(())
            .ok_or_else(|| {
                error(
                    "steps".into(),
                    "give 1 to 20000 tasks over all times; split a larger job",
                )
            })?;
        for (i, s) in self.steps.iter().enumerate() {
            (s.count >= 1)
                .then_some(())
                .ok_or_else(|| error(format!("steps[{i}].count"), "give at least 1"))?;
            s.depends_on
                .iter()
                .all(|d| (*d as usize) < i)
                .then_some(())
                .ok_or_else(|| {
                    error(
                        format!("steps[{i}].dependsOn"),
                        "name earlier steps by their numbers, counted from 0",
                    )
                })?;
            let own = s.task.gang.is_empty() && s.task.depends_on.is_empty();
            own.then_some(()).ok_or_else(|| {
                error(
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

    /// Checks that no task waits for itself over others.
    fn check_cycle(&self, waits: &[Vec<u32>]) -> Result<(), SpecError> {
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
            .ok_or_else(|| SpecError {
                path: "tasks".into(),
                remedy: "the steps depend on each other in a circle: remove one dependsOn".into(),
            })
    }

    /// Checks that no member of a gang waits for another.
    fn check_gangs(&self, waits: &[Vec<u32>]) -> Result<(), SpecError> {
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
                (self.tasks[d].gang != t.gang).then_some(()).ok_or_else(|| SpecError {
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

    /// Checks that the configuration lets the job run at all.
    pub fn satisfiable(&self, config: &crate::config::ClusterConfig) -> Result<(), SpecError> {
        config.queues.get(&self.queue).map(|_| ()).ok_or_else(|| {
            error(
                "queue".into(),
                format!(
                    "no queue is called '{}': create it or name another",
                    self.queue
                ),
            )
        })?;
        let mut gangs: BTreeMap<(String, &str), u32> = BTreeMap::new();
        for (at, t, together) in self.kinds() {
            let s = config.services.get(&t.service).ok_or_else(|| {
                error(
                    format!("{at}.service"),
                    format!(
                        "no service is called '{}': declare it or name another",
                        t.service
                    ),
                )
            })?;
            t.labels.iter().find(|l| !s.any_label && !s.labels.contains(l)).map_or(Ok(()), |l| {
                Err(error(
                    format!("{at}.labels"),
                    format!("service '{}' has no workers with label '{l}': declare it or leave it out", t.service),
                ))
            })?;
            (t.cpu <= s.task_cpu).then_some(()).ok_or_else(|| {
                error(
                    format!("{at}.room"),
                    format!(
                        "service '{}' gives a task at most {}: ask for less",
                        t.service, s.task_cpu
                    ),
                )
            })?;
            if !t.gang.is_empty() || together > 1 {
                let name = if together > 1 { &at } else { &t.gang };
                let sum = gangs.entry((name.clone(), &t.service)).or_default();
                *sum = sum.saturating_add(t.cpu.saturating_mul(together));
                (*sum <= s.gang_cpu).then_some(()).ok_or_else(|| {
                    error(
                        format!("{at}.gang"),
                        format!("gang '{name}' needs more than the {} that service '{}' gives a gang: make it smaller", s.gang_cpu, t.service),
                    )
                })?;
            }
        }
        Ok(())
    }
}

/// Whether a name of a job or a task is allowed.
fn name_ok(n: &str) -> bool {
    !n.is_empty()
        && n.len() <= 128
        && n.chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.:".contains(c))
}
