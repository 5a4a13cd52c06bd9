//! The snapshots that nodes fetch: a few are kept, shared by all nodes, and dropped when no node fetches them any more.

use super::watch_flow::{ChunkSize, UnacknowledgedData};
use super::Replica;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkedSnapshot, SnapshotId, CHUNK_BYTES};
use crate::wire::{Body, WatchRequest, WatchSnapshotChunk};
use std::sync::Arc;

/// The maximum number of full snapshots kept: one that is being fetched, and a newer one.
const MAX_KEPT_FULL: usize = 2;
/// The maximum number of light snapshots kept: they are small, and nodes on slow links need a long time to fetch one.
const MAX_KEPT_LIGHT: usize = 8;
/// A snapshot is shared with further nodes as long as it is at most this many entries behind the state.
const MAX_SHARED_LAG_ENTRIES: u64 = 256;

/// A snapshot that is kept for the nodes that fetch it.
#[derive(Clone)]
struct KeptSnapshot {
    /// Whether it contains only the light copy of the state, without jobs and workers.
    light: bool,
    snapshot: Arc<ChunkedSnapshot>,
    /// The time at which a node last requested a chunk of it, in monotonic milliseconds.
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
    /// The log indexes of the kept snapshots.
    pub fn indexes(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|kept| kept.id().index)
    }

    /// Drops the snapshots of which no node has requested a chunk for more than `unused_ms`.
    pub fn expire(&mut self, now: Now, unused_ms: u64) {
        self.0
            .retain(|kept| now.mono <= kept.last_used_at + unused_ms);
    }

    /// Drops all snapshots.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The most recently added snapshot that satisfies a condition.
    fn find(&mut self, fits: impl Fn(&KeptSnapshot) -> bool) -> Option<&mut KeptSnapshot> {
        self.0.iter_mut().rev().find(|kept| fits(kept))
    }

    /// Adds a snapshot; if too many of its kind are kept, it replaces the least recently used one.
    fn add(&mut self, light: bool, snapshot: Arc<ChunkedSnapshot>, now: Now) {
        let max_kept = if light { MAX_KEPT_LIGHT } else { MAX_KEPT_FULL };
        while self.0.iter().filter(|kept| kept.light == light).count() >= max_kept {
            let kept = self.0.iter().enumerate();
            let of_same_kind = kept.filter(|(_, kept)| kept.light == light);
            let least_recently_used = of_same_kind.min_by_key(|(_, kept)| kept.last_used_at);
            let Some((position, _)) = least_recently_used else {
                break;
            };
            self.0.remove(position);
        }
        self.0.push(KeptSnapshot {
            light,
            snapshot,
            last_used_at: now.mono,
        });
    }
}

/// The last snapshot chunk sent to a node, and the size of the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SentChunk {
    index: u64,
    checksum: u32,
    offset: u64,
    /// The time at which it was first sent, in monotonic milliseconds.
    first_sent_at: u64,
    unacknowledged: UnacknowledgedData,
    size: ChunkSize,
}

impl SentChunk {
    /// Whether this is the chunk at `offset` of the snapshot `id`, which a node requests.
    fn is_requested(&self, id: &SnapshotId, offset: u64) -> bool {
        (self.index, self.checksum, self.offset) == (id.index, id.checksum, offset)
    }

    /// Whether this chunk precedes the requested one, at `offset` of the snapshot `id`, and so was received.
    fn precedes_requested(&self, id: &SnapshotId, offset: u64) -> bool {
        (self.index, self.checksum) == (id.index, id.checksum) && self.offset < offset
    }
}

