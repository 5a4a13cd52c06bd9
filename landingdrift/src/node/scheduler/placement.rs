//! Selection of a job's tasks for an offered slot.

use crate::node::Node;
use crate::sans_io::Now;
use crate::state::{Job, Placement, Resources, TaskSpec};
use crate::wire::Offer;
use std::collections::BTreeMap;

impl Node {
    /// Selects a waiting task, with the rest of its gang if it has one, or else a speculative copy of a slow task.
    pub(super) fn pick_placements(
        &self,
        now: Now,
        job: &Job,
        offer: &Offer,
    ) -> Option<Vec<Placement>> {
        if self.is_claimed_by_other(now, job, &offer.worker) {
            return None;
        }
        let original = self.pick_waiting(now, job, offer);
        original.or_else(|| self.pick_copy(now, job, offer))
    }

    /// The first waiting task that fits, with the rest of its gang. Tasks whose data is near the worker come first.
    fn pick_waiting(&self, now: Now, job: &Job, offer: &Offer) -> Option<Vec<Placement>> {
        let info = &self.state.workers.get(&offer.worker)?.info;
        let mut waiting = self.startable_tasks(now, &job.spec.id, job);
        // The sort is stable: tasks that are equally near stay in their order.
        waiting.sort_by_key(|task| !info.is_near(&job.task_spec(*task as usize).near));
        let mut tried: Vec<&TaskSpec> = Vec::new();
        for task in waiting {
            let spec = job.task_spec(task as usize);
            let in_gang = job.in_gang(task as usize);
            // Tasks of one step have the same specification, so one try per step is enough, except for gangs.
            if !in_gang && tried.iter().any(|earlier| std::ptr::eq(*earlier, spec)) {
                continue;
            }
            tried.push(spec);
            let placed = if in_gang {
                self.pick_gang(now, job, task, offer)
            } else {
                let placement = self.pick_task(now, job, task, false, offer);
                placement.map(|placement| vec![placement])
            };
            if placed.is_some() {
                return placed;
            }
        }
        None
    }

    /// A speculative copy of the longest running slow task that fits.
    fn pick_copy(&self, now: Now, job: &Job, offer: &Offer) -> Option<Vec<Placement>> {
        let slow = self.slow_tasks(now, &job.spec.id, job).into_iter();
        let mut copies = slow.filter_map(|task| self.pick_task(now, job, task, true, offer));
        copies.next().map(|copy| vec![copy])
    }

    /// Whether the worker is kept free for the overdue gang of another job. The claim does not apply to a job that has
    /// been idle too long while the service has spare capacity.
    fn is_claimed_by_other(&self, now: Now, job: &Job, worker: &str) -> bool {
        let claim = self.scheduler.claim.as_ref();
        let is_claimed =
            claim.is_some_and(|claim| claim.job != job.spec.id && claim.workers.contains(worker));
        if !is_claimed {
            return false;
        }
        let known = self.state.workers.get(worker);
        let has_spare_capacity =
            known.is_some_and(|worker| self.state.has_spare_capacity(&worker.info.service));
        !(has_spare_capacity && job.is_idle_too_long(self.cluster_time(now)))
    }

    /// The placement of one task in the offered slot, if it fits.
    fn pick_task(
        &self,
        now: Now,
        job: &Job,
        task: u32,
        copy: bool,
        offer: &Offer,
    ) -> Option<Placement> {
        let placement = self.placement(&offer.worker, task, copy);
        let has_resources = offered_resources(offer).covers(job.task_spec(task as usize).needs());
        let same_zone_epoch = placement.zone_epoch == offer.epoch;
        if !has_resources || !same_zone_epoch {
            return None;
        }
        let at = self.cluster_time(now);
        let fits = self.state.check_placement(&job.spec.id, &placement, at);
        fits.is_ok().then_some(placement)
    }

    /// The placements of a whole gang, if it fits now and no start of its members is pending. Only the first unfinished
    /// member of a gang triggers its placement, so that each gang is tried once.
    fn pick_gang(&self, now: Now, job: &Job, task: u32, offer: &Offer) -> Option<Vec<Placement>> {
        if !job.leads_gang(task as usize) {
            return None;
        }
        let pending_resources = self.pending_resources();
        let at = self.cluster_time(now);
        let placements = self.place_gang(at, job, task, &offer.worker, &pending_resources)?;
        let pending_tasks = self.pending_tasks(&job.spec.id);
        let none_pending = placements
            .iter()
            .all(|placement| !pending_tasks.contains(&placement.task));
        none_pending.then_some(placements)
    }

    /// The resources, by worker, that pending starts need.
    fn pending_resources(&self) -> BTreeMap<String, Resources> {
        let mut pending_resources: BTreeMap<String, Resources> = BTreeMap::new();
        for pending in self.scheduler.pending.values() {
            let placed = pending.placements.iter().zip(&pending.reserved_resources);
            for (placement, resources) in placed {
                let sum = pending_resources
                    .entry(placement.worker.clone())
                    .or_default();
                *sum = sum.plus(*resources);
            }
        }
        pending_resources
    }
}

fn offered_resources(offer: &Offer) -> Resources {
    Resources {
        cpu: offer.cpu,
        memory: offer.memory,
        accelerators: offer.accelerators,
    }
}
