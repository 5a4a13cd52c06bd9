//! Stand-ins for what the system serves: workers, clients, an operator.

pub mod client;
pub mod operator;
pub mod worker;

use crate::history::Event;
use landingdrift::sans_io::Request;

/// What a stand-in asks of its surroundings.
pub enum Ask {
    /// Call the node at this HTTP address; the number comes back with the response.
    Call { to: String, call: u64, req: Request },
    /// Write down what happened.
    DurabilityWitness(Event),
}

/// A request with a JSON body.
pub fn request(method: &str, path: &str, query: &str, body: Option<&serde_json::Value>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        body: body.map_or(Vec::new(), |b| b.to_string().into_bytes()),
    }
}
