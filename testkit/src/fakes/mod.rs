//! Fake workers, clients and operators. Each is a state machine without clocks or sockets, so that the simulator and
//! the fleet of real processes can share them. All times are in milliseconds since the start of the test run, which
//! scenarios call a day.

pub mod client;
mod client_job;
pub mod operator;
pub mod worker;

use crate::history::Event;
use landingdrift::sans_io::Request;

/// An action that a fake requests from its driver.
pub enum Output {
    /// Make a call to the process at this HTTP address, and pass the response back with the call's number.
    Call {
        to: String,
        call: u64,
        request: Request,
    },
    /// Add an event to the history.
    Event(Event),
}

/// A request, with a JSON body if one is given.
pub fn request(method: &str, path: &str, query: &str, body: Option<&serde_json::Value>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        body: body.map_or(Vec::new(), |body| body.to_string().into_bytes()),
    }
}
