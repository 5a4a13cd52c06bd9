//! Time bounds that the system promises to operators, and internal durations derived from them, all in milliseconds.

use serde::{Deserialize, Serialize};

/// Time bounds that the system promises to operators. Every internal duration is a fixed fraction or multiple of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Maximum time from a job's acceptance until its state can be queried.
    pub state_ms: u64,
    /// Maximum time from a job's cancellation until none of its tasks start any more.
    pub cancel_ms: u64,
    /// Maximum time from a worker's announcement that it leaves until it gets no new work.
    pub leave_ms: u64,
    /// Maximum time from the evacuation of a zone until it gets no new work.
    #[serde(rename = "empty_ms")]
    pub evacuate_ms: u64,
    /// Maximum time until a configuration change is in force.
    #[serde(rename = "desired_ms")]
    pub config_ms: u64,
    /// Maximum time until service is restored after a total outage.
    pub outage_ms: u64,
    /// The leader forgets a request to join the membership after this duration, unless it is repeated. A standby is
    /// removed from the membership after three times this duration without contact.
    pub replace_ms: u64,
    /// Duration of a worker's lease on its attempts after each heartbeat. When the lease expires, the worker kills the
    /// attempts. 0 for leases that don't expire.
    #[serde(rename = "hold_ms")]
    pub lease_ms: u64,
    /// Interval of workers' heartbeats; 0 means an eighth of `leave_ms`.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// Time that a process has to stop gracefully before it is killed.
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
    /// Interval of the ticks of all state machines.
    pub fn tick_interval(&self) -> u64 {
        self.config_ms / 100
    }

    /// Interval of a leader's heartbeats.
    pub fn heartbeat_interval(&self) -> u64 {
        self.config_ms / 20
    }

    /// Minimum time without contact to a leader after which a replica starts an election.
    pub fn election_timeout(&self) -> u64 {
        self.config_ms / 4
    }

    /// Time without contact after which a voter is replaced by a standby that is caught up, and becomes a standby
    /// itself.
    pub fn voter_replacement_timeout(&self) -> u64 {
        4 * self.election_timeout()
    }

    /// How long a replica that shuts down waits for a standby to replace it as a voter.
    pub fn voter_handover_timeout(&self) -> u64 {
        self.grace_ms * 5 / 8
    }

    /// How long a recovering replica waits for responses of all other replicas.
    pub fn recovery_wait(&self) -> u64 {
        self.outage_ms / 8
    }

    /// Maximum age of a node's watch up to which the node answers clients from it. Responses thus reflect cancellations
    /// and configuration changes within their bounds.
    pub fn max_watch_age(&self) -> u64 {
        (self.cancel_ms / 3).min(self.config_ms * 2 / 3)
    }

    /// Maximum age of a node's watch up to which the node acts as a zone scheduler, that is, sends orders to workers and
    /// renews their leases.
    pub fn max_watch_age_for_zones(&self) -> u64 {
        self.cancel_ms / 6
    }

    /// Maximum age of a heartbeat response up to which the worker obeys start orders in it.
    pub fn max_start_order_age(&self) -> u64 {
        self.cancel_ms / 3
    }

    /// Time without contact to a node after which its zone leases are granted to others; longer than
    /// [`Bounds::max_watch_age_for_zones`] and [`Bounds::max_start_order_age`] together, so that none of the node's
    /// start orders is obeyed later.
    pub fn node_timeout(&self) -> u64 {
        self.cancel_ms * 11 / 20
    }

    /// Time without contact to a node after which its queue leases are granted to others. A short time is safe, because
    /// the cluster state rejects starts that a former holder proposes.
    pub fn queue_lease_timeout(&self) -> u64 {
        self.cancel_ms / 4
    }

    /// Interval of workers' heartbeats.
    pub fn worker_heartbeat_interval(&self) -> u64 {
        if self.heartbeat_ms > 0 {
            self.heartbeat_ms
        } else {
            self.leave_ms / 8
        }
    }

    /// Time after which a worker's lease has certainly expired, even if the worker's clock runs 2 % slow.
    pub fn lease_expired_after(&self) -> u64 {
        self.lease_ms + self.lease_ms * 3 / 100
    }

    /// Time without heartbeats after which a worker is marked as lost.
    pub fn worker_timeout(&self) -> u64 {
        self.cancel_ms
    }

    /// How long a node processes a request before it responds with `unsure`.
    pub fn request_timeout(&self) -> u64 {
        self.state_ms * 4 / 5
    }

    /// How long the offer of a slot stays open without a response.
    pub fn offer_timeout(&self) -> u64 {
        self.config_ms / 4
    }

    /// Interval of a peer sampler's shuffles.
    pub fn shuffle_interval(&self) -> u64 {
        self.config_ms / 4
    }

    /// Interval at which the reservations of waiting tasks are sent again.
    pub fn reservation_interval(&self) -> u64 {
        self.config_ms / 2
    }

    /// How long a stopping process keeps serving, so that clients and load balancers notice that it is not ready.
    pub fn serving_time_after_stop(&self) -> u64 {
        self.grace_ms * 5 / 12
    }

    /// Time after a stop request at which the state machines of a process are ended, even if they have not finished.
    pub fn parts_deadline(&self) -> u64 {
        self.grace_ms * 2 / 3
    }

    /// Time after a stop request at which the process must have ended; the rest of the grace period is reserved for a
    /// slow machine.
    pub fn process_deadline(&self) -> u64 {
        self.grace_ms * 4 / 5
    }

    /// How long a stopping process may take to transmit its last responses.
    pub fn flush_timeout(&self) -> u64 {
        self.grace_ms / 60
    }

    /// Maximum pause before a failed disk write is retried.
    pub fn max_disk_retry_interval(&self) -> u64 {
        self.config_ms / 2
    }

    /// Default pause after which clients are asked to retry.
    pub fn retry_after(&self) -> u64 {
        self.state_ms / 3
    }
}
