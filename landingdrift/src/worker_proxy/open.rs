//! The calls that a worker proxy carries, each with the nodes that it was sent to.

use super::may_repeat;
use crate::sans_io::Request;

/// A call that waits for an answer.
pub(super) struct Open {
    pub call: u64,
    pub req: Request,
    /// When it is given up.
    pub until: u64,
    /// When it is sent to another node; a call that may not be repeated waits while a node may have taken it.
    pub again: Option<u64>,
    pub asked: Vec<Asked>,
}

/// One attempt of a call to a node.
pub(super) struct Asked {
    pub node: String,
    /// The node has said that it took nothing.
    pub refused: bool,
}

impl Open {
    pub fn repeatable(&self) -> bool {
        may_repeat(&self.req.method, &self.req.path, &self.req.query)
    }

    /// Whether a worker calls, and drops what comes late; others wait for as long as a node works on a call.
    pub fn is_of_worker(&self) -> bool {
        self.is_heartbeat() || self.req.path.starts_with("/v1/workers/")
    }

    pub fn is_heartbeat(&self) -> bool {
        self.req.path == "/v1/beats"
    }

    pub fn was_asked(&self, node: &str) -> bool {
        self.asked.iter().any(|a| a.node == node)
    }

    /// Whether some node may have done what the call asks for.
    pub fn maybe_taken(&self) -> bool {
        self.req.method != "GET" && self.asked.iter().any(|a| !a.refused)
    }

    /// Whether a node other than the one of this send may yet do what the call asks for, whatever that one says.
    pub fn maybe_taken_elsewhere(&self, attempt: u32) -> bool {
        let mut others = self.asked.iter().enumerate();
        self.req.method != "GET"
            && !self.is_of_worker()
            && others.any(|(i, a)| i != attempt as usize && !a.refused)
    }
}
