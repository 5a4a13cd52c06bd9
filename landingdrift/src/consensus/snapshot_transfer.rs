//! Snapshots: creating them, and transferring them in chunks to replicas that lack entries which the leader's log no
//! longer contains.
//!
//! The next chunk is sent when the last one is acknowledged; an unacknowledged chunk is repeated after a timeout. The
//! receiver answers with the number of bytes it has, so that the transfer resumes from there after either side
//! restarts. It installs the snapshot only once it is complete and its checksum matches.

use super::append::PendingAcknowledgement;
use super::position::LogPosition;
use super::{Replica, Role};
use crate::sans_io::{Now, Snapshot};
use crate::snapshot_chunks::{ChunkOutcome, ChunkedSnapshot, SnapshotAssembly, SnapshotId};
use crate::state::ClusterState;
use crate::wire::{Body, InstallSnapshot, InstallSnapshotResponse};
use std::sync::Arc;

/// An unacknowledged chunk is repeated after this many heartbeat intervals.
pub(super) const REPEAT_AFTER_HEARTBEATS: u64 = 5;
/// While a snapshot is being sent, the entries after it are kept for at most this many snapshot intervals.
const RETAINED_SNAPSHOT_INTERVALS: u64 = 4;
/// A snapshot is due when the entries since the last one reach the log's byte limit divided by this.
const DUE_LOG_BYTES_DIVISOR: u64 = 2;
/// A compacted log keeps the last `limits.snapshot_every` entries divided by this, for replicas that are slightly
/// behind.
const KEPT_TAIL_DIVISOR: u64 = 2;

/// A snapshot being sent to another replica.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: Arc<ChunkedSnapshot>,
    /// The receiver has acknowledged the bytes before this offset; the next chunk starts at it.
    acked_bytes: u64,
    /// The time at which the current chunk was last sent, in monotonic milliseconds.
    sent_at: u64,
}

impl OutgoingSnapshot {
    fn new(snapshot: Arc<ChunkedSnapshot>) -> Self {
        Self {
            snapshot,
            acked_bytes: 0,
            sent_at: 0,
        }
    }

    fn id(&self) -> SnapshotId {
        self.snapshot.identity()
    }
}

/// The newest snapshot of this replica, and the one that it is receiving.
#[derive(Clone, Debug)]
pub(super) struct Snapshots {
    pub latest: Arc<ChunkedSnapshot>,
    /// The index of the last entry covered by the newest snapshot.
    pub latest_index: u64,
    /// The bytes of the entries applied since the newest snapshot.
    pub bytes_since_latest: u64,
    incoming: SnapshotAssembly,
}

impl Snapshots {
    /// Starts with the snapshot loaded from disk, if there is one.
    pub fn new(loaded: Option<Snapshot>) -> Self {
        let latest_index = loaded.as_ref().map_or(0, |snapshot| snapshot.index);
        let latest = loaded.map_or_else(ChunkedSnapshot::default, ChunkedSnapshot::from);
        Self {
            latest: Arc::new(latest),
            latest_index,
            bytes_since_latest: 0,
            incoming: SnapshotAssembly::default(),
        }
    }
}

impl Replica {
    /// Starts sending a snapshot, or repeats an unacknowledged chunk.
    pub(super) fn send_snapshot(&mut self, now: Now, to: &str) {
        let latest = self.snapshots.latest.clone();
        let log_base = self.log.base().index;
        let repeat_after = REPEAT_AFTER_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let Some(progress) = self.leadership.progress.get_mut(to) else {
            return;
        };
        if progress.disk_refuses_writes {
            return;
        }
        let is_timed_out = now.mono.saturating_sub(progress.last_heard_at) > repeat_after;
        let counter = match &progress.snapshot {
            Some(outgoing) if now.mono < outgoing.sent_at + repeat_after => return,
            // The log still contains all entries after this snapshot.
            Some(outgoing) if outgoing.id().index >= log_base && !is_timed_out => {
                "snapshot_chunks_repeated"
            }
            _ => {
                progress.snapshot = Some(OutgoingSnapshot::new(latest));
                "snapshots_sent"
            }
        };
        self.count(counter, 1);
        self.send_snapshot_chunk(now, to);
    }

