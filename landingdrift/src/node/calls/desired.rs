use super::{param, Origin, State, Then};
use crate::kernel::{Now, Request, Verdict};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::record::{Command, Refusal, Ruling};
use crate::wire::NodePlace;
use serde_json::{json, Value};

impl Node {
    pub(super) fn configure(&mut self, now: Now, origin: Origin, req: &Request, patch: bool) {
        let most = self.cfg.limits.desired_bytes;
        if req.body.len() as u64 > most {
            return self.reply(
                &origin,
                Verdict::error(
                    413,
                    "tooLarge",
                    format!("a configuration may have {most} bytes: send a part of it with PATCH, or raise limits.desired_bytes"),
                ),
            );
        }
        let Some(base) = param(&req.query, "base").and_then(|b| b.parse::<u64>().ok()) else {
            return self.reply(
                &origin,
                Verdict::error(400, "noBase", "base: name the version the change is made on top of, as in ?base=3 (0 for the first)"),
            );
        };
        let number = param(&req.query, "version").map_or(Ok(0), str::parse::<u64>);
        let Ok(number) = number else {
            return self.reply(
                &origin,
                Verdict::error(400, "wrongVersion", "version: give the number that the change is to become, above the current one, or leave it out"),
            );
        };
        let change = param(&req.query, "change")
            .map_or_else(|| format!("c{:x}", self.draw.number()), str::to_string);
        let value =
            match serde_json::from_slice::<Value>(&req.body) {
                Ok(v) if v.is_object() => v,
                Ok(_) => return self.reply(
                    &origin,
                    Verdict::error(
                        400,
                        "wrongDesired",
                        "the body must be a JSON object: docs/operators/desired-state.md shows one",
                    ),
                ),
                Err(e) => {
                    return self.reply(
                        &origin,
                        Verdict::error(
                            400,
                            "wrongDesired",
                            format!("the body is no JSON ({e}): correct it"),
                        ),
                    )
                }
            };
        let within = self.cfg.bounds.call();
        let call = self.open(now, origin, State::Proposed);
        self.propose(
            now,
            &Command::Configure {
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

    pub(super) fn configured_verdict(&mut self, change: &str, ruled: Ruling) -> Verdict {
        match ruled {
            Ok(v) => Verdict::new(
                200,
                json!({"change": change, "version": v["version"], "place": v["place"]}),
            ),
            Err(Refusal::Rival { current }) => {
                let mut v = Verdict::error(409, "rival", Refusal::Rival { current }.to_string());
                v.body["version"] = json!(current);
                v
            }
            Err(r @ Refusal::TooManyChanges) => {
                Verdict::error(503, "full", r.to_string()).retry(5 * self.cfg.bounds.back())
            }
            Err(Refusal::Invalid { path, remedy }) => {
                let mut v = Verdict::error(400, "wrongDesired", remedy);
                v.body["path"] = json!(path);
                v
            }
            Err(r) => Verdict::error(409, "refused", r.to_string()),
        }
    }

    /// Begins or ends the emptying of a zone.
    pub(super) fn empty_zone(&mut self, now: Now, origin: Origin, zone: &str, on: bool) {
        let within = self.cfg.bounds.call();
        let call = self.open(now, origin, State::Proposed);
        let command = Command::Empty {
            zone: zone.into(),
            on,
        };
        self.propose(now, &command, Purpose::Call(call, Then::Emptied), within);
    }

    /// How far a change has come, node by node.
    pub(super) fn change_verdict(&self, id: &str, nodes: &[NodePlace]) -> Verdict {
        self.record.changes.iter().find(|c| c.change == id).map_or_else(
            || Verdict::error(404, "unknownChange", format!("no change '{id}' was accepted lately: read the current version instead")),
            |c| {
                let of: Vec<Value> = nodes
                    .iter()
                    .map(|n| json!({"node": n.node, "inForce": n.place >= c.place, "version": n.version, "silentMs": n.age}))
                    .collect();
                let everywhere = nodes.iter().all(|n| n.place >= c.place);
                Verdict::new(200, json!({"change": c.change, "version": c.version, "at": c.at, "inForceEverywhere": everywhere, "nodes": of}))
            },
        )
    }
}
