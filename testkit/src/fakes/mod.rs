//! Fakes of what the system serves: workers, clients and operators. Each is a state machine without clock or socket, so
//! that the simulator and the fleet of real processes use the same ones. All times are milliseconds since the beginning
//! of the day.

pub mod client;
mod client_job;
pub mod operator;
pub mod worker;

use crate::history::Event;
use landingdrift::sans_io::Request;

/// What a fake wants to be done.
pub enum Output {
    /// Call the node at this HTTP address; the number comes back with the response.
    Call {
        to: String,
        call: u64,
        request: Request,
    },
    /// Add an observation to the history.
    Event(Event),
}

/// A request with a JSON body.
pub fn request(method: &str, path: &str, query: &str, body: Option<&serde_json::Value>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        body: body.map_or(Vec::new(), |body| body.to_string().into_bytes()),
    }
}
