//! Configuration changes, and evacuation of zones.

use super::{ensure, ApplyResult};
use crate::config::{merge, read, ClusterConfig, Queue};
use crate::state::{
    AttemptState, Change, ClusterState, Rejection, TaskState, CHANGE_RETENTION_MS, MAX_CHANGES,
};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Maximum length of the name of a zone that an order evacuates or returns to service, in bytes.
const MAX_ZONE_NAME_BYTES: usize = 256;

/// A proposed configuration change.
pub(super) struct ConfigUpdate<'a> {
    /// Identity of the change; retries carry the same one.
    pub change: &'a str,
    /// Configuration version that the change is based on.
    pub base_version: u64,
    /// Version that the new configuration gets; 0 for the next one.
    pub version: u64,
    /// Whether `value` is a merge patch; otherwise it replaces the whole configuration.
    pub is_patch: bool,
    pub value: &'a Value,
}

impl ConfigUpdate<'_> {
    /// SHA-256 of the requested change, without its identity.
    fn digest(&self) -> [u8; 32] {
        let Self {
            base_version,
            version,
            is_patch,
            value,
            ..
        } = self;
        let text = format!("{base_version}/{version}/{is_patch}/{value}");
        Sha256::digest(text.as_bytes()).into()
    }
}

fn zone_name_too_long() -> Rejection {
    Rejection::Invalid {
        path: "zone".into(),
        remedy: format!("give a name of at most {MAX_ZONE_NAME_BYTES} bytes"),
    }
}

impl ClusterState {
    /// Puts a configuration change into force. At most one change per base version is accepted; a retry of an accepted
    /// change gets the same result again.
    pub(super) fn update_config(&mut self, update: &ConfigUpdate) -> ApplyResult {
        let digest = update.digest();
        let mut known = self.changes.iter();
        if let Some(known) = known.find(|known| known.change == update.change) {
            ensure(known.digest == digest, Rejection::BodyMismatch)?;
            return Ok(json!({"version": known.version, "place": known.log_index}));
        }
        let current = self.version;
        ensure(
            update.base_version == current,
            Rejection::VersionConflict { current },
        )?;
        self.drop_old_changes();
        ensure(self.changes.len() < MAX_CHANGES, Rejection::TooManyChanges)?;
        let is_valid_version = update.version == 0 || update.version > current;
        ensure(
            is_valid_version,
            Rejection::Invalid {
                path: "version".into(),
                remedy: format!("give a number above the current one, {current}"),
            },
        )?;
        let config = self.read_update(update)?;
        self.retire_queues(&config)?;
        self.config = config;
        self.version = update.version.max(current + 1);
        self.changes.push_back(Change {
            change: update.change.into(),
            digest,
            version: self.version,
            log_index: self.applied_index,
            at: self.at,
        });
        self.stop_disallowed_attempts();
        self.fail_exhausted_tasks();
        Ok(json!({"version": self.version, "place": self.applied_index}))
    }

    /// Computes and validates the configuration that results from an update.
    fn read_update(&self, update: &ConfigUpdate) -> Result<ClusterConfig, Rejection> {
        let mut value = update.value.clone();
        if update.is_patch {
            value = serde_json::to_value(&self.config).unwrap_or_default();
            merge(&mut value, update.value);
        }
        read(&value).map_err(|e| Rejection::Invalid {
            path: e.path().to_string(),
            remedy: e.to_string(),
        })
    }

    /// Retires the queues with unfinished jobs that a new configuration removes. If there are any, the configuration is
    /// rejected unless it sets `retireQueues`.
    fn retire_queues(&mut self, config: &ClusterConfig) -> Result<(), Rejection> {
        let has_unfinished = |queue: &String| {
            let stats = self.queues.get(queue);
            stats.is_some_and(|stats| stats.unfinished > 0)
        };
        let mut retired: BTreeMap<String, Queue> = BTreeMap::new();
        for (name, queue) in &self.config.queues {
            if !config.queues.contains_key(name) && has_unfinished(name) {
                retired.insert(name.clone(), queue.clone());
            }
        }
        if let (Some(queue), false) = (retired.keys().next(), config.retire_queues) {
            return Err(Rejection::Invalid {
                path: format!("queues.{queue}"),
                remedy: format!("queues.{queue}: it holds unfinished jobs: let them end or cancel them, then remove it"),
            });
        }
        self.retired_queues.extend(retired);
        self.retired_queues
            .retain(|queue, _| !config.queues.contains_key(queue));
        Ok(())
    }

