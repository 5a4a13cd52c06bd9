//! Starts attempts: places tasks of a job on workers, all or none.

use super::placement_rules::ensure_anti_affinity;
use super::{ensure, ApplyResult};
use crate::state::{
    queue_lease, Attempt, ClusterState, Job, Placement, Rejection, Resources, TaskState,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// The run that an attempt belongs to. The members of a gang have the same run number and checkpoint.
struct Run {
    number: u32,
    /// Checkpoint that it resumes from; empty for none.
    checkpoint: String,
}

impl ClusterState {
    /// Starts attempts of a job's tasks, all or none, after checking every rule that the state can check.
    pub(super) fn start_attempts(
        &mut self,
        id: &str,
        owner_epoch: u64,
        placements: &[Placement],
    ) -> ApplyResult {
        self.check_placements(id, owner_epoch, placements)?;
        let job = &self.jobs[id];
        let runs: Vec<Run> = placements.iter().map(|p| next_run(job, p)).collect();
        let mut numbers = Vec::new();
        for (placement, run) in placements.iter().zip(runs) {
            numbers.push(self.start_attempt(id, placement, run));
        }
        self.update_job_state(id);
        Ok(json!({"sends": numbers}))
    }

    fn check_placements(
        &self,
        id: &str,
        owner_epoch: u64,
        placements: &[Placement],
    ) -> Result<(), Rejection> {
        let job = self.jobs.get(id).ok_or_else(|| Rejection::Unknown {
            what: format!("job '{id}'"),
        })?;
        let lease = self.current_lease(&queue_lease(&job.spec.queue));
        let is_owner = lease.is_some_and(|lease| lease.epoch == owner_epoch);
        ensure(is_owner, Rejection::StaleLease)?;
        ensure(!job.state.has_ended(), Rejection::Ended)?;
        ensure(!job.cancel, Rejection::Cancelled)?;
        let mut needed: BTreeMap<&str, Resources> = BTreeMap::new();
        for (i, placement) in placements.iter().enumerate() {
            let before = &placements[..i];
            let is_duplicate = before.iter().any(|other| other.task == placement.task);
            ensure(!is_duplicate, Rejection::AlreadyRunning)?;
            self.check_start(id, placement.task, placement.copy, self.at)?;
            self.check_placement(id, placement, self.at)?;
            let sum = needed.entry(placement.worker.as_str()).or_default();
            *sum = sum.plus(job.task_spec(placement.task as usize).needs());
            let free = self.unused_resources(&placement.worker);
            ensure(free.covers(*sum), Rejection::InsufficientResources)?;
            ensure_anti_affinity(
                job,
                placement,
                step_tasks_on_same_worker(job, placement, before),
            )?;
        }
        ensure(
            are_gangs_complete(job, placements),
            Rejection::GangIncomplete,
        )
    }

    /// The resources of a worker that are not used by live attempts.
    fn unused_resources(&self, worker: &str) -> Resources {
        let worker = self.workers.get(worker);
        worker.map_or(Resources::default(), |worker| {
            worker.info.total_resources().minus(worker.used)
        })
    }

    /// Adds an attempt whose placement has been checked; returns its number.
    fn start_attempt(&mut self, id: &str, placement: &Placement, run: Run) -> u64 {
        let attempt_no = self.next_attempt;
        self.next_attempt += 1;
        let ordered_at = self.at;
        let job = self.jobs.get_mut(id).expect("checked before");
        let task = placement.task as usize;
        let resources = job.task_spec(task).needs();
        let attempt = Attempt {
            no: attempt_no,
            run: run.number,
            checkpoint: run.checkpoint,
            worker: placement.worker.clone(),
            incarnation: placement.incarnation,
            copy: placement.copy,
            ordered: ordered_at,
            ..Attempt::default()
        };
        job.tasks[task].add_attempt(attempt);
        let queue = job.spec.queue.clone();
        self.live
            .insert(attempt_no, (id.to_string(), placement.task));
        let stats = self.queues.entry(queue).or_default();
        stats.running += 1;
        stats.copies += u32::from(placement.copy);
        stats.copies_started += u64::from(placement.copy);
        if let Some(worker) = self.workers.get_mut(&placement.worker) {
            worker.used = worker.used.plus(resources);
            worker.attempts.insert(attempt_no);
        }
        attempt_no
    }
}

/// Whether the placements include, for each gang that they concern, all members that are not done.
fn are_gangs_complete(job: &Job, placements: &[Placement]) -> bool {
    let placed: BTreeSet<usize> = placements.iter().map(|p| p.task as usize).collect();
    let mut checked = BTreeSet::new();
    for placement in placements {
        let members = job.gang_members(placement.task as usize);
        let Some(first) = members.first() else {
            continue;
        };
        if !checked.insert(*first) {
            continue;
        }
        let starts_or_done =
            |member: &usize| placed.contains(member) || job.tasks[*member].state == TaskState::Done;
        if !members.iter().all(starts_or_done) {
            return false;
        }
    }
    true
}

/// Number of tasks of the same step that the entry places on the same worker before this placement.
fn step_tasks_on_same_worker(job: &Job, placement: &Placement, before: &[Placement]) -> u32 {
    let step_of = |p: &Placement| job.tasks[p.task as usize].step;
    let is_same_step_and_worker =
        |p: &&Placement| p.worker == placement.worker && step_of(p) == step_of(placement);
    before.iter().filter(is_same_step_and_worker).count() as u32
}

fn next_run(job: &Job, placement: &Placement) -> Run {
    let task = placement.task as usize;
    let last_run = |i: usize| job.tasks[i].attempts.last().map_or(0, |a| a.run);
    let gang_run = job.gang_members(task).into_iter().map(last_run).max();
    Run {
        number: gang_run.unwrap_or_else(|| last_run(task)) + 1,
        checkpoint: job.tasks[task].checkpoint.clone(),
    }
}
