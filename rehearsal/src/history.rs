//! What happened, as seen from outside: by clients, workers and operators.

use landingdrift::record::{JobSpec, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client made a job and hands it in for the first time.
    Offered {
        spec: JobSpec,
    },
    /// A call to hand it in got its verdict.
    Submitted {
        id: String,
        status: u16,
    },
    /// The client has taken a refusal as final.
    GaveUp {
        id: String,
    },
    Polled {
        id: String,
        status: u16,
        state: String,
        unsure: bool,
    },
    CancelAsked {
        id: String,
    },
    CancelAcked {
        id: String,
    },
    /// A worker's process runs, with these facts.
    WorkerUp {
        worker: String,
        incarnation: u64,
        service: String,
        labels: Vec<String>,
        zone: String,
        room: u32,
    },
    WorkerLeaving {
        worker: String,
    },
    WorkerDied {
        worker: String,
    },
    Started {
        worker: String,
        no: u64,
        job: String,
        task: String,
        room: u32,
        copy: bool,
    },
    Ended {
        worker: String,
        no: u64,
        job: String,
        task: String,
        outcome: Outcome,
    },
    /// An operator's change got its verdict.
    Configured {
        change: String,
        base: u64,
        status: u16,
        version: u64,
        zones: BTreeMap<String, String>,
        tries: BTreeMap<String, u32>,
    },
    /// An operator read the version; `asked` is when.
    ConfigRead {
        version: u64,
        asked: u64,
    },
    /// A node that says it is ready has this version in force.
    NodeVersion {
        node: String,
        version: u64,
    },
    NodeDown {
        node: String,
    },
    /// All processes are up again after a total outage.
    OutageOver,
    Fault {
        what: String,
    },
    /// The last fault is healed and load has ended.
    Calm,
    /// The day is over.
    Closed {
        version: u64,
        jobs: BTreeMap<String, (String, bool)>,
    },
}

/// An event with its time in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct At {
    pub t: u64,
    pub e: Event,
}

/// A whole history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    pub events: Vec<At>,
}

impl History {
    /// Adds an event.
    pub fn add(&mut self, t: u64, e: Event) {
        self.events.push(At { t, e });
    }
    /// The history as text, an event a line.
    pub fn text(&self) -> String {
        self.events.iter().map(|e| serde_json::to_string(e).unwrap_or_default() + "\n").collect()
    }
    /// A number that two equal histories share.
    pub fn digest(&self) -> u64 {
        landingdrift::kernel::digest(self.text().as_bytes())
    }
}
