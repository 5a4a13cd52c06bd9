//! Writes of this replica to its disk: pending, in flight and durable.
//!
//! Changes are collected in a batch and submitted by [`Replica::flush`]. A message that acknowledges durable state is
//! deferred until the write that makes the state durable is confirmed.

use super::{Replica, Role};
use crate::sans_io::{HardState, Now, Snapshot, WriteBatch};
use crate::wire::{Body, DurabilityWitness, Entry};
use std::collections::VecDeque;

/// A write that was submitted to the disk and is not confirmed yet.
#[derive(Clone, Debug)]
struct InFlightWrite {
    write_id: u64,
    /// The last index of the log on disk once the write is durable.
    last_index: u64,
}

/// A message that is sent once a write is durable.
#[derive(Clone, Debug)]
struct DeferredMessage {
    after_write: u64,
    to: String,
    body: Body,
}

/// The state of this replica's writes.
#[derive(Clone, Debug)]
pub(super) struct Persistence {
    /// Changes that are not submitted to the disk yet.
    batch: WriteBatch,
    /// The number of the newest submitted write.
    last_write: u64,
    /// The number of the newest durable write.
    durable_write: u64,
    /// The number of the write that makes the current term and vote durable.
    hard_state_write: u64,
    in_flight: VecDeque<InFlightWrite>,
    deferred: VecDeque<DeferredMessage>,
    /// Entries up to this index are durable.
    pub durable_index: u64,
}

impl Persistence {
    /// Creates the state without pending writes; the log is durable up to `durable_index`.
    pub fn new(durable_index: u64) -> Self {
        Self {
            batch: WriteBatch::default(),
            last_write: 0,
            durable_write: 0,
            hard_state_write: 0,
            in_flight: VecDeque::new(),
            deferred: VecDeque::new(),
            durable_index,
        }
    }

    /// Adds the term and vote to the batch.
    pub fn write_hard_state(&mut self, hard_state: &HardState) {
        self.batch.hard_state = Some(hard_state.clone());
    }

    /// Adds an entry to the batch.
    pub fn write_entry(&mut self, entry: Entry) {
        self.batch.entries.push(entry);
    }

    /// Adds a snapshot of the state to the batch; the log is not changed.
    pub fn write_snapshot(&mut self, snapshot: Snapshot) {
        self.batch.snapshot = Some(snapshot);
    }

    /// Adds the removal of the entries from `index` on to the batch; they no longer count as durable.
    pub fn truncate_from(&mut self, index: u64) {
        self.batch.entries.retain(|entry| entry.index < index);
        let earlier = self.batch.truncate_from.unwrap_or(index);
        self.batch.truncate_from = Some(earlier.min(index));
        self.durable_index = self.durable_index.min(index - 1);
    }

    /// Adds the replacement of the whole log with a received snapshot to the batch. No entry counts as durable until
    /// that write is confirmed.
    pub fn replace_log(&mut self, snapshot: Snapshot) {
        self.batch.entries.clear();
        self.batch.truncate_from = Some(1);
        self.batch.snapshot = Some(snapshot);
        self.durable_index = 0;
    }

    /// Whether the batch contains a snapshot.
    pub fn has_pending_snapshot(&self) -> bool {
        self.batch.snapshot.is_some()
    }

    /// Whether all submitted writes are durable and no hard state is pending. A candidate's vote for itself counts only
    /// then.
    pub fn are_submitted_writes_durable(&self) -> bool {
        self.batch.hard_state.is_none() && self.durable_write >= self.last_write
    }

    /// The number of the newest durable write.
    pub fn durable_write(&self) -> u64 {
        self.durable_write
    }

    fn is_batch_empty(&self) -> bool {
        self.batch.hard_state.is_none()
            && self.batch.truncate_from.is_none()
            && self.batch.entries.is_empty()
            && self.batch.snapshot.is_none()
    }

    /// Assigns the batch a number and returns it for submission; `last_index` is the last index of the log in memory.
    fn take_batch(&mut self, last_index: u64, witnesses: Vec<DurabilityWitness>) -> WriteBatch {
        self.last_write += 1;
        let mut batch = std::mem::take(&mut self.batch);
        batch.write_id = self.last_write;
        batch.witnesses = witnesses;
        if batch.hard_state.is_some() {
            self.hard_state_write = self.last_write;
        }
        if let Some(first_removed) = batch.truncate_from {
            // A write in flight may contain entries that this write removes: its confirmation must not raise the
            // durable index beyond the entries kept.
            let last_kept = first_removed.saturating_sub(1);
            self.durable_index = self.durable_index.min(last_kept);
            for write in &mut self.in_flight {
                write.last_index = write.last_index.min(last_kept);
            }
        }
        self.in_flight.push_back(InFlightWrite {
            write_id: self.last_write,
            last_index,
        });
        batch
    }

    /// Advances the durable index: all writes up to `write_id` are durable.
    fn confirm(&mut self, write_id: u64) {
        while let Some(write) = self.in_flight.pop_front_if(|w| w.write_id <= write_id) {
            self.durable_index = self.durable_index.max(write.last_index);
        }
    }

    /// Removes and returns the next deferred message whose write is durable.
    fn next_released(&mut self, write_id: u64) -> Option<DeferredMessage> {
        self.deferred.pop_front_if(|m| m.after_write <= write_id)
    }
}

impl Replica {
    /// Submits the batch to the disk; returns the number of the write that makes all changes so far durable.
    pub(super) fn flush(&mut self) -> u64 {
        if self.persistence.is_batch_empty() {
            return self.persistence.last_write;
        }
        let witnesses = self.witnesses.values().cloned().collect();
        let last_index = self.log.last().index;
        let batch = self.persistence.take_batch(last_index, witnesses);
        self.disk_health
            .record_submitted(self.last_tick, batch.write_id);
        self.count("disk_saves", 1);
        self.outbox.persist(batch);
        self.persistence.last_write
    }

    /// Sends a message once all changes so far are durable.
    pub(super) fn send_when_durable(&mut self, to: &str, body: Body) {
        let write_id = self.flush();
        self.send_after_write(write_id, to, body);
    }

    /// Sends a message once the current term and vote are durable. It does not wait for entries: an acknowledgement of
    /// entries states the index up to which they are durable.
    pub(super) fn send_when_term_durable(&mut self, to: &str, body: Body) {
        self.send_after_write(self.persistence.hard_state_write, to, body);
    }

    fn send_after_write(&mut self, write_id: u64, to: &str, body: Body) {
        if write_id <= self.persistence.durable_write {
            self.send(to, body);
            return;
        }
        self.persistence.deferred.push_back(DeferredMessage {
            after_write: write_id,
            to: to.into(),
            body,
        });
    }

    /// Records that all writes up to `write_id` are durable, and sends the messages deferred until then. Then a leader
    /// commits entries, a candidate counts its votes, and others acknowledge entries.
    pub(super) fn on_persisted(&mut self, now: Now, write_id: u64) {
        self.persistence.durable_write = self.persistence.durable_write.max(write_id);
        self.on_write_confirmed(now, write_id);
        self.persistence.confirm(write_id);
        while let Some(message) = self.persistence.next_released(write_id) {
            self.send(&message.to, message.body);
        }
        match self.role {
            Role::Leader => self.advance_commit(now),
            Role::Candidate => self.count_votes(now),
            Role::Follower | Role::PreCandidate => self.acknowledge_durable(),
        }
    }
}
