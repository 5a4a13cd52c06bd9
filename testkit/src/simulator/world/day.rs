//! The run of a day from its first moment to its last.

use super::{Report, World};
use crate::fakes::operator::Operator;
use crate::history::Event;
use crate::scenario::last_fault;
use landingdrift::sans_io::Rng;
use std::cmp::Reverse;

/// The most actions that a second of a day may have; a busy one has a tenth of it.
const MAX_ACTIONS_PER_SECOND: u64 = 60_000;
/// A day may end early so long after the load at the earliest: what a fault has left behind shows by then.
const MIN_SETTLE_SECONDS: u64 = 15;
/// How often it is looked whether a day may end early, in milliseconds.
const END_CHECK_EVERY_MS: u64 = 1000;
/// Mixed into the seed for the last fault, so that it depends on no other draw.
const LAST_FAULT_SEED: u64 = 0x1a57;

impl World {
    /// Runs the day to its end.
    pub fn run(mut self) -> Report {
        let seconds = self.scenario.seconds + self.scenario.settle_seconds;
        let end_ms = seconds * 1000;
        let max_actions = seconds * MAX_ACTIONS_PER_SECOND;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at_ms > end_ms || self.scheduled > max_actions {
                break;
            }
            self.now = next.at_ms;
            self.perform(next.action);
            if !self.has_settled() {
                continue;
            }
            if self.is_closing {
                break;
            }
            self.begin_closing();
        }
        let is_livelocked = self.scheduled > max_actions;
        self.into_report(is_livelocked)
    }

    /// Whether the load has ended and nothing is open: such a day needn't be sat out.
    fn has_settled(&self) -> bool {
        let earliest_ms = (self.scenario.seconds + MIN_SETTLE_SECONDS) * 1000;
        self.is_calm
            && self.now.is_multiple_of(END_CHECK_EVERY_MS)
            && self.now > earliest_ms
            && self.client.waiting() == 0
            && self.operators.iter().all(Operator::is_idle)
            && self.struck.is_empty()
    }

    /// The closing reads: the configuration, and every job once more; straight before them, where wanted, one last
    /// fault.
    fn begin_closing(&mut self) {
        self.is_closing = true;
        if self.scenario.has_last_fault {
            let mut rng = Rng::new(self.seed ^ LAST_FAULT_SEED);
            self.faults.push(last_fault(&mut rng, self.now));
            self.strike(self.faults.len() - 1);
        }
        self.client.poll_all(self.now);
        self.operators.iter_mut().for_each(Operator::read);
    }

    /// Ends the load, heals all faults, and starts whatever is down.
    pub(super) fn end_load(&mut self) {
        self.is_calm = true;
        self.client.is_offering = false;
        for fault in 0..self.faults.len() {
            self.heal(fault);
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
