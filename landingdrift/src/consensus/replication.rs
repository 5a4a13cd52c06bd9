//! The leader's side of replication: appending to the log, sending entries, and committing those that a majority has.

use super::clock::ClockReading;
use super::position::LogPosition;
use super::progress::Progress;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{AppendRequest, AppendResponse, Body, DurabilityWitness, Entry};

/// The maximum number of entries in one message to a replica.
const MAX_BATCH_ENTRIES: usize = 512;
/// A batch without a response is considered lost after this many heartbeat intervals.
const RESEND_AFTER_HEARTBEATS: u64 = 4;

impl Replica {
    /// Appends one of the leader's own commands to the log; returns its index.
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

    /// The cluster time of the last entry, applied or not.
    pub(super) fn last_entry_time(&self) -> u64 {
        let in_log = self.log.last_entry_time().unwrap_or(0);
        in_log.max(self.state.at)
    }

    /// Sends new entries to all other replicas. With `heartbeat`, replicas that lack no entries or have a batch in
    /// flight are sent a message as well.
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

    /// Sends a replica the entries that it lacks, one batch at a time, or a snapshot if the log no longer contains
    /// them. Heartbeats continue while either is in flight.
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
            // The log no longer contains the entries that the replica needs, so a snapshot must be installed first.
            // Heartbeats continue during the transfer.
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
        let progress = self.leadership.progress.get(to);
        let echo = progress.and_then(|progress| progress.last_stamp);
        let request = AppendRequest {
            term: self.hard_state.term,
            prev_index: previous.index,
            prev_term: previous.term,
            commit: self.log.commit_index,
            round: self.leadership.rounds.current(),
            entries,
            witnesses: self.witnesses_with_own(),
            clock: self.clock.stated_time(now),
            may_leave: self.may_leave(now, to),
            echo,
        };
        self.send(to, Body::AppendRequest(Box::new(request)));
    }

    /// The witnesses for all disks, including the leader's own: it counts towards the majority, so the others must
    /// record its position as well.
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

    /// Handles a replica's response to an append request.
    pub(super) fn on_append_response(&mut self, now: Now, from: &str, response: &AppendResponse) {
        if response.term > self.hard_state.term {
            self.become_follower(now, response.term, "");
            return;
        }
        if self.role != Role::Leader || response.term < self.hard_state.term {
            return;
        }
        let round_sent_at = self.leadership.rounds.sent_at(response.round);
        if response.clock > 0 {
            let reading = ClockReading {
                time: response.clock,
                is_agreed: response.carried,
            };
            let not_before = (round_sent_at > 0).then_some(round_sent_at);
            self.clock.observe(now, from, reading, not_before);
        }
        let Some(progress) = self.leadership.progress.get_mut(from) else {
            return;
        };
        if !record_response(progress, now, response, round_sent_at) {
            return;
        }
        // A response to an older round says nothing about the batch in flight.
        let is_current = response.round >= progress.in_flight_round;
        if is_current {
            progress.in_flight_round = 0;
        }
        if response.ok {
            self.on_entries_matched(now, from, response, is_current);
        } else if is_current {
            // Continue from an index at which the logs may match. If the log is shorter than the replica had
            // acknowledged, its disk has lost entries.
            progress.match_index = progress.match_index.min(response.last_index);
            progress.next_index = (response.last_index + 1).min(response.matched).max(1);
            self.replicate(now, from, true);
        }
        self.answer_reads(now);
    }

    /// Records that the replica's log matches this one's up to `response.matched`.
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

    /// Commits the entries that a majority has on disk. Entries of earlier terms are committed only together with one
    /// of the current term.
    pub(super) fn advance_commit(&mut self, now: Now) {
        let match_indexes = self.voter_values(self.persistence.durable_index, |p| p.match_index);
        let index = Self::reached_by_majority(match_indexes);
        let is_of_current_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.log.commit_index || !is_of_current_term {
            return;
        }
        self.log.commit_index = index;
        self.apply_committed();
        // The others are notified at once, so that they record the position of this disk before it can lose entries.
        self.leadership.round_requested = true;
        self.leadership.heartbeat_requested = true;
        self.push_to_watchers(now);
        self.answer_reads(now);
    }
}

/// Updates a replica's progress from any response. Returns false for a late response from a disk that was replaced.
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
    progress.last_stamp = response.stamp.or(progress.last_stamp);
    progress.acked_round_sent_at = progress.acked_round_sent_at.max(round_sent_at);
    let refused_writes_before =
        std::mem::replace(&mut progress.disk_refuses_writes, response.refuses);
    if response.refuses || refused_writes_before {
        // Sending resumes after the last entry known to be durable, once the disk accepts writes.
        progress.rewind();
    }
    true
}
