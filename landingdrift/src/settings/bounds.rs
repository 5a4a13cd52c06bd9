//! The time bounds that operators are promised, and the internal durations derived from them, all in milliseconds.

use serde::{Deserialize, Serialize};

/// The bounds that operators are promised; every internal duration is a ratio of one of them.
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
    /// A change of the configuration is in force within this time.
    #[serde(rename = "desired_ms")]
    pub config_ms: u64,
    /// Service returns within this time after a total outage.
    pub outage_ms: u64,
    /// A standby that is silent for three times as long is dropped from the membership.
    pub replace_ms: u64,
    /// The lease of a worker on what it runs lasts this long after each heartbeat, then the worker kills it; 0 is for
    /// ever.
    #[serde(rename = "hold_ms")]
    pub lease_ms: u64,
    /// How often workers heartbeat; 0 for an eighth of `leave_ms`.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// How long a process that is asked to stop may take before it is killed.
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
    /// The interval of a part's ticks.
    pub fn tick_interval(&self) -> u64 {
        self.config_ms / 100
    }

    /// The interval of a leader's heartbeats.
    pub fn heartbeat_interval(&self) -> u64 {
        self.config_ms / 20
    }

    /// The shortest silence after which a replica stands for election.
    pub fn election_timeout(&self) -> u64 {
        self.config_ms / 4
    }

    /// The silence after which a voter is exchanged for a standby that is caught up, and becomes a standby itself.
    pub fn voter_replacement_timeout(&self) -> u64 {
        4 * self.election_timeout()
    }

    /// How long a replica that is asked to stop waits for a standby to vote in its place.
    pub fn leave_timeout(&self) -> u64 {
        self.grace_ms * 5 / 8
    }

    /// How long a recovering replica waits for all others.
    pub fn recovery_wait(&self) -> u64 {
        self.outage_ms / 8
    }

    /// How old a node's watch may be while it answers callers from it: it shows cancels and configurations in time.
    pub fn max_watch_age(&self) -> u64 {
        (self.cancel_ms / 3).min(self.config_ms * 2 / 3)
    }

    /// How old the watch of a node may be while it acts as a zone scheduler: gives orders to workers and renews their
    /// leases.
    pub fn max_watch_age_for_zones(&self) -> u64 {
        self.cancel_ms / 6
    }

    /// How old the response to a heartbeat may be when its worker obeys a start order.
    pub fn max_start_order_age(&self) -> u64 {
        self.cancel_ms / 3
    }

    /// The silence after which the zone leases of a node are granted to others; longer than `fresh_for_zones` and
    /// `obey` together.
    pub fn node_timeout(&self) -> u64 {
        self.cancel_ms * 11 / 20
    }

    /// The silence after which the queue leases of a node are granted to others: the cluster state alone fences their
    /// starts.
    pub fn queue_lease_timeout(&self) -> u64 {
        self.cancel_ms / 4
    }

    /// The interval of workers' heartbeats.
    pub fn worker_heartbeat_interval(&self) -> u64 {
        if self.heartbeat_ms > 0 {
            self.heartbeat_ms
        } else {
            self.leave_ms / 8
        }
    }

    /// When a worker's lease has certainly expired by its own clock, which may run 2 % slow.
    pub fn lease_expired_after(&self) -> u64 {
        self.lease_ms + self.lease_ms * 3 / 100
    }

    /// The silence after which a worker is lost.
    pub fn worker_timeout(&self) -> u64 {
        self.cancel_ms
    }

    /// How long a call is worked on before its response is "unsure".
    pub fn request_timeout(&self) -> u64 {
        self.state_ms * 4 / 5
    }

    /// How long an offer waits for its response.
    pub fn offer_timeout(&self) -> u64 {
        self.config_ms / 4
    }

    /// The interval of a peer sampler's shuffles.
    pub fn shuffle_interval(&self) -> u64 {
        self.config_ms / 4
    }

    /// The interval after which reservations are placed again.
    pub fn reservation_interval(&self) -> u64 {
        self.config_ms / 2
    }

    /// How long a process that is asked to stop keeps serving, so that callers find out that it is not ready.
    pub fn serving_time_after_stop(&self) -> u64 {
        self.grace_ms * 5 / 12
    }

    /// When the parts of a process that was asked to stop are ended, even if they are not done.
    pub fn parts_deadline(&self) -> u64 {
        self.grace_ms * 2 / 3
    }

    /// When a process that was asked to stop has ended; the rest of the grace period is for a slow machine.
    pub fn process_deadline(&self) -> u64 {
        self.grace_ms * 4 / 5
    }

    /// How long the last responses may take to be transmitted.
    pub fn flush_timeout(&self) -> u64 {
        self.grace_ms / 60
    }

    /// The longest pause before a disk that refused is tried again.
    pub fn max_disk_retry_interval(&self) -> u64 {
        self.config_ms / 2
    }

    /// The usual pause before a caller that was told to come back does so.
    pub fn retry_after(&self) -> u64 {
        self.state_ms / 3
    }
}
