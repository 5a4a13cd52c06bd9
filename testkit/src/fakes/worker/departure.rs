//! Workers that report, without an earlier announcement, that they have left, while their runs go on. A report is
//! repeated until it is acknowledged.

use super::{Worker, CALL_TIMEOUT_MS};
use crate::fakes::{request, Output};
use crate::history::Event;
use landingdrift::sans_io::Response;

/// An unacknowledged report that the worker has left.
#[derive(Default)]
pub(super) struct DepartureReport {
    /// The number of the latest call that carries the report.
    call: u64,
    /// When the next call is due, in milliseconds.
    next_call_ms: u64,
}

impl Worker {
    /// Begins to report that the worker has left; its runs and heartbeats go on.
    pub fn leave_unannounced(&mut self, now: u64) -> Vec<Output> {
        self.departure = Some(DepartureReport::default());
        self.report_departure(now).into_iter().collect()
    }

    /// Sends the report, if it is due.
    pub(super) fn report_departure(&mut self, now: u64) -> Option<Output> {
        let is_due = |report: &&mut DepartureReport| now >= report.next_call_ms;
        let report = self.departure.as_mut().filter(is_due)?;
        self.last_call += 1;
        report.call = self.last_call;
        report.next_call_ms = now + CALL_TIMEOUT_MS;
        let path = format!("/v1/workers/{}/left", self.info.worker);
        let query = format!("incarnation={}", self.info.incarnation);
        Some(Output::Call {
            to: self.node(),
            call: self.last_call,
            request: request("POST", &path, &query, None),
        })
    }

    /// Handles a response that acknowledges the report; returns none for any other response.
    pub(super) fn departure_answered(&mut self, call: u64, response: &Response) -> Option<Output> {
        let is_acknowledged = response.status == 200;
        self.departure
            .take_if(|report| report.call == call && is_acknowledged)?;
        let worker = self.info.worker.clone();
        Some(Output::Event(Event::WorkerLeaving { worker }))
    }
}