    fn send_snapshot_chunk(&mut self, now: Now, to: &str) {
        let term = self.hard_state.term;
        let round = self.leadership.rounds.current();
        let progress = self.leadership.progress.get_mut(to);
        let Some(outgoing) = progress.and_then(|p| p.snapshot.as_mut()) else {
            return;
        };
        outgoing.sent_at = now.mono;
        let id = outgoing.id();
        let chunk = InstallSnapshot {
            term,
            round,
            index: id.index,
            index_term: id.term,
            snapshot: outgoing.snapshot.chunk(outgoing.acked_bytes).to_vec(),
            offset: outgoing.acked_bytes,
            total: id.total,
            checksum: id.checksum,
        };
        self.count("snapshot_chunks_sent", 1);
        self.send(to, Body::InstallSnapshot(Box::new(chunk)));
    }

    /// Sends the next chunk after a replica's response or, once it has the whole snapshot, the entries that follow.
    /// After a refusal, the transfer starts over at the next timeout.
    pub(super) fn on_install_snapshot_response(
        &mut self,
        now: Now,
        from: &str,
        response: &InstallSnapshotResponse,
    ) {
        if response.term > self.hard_state.term {
            self.become_follower(now, response.term, "");
            return;
        }
        if self.role != Role::Leader || response.term < self.hard_state.term {
            return;
        }
        let Some(progress) = self.leadership.progress.get_mut(from) else {
            return;
        };
        progress.last_heard_at = now.mono;
        let Some(outgoing) = progress.snapshot.as_mut() else {
            return;
        };
        let id = outgoing.id();
        let is_for_current_snapshot = response.index == id.index
            && response.index_term == id.term
            && response.checksum == id.checksum;
        if !is_for_current_snapshot {
            return;
        }
        if response.refused {
            // The transfer starts over after the timeout, so that a persistent error does not saturate the link.
            outgoing.acked_bytes = 0;
        } else if response.received >= id.total {
            progress.snapshot = None;
            progress.next_index = id.index + 1;
            progress.in_flight_round = 0;
            self.replicate(now, from, false);
        } else if response.received != outgoing.acked_bytes {
            outgoing.acked_bytes = response.received;
            self.send_snapshot_chunk(now, from);
        }
    }

    /// Adds a chunk of the leader's snapshot, and installs the snapshot once it is complete, unless the log already
    /// contains its last entry. Refuses a chunk of an earlier term; while the disk accepts no writes, drops others
    /// without an answer.
    pub(super) fn on_install_snapshot(&mut self, now: Now, from: &str, chunk: InstallSnapshot) {
        let id = snapshot_id(&chunk);
        if chunk.term < self.hard_state.term {
            self.answer_chunk(from, id, 0, true);
            return;
        }
        self.become_follower(now, chunk.term, from);
        self.election.last_leader_contact = now.mono;
        self.reset_election_timer(now);
        if !self.disk_health.accepts_writes() {
            return;
        }
        if !self.commit_if_in_log(id) {
            match self
                .snapshots
                .incoming
                .add_chunk(id, chunk.offset, &chunk.snapshot)
            {
                ChunkOutcome::Incomplete => {
                    let received = self.snapshots.incoming.received();
                    return self.answer_chunk(from, id, received, false);
                }
                ChunkOutcome::Corrupt => {
                    return self.refuse_snapshot(from, id, "checksum mismatch");
                }
                ChunkOutcome::Complete(bytes) => {
                    if let Err(reason) = self.install_snapshot(id, bytes) {
                        return self.refuse_snapshot(from, id, &reason);
                    }
                }
            }
        }
        self.answer_chunk(from, id, id.total, false);
        self.pending_acknowledgement = Some(PendingAcknowledgement {
            leader: from.to_string(),
            round: chunk.round,
        });
        if self.flush() <= self.persistence.durable_write() {
            self.acknowledge_durable();
        }
    }

    /// Commits the entries up to a snapshot if the log already contains them; returns whether it does. Such a snapshot
    /// is not installed, since that would discard acknowledged entries after it.
    fn commit_if_in_log(&mut self, id: SnapshotId) -> bool {
        if id.index <= self.log.commit_index {
            return true;
        }
        let is_in_log = self.log.term_at(id.index) == Some(id.term);
        if is_in_log {
            self.log.verified_index = self.log.verified_index.max(id.index);
            self.log.commit_index = id.index;
            self.apply_committed();
            self.try_clear_recovery_floor();
        }
        is_in_log
    }

