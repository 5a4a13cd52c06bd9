//! Changes of the configuration, and how far they have come.

use super::{param, refused_response, Origin, Then};
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{ApplyResult, Command, Rejection};
use crate::wire::NodeProgress;
use serde_json::{json, Value};

/// A caller who is told that too many changes are under way comes back after so many of the usual pauses: changes come
/// into force more slowly than calls are answered.
const FULL_PAUSES: u64 = 5;

/// A change of the configuration as a call asks for it.
struct AskedChange {
    base: u64,
    /// The number that it is to become; 0 for the next.
    number: u64,
    /// The identity that the caller gave it.
    change: Option<String>,
}

/// Reads the change that a call asks for, but its value; what is wrong with it is told.
fn read_change(req: &Request, most_bytes: u64) -> Result<AskedChange, Response> {
    if req.body.len() as u64 > most_bytes {
        let why = format!("a configuration may have {most_bytes} bytes: send a part of it with PATCH, or raise limits.desired_bytes");
        return Err(Response::error(413, "tooLarge", why));
    }
    let base = param(&req.query, "base").and_then(|b| b.parse::<u64>().ok());
    let Some(base) = base else {
        let why =
            "base: name the version the change is made on top of, as in ?base=3 (0 for the first)";
        return Err(Response::error(400, "noBase", why));
    };
    let number = param(&req.query, "version").map_or(Ok(0), str::parse::<u64>);
    let Ok(number) = number else {
        let why = "version: give the number that the change is to become, above the current one, or leave it out";
        return Err(Response::error(400, "wrongVersion", why));
    };
    Ok(AskedChange {
        base,
        number,
        change: param(&req.query, "change").map(str::to_string),
    })
}

fn read_object(body: &[u8]) -> Result<Value, Response> {
    let wrong = |why: String| Response::error(400, "wrongDesired", why);
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| wrong(format!("the body is no JSON ({e}): correct it")))?;
    if !value.is_object() {
        let why = "the body must be a JSON object: docs/operators/desired-state.md shows one";
        return Err(wrong(why.into()));
    }
    Ok(value)
}

impl Node {
    pub(super) fn configure(&mut self, now: Now, origin: Origin, req: &Request, patch: bool) {
        let asked = match read_change(req, self.settings.limits.config_bytes) {
            Ok(asked) => asked,
            Err(v) => return self.reply(&origin, v),
        };
        // Drawn before the body is read, so that a wrong body costs a draw as well as a right one.
        let change = match asked.change {
            Some(change) => change,
            None => format!("c{:x}", self.rng.number()),
        };
        let value = match read_object(&req.body) {
            Ok(value) => value,
            Err(v) => return self.reply(&origin, v),
        };
        let command = Command::UpdateConfig {
            change: change.clone(),
            base: asked.base,
            patch,
            number: asked.number,
            value,
        };
        self.open_with_proposal(now, origin, &command, Then::Configured { change });
    }

    pub(super) fn configured_response(&mut self, change: &str, ruled: ApplyResult) -> Response {
        match ruled {
            Ok(v) => Response::new(
                200,
                json!({"change": change, "version": v["version"], "place": v["place"]}),
            ),
            Err(Rejection::VersionConflict { current }) => {
                let mut v = Response::error(
                    409,
                    "rival",
                    Rejection::VersionConflict { current }.to_string(),
                );
                v.body["version"] = json!(current);
                v
            }
            Err(r @ Rejection::TooManyChanges) => Response::error(503, "full", r.to_string())
                .retry(FULL_PAUSES * self.settings.bounds.back()),
            Err(Rejection::Invalid { path, remedy }) => {
                let mut v = Response::error(400, "wrongDesired", remedy);
                v.body["path"] = json!(path);
                v
            }
            Err(r) => refused_response(&r),
        }
    }

    /// Begins or ends the emptying of a zone.
    pub(super) fn evacuate_zone(&mut self, now: Now, origin: Origin, zone: &str, on: bool) {
        let command = Command::SetEvacuation {
            zone: zone.into(),
            on,
        };
        self.open_with_proposal(now, origin, &command, Then::Emptied);
    }

    /// How far a change has come, node by node.
    pub(super) fn change_response(&self, id: &str, nodes: &[NodeProgress]) -> Response {
        let accepted = self.state.changes.iter().find(|c| c.change == id);
        let Some(change) = accepted else {
            let why =
                format!("no change '{id}' was accepted lately: read the current version instead");
            return Response::error(404, "unknownChange", why);
        };
        let in_force = |n: &NodeProgress| n.log_index >= change.log_index;
        let of: Vec<Value> = nodes
            .iter()
            .map(|n| json!({"node": n.node, "inForce": in_force(n), "version": n.version, "silentMs": n.age}))
            .collect();
        let everywhere = nodes.iter().all(in_force);
        Response::new(
            200,
            json!({"change": change.change, "version": change.version, "at": change.at, "inForceEverywhere": everywhere, "nodes": of}),
        )
    }
}
