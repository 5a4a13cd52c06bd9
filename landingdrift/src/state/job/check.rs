//! Validation of a job before it is accepted: its structure, and whether the configuration can satisfy it.

use super::{JobSpec, StepSpec, TaskSpec};
use crate::config::{ClusterConfig, Service};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of single tasks in a job.
pub const MAX_TASKS: usize = 2000;

/// Maximum number of tasks of all steps of a job, over all repetitions.
pub const MAX_STEP_TASKS: u64 = 20_000;

/// Maximum length of a job id or a task name, in characters.
const MAX_NAME_CHARACTERS: usize = 128;
const NAME_REMEDY: &str = "use 1 to 128 letters, digits, '-', '_', '.' or ':'";

/// Why a job spec is invalid.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecError {
    /// Path of the invalid field.
    pub path: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

/// Returns an error unless a condition holds; the error is built only if needed.
fn ensure(holds: bool, error: impl FnOnce() -> SpecError) -> Result<(), SpecError> {
    if holds {
        Ok(())
    } else {
        Err(error())
    }
}

fn error(path: impl Into<String>, remedy: impl Into<String>) -> SpecError {
    SpecError {
        path: path.into(),
        remedy: remedy.into(),
    }
}

/// The spec of a single task, or of the tasks of a step.
struct CheckedSpec<'a> {
    /// Path of the spec within the job.
    path: String,
    task: &'a TaskSpec,
    /// Number of tasks in the step's gang; 1 for single tasks and for steps without a gang.
    gang_size: u32,
}

impl JobSpec {
    /// Parses a job from JSON; an error contains the path of the invalid field.
    pub fn read(body: &[u8]) -> Result<Self, SpecError> {
        let json = &mut serde_json::Deserializer::from_slice(body);
        serde_path_to_error::deserialize(json)
            .map_err(|e| error(e.path().to_string(), e.inner().to_string()))
    }

    /// Checks what does not depend on the configuration: names, number of tasks, steps, cycles, gangs, and that single
    /// tasks need some CPU. Returns the dependencies of each single task as task indices; empty for a job of steps.
    pub fn check(&self) -> Result<Vec<Vec<u32>>, SpecError> {
        ensure(is_name(&self.id), || error("id", NAME_REMEDY))?;
        if !self.steps.is_empty() {
            self.check_steps()?;
            return Ok(Vec::new());
        }
        let is_allowed = (1..=MAX_TASKS).contains(&self.tasks.len());
        let remedy = "give 1 to 2000 tasks; split a larger job";
        ensure(is_allowed, || error("tasks", remedy))?;
        let by_name = self.check_tasks()?;
        let dependencies_by_task = self.dependencies(&by_name)?;
        check_cycle(&dependencies_by_task)?;
        self.check_gangs(&dependencies_by_task)?;
        Ok(dependencies_by_task)
    }

    /// Checks each single task, and returns the task indices by name.
    fn check_tasks(&self) -> Result<BTreeMap<&str, u32>, SpecError> {
        let mut by_name = BTreeMap::new();
        for (index, task) in self.tasks.iter().enumerate() {
            let at = |field: &str, remedy: &str| error(format!("tasks[{index}].{field}"), remedy);
            ensure(is_name(&task.name), || at("name", NAME_REMEDY))?;
            let same_name = by_name.insert(task.name.as_str(), index as u32);
            let remedy = "give every task of a job a name of its own";
            ensure(same_name.is_none(), || at("name", remedy))?;
            ensure(task.cpu >= 1, || at("room", "give at least 1"))?;
        }
        Ok(by_name)
    }

