//! Snapshots between replicas: the leader sends one to a replica that is behind its log, a chunk at a time.
//!
//! The next chunk goes out when the last one is acknowledged; a chunk without an answer is repeated after a silence.
//! The receiver answers with how much it has, so that either side may start anew and go on from there. It takes the
//! snapshot over only once it is whole and its checksum is right.

use super::{Replica, Role};
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkOutcome, ChunkedSnapshot, SnapshotId};
use crate::state::ClusterState;
use crate::wire::{Body, InstallSnapshot, InstallSnapshotResponse};
use std::sync::Arc;

/// A chunk without an answer is repeated after so many heartbeats.
pub(super) const REPEAT_AFTER_HEARTBEATS: u64 = 5;
/// The log is kept for receivers of a snapshot over at most so many times the entries between two snapshots.
const KEPT_SNAPSHOTS: u64 = 4;

/// A snapshot on its way to another replica.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    snapshot: Arc<ChunkedSnapshot>,
    /// What the receiver has.
    offset: u64,
    /// When the chunk after that was sent.
    sent: u64,
}

impl Replica {
    /// Starts to send a snapshot, or repeats a chunk that found no answer.
    pub(super) fn send_snapshot(&mut self, now: Now, to: &str) {
        let (newest, base) = (self.snapshot.clone(), self.base.0);
        let patience = REPEAT_AFTER_HEARTBEATS * self.settings.bounds.heartbeat();
        let Some(peer) = self.peers.get_mut(to).filter(|p| !p.refuses) else {
            return;
        };
        let silent = now.mono.saturating_sub(peer.heard) > patience;
        let counter = match &mut peer.outgoing {
            Some(o) if now.mono < o.sent + patience => return,
            // The log still follows on it.
            Some(o) if o.snapshot.identity().index >= base && !silent => "snapshot_chunks_repeated",
            other => {
                *other = Some(Outgoing {
                    snapshot: newest,
                    offset: 0,
                    sent: 0,
                });
                "snapshots_sent"
            }
        };
        self.count(counter, 1);
        self.send_chunk(now, to);
    }

    fn send_chunk(&mut self, now: Now, to: &str) {
        let (term, round) = (self.hard_state.term, self.round);
        let outgoing = self.peers.get_mut(to).and_then(|p| p.outgoing.as_mut());
        let Some(o) = outgoing else {
            return;
        };
        o.sent = now.mono;
        let of = o.snapshot.identity();
        let install = InstallSnapshot {
            term,
            round,
            index: of.index,
            index_term: of.term,
            snapshot: o.snapshot.chunk(o.offset).to_vec(),
            offset: o.offset,
            total: of.total,
            checksum: of.checksum,
        };
        self.count("snapshot_chunks_sent", 1);
        self.send(to, Body::InstallSnapshot(Box::new(install)));
    }

