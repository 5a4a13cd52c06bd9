//! Configurations of other nodes by which callers of this one were answered: a caller is not answered by an older one
//! afterwards.

use super::routed_jobs::is_routed;
use super::CONFIG_PATH;
use crate::node::Node;
use crate::sans_io::Now;

/// The newest configuration by which another node has answered a caller of this one.
#[derive(Default)]
pub(super) struct AnsweredVersion {
    version: u64,
    /// When it did, in monotonic milliseconds. A copy that is as new as that has this configuration, or a newer one.
    at: u64,
}

/// Whether the answer to a call follows from the configuration.
fn follows_from_config(path: &str) -> bool {
    is_routed(path) || path == CONFIG_PATH
}

impl Node {
    /// Another node has answered a call that was forwarded to it, by its version of the configuration.
    pub(super) fn note_answered_version(&mut self, now: Now, call: u64, version: u64) {
        let open_call = self.calls.open.get(&call);
        let forward = open_call.and_then(|open_call| open_call.forward.as_ref());
        let is_by_config = forward.is_some_and(|forward| follows_from_config(forward.path()));
        if is_by_config && version > self.calls.answered_version.version {
            self.calls.answered_version = AnsweredVersion {
                version,
                at: now.mono,
            };
        }
    }

    /// Whether a caller of this node was answered by a newer configuration than it has.
    pub(super) fn is_behind_answers(&self) -> bool {
        let answered = &self.calls.answered_version;
        answered.version > self.state.version && answered.at >= self.watch.fresh_at
    }

    /// The oldest version of the configuration by which a caller of this node may be answered.
    pub(super) fn oldest_version_to_answer_by(&self) -> u64 {
        if self.is_behind_answers() {
            return self.calls.answered_version.version;
        }
        self.state.version
    }
}
