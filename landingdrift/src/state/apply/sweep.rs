use super::ApplyResult;
use crate::state::{AttemptState, ClusterState, TaskState, Tombstone};
use serde_json::Value;

/// How long the mark of a refusal is kept: far longer than any call is worked on.
const REFUSALS_KEPT: u64 = 60_000;

impl ClusterState {
    /// When the next bound passes, if a sweep has anything to do.
    pub fn sweep_due(&self, retain_ms: u64, identity_ms: u64) -> Option<u64> {
        let unsure = self.unsure_dues().map(|(due, _)| due).min();
        let expiry = self.expiry.first().map(|(at, id)| {
            at + if self.jobs.contains_key(id) {
                retain_ms
            } else {
                identity_ms
            }
        });
        let lost = self
            .workers
            .values()
            .filter(|w| w.lost && w.attempts.is_empty())
            .map(|w| w.since + retain_ms)
            .min();
        let refused = self
            .refusals
            .values()
            .map(|(_, at)| at + REFUSALS_KEPT)
            .min();
        [unsure, expiry, lost, refused].into_iter().flatten().min()
    }

    fn unsure_dues(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.live
            .keys()
            .filter_map(|no| self.attempt(*no))
            .filter(|(_, _, s)| s.state == AttemptState::Unsure)
            .map(|(j, _, s)| {
                let bound = self
                    .queue(&j.spec.queue)
                    .map_or(60_000, |q| q.unsure_bound_ms);
                (s.ended + bound, s.no)
            })
    }

    pub(super) fn sweep(&mut self, retain_ms: u64, identity_ms: u64) -> ApplyResult {
        let at = self.at;
        let passed: Vec<u64> = self
            .unsure_dues()
            .filter(|(due, _)| *due <= at)
            .map(|(_, no)| no)
            .collect();
        for no in passed {
            let Some((id, i)) = self.live.get(&no).cloned() else {
                continue;
            };
            self.close(
                no,
                AttemptState::Failed,
                0,
                "unsure for longer than its bound",
            );
            // Without mayRepeat it is never sent again, whatever the attempts.
            let job = self.jobs.get_mut(&id);
            job.into_iter()
                .filter(|j| !j.of(i as usize).may_repeat)
                .filter(|j| j.tasks[i as usize].state == TaskState::Waiting)
                .for_each(|j| j.put(i as usize, TaskState::Failed));
            self.settle(&id);
        }
        let drop: Vec<(u64, String)> = self
            .expiry
            .iter()
            .take_while(|(t, _)| t + retain_ms <= at)
            .take(1000)
            .cloned()
            .collect();
        for (t, id) in drop {
            if let Some(j) = self.jobs.remove(&id) {
                self.expiry.remove(&(t, id.clone()));
                self.expiry.insert((at, id.clone()));
                self.tombstones.insert(
                    id,
                    Tombstone {
                        hash: j.hash,
                        state: j.state,
                        until: at + identity_ms,
                    },
                );
            } else if self
                .tombstones
                .get(&id)
                .is_none_or(|tombstone| tombstone.until <= at)
            {
                self.expiry.remove(&(t, id.clone()));
                self.tombstones.remove(&id);
            }
        }
        let gone: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| w.lost && w.attempts.is_empty() && w.since + retain_ms <= at)
            .map(|(k, _)| k.clone())
            .collect();
        gone.iter().for_each(|k| {
            self.workers.remove(k);
        });
        self.refusals.retain(|_, (_, t)| *t + REFUSALS_KEPT > at);
        let windows: Vec<(String, u64)> = self
            .config
            .queues
            .iter()
            .map(|(k, q)| (k.clone(), q.window_ms))
            .collect();
        for (k, window) in windows {
            self.queues.get_mut(&k).iter_mut().for_each(|t| {
                while t.promises.front().is_some_and(|(p, _)| p + window < at) {
                    t.promises.pop_front();
                }
            });
        }
        Ok(Value::Null)
    }
}
