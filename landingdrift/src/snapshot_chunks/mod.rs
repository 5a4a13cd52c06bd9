//! Snapshots of the cluster state in chunks: sent one after another, put together and checked at the other end.

use crate::sans_io::Snapshot;

/// The most bytes of one chunk.
pub const CHUNK_BYTES: usize = 256 << 10;
/// No snapshot is taken that says it is longer.
pub const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// What tells one snapshot from another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotId {
    /// The place of the last entry in it, and that entry's term.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// Its length in bytes.
    pub total: u64,
    /// CRC-32 of all its bytes.
    pub checksum: u32,
}

/// A snapshot that is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkedSnapshot {
    identity: SnapshotId,
    bytes: Vec<u8>,
}

impl ChunkedSnapshot {
    /// A snapshot of the cluster state as it was after the entry at an index.
    pub fn new(index: u64, term: u64, bytes: Vec<u8>) -> Self {
        let identity = SnapshotId {
            index,
            term,
            total: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
        };
        Self { identity, bytes }
    }

    /// What tells it from others.
    pub fn identity(&self) -> SnapshotId {
        self.identity
    }

    /// The largest chunk that starts at an offset; empty behind the end.
    pub fn chunk(&self, offset: u64) -> &[u8] {
        self.chunk_up_to(offset, CHUNK_BYTES)
    }

    /// The chunk of at most so many bytes that starts at an offset; empty behind the end.
    pub fn chunk_up_to(&self, offset: u64, max_bytes: usize) -> &[u8] {
        let from = (offset as usize).min(self.bytes.len());
        let to = (from + max_bytes.min(CHUNK_BYTES)).min(self.bytes.len());
        &self.bytes[from..to]
    }

    /// The same as it goes to the disk.
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.identity.index,
            term: self.identity.term,
            bytes: self.bytes.clone(),
        }
    }
}

impl From<Snapshot> for ChunkedSnapshot {
    fn from(c: Snapshot) -> Self {
        Self::new(c.index, c.term, c.bytes)
    }
}

/// What has become of a snapshot with a chunk taken.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// More is to come.
    Incomplete,
    /// It is whole, and its checksum is right.
    Complete(Vec<u8>),
    /// It can't be what was sent: all of it is thrown away.
    Corrupt,
}

/// A snapshot that is being received; at most one at a time.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembly {
    identity: SnapshotId,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// The snapshot that is being put together.
    pub fn identity(&self) -> SnapshotId {
        self.identity
    }

    /// How many of its bytes are there.
    pub fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Takes a chunk. One of another snapshot starts over; one that does not follow what is there changes nothing.
    pub fn add_chunk(&mut self, of: SnapshotId, offset: u64, chunk: &[u8]) -> ChunkOutcome {
        if of != self.identity {
            self.identity = of;
            self.bytes = Vec::new();
        }
        let most = of.total.min(MAX_SNAPSHOT_BYTES);
        if offset == self.received() && offset + chunk.len() as u64 <= most {
            self.bytes.extend_from_slice(chunk);
        }
        if self.received() < of.total {
            return if of.total > most {
                self.spoilt()
            } else {
                ChunkOutcome::Incomplete
            };
        }
        if crc32fast::hash(&self.bytes) != of.checksum {
            return self.spoilt();
        }
        let whole = std::mem::take(&mut self.bytes);
        self.identity = SnapshotId::default();
        ChunkOutcome::Complete(whole)
    }

    /// Forgets what is there.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn spoilt(&mut self) -> ChunkOutcome {
        self.clear();
        ChunkOutcome::Corrupt
    }
}
