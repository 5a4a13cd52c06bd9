//! Injection of faults of workers (freezes, partitions, crashes, failing or slow runs), and healing of all but crashes.

use super::World;
use crate::history::{Event, WORKER_REACHABLE, WORKER_UNREACHABLE};

/// The share of runs that fail on a failing worker, unless the fault gives an amount.
const FAILING_SHARE: f64 = 0.9;

impl World {
    pub(super) fn freeze_worker(&mut self, number: usize) {
        self.workers[number].is_frozen = true;
        self.record_reachability(number, false);
    }

    /// Resumes a frozen worker, which then handles the answers that arrived in the meantime.
    pub(super) fn resume_worker(&mut self, number: usize) {
        self.workers[number].is_frozen = false;
        self.record_reachability(number, true);
        for waiting in std::mem::take(&mut self.workers[number].inbox) {
            self.with_worker(number, |worker, now| {
                worker.answer(now, waiting.call, &waiting.response)
            });
        }
    }

    /// Partitions a worker from all processes, or reconnects it.
    pub(super) fn set_worker_partitioned(&mut self, number: usize, is_partitioned: bool) {
        self.workers[number].is_partitioned = is_partitioned;
        self.record_reachability(number, !is_partitioned);
    }

    /// Kills a worker's process, if it is running.
    pub(super) fn crash_worker(&mut self, number: usize) {
        let machine = &mut self.workers[number];
        if let Some(dead) = machine.worker.take() {
            machine.incarnation += 1;
            let worker = machine.info.worker.clone();
            if dead.has_lease() {
                // The outcomes that the worker has not reported are lost, as when its lease expires.
                let worker = worker.clone();
                self.record(Event::LeaseExpired { worker });
            }
            self.record(Event::WorkerDied { worker });
        }
    }

    /// Makes `percent` of a worker's runs fail; 0 stands for [`FAILING_SHARE`].
    pub(super) fn fail_runs(&mut self, number: usize, percent: u64) {
        let share = match percent {
            0 => FAILING_SHARE,
            _ => percent as f64 / 100.0,
        };
        self.set_failing_share(number, share);
    }

    pub(super) fn set_failing_share(&mut self, number: usize, share: f64) {
        if let Some(worker) = &mut self.workers[number].worker {
            worker.injected_faults.failing_share = share;
        }
    }

    pub(super) fn set_slowdown(&mut self, number: usize, factor: f64) {
        if let Some(worker) = &mut self.workers[number].worker {
            worker.injected_faults.slowdown = factor;
        }
    }

    /// Records that a worker has become reachable or unreachable, in either case as a [`Event::FaultBegan`].
    fn record_reachability(&mut self, number: usize, is_reachable: bool) {
        let prefix = if is_reachable {
            WORKER_REACHABLE
        } else {
            WORKER_UNREACHABLE
        };
        let description = format!("{prefix}w{number}");
        self.record(Event::FaultBegan { description });
    }
}
