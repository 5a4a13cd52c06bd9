//! Worker registration and reports, and handling of attempts on workers that are lost, restarted or replaced.

use super::{ensure, ApplyResult};
use crate::state::{
    zone_lease, AttemptState, ClusterState, EndReport, Outcome, Rejection, Worker, WorkerInfo,
};
use serde_json::Value;
use std::collections::BTreeSet;

/// The worker process that an entry concerns, identified by its name and incarnation.
#[derive(Clone, Copy)]
pub(super) struct WorkerProcess<'a> {
    pub name: &'a str,
    pub incarnation: u64,
}

impl ClusterState {
    /// Checks that an entry concerning a zone's workers was proposed under the current lease of the zone.
    fn ensure_zone_epoch(&self, zone: &str, zone_epoch: u64) -> Result<(), Rejection> {
        let lease = self.current_lease(&zone_lease(zone));
        let is_current = lease.is_some_and(|lease| lease.epoch == zone_epoch);
        ensure(is_current, Rejection::StaleLease)
    }

    fn known_worker(&self, name: &str) -> Result<&Worker, Rejection> {
        self.workers.get(name).ok_or_else(|| Rejection::Unknown {
            what: format!("worker '{name}'"),
        })
    }

    /// The worker that an entry concerns. Fails unless the entry was proposed under the current lease of the worker's
    /// zone and refers to the worker's current incarnation.
    fn current_worker(&self, worker: WorkerProcess, zone_epoch: u64) -> Result<&Worker, Rejection> {
        let known = self.known_worker(worker.name)?;
        self.ensure_zone_epoch(&known.info.zone, zone_epoch)?;
        let is_current = known.info.incarnation == worker.incarnation;
        ensure(is_current, Rejection::StaleLease)?;
        Ok(known)
    }

    /// Registers a worker or updates its description. A process of the worker that is leaving stays so, whatever an older
    /// description that arrives later says. After a restart, its attempts of earlier incarnations fail, or
    /// become unsure if their tasks may not be repeated. Requests that unstarted attempts that no longer suit it stop.
    pub(super) fn update_worker(&mut self, info: &WorkerInfo, zone_epoch: u64) -> ApplyResult {
        self.ensure_zone_epoch(&info.zone, zone_epoch)?;
        let new_worker = Worker {
            since: self.at,
            ..Worker::default()
        };
        let worker = self.workers.entry(info.worker.clone());
        let worker = worker.or_insert(new_worker);
        ensure(
            info.incarnation >= worker.info.incarnation,
            Rejection::UnsuitableWorker {
                why: "a newer incarnation is known".into(),
            },
        )?;
        let has_restarted = info.incarnation > worker.info.incarnation;
        let is_leaving = info.leaving || (worker.info.leaving && !has_restarted);
        worker.info = WorkerInfo {
            leaving: is_leaving,
            ..info.clone()
        };
        let info = worker.info.clone();
        worker.lost = false;
        let attempts: Vec<u64> = worker.attempts.iter().copied().collect();
        if has_restarted {
            for attempt_no in &attempts {
                self.end_after_restart(*attempt_no, info.incarnation);
            }
        }
        self.stop_unsuitable_unstarted_attempts(&info, attempts);
        Ok(Value::Null)
    }

    /// Requests that unstarted attempts on a worker stop if the worker may not get new work, is overcommitted or no
    /// longer serves their tasks.
    fn stop_unsuitable_unstarted_attempts(&mut self, info: &WorkerInfo, attempts: Vec<u64>) {
        let gets_no_new_work = info.leaving || !self.allows_new_work(&info.zone, &info.worker);
        let worker = self.workers.get(&info.worker);
        let is_overcommitted = worker.is_some_and(|w| !info.total_resources().covers(w.used));
        let must_stop = |attempt_no: &u64| {
            let Some((job, _, attempt)) = self.attempt(*attempt_no) else {
                return false;
            };
            let task = self.live.get(attempt_no).map(|(_, task)| *task as usize);
            let is_served = task.is_some_and(|task| info.serves(job.task_spec(task)));
            let has_started = attempt.state != AttemptState::Ordered;
            !has_started && (gets_no_new_work || is_overcommitted || !is_served)
        };
        let to_stop = attempts.into_iter().filter(must_stop).collect();
        self.request_stops(to_stop);
    }

