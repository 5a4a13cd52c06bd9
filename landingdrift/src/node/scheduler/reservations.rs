//! Reservations: for each waiting task, several suitable workers are probed through their zone schedulers.

use super::LastReserved;
use crate::node::Node;
use crate::sans_io::{Now, Rng};
use crate::state::{zone_lease, Job, TaskSpec, TaskState, Worker};
use crate::wire::{Body, Reservation, Reserve};
use std::collections::BTreeMap;

/// A worker that could run some task of a job.
struct Candidate {
    worker: String,
    /// The worker is near the data of a task that it could run.
    local: bool,
}

impl Node {
    /// Places due reservations: for each task in a job's demand, on `probe_ratio` workers.
    pub(in crate::node) fn schedule(&mut self, now: Now) {
        if !self.is_fresh(now) {
            return;
        }
        let mut by_holder: BTreeMap<String, Vec<Reservation>> = BTreeMap::new();
        for id in self.take_dirty_jobs() {
            let Some(tasks) = self.tasks_to_reserve(now, &id) else {
                continue;
            };
            for reservation in self.reservations(now, &id, tasks) {
                if let Some(holder) = self.zone_scheduler_holder(&reservation.worker) {
                    by_holder.entry(holder).or_default().push(reservation);
                }
            }
        }
        for (to, reservations) in by_holder {
            self.send(&to, Body::Reserve(Box::new(Reserve { reservations })));
        }
    }

    /// The jobs whose demand may have changed; clears their dirty marks.
    fn take_dirty_jobs(&mut self) -> Vec<String> {
        let dirty = std::mem::take(&mut self.scheduler.dirty);
        if std::mem::take(&mut self.scheduler.all_dirty) {
            self.state.unfinished_jobs.iter().cloned().collect()
        } else {
            dirty.into_iter().collect()
        }
    }

    /// The number of a job's tasks for which reservations are due, if any: all tasks in its demand if the reservation
    /// interval has passed, otherwise only those added since the last reservations.
    fn tasks_to_reserve(&mut self, now: Now, id: &str) -> Option<u32> {
        let job = self.state.jobs.get(id)?;
        self.epoch_for(job)?;
        let demand = self.demand(now, id, job);
        let wanted = demand.originals + demand.copies;
        let last = self.scheduler.reserved.get(id).copied().unwrap_or_default();
        let is_interval_over =
            last.at == 0 || now.mono >= last.at + self.settings.bounds.reservation_interval();
        let due = wanted > 0 && (is_interval_over || wanted > last.tasks);
        if !due {
            if wanted < last.tasks {
                self.record_reserved(id, last.at, wanted);
            }
            return None;
        }
        self.record_reserved(id, now.mono, wanted);
        let due_tasks = if is_interval_over {
            wanted
        } else {
            wanted - last.tasks
        };
        Some(due_tasks)
    }

    fn record_reserved(&mut self, id: &str, at: u64, tasks: u32) {
        let last = LastReserved { at, tasks };
        self.scheduler.reserved.insert(id.to_string(), last);
    }

    /// The node that holds the lease of a worker's zone; an unknown worker is looked up under the empty zone name,
    /// which usually has no lease.
    fn zone_scheduler_holder(&self, worker: &str) -> Option<String> {
        let known = self.state.workers.get(worker);
        let zone = known.map_or("", |worker| worker.info.zone.as_str());
        let lease = self.state.current_lease(&zone_lease(zone))?;
        Some(lease.holder.clone())
    }

    /// Reservations for the given number of a job's tasks: on workers near the data first, then on randomly sampled
    /// ones.
    fn reservations(&mut self, now: Now, id: &str, tasks: u32) -> Vec<Reservation> {
        let Some(job) = self.state.jobs.get(id) else {
            return Vec::new();
        };
        let sizes = self.sizes(job, self.fair_share());
        let mut candidates = self.candidates(&waiting_specs(job));
        let probes = u64::from(tasks) * u64::from(self.settings.hopper.probe_ratio);
        let number = probes.min(candidates.len() as u64) as usize;
        sample_to_front(&mut self.rng, &mut candidates, number);
        // The sort is stable: the sampled candidates stay in front, both among local and among remote ones.
        candidates.sort_by_key(|candidate| !candidate.local);
        candidates.truncate(number);
        let reservation = |candidate: Candidate| Reservation {
            job: id.into(),
            worker: candidate.worker,
            scheduler: self.name.clone(),
            remaining: sizes.remaining.max(1),
            size: sizes.size,
            starved: sizes.starved,
            local: candidate.local,
            asked: now.mono,
        };
        candidates.into_iter().map(reservation).collect()
    }

    /// Workers that accept new work and could run one of the tasks.
    fn candidates(&self, specs: &[&TaskSpec]) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (name, worker) in &self.state.workers {
            if !self.state.accepts_new_tasks(name, worker) {
                continue;
            }
            if let Some(local) = locality(worker, specs) {
                let worker = name.clone();
                candidates.push(Candidate { worker, local });
            }
        }
        candidates
    }
}

/// The specifications of a job's waiting tasks whose dependencies are done. Consecutive tasks of one step share a
/// specification, which is listed once.
fn waiting_specs(job: &Job) -> Vec<&TaskSpec> {
    let mut specs: Vec<&TaskSpec> = Vec::new();
    for (i, task) in job.tasks.iter().enumerate() {
        if task.state != TaskState::Waiting || !job.are_dependencies_done(i) {
            continue;
        }
        let spec = job.task_spec(i);
        let repeated = specs.last().is_some_and(|last| std::ptr::eq(*last, spec));
        if !repeated {
            specs.push(spec);
        }
    }
    specs
}

/// Whether the worker is near the data of a task that it could run; none if it could run no task even when idle.
fn locality(worker: &Worker, specs: &[&TaskSpec]) -> Option<bool> {
    let info = &worker.info;
    let fits = |spec: &&&TaskSpec| info.serves(spec) && info.total_resources().covers(spec.needs());
    let mut fitting = specs.iter().filter(fits).peekable();
    fitting.peek()?;
    Some(fitting.any(|spec| info.is_near(&spec.near)))
}

/// Moves `number` randomly sampled candidates to the front, by the first steps of a Fisher-Yates shuffle.
fn sample_to_front(rng: &mut Rng, candidates: &mut [Candidate], number: usize) {
    for i in 0..number {
        let left = candidates.len() - i;
        let j = i + rng.below(left as u64) as usize;
        candidates.swap(i, j);
    }
}
