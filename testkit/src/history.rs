//! The history of a day: the events that clients, workers and operators observe, and those that the simulator or the
//! fleet records.

use landingdrift::state::{JobSpec, Outcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The prefix of the ids of recovery jobs, which are offered after an outage to test whether every queue is served.
pub const RECOVERY_JOB_PREFIX: &str = "muster-";

/// The prefix of the description of an [`Event::FaultBegan`] by which a worker becomes unreachable; the worker's name
/// follows. The value is fixed, because stored histories contain it.
pub const WORKER_UNREACHABLE: &str = "dark ";

/// The prefix of the description of an [`Event::FaultBegan`] by which a worker becomes reachable again; the worker's
/// name follows. The value is fixed, because stored histories contain it.
pub const WORKER_REACHABLE: &str = "light ";

/// An event of a history. The digests of `testkit digest` depend on the order of the variants and of their fields, so
/// that order must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client has created a job that it is about to submit.
    Offered { spec: JobSpec },
    /// A client submits a job, for the first time or again.
    SubmitRequested { id: String },
    /// A call to submit a job was answered.
    SubmitAnswered {
        id: String,
        /// The HTTP status.
        status: u16,
        /// The error kind; empty if there is none.
        code: String,
    },
    /// A client stops submitting a job after a refusal.
    GaveUp { id: String },
    /// A client polls a job's state.
    StateRequested { id: String },
    /// A client's poll of a job's state was answered.
    StateAnswered {
        id: String,
        status: u16,
        state: String,
        /// Whether the outcome of one of its tasks is unknown.
        unsure: bool,
        /// Whether the node marked its answer as possibly out of date.
        stale: bool,
    },
    /// A client requests that a job be cancelled.
    CancelRequested { id: String },
    /// A request to cancel was acknowledged.
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
    /// A worker's capacity or labels have changed.
    WorkerChanged {
        worker: String,
        labels: Vec<String>,
        cpu: u32,
    },
    /// A worker has announced that it is leaving.
    WorkerLeaving { worker: String },
    /// A worker's process has ended, and all its runs with it.
    WorkerDied { worker: String },
    /// A worker has started an attempt of a task.
    RunStarted {
        worker: String,
        /// The number of the attempt.
        attempt: u64,
        job: String,
        task: String,
        cpu: u32,
        /// Whether the run is a speculative copy.
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
    /// An operator requests a change of the configuration, for the first time or again.
    ConfigRequested {
        change: String,
        settings: CheckedSettings,
    },
    /// The request of a change was answered.
    ConfigAnswered {
        change: String,
        /// The version that the change is based on.
        base: u64,
        status: u16,
        version: u64,
        settings: CheckedSettings,
    },
    /// An operator has read the configuration.
    ConfigRead {
        version: u64,
        /// The id of the last change, from the note `by`; empty if there is none.
        change: String,
        /// When the read was requested, in milliseconds.
        requested_ms: u64,
    },
    /// No node has answered an operator's read of the configuration within its deadline.
    ConfigReadUnanswered {
        /// When the first node was called, in milliseconds.
        since_ms: u64,
    },
    /// The version of the configuration in force on a node, and the node's readiness, were observed.
    NodeVersion {
        node: String,
        version: u64,
        /// The id of the last change, from the note `by`; empty if unknown.
        change: String,
        ready: bool,
    },
    /// The number of replicas that are up and connected to each other, or the list of nodes connected to all of these
    /// replicas, has changed.
    Availability { replicas: usize, nodes: Vec<String> },
    /// A node's process has ended.
    NodeDown { node: String },
    /// All processes are up again after a total outage.
    OutageEnded,
    /// A fault has begun, or a worker has become unreachable or reachable; see [`WORKER_UNREACHABLE`].
    FaultBegan { description: String },
    /// The fault with this description has ended.
    FaultEnded { description: String },
    /// Jobs are no longer offered, and all faults have been healed.
    LoadEnded,
    /// The day is over; carries the final state of the cluster.
    DayEnded {
        version: u64,
        change: String,
        jobs: BTreeMap<String, FinalState>,
    },
    /// The end of a run was acknowledged to its worker, which stops reporting it.
    EndAcknowledged {
        worker: String,
        /// The number of the attempt.
        attempt: u64,
    },
    /// The lease of a worker has expired, and its runs were killed.
    LeaseExpired { worker: String },
    /// An operator orders that a zone be evacuated or returned to service, for the first time or again.
    ZoneOrderRequested { zone: String, evacuate: bool },
    /// An order on a zone was acknowledged.
    ZoneOrderAcknowledged { zone: String, evacuate: bool },
    /// A request to cancel a job was answered that there is no such job, and the client has given the job up.
    CancelFoundNoJob { id: String },
}

/// The state of a job at the end of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FinalState {
    pub state: String,
    /// Whether the outcome of one of its tasks is unknown.
    pub unsure: bool,
}

/// The settings in a change of the configuration that the checkers depend on, by zone or queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckedSettings {
    /// The state of each zone.
    pub zones: BTreeMap<String, String>,
    /// The limit on the attempts of a task, for each queue.
    pub max_attempts: BTreeMap<String, u32>,
    /// The limit on unfinished jobs, for each queue.
    pub quotas: BTreeMap<String, u32>,
}

/// Whether a zone in this state gets new work.
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

/// A whole history, ordered by time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    pub events: Vec<TimedEvent>,
}

impl History {
    /// Adds an event at a time in milliseconds.
    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.events.push(TimedEvent { at_ms, event });
    }

    /// The time of the last event, in milliseconds; 0 in an empty history.
    pub fn end_ms(&self) -> u64 {
        self.events.last().map_or(0, |last| last.at_ms)
    }

    /// The history as JSON, one event per line.
    pub fn json_lines(&self) -> String {
        self.events
            .iter()
            .map(|timed| serde_json::to_string(timed).unwrap_or_default() + "\n")
            .collect()
    }

    /// The FNV-1a hash of the history's JSON lines.
    pub fn digest(&self) -> u64 {
        landingdrift::sans_io::fnv1a(self.json_lines().as_bytes())
    }
}
