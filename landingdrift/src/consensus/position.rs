//! Positions in the replicated log.

/// A position in the replicated log: an entry's index and the term it was proposed in.
///
/// Positions are ordered by term first and by index second, as elections compare logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LogPosition {
    /// The term; compared first.
    pub term: u64,
    /// The index, counted from 1; 0 is the position before the first entry.
    pub index: u64,
}

impl LogPosition {
    /// The position before the first entry.
    pub const ORIGIN: Self = Self { term: 0, index: 0 };

    /// The position of the entry with this term and index.
    pub fn new(term: u64, index: u64) -> Self {
        Self { term, index }
    }
}
