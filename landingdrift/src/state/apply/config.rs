use super::ApplyResult;
use crate::config::{merge, read};
use crate::state::{
    AttemptState, Change, ClusterState, Rejection, TaskState, CHANGES_KEPT_MS, CHANGES_MOST,
};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

impl ClusterState {
    pub(super) fn configure(
        &mut self,
        change: &str,
        (base, number): (u64, u64),
        patch: bool,
        value: &Value,
    ) -> ApplyResult {
        let asked = format!("{base}/{number}/{patch}/{value}");
        let digest: [u8; 32] = Sha256::digest(asked.as_bytes()).into();
        if let Some(c) = self.changes.iter().find(|c| c.change == change) {
            return (c.digest == digest)
                .then(|| json!({"version": c.version, "place": c.log_index}))
                .ok_or(Rejection::BodyMismatch);
        }
        (base == self.version)
            .then_some(())
            .ok_or(Rejection::VersionConflict {
                current: self.version,
            })?;
        self.forget_changes();
        (self.changes.len() < CHANGES_MOST)
            .then_some(())
            .ok_or(Rejection::TooManyChanges)?;
        (number == 0 || number > self.version)
            .then_some(())
            .ok_or_else(|| Rejection::Invalid {
                path: "version".into(),
                remedy: format!("give a number above the current one, {}", self.version),
            })?;
        let mut next = if patch {
            serde_json::to_value(&self.config).unwrap_or_default()
        } else {
            Value::Null
        };
        if patch {
            merge(&mut next, value);
        } else {
            next = value.clone();
        }
        let config = read(&next).map_err(|e| Rejection::Invalid {
            path: e.path().to_string(),
            remedy: e.to_string(),
        })?;
        let held = |q: &&String| {
            !config.queues.contains_key(*q) && self.queues.get(*q).is_some_and(|t| t.unfinished > 0)
        };
        let still: BTreeMap<String, crate::config::Queue> = self
            .config
            .queues
            .iter()
            .filter(|(q, _)| held(q))
            .map(|(k, q)| (k.clone(), q.clone()))
            .collect();
        if let Some(q) = still.keys().next().filter(|_| !config.retire_queues) {
            return Err(Rejection::Invalid {
                path: format!("queues.{q}"),
                remedy: format!("queues.{q}: it holds unfinished jobs: let them end or cancel them, then remove it"),
            });
        }
        self.retired.extend(still);
        self.retired.retain(|k, _| !config.queues.contains_key(k));
        self.config = config;
        self.version = number.max(self.version + 1);
        self.changes.push_back(Change {
            change: change.into(),
            digest,
            version: self.version,
            log_index: self.applied_index,
            at: self.at,
        });
        self.stop_where_closed();
        self.fail_what_is_spent();
        Ok(json!({"version": self.version, "place": self.applied_index}))
    }

    /// Drops the identities of changes made long ago, but never the newest: it is acknowledged again however late.
    fn forget_changes(&mut self) {
        let kept_from = self.at.saturating_sub(CHANGES_KEPT_MS);
        while self.changes.len() > 1 && self.changes[0].at < kept_from {
            self.changes.pop_front();
        }
    }

    /// Where a limit of attempts was lowered: what has failed as often is not tried again, and does not wait for ever.
    fn fail_what_is_spent(&mut self) {
        let open: Vec<String> = self.open.iter().cloned().collect();
        for id in open {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let queues = &self.config.queues;
            let queue = queues
                .get(&job.spec.queue)
                .or_else(|| self.retired.get(&job.spec.queue));
            let max_attempts = queue.map_or(1, |q| q.max_attempts);
            let mut recalled = Vec::new();
            let mut failed = false;
            for i in 0..job.tasks.len() {
                let t = &job.tasks[i];
                let spent = t.state == TaskState::Waiting && t.failures >= max_attempts;
                if !spent || job.of(i).long_running {
                    continue;
                }
                let ordered = t.live().filter(|s| s.state == AttemptState::Ordered);
                recalled.extend(ordered.map(|s| s.no));
                if t.live().next().is_none() {
                    job.put(i, TaskState::Failed);
                    failed = true;
                }
            }
            recalled.into_iter().for_each(|no| self.want_stop(no));
            if failed {
                self.settle(&id);
            }
        }
    }

    /// Begins or ends the emptying of a zone; asked twice it does no harm.
    pub(super) fn empty(&mut self, zone: &str, on: bool) -> ApplyResult {
        if on {
            self.evacuated_zones.insert(zone.into());
        } else {
            self.evacuated_zones.remove(zone);
        }
        self.stop_where_closed();
        Ok(json!({"zone": zone, "emptied": on}))
    }

    /// Orders that have not started are called back from closed places, repeatable work from evacuated ones.
    fn stop_where_closed(&mut self) {
        let numbers: Vec<u64> = self
            .live
            .keys()
            .copied()
            .filter(|no| {
                self.attempt(*no).is_some_and(|(j, t, s)| {
                    let zone = self
                        .workers
                        .get(&s.worker)
                        .map_or("", |w| w.info.zone.as_str());
                    let may_repeat = j
                        .tasks
                        .iter()
                        .position(|x| std::ptr::eq(x, t))
                        .is_some_and(|i| j.of(i).may_repeat);
                    let unstarted = s.state == AttemptState::Ordered;
                    (unstarted && !self.open(zone, &s.worker))
                        || (may_repeat && self.config.evacuated(zone))
                })
            })
            .collect();
        numbers.into_iter().for_each(|no| self.want_stop(no));
    }
}
