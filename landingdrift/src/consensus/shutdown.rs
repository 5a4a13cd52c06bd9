//! Orderly shutdown of a replica: it transfers leadership and waits until a standby votes in its place. It answers
//! requests until then.

use super::{Replica, Role};
use crate::sans_io::Now;

/// The state of an orderly shutdown. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Shutdown {
    /// The time at which the replica exits at the latest; `None` unless a shutdown was requested.
    deadline: Option<u64>,
    /// Whether the leader permits the replica to exit without being replaced.
    pub leave_permitted: bool,
    /// The time at which another replica was last asked to take over leadership.
    pub transfer_requested_at: u64,
}

impl Shutdown {
    /// Whether a shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.deadline.is_some()
    }
}

impl Replica {
    /// Begins an orderly shutdown and sets its deadline; a leader asks its best successor to take over. Repeated
    /// requests have no effect.
    pub(super) fn on_stop(&mut self, now: Now) {
        if self.shutdown.is_requested() {
            return;
        }
        self.shutdown.deadline = Some(now.mono + self.settings.bounds.voter_handover_timeout());
        self.shutdown.leave_permitted = false;
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        }
    }

    /// Exits once a standby votes in this replica's place, once the leader reports that none can, or at the deadline.
    /// Until then, a leader repeatedly asks its best successor to take over leadership.
    pub(super) fn shutdown_tick(&mut self, now: Now) {
        let Some(deadline) = self.shutdown.deadline else {
            return;
        };
        let member = self.state.replicas.get(&self.name);
        let is_voter = member.is_some_and(|m| m.voter);
        let may_end = self.role != Role::Leader && (!is_voter || self.shutdown.leave_permitted);
        if now.mono >= deadline || may_end {
            self.outbox.exit();
            return;
        }
        let next_request_at =
            self.shutdown.transfer_requested_at + self.settings.bounds.heartbeat_interval();
        if self.role == Role::Leader && now.mono >= next_request_at {
            self.transfer_leadership(now);
        }
    }
}
