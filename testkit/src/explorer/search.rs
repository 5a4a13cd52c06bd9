//! Exhaustive search: every order of events up to a depth, from a given state; states seen before are not expanded again.

use super::cluster::Cluster;
use super::observations::Violation;
use landingdrift::sans_io::Msg;
use landingdrift::wire::pack;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// One event that may happen next. Numbers are positions in the list of messages, or indices of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A message under way arrives; any of the first few may overtake the others.
    Deliver(usize),
    /// A message under way is lost.
    Lose(usize),
    /// A message under way arrives and will arrive once more.
    Duplicate(usize),
    /// A machine's clock runs past its election timeout.
    Timeout(usize),
    /// A machine's disk confirms all writes.
    Sync(usize),
    /// The process ends; all writes reach the disk.
    Crash(usize),
    /// The machine loses power; no unconfirmed write reaches the disk.
    PowerLoss(usize),
    /// The machine loses its disk.
    Wipe(usize),
    /// A machine that is down starts.
    Start(usize),
    /// The process is asked to stop.
    Stop(usize),
    /// The process stands still.
    Freeze(usize),
    /// A frozen process goes on.
    Thaw(usize),
    /// A client proposes a change.
    Submit(usize),
}

/// How often each event may happen on one path.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The number of events of a path.
    pub depth: usize,
    /// How many of the messages under way may be the next to arrive.
    pub window: usize,
    pub losses: usize,
    pub duplicates: usize,
    pub timeouts: usize,
    pub crashes: usize,
    pub wipes: usize,
    pub stops: usize,
    pub freezes: usize,
    pub proposals: usize,
}

/// The events that lead to a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    pub events: Vec<Event>,
    pub violation: Violation,
}

/// The result of a search.
#[derive(Clone, Debug, Default)]
pub struct SearchResult {
    /// Different states that were expanded.
    pub states: usize,
    /// The most events on a path.
    pub deepest: usize,
    pub counterexample: Option<Counterexample>,
}

/// Searches every order of events from a state, up to the first violation.
pub fn search(from: &Cluster, budget: Budget) -> SearchResult {
    let mut search = Search {
        seen: HashSet::new(),
        result: SearchResult::default(),
        path: Vec::new(),
    };
    search.expand(from, budget);
    search.result.states = search.seen.len();
    search.result
}

struct Search {
    seen: HashSet<u64>,
    result: SearchResult,
    path: Vec<Event>,
}

impl Search {
    fn expand(&mut self, cluster: &Cluster, budget: Budget) {
        if self.result.counterexample.is_some() {
            return;
        }
        if let Some(violation) = cluster.observations.violations.first() {
            self.result.counterexample = Some(Counterexample {
                events: self.path.clone(),
                violation: violation.clone(),
            });
            return;
        }
        self.result.deepest = self.result.deepest.max(self.path.len());
        if budget.depth == 0 || !self.seen.insert(fingerprint(cluster, budget)) {
            return;
        }
        for event in enabled_events(cluster, budget) {
            let mut next = cluster.clone();
            let remaining = apply(&mut next, event, budget);
            self.path.push(event);
            self.expand(&next, remaining);
            self.path.pop();
        }
    }
}

/// A hash of the state and of the remaining budget: the same state with another budget has other successors.
fn fingerprint(cluster: &Cluster, budget: Budget) -> u64 {
    let mut hasher = DefaultHasher::new();
    for machine in &cluster.machines {
        (machine.disk_number, machine.frozen, machine.gone).hash(&mut hasher);
        (machine.clock_ahead, machine.disk.pending.len()).hash(&mut hasher);
        let replica = machine
            .replica
            .as_ref()
            .map(|replica| replica.fingerprint());
        replica.hash(&mut hasher);
    }
    for message in &cluster.network {
        (&message.to, pack("", &message.from, &message.body)).hash(&mut hasher);
    }
    format!("{budget:?}").hash(&mut hasher);
    hasher.finish()
}

