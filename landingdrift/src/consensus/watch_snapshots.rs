//! The snapshots that nodes fetch: a few, shared by all that fetch them, and dropped when nobody does.

use super::snapshot::REPEAT_AFTER_HEARTBEATS;
use super::Replica;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkedSnapshot, SnapshotId};
use crate::wire::{Body, WatchRequest, WatchSnapshotChunk};
use std::sync::Arc;

/// Snapshots of one kind that are kept at once: one that is fetched, and a newer one.
const KEPT: usize = 2;
/// A snapshot that is not older than so many entries is given to the next node as well.
const SHARED_FOR: u64 = 256;

#[derive(Clone)]
struct Kept {
    light: bool,
    snapshot: Arc<ChunkedSnapshot>,
    /// When a chunk of it was last sent.
    used: u64,
}

/// The snapshots of a leader that nodes fetch at present.
#[derive(Clone, Default)]
pub(crate) struct WatchSnapshots(Vec<Kept>);

impl WatchSnapshots {
    /// The places of those that are fetched.
    pub(super) fn indexes(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|k| k.snapshot.identity().index)
    }

    /// Drops those that nobody has fetched for a while.
    pub(super) fn expire(&mut self, now: Now, after: u64) {
        self.0.retain(|k| now.mono <= k.used + after);
    }

    /// Drops all.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    fn find(&mut self, fits: impl Fn(&Kept) -> bool) -> Option<&mut Kept> {
        self.0.iter_mut().rev().find(|k| fits(k))
    }

    fn add(&mut self, light: bool, snapshot: Arc<ChunkedSnapshot>, now: Now) {
        while self.0.iter().filter(|k| k.light == light).count() >= KEPT {
            let oldest = self.0.iter().position(|k| k.light == light);
            oldest.into_iter().for_each(|at| {
                self.0.remove(at);
            });
        }
        self.0.push(Kept {
            light,
            snapshot,
            used: now.mono,
        });
    }
}

/// The last chunk that was sent to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SentChunk {
    index: u64,
    checksum: u32,
    offset: u64,
    at: u64,
}

impl Replica {
    /// Sends the chunk that a node lacks, unless it may still be on its way.
    pub(super) fn send_watch_chunk(&mut self, now: Now, to: &str, m: &WatchRequest) {
        let light = self.watchers.get(to).is_some_and(|f| f.light);
        let snapshot = self.watch_snapshot(now, light, m);
        let of = snapshot.identity();
        let resumes = (m.part_index, m.part_checksum) == (of.index, of.checksum);
        let chunk = SentChunk {
            index: of.index,
            checksum: of.checksum,
            offset: if resumes { m.part_received } else { 0 },
            at: now.mono,
        };
        let patience = REPEAT_AFTER_HEARTBEATS * self.settings.bounds.heartbeat();
        let Some(follower) = self.watchers.get_mut(to) else {
            return;
        };
        let last = follower.chunk;
        let same = SentChunk {
            at: last.at,
            ..chunk
        } == last;
        if same && now.mono < last.at + patience {
            return;
        }
        follower.chunk = chunk;
        follower.fetched = of.index;
        let commit = self.commit;
        self.count("watch_snapshots", u64::from(chunk.offset == 0 && !same));
        self.count("watch_chunks", 1);
        let body = WatchSnapshotChunk {
            commit,
            light,
            index: of.index,
            term: of.term,
            offset: chunk.offset,
            total: of.total,
            checksum: of.checksum,
            bytes: snapshot.chunk(chunk.offset).to_vec(),
        };
        self.send(to, Body::WatchSnapshotChunk(Box::new(body)));
    }

    /// The snapshot that a node has a part of, if the log still follows on it; else one that is new enough.
    fn watch_snapshot(&mut self, now: Now, light: bool, m: &WatchRequest) -> Arc<ChunkedSnapshot> {
        let (base, log_index) = (self.base.0, self.state.applied_index);
        let has = |of: SnapshotId| (of.index, of.checksum) == (m.part_index, m.part_checksum);
        let usable = |k: &Kept| k.light == light && k.snapshot.identity().index >= base;
        let fresh = |k: &Kept| log_index.saturating_sub(k.snapshot.identity().index) <= SHARED_FOR;
        let snapshots = &mut self.watch_snapshots;
        let begun = snapshots
            .find(|k| usable(k) && has(k.snapshot.identity()))
            .is_some();
        let kept = snapshots.find(|k| {
            let of = k.snapshot.identity();
            usable(k) && if begun { has(of) } else { fresh(k) }
        });
        if let Some(k) = kept {
            k.used = now.mono;
            return k.snapshot.clone();
        }
        let made = self.make_watch_snapshot(light);
        self.watch_snapshots.add(light, made.clone(), now);
        made
    }

    fn make_watch_snapshot(&self, light: bool) -> Arc<ChunkedSnapshot> {
        let log_index = self.state.applied_index;
        let own = self.snapshot.identity().index;
        if !light && own > 0 && own >= self.base.0 && log_index - own <= SHARED_FOR {
            return self.snapshot.clone();
        }
        let bytes = if light {
            self.state.light().pack()
        } else {
            self.state.pack()
        };
        let term = self.term_at(log_index).unwrap_or(0);
        Arc::new(ChunkedSnapshot::new(log_index, term, bytes))
    }
}
