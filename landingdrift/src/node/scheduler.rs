//! The scheduler of the queues this node owns. Hopper's scheduler side.

use super::gangs;
use super::propose::Purpose;
use super::Node;
use crate::sans_io::Now;
use crate::state::derive::Sizing;
use crate::state::{
    queue_lease, zone_lease, AttemptState, Command, Job, Placement, Resources, TaskSpec, TaskState,
};
use crate::wire::{
    Body, Offer, OfferOutcome, OfferResponse, RequestToken, Reservation, Reserve, Sizes,
};
use std::collections::{BTreeMap, BTreeSet};

/// What the scheduler keeps beside the cluster state.
#[derive(Default)]
pub struct Scheduler {
    /// Jobs that changed since they were last looked at.
    pub dirty: BTreeSet<String>,
    pub all_dirty: bool,
    /// When a job last placed reservations, and for how many tasks.
    reserved: BTreeMap<String, (u64, u32)>,
    /// Starts proposed and not yet seen in the watch.
    pending: BTreeMap<u64, Pending>,
    claim: Option<gangs::Claim>,
    /// Unsatisfied jobs, the smallest first, as of the last full look.
    ranked: Vec<String>,
    /// Jobs among which the slots are shared.
    runnable: usize,
    next_full: u64,
}

/// So many of the smallest jobs are looked at when a refusal is to name one.
const NAMED: usize = 8;

struct Pending {
    job: String,
    placements: Vec<Placement>,
    reserved_resources: Vec<Resources>,
    until: u64,
    /// The place of the entry, once it is known.
    log_index: u64,
}

/// What a job wants of a slot now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wants {
    originals: u32,
    copies: u32,
}

impl Scheduler {
    /// A zone scheduler has changed hands and its new holder has no reservations: they are placed at once, not when they are due.
    pub fn reserve_anew(&mut self) {
        self.reserved.clear();
    }
}

impl Node {
    fn owns(&self, queue: &str) -> Option<u64> {
        self.epoch(&queue_lease(queue))
    }

    pub(super) fn scheduler_tick(&mut self, now: Now) {
        let log_index = self.state.applied_index;
        self.sched
            .pending
            .retain(|_, p| now.mono < p.until && (p.log_index == 0 || p.log_index > log_index));
        if now.mono >= self.sched.next_full {
            self.sched.next_full = now.mono + self.settings.bounds.heartbeat();
            self.sched.all_dirty = true;
            let patience = 2 * self.settings.bounds.reserve();
            self.sched.claim = gangs::claim(&self.state, self.agreed(now), patience);
            self.sched.runnable = self.state.runnable(self.agreed(now));
            self.sched.ranked = self.rank();
            let open = &self.state.open;
            self.sched.reserved.retain(|j, _| open.contains(j));
        }
        self.schedule(now);
    }

    /// Places reservations for what waits: the probe ratio's number for each task, on workers that fit.
    pub(super) fn schedule(&mut self, now: Now) {
        if !self.fresh(now) {
            return;
        }
        let dirty = std::mem::take(&mut self.sched.dirty);
        let ids: Vec<String> = if std::mem::take(&mut self.sched.all_dirty) {
            self.state.open.iter().cloned().collect()
        } else {
            dirty.into_iter().collect()
        };
        let mut out: BTreeMap<String, Vec<Reservation>> = BTreeMap::new();
        for id in ids {
            let Some(job) =
                self.state.jobs.get(&id).filter(|j| {
                    !j.state.ended() && !j.cancel && self.owns(&j.spec.queue).is_some()
                })
            else {
                continue;
            };
            let wants = self.wants(now, &id, job);
            let number = wants.originals + wants.copies;
            let (last, before) = self.sched.reserved.get(&id).copied().unwrap_or((0, 0));
            let again = now.mono >= last + self.settings.bounds.reserve() || last == 0;
            if number == 0 || !(number > before || again) {
                if number < before {
                    self.sched.reserved.insert(id, (last, number));
                }
                continue;
            }
            let fresh = if again { number } else { number - before };
            self.sched.reserved.insert(id.clone(), (now.mono, number));
            for r in self.reservations(now, &id, fresh) {
                let zone = self
                    .state
                    .workers
                    .get(&r.worker)
                    .map_or(String::new(), |w| w.info.zone.clone());
                let holder = self
                    .state
                    .holder(&zone_lease(&zone))
                    .map(|g| g.holder.clone());
                holder
                    .into_iter()
                    .for_each(|h| out.entry(h).or_default().push(r.clone()));
            }
        }
        for (to, reservations) in out {
            self.send(&to, Body::Reserve(Box::new(Reserve { reservations })));
        }
    }

