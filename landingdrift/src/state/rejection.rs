//! Reasons for rejecting an entry.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why the cluster state rejected an entry, or the leader did not append it. The messages include the remedy. Variants
/// are encoded by position: append new ones at the end.
#[derive(Clone, Debug, PartialEq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// The base version of a configuration change is not the current one.
    #[error(
        "another change was applied first: read version {current} and send the change again based on it"
    )]
    #[serde(rename = "Rival")]
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// The same identity was used with a different body.
    #[error("this id was already used with a different body: give the new request its own id")]
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// A value is missing, invalid or not allowed.
    #[error("{path}: {remedy}")]
    Invalid {
        /// Path of the invalid field.
        path: String,
        /// How to correct it.
        remedy: String,
    },
    /// The entry refers to something unknown.
    #[error("unknown {what}: check the name")]
    Unknown {
        /// Kind and name of the unknown item.
        what: String,
    },
    /// The queue has as many unfinished jobs as its quota allows.
    #[error("the queue has reached its quota of {quota} unfinished jobs: retry later")]
    OverQuota {
        /// The quota: the maximum number of unfinished jobs.
        quota: u32,
    },
    /// A job with the same id was rejected, or cancelled while it was unknown, after this request was received.
    #[error(
        "a job with the same id was rejected or cancelled while this request was in progress: submit it again"
    )]
    #[serde(rename = "TurnedAway")]
    PreviouslyRejected,
    /// This copy of an order entered the log after its deadline; an earlier copy may have taken effect.
    #[error(
        "the order was applied after its deadline: check whether an earlier copy took effect, then retry"
    )]
    #[serde(rename = "Late")]
    DeadlinePassed,
    /// The configuration changes of the last day fill the table of remembered changes.
    #[error("too many configuration changes within a day: retry later")]
    TooManyChanges,
    /// The lease grant under which the entry was proposed or which it replaces, or the worker's incarnation, is not the
    /// current one.
    #[error("the lease or the worker's incarnation is not the current one: propose again through the lease's current holder")]
    #[serde(rename = "StaleGrant")]
    StaleLease,
    /// The job or the task has already ended, or the cluster is already founded.
    #[error("the job or task has already ended, or the cluster is already founded: no further change is possible")]
    Ended,
    /// The job has been cancelled.
    #[error("the job has been cancelled: submit a new one")]
    Cancelled,
    /// The task is not due yet.
    #[error("the task is not due yet: wait")]
    NotDue,
    /// A dependency of the task is not done.
    #[error("a dependency of the task is not done: wait")]
    Waiting,
    /// The worker has too few free resources.
    #[error("the worker has too few free resources: offer another worker")]
    #[serde(rename = "NoRoom")]
    InsufficientResources,
    /// The attempts of the task that may be running allow no further one, or none on this worker; the entry places the
    /// task twice; or the attempt is a copy, and the task may have none or has no attempt to copy.
    #[error(
        "no further attempt of the task may start while others may be running: wait for their end"
    )]
    #[serde(rename = "Repeat")]
    AlreadyRunning,
    /// The task's failures, together with its attempts that may still be running, reach the maximum number of attempts
    /// of its queue.
    #[error("the task has failed as often as its queue allows: check the reasons of its failures")]
    #[serde(rename = "Spent")]
    AttemptsExhausted,
    /// The worker may not run the task, or registers with an older incarnation than the known one.
    #[error("unsuitable worker ({why}): offer another worker")]
    #[serde(rename = "Unfit")]
    UnsuitableWorker {
        /// The rule that the placement or the registration violates.
        why: String,
    },
    /// Not all members of a gang are placed together.
    #[error("the placement omits members of a gang: propose all of them")]
    #[serde(rename = "GangSplit")]
    GangIncomplete,
    /// The queue has as many speculative copies as its budget allows, or has exceeded its failure allowance.
    #[error("the queue's speculation budget is exhausted: wait")]
    #[serde(rename = "Budget")]
    SpeculationBudgetExhausted,
    /// The job would exceed the limit on unfinished jobs or on their memory. The leader responds with this instead of
    /// appending an entry.
    #[error(
        "the existing jobs leave too little capacity for this one: retry later, or split the job"
    )]
    InsufficientCapacity,
    /// A later order on the same subject was applied after this one was received; this one had no effect.
    #[error("a later order on {what} was applied first and this one had no effect: check that it is still wanted, then send it again")]
    Overtaken {
        /// Kind and name of the subject.
        what: String,
    },
}
