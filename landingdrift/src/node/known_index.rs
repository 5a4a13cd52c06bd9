//! Which part of the log this node knew when it received a call.
//!
//! Orders and submissions carry this index, so that the cluster state rejects those that a later command has overtaken. It
//! must not include entries that were committed after the call had reached this process. It need not include all earlier
//! ones: a call that is rejected for that reason had no effect, and may be sent again.

use super::Node;
use crate::sans_io::Now;
use std::collections::VecDeque;

/// The time after a freeze in which calls that waited in a socket are read, in election timeouts.
const READING_AFTER_FREEZE_TIMEOUTS: u64 = 2;

/// The log index known at the receipt of calls.
pub(super) struct KnownIndex {
    /// The highest log index in a response to a proposal of this node.
    from_responses: u64,
    /// The time of the last step of the node, in monotonic milliseconds.
    last_step: u64,
    /// The recent freezes of this process, the oldest first.
    freezes: VecDeque<Freeze>,
}

/// A freeze of this process. What was committed meanwhile is read beside calls that waited in a socket, which are older.
struct Freeze {
    /// The index known at its beginning.
    known_index: u64,
    /// Until when calls may have waited since then, in monotonic milliseconds.
    until: u64,
}

impl KnownIndex {
    /// Nothing is known yet.
    pub fn new(now: Now) -> Self {
        Self {
            from_responses: 0,
            last_step: now.mono,
            freezes: VecDeque::new(),
        }
    }

    /// Records the log index of an entry that is known to be committed.
    pub fn learn(&mut self, log_index: u64) {
        self.from_responses = self.from_responses.max(log_index);
    }

    /// Forgets all indices, because they may belong to the log of another cluster.
    pub fn reset(&mut self) {
        self.from_responses = 0;
        self.freezes.clear();
    }
}

impl Node {
    /// A log index that this node knew when the call that it is handling reached this process.
    pub(super) fn index_at_receipt(&self, now: Now) -> u64 {
        let mut freezes = self.known_index.freezes.iter();
        let oldest = freezes.find(|freeze| now.mono < freeze.until);
        oldest.map_or(self.highest_known_index(), |freeze| freeze.known_index)
    }

    /// Notices at the beginning of a step whether this process was frozen since the last one.
    pub(super) fn detect_freeze(&mut self, now: Now) {
        let since_last_step = now.mono.saturating_sub(self.known_index.last_step);
        self.known_index.last_step = now.mono;
        if since_last_step <= self.freeze_timeout() {
            return;
        }
        let reading_ms = READING_AFTER_FREEZE_TIMEOUTS * self.settings.bounds.election_timeout();
        let freeze = Freeze {
            known_index: self.highest_known_index(),
            until: now.mono + reading_ms,
        };
        let freezes = &mut self.known_index.freezes;
        freezes.retain(|earlier| now.mono < earlier.until);
        freezes.push_back(freeze);
    }

    fn highest_known_index(&self) -> u64 {
        self.known_index
            .from_responses
            .max(self.state.applied_index)
    }
}
