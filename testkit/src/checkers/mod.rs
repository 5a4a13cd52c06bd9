//! Checkers of what must never happen. They know histories only: nothing here
//! uses the product's own rules.

mod conditions;
mod jobs;
mod runs;
mod summary;
mod system;

pub use summary::{summary, Summary};

use crate::history::History;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: &'static str,
    pub t: u64,
    pub what: String,
}

impl Broken {
    pub fn new(rule: &'static str, t: u64, what: String) -> Self {
        Self { rule, t, what }
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} ms: {}: {}", self.t, self.rule, self.what)
    }
}

/// The bounds that are promised, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Promised {
    pub state: u64,
    pub cancel: u64,
    pub leave: u64,
    pub empty: u64,
    pub config: u64,
    pub outage: u64,
    /// How early an appointed start may be.
    pub early: u64,
    /// How long a gang's member may be alone, when nothing strikes it and when a fault does.
    pub alone: u64,
    pub alone_struck: u64,
    /// How long service may take to return after the replica had no majority, short of a total outage.
    pub recover: u64,
    /// How long a node that is up and connected may take to be ready.
    pub ready: u64,
    /// What the system's clock showed at time 0 of the history.
    pub epoch: u64,
}

impl Default for Promised {
    fn default() -> Self {
        Self {
            state: 3000,
            cancel: 3000,
            leave: 2000,
            empty: 5000,
            config: 2000,
            outage: 12_000,
            early: 250,
            alone: 1000,
            alone_struck: 4500,
            recover: 5000,
            ready: 5000,
            epoch: 0,
        }
    }
}

/// A checker: a name and a function from a history to what it breaks.
pub type Checker = (&'static str, fn(&History, &Promised) -> Vec<Broken>);

/// All checkers.
pub const ALL: &[Checker] = &[
    ("never forgotten", jobs::never_forgotten),
    ("state within its bound", jobs::state_in_time),
    ("turned away never runs", jobs::turned_away_never_runs),
    ("no repeat without leave", runs::no_repeat),
    ("steps in order", runs::steps_in_order),
    ("not before its time", runs::not_early),
    ("room", runs::cpu),
    ("fitting workers", runs::fitting),
    ("tries", runs::max_attempts),
    ("cancelled stays cancelled", jobs::cancelled),
    ("leaving workers", runs::leaving),
    ("emptied zones", runs::evacuated_zones),
    ("gangs together", runs::gangs),
    ("one of two rivals", system::rivals),
    ("configuration never slides back", system::never_back),
    ("configuration takes hold", system::takes_effect),
    ("back after an outage", system::outage),
    ("all come to an end", jobs::all_end),
];

/// Rules on how long something takes: on real processes they say as much about the machine as about the system.
pub const TIMED: &[&str] = &[
    "state within its bound",
    "configuration takes hold",
    "back after an outage",
];

/// Runs all checkers.
pub fn check(h: &History, p: &Promised) -> Vec<Broken> {
    ALL.iter().flat_map(|(_, f)| f(h, p)).collect()
}
