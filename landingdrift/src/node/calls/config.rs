//! Changes of the configuration, and on which nodes they are in force.

use super::{param, rejected_response, Origin, ProposedCall, CONFIG_PATH};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{ApplyResult, Command, Rejection};
use crate::wire::NodeProgress;
use serde_json::{json, Value};

/// A caller who is told that too many changes are under way comes back after so many of the usual pauses: changes come
/// into force more slowly than calls are answered.
const FULL_PAUSES: u64 = 5;

/// A change of the configuration as a call asks for it.
struct RequestedChange {
    base: u64,
    /// The version that it is to become; 0 for the next.
    version: u64,
    /// The identity that the caller gave it.
    change: Option<String>,
}

/// Reads the change that a call asks for, except for its value; the response says what is wrong with it.
fn read_change(request: &Request, max_bytes: u64) -> Result<RequestedChange, Response> {
    if request.body.len() as u64 > max_bytes {
        let why = format!("a configuration may have {max_bytes} bytes: send a part of it with PATCH, or raise limits.desired_bytes");
        return Err(Response::error(413, "tooLarge", why));
    }
    let base = param(&request.query, "base").and_then(|base| base.parse::<u64>().ok());
    let Some(base) = base else {
        let why =
            "base: name the version the change is made on top of, as in ?base=3 (0 for the first)";
        return Err(Response::error(400, "noBase", why));
    };
    let version = param(&request.query, "version").map_or(Ok(0), str::parse::<u64>);
    let Ok(version) = version else {
        let why = "version: give the number that the change is to become, above the current one, or leave it out";
        return Err(Response::error(400, "wrongVersion", why));
    };
    Ok(RequestedChange {
        base,
        version,
        change: param(&request.query, "change").map(str::to_string),
    })
}

/// Reads the value of a change; the response says what is wrong with it.
fn read_object(body: &[u8]) -> Result<Value, Response> {
    let wrong = |why: String| Response::error(400, "wrongDesired", why);
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| wrong(format!("the body is no JSON ({error}): correct it")))?;
    if !value.is_object() {
        let why = "the body must be a JSON object: docs/operators/configuration.md shows one";
        return Err(wrong(why.into()));
    }
    Ok(value)
}

impl Node {
    /// Proposes a change of the configuration. A large one that comes to a node with a narrow link is sent to another node: on
    /// its way to the leader it would keep this link from all other calls.
    pub(super) fn configure(&mut self, now: Now, origin: Origin, request: &Request, patch: bool) {
        let requested = match read_change(request, self.settings.limits.config_bytes) {
            Ok(requested) => requested,
            Err(response) => return self.reply(&origin, response),
        };
        let bytes = request.body.len() as u64;
        if let Some(address) = self.pick_wider_link(now, &origin, bytes) {
            self.count("config_changes_redirected", 1);
            let path = format!("{CONFIG_PATH}?{}", request.query);
            return self.reply(&origin, Response::redirect(&address, &path));
        }
        // Drawn before the body is read, so that the random draws do not depend on whether the body is valid.
        let change = match requested.change {
            Some(change) => change,
            None => format!("c{:x}", self.rng.number()),
        };
        let value = match read_object(&request.body) {
            Ok(value) => value,
            Err(response) => return self.reply(&origin, response),
        };
        let command = Command::UpdateConfig {
            change: change.clone(),
            base: requested.base,
            patch,
            number: requested.version,
            value,
        };
        self.open_with_proposal(now, origin, &command, ProposedCall::UpdateConfig { change });
    }

    pub(super) fn configured_response(&mut self, change: &str, result: ApplyResult) -> Response {
        self.note_configured(change, &result);
        match result {
            Ok(applied) => Response::new(
                200,
                json!({"change": change, "version": applied["version"], "place": applied["place"]}),
            ),
            Err(Rejection::VersionConflict { current }) => {
                let mut response = Response::error(
                    409,
                    "rival",
                    Rejection::VersionConflict { current }.to_string(),
                );
                response.body["version"] = json!(current);
                response
            }
            Err(rejection @ Rejection::TooManyChanges) => {
                Response::error(503, "full", rejection.to_string())
                    .retry(FULL_PAUSES * self.settings.bounds.retry_after())
            }
            Err(Rejection::Invalid { path, remedy }) => {
                let mut response = Response::error(400, "wrongDesired", remedy);
                response.body["path"] = json!(path);
                response
            }
            Err(rejection) => rejected_response(&rejection),
        }
    }

    /// Logs and counts what the caller of a change is told, so that it can be compared with what other nodes have in force.
    fn note_configured(&mut self, change: &str, result: &ApplyResult) {
        match result {
            Ok(applied) => {
                let (version, index) = (&applied["version"], &applied["place"]);
                self.count("config_changes_acknowledged", 1);
                self.log(format!(
                    "configuration change {change} acknowledged as version {version}, index {index}"
                ));
            }
            Err(rejection) => {
                self.count("config_changes_rejected", 1);
                self.log(format!(
                    "configuration change {change} rejected: {rejection}"
                ));
            }
        }
    }

    /// Begins or ends the evacuation of a zone.
    pub(super) fn evacuate_zone(&mut self, now: Now, origin: Origin, zone: &str, on: bool) {
        let command = Command::SetEvacuation {
            zone: zone.into(),
            on,
        };
        self.open_with_proposal(now, origin, &command, ProposedCall::SetEvacuation);
    }

    /// How far a change has come, node by node.
    pub(super) fn change_response(&self, id: &str, nodes: &[NodeProgress]) -> Response {
        let mut changes = self.state.changes.iter();
        let accepted = changes.find(|change| change.change == id);
        let Some(change) = accepted else {
            let why =
                format!("no change '{id}' was accepted lately: read the current version instead");
            return Response::error(404, "unknownChange", why);
        };
        let in_force = |node: &NodeProgress| node.log_index >= change.log_index;
        let node_bodies: Vec<Value> = nodes
            .iter()
            .map(|node| json!({"node": node.node, "inForce": in_force(node), "version": node.version, "silentMs": node.age}))
            .collect();
        let everywhere = nodes.iter().all(in_force);
        Response::new(
            200,
            json!({"change": change.change, "version": change.version, "at": change.at, "inForceEverywhere": everywhere, "nodes": node_bodies}),
        )
    }
}