    /// Expires the attempts of earlier workers at the reporting worker's address if the report proves that those workers
    /// are gone.
    ///
    /// Two workers never run at one address at the same time, but the order of their first heartbeats isn't the order
    /// in which they ran, because heartbeats can be delayed. A worker that reports an attempt was alive after the
    /// attempt's placement. Every other worker at the address that registered before the placement is therefore an
    /// earlier one.
    fn displace_predecessors(
        &mut self,
        worker: WorkerProcess,
        running: &[u64],
        ends: &[EndReport],
    ) {
        let Some(known) = self.workers.get(worker.name) else {
            return;
        };
        let address = known.info.address.clone();
        let Some(last_placed_at) = self.last_placement(worker.name, running, ends) else {
            return;
        };
        let others = self.workers.iter().filter(|(name, other)| {
            let is_predecessor = other.info.address == address && other.since < last_placed_at;
            is_predecessor && *name != worker.name && !other.attempts.is_empty()
        });
        let displaced: Vec<String> = others.map(|(name, _)| name.clone()).collect();
        for name in displaced.iter().filter(|_| !address.is_empty()) {
            self.expire_displaced_worker(name);
        }
    }

    /// The latest placement time of the attempts that a worker reports as received.
    fn last_placement(&self, worker: &str, running: &[u64], ends: &[EndReport]) -> Option<u64> {
        let received = ends
            .iter()
            .filter(|end| end.outcome != Outcome::NeverStarted);
        let reported = running.iter().copied().chain(received.map(|end| end.no));
        let on_this_worker = reported.filter_map(|no| {
            let (_, _, attempt) = self.attempt(no)?;
            (attempt.worker == worker).then_some(attempt.ordered)
        });
        on_this_worker.max()
    }

    /// Expires all attempts of a displaced worker, and marks it as lost until its next heartbeat.
    fn expire_displaced_worker(&mut self, name: &str) {
        if let Some(worker) = self.workers.get(name) {
            self.expire_all(worker.attempts.clone());
        }
        self.mark_lost(name);
    }

