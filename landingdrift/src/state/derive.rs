//! What Hopper needs to know, derived from the cluster state.

use super::{ClusterState, Job, QueueStats, Task, TaskState};

/// What admission knows of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sizing {
    /// Tasks that are not done.
    pub remaining: u32,
    /// The virtual size V.
    pub size: f64,
    /// What the job is ranked by: the larger of V and V of the phases behind.
    pub rank: f64,
    /// Attempts that may be running.
    pub occupied: u32,
}

/// So many good runs give a median, and so many a shape.
const FEW: usize = 5;
const ENOUGH: usize = 20;
/// Durations that are looked at, and how many new ones make it worth while to look again.
const KEPT: usize = 256;
const EVERY: usize = 8;

impl QueueStats {
    /// Takes note of how long a good run took.
    pub fn ran(&mut self, ms: u32) {
        self.durations.push_back(ms);
        if self.durations.len() > KEPT {
            self.durations.pop_front();
        }
        self.seen = self.seen.wrapping_add(1);
        if self.durations.len() > ENOUGH && !(self.seen as usize).is_multiple_of(EVERY) {
            return;
        }
        let mut sorted: Vec<u32> = self.durations.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted[(sorted.len() - 1) / 2];
        if sorted.len() >= ENOUGH {
            let tail = &sorted[sorted.len() / 20..];
            let low = f64::from(tail[0].max(1));
            let logs: f64 = tail
                .iter()
                .map(|d| (f64::from((*d).max(1)) / low).ln())
                .sum();
            self.beta = (tail.len() as f64 / logs.max(1e-9)).clamp(1.05, 2.0);
        }
    }
}

impl ClusterState {
    /// The shape of a queue's task durations, by the likelihood of its latest good runs.
    pub fn beta(&self, queue: &str) -> f64 {
        self.queues
            .get(queue)
            .map(|t| t.beta)
            .filter(|b| *b > 0.0)
            .unwrap_or(1.5)
    }

    /// The median of a queue's good runs, once there are enough.
    pub fn median(&self, queue: &str) -> Option<f64> {
        let t = self.queues.get(queue)?;
        (t.durations.len() >= FEW).then(|| f64::from(t.median))
    }

    /// The sizes of a job: V = (2/β)·T·√α over the phase at hand.
    pub fn sizing(&self, job: &Job) -> Sizing {
        let (mut ready, mut behind, mut occupied) = (0u32, 0u32, 0u32);
        for (i, t) in job.tasks.iter().enumerate() {
            occupied += t.live().count() as u32;
            // What is not due yet asks for nothing.
            if t.state == TaskState::Waiting && job.due(i) <= self.at + 1000 {
                *(if job.reached(i) {
                    &mut ready
                } else {
                    &mut behind
                }) += 1;
            }
        }
        let factor = (2.0 / self.beta(&job.spec.queue)).max(1.0);
        let alpha = if behind == 0 || ready == 0 {
            1.0
        } else {
            (f64::from(behind) / f64::from(ready)).clamp(0.25, 4.0)
        };
        let size = factor * f64::from(ready) * alpha.sqrt();
        Sizing {
            remaining: ready + behind,
            size,
            rank: size.max(factor * f64::from(behind)),
            occupied,
        }
    }

    /// Unfinished jobs that could use a slot now, or hold one; those whose tasks all wait for their time share nothing.
    pub fn runnable(&self, at: u64) -> usize {
        let ready = |job: &Job, i: usize, t: &Task| {
            t.live().next().is_some()
                || (t.state == TaskState::Waiting && job.due(i) <= at && job.reached(i))
        };
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| j.tasks.iter().enumerate().any(|(i, t)| ready(j, i, t)))
            .count()
    }

    /// Room of all workers that take work.
    pub fn total_cpu(&self) -> u32 {
        self.workers
            .values()
            .filter(|w| !w.lost && !w.info.leaving && self.open(&w.info.zone, &w.info.worker))
            .map(|w| w.info.cpu)
            .sum()
    }

    /// Whether a queue has used up what it may miss within its window.
    pub fn allowance_spent(&self, queue: &str) -> bool {
        self.queue(queue)
            .zip(self.queues.get(queue))
            .is_some_and(|(q, t)| {
                let within = t
                    .promises
                    .iter()
                    .filter(|(p, _)| p + q.window_ms >= self.at);
                let (missed, all) = within.fold((0u32, 0u32), |(m, n), (_, kept)| {
                    (m + u32::from(!kept), n + 1)
                });
                all >= 20 && missed * 100 > all * q.failure_allowance_percent
            })
    }
}
