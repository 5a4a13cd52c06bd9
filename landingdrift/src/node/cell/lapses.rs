//! Silence of workers: those that are lost, those whose hold has passed or who have left, and runs that are called back.

use crate::kernel::Now;
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::record::Command;

/// A worker that has been silent too long.
struct Lost {
    worker: String,
    cell_epoch: u64,
}

/// A worker whose hold has passed or who has left: what ran there is dead.
struct Lapsed {
    worker: String,
    cell_epoch: u64,
    sends: Vec<u64>,
    checkpoints: Vec<(u64, String)>,
}

impl Node {
    /// Looks for workers that are silent, gone or lapsed, and offers free slots.
    pub(in crate::node) fn cells_tick(&mut self, now: Now) {
        let lost_after = self.settings.bounds.worker_lost();
        if !self.speaks(now) {
            // Nothing is decided on old news, and silence is not held against workers meanwhile.
            self.cells
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .for_each(|w| {
                    w.last_beat = w.last_beat.max(now.mono.saturating_sub(lost_after / 2))
                });
            return;
        }
        let (lost, lapsed) = self.silent_workers(now);
        lost.into_iter().for_each(|l| self.propose_lost(now, l));
        lapsed.into_iter().for_each(|l| self.propose_lapse(now, l));
        self.offer_all(now);
    }

    /// The workers that are silent too long, and those whose hold has passed or who have left.
    fn silent_workers(&mut self, now: Now) -> (Vec<Lost>, Vec<Lapsed>) {
        let (lost_after, offer) = (
            self.settings.bounds.worker_lost(),
            self.settings.bounds.offer(),
        );
        let (mut lost, mut lapsed) = (Vec::new(), Vec::new());
        let hold = self.settings.bounds.hold_passed();
        for c in self.cells.values_mut() {
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
                    .record
                    .workers
                    .get(k)
                    .is_some_and(|r| !r.sends.is_empty());
                if w.lapsing.is_empty() && (passed || left) && holds && !w.facts_asked {
                    let sends = self.record.workers.get(k).map(|r| r.sends.clone());
                    w.lapsing = sends.unwrap_or_default().into_iter().collect();
                }
                if !w.lapsing.is_empty() && !w.lapse_asked {
                    w.lapse_asked = true;
                    let known = std::mem::take(&mut w.checkpoints);
                    lapsed.push(Lapsed {
                        worker: k.clone(),
                        cell_epoch: c.epoch,
                        sends: w.lapsing.clone(),
                        checkpoints: known.into_iter().collect(),
                    });
                }
                let silent = now.mono.saturating_sub(w.last_beat) > lost_after;
                if silent && !w.facts_asked && self.record.workers.get(k).is_some_and(|r| !r.lost) {
                    w.facts_asked = true;
                    lost.push(Lost {
                        worker: k.clone(),
                        cell_epoch: c.epoch,
                    });
                }
            }
        }
        (lost, lapsed)
    }

    /// Proposes that the sends of a silent worker are unsure.
    fn propose_lost(&mut self, now: Now, lost: Lost) {
        let Lost { worker, cell_epoch } = lost;
        let incarnation = self
            .record
            .workers
            .get(&worker)
            .map_or(0, |w| w.facts.incarnation);
        self.line(format!("worker {worker} is silent: its sends are unsure"));
        self.count("workers_lost", 1);
        self.propose(
            now,
            &Command::Lost {
                worker: worker.clone(),
                incarnation,
                cell_epoch,
            },
            Purpose::Facts { worker },
            self.settings.bounds.call(),
        );
    }

    /// Proposes that what ran on a worker is dead.
    fn propose_lapse(&mut self, now: Now, lapsed: Lapsed) {
        let Lapsed {
            worker,
            cell_epoch,
            sends,
            checkpoints,
        } = lapsed;
        let known = self.record.workers.get(&worker);
        let incarnation = known.map_or(0, |w| w.facts.incarnation);
        self.line(format!(
            "worker {worker} is silent beyond its hold: what ran there is dead"
        ));
        self.count("workers_lapsed", 1);
        let command = Command::Lapse {
            worker: worker.clone(),
            incarnation,
            cell_epoch,
            sends,
            checkpoints,
        };
        let within = self.settings.bounds.call();
        self.propose(now, &command, Purpose::Lapse { worker }, within);
    }

    /// A proposal that a worker's runs are dead has been answered; `ruled` says that the record took it.
    pub(in crate::node) fn lapse_over(&mut self, worker: &str, ruled: bool) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.lapse_asked = false;
                if ruled {
                    w.lapsing.clear();
                }
            });
    }

    /// A worker says that it has left: what ran there is dead in a moment.
    pub(in crate::node) fn left(&mut self, now: Now, worker: &str) {
        let at = now.mono + self.settings.bounds.obey() / 2;
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.left = Some(at);
                w.leaving = true;
            });
    }

    /// Calls sends back that do no good where they are.
    pub(super) fn recall(
        &mut self,
        now: Now,
        worker: &str,
        cell_epoch: u64,
        sends: Vec<u64>,
        blame: bool,
    ) {
        let until = now.mono + self.settings.bounds.cancel_ms;
        let held = self
            .cells
            .values_mut()
            .find_map(|c| c.workers.get_mut(worker));
        held.into_iter().for_each(|w| {
            w.recall_asked = true;
            if blame {
                w.suspect_until = until;
            }
        });
        self.count("sends_recalled", sends.len() as u64);
        if blame {
            self.line(format!(
                "worker {worker} stands still or crawls: {} of its runs are called back",
                sends.len()
            ));
            self.count("workers_suspected", 1);
        }
        let command = Command::Recall {
            worker: worker.into(),
            cell_epoch,
            sends,
            blame,
        };
        let purpose = Purpose::Recall {
            worker: worker.into(),
        };
        self.propose(now, &command, purpose, self.settings.bounds.call());
    }

    /// A proposal to call sends back has been answered.
    pub(in crate::node) fn recall_over(&mut self, worker: &str) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| w.recall_asked = false);
    }
}
