//! Monotonic reads of the configuration: once another node has answered a caller of this node from some version, this
//! node does not answer from an older one.

use super::routed_jobs::is_routed;
use super::CONFIG_PATH;
use crate::node::Node;
use crate::sans_io::Now;

/// The newest configuration version from which another node has answered a caller of this node.
#[derive(Default)]
pub(super) struct AnsweredVersion {
    version: u64,
    /// Arrival time of that answer, in monotonic milliseconds. A copy at least this fresh has this version or a newer
    /// one.
    at: u64,
}

/// Whether the answer to a call on this path depends on the configuration.
fn depends_on_config(path: &str) -> bool {
    is_routed(path) || path == CONFIG_PATH
}

impl Node {
    /// Records the configuration version from which another node has answered a forwarded call.
    pub(super) fn record_answered_version(&mut self, now: Now, call: u64, version: u64) {
        let open_call = self.calls.open.get(&call);
        let forward = open_call.and_then(|open_call| open_call.forward.as_ref());
        let is_config_dependent = forward.is_some_and(|forward| depends_on_config(forward.path()));
        if is_config_dependent && version > self.calls.answered_version.version {
            self.calls.answered_version = AnsweredVersion {
                version,
                at: now.mono,
            };
        }
    }

    /// Whether a caller of this node was answered from a newer configuration than this copy has, and the copy is no
    /// fresher than that answer.
    pub(super) fn is_behind_answered_version(&self) -> bool {
        let answered = &self.calls.answered_version;
        answered.version > self.state.version && answered.at >= self.watch.fresh_at
    }

    /// The oldest configuration version from which a caller of this node may be answered.
    pub(super) fn min_answer_version(&self) -> u64 {
        if self.is_behind_answered_version() {
            return self.calls.answered_version.version;
        }
        self.state.version
    }
}
