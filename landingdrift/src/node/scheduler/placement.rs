//! Placement: which of a job's tasks goes to an offered slot.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Job, Placement, Resources, TaskSpec};
use crate::wire::Offer;
use std::collections::BTreeMap;

impl Node {
    /// Which of the job's tasks goes to the offered slot: one that waits, with the rest of its gang where it has one,
    /// and else a spare copy of a slow one.
    pub(super) fn pick(&self, now: Now, job: &Job, m: &Offer) -> Option<Vec<Placement>> {
        if self.is_kept_from(job, &m.worker) {
            return None;
        }
        let info = &self.state.workers.get(&m.worker)?.info;
        let mut waiting = self.startable_tasks(now, &job.spec.id, job);
        waiting.sort_by_key(|i| !info.near(&job.of(*i as usize).near));
        let mut tried: Vec<&TaskSpec> = Vec::new();
        for i in waiting {
            let index = i as usize;
            let spec = job.of(index);
            let in_gang = job.in_gang(index);
            // Of alike tasks one look is enough, unless they are gangs of their own times.
            if !in_gang && tried.iter().any(|t| std::ptr::eq(*t, spec)) {
                continue;
            }
            tried.push(spec);
            let placed = if in_gang {
                self.pick_gang(now, job, i, m)
            } else {
                self.pick_task(job, i, false, m).map(|p| vec![p])
            };
            if placed.is_some() {
                return placed;
            }
        }
        self.slow(now, &job.spec.id, job)
            .into_iter()
            .find_map(|i| self.pick_task(job, i, true, m))
            .map(|p| vec![p])
    }

    /// Whether the worker's resources is kept for the gang of another job, which has waited too long: others make way.
    fn is_kept_from(&self, job: &Job, worker: &str) -> bool {
        let claim = self.sched.claim.as_ref();
        claim.is_some_and(|c| c.job != job.spec.id && c.workers.contains(worker))
    }

    /// The placement of one task in the offered slot, if it fits there.
    fn pick_task(&self, job: &Job, task: u32, copy: bool, m: &Offer) -> Option<Placement> {
        let placement = self.placement(&m.worker, task, copy);
        let holds = offered_room(m).holds(job.of(task as usize).needs());
        let same_cell = placement.zone_epoch == m.epoch;
        let fits = holds && same_cell && self.state.fits(&job.spec.id, &placement).is_ok();
        fits.then_some(placement)
    }

    /// The placements of a whole gang, if they fit now and none is under way. Its first member that is not done speaks
    /// for it.
    fn pick_gang(&self, now: Now, job: &Job, task: u32, m: &Offer) -> Option<Vec<Placement>> {
        if !job.leads_gang(task as usize) {
            return None;
        }
        let id = job.spec.id.as_str();
        let held = self.room_underway();
        let placements = self.place_gang(self.agreed(now), (id, task), &m.worker, &held)?;
        let underway = self.underway_tasks(id);
        let all_new = placements.iter().all(|p| !underway.contains(&p.task));
        all_new.then_some(placements)
    }

    /// The resources on each worker that starts not yet in the cluster state will take.
    fn room_underway(&self) -> BTreeMap<String, Resources> {
        let mut held: BTreeMap<String, Resources> = BTreeMap::new();
        for pending in self.sched.pending.values() {
            for (placement, resources) in pending.placements.iter().zip(&pending.reserved_resources)
            {
                let sum = held.entry(placement.worker.clone()).or_default();
                *sum = sum.plus(*resources);
            }
        }
        held
    }
}

fn offered_room(m: &Offer) -> Resources {
    Resources {
        cpu: m.cpu,
        memory: m.memory,
        accelerators: m.accelerators,
    }
}
