//! The snapshots that a node starts from: fetched in chunks, then installed as its copy of the cluster state.

use super::super::Node;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkOutcome, SnapshotId};
use crate::state::ClusterState;
use crate::wire::{WatchBatch, WatchSnapshotChunk};

/// A snapshot of which nothing more has come for so many heartbeats gives way to any other.
const STALLED_HEARTBEATS: u64 = 12;

impl Node {
    /// Installs the snapshot of a batch if it has one that is needed; returns whether it did.
    pub(super) fn install_snapshot_of(&mut self, batch: &WatchBatch) -> bool {
        let is_needed = batch.snapshot_index > self.state.applied_index
            || batch.commit < self.state.applied_index
            || batch.light != self.light;
        !batch.snapshot.is_empty()
            && is_needed
            && self.install_snapshot(&batch.snapshot, batch.light)
    }

    /// Takes a chunk of the snapshot that this node fetches, and asks for the next.
    pub(in crate::node) fn on_watch_chunk(
        &mut self,
        now: Now,
        from: &str,
        chunk: &WatchSnapshotChunk,
    ) {
        self.watch.catch_up.chunks += 1;
        self.note_leader(now, from);
        let id = SnapshotId {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            checksum: chunk.checksum,
        };
        if !self.needs_chunk(chunk) || !self.may_take(now, id, chunk.offset) {
            return self.note_unused_chunk();
        }
        let received_before = self.watch.incoming.received();
        match self
            .watch
            .incoming
            .add_chunk(id, chunk.offset, &chunk.bytes)
        {
            ChunkOutcome::Incomplete => {
                if self.watch.incoming.received() > received_before {
                    self.watch.snapshot_progress_at = now.mono;
                } else {
                    self.note_unused_chunk();
                }
            }
            ChunkOutcome::Corrupt => {
                self.count("watch_snapshots_refused", 1);
                self.log(format!(
                    "a snapshot at index {} refused: its checksum is wrong",
                    chunk.index
                ));
                return;
            }
            ChunkOutcome::Complete(bytes) => {
                if self.install_snapshot(&bytes, chunk.light) {
                    self.on_state_changed(now);
                }
            }
        }
        self.watch.next_watch_request = now.mono;
        self.watch_tick(now);
    }

    /// Whether a chunk continues the snapshot that is being fetched, or begins another one. A begun snapshot gives way only
    /// to a newer one, or once nothing more has come of it for a while: chunks of two snapshots that are on their way at
    /// once would make each other useless for ever.
    fn may_take(&self, now: Now, id: SnapshotId, offset: u64) -> bool {
        let begun = self.watch.incoming.identity();
        if self.watch.incoming.received() == 0 || begun == id {
            return true;
        }
        let stalled_after = STALLED_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let is_stalled = now.mono >= self.watch.snapshot_progress_at + stalled_after;
        offset == 0 && (id.index > begun.index || is_stalled)
    }

    /// Whether a chunk is of a snapshot that this node needs. A copy goes back, or becomes one of the other kind, only
    /// by a chunk that answers a request which this very copy made: others were overtaken on their way.
    fn needs_chunk(&self, chunk: &WatchSnapshotChunk) -> bool {
        let applied = self.state.applied_index;
        let starts_over = chunk.commit < applied || chunk.light != self.light;
        let is_newer = chunk.index > applied;
        is_newer || (starts_over && chunk.requested_from == applied)
    }

    fn note_unused_chunk(&mut self) {
        self.watch.catch_up.unused_chunks += 1;
        self.count("watch_chunks_unused", 1);
    }

    /// Replaces this node's copy of the cluster state by a snapshot; returns whether it could be read.
    fn install_snapshot(&mut self, bytes: &[u8], light: bool) -> bool {
        match ClusterState::unpack(bytes) {
            Ok(state) => {
                if state.applied_index < self.state.applied_index {
                    // What follows has to come before callers see a state older than before.
                    self.watch.has_snapshot = false;
                }
                self.state = state;
                self.light = light;
                self.count("watch_snapshots", 1);
                self.sched.all_dirty = true;
                self.sched.forget_reservations();
                true
            }
            Err(why) => {
                self.log(why);
                false
            }
        }
    }
}
