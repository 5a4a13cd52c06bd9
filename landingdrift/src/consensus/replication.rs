//! Replication by the leader: appending to the log, sending entries, and committing what a majority holds.

use super::clock::ClockReading;
use super::position::LogPosition;
use super::progress::Progress;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{AppendRequest, AppendResponse, Body, DurabilityWitness, Entry};

/// Entries in one message to a replica.
const MAX_BATCH_ENTRIES: usize = 512;
/// A batch without an answer counts as lost after so many heartbeats.
const RESEND_AFTER_HEARTBEATS: u64 = 4;

impl Replica {
    /// Appends a command of the leader's own to the log; returns its index.
    pub(super) fn append_command(&mut self, now: Now, command: &Command) -> u64 {
        let changes_membership = matches!(
            command,
            Command::FoundCluster { .. }
                | Command::UpdateReplica { .. }
                | Command::RemoveReplica { .. }
        );
        if changes_membership {
            self.membership.invalidate();
        }
        self.append_bytes(now, command.pack())
    }

    /// Appends a packed command to the log; returns its index.
    pub(super) fn append_bytes(&mut self, now: Now, command: Vec<u8>) -> u64 {
        let previous_time = self.last_entry_time();
        self.count("log_bytes", command.len() as u64);
        let entry = Entry {
            index: self.log.last().index + 1,
            term: self.hard_state.term,
            at: self.clock.read(now).max(previous_time),
            command,
        };
        let index = entry.index;
        self.log.append(entry.clone());
        self.persistence.write_entry(entry);
        index
    }

    /// The time of the last entry, applied or not, by the cluster clock.
    pub(super) fn last_entry_time(&self) -> u64 {
        let in_log = self.log.last_entry_time().unwrap_or(0);
        in_log.max(self.state.at)
    }

    /// Sends new entries to all other replicas. With `heartbeat`, replicas for which there is nothing new, or whose
    /// batch is in flight, hear from the leader as well.
    pub(super) fn send_round(&mut self, now: Now, heartbeat: bool) {
        self.leadership.rounds.begin(now);
        if heartbeat {
            self.leadership.rounds.last_heartbeat_at = now.mono;
        }
        let replicas: Vec<String> = self.leadership.progress.keys().cloned().collect();
        for replica in replicas {
            self.replicate(now, &replica, heartbeat);
        }
    }

    /// Sends a replica the entries that it lacks. One batch is in flight at a time; heartbeats go out beside it.
    pub(super) fn replicate(&mut self, now: Now, to: &str, heartbeat: bool) {
        let resend_after = RESEND_AFTER_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let Some(progress) = self.leadership.progress.get_mut(to) else {
            return;
        };
        if progress.in_flight_round > 0 && now.mono >= progress.last_sent_at + resend_after {
            progress.rewind();
        }
        let is_paused = progress.is_paused();
        let (next_index, match_index) = (progress.next_index, progress.match_index);
        if !heartbeat && (is_paused || next_index > self.log.last().index) {
            return;
        }
        let previous_index = if is_paused {
            match_index
        } else {
            next_index - 1
        };
        let previous_term = self.log.term_at(previous_index);
        if previous_term.is_none() && !is_paused {
            // The log does not reach back that far: a snapshot goes first, beside the heartbeats.
            self.send_snapshot(now, to);
            if !heartbeat {
                return;
            }
        }
        let entries = if is_paused || previous_term.is_none() {
            Vec::new()
        } else {
            self.log.batch(next_index, MAX_BATCH_ENTRIES)
        };
        if let Some(last) = entries.last() {
            let round = self.leadership.rounds.begin(now);
            if let Some(progress) = self.leadership.progress.get_mut(to) {
                progress.next_index = last.index + 1;
                progress.last_sent_at = now.mono;
                progress.in_flight_round = round;
            }
        }
        let previous = previous_term.map(|term| LogPosition::new(term, previous_index));
        self.send_append_request(now, to, previous.unwrap_or_default(), entries);
    }

    fn send_append_request(
        &mut self,
        now: Now,
        to: &str,
        previous: LogPosition,
        entries: Vec<Entry>,
    ) {
        let clock = if self.clock.is_set() {
            self.clock.read(now)
        } else {
            0
        };
        let request = AppendRequest {
            term: self.hard_state.term,
            prev_index: previous.index,
            prev_term: previous.term,
            commit: self.log.commit_index,
            round: self.leadership.rounds.current(),
            entries,
            witnesses: self.witnesses_with_own(),
            clock,
            may_leave: self.may_leave(now, to),
        };
        self.send(to, Body::AppendRequest(Box::new(request)));
    }

