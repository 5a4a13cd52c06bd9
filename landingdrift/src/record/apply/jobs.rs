use super::ApplyResult;
use crate::record::{
    AttemptState, ClusterState, Job, JobSpec, JobState, Rejection, Task, TaskState,
};
use serde_json::{json, Value};

impl ClusterState {
    /// A job that is turned away leaves a mark, so that an older call of the same id can't bring it in afterwards.
    pub(super) fn accept(&mut self, spec: &JobSpec, hash: u64, seen: u64) -> ApplyResult {
        let result = self.admit(spec, hash, seen);
        let known = self.jobs.contains_key(&spec.id) || self.tombstones.contains_key(&spec.id);
        if result.is_err() && !known {
            self.refusals.insert(spec.id.clone(), (self.place, self.at));
        }
        result
    }

    fn admit(&mut self, spec: &JobSpec, hash: u64, seen: u64) -> ApplyResult {
        if let Some(known) = self
            .jobs
            .get(&spec.id)
            .map(|j| j.hash)
            .or_else(|| self.tombstones.get(&spec.id).map(|t| t.hash))
        {
            return (known == hash)
                .then(|| json!({"known": true}))
                .ok_or(Rejection::OtherBody);
        }
        (self
            .refusals
            .get(&spec.id)
            .is_none_or(|(place, _)| *place <= seen))
        .then_some(())
        .ok_or(Rejection::TurnedAway)?;
        let waits = spec
            .check()
            .and_then(|w| spec.satisfiable(&self.desired).map(|()| w))
            .map_err(|e| Rejection::Invalid {
                path: e.path,
                remedy: e.remedy,
            })?;
        let quota = self.desired.queues.get(&spec.queue).map_or(0, |q| q.quota);
        let tally = self.queues.entry(spec.queue.clone()).or_default();
        (tally.unfinished < quota)
            .then_some(())
            .ok_or(Rejection::OverQuota { quota })?;
        tally.unfinished += 1;
        self.refusals.remove(&spec.id);
        self.jobs.insert(
            spec.id.clone(),
            Job {
                hash,
                accepted: self.at,
                ..Job::new(spec.clone(), waits)
            },
        );
        self.open.insert(spec.id.clone());
        Ok(json!({"known": false}))
    }

    pub(super) fn cancel(&mut self, id: &str) -> ApplyResult {
        if let Some(t) = self.tombstones.get(id) {
            return Ok(json!({"state": t.state}));
        }
        let job = self.jobs.get_mut(id).ok_or(Rejection::Unknown {
            what: format!("job '{id}'"),
        })?;
        if job.state.ended() || job.cancel {
            return Ok(json!({"state": job.state}));
        }
        job.cancel = true;
        job.reason = "cancelled by the caller".into();
        let live: Vec<u64> = job
            .tasks
            .iter()
            .flat_map(Task::live)
            .map(|s| s.no)
            .collect();
        live.into_iter().for_each(|no| self.want_stop(no));
        self.settle(id);
        Ok(json!({"state": self.jobs.get(id).map(|j| j.state)}))
    }

    pub(super) fn resolve(&mut self, id: &str, task: &str, well: bool) -> ApplyResult {
        let job = self.jobs.get(id).ok_or(Rejection::Unknown {
            what: format!("job '{id}'"),
        })?;
        let i = job.find(task).ok_or(Rejection::Unknown {
            what: format!("task '{task}'"),
        })?;
        let numbers: Vec<u64> = job.tasks[i]
            .live()
            .filter(|s| s.state == AttemptState::Unsure)
            .map(|s| s.no)
            .collect();
        (!numbers.is_empty())
            .then_some(())
            .ok_or(Rejection::Invalid {
                path: "task".into(),
                remedy: "no send of the task is unsure: only unsure ones can be resolved".into(),
            })?;
        numbers.iter().for_each(|no| {
            self.close(
                *no,
                if well {
                    AttemptState::Well
                } else {
                    AttemptState::Defect
                },
                0,
                "resolved by the operator",
            )
        });
        self.settle(id);
        Ok(Value::Null)
    }

    /// Marks a send to be stopped by its worker.
    pub(super) fn want_stop(&mut self, no: u64) {
        if let Some((job, task)) = self.live.get(&no).cloned() {
            self.jobs
                .get_mut(&job)
                .and_then(|j| j.tasks.get_mut(task as usize))
                .and_then(|t| t.sends.iter_mut().find(|s| s.no == no))
                .iter_mut()
                .for_each(|s| s.stop = true);
        }
    }

