//! Silence of workers: those that are lost, those whose hold has passed or who have left, and runs that are called back.

use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::Now;
use crate::state::Command;

/// A worker that has been silent too long.
struct Lost {
    worker: String,
    zone_epoch: u64,
}

/// A worker whose hold has passed or who has left: what ran there is dead.
struct Expired {
    worker: String,
    zone_epoch: u64,
    attempts: Vec<u64>,
    checkpoints: Vec<(u64, String)>,
}

impl Node {
    /// Looks for workers that are silent, gone or expired, and offers free slots.
    pub(in crate::node) fn zone_schedulers_tick(&mut self, now: Now) {
        let lost_after = self.settings.bounds.worker_lost();
        if !self.speaks(now) {
            // Nothing is decided on old news, and silence is not held against workers meanwhile.
            self.zone_schedulers
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .for_each(|w| {
                    w.last_heartbeat = w
                        .last_heartbeat
                        .max(now.mono.saturating_sub(lost_after / 2))
                });
            return;
        }
        let (lost, expired) = self.silent_workers(now);
        lost.into_iter().for_each(|l| self.propose_lost(now, l));
        expired
            .into_iter()
            .for_each(|l| self.propose_expiry(now, l));
        self.offer_all(now);
    }

    /// The workers that are silent too long, and those whose hold has passed or who have left.
    fn silent_workers(&mut self, now: Now) -> (Vec<Lost>, Vec<Expired>) {
        let (lost_after, offer) = (
            self.settings.bounds.worker_lost(),
            self.settings.bounds.offer(),
        );
        let (mut lost, mut expired) = (Vec::new(), Vec::new());
        let hold = self.settings.bounds.lease_expired_after();
        for c in self.zone_schedulers.values_mut() {
            for (k, w) in &mut c.workers {
                w.pending.retain(|p| now.mono < p.until);
                if w.episode
                    .as_ref()
                    .is_some_and(|e| now.mono >= e.since + offer)
                {
                    w.episode = None;
                }
                let left = w.left.is_some_and(|at| now.mono >= at);
                let passed = hold > 0 && now.mono.saturating_sub(w.renewed) > hold;
                let holds = self
                    .state
                    .workers
                    .get(k)
                    .is_some_and(|r| !r.attempts.is_empty());
                if w.expiring.is_empty() && (passed || left) && holds && !w.info_proposed {
                    let attempts = self.state.workers.get(k).map(|r| r.attempts.clone());
                    w.expiring = attempts.unwrap_or_default().into_iter().collect();
                }
                if !w.expiring.is_empty() && !w.expiry_proposed {
                    w.expiry_proposed = true;
                    let known = std::mem::take(&mut w.checkpoints);
                    expired.push(Expired {
                        worker: k.clone(),
                        zone_epoch: c.epoch,
                        attempts: w.expiring.clone(),
                        checkpoints: known.into_iter().collect(),
                    });
                }
                let silent = now.mono.saturating_sub(w.last_heartbeat) > lost_after;
                if silent && !w.info_proposed && self.state.workers.get(k).is_some_and(|r| !r.lost)
                {
                    w.info_proposed = true;
                    lost.push(Lost {
                        worker: k.clone(),
                        zone_epoch: c.epoch,
                    });
                }
            }
        }
        (lost, expired)
    }

    /// Proposes that the attempts of a silent worker are unsure.
    fn propose_lost(&mut self, now: Now, lost: Lost) {
        let Lost { worker, zone_epoch } = lost;
        let incarnation = self
            .state
            .workers
            .get(&worker)
            .map_or(0, |w| w.info.incarnation);
        self.line(format!(
            "worker {worker} is silent: the outcome of its attempts is unknown"
        ));
        self.count("workers_lost", 1);
        self.propose(
            now,
            &Command::WorkerLost {
                worker: worker.clone(),
                incarnation,
                zone_epoch,
            },
            Purpose::UpdateWorker { worker },
            self.settings.bounds.call(),
        );
    }

    /// Proposes that what ran on a worker is dead.
    fn propose_expiry(&mut self, now: Now, expired: Expired) {
        let Expired {
            worker,
            zone_epoch,
            attempts,
            checkpoints,
        } = expired;
        let known = self.state.workers.get(&worker);
        let incarnation = known.map_or(0, |w| w.info.incarnation);
        self.line(format!(
            "worker {worker} is silent beyond its lease: what ran there is dead"
        ));
        self.count("workers_lease_expired", 1);
        let command = Command::ExpireAttempts {
            worker: worker.clone(),
            incarnation,
            zone_epoch,
            attempts,
            checkpoints,
        };
        let within = self.settings.bounds.call();
        self.propose(now, &command, Purpose::ExpireAttempts { worker }, within);
    }

    /// A proposal that a worker's runs are dead has been answered; `ruled` says that the cluster state took it.
    pub(in crate::node) fn expiry_done(&mut self, worker: &str, ruled: bool) {
        for w in self.workers_named(worker) {
            w.expiry_proposed = false;
            if ruled {
                w.expiring.clear();
            }
        }
    }

    /// A worker says that it has left: what ran there is dead in a moment.
    pub(in crate::node) fn left(&mut self, now: Now, worker: &str) {
        let at = now.mono + self.settings.bounds.obey() / 2;
        for w in self.workers_named(worker) {
            w.left = Some(at);
            w.leaving = true;
        }
    }

    /// Calls sends back that do no good where they are.
    pub(super) fn reschedule_attempts(
        &mut self,
        now: Now,
        worker: &str,
        zone_epoch: u64,
        attempts: Vec<u64>,
        blame: bool,
    ) {
        let until = now.mono + self.settings.bounds.cancel_ms;
        if let Some(w) = self.workers_named(worker).next() {
            w.reschedule_proposed = true;
            if blame {
                w.suspect_until = until;
            }
        }
        self.count("attempts_rescheduled", attempts.len() as u64);
        if blame {
            self.line(format!(
                "worker {worker} stands still or crawls: {} of its runs are rescheduled",
                attempts.len()
            ));
            self.count("workers_suspected", 1);
        }
        let command = Command::RescheduleAttempts {
            worker: worker.into(),
            zone_epoch,
            attempts,
            blame,
        };
        let purpose = Purpose::RescheduleAttempts {
            worker: worker.into(),
        };
        self.propose(now, &command, purpose, self.settings.bounds.call());
    }

    /// A proposal to call sends back has been answered.
    pub(in crate::node) fn reschedule_done(&mut self, worker: &str) {
        for w in self.workers_named(worker) {
            w.reschedule_proposed = false;
        }
    }
}