    /// Replaces the state and the log with a received snapshot.
    fn install_snapshot(&mut self, id: SnapshotId, bytes: Vec<u8>) -> Result<(), String> {
        self.state = ClusterState::unpack(&bytes)?;
        self.log.reset(LogPosition::new(id.term, id.index));
        self.snapshots.latest = Arc::new(ChunkedSnapshot::new(id.index, id.term, bytes));
        self.snapshots.latest_index = id.index;
        self.persistence
            .replace_log(self.snapshots.latest.to_snapshot());
        self.membership.invalidate();
        self.count("snapshots_installed", 1);
        self.try_clear_recovery_floor();
        Ok(())
    }

    fn refuse_snapshot(&mut self, from: &str, id: SnapshotId, reason: &str) {
        self.count("snapshots_refused", 1);
        self.outbox.log(format!(
            "rejected the snapshot at index {}: {reason}",
            id.index
        ));
        self.answer_chunk(from, id, 0, true);
    }

    fn answer_chunk(&mut self, to: &str, id: SnapshotId, received: u64, refused: bool) {
        let response = InstallSnapshotResponse {
            term: self.hard_state.term,
            index: id.index,
            index_term: id.term,
            checksum: id.checksum,
            received,
            refused,
        };
        self.send(to, Body::InstallSnapshotResponse(Box::new(response)));
    }

    /// Takes a snapshot of the state once enough entries or bytes were applied since the last one, and compacts the
    /// log; not while the disk accepts no writes or the last snapshot is not yet submitted to it.
    pub(super) fn take_snapshot_when_due(&mut self) {
        let limits = &self.settings.limits;
        let applied = self.state.applied_index;
        let snapshots = &self.snapshots;
        let enough_entries = applied >= snapshots.latest_index + limits.snapshot_every;
        let enough_bytes = snapshots.bytes_since_latest >= limits.log_bytes / DUE_LOG_BYTES_DIVISOR;
        let is_due = (enough_entries || enough_bytes) && applied != snapshots.latest_index;
        if !is_due || self.persistence.has_pending_snapshot() || !self.disk_health.accepts_writes()
        {
            return;
        }
        let Some(term) = self.log.term_at(applied) else {
            return;
        };
        let snapshot = ChunkedSnapshot::new(applied, term, self.state.pack());
        self.snapshots.latest = Arc::new(snapshot);
        self.snapshots.latest_index = applied;
        self.snapshots.bytes_since_latest = 0;
        self.persistence
            .write_snapshot(self.snapshots.latest.to_snapshot());
        self.count("snapshots", 1);
        self.compact_log();
        self.flush();
    }

    /// Drops entries covered by the latest snapshot. A tail for replicas that are slightly behind, and the entries
    /// after snapshots that are being sent to replicas or kept for nodes, remain within the log's byte limit and for at
    /// most [`RETAINED_SNAPSHOT_INTERVALS`] snapshot intervals.
    fn compact_log(&mut self) {
        let interval = self.settings.limits.snapshot_every;
        let latest_index = self.snapshots.latest_index;
        let mut last_unneeded = latest_index.saturating_sub(interval / KEPT_TAIL_DIVISOR);
        let progress = self.leadership.progress.values();
        for outgoing in progress.filter_map(|p| p.snapshot.as_ref()) {
            last_unneeded = last_unneeded.min(outgoing.id().index);
        }
        for index in self.watch.snapshots.indexes() {
            last_unneeded = last_unneeded.min(index);
        }
        let retention_limit = latest_index.saturating_sub(RETAINED_SNAPSHOT_INTERVALS * interval);
        let last_over_byte_limit = self.log.last().index - self.newest_entries_within_limit();
        let drop_to = last_unneeded
            .max(retention_limit)
            .max(last_over_byte_limit)
            .min(latest_index);
        self.log.compact_to(drop_to);
    }

    /// The number of newest entries that fit into the log's byte limit.
    fn newest_entries_within_limit(&self) -> u64 {
        let mut bytes = 0;
        let mut entries = 0;
        for entry in self.log.iter().rev() {
            bytes += entry.command.len() as u64;
            if bytes > self.settings.limits.log_bytes {
                break;
            }
            entries += 1;
        }
        entries
    }
}

/// The snapshot that a chunk belongs to. Older builds send a snapshot in one message, without its length and checksum.
fn snapshot_id(chunk: &InstallSnapshot) -> SnapshotId {
    let is_whole = chunk.total == 0;
    let (total, checksum) = if is_whole {
        let length = chunk.snapshot.len() as u64;
        (length, crc32fast::hash(&chunk.snapshot))
    } else {
        (chunk.total, chunk.checksum)
    };
    SnapshotId {
        index: chunk.index,
        term: chunk.index_term,
        total,
        checksum,
    }
}
