//! The open calls of a worker proxy, each with its attempts.

use super::is_idempotent;
use crate::sans_io::Request;

/// A call that is waiting for a response.
pub(super) struct OpenCall {
    pub call: u64,
    pub request: Request,
    /// Time at which the call times out, in monotonic milliseconds.
    pub deadline: u64,
    /// Time of the next attempt, in monotonic milliseconds; none for a call that must not be repeated and may have had
    /// an effect.
    pub retry_at: Option<u64>,
    pub attempts: Vec<CallAttempt>,
}

/// One attempt of a call to a node.
pub(super) struct CallAttempt {
    pub node: String,
    /// The node has responded that the call had no effect there.
    pub is_rejected: bool,
}

impl OpenCall {
    /// Whether the call may be sent more than once.
    pub fn is_repeatable(&self) -> bool {
        is_idempotent(
            &self.request.method,
            &self.request.path,
            &self.request.query,
        )
    }

    /// Whether the call counts as made by a worker: a heartbeat, or a call about one worker. Workers drop late
    /// responses; other callers wait for the request timeout of nodes.
    pub fn is_worker_call(&self) -> bool {
        self.is_heartbeat() || self.request.path.starts_with("/v1/workers/")
    }

    /// Whether the call is a heartbeat.
    pub fn is_heartbeat(&self) -> bool {
        self.request.path == "/v1/beats"
    }

    /// Whether the call was sent to the given node.
    pub fn was_sent_to(&self, node: &str) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }

    /// Whether the call may have had an effect at some node.
    pub fn may_have_had_effect(&self) -> bool {
        self.request.method != "GET" && self.attempts.iter().any(|attempt| !attempt.is_rejected)
    }

    /// Whether another attempt of the call may have had an effect, regardless of the response to this one.
    pub fn may_have_had_effect_elsewhere(&self, attempt: u32) -> bool {
        let mut others = self.attempts.iter().enumerate();
        self.request.method != "GET"
            && !self.is_worker_call()
            && others.any(|(index, other)| index != attempt as usize && !other.is_rejected)
    }
}
