//! What happened, as seen from outside: by clients, workers and operators.

use landingdrift::state::{JobSpec, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client made a job and hands it in for the first time.
    Offered {
        spec: JobSpec,
    },
    /// A client calls to hand it in, for the first time or again.
    Handed {
        id: String,
    },
    /// A call to hand it in got its response.
    Submitted {
        id: String,
        status: u16,
        code: String,
    },
    /// The client has taken a refusal as final.
    GaveUp {
        id: String,
    },
    /// A client asks for the job's state.
    Asked {
        id: String,
    },
    Polled {
        id: String,
        status: u16,
        state: String,
        unsure: bool,
        /// The node said itself that there may be news.
        stale: bool,
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
        cpu: u32,
    },
    /// A worker has other capacity or labels from now on.
    WorkerChanged {
        worker: String,
        labels: Vec<String>,
        cpu: u32,
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
        cpu: u32,
        copy: bool,
    },
    Ended {
        worker: String,
        no: u64,
        job: String,
        task: String,
        outcome: Outcome,
    },
    /// An operator asks for a change, for the first time or again.
    ConfigAsked {
        change: String,
        says: Says,
    },
    /// An operator's change got its response.
    Configured {
        change: String,
        base: u64,
        status: u16,
        version: u64,
        says: Says,
    },
    /// An operator read the configuration; `asked` is when, `by` the change that it carries the mark of.
    ConfigRead {
        version: u64,
        by: String,
        asked: u64,
    },
    /// What a node has in force, and whether it says that it is ready.
    NodeVersion {
        node: String,
        version: u64,
        by: String,
        ready: bool,
    },
    /// From now on this many replicas are up and can talk to each other, and these nodes to them.
    Able {
        replicas: usize,
        nodes: Vec<String>,
    },
    NodeDown {
        node: String,
    },
    /// All processes are up again after a total outage.
    OutageOver,
    Fault {
        what: String,
    },
    /// The fault of that text is over.
    Healed {
        what: String,
    },
    /// The last fault is healed and load has ended.
    Calm,
    /// The day is over.
    Closed {
        version: u64,
        by: String,
        jobs: BTreeMap<String, (String, bool)>,
    },
}

/// What a change of configuration says of the things that rules hang on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Says {
    pub zones: BTreeMap<String, String>,
    pub max_attempts: BTreeMap<String, u32>,
    pub quotas: BTreeMap<String, u32>,
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
        self.events
            .iter()
            .map(|e| serde_json::to_string(e).unwrap_or_default() + "\n")
            .collect()
    }
    /// A number that two equal histories share.
    pub fn digest(&self) -> u64 {
        landingdrift::sans_io::fnv1a(self.text().as_bytes())
    }
}
