//! The world that the simulated parts live in: its state, and the order in which things happen in it.

mod callers;
mod day;
mod links;
mod observe;
mod processes;
mod schedule;
mod setup;

pub use day::Report;

pub(in crate::simulator) use callers::{Ent, WorkerMachine};
pub(in crate::simulator) use processes::{Kind, Proc};
pub(in crate::simulator) use schedule::Happening;

use crate::history::{Event, History};
use crate::scenario::{Fault, Scenario, Shape};
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use landingdrift::sans_io::Rng;
use landingdrift::settings::Settings;
use landingdrift::state::JobSpec;
use schedule::ScheduledEvent;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// How often everything looks at the time.
const TICK: u64 = 20;

/// The world that the parts live in.
pub struct World {
    pub(in crate::simulator) t: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(in crate::simulator) rng: Rng,
    pub(in crate::simulator) shape: Shape,
    scenario: Scenario,
    pub(in crate::simulator) faults: Vec<Fault>,
    pub(in crate::simulator) targets: BTreeMap<usize, Vec<usize>>,
    pub(in crate::simulator) procs: Vec<Proc>,
    pub(in crate::simulator) by_addr: BTreeMap<String, usize>,
    pub(in crate::simulator) hands: Vec<WorkerMachine>,
    pub(in crate::simulator) client: Client,
    pub(in crate::simulator) operators: Vec<Operator>,
    pub(in crate::simulator) blocked: BTreeSet<(usize, usize)>,
    pub(in crate::simulator) history: History,
    pub(in crate::simulator) log: Vec<String>,
    calls: BTreeMap<u64, (Ent, u64)>,
    next_call: u64,
    pub(in crate::simulator) settings: Settings,
    pub(in crate::simulator) calm: bool,
    pub(in crate::simulator) seed: u64,
    planned: VecDeque<(u64, JobSpec)>,
    messages: u64,
    arrivals: BTreeMap<(usize, usize), u64>,
    /// Of a hundred answers, so many are lost.
    pub(in crate::simulator) answers_lost: u64,
    able: (usize, Vec<String>),
    /// The farthest place that any replica has applied.
    committed: u64,
    closing: bool,
}

impl World {
    pub(in crate::simulator) fn note(&mut self, e: Event) {
        self.history.add(self.t, e);
    }

    pub(in crate::simulator) fn outln(&mut self, text: String) {
        self.log.push(format!("{:>7} {text}", self.t));
    }
}