    fn reservations(&mut self, now: Now, id: &str, tasks: u32) -> Vec<Reservation> {
        let Some(job) = self.state.jobs.get(id) else {
            return Vec::new();
        };
        let sizes = self.sizes(job, self.floor());
        let mut needs: Vec<&TaskSpec> = Vec::new();
        for (i, t) in job.tasks.iter().enumerate() {
            let open = t.state == TaskState::Waiting && job.reached(i);
            if open && needs.last().is_none_or(|n| !std::ptr::eq(*n, job.of(i))) {
                needs.push(job.of(i));
            }
        }
        let mut fit: Vec<(String, bool)> = self
            .state
            .workers
            .iter()
            .filter(|(k, w)| !w.lost && !w.info.leaving && self.state.open(&w.info.zone, k))
            .filter_map(|(k, w)| {
                let fits =
                    |t: &&&TaskSpec| w.info.serves(t) && w.info.total_resources().holds(t.needs());
                let own: Vec<&&TaskSpec> = needs.iter().filter(fits).collect();
                let local = own.iter().any(|t| w.info.near(&t.near));
                (!own.is_empty()).then(|| (k.clone(), local))
            })
            .collect();
        let number = (u64::from(tasks) * u64::from(self.settings.hopper.probe_ratio))
            .min(fit.len() as u64) as usize;
        // Workers near the data first, then drawn at random.
        for i in 0..number {
            let j = i + self.rng.below((fit.len() - i) as u64) as usize;
            fit.swap(i, j);
        }
        let (near, far): (Vec<_>, Vec<_>) = fit.into_iter().partition(|(_, local)| *local);
        near.into_iter()
            .chain(far)
            .take(number)
            .map(|(worker, local)| Reservation {
                job: id.into(),
                worker,
                scheduler: self.name.clone(),
                remaining: sizes.remaining.max(1),
                size: sizes.size,
                starved: sizes.starved,
                local,
                asked: now.mono,
            })
            .collect()
    }