/// The events that are possible in a state within the budget.
fn enabled_events(cluster: &Cluster, budget: Budget) -> Vec<Event> {
    let mut events = Vec::new();
    let messages = cluster.network.len().min(budget.window);
    events.extend((0..messages).map(Event::Deliver));
    if budget.losses > 0 {
        events.extend((0..messages).map(Event::Lose));
    }
    if budget.duplicates > 0 {
        events.extend((0..messages).map(Event::Duplicate));
    }
    for (machine_index, machine) in cluster.machines.iter().enumerate() {
        if machine.gone {
            continue;
        }
        if machine.replica.is_none() {
            events.push(Event::Start(machine_index));
            continue;
        }
        if machine.frozen {
            events.push(Event::Thaw(machine_index));
            continue;
        }
        let allowed = [
            (!machine.disk.pending.is_empty(), Event::Sync(machine_index)),
            (budget.timeouts > 0, Event::Timeout(machine_index)),
            (budget.crashes > 0, Event::Crash(machine_index)),
            (budget.crashes > 0, Event::PowerLoss(machine_index)),
            (budget.wipes > 0, Event::Wipe(machine_index)),
            (budget.stops > 0, Event::Stop(machine_index)),
            (budget.freezes > 0, Event::Freeze(machine_index)),
            (budget.proposals > 0, Event::Submit(machine_index)),
        ];
        events.extend(
            allowed
                .iter()
                .filter(|(is_allowed, _)| *is_allowed)
                .map(|(_, event)| *event),
        );
    }
    events
}

/// Applies an event; returns the remaining budget.
fn apply(cluster: &mut Cluster, event: Event, mut budget: Budget) -> Budget {
    budget.depth -= 1;
    match event {
        Event::Deliver(position) => {
            let message = cluster.network.remove(position);
            cluster.deliver(message);
        }
        Event::Lose(position) => {
            cluster.network.remove(position);
            budget.losses -= 1;
        }
        Event::Duplicate(position) => {
            let message = cluster.network[position].clone();
            cluster.deliver(message);
            budget.duplicates -= 1;
        }
        Event::Timeout(machine_index) => {
            time_out(cluster, machine_index);
            budget.timeouts -= 1;
        }
        Event::Sync(machine_index) => cluster.sync(machine_index),
        Event::Crash(machine_index) => {
            cluster.crash(machine_index, usize::MAX);
            budget.crashes -= 1;
        }
        Event::PowerLoss(machine_index) => {
            cluster.crash(machine_index, 0);
            budget.crashes -= 1;
        }
        Event::Wipe(machine_index) => {
            cluster.wipe(machine_index);
            budget.wipes -= 1;
        }
        Event::Start(machine_index) => cluster.start(machine_index),
        Event::Stop(machine_index) => {
            cluster.step(machine_index, Msg::Stop);
            budget.stops -= 1;
        }
        Event::Freeze(machine_index) => {
            cluster.freeze(machine_index);
            budget.freezes -= 1;
        }
        Event::Thaw(machine_index) => cluster.thaw(machine_index),
        Event::Submit(machine_index) => {
            let version = cluster.machines[machine_index]
                .replica
                .as_ref()
                .map_or(0, |replica| replica.state().version);
            cluster.propose(machine_index, version);
            budget.proposals -= 1;
        }
    }
    budget
}

/// Moves a machine's clock past its election timeout.
fn time_out(cluster: &mut Cluster, machine_index: usize) {
    let past_timeout = 3 * cluster.settings.bounds.election_timeout();
    // After the jump the machine sees that it stood still and waits anew; the smaller steps look like time that passes.
    let step = past_timeout / 4;
    for advance in [past_timeout, step, step, step] {
        cluster.machines[machine_index].clock_ahead += advance;
        cluster.step(machine_index, Msg::Tick);
    }
}
