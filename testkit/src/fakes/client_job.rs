//! A job as its client sees it, and the calls about it.

use super::request;
use crate::history::Event;
use landingdrift::sans_io::Request;
use landingdrift::state::JobSpec;
use serde_json::json;

/// A call that submits or cancels is made again when it has no answer for so long, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 3000;
/// How long an answer on a job's state is waited for before another node is asked, in milliseconds.
const STATE_TIMEOUT_MS: u64 = 1000;

/// How far a client has come with a job.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    Submitting,
    Polling,
    Ended,
}

/// The purpose of a call.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Purpose {
    Submit,
    Cancel,
    Poll,
}

/// A call that waits for its answer.
#[derive(Clone, Copy)]
pub(super) struct OpenCall {
    pub call: u64,
    pub sent_ms: u64,
    pub purpose: Purpose,
}

impl OpenCall {
    pub fn has_timed_out(&self, now: u64) -> bool {
        let timeout_ms = match self.purpose {
            Purpose::Poll => STATE_TIMEOUT_MS,
            Purpose::Submit | Purpose::Cancel => CALL_TIMEOUT_MS,
        };
        now >= self.sent_ms + timeout_ms
    }
}

pub(super) struct Job {
    pub spec: JobSpec,
    pub stage: Stage,
    /// When the next call is made.
    pub next_call_ms: u64,
    pub open_call: Option<OpenCall>,
    pub refusals: u32,
    /// How many refusals it takes before the client gives up.
    pub most_refusals: u32,
    pub cancel_at_ms: Option<u64>,
    /// Cancels still to be made; some are repeated after they were acknowledged.
    pub cancels_left: u32,
    pub is_accepted: bool,
    pub offered_ms: u64,
}

impl Job {
    /// The purpose of the next call.
    pub fn next_purpose(&self, now: u64) -> Purpose {
        let cancel_is_due = self.cancel_at_ms.is_some_and(|at_ms| now >= at_ms);
        // A cancel may race the very call that submits the job.
        let may_be_known = self.stage == Stage::Polling || now > self.offered_ms;
        if self.cancels_left > 0 && cancel_is_due && may_be_known {
            return Purpose::Cancel;
        }
        match self.stage {
            Stage::Submitting => Purpose::Submit,
            Stage::Polling | Stage::Ended => Purpose::Poll,
        }
    }

    pub fn ask_again(&mut self, now: u64) {
        self.stage = Stage::Polling;
        self.next_call_ms = now;
    }
}

/// The observation and the request of a call about a job.
pub(super) fn call_for(purpose: Purpose, spec: &JobSpec) -> (Event, Request) {
    let id = spec.id.clone();
    let path = format!("/v1/jobs/{id}");
    match purpose {
        Purpose::Submit => (
            Event::SubmitRequested { id },
            request("POST", "/v1/jobs", "", Some(&json!(spec))),
        ),
        Purpose::Cancel => (
            Event::CancelRequested { id },
            request("DELETE", &path, "", None),
        ),
        Purpose::Poll => (
            Event::StateRequested { id },
            request("GET", &path, "", None),
        ),
    }
}
