//! The course of a day: the load, the time after it, and the closing reads, which are the last polls of jobs and reads
//! of the configuration.

use super::{Report, World};
use crate::fakes::operator::Operator;
use crate::history::Event;
use crate::scenario::last_fault;
use landingdrift::sans_io::Rng;
use std::cmp::Reverse;

/// The limit on the mean number of actions per second; a day above the limit counts as livelocked. A busy second has
/// about a tenth as many actions.
const MAX_ACTIONS_PER_SECOND: u64 = 60_000;
/// The minimum time from the end of the load to an early end of the day, in seconds, so that late effects of faults
/// still fall within the day.
const MIN_SETTLE_SECONDS: u64 = 15;
/// The interval of checks for an early end of the day, in milliseconds.
const END_CHECK_EVERY_MS: u64 = 1000;
/// A constant that gives the last fault a random stream of its own.
const LAST_FAULT_SEED: u64 = 0x1a57;

impl World {
    /// Runs the day until its end, an early end after the closing reads, or the limit on actions.
    pub fn run(mut self) -> Report {
        let seconds = self.scenario.seconds + self.scenario.settle_seconds;
        let end_ms = seconds * 1000;
        let max_actions = seconds * MAX_ACTIONS_PER_SECOND;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at_ms > end_ms || self.actions_scheduled > max_actions {
                break;
            }
            self.now = next.at_ms;
            self.perform(next.action);
            if !self.is_quiescent() {
                continue;
            }
            if self.is_closing {
                break;
            }
            self.begin_closing_reads();
        }
        let is_livelocked = self.actions_scheduled > max_actions;
        self.into_report(is_livelocked)
    }

    /// Whether the load has ended and no job, operation or fault is outstanding, so that the day may end early. False
    /// except at intervals of [`END_CHECK_EVERY_MS`], and until [`MIN_SETTLE_SECONDS`] after the load.
    fn is_quiescent(&self) -> bool {
        let earliest_ms = (self.scenario.seconds + MIN_SETTLE_SECONDS) * 1000;
        self.has_load_ended
            && self.now.is_multiple_of(END_CHECK_EVERY_MS)
            && self.now > earliest_ms
            && self.client.unfinished_jobs() == 0
            && self.operators.iter().all(Operator::is_idle)
            && self.active_faults.is_empty()
    }

    /// Begins the closing reads of the configuration and of every ended job, after the injection of the last fault if
    /// the scenario has one.
    fn begin_closing_reads(&mut self) {
        self.is_closing = true;
        if self.scenario.has_last_fault {
            let mut rng = Rng::new(self.seed ^ LAST_FAULT_SEED);
            self.faults.push(last_fault(&mut rng, self.now));
            self.inject_fault(self.faults.len() - 1);
        }
        self.client.poll_all(self.now);
        self.operators.iter_mut().for_each(Operator::queue_read);
    }

    /// Ends the load, heals all faults, and starts all workers that are down and all processes that are down and
    /// not removed.
    pub(super) fn end_load(&mut self) {
        self.has_load_ended = true;
        self.client.is_offering = false;
        for fault in 0..self.faults.len() {
            self.heal_fault(fault);
        }
        self.blocked.clear();
        for process in 0..self.processes.len() {
            self.start(process);
        }
        for number in 0..self.workers.len() {
            let machine = &self.workers[number];
            if machine.worker.is_none() && !machine.info.leaving {
                self.start_worker(number);
            }
        }
        self.record(Event::LoadEnded);
    }
}
