//! Why an entry was rejected.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why the cluster state has rejected an entry, or the leader did not append one. The messages name the remedy. Variants are
/// packed by their position: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Error, Serialize, Deserialize)]
pub enum Rejection {
    /// The base version of a change is not the current one any more.
    #[error(
        "another change came first: read version {current} and send the change again on top of it"
    )]
    #[serde(rename = "Rival")]
    VersionConflict {
        /// The current version.
        current: u64,
    },
    /// The same identity came with another body.
    #[error("this id was used with another body: give the new request an id of its own")]
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// A value is missing, wrong or not allowed.
    #[error("{path}: {remedy}")]
    Invalid {
        /// The path of the field at fault.
        path: String,
        /// What to do about it.
        remedy: String,
    },
    /// Something that the entry names is not known.
    #[error("{what} is not known: check the name")]
    Unknown {
        /// What is not known, with its name.
        what: String,
    },
    /// The queue holds as many unfinished jobs as its quota allows.
    #[error("the queue holds its quota of {quota} unfinished jobs: come back later")]
    OverQuota {
        /// The quota, in unfinished jobs.
        quota: u32,
    },
    /// The same id was rejected after this request was made.
    #[error("the same id was turned away while this call was under way: hand it in again")]
    #[serde(rename = "TurnedAway")]
    PreviouslyRejected,
    /// This copy of an order entered the log after its deadline; an earlier one may have taken effect.
    #[error(
        "the order came after its deadline: look whether it has taken effect, then give it again"
    )]
    #[serde(rename = "Late")]
    DeadlinePassed,
    /// No change of configuration can be remembered beside those of the last day.
    #[error("too many changes of configuration were made within a day: come back later")]
    TooManyChanges,
    /// The proposer's lease has passed to another.
    #[error("the duty has passed to another node: propose again through its holder")]
    #[serde(rename = "StaleGrant")]
    StaleLease,
    /// The job, the task or the founding has ended already.
    #[error("it has ended already: nothing more can be done to it")]
    Ended,
    /// The job is cancelled.
    #[error("the job is cancelled: hand in a new one")]
    Cancelled,
    /// The task's time has not come.
    #[error("its appointed time has not come: wait")]
    NotDue,
    /// A task that it depends on is not done.
    #[error("a step it depends on is not done: wait")]
    Waiting,
    /// The worker has too little left.
    #[error("the worker has no room left: offer another")]
    #[serde(rename = "NoRoom")]
    InsufficientResources,
    /// An attempt may be running, and the task may not be repeated, or not once more.
    #[error("it may be running already and may not be repeated: wait for its end")]
    #[serde(rename = "Repeat")]
    AlreadyRunning,
    /// The task has failed as often as its queue permits.
    #[error("it has failed as often as its queue permits: look at the defects")]
    #[serde(rename = "Spent")]
    AttemptsExhausted,
    /// The worker may not get the task.
    #[error("the worker does not fit ({why}): offer another")]
    #[serde(rename = "Unfit")]
    UnsuitableWorker {
        /// Which rule it breaks.
        why: String,
    },
    /// Not all members of a gang are placed.
    #[error("the gang must be placed whole: propose all its members")]
    #[serde(rename = "GangSplit")]
    GangIncomplete,
    /// The queue has as many speculative copies as its budget allows.
    #[error("the queue's speculation budget is in use: wait")]
    #[serde(rename = "Budget")]
    SpeculationBudgetExhausted,
    /// The replicas have no memory for one more job, or for one as large.
    #[error("the system has no memory for this job beside those that it holds: come back later, or split it")]
    InsufficientCapacity,
}
