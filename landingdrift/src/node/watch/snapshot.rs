//! Snapshots for the watch: fetched in chunks, then installed as this node's copy of the cluster state.

use super::super::Node;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkOutcome, SnapshotId};
use crate::state::ClusterState;
use crate::wire::{WatchBatch, WatchSnapshotChunk};

/// Heartbeat intervals without progress after which a snapshot transfer may be replaced by that of any other snapshot.
const STALLED_HEARTBEATS: u64 = 12;

impl Node {
    /// Installs the snapshot in a batch if there is one and it is needed; returns whether it was installed.
    pub(super) fn install_batch_snapshot(&mut self, batch: &WatchBatch) -> bool {
        let is_needed = batch.snapshot_index > self.state.applied_index
            || batch.commit < self.state.applied_index
            || batch.light != self.light;
        !batch.snapshot.is_empty()
            && is_needed
            && self.install_snapshot(&batch.snapshot, batch.light)
    }

    /// Adds a chunk to the snapshot that is being fetched, and requests the next one.
    pub(in crate::node) fn on_watch_chunk(
        &mut self,
        now: Now,
        from: &str,
        chunk: &WatchSnapshotChunk,
    ) {
        self.watch.catch_up.chunks += 1;
        self.record_leader(now, from);
        let id = SnapshotId {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            checksum: chunk.checksum,
        };
        if !self.needs_chunk(chunk) || !self.may_accept_chunk(now, id, chunk.offset) {
            return self.count_unused_chunk();
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
                    self.count_unused_chunk();
                }
            }
            ChunkOutcome::Corrupt => {
                self.count("watch_snapshots_refused", 1);
                self.log(format!(
                    "snapshot at index {} rejected: checksum mismatch",
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

    /// Whether a chunk continues the snapshot that is being fetched, or may begin another one. A transfer is replaced
    /// only by that of a newer snapshot, or after it has stalled: otherwise chunks of two snapshots in flight could
    /// displace each other forever.
    fn may_accept_chunk(&self, now: Now, id: SnapshotId, offset: u64) -> bool {
        let in_progress = self.watch.incoming.identity();
        if self.watch.incoming.received() == 0 || in_progress == id {
            return true;
        }
        let stalled_after = STALLED_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let is_stalled = now.mono >= self.watch.snapshot_progress_at + stalled_after;
        offset == 0 && (id.index > in_progress.index || is_stalled)
    }

    /// Whether a chunk belongs to a snapshot that this node needs. An older snapshot, or one of the other kind (light
    /// or full), is accepted only if it was requested at this copy's log index; otherwise the chunk answers an earlier
    /// request.
    fn needs_chunk(&self, chunk: &WatchSnapshotChunk) -> bool {
        let applied = self.state.applied_index;
        let starts_over = chunk.commit < applied || chunk.light != self.light;
        let is_newer = chunk.index > applied;
        is_newer || (starts_over && chunk.requested_from == applied)
    }

    fn count_unused_chunk(&mut self) {
        self.watch.catch_up.unused_chunks += 1;
        self.count("watch_chunks_unused", 1);
    }

    /// Replaces this node's copy of the cluster state by a snapshot; returns whether the snapshot could be decoded.
    fn install_snapshot(&mut self, bytes: &[u8], light: bool) -> bool {
        match ClusterState::unpack(bytes) {
            Ok(state) => {
                if state.applied_index < self.state.applied_index {
                    // The copy moves to an older log index: callers must not see it until it has caught up again.
                    self.watch.has_snapshot = false;
                }
                self.state = state;
                self.light = light;
                self.count("watch_snapshots", 1);
                self.scheduler.all_dirty = true;
                self.scheduler.forget_reservations();
                true
            }
            Err(error) => {
                self.log(error);
                false
            }
        }
    }
}
