//! Intervals of time.

/// A span of time in milliseconds; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Interval {
    pub from: u64,
    pub to: u64,
}

impl Interval {
    /// From one time to another; `u64::MAX` stands for one that has not ended.
    pub fn new(from: u64, to: u64) -> Self {
        Self { from, to }
    }

    /// Whether it has a moment in common with another one.
    pub fn touches(&self, other: &Self) -> bool {
        self.from <= other.to && self.to >= other.from
    }

    /// Whether another one lies within it.
    pub fn contains(&self, other: &Self) -> bool {
        self.from <= other.from && self.to >= other.to
    }
}
