//! Every order of events, to a stated depth, from a given situation; situations seen before are not entered again.

use super::cluster::Cluster;
use super::ledger::Violation;
use landingdrift::sans_io::Msg;
use landingdrift::wire::pack;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// One event that the checker may let happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A message under way arrives; any of the first few may overtake the others.
    Deliver(usize),
    /// It is lost.
    Lose(usize),
    /// It arrives and will arrive once more.
    Duplicate(usize),
    /// A machine's clock runs past its election span.
    Timeout(usize),
    /// A machine's disk confirms.
    Sync(usize),
    Crash(usize),
    PowerLoss(usize),
    Wipe(usize),
    Start(usize),
    Stop(usize),
    Freeze(usize),
    Thaw(usize),
    Submit(usize),
}

/// How much of what may happen on one way.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub depth: usize,
    /// How many of the messages under way may be the next.
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

/// What a search came to.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub states: usize,
    pub deepest: usize,
    /// The way to a broken invariant, and what was broken.
    pub broken: Option<(Vec<Event>, Violation)>,
}

/// Walks every order of events from a situation.
pub fn search(from: &Cluster, budget: Budget) -> Found {
    let mut search = Search {
        seen: HashSet::new(),
        found: Found::default(),
        way: Vec::new(),
    };
    search.enter(from, budget);
    search.found.states = search.seen.len();
    search.found
}

struct Search {
    seen: HashSet<u64>,
    found: Found,
    way: Vec<Event>,
}

impl Search {
    fn enter(&mut self, cluster: &Cluster, budget: Budget) {
        if self.found.broken.is_some() {
            return;
        }
        if let Some(violation) = cluster.ledger.violations.first() {
            self.found.broken = Some((self.way.clone(), violation.clone()));
            return;
        }
        self.found.deepest = self.found.deepest.max(self.way.len());
        if budget.depth == 0 || !self.seen.insert(fingerprint(cluster, budget)) {
            return;
        }
        for event in possible(cluster, budget) {
            let mut next = cluster.clone();
            let left = happen(&mut next, event, budget);
            self.way.push(event);
            self.enter(&next, left);
            self.way.pop();
        }
    }
}

/// A number that tells situations apart, with what may still happen on the way.
fn fingerprint(cluster: &Cluster, budget: Budget) -> u64 {
    let mut hasher = DefaultHasher::new();
    for machine in &cluster.machines {
        (machine.disk_number, machine.frozen, machine.gone).hash(&mut hasher);
        (machine.clock_ahead, machine.disk.pending.len()).hash(&mut hasher);
        let replica = machine.replica.as_ref().map(|c| c.fingerprint());
        replica.hash(&mut hasher);
    }
    for message in &cluster.network {
        (&message.to, pack("", &message.from, &message.body)).hash(&mut hasher);
    }
    format!("{budget:?}").hash(&mut hasher);
    hasher.finish()
}

fn possible(cluster: &Cluster, budget: Budget) -> Vec<Event> {
    let mut events = Vec::new();
    let messages = cluster.network.len().min(budget.window);
    events.extend((0..messages).map(Event::Deliver));
    if budget.losses > 0 {
        events.extend((0..messages).map(Event::Lose));
    }
    if budget.duplicates > 0 {
        events.extend((0..messages).map(Event::Duplicate));
    }
    for (i, machine) in cluster.machines.iter().enumerate() {
        if machine.gone {
            continue;
        }
        if machine.replica.is_none() {
            events.push(Event::Start(i));
            continue;
        }
        if machine.frozen {
            events.push(Event::Thaw(i));
            continue;
        }
        let allowed = [
            (!machine.disk.pending.is_empty(), Event::Sync(i)),
            (budget.timeouts > 0, Event::Timeout(i)),
            (budget.crashes > 0, Event::Crash(i)),
            (budget.crashes > 0, Event::PowerLoss(i)),
            (budget.wipes > 0, Event::Wipe(i)),
            (budget.stops > 0, Event::Stop(i)),
            (budget.freezes > 0, Event::Freeze(i)),
            (budget.proposals > 0, Event::Submit(i)),
        ];
        events.extend(allowed.iter().filter(|(may, _)| *may).map(|(_, e)| *e));
    }
    events
}

/// Lets an event happen; returns what may still happen.
fn happen(cluster: &mut Cluster, event: Event, mut budget: Budget) -> Budget {
    budget.depth -= 1;
    match event {
        Event::Deliver(k) => {
            let message = cluster.network.remove(k);
            cluster.deliver(message);
        }
        Event::Lose(k) => {
            cluster.network.remove(k);
            budget.losses -= 1;
        }
        Event::Duplicate(k) => {
            let message = cluster.network[k].clone();
            cluster.deliver(message);
            budget.duplicates -= 1;
        }
        Event::Timeout(i) => {
            let span = 3 * cluster.settings.bounds.election();
            cluster.machines[i].clock_ahead += span;
            // Two looks at the time: the first tells the machine that it stood still.
            cluster.step(i, Msg::Tick);
            cluster.machines[i].clock_ahead += span / 4;
            cluster.step(i, Msg::Tick);
            cluster.machines[i].clock_ahead += span / 4;
            cluster.step(i, Msg::Tick);
            cluster.machines[i].clock_ahead += span / 4;
            cluster.step(i, Msg::Tick);
            budget.timeouts -= 1;
        }
        Event::Sync(i) => cluster.sync(i),
        Event::Crash(i) => {
            cluster.crash(i, usize::MAX);
            budget.crashes -= 1;
        }
        Event::PowerLoss(i) => {
            cluster.crash(i, 0);
            budget.crashes -= 1;
        }
        Event::Wipe(i) => {
            cluster.wipe(i);
            budget.wipes -= 1;
        }
        Event::Start(i) => cluster.start(i),
        Event::Stop(i) => {
            cluster.step(i, Msg::Stop);
            budget.stops -= 1;
        }
        Event::Freeze(i) => {
            cluster.freeze(i, true);
            budget.freezes -= 1;
        }
        Event::Thaw(i) => cluster.freeze(i, false),
        Event::Submit(i) => {
            let version = cluster.machines[i]
                .replica
                .as_ref()
                .map_or(0, |c| c.state().version);
            cluster.propose(i, version);
            budget.proposals -= 1;
        }
    }
    budget
}
