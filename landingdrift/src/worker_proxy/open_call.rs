//! The open calls of a worker proxy, each with its attempts.

use super::may_repeat;
use crate::sans_io::Request;

/// A call that waits for a response.
pub(super) struct OpenCall {
    pub call: u64,
    pub request: Request,
    /// When it is given up.
    pub deadline: u64,
    /// When it is sent to another node; none for a call that may not be repeated and may have had its effect.
    pub retry_at: Option<u64>,
    pub attempts: Vec<CallAttempt>,
}

/// One attempt of a call to a node.
pub(super) struct CallAttempt {
    pub node: String,
    /// The node answered that the call had no effect there.
    pub refused: bool,
}

impl OpenCall {
    /// Whether it may be sent twice.
    pub fn is_repeatable(&self) -> bool {
        may_repeat(
            &self.request.method,
            &self.request.path,
            &self.request.query,
        )
    }

    /// Whether a worker made it, which drops late responses; other callers wait for as long as a node works on a call.
    pub fn is_worker_call(&self) -> bool {
        self.is_heartbeat() || self.request.path.starts_with("/v1/workers/")
    }

    /// Whether it is a heartbeat.
    pub fn is_heartbeat(&self) -> bool {
        self.request.path == "/v1/beats"
    }

    /// Whether it was sent to a node.
    pub fn was_sent_to(&self, node: &str) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }

    /// Whether it may have had its effect at some node.
    pub fn may_have_effect(&self) -> bool {
        self.request.method != "GET" && self.attempts.iter().any(|attempt| !attempt.refused)
    }

    /// Whether it may have its effect at a node other than that of this attempt, whatever that one answers.
    pub fn may_have_effect_elsewhere(&self, attempt: u32) -> bool {
        let mut others = self.attempts.iter().enumerate();
        self.request.method != "GET"
            && !self.is_worker_call()
            && others.any(|(index, other)| index != attempt as usize && !other.refused)
    }
}
