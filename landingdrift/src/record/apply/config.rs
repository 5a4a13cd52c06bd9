use super::Ruling;
use crate::desired::{merge, read};
use crate::kernel::digest;
use crate::record::{Change, Record, Refusal, SendState, TaskState, CHANGES_KEPT};
use serde_json::{json, Value};

impl Record {
    pub(super) fn configure(
        &mut self,
        change: &str,
        base: u64,
        patch: bool,
        value: &Value,
    ) -> Ruling {
        let hash = digest(format!("{base}/{patch}/{value}").as_bytes());
        if let Some(c) = self.changes.iter().find(|c| c.change == change) {
            return (c.hash == hash)
                .then(|| json!({"version": c.version, "place": c.place}))
                .ok_or(Refusal::OtherBody);
        }
        (base == self.version).then_some(()).ok_or(Refusal::Rival {
            current: self.version,
        })?;
        let mut next = if patch {
            serde_json::to_value(&self.desired).unwrap_or_default()
        } else {
            Value::Null
        };
        if patch {
            merge(&mut next, value);
        } else {
            next = value.clone();
        }
        let desired = read(&next).map_err(|e| Refusal::Invalid {
            path: e.path().to_string(),
            remedy: e.to_string(),
        })?;
        let held = |q: &&String| {
            !desired.queues.contains_key(*q)
                && self.queues.get(*q).is_some_and(|t| t.unfinished > 0)
        };
        if let Some(q) = self.desired.queues.keys().find(held) {
            return Err(Refusal::Invalid {
                path: format!("queues.{q}"),
                remedy: format!("queues.{q}: it holds unfinished jobs: let them end or cancel them, then remove it"),
            });
        }
        self.desired = desired;
        self.version += 1;
        self.changes.push_back(Change {
            change: change.into(),
            hash,
            version: self.version,
            place: self.place,
            at: self.at,
        });
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.stop_where_closed();
        self.fail_what_is_spent();
        Ok(json!({"version": self.version, "place": self.place}))
    }

    /// Where a limit of tries was lowered: what has failed as often is not tried again, and does not wait for ever.
    fn fail_what_is_spent(&mut self) {
        let open: Vec<String> = self.open.iter().cloned().collect();
        for id in open {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let tries = self
                .desired
                .queues
                .get(&job.spec.queue)
                .map_or(1, |q| q.tries);
            let mut recalled = Vec::new();
            let mut failed = false;
            for t in job
                .tasks
                .iter_mut()
                .filter(|t| t.state == TaskState::Waiting && t.defects >= tries)
            {
                recalled.extend(
                    t.live()
                        .filter(|s| s.state == SendState::Ordered)
                        .map(|s| s.no),
                );
                if t.live().next().is_none() {
                    t.state = TaskState::Failed;
                    failed = true;
                }
            }
            recalled.into_iter().for_each(|no| self.want_stop(no));
            if failed {
                self.settle(&id);
            }
        }
    }

    /// Orders that have not started are called back from closed places, repeatable work from evacuated ones.
    fn stop_where_closed(&mut self) {
        let numbers: Vec<u64> = self
            .live
            .keys()
            .copied()
            .filter(|no| {
                self.send(*no).is_some_and(|(j, t, s)| {
                    let zone = self
                        .workers
                        .get(&s.worker)
                        .map_or("", |w| w.facts.zone.as_str());
                    let may_repeat = j
                        .tasks
                        .iter()
                        .position(|x| std::ptr::eq(x, t))
                        .is_some_and(|i| j.spec.tasks[i].may_repeat);
                    let unstarted = s.state == SendState::Ordered;
                    (unstarted && !self.desired.open(zone, &s.worker))
                        || (may_repeat && self.desired.evacuated(zone))
                })
            })
            .collect();
        numbers.into_iter().for_each(|no| self.want_stop(no));
    }
}