    pub(super) fn on_install_snapshot_response(
        &mut self,
        now: Now,
        from: &str,
        m: &InstallSnapshotResponse,
    ) {
        if m.term > self.hard_state.term {
            self.follow(now, m.term, "");
            return;
        }
        if self.role != Role::Leader || m.term < self.hard_state.term {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.heard = now.mono;
        let Some(o) = peer.outgoing.as_mut() else {
            return;
        };
        let of = o.snapshot.identity();
        if (m.index, m.index_term, m.checksum) != (of.index, of.term, of.checksum) {
            return;
        }
        if m.refused {
            // It starts over after a silence, so that a fault that stays does not fill the link.
            o.offset = 0;
            return;
        }
        if m.received >= of.total {
            peer.outgoing = None;
            peer.next = of.index + 1;
            peer.pending = 0;
            self.replicate(now, from, false);
        } else if m.received != o.offset {
            o.offset = m.received;
            self.send_chunk(now, from);
        }
    }

    pub(super) fn on_install_snapshot(&mut self, now: Now, from: &str, m: InstallSnapshot) {
        let of = identity(&m);
        if m.term < self.hard_state.term {
            self.answer_install(from, of, 0, true);
            return;
        }
        self.follow(now, m.term, from);
        self.heard_leader = now.mono;
        self.reset_election_timer(now);
        if !self.storage.takes_writes() {
            return;
        }
        if !self.holds(of) {
            match self.incoming.take(of, m.offset, &m.snapshot) {
                ChunkOutcome::Part => {
                    let received = self.incoming.received();
                    return self.answer_install(from, of, received, false);
                }
                ChunkOutcome::Corrupt => {
                    return self.refuse_install(from, of, "its checksum is wrong")
                }
                ChunkOutcome::Whole(bytes) => {
                    if let Err(why) = self.install(of, bytes) {
                        return self.refuse_install(from, of, &why);
                    }
                }
            }
        }
        self.answer_install(from, of, of.total, false);
        self.confirmed = Some((from.to_string(), m.round));
        if self.flush() <= self.saved {
            self.confirm();
        }
    }

    /// Whether the log needs nothing of a snapshot: then what was confirmed after it must not be thrown away.
    fn holds(&mut self, of: SnapshotId) -> bool {
        if of.index <= self.commit {
            return true;
        }
        let holds = self.term_at(of.index) == Some(of.term);
        if holds {
            self.verified = self.verified.max(of.index);
            self.commit = of.index;
            self.apply_committed();
            self.rise();
        }
        holds
    }

    /// Takes a whole snapshot over in place of the log.
    fn install(&mut self, of: SnapshotId, bytes: Vec<u8>) -> Result<(), String> {
        self.state = ClusterState::unpack(&bytes)?;
        self.log.clear();
        self.base = (of.index, of.term);
        self.snapshot_index = of.index;
        self.commit = of.index;
        self.snapshot = Arc::new(ChunkedSnapshot::new(of.index, of.term, bytes));
        self.pending_batch.entries.clear();
        self.pending_batch.cut = Some(1);
        self.pending_batch.snapshot = Some(self.snapshot.to_snapshot());
        self.members_cache = None;
        self.durable = 0;
        self.verified = of.index;
        self.count("snapshots_installed", 1);
        self.rise();
        Ok(())
    }

    fn refuse_install(&mut self, from: &str, of: SnapshotId, why: &str) {
        self.count("snapshots_refused", 1);
        self.line(format!("a snapshot at index {} refused: {why}", of.index));
        self.answer_install(from, of, 0, true);
    }

    fn answer_install(&mut self, to: &str, of: SnapshotId, received: u64, refused: bool) {
        let response = InstallSnapshotResponse {
            term: self.hard_state.term,
            index: of.index,
            index_term: of.term,
            checksum: of.checksum,
            received,
            refused,
        };
        self.send(to, Body::InstallSnapshotResponse(Box::new(response)));
    }

    /// Takes a snapshot of the cluster state once enough was applied since the last one.
    pub(super) fn snapshot_when_due(&mut self) {
        let limits = &self.settings.limits;
        let log_index = self.state.applied_index;
        let due = log_index >= self.snapshot_index + limits.snapshot_every
            || self.bytes_since_snapshot >= limits.log_bytes / 2;
        if !due
            || log_index == self.snapshot_index
            || self.pending_batch.snapshot.is_some()
            || !self.storage.takes_writes()
        {
            return;
        }
        let Some(term) = self.term_at(log_index) else {
            return;
        };
        self.snapshot = Arc::new(ChunkedSnapshot::new(log_index, term, self.state.pack()));
        self.snapshot_index = log_index;
        self.bytes_since_snapshot = 0;
        self.pending_batch.snapshot = Some(self.snapshot.to_snapshot());
        self.count("snapshots", 1);
        self.trim_log();
        self.flush();
    }

    /// Keeps a tail of the log for those that are a little behind, and what follows on the snapshots that are on their
    /// way; within the limit on its bytes.
    fn trim_log(&mut self) {
        let limits = &self.settings.limits;
        let (log_index, every) = (self.snapshot_index, limits.snapshot_every);
        let peers = self.peers.values().filter_map(|p| p.outgoing.as_ref());
        let on_their_way = peers
            .map(|o| o.snapshot.identity().index)
            .chain(self.watch_snapshots.indexes());
        let wanted = on_their_way.fold(log_index.saturating_sub(every / 2), u64::min);
        let oldest = log_index.saturating_sub(KEPT_SNAPSHOTS * every);
        let mut bytes = 0;
        let fits = self
            .log
            .iter()
            .rev()
            .take_while(|e| {
                bytes += e.command.len() as u64;
                bytes <= limits.log_bytes
            })
            .count() as u64;
        let limits = self.last().0 - fits;
        let drop_to = wanted.max(oldest).max(limits).min(log_index);
        while self.log.front().is_some_and(|e| e.index <= drop_to) {
            let dropped = self.log.pop_front();
            self.base = dropped.map_or(self.base, |e| (e.index, e.term));
        }
    }
}

/// Which snapshot a chunk belongs to. An older build sends a snapshot whole, without its length and checksum.
fn identity(m: &InstallSnapshot) -> SnapshotId {
    let whole = m.total == 0;
    SnapshotId {
        index: m.index,
        term: m.index_term,
        total: if whole {
            m.snapshot.len() as u64
        } else {
            m.total
        },
        checksum: if whole {
            crc32fast::hash(&m.snapshot)
        } else {
            m.checksum
        },
    }
}
