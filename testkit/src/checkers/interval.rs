//! Closed intervals of time.

/// A span of time in milliseconds; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Interval {
    pub from: u64,
    pub to: u64,
}

impl Interval {
    /// An interval; `to` is `u64::MAX` if it has not ended.
    pub fn new(from: u64, to: u64) -> Self {
        Self { from, to }
    }

    /// Whether the two intervals overlap, if only at an end point.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.to && self.to >= other.from
    }

    /// Whether the other interval lies within this one.
    pub fn contains(&self, other: &Self) -> bool {
        self.from <= other.from && self.to >= other.to
    }
}