    fn mark_lost(&mut self, name: &str) {
        let at = self.at;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.lost = true;
            worker.since = at;
        }
    }

    fn expire_all(&mut self, attempts: BTreeSet<u64>) {
        for attempt_no in attempts {
            let job = self.live.get(&attempt_no).map(|(job, _)| job.clone());
            self.end_attempt(attempt_no, AttemptState::Expired, 0, "its worker is gone");
            if let Some(job) = job {
                self.update_job_state(&job);
            }
        }
    }

    /// Ends attempts that can no longer be running: the worker's lease on them has certainly expired, or the worker is
    /// gone.
    pub(super) fn expire_attempts(
        &mut self,
        worker: WorkerProcess,
        zone_epoch: u64,
        attempts: &[u64],
        checkpoints: &[(u64, String)],
    ) -> ApplyResult {
        self.current_worker(worker, zone_epoch)?;
        for (attempt_no, checkpoint) in checkpoints {
            self.store_checkpoint(*attempt_no, checkpoint);
        }
        // A late copy of the entry must not end attempts that were placed in the meantime, so only those listed in the
        // entry are ended.
        let running = &self.workers[worker.name].attempts;
        let named = attempts.iter().copied();
        let on_this_worker: BTreeSet<u64> = named.filter(|no| running.contains(no)).collect();
        self.expire_all(on_this_worker);
        Ok(Value::Null)
    }

    /// Requests that attempts stop, so that they are restarted elsewhere. With `blame`, the worker is at fault and is put
    /// on probation.
    pub(super) fn reschedule_attempts(
        &mut self,
        worker: &str,
        zone_epoch: u64,
        attempts: &[u64],
        blame: bool,
    ) -> ApplyResult {
        let zone = self.known_worker(worker)?.info.zone.clone();
        self.ensure_zone_epoch(&zone, zone_epoch)?;
        if blame {
            self.start_probation(worker);
        }
        let running = &self.workers[worker].attempts;
        let named = attempts.iter().copied();
        let on_this_worker = named.filter(|no| running.contains(no)).collect();
        self.request_stops(on_this_worker);
        Ok(Value::Null)
    }

    /// Handles an attempt of a worker whose process has restarted: the attempt no longer runs, but may have succeeded.
    fn end_after_restart(&mut self, attempt_no: u64, incarnation: u64) {
        let Some((id, task)) = self.live.get(&attempt_no).cloned() else {
            return;
        };
        let attempt = self.attempt(attempt_no);
        let is_of_old_process =
            attempt.is_some_and(|(_, _, attempt)| attempt.incarnation < incarnation);
        if !is_of_old_process {
            return;
        }
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.task_spec(task as usize).may_repeat) {
            let note = "the worker started anew while it ran";
            self.end_attempt(attempt_no, AttemptState::Failed, 0, note);
            self.update_job_state(&id);
        } else {
            self.mark_unsure(attempt_no);
        }
    }

    /// Marks a worker as lost after missing heartbeats. The outcomes of its attempts become unknown.
    pub(super) fn mark_worker_lost(
        &mut self,
        worker: WorkerProcess,
        zone_epoch: u64,
    ) -> ApplyResult {
        let known = self.current_worker(worker, zone_epoch)?;
        let attempts: BTreeSet<u64> = known.attempts.clone();
        for attempt_no in attempts {
            self.mark_unsure(attempt_no);
        }
        self.mark_lost(worker.name);
        Ok(Value::Null)
    }

    /// Applies a worker's report of running and ended attempts. The report may also prove that earlier workers at the
    /// same address are gone.
    pub(super) fn report_attempts(
        &mut self,
        worker: WorkerProcess,
        running: &[u64],
        ends: &[EndReport],
    ) -> ApplyResult {
        self.displace_predecessors(worker, running, ends);
        // Reports of running attempts can be delayed: they are ignored if the worker was lost or restarted in the
        // meantime.
        let known = self.workers.get(worker.name);
        let is_current = known.is_some_and(|w| !w.lost && w.info.incarnation == worker.incarnation);
        if is_current {
            for attempt_no in running {
                self.mark_running(worker, *attempt_no);
            }
        }
        for end in ends {
            self.apply_end_report(worker.name, end);
        }
        Ok(Value::Null)
    }

    fn mark_running(&mut self, worker: WorkerProcess, attempt_no: u64) {
        let at = self.at;
        let Some((id, _)) = self.live.get(&attempt_no).cloned() else {
            return;
        };
        let Some(attempt) = self.attempt_mut(attempt_no) else {
            return;
        };
        let is_on_this_process =
            attempt.worker == worker.name && attempt.incarnation == worker.incarnation;
        if !is_on_this_process {
            return;
        }
        attempt.state = AttemptState::Running;
        attempt.ended = 0;
        if attempt.started == 0 {
            attempt.started = at;
        }
        self.update_job_state(&id);
    }

    fn apply_end_report(&mut self, worker: &str, end: &EndReport) {
        let Some((id, _)) = self.live.get(&end.no).cloned() else {
            return;
        };
        let Some((_, _, attempt)) = self.attempt(end.no) else {
            return;
        };
        if attempt.worker != worker {
            return;
        }
        // Workers are asked to stop attempts with unknown outcome without a log entry.
        let was_asked_to_stop = attempt.stop || attempt.state == AttemptState::Unsure;
        self.store_checkpoint(end.no, &end.checkpoint);
        let state = match end.outcome {
            Outcome::Succeeded => AttemptState::Succeeded,
            Outcome::Stopped if was_asked_to_stop => AttemptState::Stopped,
            // A worker that stops an attempt without being asked is at fault.
            Outcome::Failed | Outcome::Stopped => AttemptState::Failed,
            Outcome::NeverStarted => AttemptState::NeverStarted,
            Outcome::Expired => AttemptState::Expired,
        };
        self.end_attempt(end.no, state, end.ran_ms, &end.note);
        self.record_outcome(worker, state);
        self.update_job_state(&id);
    }
}
