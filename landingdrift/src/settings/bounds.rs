//! The bounds that operators are promised, and the durations inside that follow from them.

use serde::{Deserialize, Serialize};

/// Bounds that operators are promised; every duration inside is a ratio of one of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// A job's state can be asked for within this time of its acceptance.
    pub state_ms: u64,
    /// Nothing of a cancelled job starts after this time.
    pub cancel_ms: u64,
    /// A leaving worker gets nothing new after this time.
    pub leave_ms: u64,
    /// An evacuated zone gets nothing new after this time.
    #[serde(rename = "empty_ms")]
    pub evacuate_ms: u64,
    /// A change of configuration takes hold within this time.
    #[serde(rename = "desired_ms")]
    pub config_ms: u64,
    /// Service returns within this time after a total outage.
    pub outage_ms: u64,
    /// A standby that is silent for three times as long is dropped from the membership.
    pub replace_ms: u64,
    /// What runs on a worker is held for this long after each heartbeat, then its worker kills it; 0 holds for ever.
    #[serde(rename = "hold_ms")]
    pub lease_ms: u64,
    /// How often workers heartbeat; 0 for an eighth of `leave_ms`.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// How long a process that is told to end may take before it is killed.
    pub grace_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            state_ms: 3000,
            cancel_ms: 3000,
            leave_ms: 2000,
            evacuate_ms: 5000,
            config_ms: 2000,
            outage_ms: 12_000,
            replace_ms: 10_000,
            lease_ms: 0,
            heartbeat_ms: 0,
            grace_ms: 6000,
        }
    }
}

impl Bounds {
    /// How often parts look at the time.
    pub fn tick(&self) -> u64 {
        self.config_ms / 100
    }
    /// How often a leader is heard.
    pub fn heartbeat(&self) -> u64 {
        self.config_ms / 20
    }
    /// The shortest silence after which a replica stands for election.
    pub fn election(&self) -> u64 {
        self.config_ms / 4
    }
    /// The silence after which a voter is exchanged for a standby that is caught up: it only becomes a standby itself.
    pub fn exchange(&self) -> u64 {
        4 * self.election()
    }
    /// How long a replica that is asked to stop waits for a standby to vote in its place.
    pub fn leave(&self) -> u64 {
        self.grace_ms * 5 / 8
    }
    /// How long a recovering replica waits for all others.
    pub fn recovery_wait(&self) -> u64 {
        self.outage_ms / 8
    }
    /// How old a node's watch may be while it answers callers from it.
    pub fn fresh(&self) -> u64 {
        self.cancel_ms / 3
    }
    /// How old the watch of a node may be while it acts as a zone scheduler: gives orders to workers and renews their leases.
    pub fn fresh_for_zones(&self) -> u64 {
        self.cancel_ms / 6
    }
    /// How old a heartbeat's answer may be when its worker obeys a start order.
    pub fn obey(&self) -> u64 {
        self.cancel_ms / 3
    }
    /// The silence after which a node's zone schedulers pass to others; longer than `fresh_for_zones` and `obey` together.
    pub fn node_lost(&self) -> u64 {
        self.cancel_ms * 11 / 20
    }
    /// The silence after which a node's queues pass to others: their starts are fenced by the cluster state alone.
    pub fn queue_lost(&self) -> u64 {
        self.cancel_ms / 4
    }
    /// How often workers heartbeat.
    pub fn worker_heartbeat(&self) -> u64 {
        if self.heartbeat_ms > 0 {
            self.heartbeat_ms
        } else {
            self.leave_ms / 8
        }
    }
    /// When a lease has surely passed, by any worker's clock: those may run 2 % slow.
    pub fn lease_expired_after(&self) -> u64 {
        self.lease_ms + self.lease_ms * 3 / 100
    }
    /// The silence after which a worker is lost.
    pub fn worker_lost(&self) -> u64 {
        self.cancel_ms
    }
    /// How long a call is worked on before its response is "unsure".
    pub fn call(&self) -> u64 {
        self.state_ms * 4 / 5
    }
    /// How long an offer waits for its response.
    pub fn offer(&self) -> u64 {
        self.config_ms / 4
    }
    /// How often views are shuffled.
    pub fn shuffle(&self) -> u64 {
        self.config_ms / 4
    }
    /// How often reservations are looked through and placed anew.
    pub fn reserve(&self) -> u64 {
        self.config_ms / 2
    }
    /// How long a process that is told to end goes on serving, so that callers find out that it is not ready.
    pub fn serve_on(&self) -> u64 {
        self.grace_ms * 5 / 12
    }
    /// When the parts of a process that was told to end are ended, whatever they still have to do.
    pub fn end_parts(&self) -> u64 {
        self.grace_ms * 2 / 3
    }
    /// When a process that was told to end has surely ended; the rest of the grace is for a slow machine.
    pub fn end_process(&self) -> u64 {
        self.grace_ms * 4 / 5
    }
    /// How long the last answers may take to leave.
    pub fn flush_answers(&self) -> u64 {
        self.grace_ms / 60
    }
    /// The longest pause before a disk that refused is tried again.
    pub fn disk_pause(&self) -> u64 {
        self.config_ms / 2
    }
    /// When a caller told to come back should do so.
    pub fn back(&self) -> u64 {
        self.state_ms / 3
    }
}