    /// Resolves the dependencies of each task to task indices.
    fn dependencies(&self, by_name: &BTreeMap<&str, u32>) -> Result<Vec<Vec<u32>>, SpecError> {
        let mut dependencies_by_task = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            let mut task_dependencies = Vec::new();
            for name in &task.depends_on {
                let dependency = by_name.get(name.as_str()).ok_or_else(|| {
                    let path = format!("tasks[{index}].dependsOn");
                    error(
                        path,
                        format!("'{name}' is no task of this job: correct the name"),
                    )
                })?;
                task_dependencies.push(*dependency);
            }
            dependencies_by_task.push(task_dependencies);
        }
        Ok(dependencies_by_task)
    }

    /// Checks the total number of tasks of all steps, and each step.
    fn check_steps(&self) -> Result<(), SpecError> {
        let remedy = "give single tasks or steps, not both";
        ensure(self.tasks.is_empty(), || error("tasks", remedy))?;
        let is_allowed = (1..=MAX_STEP_TASKS).contains(&self.task_count());
        let remedy = "give 1 to 20000 tasks over all times; split a larger job";
        ensure(is_allowed, || error("steps", remedy))?;
        for (index, step) in self.steps.iter().enumerate() {
            step.check(index)?;
        }
        Ok(())
    }

    /// The task specs to check: one per single task and one per step.
    fn task_specs(&self) -> Vec<CheckedSpec<'_>> {
        let mut specs = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            specs.push(CheckedSpec {
                path: format!("tasks[{index}]"),
                task,
                gang_size: 1,
            });
        }
        for (index, step) in self.steps.iter().enumerate() {
            specs.push(CheckedSpec {
                path: format!("steps[{index}].task"),
                task: &step.task,
                gang_size: if step.gang { step.count } else { 1 },
            });
        }
        specs
    }

    /// Checks that no member of a gang depends on another member, directly or indirectly, since members start together.
    fn check_gangs(&self, dependencies_by_task: &[Vec<u32>]) -> Result<(), SpecError> {
        for (index, task) in self.tasks.iter().enumerate() {
            if task.gang.is_empty() {
                continue;
            }
            let gang = &task.gang;
            let dependencies = all_dependencies(index, dependencies_by_task);
            let mut gangs = dependencies.iter().map(|task| &self.tasks[*task].gang);
            ensure(gangs.all(|other| other != gang), || {
                let path = format!("tasks[{index}].dependsOn");
                error(path, format!("a member of gang '{gang}' can't wait for another member: remove the dependsOn or the gang"))
            })?;
        }
        Ok(())
    }

    /// Checks that the configuration declares the job's queue, services and labels, and allows the CPU that its tasks
    /// and gangs need.
    pub fn check_against(&self, config: &ClusterConfig) -> Result<(), SpecError> {
        let queue = &self.queue;
        ensure(config.queues.contains_key(queue), || {
            let remedy = format!("no queue is called '{queue}': create it or name another");
            error("queue", remedy)
        })?;
        let mut gang_cpu: BTreeMap<(String, &str), u32> = BTreeMap::new();
        for spec in self.task_specs() {
            let service = spec.service(config)?;
            spec.check_task(service)?;
            if let Some(gang) = spec.gang() {
                let cpu = gang_cpu.entry((gang, &spec.task.service)).or_default();
                *cpu = cpu.saturating_add(spec.task.cpu.saturating_mul(spec.gang_size));
                spec.check_gang(*cpu, service)?;
            }
        }
        Ok(())
    }
}

impl StepSpec {
    /// Checks the step, which has the given index in the job.
    fn check(&self, index: usize) -> Result<(), SpecError> {
        let at = |field: &str, remedy: &str| error(format!("steps[{index}].{field}"), remedy);
        ensure(self.count >= 1, || at("count", "give at least 1"))?;
        let mut dependencies = self.depends_on.iter();
        let are_earlier = dependencies.all(|step| (*step as usize) < index);
        let remedy = "name earlier steps by their numbers, counted from 0";
        ensure(are_earlier, || at("dependsOn", remedy))?;
        let has_neither = self.task.gang.is_empty() && self.task.depends_on.is_empty();
        let remedy = "give the step, not its task, 'gang' and 'dependsOn'";
        ensure(has_neither, || at("task", remedy))
    }
}