    /// What is known of all disks. The leader's own counts towards the majority, so the others remember it as well.
    fn witnesses_with_own(&self) -> Vec<DurabilityWitness> {
        let index = self.persistence.durable_index;
        let own = DurabilityWitness {
            replica: self.name.clone(),
            disk: self.disk,
            index,
            term: self.log.term_at(index).unwrap_or(0),
        };
        self.witnesses.values().cloned().chain([own]).collect()
    }

    /// A replica has answered a request to append.
    pub(super) fn on_append_response(&mut self, now: Now, from: &str, response: &AppendResponse) {
        if response.term > self.hard_state.term {
            self.become_follower(now, response.term, "");
            return;
        }
        if self.role != Role::Leader || response.term < self.hard_state.term {
            return;
        }
        if response.clock > 0 {
            let reading = ClockReading {
                time: response.clock,
                is_agreed: response.carried,
            };
            self.clock.observe(now, from, reading);
        }
        let round_sent_at = self.leadership.rounds.sent_at(response.round);
        let Some(progress) = self.leadership.progress.get_mut(from) else {
            return;
        };
        if !record_response(progress, now, response, round_sent_at) {
            return;
        }
        // An answer to an older round says nothing about the batch in flight.
        let is_current = response.round >= progress.in_flight_round;
        if is_current {
            progress.in_flight_round = 0;
        }
        if response.ok {
            self.on_entries_matched(now, from, response, is_current);
        } else if is_current {
            // Back to where the logs may agree. A log shorter than acknowledged before means that its disk lost some.
            progress.match_index = progress.match_index.min(response.last_index);
            progress.next_index = (response.last_index + 1).min(response.matched).max(1);
            self.replicate(now, from, true);
        }
        self.answer_reads(now);
    }

    /// The replica's log agrees with this one's up to `response.matched`.
    fn on_entries_matched(
        &mut self,
        now: Now,
        from: &str,
        response: &AppendResponse,
        is_current: bool,
    ) {
        let last_index = self.log.last().index;
        let Some(progress) = self.leadership.progress.get_mut(from) else {
            return;
        };
        let matched = progress.match_index.max(response.matched.min(last_index));
        progress.match_index = matched;
        progress.next_index = progress.next_index.max(matched + 1);
        self.remember_witness(DurabilityWitness {
            replica: from.into(),
            disk: response.disk,
            index: matched,
            term: self.log.term_at(matched).unwrap_or(0),
        });
        self.advance_commit(now);
        let progress = self.leadership.progress.get(from);
        let lacks_entries = progress.is_some_and(|p| p.next_index <= last_index);
        if lacks_entries && is_current {
            self.replicate(now, from, false);
        }
    }

    /// Commits what a majority has on disk. Entries of earlier terms are committed by one of the current term only.
    pub(super) fn advance_commit(&mut self, now: Now) {
        let match_indexes = self.voter_values(self.persistence.durable_index, |p| p.match_index);
        let index = Self::reached_by_majority(match_indexes);
        let is_of_current_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.log.commit_index || !is_of_current_term {
            return;
        }
        self.log.commit_index = index;
        self.apply_committed();
        // The others hear at once what was acknowledged, so that they remember it should this disk lose it.
        self.leadership.round_requested = true;
        self.leadership.heartbeat_requested = true;
        self.push_to_watchers(now);
        self.answer_reads(now);
    }
}

/// Takes note of what any answer tells of a replica. Returns false for a late answer of a disk that is gone.
fn record_response(
    progress: &mut Progress,
    now: Now,
    response: &AppendResponse,
    round_sent_at: u64,
) -> bool {
    if response.round >= progress.acked_round {
        progress.acked_round = response.round;
        progress.leaving = response.leaving;
        progress.record_disk(response.disk);
    }
    if progress.disk != response.disk {
        return false;
    }
    progress.last_heard_at = now.mono;
    progress.acked_round_sent_at = progress.acked_round_sent_at.max(round_sent_at);
    let refused_before = std::mem::replace(&mut progress.disk_refuses_writes, response.refuses);
    if response.refuses || refused_before {
        // From the last entry that is known to be durable again, once its disk takes writes.
        progress.rewind();
    }
    true
}
