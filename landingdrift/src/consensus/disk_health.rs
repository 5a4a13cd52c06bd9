//! What a replica knows of its own disk, and what it does while the disk takes no writes.
//!
//! While the disk refuses or stalls, the replica does not lead, vote or accept entries. It still answers heartbeats,
//! since those promise nothing that is not durable. The writing thread retries by itself, in order, everything that was
//! handed over and not confirmed; the first confirmation makes the replica a full one again.

use super::{Replica, Role};
use crate::sans_io::Now;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Election time-outs without a confirmed write after which the disk counts as stalled.
const STALL_ELECTION_TIMEOUTS: u64 = 2;

/// Whether the disk takes what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Condition {
    #[default]
    Sound,
    /// It answered the last write with an error.
    Refusing,
    /// It has confirmed nothing for too long.
    Stalled,
}

impl Condition {
    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Refusing => "refusing",
            Self::Stalled => "stalled",
        }
    }
}

/// A write that was handed over and not confirmed.
#[derive(Clone, Debug)]
struct UnconfirmedWrite {
    write_id: u64,
    submitted_at: u64,
}

/// The condition of a replica's disk. It counts as sound again only once it has confirmed a write. Times are monotonic
/// milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct DiskHealth {
    condition: Condition,
    /// When the disk came into this condition.
    since: u64,
    reason: String,
    unconfirmed: VecDeque<UnconfirmedWrite>,
}

impl DiskHealth {
    /// Whether the replica may rely on its disk.
    pub fn takes_writes(&self) -> bool {
        self.condition == Condition::Sound
    }

    /// Notes that a write was handed over.
    pub fn record_submitted(&mut self, at: u64, write_id: u64) {
        self.unconfirmed.push_back(UnconfirmedWrite {
            write_id,
            submitted_at: at,
        });
    }

    /// Notes that all writes up to `write_id` are durable. Returns for how long the disk had taken none, if it had not.
    pub fn record_confirmed(&mut self, at: u64, write_id: u64) -> Option<u64> {
        self.unconfirmed.retain(|write| write.write_id > write_id);
        if self.takes_writes() {
            return None;
        }
        let unusable_ms = at.saturating_sub(self.since);
        self.enter(Condition::Sound, at, String::new());
        self.restart_timeouts(at);
        Some(unusable_ms)
    }

    /// Notes that the disk refused a write. Returns whether it took writes, or only stalled, until now.
    pub fn record_refusal(&mut self, at: u64, reason: &str) -> bool {
        let is_news = self.condition != Condition::Refusing;
        if is_news {
            self.enter(Condition::Refusing, at, reason.into());
        }
        is_news
    }

    /// Checks whether a write has been unconfirmed for longer than `timeout_ms`. Returns whether that is news.
    pub fn check_stalled(&mut self, at: u64, timeout_ms: u64) -> bool {
        let oldest = self.unconfirmed.front();
        let overdue = oldest.is_some_and(|write| write.submitted_at + timeout_ms < at);
        let is_news = overdue && self.takes_writes();
        if is_news {
            let reason = format!("nothing was confirmed for {timeout_ms} ms");
            self.enter(Condition::Stalled, at, reason);
        }
        is_news
    }

    /// Starts all waits anew: the process itself stood still, not the disk.
    pub fn restart_timeouts(&mut self, at: u64) {
        for write in &mut self.unconfirmed {
            write.submitted_at = at;
        }
    }

    /// The condition as `/v1/status` shows it.
    pub fn report(&self, at: u64) -> Value {
        json!({
            "state": self.condition.name(),
            "sinceMs": at.saturating_sub(self.since),
            "why": self.reason,
            "writesWaiting": self.unconfirmed.len(),
        })
    }

    fn enter(&mut self, condition: Condition, at: u64, reason: String) {
        self.condition = condition;
        self.since = at;
        self.reason = reason;
    }
}

impl Replica {
    /// The disk refused a write.
    pub(super) fn on_disk_error(&mut self, now: Now, reason: &str) {
        if !self.disk_health.record_refusal(now.mono, reason) {
            self.count("disk_retries", 1);
            return;
        }
        self.count("disk_refused", 1);
        self.outbox.log(format!(
            "the disk refused ({reason}): this replica neither leads nor votes until a write succeeds; it tries by itself"
        ));
        self.step_down(now);
    }

    /// Steps aside when the disk has confirmed nothing for too long.
    pub(super) fn disk_health_tick(&mut self, now: Now) {
        let timeout_ms = STALL_ELECTION_TIMEOUTS * self.settings.bounds.election_timeout();
        if !self.disk_health.check_stalled(now.mono, timeout_ms) {
            return;
        }
        self.count("disk_stalled", 1);
        self.outbox.log(format!(
            "the disk has confirmed nothing for {timeout_ms} ms: this replica neither leads nor votes until it does"
        ));
        self.step_down(now);
    }

    /// The disk has confirmed writes: if it took none before, the replica takes part in elections again.
    pub(super) fn on_write_confirmed(&mut self, now: Now, write_id: u64) {
        if let Some(unusable_ms) = self.disk_health.record_confirmed(now.mono, write_id) {
            self.outbox.log(format!(
                "the disk takes writes again, after {unusable_ms} ms"
            ));
            self.reset_election_timer(now);
        }
    }

    /// Gives up leading, or standing for election; the best successor is asked to lead.
    fn step_down(&mut self, now: Now) {
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        }
        if self.role != Role::Follower {
            self.become_follower(now, self.hard_state.term, "");
        }
    }
}
