//! Counters and log messages for calls that end without an answer, by the event they waited for.

use super::{CallState, OpenCall};
use crate::node::Node;
use crate::sans_io::Now;

/// Minimum time between log messages, in milliseconds; every call is counted.
const MIN_LOG_INTERVAL_MS: u64 = 250;

impl CallState {
    /// Describes the call for log messages: the kind of request, or the data that it reads.
    fn describe(&self) -> String {
        match self {
            Self::ProposalPending => "(change)".into(),
            Self::ReadIndexPending { query, .. } | Self::CatchingUp { query, .. } => {
                format!("({query:?})")
            }
            Self::PollPending { id, .. } => format!("(job {id})"),
            Self::ForwardedOnce { path, .. } => path.clone(),
            Self::ForwardedRepeatedly => "(forwarded)".into(),
        }
    }

    /// The counter for calls that end in this state, and a description of the event they waited for.
    fn waited_for(&self) -> (&'static str, String) {
        match self {
            Self::ProposalPending => ("calls_unanswered_proposal", "its proposal".into()),
            Self::ReadIndexPending { asked, .. } => (
                "calls_unanswered_read_index",
                format!("the read index, requested from {}", asked.join(", ")),
            ),
            Self::CatchingUp { read_index, .. } => (
                "calls_unanswered_catching_up",
                format!("this node's copy to reach index {read_index}"),
            ),
            Self::PollPending { .. } => ("calls_unanswered_poll", "a fresh copy".into()),
            Self::ForwardedOnce { to, .. } => {
                ("calls_unanswered_forward", format!("a response from {to}"))
            }
            Self::ForwardedRepeatedly => (
                "calls_unanswered_forward",
                "responses from other nodes".into(),
            ),
        }
    }
}

impl Node {
    /// Counts and logs an open call that ends without an answer.
    pub(super) fn record_unanswered(&mut self, now: Now, call: u64) {
        let Some(open_call) = self.calls.open.get(&call) else {
            return;
        };
        let (counter, waited_for) = open_call.state.waited_for();
        if now.mono < self.calls.next_unanswered_log_at {
            return self.count(counter, 1);
        }
        self.calls.next_unanswered_log_at = now.mono + MIN_LOG_INTERVAL_MS;
        let line = unanswered_message(
            open_call,
            &waited_for,
            now,
            self.settings.bounds.request_timeout(),
        );
        self.count(counter, 1);
        self.log(line);
    }
}

fn unanswered_message(open_call: &OpenCall, waited_for: &str, now: Now, timeout_ms: u64) -> String {
    let opened_at = open_call.deadline.saturating_sub(timeout_ms);
    let waited_ms = now.mono.saturating_sub(opened_at);
    let description = open_call.state.describe();
    let forwarded = match &open_call.forward {
        Some(forward) => format!(
            "; {} was forwarded to {}",
            forward.path(),
            forward.targets()
        ),
        None => String::new(),
    };
    format!("call {description} was not answered within {waited_ms} ms: it waited for {waited_for}{forwarded}")
}