    /// Ends a live send, frees its room and writes the task's ledger on.
    pub(super) fn close(&mut self, no: u64, state: AttemptState, ran_ms: u64, note: &str) {
        let Some((id, i)) = self.live.remove(&no) else {
            return;
        };
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let k = i as usize;
        let room = job.of(k).needs();
        let lasts = job.of(k).long_running;
        let queue = job.spec.queue.clone();
        let queues = &self.desired.queues;
        let tries = queues
            .get(&queue)
            .or_else(|| self.retired.get(&queue))
            .map_or(1, |q| q.tries);
        let cancel = job.cancel;
        let task = &mut job.tasks[k];
        let Some(send) = task.sends.iter_mut().find(|s| s.no == no) else {
            return;
        };
        send.state = state;
        send.ended = at;
        send.ran_ms = ran_ms;
        send.note = note.into();
        let (worker, copy) = (send.worker.clone(), send.copy);
        let first_well = state == AttemptState::Well && task.state != TaskState::Done && !lasts;
        task.defects += u32::from(state == AttemptState::Defect);
        // As long as another send may still end well, the task has not failed.
        let spent = task.state == TaskState::Waiting
            && !first_well
            && !lasts
            && task.defects >= tries
            && task.live().next().is_none();
        if first_well && job.ends_as_one(k) {
            // The members end together: this end counts for all of them.
            job.gang(k)
                .into_iter()
                .for_each(|m| job.put(m, TaskState::Done));
        } else if first_well {
            job.put(k, TaskState::Done);
        } else if spent && cancel {
            job.put(k, TaskState::Cancelled);
        } else if spent {
            job.put(k, TaskState::Failed);
        }
        let task = &job.tasks[k];
        let rest: Vec<u64> =
            if task.state == TaskState::Waiting || (first_well && job.ends_as_one(k)) {
                Vec::new()
            } else {
                task.live().map(|s| s.no).collect()
            };
        self.workers.get_mut(&worker).iter_mut().for_each(|w| {
            if w.sends.remove(&no) {
                w.used = w.used.less(room);
            }
        });
        let tally = self.queues.entry(queue).or_default();
        tally.running = tally.running.saturating_sub(1);
        tally.copies -= u32::from(copy).min(tally.copies);
        tally.copies_won += u64::from(copy && first_well);
        if first_well && ran_ms > 0 {
            tally.ran(ran_ms.min(u64::from(u32::MAX)) as u32);
        }
        rest.into_iter().for_each(|n| self.want_stop(n));
        if !matches!(state, AttemptState::Well) {
            self.recall_gang(&id, i);
        }
    }

    /// When a gang member has to start again, the rest of the gang is stopped so that it starts whole.
    pub(super) fn recall_gang(&mut self, id: &str, i: u32) {
        let Some(job) = self.jobs.get(id) else { return };
        let rest: Vec<u64> = job
            .gang(i as usize)
            .into_iter()
            .map(|m| &job.tasks[m])
            .filter(|t| t.state != TaskState::Done)
            .flat_map(|t| t.live().map(|s| s.no).collect::<Vec<_>>())
            .collect();
        rest.into_iter().for_each(|no| self.want_stop(no));
    }

    /// Derives the job's state from its tasks.
    pub(super) fn settle(&mut self, id: &str) {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.ended() {
            return;
        }
        let failed = job.tasks.iter().any(|t| t.state == TaskState::Failed);
        if job.cancel || failed {
            for i in 0..job.tasks.len() {
                let t = &job.tasks[i];
                if t.state == TaskState::Waiting && t.live().next().is_none() {
                    job.put(i, TaskState::Cancelled);
                }
            }
        }
        let live: Vec<u64> = job
            .tasks
            .iter()
            .flat_map(Task::live)
            .map(|s| s.no)
            .collect();
        let done = job.tasks.iter().all(|t| t.state == TaskState::Done);
        job.state = if !live.is_empty() {
            if job.cancel {
                JobState::Cancelling
            } else {
                JobState::Running
            }
        } else if done {
            JobState::Done
        } else if failed {
            JobState::Failed
        } else if job.cancel {
            JobState::Cancelled
        } else if job.tasks.iter().any(|t| !t.sends.is_empty()) {
            JobState::Running
        } else {
            JobState::Waiting
        };
        if failed && !job.cancel {
            job.reason = (0..job.tasks.len())
                .find(|i| job.tasks[*i].state == TaskState::Failed)
                .map_or(String::new(), |i| {
                    let t = &job.tasks[i];
                    format!(
                        "task '{}' failed {} times: {}",
                        job.name(i),
                        t.defects,
                        t.sends.last().map_or("", |s| s.note.as_str())
                    )
                });
        }
        if !job.state.ended() {
            if failed {
                live.into_iter().for_each(|no| self.want_stop(no));
            }
            return;
        }
        job.ended = at;
        let (state, queue, took) = (
            job.state,
            job.spec.queue.clone(),
            at.saturating_sub(
                job.accepted
                    .max((0..job.tasks.len()).map(|i| job.due(i)).max().unwrap_or(0)),
            ),
        );
        self.open.remove(id);
        self.expiry.insert((at, id.to_string()));
        let promise = self.queue(&queue).map_or(0, |q| q.finish_within_ms);
        let tally = self.queues.entry(queue.clone()).or_default();
        tally.unfinished = tally.unfinished.saturating_sub(1);
        if tally.unfinished == 0 {
            self.retired.remove(&queue);
        }
        if state != JobState::Cancelled {
            let kept = state == JobState::Done && (promise == 0 || took <= promise);
            tally.promises.push_back((at, kept));
            tally.kept += u64::from(kept);
            tally.missed += u64::from(!kept);
            if tally.promises.len() > 4096 {
                tally.promises.pop_front();
            }
        }
    }
}
