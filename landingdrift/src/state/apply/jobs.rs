use super::ApplyResult;
use crate::state::{
    AttemptState, ClusterState, Job, JobSpec, JobState, Rejection, Task, TaskState,
};
use serde_json::{json, Value};

impl ClusterState {
    /// A job that is rejected leaves a mark, so that an older call of the same id can't bring it in afterwards.
    pub(super) fn accept(&mut self, spec: &JobSpec, hash: u64, seen: u64) -> ApplyResult {
        let result = self.admit(spec, hash, seen);
        let known = self.jobs.contains_key(&spec.id) || self.tombstones.contains_key(&spec.id);
        if result.is_err() && !known {
            self.refusals
                .insert(spec.id.clone(), (self.applied_index, self.at));
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
                .ok_or(Rejection::BodyMismatch);
        }
        (self
            .refusals
            .get(&spec.id)
            .is_none_or(|(log_index, _)| *log_index <= seen))
        .then_some(())
        .ok_or(Rejection::PreviouslyRejected)?;
        let waits = spec
            .check()
            .and_then(|w| spec.satisfiable(&self.config).map(|()| w))
            .map_err(|e| Rejection::Invalid {
                path: e.path,
                remedy: e.remedy,
            })?;
        let quota = self.config.queues.get(&spec.queue).map_or(0, |q| q.quota);
        let count_votes = self.queues.entry(spec.queue.clone()).or_default();
        (count_votes.unfinished < quota)
            .then_some(())
            .ok_or(Rejection::OverQuota { quota })?;
        count_votes.unfinished += 1;
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

    pub(super) fn resolve(&mut self, id: &str, task: &str, succeeded: bool) -> ApplyResult {
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
                if succeeded {
                    AttemptState::Succeeded
                } else {
                    AttemptState::Failed
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
                .and_then(|t| t.attempts.iter_mut().find(|s| s.no == no))
                .iter_mut()
                .for_each(|s| s.stop = true);
        }
    }

    /// Ends a live attempt, frees its resources and writes the task's history of attempts on.
    pub(super) fn close(&mut self, no: u64, state: AttemptState, ran_ms: u64, note: &str) {
        let Some((id, i)) = self.live.remove(&no) else {
            return;
        };
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let k = i as usize;
        let resources = job.of(k).needs();
        let lasts = job.of(k).long_running;
        let queue = job.spec.queue.clone();
        let queues = &self.config.queues;
        let max_attempts = queues
            .get(&queue)
            .or_else(|| self.retired.get(&queue))
            .map_or(1, |q| q.max_attempts);
        let cancel = job.cancel;
        let task = &mut job.tasks[k];
        let Some(attempt) = task.attempts.iter_mut().find(|s| s.no == no) else {
            return;
        };
        attempt.state = state;
        attempt.ended = at;
        attempt.ran_ms = ran_ms;
        attempt.note = note.into();
        let (worker, copy) = (attempt.worker.clone(), attempt.copy);
        let first_well =
            state == AttemptState::Succeeded && task.state != TaskState::Done && !lasts;
        task.failures += u32::from(state == AttemptState::Failed);
        // As long as another send may still end well, the task has not failed.
        let spent = task.state == TaskState::Waiting
            && !first_well
            && !lasts
            && task.failures >= max_attempts
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
            if w.attempts.remove(&no) {
                w.used = w.used.less(resources);
            }
        });
        let count_votes = self.queues.entry(queue).or_default();
        count_votes.running = count_votes.running.saturating_sub(1);
        count_votes.copies -= u32::from(copy).min(count_votes.copies);
        count_votes.copies_won += u64::from(copy && first_well);
        if first_well && ran_ms > 0 {
            count_votes.ran(ran_ms.min(u64::from(u32::MAX)) as u32);
        }
        rest.into_iter().for_each(|n| self.want_stop(n));
        if !matches!(state, AttemptState::Succeeded) {
            self.reschedule_gang(&id, i);
        }
    }

    /// When a gang member has to start again, the rest of the gang is stopped so that it starts whole.
    pub(super) fn reschedule_gang(&mut self, id: &str, i: u32) {
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
        } else if job.tasks.iter().any(|t| !t.attempts.is_empty()) {
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
                        t.failures,
                        t.attempts.last().map_or("", |s| s.note.as_str())
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
        let count_votes = self.queues.entry(queue.clone()).or_default();
        count_votes.unfinished = count_votes.unfinished.saturating_sub(1);
        if count_votes.unfinished == 0 {
            self.retired.remove(&queue);
        }
        if state != JobState::Cancelled {
            let kept = state == JobState::Done && (promise == 0 || took <= promise);
            count_votes.promises.push_back((at, kept));
            count_votes.kept += u64::from(kept);
            count_votes.missed += u64::from(!kept);
            if count_votes.promises.len() > 4096 {
                count_votes.promises.pop_front();
            }
        }
    }
}
