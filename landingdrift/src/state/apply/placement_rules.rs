//! Rules for placements: when a task may start, and on which workers.

use super::ensure;
use crate::config::Queue;
use crate::state::{
    zone_lease, AttemptState, ClusterState, Job, Placement, Rejection, Task, TaskSpec, TaskState,
    Worker,
};

/// Numbers of a task's attempts that may be running.
struct LiveAttempts {
    /// Attempts that are ordered or running.
    ordered_or_running: u32,
    /// Attempts whose outcome is unknown.
    unsure: u32,
}

impl LiveAttempts {
    fn of(task: &Task) -> Self {
        let mut counted = Self {
            ordered_or_running: 0,
            unsure: 0,
        };
        for attempt in task.live() {
            if attempt.state == AttemptState::Unsure {
                counted.unsure += 1;
            } else {
                counted.ordered_or_running += 1;
            }
        }
        counted
    }

    fn all(&self) -> u32 {
        self.ordered_or_running + self.unsure
    }
}

impl ClusterState {
    /// Checks whether a task may get an attempt at time `at` of the cluster clock, on any worker.
    pub fn check_start(
        &self,
        id: &str,
        task_no: u32,
        copy: bool,
        at: u64,
    ) -> Result<(), Rejection> {
        let unknown = |what: String| Rejection::Unknown { what };
        let found = self.task(id, task_no);
        let (job, task) = found.ok_or_else(|| unknown(format!("task {task_no}")))?;
        let task_no = task_no as usize;
        ensure(task.state == TaskState::Waiting, Rejection::Ended)?;
        let spec = job.task_spec(task_no);
        let queue_name = &job.spec.queue;
        let queue = self.queue(queue_name);
        let queue = queue.ok_or_else(|| unknown(format!("queue '{queue_name}'")))?;
        ensure(at >= job.task_due(task_no), Rejection::NotDue)?;
        ensure(job.are_dependencies_done(task_no), Rejection::Waiting)?;
        let live = LiveAttempts::of(task);
        let is_excess = if spec.may_repeat {
            // A regular attempt requires that no other one is running; a copy requires exactly one, and no gang.
            live.ordered_or_running != u32::from(copy) || (copy && job.in_gang(task_no))
        } else {
            // No attempt may start while another may be running, and copies are never allowed.
            copy || live.all() > 0
        };
        ensure(!is_excess, Rejection::AlreadyRunning)?;
        // Attempts that may be running count as well: each may still fail, or may have failed unnoticed.
        let attempts = task.failures + live.all();
        let may_try_again = spec.long_running || attempts < queue.max_attempts;
        ensure(may_try_again, Rejection::AttemptsExhausted)?;
        if copy {
            self.ensure_speculation_budget(queue_name, queue)?;
        }
        Ok(())
    }

    /// Checks whether a queue may have one more speculative copy.
    fn ensure_speculation_budget(&self, name: &str, queue: &Queue) -> Result<(), Rejection> {
        let stats = self.queues.get(name);
        let running = stats.map_or(0, |stats| stats.running);
        let copies = stats.map_or(0, |stats| stats.copies);
        let budget = (running * queue.speculation_percent).div_ceil(100);
        let has_budget = copies < budget && !self.is_allowance_exhausted(name);
        ensure(has_budget, Rejection::SpeculationBudgetExhausted)
    }

    /// Checks whether the worker of a placement may get its task at time `at` of the cluster clock, apart from its free
    /// resources.
    pub fn check_placement(
        &self,
        id: &str,
        placement: &Placement,
        at: u64,
    ) -> Result<(), Rejection> {
        let unknown = |what: String| Rejection::Unknown { what };
        let job = self.jobs.get(id);
        let job = job.ok_or_else(|| unknown(format!("job '{id}'")))?;
        let task = job.tasks.get(placement.task as usize);
        let task = task.ok_or_else(|| unknown(format!("task {}", placement.task)))?;
        let worker = self.workers.get(&placement.worker);
        let worker = worker.ok_or_else(|| unknown(format!("worker '{}'", placement.worker)))?;
        let lease = self.current_lease(&zone_lease(&worker.info.zone));
        let is_current = lease.is_some_and(|lease| lease.epoch == placement.zone_epoch);
        ensure(is_current, Rejection::StaleLease)?;
        self.ensure_usable(worker, placement)?;
        let spec = job.task_spec(placement.task as usize);
        ensure_served(worker, spec)?;
        let passes_probation = worker.probation == 0
            || self.is_free_for_trial(worker, spec)
            || (job.is_idle_too_long(at) && self.has_spare_capacity(&spec.service));
        ensure(passes_probation, unsuitable("on probation, one at a time"))?;
        let mut live = task.live();
        let has_live_attempt = live.any(|attempt| attempt.worker == placement.worker);
        ensure(!has_live_attempt, Rejection::AlreadyRunning)?;
        ensure_anti_affinity(job, placement, 0)
    }

    /// Whether a worker on probation may get a task on trial. It gets one task at a time, in addition to long-running
    /// attempts: these normally run until their job is cancelled, so they neither prove the worker's health nor free
    /// its slot. A long-running task is placed only on a worker without any attempts.
    fn is_free_for_trial(&self, worker: &Worker, spec: &TaskSpec) -> bool {
        if spec.long_running {
            worker.attempts.is_empty()
        } else {
            !self.has_finite_attempts(worker)
        }
    }

    /// Checks whether the worker of a placement may get new work at all.
    fn ensure_usable(&self, worker: &Worker, placement: &Placement) -> Result<(), Rejection> {
        let info = &worker.info;
        let is_same_process = info.incarnation == placement.incarnation;
        ensure(is_same_process, unsuitable("it has started anew"))?;
        ensure(!worker.lost, unsuitable("it is lost"))?;
        ensure(!info.leaving, unsuitable("it is leaving"))?;
        let gets_new_work = self.allows_new_work(&info.zone, &placement.worker);
        ensure(gets_new_work, unsuitable("its zone or itself is drained"))
    }
}

fn unsuitable(why: &str) -> Rejection {
    Rejection::UnsuitableWorker { why: why.into() }
}

/// Checks whether a worker offers the task's service and has all its labels.
fn ensure_served(worker: &Worker, spec: &TaskSpec) -> Result<(), Rejection> {
    let info = &worker.info;
    ensure(info.service == spec.service, unsuitable("another service"))?;
    let has_labels = spec.labels.iter().all(|label| info.labels.contains(label));
    ensure(has_labels, unsuitable("a label is missing"))
}

/// Checks that a worker gets no more tasks of a step than the step's anti-affinity allows. `step_tasks_on_same_worker`
/// is the number of the step's tasks that the same entry has already placed on the worker.
pub(super) fn ensure_anti_affinity(
    job: &Job,
    placement: &Placement,
    step_tasks_on_same_worker: u32,
) -> Result<(), Rejection> {
    let task = placement.task as usize;
    let allowed = job.task_spec(task).anti_affinity;
    let is_below_limit = allowed == 0
        || job.step_attempts_on(task, &placement.worker) + step_tasks_on_same_worker < allowed;
    ensure(
        is_below_limit,
        unsuitable("as many tasks of the step are there as it allows"),
    )
}
