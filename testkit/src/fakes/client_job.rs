//! The state of a job at its client, and the calls that submit, poll and cancel it.

use super::request;
use crate::history::Event;
use landingdrift::sans_io::Request;
use landingdrift::state::JobSpec;
use serde_json::json;

/// The timeout of a submission or cancel, after which it is repeated, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 3000;
/// The timeout of a poll, after which another node is called, in milliseconds.
const STATE_TIMEOUT_MS: u64 = 1000;
/// The timeout of the cancel of a job that the client has given up, after which another node is called, in milliseconds.
const GIVE_UP_TIMEOUT_MS: u64 = 1000;

/// How far a job has come: the client submits it until it is accepted, then polls its state until it has ended. A job
/// that the client gives up counts as ended.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    Submitting,
    Polling,
    /// The client has given the job up, and cancels it until a cancel is answered.
    GivingUp,
    Ended,
}

/// The purpose of a call.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Purpose {
    Submit,
    Cancel,
    /// Cancels a job that the client has given up.
    GiveUp,
    Poll,
}

/// A call that has not been answered.
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
            Purpose::GiveUp => GIVE_UP_TIMEOUT_MS,
            Purpose::Submit | Purpose::Cancel => CALL_TIMEOUT_MS,
        };
        now >= self.sent_ms + timeout_ms
    }
}

/// A job, with the progress of the calls for it.
pub(super) struct Job {
    pub spec: JobSpec,
    pub stage: Stage,
    /// When the next call is due, in milliseconds.
    pub next_call_ms: u64,
    pub open_call: Option<OpenCall>,
    pub refusals: u32,
    /// The number of refusals that the client retries before it gives up.
    pub max_refusals: u32,
    pub cancel_at_ms: Option<u64>,
    /// When the client gives the job up and cancels it, unless a submission has been answered; none if it never does.
    pub give_up_at_ms: Option<u64>,
    /// The number of cancels still to be acknowledged; some jobs are cancelled twice.
    pub cancels_left: u32,
    pub is_accepted: bool,
    pub offered_ms: u64,
}

impl Job {
    /// The purpose of the next call, given the stage and a cancel that may be due.
    pub fn next_purpose(&self, now: u64) -> Purpose {
        let cancel_is_due = self.cancel_at_ms.is_some_and(|at_ms| now >= at_ms);
        // A cancel may overtake the call that submits the job.
        let system_may_know_job = self.stage == Stage::Polling || now > self.offered_ms;
        if self.cancels_left > 0 && cancel_is_due && system_may_know_job {
            return Purpose::Cancel;
        }
        match self.stage {
            Stage::Submitting => Purpose::Submit,
            Stage::GivingUp => Purpose::GiveUp,
            Stage::Polling | Stage::Ended => Purpose::Poll,
        }
    }

    /// Gives the job up if its client's patience is over: the submission that waits is abandoned.
    pub fn give_up_if_due(&mut self, now: u64) -> Option<OpenCall> {
        let is_due = self.give_up_at_ms.is_some_and(|at_ms| now >= at_ms);
        if !is_due || self.stage != Stage::Submitting {
            return None;
        }
        self.stage = Stage::GivingUp;
        self.cancels_left = 0;
        self.next_call_ms = now;
        self.open_call.take()
    }

    pub fn poll_again(&mut self, now: u64) {
        self.stage = Stage::Polling;
        self.next_call_ms = now;
    }
}

/// The event to record and the request to send for a call.
pub(super) fn call_for(purpose: Purpose, spec: &JobSpec) -> (Event, Request) {
    let id = spec.id.clone();
    let path = format!("/v1/jobs/{id}");
    match purpose {
        Purpose::Submit => (
            Event::SubmitRequested { id },
            request("POST", "/v1/jobs", "", Some(&json!(spec))),
        ),
        Purpose::Cancel | Purpose::GiveUp => (
            Event::CancelRequested { id },
            request("DELETE", &path, "", None),
        ),
        Purpose::Poll => (
            Event::StateRequested { id },
            request("GET", &path, "", None),
        ),
    }
}
