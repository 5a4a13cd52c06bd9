//! Chunked transfer of snapshots of the cluster state: the receiver assembles the chunks and verifies the checksum.

use crate::sans_io::Snapshot;

/// The maximum size of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 256 << 10;
/// The maximum total size of a snapshot, in bytes; larger ones are rejected.
pub const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Identifies a snapshot by the last entry that it covers, its length and its checksum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotId {
    /// The log index of the last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// Its length in bytes.
    pub total: u64,
    /// CRC-32 of all its bytes.
    pub checksum: u32,
}

/// A snapshot to be sent in chunks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkedSnapshot {
    identity: SnapshotId,
    bytes: Vec<u8>,
}

impl ChunkedSnapshot {
    /// Creates a snapshot from the packed cluster state after the entry at an index.
    pub fn new(index: u64, term: u64, bytes: Vec<u8>) -> Self {
        let identity = SnapshotId {
            index,
            term,
            total: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
        };
        Self { identity, bytes }
    }

    /// The identity of this snapshot.
    pub fn identity(&self) -> SnapshotId {
        self.identity
    }

    /// The chunk of maximum size that starts at an offset; empty past the end.
    pub fn chunk(&self, offset: u64) -> &[u8] {
        self.chunk_up_to(offset, CHUNK_BYTES)
    }

    /// The chunk of at most `max_bytes` that starts at an offset; empty past the end.
    pub fn chunk_up_to(&self, offset: u64, max_bytes: usize) -> &[u8] {
        let from = (offset as usize).min(self.bytes.len());
        let to = (from + max_bytes.min(CHUNK_BYTES)).min(self.bytes.len());
        &self.bytes[from..to]
    }

    /// The snapshot in the form in which it is written to disk.
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.identity.index,
            term: self.identity.term,
            bytes: self.bytes.clone(),
        }
    }
}

impl From<Snapshot> for ChunkedSnapshot {
    fn from(snapshot: Snapshot) -> Self {
        Self::new(snapshot.index, snapshot.term, snapshot.bytes)
    }
}

/// The result of adding a chunk to a snapshot.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// Further chunks are missing.
    Incomplete,
    /// The snapshot is complete and its checksum matches.
    Complete(Vec<u8>),
    /// The snapshot is too large or its checksum does not match: everything received of it is discarded.
    Corrupt,
}

/// A snapshot being received; at most one at a time.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembly {
    identity: SnapshotId,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// The identity of the snapshot being received.
    pub fn identity(&self) -> SnapshotId {
        self.identity
    }

    /// The number of bytes received.
    pub fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds a chunk. A chunk of another snapshot discards the bytes received so far and begins the other one. A chunk
    /// that does not start where the received bytes end is ignored.
    pub fn add_chunk(&mut self, id: SnapshotId, offset: u64, chunk: &[u8]) -> ChunkOutcome {
        if id != self.identity {
            self.identity = id;
            self.bytes = Vec::new();
        }
        let max_bytes = id.total.min(MAX_SNAPSHOT_BYTES);
        if offset == self.received() && offset + chunk.len() as u64 <= max_bytes {
            self.bytes.extend_from_slice(chunk);
        }
        if self.received() < id.total {
            return if id.total > max_bytes {
                self.discard_corrupt()
            } else {
                ChunkOutcome::Incomplete
            };
        }
        if crc32fast::hash(&self.bytes) != id.checksum {
            return self.discard_corrupt();
        }
        let complete = std::mem::take(&mut self.bytes);
        self.identity = SnapshotId::default();
        ChunkOutcome::Complete(complete)
    }

    /// Discards the snapshot being received.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn discard_corrupt(&mut self) -> ChunkOutcome {
        self.clear();
        ChunkOutcome::Corrupt
    }
}
