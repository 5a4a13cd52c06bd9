//! Which part of the log this node knew when it received a call.
//!
//! Orders carry this index, so that the cluster state rejects those that a later one has overtaken. It must not include
//! entries that were committed after the call had reached this process. It need not include all earlier ones: a call that
//! is rejected for that reason had no effect, and may be sent again.

use super::Node;

/// The log index known at the receipt of calls.
#[derive(Default)]
pub(super) struct KnownIndex {
    /// The highest log index in a response to a proposal of this node.
    from_responses: u64,
}

impl KnownIndex {
    /// Records the log index of an entry that is known to be committed.
    pub fn learn(&mut self, log_index: u64) {
        self.from_responses = self.from_responses.max(log_index);
    }

    /// Forgets all indices, because they may belong to the log of another cluster.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

impl Node {
    /// A log index that this node knew when the call that it is handling reached this process.
    pub(super) fn index_at_receipt(&self) -> u64 {
        self.known_index
            .from_responses
            .max(self.state.applied_index)
    }
}