    /// Sends of a job that were proposed and are not yet in the cluster state.
    fn underway<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Placement> + 'a {
        self.sched
            .pending
            .values()
            .filter(move |p| p.job == job)
            .flat_map(|p| p.placements.iter())
    }

    fn wants(&self, now: Now, id: &str, job: &Job) -> Wants {
        let agreed = self.agreed(now);
        let pending: BTreeSet<u32> = self.underway(id).map(|p| p.task).collect();
        let originals = (0..job.tasks.len() as u32)
            .filter(|i| !pending.contains(i) && self.state.may_start(id, *i, false, agreed).is_ok())
            .count() as u32;
        Wants {
            originals,
            copies: if originals == 0 {
                self.slow(now, id, job).len() as u32
            } else {
                0
            },
        }
    }

    /// Running attempts that are worth a spare copy, the slowest first: what is left would take longer than a new run.
    fn slow(&self, now: Now, id: &str, job: &Job) -> Vec<u32> {
        let queue = &job.spec.queue;
        let Some(median) = self.state.median(queue) else {
            return Vec::new();
        };
        let agreed = self.agreed(now);
        let pending: BTreeSet<u32> = self.underway(id).map(|p| p.task).collect();
        let mut slow: Vec<(u64, u32)> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(i, _)| job.of(*i).may_repeat && !pending.contains(&(*i as u32)))
            .filter_map(|(i, t)| {
                t.live()
                    .find(|s| s.state == AttemptState::Running && !s.stop)
                    .map(|s| (agreed.saturating_sub(s.started), i as u32))
            })
            .filter(|(ran, i)| {
                *ran as f64 > self.settings.hopper.slow_factor * median
                    && self.state.may_start(id, *i, true, agreed).is_ok()
            })
            .collect();
        slow.sort_by(|a, b| b.cmp(a));
        slow.into_iter().map(|(_, i)| i).collect()
    }

    fn weight(&self, job: &Job, s: &Sizing) -> f64 {
        // Larger priority counts as smaller size.
        let priority = self.state.queue(&job.spec.queue).map_or(0, |q| q.priority);
        s.rank / (1.0 + f64::from(priority))
    }

    /// A job's sizes, and the slots it holds or is about to.
    fn standing(&self, job: &Job) -> (Sizing, f64) {
        let s = self.state.sizing(job);
        let occupied = f64::from(s.occupied) + self.underway(&job.spec.id).count() as f64;
        (s, occupied)
    }

    /// What is told of a job, given the least share of every one.
    fn sizes(&self, job: &Job, floor: f64) -> Sizes {
        let (s, occupied) = self.standing(job);
        Sizes {
            job: job.spec.id.clone(),
            scheduler: self.name.clone(),
            remaining: s.remaining,
            size: self.weight(job, &s),
            starved: occupied < floor && s.remaining > 0,
            unsatisfied: occupied < s.size,
        }
    }

    /// The least share of every job, in whole slots of the mean task's resources.
    fn floor(&self) -> f64 {
        let jobs = self.sched.runnable.max(1) as f64;
        let (attempts, used) = self
            .state
            .workers
            .values()
            .fold((0usize, 0u32), |(n, u), w| {
                (n + w.attempts.len(), u.saturating_add(w.used.cpu))
            });
        let mean = if attempts == 0 {
            1.0
        } else {
            (f64::from(used) / attempts as f64).max(1.0)
        };
        ((1.0 - self.settings.hopper.epsilon) * f64::from(self.state.total_cpu()) / mean / jobs)
            .floor()
    }

    pub(super) fn on_offer(&mut self, now: Now, from: &str, m: Offer) {
        let response = self.consider(now, from, &m);
        self.send(from, Body::OfferResponse(Box::new(response)));
    }

    fn consider(&mut self, now: Now, from: &str, m: &Offer) -> OfferResponse {
        let refuse = |gone: bool, sizes: Vec<Sizes>| OfferResponse {
            token: m.token,
            worker: m.worker.clone(),
            accepted: false,
            cpu: 0,
            memory: 0,
            accelerators: 0,
            gone,
            sizes,
        };
        let Some((job, epoch)) = self
            .state
            .jobs
            .get(&m.job)
            .filter(|j| !j.state.ended() && !j.cancel && self.fresh(now))
            .and_then(|j| self.owns(&j.spec.queue).map(|e| (j, e)))
        else {
            return refuse(true, self.smallest_unsatisfied(now, m));
        };
        let floor = self.floor();
        let (s, occupied) = self.standing(job);
        let willing = !m.refusable || occupied < s.size.max(floor).max(1.0);
        let picked = willing.then(|| self.pick(now, job, m)).flatten();
        let Some(placements) = picked else {
            let wants = self.wants(now, &m.job, job);
            let mut all = self.smallest_unsatisfied(now, m);
            all.push(Sizes {
                unsatisfied: false,
                ..self.sizes(job, floor)
            });
            return refuse(wants == Wants::default(), all);
        };
        let reserved_resources: Vec<Resources> = placements
            .iter()
            .map(|p| job.of(p.task as usize).needs())
            .collect();
        let resources = placements
            .iter()
            .zip(&reserved_resources)
            .filter(|(p, _)| p.worker == m.worker)
            .fold(Resources::default(), |sum, (_, r)| sum.plus(*r));
        let within = self.settings.bounds.offer() * 2;
        let command = Command::StartAttempts {
            job: m.job.clone(),
            owner_epoch: epoch,
            placements: placements.clone(),
        };
        let purpose = Purpose::Start {
            offer: m.token,
            zone_scheduler: from.into(),
            worker: m.worker.clone(),
        };
        let copy = placements.iter().any(|p| p.copy);
        let token = self.propose(now, &command, purpose, within);
        self.sched.pending.insert(
            token,
            Pending {
                job: m.job.clone(),
                placements,
                reserved_resources,
                until: now.mono + within,
                log_index: 0,
            },
        );
        self.count("placements_proposed", 1);
        self.count("copies_proposed", u64::from(copy));
        let sizes = self
            .state
            .jobs
            .get(&m.job)
            .map(|j| self.sizes(j, floor))
            .into_iter()
            .collect();
        OfferResponse {
            token: m.token,
            worker: m.worker.clone(),
            accepted: true,
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
            gone: false,
            sizes,
        }
    }

    /// Which of the job's tasks goes to the offered slot.
    fn pick(&self, now: Now, job: &Job, m: &Offer) -> Option<Vec<Placement>> {
        let id = job.spec.id.as_str();
        // Room is kept for a gang that has waited too long; others make way.
        if self
            .sched
            .claim
            .as_ref()
            .is_some_and(|c| c.job != id && c.workers.contains(&m.worker))
        {
            return None;
        }
        let agreed = self.agreed(now);
        let pending: BTreeSet<u32> = self.underway(id).map(|p| p.task).collect();
        let mut waiting: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|i| !pending.contains(i) && self.state.may_start(id, *i, false, agreed).is_ok())
            .collect();
        let info = self.state.workers.get(&m.worker).map(|w| &w.info)?;
        waiting.sort_by_key(|i| !info.near(&job.of(*i as usize).near));
        let offered = Resources {
            cpu: m.cpu,
            memory: m.memory,
            accelerators: m.accelerators,
        };
        let holds = |i: u32| offered.holds(job.of(i as usize).needs());
        let mut tried: Vec<&TaskSpec> = Vec::new();
        for i in waiting {
            // Of alike tasks one look is enough, unless they are gangs of their own times.
            let spec = job.of(i as usize);
            if !job.in_gang(i as usize) && tried.iter().any(|t| std::ptr::eq(*t, spec)) {
                continue;
            }
            tried.push(spec);
            if !job.in_gang(i as usize) {
                let p = self.placement(&m.worker, i, false);
                if holds(i) && p.zone_epoch == m.epoch && self.state.fits(id, &p).is_ok() {
                    return Some(vec![p]);
                }
            } else {
                // Its first member that is not done speaks for the gang.
                if !job.leads_gang(i as usize) {
                    continue;
                }
                let mut held: BTreeMap<String, Resources> = BTreeMap::new();
                self.sched
                    .pending
                    .values()
                    .flat_map(|p| p.placements.iter().zip(&p.reserved_resources))
                    .for_each(|(p, r)| {
                        let sum = held.entry(p.worker.clone()).or_default();
                        *sum = sum.plus(*r);
                    });
                let placed = self
                    .place_gang(agreed, (id, i), &m.worker, &held)
                    .filter(|all| all.iter().all(|p| !pending.contains(&p.task)));
                if placed.is_some() {
                    return placed;
                }
            }
        }
        self.slow(now, id, job)
            .into_iter()
            .map(|i| self.placement(&m.worker, i, true))
            .find(|p| holds(p.task) && p.zone_epoch == m.epoch && self.state.fits(id, p).is_ok())
            .map(|p| vec![p])
    }

    /// The smallest unsatisfied job of this scheduler that could use the slot.
    fn smallest_unsatisfied(&self, now: Now, m: &Offer) -> Vec<Sizes> {
        // The order of a moment ago is good enough to look at the smallest few as they are now.
        let floor = self.floor();
        self.sched
            .ranked
            .iter()
            .filter(|id| **id != m.job)
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|j| !j.state.ended() && !j.cancel && self.owns(&j.spec.queue).is_some())
            .take(NAMED)
            .map(|j| (j, self.sizes(j, floor)))
            .find(|(j, s)| s.unsatisfied && self.pick(now, j, m).is_some())
            .map(|(_, s)| s)
            .into_iter()
            .collect()
    }

    /// The jobs of this scheduler that want more slots, the smallest first.
    fn rank(&self) -> Vec<String> {
        let floor = self.floor();
        let mut of: Vec<Sizes> = self
            .state
            .open
            .iter()
            .filter_map(|id| self.state.jobs.get(id))
            .filter(|j| !j.cancel && self.owns(&j.spec.queue).is_some())
            .map(|j| self.sizes(j, floor))
            .filter(|s| s.unsatisfied)
            .collect();
        of.sort_by(|a, b| a.size.total_cmp(&b.size));
        of.into_iter().map(|s| s.job).collect()
    }

    pub(super) fn start_ruled(
        &mut self,
        token: u64,
        offer: RequestToken,
        zone_scheduler: &str,
        worker: &str,
        log_index: u64,
        placed: bool,
    ) {
        if placed && log_index > self.state.applied_index {
            self.sched
                .pending
                .get_mut(&token)
                .into_iter()
                .for_each(|p| p.log_index = log_index);
        } else {
            self.sched.pending.remove(&token);
        }
        if !placed {
            self.count("placements_refused", 1);
            self.send(
                zone_scheduler,
                Body::OfferOutcome(Box::new(OfferOutcome {
                    token: offer,
                    worker: worker.into(),
                    placed,
                })),
            );
        }
    }
}