    /// Drops the identities of changes older than the retention time. The newest change is kept, so that retries of it
    /// are acknowledged however late they arrive.
    fn drop_old_changes(&mut self) {
        let kept_from = self.at.saturating_sub(CHANGE_RETENTION_MS);
        while self.changes.len() > 1 && self.changes[0].at < kept_from {
            self.changes.pop_front();
        }
    }

    /// Fails the tasks without live attempts that have reached the maximum number of attempts after the new
    /// configuration lowered it; otherwise they would wait forever without being retried. For such tasks with live
    /// attempts, requests that the unstarted ones stop.
    fn fail_exhausted_tasks(&mut self) {
        let unfinished: Vec<String> = self.unfinished_jobs.iter().cloned().collect();
        for id in unfinished {
            let max_attempts = self.max_attempts_of(&id);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let mut to_stop = Vec::new();
            let mut any_failed = false;
            for i in 0..job.tasks.len() {
                let task = &job.tasks[i];
                let is_exhausted =
                    task.state == TaskState::Waiting && task.failures >= max_attempts;
                if !is_exhausted || job.task_spec(i).long_running {
                    continue;
                }
                let unstarted = task.live().filter(|a| a.state == AttemptState::Ordered);
                to_stop.extend(unstarted.map(|a| a.no));
                if task.live().next().is_none() {
                    job.set_task_state(i, TaskState::Failed);
                    any_failed = true;
                }
            }
            self.request_stops(to_stop);
            if any_failed {
                self.update_job_state(&id);
            }
        }
    }

    /// The number of failures after which a task of a job has failed permanently.
    pub(super) fn max_attempts_of(&self, job: &str) -> u32 {
        let queue = self.jobs.get(job).and_then(|j| self.queue(&j.spec.queue));
        queue.map_or(1, |queue| queue.max_attempts)
    }

    /// Starts or ends the evacuation of a zone; idempotent. An order that a later one has overtaken changes nothing:
    /// `seen` is the log index known at its receipt.
    pub(super) fn set_evacuation(
        &mut self,
        zone: &str,
        evacuate: bool,
        seen: Option<u64>,
    ) -> ApplyResult {
        let done = json!({"zone": zone, "emptied": evacuate});
        if let Some(seen) = seen {
            ensure(zone.len() <= MAX_ZONE_NAME_BYTES, zone_name_too_long())?;
            let zones = &mut self.order_sequence.zones;
            if zones.is_overtaken(zone, seen) {
                let is_in_effect = self.evacuated_zones.contains(zone) == evacuate;
                let what = format!("zone '{zone}'");
                ensure(is_in_effect, Rejection::Overtaken { what })?;
                return Ok(done);
            }
            zones.record(zone, self.applied_index);
        }
        if evacuate {
            self.evacuated_zones.insert(zone.into());
        } else {
            self.evacuated_zones.remove(zone);
        }
        self.stop_disallowed_attempts();
        Ok(done)
    }

    /// Requests that unstarted attempts on workers and in zones that may not get new work stop, and all attempts of
    /// repeatable tasks in zones that the configuration evacuates.
    fn stop_disallowed_attempts(&mut self) {
        let attempts = self.live.keys().copied();
        let to_stop = attempts.filter(|no| self.is_disallowed(*no));
        self.request_stops(to_stop.collect());
    }

    /// Whether an attempt must be stopped, see [`Self::stop_disallowed_attempts`].
    fn is_disallowed(&self, attempt_no: u64) -> bool {
        let Some((_, task)) = self.live.get(&attempt_no) else {
            return false;
        };
        let Some((job, _, attempt)) = self.attempt(attempt_no) else {
            return false;
        };
        let worker = self.workers.get(&attempt.worker);
        let zone = worker.map_or("", |worker| worker.info.zone.as_str());
        let has_started = attempt.state != AttemptState::Ordered;
        let gets_no_new_work = !self.allows_new_work(zone, &attempt.worker);
        let may_repeat = job.task_spec(*task as usize).may_repeat;
        (!has_started && gets_no_new_work) || (may_repeat && self.config.is_evacuated(zone))
    }
}
