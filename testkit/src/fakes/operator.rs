//! A fake operator: it replaces or patches the configuration, and reads it back.

mod zone_orders;

use super::{request, Output};
use crate::history::{CheckedSettings, Event};
use landingdrift::sans_io::{Request, Response, Rng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use zone_orders::ZoneOrder;

/// The timeout of a change, after which it is requested again, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 3000;
/// The timeout of a read, after which another node is called, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1000;
/// The time after which a read that no node has answered is recorded as unanswered, in milliseconds.
const READ_DEADLINE_MS: u64 = 4000;
/// The longest pause before the next call after an answer, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;

/// An operation to be carried out.
#[derive(Clone, Debug)]
enum Operation {
    Apply(Change),
    Read(Read),
    OrderZone(ZoneOrder),
}

impl Operation {
    fn timeout_ms(&self) -> u64 {
        match self {
            Self::Apply(_) => CHANGE_TIMEOUT_MS,
            Self::Read(_) => READ_TIMEOUT_MS,
            Self::OrderZone(_) => zone_orders::TIMEOUT_MS,
        }
    }
}

/// A read of the configuration, from one node after another until one answers.
#[derive(Clone, Debug, Default)]
struct Read {
    /// When the first node was called, in milliseconds.
    since_ms: Option<u64>,
    /// [`Event::ConfigReadUnanswered`] has been recorded for this read.
    is_unanswered_recorded: bool,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
struct Change {
    /// Identifies the change; repeated calls carry the same id.
    id: String,
    /// Whether the change replaces only the settings that it names.
    is_patch: bool,
    value: Value,
    /// The version that the change is based on: none until it is first sent, then the newest version known.
    base: Option<u64>,
    /// Whether the change is retried on the newer version after a conflict with a concurrent change.
    retries_after_conflict: bool,
}

/// A call that has not been answered.
struct OpenCall {
    call: u64,
    sent_ms: u64,
    operation: Operation,
}

/// A simulated operator who changes and reads the configuration, one operation at a time.
pub struct Operator {
    /// The addresses of all nodes, as the platform lists them.
    pub nodes: Vec<String>,
    rng: Rng,
    name: String,
    operations: VecDeque<Operation>,
    open_call: Option<OpenCall>,
    /// The node that the last answer redirected to.
    redirected_to: Option<String>,
    /// When the next call may be made, in milliseconds.
    next_call_ms: u64,
    last_call: u64,
    /// The newest version of the configuration that the operator knows.
    pub version: u64,
    changes_made: u64,
}

impl Operator {
    /// An operator without operations.
    pub fn new(name: &str, nodes: Vec<String>, seed: u64) -> Self {
        Self {
            nodes,
            rng: Rng::new(seed),
            name: name.into(),
            operations: VecDeque::new(),
            open_call: None,
            redirected_to: None,
            next_call_ms: 0,
            last_call: 0,
            version: 0,
            changes_made: 0,
        }
    }

    /// Queues a change of the configuration, which is retried on the newer version after a conflict.
    pub fn queue_change(&mut self, is_patch: bool, value: Value) {
        let id = self.next_change_id();
        self.operations.push_back(Operation::Apply(Change {
            id,
            is_patch,
            value,
            base: None,
            retries_after_conflict: true,
        }));
    }

    /// Queues a patch of a fixed version of the configuration, which is not retried after a conflict.
    pub fn patch_version(&mut self, base: u64, value: Value) {
        let id = self.next_change_id();
        self.operations.push_back(Operation::Apply(Change {
            id,
            is_patch: true,
            value,
            base: Some(base),
            retries_after_conflict: false,
        }));
    }

    /// Queues a change of a zone's state, such as `draining`.
    pub fn set_zone(&mut self, zone: &str, state: &str) {
        self.queue_change(true, json!({"zones": {zone: {"state": state}}}));
    }

    /// Queues a read of the configuration.
    pub fn queue_read(&mut self) {
        self.operations.push_back(Operation::Read(Read::default()));
    }

    /// Whether no operation is queued or unanswered.
    pub fn is_idle(&self) -> bool {
        self.operations.is_empty() && self.open_call.is_none()
    }

    fn next_change_id(&mut self) -> String {
        self.changes_made += 1;
        format!("{}-{}", self.name, self.changes_made)
    }

    /// Makes the next call, if it is due.
    pub fn tick(&mut self, now: u64) -> Vec<Output> {
        if let Some(open) = &self.open_call {
            if now < open.sent_ms + open.operation.timeout_ms() {
                return Vec::new();
            }
            // The call has timed out: repeat the operation; a change keeps its id.
            self.operations.push_front(open.operation.clone());
            self.open_call = None;
        }
        if now < self.next_call_ms {
            return Vec::new();
        }
        let Some(operation) = self.next_operation(now) else {
            return Vec::new();
        };
        self.last_call += 1;
        let call = self.last_call;
        let mut outputs = Vec::new();
        let mut target = self.redirected_to.take();
        let (operation, request) = match operation {
            Operation::OrderZone(order) => {
                let order = self.order_to_another_node(order);
                target = Some(order.called.clone());
                outputs.push(Output::Event(order.requested_event()));
                let request = order.request();
                (Operation::OrderZone(order), request)
            }
            Operation::Read(mut read) => {
                outputs.extend(record_unanswered(now, &mut read));
                (
                    Operation::Read(read),
                    request("GET", "/v1/desired", "", None),
                )
            }
            Operation::Apply(change) => {
                let change = self.with_base_and_id_note(change);
                outputs.push(Output::Event(Event::ConfigRequested {
                    change: change.id.clone(),
                    settings: checked_settings(&change.value),
                }));
                let request = apply_request(&change);
                (Operation::Apply(change), request)
            }
        };
        self.open_call = Some(OpenCall {
            call,
            sent_ms: now,
            operation,
        });
        let Some(to) = target.or_else(|| self.rng.pick(&self.nodes).cloned()) else {
            return Vec::new();
        };
        outputs.push(Output::Call { to, call, request });
        outputs
    }

    /// Takes the next operation from the queue, unless it is not due yet. Orders that have been sent for long enough are
    /// dropped.
    fn next_operation(&mut self, now: u64) -> Option<Operation> {
        while let Some(Operation::OrderZone(order)) = self.operations.front() {
            if !order.is_over(now) {
                break;
            }
            self.operations.pop_front();
        }
        let is_due = |operation: &mut Operation| match operation {
            Operation::OrderZone(order) => order.is_due(now),
            _ => true,
        };
        self.operations.pop_front_if(is_due)
    }

    /// Sets the base version of a change if it has none, and writes its id to the note `by`, by which checkers
    /// recognize the change's content.
    fn with_base_and_id_note(&self, mut change: Change) -> Change {
        change.base = change.base.or(Some(self.version));
        change.value["notes"]["by"] = json!(change.id);
        change
    }

    /// Handles the response to a call.
    pub fn answer(&mut self, now: u64, call: u64, response: &Response) -> Vec<Output> {
        let Some(open) = self.open_call.take_if(|open| open.call == call) else {
            return Vec::new();
        };
        self.next_call_ms = now + response.retry_ms.min(MAX_PAUSE_MS);
        match open.operation {
            Operation::Read(_) if response.status == 200 => {
                self.read_answered(open.sent_ms, response)
            }
            operation if response.status == 307 => {
                self.redirected_to = response.location.split('/').next().map(String::from);
                self.operations.push_front(operation);
                Vec::new()
            }
            Operation::OrderZone(order) if response.status == 200 => {
                vec![Output::Event(order.acknowledged_event())]
            }
            Operation::Apply(change) if response.status != 503 => {
                self.apply_answered(change, response)
            }
            operation => {
                self.operations.push_front(operation);
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
        if response.status == 409 && change.retries_after_conflict {
            // A change on a newer base gets a new id.
            let id = self.next_change_id();
            self.operations.push_front(Operation::Apply(Change {
                id,
                base: None,
                ..change.clone()
            }));
        }
        vec![Output::Event(Event::ConfigAnswered {
            settings: checked_settings(&change.value),
            change: change.id,
            base: change.base.unwrap_or(0),
            status: response.status,
            version,
        })]
    }
}

/// Sets the time of a read's first call. Returns an event, once, when the read has been unanswered for
/// [`READ_DEADLINE_MS`].
fn record_unanswered(now: u64, read: &mut Read) -> Option<Output> {
    let since_ms = *read.since_ms.get_or_insert(now);
    let is_late = now >= since_ms + READ_DEADLINE_MS;
    if !is_late || std::mem::replace(&mut read.is_unanswered_recorded, true) {
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

/// The settings in a change that the checkers depend on.
fn checked_settings(value: &Value) -> CheckedSettings {
    let zones = value["zones"].as_object().into_iter().flatten();
    let zone_states = zones.map(|(name, zone)| {
        let state = zone["state"].as_str().unwrap_or("");
        (name.clone(), state.to_string())
    });
    CheckedSettings {
        zones: zone_states.collect(),
        max_attempts: queue_limits(value, "tries"),
        quotas: queue_limits(value, "quota"),
    }
}

/// The values of one kind of limit in a change, by queue.
fn queue_limits(value: &Value, key: &str) -> BTreeMap<String, u32> {
    let queues = value["queues"].as_object().into_iter().flatten();
    queues
        .filter_map(|(name, queue)| {
            let limit = queue[key].as_u64()? as u32;
            Some((name.clone(), limit))
        })
        .collect()
}
