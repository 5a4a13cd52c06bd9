//! The queue of scheduled actions, and the performance of each.

use super::{Caller, ProcessRole, World, TICK_MS};
use crate::simulator::disk::Condition;
use landingdrift::sans_io::{Msg, Request, Response};
use std::cmp::{Ordering, Reverse};

/// The interval of probes of the nodes' versions and readiness, in milliseconds.
pub(super) const PROBE_EVERY_MS: u64 = 500;
/// The interval of observations of the availability, in milliseconds.
const OBSERVE_EVERY_MS: u64 = 100;

/// An action that the event loop performs. Actions for a process or worker include its incarnation, and are dropped if
/// the incarnation has changed.
pub(in crate::simulator) enum Action {
    TickProcess {
        process: usize,
        incarnation: u64,
    },
    /// A frame arrives at a process.
    Deliver {
        to: usize,
        incarnation: u64,
        from: String,
        frame: Vec<u8>,
    },
    /// A write on a disk completes, unless the disk is full or stalled.
    CompleteWrite {
        process: usize,
        incarnation: u64,
        write_id: u64,
    },
    /// A call arrives at the process with an address.
    Call {
        to: String,
        caller: Caller,
        call: u64,
        request: Request,
    },
    /// The answer to a call arrives.
    Answer {
        caller: Caller,
        call: u64,
        response: Response,
    },
    TickWorker {
        worker: usize,
        incarnation: u64,
    },
    /// The planned jobs that are due are offered, and the client and the operators make the calls that are due.
    TickCallers,
    /// The fault with this number begins.
    InjectFault(usize),
    /// The fault with this number ends.
    HealFault(usize),
    /// No more jobs are offered, and all faults are healed.
    EndLoad,
    /// The versions and readiness of the nodes are recorded.
    Probe,
    /// The availability of replicas and nodes is recorded if it has changed.
    ObserveAvailability,
}

/// A scheduled action, ordered by time, then by the order of scheduling.
pub(super) struct ScheduledAction {
    pub(super) at_ms: u64,
    sequence: u64,
    pub(super) action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |scheduled: &Self| (scheduled.at_ms, scheduled.sequence);
        key(self).cmp(&key(other))
    }
}

impl World {
    /// Schedules an action at a time in milliseconds since the beginning of the day.
    pub(in crate::simulator) fn schedule(&mut self, at_ms: u64, action: Action) {
        self.actions_scheduled += 1;
        self.queue.push(Reverse(ScheduledAction {
            at_ms,
            sequence: self.actions_scheduled,
            action,
        }));
    }

    /// Schedules an action after a delay in milliseconds.
    pub(in crate::simulator) fn schedule_in(&mut self, delay_ms: u64, action: Action) {
        self.schedule(self.now + delay_ms, action);
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::TickProcess {
                process,
                incarnation,
            } => self.tick_process(process, incarnation),
            Action::Deliver {
                to,
                incarnation,
                from,
                frame,
            } => {
                if self.processes[to].incarnation == incarnation {
                    self.deliver(to, from, &frame);
                }
            }
            Action::CompleteWrite {
                process,
                incarnation,
                write_id,
            } => self.complete_write(process, incarnation, write_id),
            Action::Call {
                to,
                caller,
                call,
                request,
            } => self.deliver_call(&to, caller, call, request),
            Action::Answer {
                caller,
                call,
                response,
            } => self.deliver_answer(caller, call, response),
            Action::TickWorker {
                worker,
                incarnation,
            } => self.tick_worker(worker, incarnation),
            Action::TickCallers => self.tick_callers(),
            Action::InjectFault(fault) => self.inject_fault(fault),
            Action::HealFault(fault) => self.heal_fault(fault),
            Action::EndLoad => self.end_load(),
            Action::Probe => {
                self.probe();
                self.schedule_in(PROBE_EVERY_MS, Action::Probe);
            }
            Action::ObserveAvailability => {
                self.observe_availability();
                self.schedule_in(OBSERVE_EVERY_MS, Action::ObserveAvailability);
            }
        }
    }

    fn tick_process(&mut self, process: usize, incarnation: u64) {
        if self.processes[process].incarnation != incarnation {
            return;
        }
        self.step(process, Msg::Tick);
        let next_tick = Action::TickProcess {
            process,
            incarnation,
        };
        self.schedule_in(TICK_MS, next_tick);
    }

    fn complete_write(&mut self, process: usize, incarnation: u64, write_id: u64) {
        if self.processes[process].incarnation != incarnation {
            return;
        }
        let ProcessRole::Replica { disk, .. } = &mut self.processes[process].role else {
            return;
        };
        if disk.condition == Condition::Sound {
            disk.confirm(write_id);
            self.step(process, Msg::Persisted(write_id));
        } else {
            self.retry_write(process, incarnation, write_id);
        }
    }
}
