//! A stand-in operator: it puts configurations into force, whole or in part, and reads them back.

use super::{request, Ask};
use crate::history::{Event, Says};
use landingdrift::sans_io::{Response, Rng};
use serde_json::{json, Value};
use std::collections::VecDeque;

/// One thing to be done.
#[derive(Clone, Debug)]
enum Wish {
    /// Put this into force on top of the version known now, or of the one fixed.
    Apply {
        change: String,
        patch: bool,
        value: Value,
        base: Option<u64>,
        insist: bool,
    },
    Read,
}

/// What a change says of the things that rules hang on.
fn says(value: &Value) -> Says {
    let parts = |of: &str| value[of].as_object().cloned().unwrap_or_default();
    let number = |q: &Value, key: &str| q[key].as_u64().map(|n| n as u32);
    Says {
        zones: parts("zones")
            .into_iter()
            .map(|(k, z)| (k, z["state"].as_str().unwrap_or("").to_string()))
            .collect(),
        max_attempts: parts("queues")
            .into_iter()
            .filter_map(|(k, q)| number(&q, "tries").map(|n| (k, n)))
            .collect(),
        quotas: parts("queues")
            .into_iter()
            .filter_map(|(k, q)| number(&q, "quota").map(|n| (k, n)))
            .collect(),
    }
}

/// An operator.
pub struct Operator {
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    rng: Rng,
    name: String,
    wishes: VecDeque<Wish>,
    asked: Option<(u64, u64, Wish, u64)>,
    next: u64,
    calls: u64,
    pub version: u64,
    pub patience: u64,
    made: u64,
}

impl Operator {
    pub fn new(name: &str, nodes: Vec<String>, seed: u64) -> Self {
        Self {
            nodes,
            rng: Rng::new(seed),
            name: name.into(),
            wishes: VecDeque::new(),
            asked: None,
            next: 0,
            calls: 0,
            version: 0,
            patience: 3000,
            made: 0,
        }
    }

    /// Wishes a configuration into force; a rival's change is taken in and the wish tried again.
    pub fn apply(&mut self, patch: bool, value: Value) {
        self.made += 1;
        let change = format!("{}-{}", self.name, self.made);
        self.wishes.push_back(Wish::Apply {
            change,
            patch,
            value,
            base: None,
            insist: true,
        });
    }

    /// Wishes one on top of a fixed version: where a rival was first, it is given up.
    pub fn race(&mut self, base: u64, value: Value) {
        self.made += 1;
        let change = format!("{}-{}", self.name, self.made);
        self.wishes.push_back(Wish::Apply {
            change,
            patch: true,
            value,
            base: Some(base),
            insist: false,
        });
    }

    pub fn read(&mut self) {
        self.wishes.push_back(Wish::Read);
    }

    /// Whether nothing is left to be done.
    pub fn idle(&self) -> bool {
        self.wishes.is_empty() && self.asked.is_none()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) -> Vec<Ask> {
        if let Some((_, sent, wish, _)) = &self.asked {
            if now < sent + self.patience {
                return Vec::new();
            }
            // The answer is missing: the same change is asked for again, under the same identity.
            self.wishes.push_front(wish.clone());
            self.asked = None;
        }
        if now < self.next {
            return Vec::new();
        }
        let Some(wish) = self.wishes.pop_front() else {
            return Vec::new();
        };
        self.calls += 1;
        let mut witnessed = Vec::new();
        let (req, base, wish) = match wish {
            Wish::Read => (request("GET", "/v1/desired", "", None), 0, Wish::Read),
            Wish::Apply {
                change,
                patch,
                value,
                base,
                insist,
            } => {
                let on = base.unwrap_or(self.version);
                // Each change leaves its mark, so that content can be told from content.
                let mut value = value;
                value["notes"]["by"] = json!(change);
                witnessed = vec![Ask::DurabilityWitness(Event::ConfigAsked {
                    change: change.clone(),
                    says: says(&value),
                })];
                let req = request(
                    if patch { "PATCH" } else { "PUT" },
                    "/v1/desired",
                    &format!("base={on}&change={change}"),
                    Some(&value),
                );
                (
                    req,
                    on,
                    Wish::Apply {
                        change,
                        patch,
                        value,
                        base: Some(on),
                        insist,
                    },
                )
            }
        };
        self.asked = Some((self.calls, now, wish, base));
        let Some(to) = self.rng.pick(&self.nodes).cloned() else {
            return Vec::new();
        };
        witnessed.push(Ask::Call {
            to,
            call: self.calls,
            req,
        });
        witnessed
    }

    /// A node has answered.
    pub fn answer(&mut self, now: u64, call: u64, v: &Response) -> Vec<Ask> {
        let Some((_, sent, wish, base)) = self.asked.take_if(|(c, ..)| *c == call) else {
            return Vec::new();
        };
        self.next = now + v.retry_ms.min(500);
        let version = v.body["version"].as_u64().unwrap_or(0);
        match wish {
            Wish::Read if v.status == 200 => {
                self.version = version;
                let by = v.body["desired"]["notes"]["by"]
                    .as_str()
                    .unwrap_or("")
                    .to_string();
                vec![Ask::DurabilityWitness(Event::ConfigRead {
                    version,
                    by,
                    asked: sent,
                })]
            }
            Wish::Apply {
                change,
                patch,
                value,
                insist,
                ..
            } if v.status != 503 => {
                self.version = self.version.max(version);
                let rival = v.status == 409 && insist;
                if rival {
                    // A change of identity goes with a change of base.
                    self.made += 1;
                    let again = format!("{}-{}", self.name, self.made);
                    self.wishes.push_front(Wish::Apply {
                        change: again,
                        patch,
                        value: value.clone(),
                        base: None,
                        insist,
                    });
                }
                vec![Ask::DurabilityWitness(Event::Configured {
                    change,
                    base,
                    status: v.status,
                    version,
                    says: says(&value),
                })]
            }
            wish => {
                self.wishes.push_front(wish);
                Vec::new()
            }
        }
    }

    /// The patch that sets the state of a zone.
    pub fn zone(&mut self, zone: &str, state: &str) {
        self.apply(true, json!({"zones": {zone: {"state": state}}}));
    }
}
