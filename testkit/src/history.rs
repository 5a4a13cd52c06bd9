//! The history of a day: what clients, workers and operators observe from outside.

use landingdrift::state::{JobSpec, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ids of the jobs that show after an outage whether every queue is served start with this.
pub const RECOVERY_JOB_PREFIX: &str = "muster-";

/// In [`Event::FaultBegan`]: from now on nothing reaches the worker that follows.
pub const WORKER_UNREACHABLE: &str = "dark ";

/// In [`Event::FaultBegan`]: the worker that follows can be reached again.
pub const WORKER_REACHABLE: &str = "light ";

/// One observation. The fingerprints of `testkit digest` hold the variants and their fields by position, so their
/// order stays as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client has made a job that it is about to submit.
    Offered { spec: JobSpec },
    /// A client calls to submit a job, for the first time or again.
    SubmitRequested { id: String },
    /// A call to submit a job was answered.
    SubmitAnswered {
        id: String,
        /// The HTTP status.
        status: u16,
        /// The error code; empty where there is none.
        code: String,
    },
    /// The client takes a refusal as final.
    GaveUp { id: String },
    /// A client asks for a job's state.
    StateRequested { id: String },
    /// A client was answered on a job's state.
    StateAnswered {
        id: String,
        status: u16,
        state: String,
        /// Whether the end of one of its tasks is not known.
        unsure: bool,
        /// The node said itself that its answer may be out of date.
        stale: bool,
    },
    /// A client asks for a job to be cancelled.
    CancelRequested { id: String },
    /// A cancel was acknowledged.
    CancelAcknowledged { id: String },
    /// A worker's process has started.
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
    /// A worker has announced that it is leaving.
    WorkerLeaving { worker: String },
    /// A worker's process ended, and all its runs with it.
    WorkerDied { worker: String },
    /// A worker has started a run of a task.
    RunStarted {
        worker: String,
        /// The number of the attempt.
        attempt: u64,
        job: String,
        task: String,
        cpu: u32,
        /// Whether it is a speculative copy.
        copy: bool,
    },
    /// A run has ended.
    RunEnded {
        worker: String,
        attempt: u64,
        job: String,
        task: String,
        outcome: Outcome,
    },
    /// An operator asks for a change of configuration, for the first time or again.
    ConfigRequested {
        change: String,
        settings: RuleSettings,
    },
    /// An operator's change was answered.
    ConfigAnswered {
        change: String,
        /// The version that the change was made on.
        base: u64,
        status: u16,
        version: u64,
        settings: RuleSettings,
    },
    /// An operator has read the configuration.
    ConfigRead {
        version: u64,
        /// The change whose mark the configuration carries.
        change: String,
        /// When it was asked for, in milliseconds.
        requested_ms: u64,
    },
    /// No node has answered an operator's read of the configuration in time.
    ConfigReadUnanswered {
        /// When the first node was asked, in milliseconds.
        since_ms: u64,
    },
    /// What a node has in force, and whether it says that it is ready.
    NodeVersion {
        node: String,
        version: u64,
        /// The change whose mark the configuration carries; empty where that is not known.
        change: String,
        ready: bool,
    },
    /// From now on so many replicas are up and can talk to each other, and these nodes to them.
    Availability { replicas: usize, nodes: Vec<String> },
    /// A node's process ended.
    NodeDown { node: String },
    /// All processes are up again after a total outage.
    OutageEnded,
    /// A fault strikes.
    FaultBegan { description: String },
    /// The fault of that description is over.
    FaultEnded { description: String },
    /// The load has ended, and the faults with it.
    LoadEnded,
    /// The day is over; this is the state that the cluster ends with.
    DayEnded {
        version: u64,
        change: String,
        jobs: BTreeMap<String, FinalState>,
    },
    /// The end of a run was acknowledged to its worker, which forgets it.
    EndAcknowledged {
        worker: String,
        /// The number of the attempt.
        attempt: u64,
    },
    /// The lease of a worker has run out: what ran there was killed.
    LeaseExpired { worker: String },
}

/// The state of a job at the end of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FinalState {
    pub state: String,
    /// Whether the end of one of its tasks is not known.
    pub unsure: bool,
}

/// The settings in a change of configuration that rules depend on, each by the name of its zone or queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleSettings {
    /// The state of each zone.
    pub zones: BTreeMap<String, String>,
    /// The most attempts of a task of each queue.
    pub max_attempts: BTreeMap<String, u32>,
    /// The most unfinished jobs of each queue.
    pub quotas: BTreeMap<String, u32>,
}

/// Whether a zone in this state gets work.
pub fn is_serving(zone_state: &str) -> bool {
    !["draining", "evacuated"].contains(&zone_state)
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedEvent {
    /// Milliseconds since the beginning of the day.
    pub at_ms: u64,
    pub event: Event,
}

/// A whole history, in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    pub events: Vec<TimedEvent>,
}

impl History {
    /// Adds an event at a time in milliseconds.
    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.events.push(TimedEvent { at_ms, event });
    }

    /// When the last event happened, in milliseconds; 0 in an empty history.
    pub fn end_ms(&self) -> u64 {
        self.events.last().map_or(0, |last| last.at_ms)
    }

    /// The history as JSON, an event a line.
    pub fn text(&self) -> String {
        self.events
            .iter()
            .map(|timed| serde_json::to_string(timed).unwrap_or_default() + "\n")
            .collect()
    }

    /// A hash that equal histories share.
    pub fn digest(&self) -> u64 {
        landingdrift::sans_io::fnv1a(self.text().as_bytes())
    }
}
