//! Checkers of due times: tasks start neither before nor long after them.

use super::{runs, Run, Specs};
use crate::checkers::interval::Interval;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{is_serving, CheckedSettings, Event, History};
use landingdrift::state::TaskSpec;
use std::collections::{BTreeMap, BTreeSet};

/// The description of a fault by which wall clocks jump begins with this. Times agreed after it may be wrong.
const CLOCK_JUMP: &str = "ClockJump";
/// A task must start in time if at least so many workers that fit it have nothing running.
const MIN_IDLE_WORKERS: usize = 2;

/// No task starts more than `early_ms` before its due time.
pub fn not_before_due_time(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let specs = Specs::new(history);
    let mut violations = Vec::new();
    for timed in &history.events {
        let Event::RunStarted { job, task, .. } = &timed.event else {
            continue;
        };
        let due = specs.task(job, task).map_or(0, |spec| spec.due);
        let early_ms = due.saturating_sub(timed.at_ms + bounds.epoch_ms);
        if early_ms > bounds.early_ms {
            violations.push(Violation::new(
                "not before its time",
                timed.at_ms,
                format!("{job}/{task} started {early_ms} ms early"),
            ));
        }
    }
    violations
}

/// When a task is due and no disturbance is near, the job has a run within `idle_job_ms`, as long as workers that fit the
/// task are idle and at most half of their service's capacity is in use.
pub fn not_long_after_due_time(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    if has_clock_jump(history) {
        return Vec::new();
    }
    let day = Day {
        end_ms: history.end_ms(),
        disturbances: disturbances(history),
        workers: workers(history),
        runs: runs(history),
    };
    let turns = turns(history, bounds);
    let missed = turns.iter().filter(|turn| day.is_missed(turn));
    missed.map(Turn::violation).collect()
}

/// The turn of a due task: from then on its job must have a run.
struct Turn<'a> {
    job: &'a str,
    task: &'a TaskSpec,
    /// The interval in which a run is expected.
    window: Interval,
    /// The interval that must be free of disturbances.
    calm: Interval,
}

impl Turn<'_> {
    fn violation(&self) -> Violation {
        let Self {
            job, task, window, ..
        } = self;
        let description = format!(
            "{job}/{} had its turn at {} ms, and nothing of the job ran on idle workers",
            task.name, window.from
        );
        Violation::new("not long after its time", window.to, description)
    }
}

/// The turns of the due tasks of all accepted jobs.
fn turns<'a>(history: &'a History, bounds: &PromisedBounds) -> Vec<Turn<'a>> {
    let specs = Specs::new(history);
    let mut turns = Vec::new();
    for (job, accepted_ms) in accepted_jobs(history) {
        let tasks = specs.job(job).map_or(&[][..], |spec| &spec.tasks);
        for task in tasks.iter().filter(|task| is_plain(task)) {
            let from = task.due.saturating_sub(bounds.epoch_ms).max(accepted_ms);
            let to = from + bounds.idle_job_ms;
            turns.push(Turn {
                job,
                task,
                window: Interval::new(from, to),
                calm: Interval::new(from.saturating_sub(bounds.outage_ms), to),
            });
        }
    }
    turns
}

/// What determines whether a task could run in time.
struct Day<'a> {
    end_ms: u64,
    disturbances: Vec<Interval>,
    workers: Workers<'a>,
    runs: Vec<Run<'a>>,
}

impl Day<'_> {
    /// Whether the job has no run in the window although it is calm and there is room.
    fn is_missed(&self, turn: &Turn) -> bool {
        let mut disturbances = self.disturbances.iter();
        let is_calm = !disturbances.any(|other| other.overlaps(&turn.calm));
        let has_run = |run: &Run| run.job == turn.job && is_running(run, &turn.window);
        turn.window.to <= self.end_ms
            && is_calm
            && !self.runs.iter().any(has_run)
            && self.has_room(turn)
    }

    /// Whether enough workers that fit the task are idle in the window, and at most half of the service's capacity is in
    /// use. Only workers that are up in the whole calm interval count, and none that ever leaves.
    fn has_room(&self, turn: &Turn) -> bool {
        let counted = self.workers.serving(&turn.task.service, turn.calm.from);
        let running = self
            .runs
            .iter()
            .filter(|run| is_running(run, &turn.window) && counted.contains_key(run.worker));
        let busy: BTreeSet<&str> = running.map(|run| run.worker).collect();
        let busy_cpu: u32 = busy.iter().map(|name| counted[name].cpu).sum();
        let total_cpu: u32 = counted.values().map(|worker| worker.cpu).sum();
        let idle = counted
            .iter()
            .filter(|(name, worker)| !busy.contains(*name) && worker.cpu >= turn.task.cpu);
        idle.count() >= MIN_IDLE_WORKERS && 2 * busy_cpu <= total_cpu
    }
}

/// Whether a task has a due time, and needs nothing but room on a worker of its service.
fn is_plain(task: &TaskSpec) -> bool {
    task.due > 0
        && task.labels.is_empty()
        && task.depends_on.is_empty()
        && task.gang.is_empty()
        && task.anti_affinity == 0
        && task.memory == 0
        && task.accelerators == 0
}

