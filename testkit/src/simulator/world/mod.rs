//! The simulated world: the state of all processes and callers, and the event loop that drives them.

mod callers;
mod day;
mod link;
mod links;
mod observe;
mod process;
mod processes;
mod report;
mod schedule;
mod setup;

pub use report::Report;

pub(in crate::simulator) use callers::{replace_tasks_with_copies_of_first, Caller, WorkerMachine};
pub(in crate::simulator) use link::Link;
pub(in crate::simulator) use process::{Machine, Process, ProcessRole};
pub(in crate::simulator) use schedule::Action;

use crate::fakes::client::Client;
use crate::fakes::operator::Operator;
use crate::history::{Event, History};
use crate::scenario::{Fault, Scenario, Shape};
use landingdrift::sans_io::Rng;
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use schedule::ScheduledAction;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// The interval of the ticks of processes and callers, in milliseconds.
const TICK_MS: u64 = 20;

/// A call that a process has not answered.
struct OpenCall {
    caller: Caller,
    /// The number that the caller gave the call.
    call: u64,
}

/// A job to be offered at a fixed time.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Milliseconds since the beginning of the day.
    pub at_ms: u64,
    pub spec: JobSpec,
}

/// The processes that could provide service at one time.
#[derive(Clone, Debug, Default, PartialEq)]
struct Availability {
    /// The size of the largest group of available replicas that are connected to each other.
    replicas: usize,
    /// The addresses of the nodes that are connected to all of that group.
    nodes: Vec<String>,
}

/// A simulated day: all processes and callers, the messages and calls between them, and the history so far. Processes,
/// workers and operators are identified by their indices in the lists here.
pub struct World {
    /// Milliseconds since the beginning of the day.
    pub(in crate::simulator) now: u64,
    /// The number of actions scheduled so far.
    actions_scheduled: u64,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    pub(in crate::simulator) rng: Rng,
    pub(in crate::simulator) shape: Shape,
    scenario: Scenario,
    pub(in crate::simulator) faults: Vec<Fault>,
    /// The active faults by number, each with the numbers of the processes, workers, zones or queues that it affects.
    pub(in crate::simulator) active_faults: BTreeMap<usize, Vec<usize>>,
    pub(in crate::simulator) processes: Vec<Process>,
    /// The number of each process, by its address.
    pub(in crate::simulator) process_by_address: BTreeMap<String, usize>,
    pub(in crate::simulator) workers: Vec<WorkerMachine>,
    pub(in crate::simulator) client: Client,
    pub(in crate::simulator) operators: Vec<Operator>,
    /// Pairs of processes: messages from the first to the second are lost.
    pub(in crate::simulator) blocked: BTreeSet<(usize, usize)>,
    history: History,
    log: Vec<String>,
    /// The calls that the processes have not answered, by a number that is unique in the day.
    open_calls: BTreeMap<u64, OpenCall>,
    last_call: u64,
    pub(in crate::simulator) settings: Settings,
    /// The load has ended: no more jobs are offered and no more scheduled faults begin.
    pub(in crate::simulator) has_load_ended: bool,
    pub(in crate::simulator) seed: u64,
    planned_jobs: VecDeque<PlannedJob>,
    /// The number of messages sent between processes, without those lost because the receiver was down, the link was
    /// blocked or a flaky link lost them.
    messages: u64,
    /// The latest arrival time by sender and receiver, in milliseconds, which later messages must not precede
    /// unless the link is flaky.
    latest_arrivals_ms: BTreeMap<(usize, usize), u64>,
    /// The share of answers to calls that are lost, in percent.
    pub(in crate::simulator) lost_answers_percent: u64,
    availability: Availability,
    /// The highest log index that any replica has applied.
    highest_applied_index: u64,
    /// The closing reads have begun.
    is_closing: bool,
}

impl World {
    pub(in crate::simulator) fn record(&mut self, event: Event) {
        self.history.add(self.now, event);
    }

    pub(in crate::simulator) fn log_line(&mut self, text: &str) {
        self.log.push(format!("{:>7} {text}", self.now));
    }
}
