use super::{param, Origin, State, Then};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::{Now, Request, Response};
use crate::state::{ApplyResult, Command, Rejection};
use crate::wire::NodeProgress;
use serde_json::{json, Value};

impl Node {
    pub(super) fn configure(&mut self, now: Now, origin: Origin, req: &Request, patch: bool) {
        let most = self.settings.limits.config_bytes;
        if req.body.len() as u64 > most {
            return self.reply(
                &origin,
                Response::error(
                    413,
                    "tooLarge",
                    format!("a configuration may have {most} bytes: send a part of it with PATCH, or raise limits.desired_bytes"),
                ),
            );
        }
        let Some(base) = param(&req.query, "base").and_then(|b| b.parse::<u64>().ok()) else {
            return self.reply(
                &origin,
                Response::error(400, "noBase", "base: name the version the change is made on top of, as in ?base=3 (0 for the first)"),
            );
        };
        let number = param(&req.query, "version").map_or(Ok(0), str::parse::<u64>);
        let Ok(number) = number else {
            return self.reply(
                &origin,
                Response::error(400, "wrongVersion", "version: give the number that the change is to become, above the current one, or leave it out"),
            );
        };
        let change = param(&req.query, "change")
            .map_or_else(|| format!("c{:x}", self.rng.number()), str::to_string);
        let value =
            match serde_json::from_slice::<Value>(&req.body) {
                Ok(v) if v.is_object() => v,
                Ok(_) => return self.reply(
                    &origin,
                    Response::error(
                        400,
                        "wrongDesired",
                        "the body must be a JSON object: docs/operators/desired-state.md shows one",
                    ),
                ),
                Err(e) => {
                    return self.reply(
                        &origin,
                        Response::error(
                            400,
                            "wrongDesired",
                            format!("the body is no JSON ({e}): correct it"),
                        ),
                    )
                }
            };
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        self.propose(
            now,
            &Command::UpdateConfig {
                change: change.clone(),
                base,
                patch,
                number,
                value,
            },
            Purpose::Call(call, Then::Configured { change }),
            within,
        );
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
            Err(r @ Rejection::TooManyChanges) => {
                Response::error(503, "full", r.to_string()).retry(5 * self.settings.bounds.back())
            }
            Err(Rejection::Invalid { path, remedy }) => {
                let mut v = Response::error(400, "wrongDesired", remedy);
                v.body["path"] = json!(path);
                v
            }
            Err(r) => Response::error(409, "refused", r.to_string()),
        }
    }

    /// Begins or ends the emptying of a zone.
    pub(super) fn evacuate_zone(&mut self, now: Now, origin: Origin, zone: &str, on: bool) {
        let within = self.settings.bounds.call();
        let call = self.open(now, origin, State::ProposalPending);
        let command = Command::SetEvacuation {
            zone: zone.into(),
            on,
        };
        self.propose(now, &command, Purpose::Call(call, Then::Emptied), within);
    }

    /// How far a change has come, node by node.
    pub(super) fn change_response(&self, id: &str, nodes: &[NodeProgress]) -> Response {
        self.state.changes.iter().find(|c| c.change == id).map_or_else(
            || Response::error(404, "unknownChange", format!("no change '{id}' was accepted lately: read the current version instead")),
            |c| {
                let of: Vec<Value> = nodes
                    .iter()
                    .map(|n| json!({"node": n.node, "inForce": n.log_index >= c.log_index, "version": n.version, "silentMs": n.age}))
                    .collect();
                let everywhere = nodes.iter().all(|n| n.log_index >= c.log_index);
                Response::new(200, json!({"change": c.change, "version": c.version, "at": c.at, "inForceEverywhere": everywhere, "nodes": of}))
            },
        )
    }
}
