use super::ApplyResult;
use crate::state::{
    zone_lease, AttemptState, ClusterState, EndReport, Outcome, Rejection, Worker, WorkerInfo,
};
use serde_json::Value;
use std::collections::BTreeSet;

/// Ends looked at when a worker is judged.
const JUDGED: usize = 12;
/// Good ends in a row that end a probation.
const REDEEMED: u32 = 3;

impl ClusterState {
    pub(super) fn info(&mut self, info: &WorkerInfo, zone_epoch: u64) -> ApplyResult {
        let cell_ok = self
            .holder(&zone_lease(&info.zone))
            .is_some_and(|g| g.epoch == zone_epoch);
        cell_ok.then_some(()).ok_or(Rejection::StaleLease)?;
        let at = self.at;
        self.displace(info);
        let w = self
            .workers
            .entry(info.worker.clone())
            .or_insert_with(|| Worker {
                since: at,
                ..Worker::default()
            });
        (info.incarnation >= w.info.incarnation)
            .then_some(())
            .ok_or(Rejection::UnsuitableWorker {
                why: "a newer incarnation is known".into(),
            })?;
        let anew = info.incarnation > w.info.incarnation && !w.attempts.is_empty();
        w.info = info.clone();
        w.lost = false;
        let attempts: Vec<u64> = w.attempts.iter().copied().collect();
        if anew {
            attempts
                .iter()
                .for_each(|no| self.restarted(*no, info.incarnation));
        }
        // What has not started is called back from a worker that may not have it any more.
        let closed = info.leaving || !self.open(&info.zone, &info.worker);
        let over = self
            .workers
            .get(&info.worker)
            .is_some_and(|w| !info.total_resources().holds(w.used));
        let fits = |(job, i): &(String, u32)| {
            self.jobs
                .get(job)
                .is_some_and(|j| info.serves(j.of(*i as usize)))
        };
        let back: Vec<u64> = attempts
            .into_iter()
            .filter(|no| {
                self.attempt(*no)
                    .is_some_and(|(_, _, s)| s.state == AttemptState::Ordered)
            })
            .filter(|no| closed || over || !self.live.get(no).is_some_and(fits))
            .collect();
        back.into_iter().for_each(|no| self.want_stop(no));
        Ok(Value::Null)
    }

    /// Whatever stood at the worker's address before it is gone, and all that ran there.
    fn displace(&mut self, info: &WorkerInfo) {
        if info.address.is_empty() || self.workers.contains_key(&info.worker) {
            return;
        }
        let old: Vec<String> = self
            .workers
            .iter()
            .filter(|(k, w)| w.info.address == info.address && **k != info.worker)
            .map(|(k, _)| k.clone())
            .collect();
        old.iter().for_each(|k| self.bury(k));
    }

    /// Nothing of what a worker ran runs any more, and it gets nothing new until it is heard again.
    fn bury(&mut self, worker: &str) {
        let at = self.at;
        let attempts = self.workers.get(worker).map(|w| w.attempts.clone());
        self.end_expired(attempts.unwrap_or_default());
        self.workers.get_mut(worker).iter_mut().for_each(|w| {
            w.lost = true;
            w.since = at;
        });
    }

    fn end_expired(&mut self, attempts: BTreeSet<u64>) {
        for no in attempts {
            let job = self.live.get(&no).map(|(id, _)| id.clone());
            self.close(no, AttemptState::Expired, 0, "its worker is gone");
            job.iter().for_each(|id| self.settle(id));
        }
    }

    pub(super) fn expire_attempts(
        &mut self,
        (worker, incarnation): (&str, u64),
        zone_epoch: u64,
        attempts: &[u64],
        checkpoints: &[(u64, String)],
    ) -> ApplyResult {
        let w = self.workers.get(worker).ok_or(Rejection::Unknown {
            what: format!("worker '{worker}'"),
        })?;
        let cell_ok = self
            .holder(&zone_lease(&w.info.zone))
            .is_some_and(|g| g.epoch == zone_epoch);
        (cell_ok && w.info.incarnation == incarnation)
            .then_some(())
            .ok_or(Rejection::StaleLease)?;
        checkpoints
            .iter()
            .for_each(|(no, text)| self.keep_checkpoint(*no, text));
        // A copy that comes late ends none but those that it names.
        let here = &self.workers[worker].attempts;
        let own = attempts.iter().copied().filter(|no| here.contains(no));
        let own: BTreeSet<u64> = own.collect();
        self.end_expired(own);
        Ok(Value::Null)
    }

    pub(super) fn reschedule_attempts(
        &mut self,
        worker: &str,
        zone_epoch: u64,
        attempts: &[u64],
        blame: bool,
    ) -> ApplyResult {
        let w = self.workers.get_mut(worker).ok_or(Rejection::Unknown {
            what: format!("worker '{worker}'"),
        })?;
        let lease = zone_lease(&w.info.zone);
        let cell_ok = self
            .leases
            .get(&lease)
            .is_some_and(|g| g.epoch == zone_epoch);
        cell_ok.then_some(()).ok_or(Rejection::StaleLease)?;
        if blame {
            w.probation = REDEEMED;
            w.ends.clear();
        }
        let own: Vec<u64> = attempts
            .iter()
            .copied()
            .filter(|no| w.attempts.contains(no))
            .collect();
        own.into_iter().for_each(|no| self.want_stop(no));
        Ok(Value::Null)
    }

    /// Keeps the newest checkpoint of a run; in a gang that ends as one it is good for every member.
    fn keep_checkpoint(&mut self, no: u64, text: &str) {
        let Some((id, i)) = self.live.get(&no).filter(|_| !text.is_empty()) else {
            return;
        };
        self.jobs.get_mut(id).into_iter().for_each(|job| {
            let mut of = job.gang(*i as usize);
            of.push(*i as usize);
            of.into_iter()
                .for_each(|m| job.tasks[m].checkpoint = text.into());
        });
    }

