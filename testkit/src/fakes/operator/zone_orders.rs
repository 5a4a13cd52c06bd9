//! Orders of a fake operator on zones: to evacuate one, and to return it to service.

use super::{request, Operation, Operator};
use crate::history::Event;
use crate::scenario::Fault;
use landingdrift::sans_io::Request;

/// The timeout of an order, after which it is sent to another node, in milliseconds.
pub(super) const TIMEOUT_MS: u64 = 1000;
/// The time for which an order is sent again, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// How often a fault of zone orders returns the zone to service and evacuates it again, unless it gives an amount.
const DEFAULT_ROUNDS: u64 = 4;

/// An order to evacuate a zone or to return it to service, which is sent to one node after another until one acknowledges
/// it or [`DEADLINE_MS`] has passed.
#[derive(Clone, Debug)]
pub(super) struct ZoneOrder {
    zone: String,
    evacuate: bool,
    /// When the first node is called, in milliseconds.
    due_ms: u64,
    /// The node that was called last; empty if none was.
    pub called: String,
}

impl ZoneOrder {
    /// Whether the order may be sent.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.due_ms
    }

    /// Whether the order has been sent for long enough.
    pub fn is_over(&self, now: u64) -> bool {
        !self.called.is_empty() && now >= self.due_ms + DEADLINE_MS
    }

    /// The request to send.
    pub fn request(&self) -> Request {
        let method = if self.evacuate { "PUT" } else { "DELETE" };
        let path = format!("/v1/zones/{}/empty", self.zone);
        request(method, &path, "", None)
    }

    /// The event that the order is sent.
    pub fn requested_event(&self) -> Event {
        Event::ZoneOrderRequested {
            zone: self.zone.clone(),
            evacuate: self.evacuate,
        }
    }

    /// The event that the order was acknowledged.
    pub fn acknowledged_event(&self) -> Event {
        Event::ZoneOrderAcknowledged {
            zone: self.zone.clone(),
            evacuate: self.evacuate,
        }
    }
}

impl Operator {
    /// Queues the orders of a [`FaultKind::ZoneOrders`](crate::scenario::FaultKind::ZoneOrders) that begins now.
    pub fn order_zone_by_turns(&mut self, now: u64, zone: &str, fault: &Fault) {
        let rounds = if fault.amount > 0 {
            fault.amount
        } else {
            DEFAULT_ROUNDS
        };
        let interval_ms = fault.duration_ms / (rounds + 1);
        self.order_zone(now, zone, true);
        for round in 1..=rounds {
            let due_ms = now + round * interval_ms;
            self.order_zone(due_ms, zone, false);
            self.order_zone(due_ms, zone, true);
        }
        self.order_zone(now + fault.duration_ms, zone, false);
    }

    /// Queues an order that is first sent at `due_ms`.
    fn order_zone(&mut self, due_ms: u64, zone: &str, evacuate: bool) {
        self.operations.push_back(Operation::OrderZone(ZoneOrder {
            zone: zone.into(),
            evacuate,
            due_ms,
            called: String::new(),
        }));
    }

    /// The order, for a random node other than the one called last.
    pub(super) fn order_to_another_node(&mut self, order: ZoneOrder) -> ZoneOrder {
        let others = self.nodes.iter().filter(|node| **node != order.called);
        let others: Vec<&String> = others.collect();
        let called = self.rng.pick(&others).map(|node| node.to_string());
        ZoneOrder {
            called: called.unwrap_or_else(|| order.called.clone()),
            ..order
        }
    }
}