impl Replica {
    /// Sends the chunk that a node requests, unless the last one may still be in flight.
    pub(super) fn send_watch_chunk(&mut self, now: Now, to: &str, request: &WatchRequest) {
        let Some(watcher) = self.watch.watchers.get(to) else {
            return;
        };
        let light = watcher.light;
        let (mut sent, mut rate) = (watcher.last_chunk, watcher.rate);
        let snapshot = self.watch_snapshot(now, light, request, &sent);
        let id = snapshot.identity();
        let resumes = (request.part_index, request.part_checksum) == (id.index, id.checksum);
        let offset = if resumes { request.part_received } else { 0 };
        let is_repeated = sent.is_requested(&id, offset);
        let is_acknowledged = sent.precedes_requested(&id, offset);
        let bounds = &self.settings.bounds;
        // Only one chunk may be in flight to a node at a time, even if the snapshot has changed.
        if !is_acknowledged && sent.unacknowledged.is_in_flight(now.mono, rate, bounds) {
            return;
        }
        if is_repeated {
            sent.size.record_timeout();
        } else if is_acknowledged {
            let after_ms = now.mono.saturating_sub(sent.first_sent_at);
            sent.unacknowledged.record_ack(now.mono, &mut rate);
            sent.size.record_ack(after_ms, CHUNK_BYTES, bounds);
        }
        let bytes = snapshot.chunk_up_to(offset, sent.size.bytes()).to_vec();
        if is_repeated {
            sent.unacknowledged
                .record_retransmission(now.mono, &mut rate);
        } else {
            sent.first_sent_at = now.mono;
            sent.unacknowledged = UnacknowledgedData::new(bytes.len() as u64, now.mono);
        }
        (sent.index, sent.checksum, sent.offset) = (id.index, id.checksum, offset);
        if let Some(watcher) = self.watch.watchers.get_mut(to) {
            watcher.last_chunk = sent;
            watcher.rate = rate;
            watcher.fetched_index = id.index;
        }
        let starts_transfer = offset == 0 && !is_repeated;
        self.count("watch_snapshots", u64::from(starts_transfer));
        self.count("watch_chunks", 1);
        self.count("watch_chunks_repeated", u64::from(is_repeated));
        let body = WatchSnapshotChunk {
            commit: self.log.commit_index,
            light,
            index: id.index,
            term: id.term,
            offset,
            total: id.total,
            checksum: id.checksum,
            bytes,
            requested_from: request.log_index,
        };
        self.send(to, Body::WatchSnapshotChunk(Box::new(body)));
    }

    /// The snapshot whose transfer to the node is in progress, if the log still contains all entries after it;
    /// otherwise a recent one, which is created if necessary.
    fn watch_snapshot(
        &mut self,
        now: Now,
        light: bool,
        request: &WatchRequest,
        sent: &SentChunk,
    ) -> Arc<ChunkedSnapshot> {
        let log_base = self.log.base().index;
        let applied = self.state.applied_index;
        let is_usable = |kept: &KeptSnapshot| kept.light == light && kept.id().index >= log_base;
        // If the node has applied entries that the replicas have lost, any snapshot will do.
        let min_index = if request.log_index <= applied {
            request.log_index
        } else {
            0
        };
        let in_progress = if request.part_received > 0 {
            (request.part_index, request.part_checksum)
        } else {
            (sent.index, sent.checksum)
        };
        let is_in_progress =
            |kept: &KeptSnapshot| (kept.id().index, kept.id().checksum) == in_progress;
        let is_new_enough = |kept: &KeptSnapshot| {
            let index = kept.id().index;
            index >= min_index && applied.saturating_sub(index) <= MAX_SHARED_LAG_ENTRIES
        };
        let snapshots = &mut self.watch.snapshots;
        let resumes = snapshots
            .find(|kept| is_usable(kept) && is_in_progress(kept) && kept.id().index >= min_index)
            .is_some();
        let fits = |kept: &KeptSnapshot| {
            let is_wanted = if resumes {
                is_in_progress(kept)
            } else {
                is_new_enough(kept)
            };
            is_usable(kept) && is_wanted
        };
        if let Some(kept) = snapshots.find(fits) {
            kept.last_used_at = now.mono;
            return kept.snapshot.clone();
        }
        let created = self.create_watch_snapshot(light, min_index);
        self.watch.snapshots.add(light, created.clone(), now);
        created
    }

    fn create_watch_snapshot(&self, light: bool, min_index: u64) -> Arc<ChunkedSnapshot> {
        let applied = self.state.applied_index;
        let latest = &self.snapshots.latest;
        let latest_index = latest.identity().index;
        let log_continues_from_latest = latest_index > 0 && latest_index >= self.log.base().index;
        let is_usable = log_continues_from_latest && latest_index >= min_index;
        if !light && is_usable && applied - latest_index <= MAX_SHARED_LAG_ENTRIES {
            return latest.clone();
        }
        let bytes = if light {
            self.state.without_jobs_and_workers().pack()
        } else {
            self.state.pack()
        };
        let term = self.log.term_at(applied).unwrap_or(0);
        Arc::new(ChunkedSnapshot::new(applied, term, bytes))
    }
}
