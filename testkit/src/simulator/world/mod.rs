//! The world that the simulated parts live in: its state, and the order in which things happen in it.

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

pub(in crate::simulator) use callers::{repeat_first_task, Caller, WorkerMachine};
pub(in crate::simulator) use link::Link;
pub(in crate::simulator) use process::{Machine, Part, Process};
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

/// How often every part gets its tick, in milliseconds.
const TICK_MS: u64 = 20;

/// A call that waits for its answer.
struct OpenCall {
    caller: Caller,
    /// Its number among the calls of its caller.
    call: u64,
}

/// A job that is offered at a time.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Milliseconds since the beginning of the day.
    pub at_ms: u64,
    pub spec: JobSpec,
}

/// What could work at a moment.
#[derive(Clone, Debug, Default, PartialEq)]
struct Availability {
    /// The size of the largest group of replicas that are up and can talk to each other.
    replicas: usize,
    /// The nodes that reach all of that group.
    nodes: Vec<String>,
}

/// A simulated day: all parts, all that is under way between them, and the history so far. Numbers of processes,
/// workers and operators are their positions in the lists here.
pub struct World {
    /// Milliseconds since the beginning of the day.
    pub(in crate::simulator) now: u64,
    /// The actions scheduled so far.
    scheduled: u64,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    pub(in crate::simulator) rng: Rng,
    pub(in crate::simulator) shape: Shape,
    scenario: Scenario,
    pub(in crate::simulator) faults: Vec<Fault>,
    /// The processes, workers or zones that each fault has struck and that are not healed, by the fault's number.
    pub(in crate::simulator) struck: BTreeMap<usize, Vec<usize>>,
    pub(in crate::simulator) processes: Vec<Process>,
    /// The processes by their addresses.
    pub(in crate::simulator) by_address: BTreeMap<String, usize>,
    pub(in crate::simulator) workers: Vec<WorkerMachine>,
    pub(in crate::simulator) client: Client,
    pub(in crate::simulator) operators: Vec<Operator>,
    /// Pairs of processes of which the first doesn't reach the second.
    pub(in crate::simulator) blocked: BTreeSet<(usize, usize)>,
    history: History,
    log: Vec<String>,
    open_calls: BTreeMap<u64, OpenCall>,
    last_call: u64,
    pub(in crate::simulator) settings: Settings,
    /// The load has ended, and the faults with it.
    pub(in crate::simulator) is_calm: bool,
    pub(in crate::simulator) seed: u64,
    planned_jobs: VecDeque<PlannedJob>,
    /// Messages that were sent between processes.
    messages: u64,
    /// When the last message from one process to another arrives.
    arrivals: BTreeMap<(usize, usize), u64>,
    /// Of a hundred answers to calls, so many are lost.
    pub(in crate::simulator) lost_answers_percent: u64,
    availability: Availability,
    /// The highest log index that any replica has applied.
    committed: u64,
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
