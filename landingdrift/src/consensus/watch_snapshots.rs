//! The snapshots that nodes fetch: a few, shared by all that fetch them, and dropped when nobody does.

use super::snapshot_transfer::REPEAT_AFTER_HEARTBEATS;
use super::Replica;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkedSnapshot, SnapshotId};
use crate::wire::{Body, WatchRequest, WatchSnapshotChunk};
use std::sync::Arc;

/// Snapshots of one kind that are kept at once: one that is being fetched, and a newer one.
const MAX_KEPT: usize = 2;
/// A snapshot that is not older than so many entries is given to the next node as well.
const SHARED_FOR_ENTRIES: u64 = 256;

#[derive(Clone)]
struct KeptSnapshot {
    /// Of the light copy of the state, without jobs and workers.
    light: bool,
    snapshot: Arc<ChunkedSnapshot>,
    /// When a chunk of it was last sent, in monotonic milliseconds.
    last_used_at: u64,
}

impl KeptSnapshot {
    fn id(&self) -> SnapshotId {
        self.snapshot.identity()
    }
}

/// The snapshots that nodes fetch from this leader.
#[derive(Clone, Default)]
pub(super) struct WatchSnapshots(Vec<KeptSnapshot>);

impl WatchSnapshots {
    /// The indexes of the snapshots.
    pub fn indexes(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|kept| kept.id().index)
    }

    /// Drops those that nobody has fetched for `unused_ms`.
    pub fn expire(&mut self, now: Now, unused_ms: u64) {
        self.0
            .retain(|kept| now.mono <= kept.last_used_at + unused_ms);
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The newest one that fits.
    fn find(&mut self, fits: impl Fn(&KeptSnapshot) -> bool) -> Option<&mut KeptSnapshot> {
        self.0.iter_mut().rev().find(|kept| fits(kept))
    }

    /// Adds a snapshot, in place of the oldest of its kind if there are too many.
    fn add(&mut self, light: bool, snapshot: Arc<ChunkedSnapshot>, now: Now) {
        while self.0.iter().filter(|kept| kept.light == light).count() >= MAX_KEPT {
            if let Some(oldest) = self.0.iter().position(|kept| kept.light == light) {
                self.0.remove(oldest);
            }
        }
        self.0.push(KeptSnapshot {
            light,
            snapshot,
            last_used_at: now.mono,
        });
    }
}

/// The last chunk that was sent to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SentChunk {
    index: u64,
    checksum: u32,
    offset: u64,
    /// When it was sent, in monotonic milliseconds.
    sent_at: u64,
}

impl SentChunk {
    fn is_same_chunk(&self, other: &Self) -> bool {
        (self.index, self.checksum, self.offset) == (other.index, other.checksum, other.offset)
    }
}

impl Replica {
    /// Sends the chunk that a node lacks, unless it may still be on its way.
    pub(super) fn send_watch_chunk(&mut self, now: Now, to: &str, request: &WatchRequest) {
        let light = self.watch.watchers.get(to).is_some_and(|w| w.light);
        let snapshot = self.watch_snapshot(now, light, request);
        let id = snapshot.identity();
        let resumes = (request.part_index, request.part_checksum) == (id.index, id.checksum);
        let chunk = SentChunk {
            index: id.index,
            checksum: id.checksum,
            offset: if resumes { request.part_received } else { 0 },
            sent_at: now.mono,
        };
        let repeat_after = REPEAT_AFTER_HEARTBEATS * self.settings.bounds.heartbeat();
        let Some(watcher) = self.watch.watchers.get_mut(to) else {
            return;
        };
        let last_chunk = watcher.last_chunk;
        let is_repeated = chunk.is_same_chunk(&last_chunk);
        if is_repeated && now.mono < last_chunk.sent_at + repeat_after {
            return;
        }
        watcher.last_chunk = chunk;
        watcher.fetched_index = id.index;
        let begins = chunk.offset == 0 && !is_repeated;
        self.count("watch_snapshots", u64::from(begins));
        self.count("watch_chunks", 1);
        let body = WatchSnapshotChunk {
            commit: self.log.commit_index,
            light,
            index: id.index,
            term: id.term,
            offset: chunk.offset,
            total: id.total,
            checksum: id.checksum,
            bytes: snapshot.chunk(chunk.offset).to_vec(),
        };
        self.send(to, Body::WatchSnapshotChunk(Box::new(body)));
    }

    /// The snapshot that a node has a part of, if the log still follows on it; else one that is new enough.
    fn watch_snapshot(
        &mut self,
        now: Now,
        light: bool,
        request: &WatchRequest,
    ) -> Arc<ChunkedSnapshot> {
        let log_base = self.log.base().index;
        let applied = self.state.applied_index;
        let is_usable = |kept: &KeptSnapshot| kept.light == light && kept.id().index >= log_base;
        let is_begun = |kept: &KeptSnapshot| {
            let id = kept.id();
            (id.index, id.checksum) == (request.part_index, request.part_checksum)
        };
        let is_new_enough =
            |kept: &KeptSnapshot| applied.saturating_sub(kept.id().index) <= SHARED_FOR_ENTRIES;
        let snapshots = &mut self.watch.snapshots;
        let resumes = snapshots
            .find(|kept| is_usable(kept) && is_begun(kept))
            .is_some();
        let fits = |kept: &KeptSnapshot| {
            let is_wanted = if resumes {
                is_begun(kept)
            } else {
                is_new_enough(kept)
            };
            is_usable(kept) && is_wanted
        };
        if let Some(kept) = snapshots.find(fits) {
            kept.last_used_at = now.mono;
            return kept.snapshot.clone();
        }
        let made = self.make_watch_snapshot(light);
        self.watch.snapshots.add(light, made.clone(), now);
        made
    }

    fn make_watch_snapshot(&self, light: bool) -> Arc<ChunkedSnapshot> {
        let applied = self.state.applied_index;
        let own = &self.snapshots.latest;
        let own_index = own.identity().index;
        let follows_log = own_index > 0 && own_index >= self.log.base().index;
        if !light && follows_log && applied - own_index <= SHARED_FOR_ENTRIES {
            return own.clone();
        }
        let bytes = if light {
            self.state.light().pack()
        } else {
            self.state.pack()
        };
        let term = self.log.term_at(applied).unwrap_or(0);
        Arc::new(ChunkedSnapshot::new(applied, term, bytes))
    }
}
