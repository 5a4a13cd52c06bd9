//! The condition of a replica's disk, and the replica's behaviour while the disk accepts no writes.
//!
//! While writes fail or stall, the replica does not lead, vote or accept entries. It still answers heartbeats, since
//! their responses acknowledge only durable entries. The writer thread retries all unconfirmed writes in order; the
//! first confirmed write restores the replica to full operation.

use super::{Replica, Role};
use crate::sans_io::Now;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// The disk is considered stalled when a write has been unconfirmed for this many election timeouts.
const STALL_ELECTION_TIMEOUTS: u64 = 2;

/// Whether the disk accepts and confirms writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Condition {
    #[default]
    Sound,
    /// A write failed with an error, and none has been confirmed since.
    Failing,
    /// A write was unconfirmed for longer than [`STALL_ELECTION_TIMEOUTS`], and none has been confirmed since.
    Stalled,
}

impl Condition {
    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Failing => "refusing",
            Self::Stalled => "stalled",
        }
    }
}

/// A write that was submitted to the disk and is not confirmed yet.
#[derive(Clone, Debug)]
struct UnconfirmedWrite {
    write_id: u64,
    submitted_at: u64,
}

/// The condition of a replica's disk. After a failure, the disk is considered sound again only once it has confirmed a
/// write. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct DiskHealth {
    condition: Condition,
    /// The time at which the disk entered this condition.
    since: u64,
    /// The error that led to this condition; empty while the disk is sound.
    reason: String,
    unconfirmed: VecDeque<UnconfirmedWrite>,
}

impl DiskHealth {
    /// Whether the disk accepts writes, so that the replica may lead, vote and accept entries.
    pub fn accepts_writes(&self) -> bool {
        self.condition == Condition::Sound
    }

    /// Records a write submitted to the disk.
    pub fn record_submitted(&mut self, at: u64, write_id: u64) {
        self.unconfirmed.push_back(UnconfirmedWrite {
            write_id,
            submitted_at: at,
        });
    }

    /// Records that all writes up to `write_id` are durable. If this ends an outage of the disk, returns its duration
    /// in milliseconds.
    pub fn record_confirmed(&mut self, at: u64, write_id: u64) -> Option<u64> {
        self.unconfirmed.retain(|write| write.write_id > write_id);
        if self.accepts_writes() {
            return None;
        }
        let unusable_ms = at.saturating_sub(self.since);
        self.set_condition(Condition::Sound, at, String::new());
        self.restart_timeouts(at);
        Some(unusable_ms)
    }

    /// Records that a write failed. Returns true if this is the first failure since the disk was in another condition.
    pub fn record_failure(&mut self, at: u64, reason: &str) -> bool {
        let has_changed = self.condition != Condition::Failing;
        if has_changed {
            self.set_condition(Condition::Failing, at, reason.into());
        }
        has_changed
    }

    /// Checks whether a write has been unconfirmed for longer than `timeout_ms`. Returns whether the disk has just
    /// become stalled.
    pub fn check_stalled(&mut self, at: u64, timeout_ms: u64) -> bool {
        let oldest = self.unconfirmed.front();
        let overdue = oldest.is_some_and(|write| write.submitted_at + timeout_ms < at);
        let has_changed = overdue && self.accepts_writes();
        if has_changed {
            let reason = format!("no write completed for {timeout_ms} ms");
            self.set_condition(Condition::Stalled, at, reason);
        }
        has_changed
    }

    /// Restarts the timeouts of all unconfirmed writes.
    pub fn restart_timeouts(&mut self, at: u64) {
        for write in &mut self.unconfirmed {
            write.submitted_at = at;
        }
    }

    /// The condition of the disk as shown by `/v1/status`.
    pub fn report(&self, at: u64) -> Value {
        json!({
            "state": self.condition.name(),
            "sinceMs": at.saturating_sub(self.since),
            "why": self.reason,
            "writesWaiting": self.unconfirmed.len(),
        })
    }

    fn set_condition(&mut self, condition: Condition, at: u64, reason: String) {
        self.condition = condition;
        self.since = at;
        self.reason = reason;
    }
}

impl Replica {
    /// Steps down when writes begin to fail; further failures are only counted.
    pub(super) fn on_disk_error(&mut self, now: Now, reason: &str) {
        if !self.disk_health.record_failure(now.mono, reason) {
            self.count("disk_retries", 1);
            return;
        }
        self.count("disk_refused", 1);
        self.outbox.log(format!(
            "write to the data folder failed ({reason}): this replica neither leads nor votes until a write succeeds; the write is retried automatically"
        ));
        self.step_down(now);
    }

    /// Steps down if the disk has stalled.
    pub(super) fn disk_health_tick(&mut self, now: Now) {
        let timeout_ms = STALL_ELECTION_TIMEOUTS * self.settings.bounds.election_timeout();
        if !self.disk_health.check_stalled(now.mono, timeout_ms) {
            return;
        }
        self.count("disk_stalled", 1);
        self.outbox.log(format!(
            "no write to the data folder completed for {timeout_ms} ms: this replica neither leads nor votes until one does"
        ));
        self.step_down(now);
    }

    /// Handles confirmed writes: if this ends an outage of the disk, the replica takes part in elections again.
    pub(super) fn on_write_confirmed(&mut self, now: Now, write_id: u64) {
        if let Some(unusable_ms) = self.disk_health.record_confirmed(now.mono, write_id) {
            self.outbox.log(format!(
                "the disk accepts writes again after {unusable_ms} ms"
            ));
            self.reset_election_timer(now);
        }
    }

    /// Becomes a follower; a leader first asks the best successor to take over.
    fn step_down(&mut self, now: Now) {
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        }
        if self.role != Role::Follower {
            self.become_follower(now, self.hard_state.term, "");
        }
    }
}
