use super::ApplyResult;
use crate::state::{
    queue_lease, zone_lease, AttemptState, ClusterState, Placement, Rejection, Resources, Send,
    TaskState,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

impl ClusterState {
    /// Places tasks on workers, all or none. Every rule that a cluster state can check is checked here.
    pub(super) fn start(
        &mut self,
        id: &str,
        owner_epoch: u64,
        placements: &[Placement],
    ) -> ApplyResult {
        let job = self.jobs.get(id).ok_or_else(|| Rejection::Unknown {
            what: format!("job '{id}'"),
        })?;
        let grant_ok = self
            .holder(&queue_lease(&job.spec.queue))
            .is_some_and(|g| g.epoch == owner_epoch);
        grant_ok.then_some(()).ok_or(Rejection::StaleLease)?;
        (!job.state.ended()).then_some(()).ok_or(Rejection::Ended)?;
        (!job.cancel).then_some(()).ok_or(Rejection::Cancelled)?;
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for (n, p) in placements.iter().enumerate() {
            (!placements[..n].iter().any(|q| q.task == p.task))
                .then_some(())
                .ok_or(Rejection::AlreadyRunning)?;
            self.may_start(id, p.task, p.copy, self.at)?;
            self.fits(id, p)?;
            let sum = taken.entry(p.worker.as_str()).or_default();
            *sum = sum.plus(job.of(p.task as usize).needs());
            let free = self
                .workers
                .get(&p.worker)
                .map_or(Resources::default(), |w| {
                    w.info.total_resources().less(w.used)
                });
            free.holds(*sum)
                .then_some(())
                .ok_or(Rejection::InsufficientResources)?;
            self.apart(id, p, &placements[..n])?;
        }
        self.gangs_whole(id, placements)?;
        // Members of a gang share the number of their run and the checkpoint they go on from.
        let runs: Vec<(u32, String)> = placements
            .iter()
            .map(|p| self.next_run(id, p.task))
            .collect();
        let numbers: Vec<u64> = placements
            .iter()
            .zip(runs)
            .map(|(p, run)| self.enter(id, p, run))
            .collect();
        self.settle(id);
        Ok(json!({"sends": numbers}))
    }

    /// Whether a task may get a send at a moment, leaving the worker aside.
    pub fn may_start(&self, id: &str, no: u32, copy: bool, at: u64) -> Result<(), Rejection> {
        let (job, task) = self.task(id, no).ok_or_else(|| Rejection::Unknown {
            what: format!("task {no}"),
        })?;
        (task.state == TaskState::Waiting)
            .then_some(())
            .ok_or(Rejection::Ended)?;
        let spec = job.of(no as usize);
        let queue = self
            .queue(&job.spec.queue)
            .ok_or_else(|| Rejection::Unknown {
                what: format!("queue '{}'", job.spec.queue),
            })?;
        (at >= job.due(no as usize))
            .then_some(())
            .ok_or(Rejection::NotDue)?;
        job.reached(no as usize)
            .then_some(())
            .ok_or(Rejection::Waiting)?;
        let (mut sure, mut unsure) = (0u32, 0u32);
        task.live().for_each(|s| {
            if s.state == AttemptState::Unsure {
                unsure += 1
            } else {
                sure += 1
            }
        });
        let repeat = if spec.may_repeat {
            // A first or next try, or one copy beside one run.
            sure != u32::from(copy) || (copy && job.in_gang(no as usize))
        } else {
            // Never again while a attempt may be running, and no copies at all.
            copy || sure + unsure > 0
        };
        (!repeat).then_some(()).ok_or(Rejection::AlreadyRunning)?;
        // What may be running may fail, or has failed where nobody saw it: it counts as a try.
        (spec.long_running || task.failures + sure + unsure < queue.max_attempts)
            .then_some(())
            .ok_or(Rejection::AttemptsExhausted)?;
        if !copy {
            return Ok(());
        }
        let count_votes = self.queues.get(&job.spec.queue);
        let (running, copies) = count_votes.map_or((0, 0), |t| (t.running, t.copies));
        let budget = (running * queue.speculation_percent).div_ceil(100);
        (copies < budget && !self.allowance_spent(&job.spec.queue))
            .then_some(())
            .ok_or(Rejection::SpeculationBudgetExhausted)
    }

    /// Whether a worker may get a task of a job.
    pub fn fits(&self, id: &str, p: &Placement) -> Result<(), Rejection> {
        let unfit = |why: &str| Rejection::UnsuitableWorker { why: why.into() };
        let job = self.jobs.get(id).ok_or_else(|| Rejection::Unknown {
            what: format!("job '{id}'"),
        })?;
        let known = job.tasks.get(p.task as usize);
        known.map(|_| ()).ok_or_else(|| Rejection::Unknown {
            what: format!("task {}", p.task),
        })?;
        let spec = job.of(p.task as usize);
        let w = self
            .workers
            .get(&p.worker)
            .ok_or_else(|| Rejection::Unknown {
                what: format!("worker '{}'", p.worker),
            })?;
        let cell_ok = self
            .holder(&zone_lease(&w.info.zone))
            .is_some_and(|g| g.epoch == p.zone_epoch);
        cell_ok.then_some(()).ok_or(Rejection::StaleLease)?;
        (w.info.incarnation == p.incarnation)
            .then_some(())
            .ok_or_else(|| unfit("it has started anew"))?;
        (!w.lost).then_some(()).ok_or_else(|| unfit("it is lost"))?;
        (!w.info.leaving)
            .then_some(())
            .ok_or_else(|| unfit("it is leaving"))?;
        self.open(&w.info.zone, &p.worker)
            .then_some(())
            .ok_or_else(|| unfit("its zone or itself is drained"))?;
        (w.info.service == spec.service)
            .then_some(())
            .ok_or_else(|| unfit("another service"))?;
        spec.labels
            .iter()
            .all(|l| w.info.labels.contains(l))
            .then_some(())
            .ok_or_else(|| unfit("a label is missing"))?;
        (w.probation == 0 || w.attempts.is_empty())
            .then_some(())
            .ok_or_else(|| unfit("on probation, one at a time"))?;
        let again = job.tasks[p.task as usize]
            .live()
            .any(|s| s.worker == p.worker);
        (!again).then_some(()).ok_or(Rejection::AlreadyRunning)?;
        let most = spec.anti_affinity;
        (most == 0 || job.beside(p.task as usize, &p.worker) < most)
            .then_some(())
            .ok_or_else(|| unfit("as many tasks of the step are there as it allows"))
    }

    /// All members of a gang that are not done start in one entry, or none.
    fn gangs_whole(&self, id: &str, placements: &[Placement]) -> Result<(), Rejection> {
        let job = &self.jobs[id];
        let placed: BTreeSet<usize> = placements.iter().map(|p| p.task as usize).collect();
        let mut seen = BTreeSet::new();
        let whole = placements.iter().all(|p| {
            let members = job.gang(p.task as usize);
            // One look at a gang is enough.
            members.first().is_none_or(|first| !seen.insert(*first))
                || members
                    .iter()
                    .all(|m| placed.contains(m) || job.tasks[*m].state == TaskState::Done)
        });
        whole.then_some(()).ok_or(Rejection::GangIncomplete)
    }

    /// No more tasks of a step than it allows come to one worker.
    fn apart(&self, id: &str, p: &Placement, before: &[Placement]) -> Result<(), Rejection> {
        let job = &self.jobs[id];
        let most = job.of(p.task as usize).anti_affinity;
        if most == 0 {
            return Ok(());
        }
        let step = job.tasks[p.task as usize].step;
        let same = |q: &&Placement| q.worker == p.worker && job.tasks[q.task as usize].step == step;
        let with = before.iter().filter(same).count() as u32;
        (job.beside(p.task as usize, &p.worker) + with < most)
            .then_some(())
            .ok_or_else(|| Rejection::UnsuitableWorker {
                why: "as many tasks of the step are there as it allows".into(),
            })
    }

    fn next_run(&self, id: &str, task: u32) -> (u32, String) {
        let job = &self.jobs[id];
        let last = |i: usize| job.tasks[i].attempts.last().map_or(0, |s| s.run);
        let own = task as usize;
        let run = job.gang(own).into_iter().map(last).max();
        let run = run.unwrap_or_else(|| last(own)) + 1;
        (run, job.tasks[own].checkpoint.clone())
    }

    fn enter(&mut self, id: &str, p: &Placement, (run, checkpoint): (u32, String)) -> u64 {
        let no = self.next_attempt;
        self.next_attempt += 1;
        let at = self.at;
        let job = self.jobs.get_mut(id).expect("checked before entering");
        let resources = job.of(p.task as usize).needs();
        let attempt = Send {
            no,
            run,
            checkpoint,
            worker: p.worker.clone(),
            incarnation: p.incarnation,
            copy: p.copy,
            ordered: at,
            ..Send::default()
        };
        job.tasks[p.task as usize].attempts.push(attempt);
        self.live.insert(no, (id.to_string(), p.task));
        let count_votes = self.queues.entry(job.spec.queue.clone()).or_default();
        count_votes.running += 1;
        count_votes.copies += u32::from(p.copy);
        count_votes.copies_ever += u64::from(p.copy);
        self.workers.get_mut(&p.worker).iter_mut().for_each(|w| {
            w.used = w.used.plus(resources);
            w.attempts.insert(no);
        });
        no
    }
}
