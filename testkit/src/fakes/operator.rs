//! A fake operator: it applies configurations, whole or in part, and reads them back.

use super::{request, Output};
use crate::history::{Event, RuleSettings};
use landingdrift::sans_io::{Request, Response, Rng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

/// A change is asked for again when it has no answer for so long, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 3000;
/// A read is made at another node when it has no answer for so long, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1000;
/// A read that no node has answered for so long is noted, in milliseconds.
const READ_WITHIN_MS: u64 = 4000;
/// The longest pause after an answer, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;

/// Something to be done.
#[derive(Clone, Debug)]
enum Order {
    Apply(Change),
    Read(Read),
}

impl Order {
    fn timeout_ms(&self) -> u64 {
        match self {
            Self::Apply(_) => CHANGE_TIMEOUT_MS,
            Self::Read(_) => READ_TIMEOUT_MS,
        }
    }
}

/// A read of the configuration, at one node after the other until one answers.
#[derive(Clone, Debug, Default)]
struct Read {
    /// When the first node was asked.
    since_ms: Option<u64>,
    /// It was noted that no answer has come in time.
    is_noted: bool,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
struct Change {
    /// Its identity: a repeated call carries the same one.
    id: String,
    /// Whether it replaces only the parts that it names.
    is_patch: bool,
    value: Value,
    /// The version that it is made on; where it is none, the newest one known when it is sent.
    base: Option<u64>,
    /// Whether it is made again on the newer version when a rival came first.
    retries_after_rival: bool,
}

/// A call that waits for its answer.
struct OpenCall {
    call: u64,
    sent_ms: u64,
    order: Order,
}

/// An operator, with what it still has to do.
pub struct Operator {
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    rng: Rng,
    name: String,
    orders: VecDeque<Order>,
    open_call: Option<OpenCall>,
    /// The node that has been named for the next order.
    redirected_to: Option<String>,
    /// When the next call may be made.
    next_call_ms: u64,
    last_call: u64,
    /// The newest version that it knows.
    pub version: u64,
    changes_made: u64,
}

impl Operator {
    /// An operator that has nothing to do.
    pub fn new(name: &str, nodes: Vec<String>, seed: u64) -> Self {
        Self {
            nodes,
            rng: Rng::new(seed),
            name: name.into(),
            orders: VecDeque::new(),
            open_call: None,
            redirected_to: None,
            next_call_ms: 0,
            last_call: 0,
            version: 0,
            changes_made: 0,
        }
    }

    /// Applies a configuration; where a rival comes first, on top of the rival's.
    pub fn apply(&mut self, is_patch: bool, value: Value) {
        let id = self.next_change_id();
        self.orders.push_back(Order::Apply(Change {
            id,
            is_patch,
            value,
            base: None,
            retries_after_rival: true,
        }));
    }

    /// Patches the configuration on top of a fixed version; where a rival comes first, the patch is given up.
    pub fn race(&mut self, base: u64, value: Value) {
        let id = self.next_change_id();
        self.orders.push_back(Order::Apply(Change {
            id,
            is_patch: true,
            value,
            base: Some(base),
            retries_after_rival: false,
        }));
    }

    /// Sets the state of a zone.
    pub fn set_zone(&mut self, zone: &str, state: &str) {
        self.apply(true, json!({"zones": {zone: {"state": state}}}));
    }

    /// Reads the configuration.
    pub fn read(&mut self) {
        self.orders.push_back(Order::Read(Read::default()));
    }

    /// Whether nothing is left to be done.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.open_call.is_none()
    }

    fn next_change_id(&mut self) -> String {
        self.changes_made += 1;
        format!("{}-{}", self.name, self.changes_made)
    }

    /// Time has passed: makes the next call.
    pub fn tick(&mut self, now: u64) -> Vec<Output> {
        if let Some(open) = &self.open_call {
            if now < open.sent_ms + open.order.timeout_ms() {
                return Vec::new();
            }
            // The answer is missing: the same is asked for again, a change under the same identity.
            self.orders.push_front(open.order.clone());
            self.open_call = None;
        }
        if now < self.next_call_ms {
            return Vec::new();
        }
        let Some(order) = self.orders.pop_front() else {
            return Vec::new();
        };
        self.last_call += 1;
        let call = self.last_call;
        let mut outputs = Vec::new();
        let named_node = self.redirected_to.take();
        let (order, request) = match order {
            Order::Read(mut read) => {
                outputs.extend(note_unanswered(now, &mut read));
                (Order::Read(read), request("GET", "/v1/desired", "", None))
            }
            Order::Apply(change) => {
                let change = self.with_base_and_mark(change);
                outputs.push(Output::Event(Event::ConfigRequested {
                    change: change.id.clone(),
                    settings: rule_settings(&change.value),
                }));
                let request = apply_request(&change);
                (Order::Apply(change), request)
            }
        };
        self.open_call = Some(OpenCall {
            call,
            sent_ms: now,
            order,
        });
        let Some(to) = named_node.or_else(|| self.rng.pick(&self.nodes).cloned()) else {
            return Vec::new();
        };
        outputs.push(Output::Call { to, call, request });
        outputs
    }

    /// Fixes the version that a change is made on, and has it leave its mark, so that content can be told from content.
    fn with_base_and_mark(&self, mut change: Change) -> Change {
        change.base = change.base.or(Some(self.version));
        change.value["notes"]["by"] = json!(change.id);
        change
    }

    /// A node has answered a call.
    pub fn answer(&mut self, now: u64, call: u64, response: &Response) -> Vec<Output> {
        let Some(open) = self.open_call.take_if(|open| open.call == call) else {
            return Vec::new();
        };
        self.next_call_ms = now + response.retry_ms.min(MAX_PAUSE_MS);
        match open.order {
            Order::Read(_) if response.status == 200 => self.read_answered(open.sent_ms, response),
            order if response.status == 307 => {
                self.redirected_to = response.location.split('/').next().map(String::from);
                self.orders.push_front(order);
                Vec::new()
            }
            Order::Apply(change) if response.status != 503 => self.apply_answered(change, response),
            order => {
                self.orders.push_front(order);
                Vec::new()
            }
        }
    }

    fn read_answered(&mut self, requested_ms: u64, response: &Response) -> Vec<Output> {
        let body = &response.body;
        self.version = body["version"].as_u64().unwrap_or(0);
        let change = body["desired"]["notes"]["by"].as_str().unwrap_or("");
        vec![Output::Event(Event::ConfigRead {
            version: self.version,
            change: change.to_string(),
            requested_ms,
        })]
    }

    fn apply_answered(&mut self, change: Change, response: &Response) -> Vec<Output> {
        let version = response.body["version"].as_u64().unwrap_or(0);
        self.version = self.version.max(version);
        if response.status == 409 && change.retries_after_rival {
            // On another version it is another change.
            let id = self.next_change_id();
            self.orders.push_front(Order::Apply(Change {
                id,
                base: None,
                ..change.clone()
            }));
        }
        vec![Output::Event(Event::ConfigAnswered {
            settings: rule_settings(&change.value),
            change: change.id,
            base: change.base.unwrap_or(0),
            status: response.status,
            version,
        })]
    }
}

/// Notes a read that is made at a time, and for the first time that it has had no answer for too long.
fn note_unanswered(now: u64, read: &mut Read) -> Option<Output> {
    let since_ms = *read.since_ms.get_or_insert(now);
    let is_late = now >= since_ms + READ_WITHIN_MS;
    if !is_late || std::mem::replace(&mut read.is_noted, true) {
        return None;
    }
    Some(Output::Event(Event::ConfigReadUnanswered { since_ms }))
}

fn apply_request(change: &Change) -> Request {
    let method = if change.is_patch { "PATCH" } else { "PUT" };
    let base = change.base.unwrap_or(0);
    let query = format!("base={base}&change={}", change.id);
    request(method, "/v1/desired", &query, Some(&change.value))
}

/// The settings in a change that rules depend on.
fn rule_settings(value: &Value) -> RuleSettings {
    let zones = value["zones"].as_object().into_iter().flatten();
    let zone_states = zones.map(|(name, zone)| {
        let state = zone["state"].as_str().unwrap_or("");
        (name.clone(), state.to_string())
    });
    RuleSettings {
        zones: zone_states.collect(),
        max_attempts: queue_limits(value, "tries"),
        quotas: queue_limits(value, "quota"),
    }
}

/// A limit of each queue that a change names it for.
fn queue_limits(value: &Value, key: &str) -> BTreeMap<String, u32> {
    let queues = value["queues"].as_object().into_iter().flatten();
    queues
        .filter_map(|(name, queue)| {
            let limit = queue[key].as_u64()? as u32;
            Some((name.clone(), limit))
        })
        .collect()
}