fn has_clock_jump(history: &History) -> bool {
    history.events.iter().any(|timed| {
        matches!(&timed.event, Event::FaultBegan { description } if description.starts_with(CLOCK_JUMP))
    })
}

/// The jobs that were accepted and that nobody has cancelled, with the time of their acceptance.
fn accepted_jobs(history: &History) -> BTreeMap<&str, u64> {
    let mut accepted = BTreeMap::new();
    let mut cancelled = BTreeSet::new();
    for timed in &history.events {
        match &timed.event {
            Event::SubmitAnswered { id, status, .. } if (200..300).contains(status) => {
                accepted.entry(id.as_str()).or_insert(timed.at_ms);
            }
            Event::CancelRequested { id } | Event::GaveUp { id } => {
                cancelled.insert(id.as_str());
            }
            _ => {}
        }
    }
    accepted.retain(|job, _| !cancelled.contains(job));
    accepted
}

/// Intervals in which a fault was active or a process, worker or zone was lost or emptied.
fn disturbances(history: &History) -> Vec<Interval> {
    let mut intervals = Vec::new();
    let mut active: BTreeMap<&str, u64> = BTreeMap::new();
    for timed in &history.events {
        let at_ms = timed.at_ms;
        match &timed.event {
            Event::FaultBegan { description } => {
                active.insert(description, at_ms);
                intervals.push(Interval::new(at_ms, at_ms));
            }
            Event::FaultEnded { description } => {
                let from = active.remove(description.as_str()).unwrap_or(at_ms);
                intervals.push(Interval::new(from, at_ms));
            }
            Event::WorkerDied { .. }
            | Event::WorkerLeaving { .. }
            | Event::WorkerUp { .. }
            | Event::WorkerChanged { .. }
            | Event::LeaseExpired { .. }
            | Event::NodeDown { .. }
            | Event::Availability { .. }
            | Event::OutageEnded
            | Event::LoadEnded
            | Event::ZoneOrderRequested { .. } => intervals.push(Interval::new(at_ms, at_ms)),
            Event::ConfigRequested { settings, .. } if empties_zone(settings) => {
                intervals.push(Interval::new(at_ms, at_ms));
            }
            _ => {}
        }
    }
    intervals
}

fn empties_zone(settings: &CheckedSettings) -> bool {
    settings.zones.values().any(|state| !is_serving(state))
}

/// A worker, and since when it has been up, in milliseconds.
struct Worker<'a> {
    service: &'a str,
    zone: &'a str,
    cpu: u32,
    up_since: u64,
    leaves: bool,
}

/// The last process of each worker, and the zones that were emptied at some time.
struct Workers<'a> {
    by_name: BTreeMap<&'a str, Worker<'a>>,
    emptied_zones: BTreeSet<&'a str>,
}

impl<'a> Workers<'a> {
    /// The workers of a service that have been up since a time, never leave, and are in no zone that is ever emptied.
    fn serving(&self, service: &str, since_ms: u64) -> BTreeMap<&'a str, &Worker<'a>> {
        let is_counted = |worker: &Worker| {
            let is_in_use = worker.service == service && !self.emptied_zones.contains(worker.zone);
            is_in_use && !worker.leaves && worker.up_since <= since_ms
        };
        let counted = self.by_name.iter().filter(|(_, worker)| is_counted(worker));
        counted.map(|(name, worker)| (*name, worker)).collect()
    }
}

fn workers(history: &History) -> Workers<'_> {
    let mut workers = Workers {
        by_name: BTreeMap::new(),
        emptied_zones: BTreeSet::new(),
    };
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp {
                worker,
                service,
                zone,
                cpu,
                ..
            } => {
                let up = Worker {
                    service,
                    zone,
                    cpu: *cpu,
                    up_since: timed.at_ms,
                    leaves: false,
                };
                workers.by_name.insert(worker, up);
            }
            Event::WorkerChanged { worker, cpu, .. } => {
                if let Some(changed) = workers.by_name.get_mut(worker.as_str()) {
                    changed.cpu = changed.cpu.min(*cpu);
                }
            }
            Event::WorkerDied { worker } | Event::WorkerLeaving { worker } => {
                if let Some(leaving) = workers.by_name.get_mut(worker.as_str()) {
                    leaving.leaves = true;
                }
            }
            Event::ZoneOrderRequested { zone, .. } => {
                workers.emptied_zones.insert(zone);
            }
            Event::ConfigRequested { settings, .. } => {
                let zones = settings.zones.iter();
                let emptied = zones.filter(|(_, state)| !is_serving(state));
                workers
                    .emptied_zones
                    .extend(emptied.map(|(zone, _)| zone.as_str()));
            }
            _ => {}
        }
    }
    workers
}

fn is_running(run: &Run, window: &Interval) -> bool {
    window.overlaps(&Interval::new(run.from, run.to))
}
