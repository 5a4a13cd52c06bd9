//! The follower's side of replication: appending the leader's entries and acknowledging the durable ones.

use super::Replica;
use crate::cluster_time::{returned_stamp, StatedTime};
use crate::sans_io::Now;
use crate::wire::{AppendRequest, AppendResponse, Body, Entry};

/// The leader to be notified when further entries become durable, and the round of its last request.
#[derive(Clone, Debug)]
pub(super) struct PendingAcknowledgement {
    pub leader: String,
    pub round: u64,
}

impl Replica {
    /// Follows the sender unless its term is outdated, appends its entries if the logs match, and acknowledges those
    /// that are durable. While the disk accepts no writes, no entry is appended.
    pub(super) fn on_append_request(&mut self, now: Now, from: &str, request: AppendRequest) {
        if request.term < self.hard_state.term {
            self.reject_stale_leader(now, from);
            return;
        }
        self.become_follower(now, request.term, from);
        self.election.last_leader_contact = now.mono;
        self.reset_election_timer(now);
        let stated = StatedTime {
            time: request.clock,
            not_before: returned_stamp(self.incarnation, request.echo),
        };
        self.clock.follow_leader(now, stated);
        self.shutdown.leave_permitted = request.may_leave;
        self.remember_witnesses(request.witnesses);

        let accepts_writes = self.disk_health.accepts_writes();
        let previous_matches = request.prev_index < self.log.base().index
            || self.log.term_at(request.prev_index) == Some(request.prev_term);
        // If the logs do not match, the response states `prev_index`, the index at which the check failed.
        let mut matched = request.prev_index;
        if previous_matches {
            if accepts_writes {
                matched = self.append_entries(request.entries).unwrap_or(matched);
            }
            self.log.verified_index = self.log.verified_index.max(matched);
            let committed = request.commit.min(matched);
            self.log.commit_index = self.log.commit_index.max(committed);
            self.apply_committed();
            self.try_clear_recovery_floor();
        }
        self.flush();
        if previous_matches {
            matched = matched.min(self.persistence.durable_index);
        }
        self.pending_acknowledgement = Some(PendingAcknowledgement {
            leader: from.to_string(),
            round: request.round,
        });
        let response = AppendResponse {
            ok: previous_matches,
            matched,
            round: request.round,
            ..self.append_response_at(now)
        };
        self.send_when_term_durable(from, Body::AppendResponse(Box::new(response)));
    }

    /// Appends the entries that are missing, replacing conflicting ones; returns the index of the last entry received.
    fn append_entries(&mut self, entries: Vec<Entry>) -> Option<u64> {
        let last_received = entries.last().map(|entry| entry.index);
        for entry in entries {
            let is_covered = entry.index <= self.log.base().index;
            if is_covered || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last().index {
                self.truncate_log(entry.index);
            }
            if entry.index == self.log.last().index + 1 {
                self.log.append(entry.clone());
                self.persistence.write_entry(entry);
                self.membership.invalidate();
            }
        }
        last_received
    }

    /// Removes the entries from `index` on, which conflict with the leader's log.
    fn truncate_log(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.persistence.truncate_from(index);
        self.membership.invalidate();
        self.count("entries_truncated", 1);
    }

    fn reject_stale_leader(&mut self, now: Now, from: &str) {
        let response = AppendResponse {
            ok: false,
            refuses: false,
            ..self.append_response_at(now)
        };
        self.send(from, Body::AppendResponse(Box::new(response)));
    }

    /// Acknowledges to the leader the entries that have become durable since its last request.
    pub(super) fn acknowledge_durable(&mut self) {
        let Some(pending) = self.pending_acknowledgement.clone() else {
            return;
        };
        if pending.leader != self.leader || pending.leader.is_empty() {
            return;
        }
        let response = AppendResponse {
            ok: true,
            matched: self.persistence.durable_index.min(self.log.verified_index),
            round: pending.round,
            ..self.append_response()
        };
        self.send_when_term_durable(&pending.leader, Body::AppendResponse(Box::new(response)));
    }

    /// Like [`Self::append_response`], with a clock reading and a stamp.
    fn append_response_at(&self, now: Now) -> AppendResponse {
        let reading = self.clock.reading(now);
        AppendResponse {
            clock: reading.time,
            carried: reading.is_agreed,
            stamp: Some(self.stamp(now)),
            ..self.append_response()
        }
    }

    /// An append response with the fields that do not depend on the request; the caller sets the others.
    fn append_response(&self) -> AppendResponse {
        AppendResponse {
            term: self.hard_state.term,
            ok: false,
            matched: 0,
            last_index: self.log.last().index,
            round: 0,
            clock: 0,
            carried: false,
            disk: self.disk,
            leaving: self.shutdown.is_requested(),
            refuses: !self.disk_health.accepts_writes(),
            stamp: None,
        }
    }
}
