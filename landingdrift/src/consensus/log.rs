//! The in-memory part of the replicated log.

use super::position::LogPosition;
use crate::wire::Entry;
use std::collections::VecDeque;

/// The maximum bytes of commands in one message. A larger entry is sent in a message of its own.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// The tail of the replicated log: all entries after `base`, without gaps.
#[derive(Clone, Debug)]
pub(super) struct ReplicatedLog {
    /// The position before the first entry in memory; a snapshot covers all entries up to it.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Entries up to this index are known to be committed.
    pub commit_index: u64,
    /// Entries up to this index are known to equal those of the current leader.
    pub verified_index: u64,
}

impl ReplicatedLog {
    /// Creates the log from entries loaded from disk; entries covered by the snapshot at `base` are dropped.
    pub fn new(base: LogPosition, loaded: Vec<Entry>) -> Self {
        let not_covered = |entry: &Entry| entry.index > base.index;
        Self {
            base,
            entries: loaded.into_iter().filter(not_covered).collect(),
            commit_index: base.index,
            verified_index: 0,
        }
    }

    /// The position before the first entry in memory.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The position of the last entry.
    pub fn last(&self) -> LogPosition {
        match self.entries.back() {
            Some(entry) => LogPosition::new(entry.term, entry.index),
            None => self.base,
        }
    }

    /// Whether there is no entry, neither in memory nor covered by a snapshot.
    pub fn is_empty(&self) -> bool {
        self.last().index == 0
    }

    /// The cluster time of the last entry in memory, in milliseconds since 1970.
    pub fn last_entry_time(&self) -> Option<u64> {
        self.entries.back().map(|entry| entry.at)
    }

    /// The term of an entry in memory, or of the base.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at an index, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries from index `first` on: as many as fit into one message, at most `max_entries`.
    pub fn batch(&self, first: u64, max_entries: usize) -> Vec<Entry> {
        let skipped = first.saturating_sub(self.base.index + 1) as usize;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(skipped).take(max_entries) {
            bytes += entry.command.len();
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// All entries in memory, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The total bytes of the commands in memory.
    pub fn bytes(&self) -> u64 {
        self.entries.iter().map(|e| e.command.len() as u64).sum()
    }

    /// Appends an entry; its index must follow that of the last one.
    pub fn append(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on, which conflict with the leader's log.
    pub fn truncate_from(&mut self, index: u64) {
        self.entries
            .truncate((index - self.base.index - 1) as usize);
        self.verified_index = self.verified_index.min(index - 1);
    }

    /// Replaces the log with an empty one that starts after an installed snapshot.
    pub fn reset(&mut self, snapshot: LogPosition) {
        self.entries.clear();
        self.base = snapshot;
        self.commit_index = snapshot.index;
        self.verified_index = snapshot.index;
    }

    /// Drops the entries up to and including `index`, which a snapshot covers.
    pub fn compact_to(&mut self, index: u64) {
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.index <= index) {
            self.base = LogPosition::new(entry.term, entry.index);
        }
    }
}