impl CheckedSpec<'_> {
    /// Builds an error about one of its fields.
    fn error(&self, field: &str, remedy: String) -> SpecError {
        error(format!("{}.{field}", self.path), remedy)
    }

    /// The declared service whose workers run it.
    fn service<'a>(&self, config: &'a ClusterConfig) -> Result<&'a Service, SpecError> {
        let name = &self.task.service;
        config.services.get(name).ok_or_else(|| {
            let remedy = format!("no service is called '{name}': declare it or name another");
            self.error("service", remedy)
        })
    }

    /// Checks that the service declares the task's labels and allows the CPU that it needs.
    fn check_task(&self, service: &Service) -> Result<(), SpecError> {
        let name = &self.task.service;
        for label in &self.task.labels {
            let is_declared = service.any_label || service.labels.contains(label);
            ensure(is_declared, || {
                self.error(
                    "labels",
                    format!(
                "service '{name}' has no workers with label '{label}': declare it or leave it out"
            ),
                )
            })?;
        }
        let max_cpu = service.max_task_cpu;
        ensure(self.task.cpu <= max_cpu, || {
            let remedy = format!("service '{name}' gives a task at most {max_cpu}: ask for less");
            self.error("room", remedy)
        })
    }

    /// Identifies the gang of its tasks: the path of a step, or the gang's name for a single task. `None` if there is
    /// no gang, or if the step's gang has only one task.
    fn gang(&self) -> Option<String> {
        if self.gang_size > 1 {
            return Some(self.path.clone());
        }
        Some(self.task.gang.clone()).filter(|gang| !gang.is_empty())
    }

    /// Checks that the service allows a gang `cpu`, the sum over the gang's tasks of this service counted so far.
    fn check_gang(&self, cpu: u32, service: &Service) -> Result<(), SpecError> {
        let (max_cpu, name) = (service.max_gang_cpu, &self.task.service);
        ensure(cpu <= max_cpu, || {
            let gang = self.gang().unwrap_or_default();
            self.error("gang", format!(
                "gang '{gang}' needs more than the {max_cpu} that service '{name}' gives a gang: make it smaller"
            ))
        })
    }
}

/// Checks that the dependencies between tasks have no cycle.
fn check_cycle(dependencies_by_task: &[Vec<u32>]) -> Result<(), SpecError> {
    let mut unmet: Vec<usize> = dependencies_by_task.iter().map(Vec::len).collect();
    let mut dependents: Vec<Vec<usize>> = vec![Vec::new(); dependencies_by_task.len()];
    for (task, dependencies) in dependencies_by_task.iter().enumerate() {
        for dependency in dependencies {
            dependents[*dependency as usize].push(task);
        }
    }
    let mut ready: Vec<usize> = (0..unmet.len()).filter(|task| unmet[*task] == 0).collect();
    let mut reached = 0;
    while let Some(task) = ready.pop() {
        reached += 1;
        for dependent in &dependents[task] {
            unmet[*dependent] -= 1;
            if unmet[*dependent] == 0 {
                ready.push(*dependent);
            }
        }
    }
    let remedy = "the steps depend on each other in a circle: remove one dependsOn";
    ensure(reached == dependencies_by_task.len(), || {
        error("tasks", remedy)
    })
}

/// All direct and indirect dependencies of a task.
fn all_dependencies(task: usize, dependencies_by_task: &[Vec<u32>]) -> Vec<usize> {
    let mut to_visit = dependencies_by_task[task].clone();
    let mut is_visited = vec![false; dependencies_by_task.len()];
    let mut dependencies = Vec::new();
    while let Some(dependency) = to_visit.pop() {
        let dependency = dependency as usize;
        if std::mem::replace(&mut is_visited[dependency], true) {
            continue;
        }
        dependencies.push(dependency);
        to_visit.extend(&dependencies_by_task[dependency]);
    }
    dependencies
}

/// Whether a text is a valid job id or task name.
pub(crate) fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_CHARACTERS && name.chars().all(is_allowed)
}