    /// The worker's process is a new one: what ran in the old one runs no more, but may have finished well.
    fn restarted(&mut self, no: u64, incarnation: u64) {
        let Some((id, i)) = self.live.get(&no).cloned() else {
            return;
        };
        let old = self
            .attempt(no)
            .is_some_and(|(_, _, s)| s.incarnation < incarnation);
        let may_repeat = self
            .jobs
            .get(&id)
            .is_some_and(|j| j.of(i as usize).may_repeat);
        if old && may_repeat {
            self.close(
                no,
                AttemptState::Failed,
                0,
                "the worker started anew while it ran",
            );
            self.settle(&id);
        } else if old {
            self.doubt(no);
        }
    }

    /// Makes a attempt unsure.
    fn doubt(&mut self, no: u64) {
        let at = self.at;
        let Some((id, i)) = self.live.get(&no).cloned() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tasks[i as usize]
            .attempts
            .iter_mut()
            .filter(|s| s.no == no && s.state != AttemptState::Unsure)
            .for_each(|s| {
                s.state = AttemptState::Unsure;
                // While unsure, `ended` is the moment the doubt began.
                s.ended = at;
            });
        // The others of a gang don't wait for one that may never come.
        self.reschedule_gang(&id, i);
    }

    pub(super) fn lost(&mut self, worker: &str, incarnation: u64, zone_epoch: u64) -> ApplyResult {
        let w = self.workers.get(worker).ok_or(Rejection::Unknown {
            what: format!("worker '{worker}'"),
        })?;
        let cell_ok = self
            .holder(&zone_lease(&w.info.zone))
            .is_some_and(|g| g.epoch == zone_epoch);
        (cell_ok && w.info.incarnation == incarnation)
            .then_some(())
            .ok_or(Rejection::StaleLease)?;
        let attempts: BTreeSet<u64> = w.attempts.clone();
        attempts.into_iter().for_each(|no| self.doubt(no));
        let at = self.at;
        self.workers.get_mut(worker).iter_mut().for_each(|w| {
            w.lost = true;
            w.since = at;
        });
        Ok(Value::Null)
    }

    pub(super) fn report(
        &mut self,
        worker: &str,
        incarnation: u64,
        running: &[u64],
        ends: &[EndReport],
    ) -> ApplyResult {
        let at = self.at;
        // A word that something runs may come late: after its worker was lost or started anew it says nothing.
        let known = self.workers.get(worker);
        let heard = known.is_some_and(|w| !w.lost && w.info.incarnation == incarnation);
        for no in running.iter().filter(|_| heard) {
            let ours = self
                .attempt(*no)
                .is_some_and(|(_, _, s)| s.worker == worker && s.incarnation == incarnation);
            if let Some((id, i)) = self.live.get(no).cloned().filter(|_| ours) {
                self.jobs
                    .get_mut(&id)
                    .iter_mut()
                    .flat_map(|j| j.tasks[i as usize].attempts.iter_mut())
                    .filter(|s| s.no == *no)
                    .for_each(|s| {
                        s.state = AttemptState::Running;
                        s.ended = 0;
                        s.started = if s.started == 0 { at } else { s.started };
                    });
                self.settle(&id);
            }
        }
        for e in ends {
            let ours = self
                .attempt(e.no)
                .is_some_and(|(_, _, s)| s.worker == worker);
            let Some((id, _)) = self.live.get(&e.no).cloned().filter(|_| ours) else {
                continue;
            };
            self.keep_checkpoint(e.no, &e.checkpoint);
            // What is unsure was told to stop without an entry.
            let asked = self
                .attempt(e.no)
                .is_some_and(|(_, _, s)| s.stop || s.state == AttemptState::Unsure);
            let state = match e.outcome {
                Outcome::Succeeded => AttemptState::Succeeded,
                Outcome::Stopped if asked => AttemptState::Stopped,
                // Stopped without our order is the worker's own doing.
                Outcome::Failed | Outcome::Stopped => AttemptState::Failed,
                Outcome::NeverStarted => AttemptState::NeverStarted,
                Outcome::Expired => AttemptState::Expired,
            };
            self.close(e.no, state, e.ran_ms, &e.note);
            self.judge(worker, state);
            self.settle(&id);
        }
        Ok(Value::Null)
    }

    /// Evidence puts a worker on probation and takes it off.
    fn judge(&mut self, worker: &str, state: AttemptState) {
        let good = match state {
            AttemptState::Succeeded => true,
            AttemptState::Failed => false,
            _ => return,
        };
        let fleet: (usize, usize) = self
            .workers
            .iter()
            .filter(|(k, _)| k.as_str() != worker)
            .fold((0, 0), |(b, n), (_, w)| {
                (b + w.ends.iter().filter(|g| !**g).count(), n + w.ends.len())
            });
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.ends.push_back(good);
        if w.ends.len() > JUDGED {
            w.ends.pop_front();
        }
        if w.probation > 0 {
            w.probation = if good { w.probation - 1 } else { REDEEMED };
            if w.probation == 0 {
                w.ends.clear();
            }
            return;
        }
        let bad = w.ends.iter().filter(|g| !**g).count();
        // Much worse than the others: at least four failures, a third of its ends, three times the fleet's share.
        let worse = bad >= 4
            && bad * 3 >= w.ends.len()
            && bad * fleet.1.max(1) >= 3 * fleet.0 * w.ends.len();
        w.probation = if worse { REDEEMED } else { 0 };
    }
}
