//! The intervals in which service can be expected, derived from the availability events of a history.

use super::interval::Interval;
use super::PromisedBounds;
use crate::history::{Event, History};
use std::collections::BTreeMap;

/// The majority of three replicas.
const MAJORITY: usize = 2;

/// The intervals in which service can't be expected and the promises don't apply, such as those without a connected
/// majority of replicas or without a node that reaches it; and the intervals in which each node was up and connected.
pub struct Conditions<'a> {
    /// Sorted intervals that the promises exclude: those without a majority or a connected node, each extended by the
    /// bound on the recovery after it, and those passed to [`Self::excuse`].
    excused: Vec<Interval>,
    /// The intervals in which each node was up and connected to the replicas.
    node_intervals: BTreeMap<&'a str, Vec<Interval>>,
}

/// An interval without service that has not ended yet.
#[derive(Clone, Copy)]
struct Downtime {
    from: u64,
    /// The bound on the recovery of service after the downtime, in milliseconds.
    recovery_bound_ms: u64,
}

impl<'a> Conditions<'a> {
    /// Derives the conditions from a history. After a time without a majority or without any connected node, recovery
    /// is bounded by `recover_ms`; after a time without any replica, by `outage_ms`.
    pub fn new(history: &'a History, bounds: &PromisedBounds) -> Self {
        let mut conditions = Self {
            excused: Vec::new(),
            node_intervals: BTreeMap::new(),
        };
        let mut downtime: Option<Downtime> = None;
        let mut up_since: BTreeMap<&str, u64> = BTreeMap::new();
        for timed in &history.events {
            let Event::Availability { replicas, nodes } = &timed.event else {
                continue;
            };
            let now = timed.at_ms;
            let recovery_bound_ms = if *replicas == 0 {
                bounds.outage_ms
            } else {
                bounds.recover_ms
            };
            if *replicas < MAJORITY || nodes.is_empty() {
                downtime = Some(Downtime {
                    from: downtime.map_or(now, |before| before.from),
                    recovery_bound_ms: downtime.map_or(recovery_bound_ms, |before| {
                        before.recovery_bound_ms.max(recovery_bound_ms)
                    }),
                });
            } else if let Some(ended) = downtime.take() {
                conditions.excuse(ended.from, now + ended.recovery_bound_ms);
            }
            conditions.update_up_nodes(&mut up_since, nodes, now);
        }
        if let Some(ongoing_downtime) = downtime {
            conditions.excuse(ongoing_downtime.from, u64::MAX);
        }
        for (node, from) in up_since {
            conditions.add_up_interval(node, from, u64::MAX);
        }
        conditions
    }

    /// Ends the intervals of nodes that became unavailable, and begins intervals for those that became available.
    fn update_up_nodes(
        &mut self,
        up_since: &mut BTreeMap<&'a str, u64>,
        nodes: &'a [String],
        now: u64,
    ) {
        up_since.retain(|node, from| {
            let is_still_up = nodes.iter().any(|up| up == node);
            if !is_still_up {
                self.add_up_interval(node, *from, now);
            }
            is_still_up
        });
        for node in nodes {
            up_since.entry(node).or_insert(now);
        }
    }

    fn add_up_interval(&mut self, node: &'a str, from: u64, to: u64) {
        let intervals = self.node_intervals.entry(node).or_default();
        intervals.push(Interval::new(from, to));
    }

    /// Excludes an interval from the promises.
    pub fn excuse(&mut self, from: u64, to: u64) {
        self.excused.push(Interval::new(from, to));
        self.excused.sort_unstable();
    }

    /// The length of an interval without its excused parts, in milliseconds.
    pub fn unexcused_ms(&self, from: u64, to: u64) -> u64 {
        let mut covered_until = from;
        let mut sum = 0;
        for excused in &self.excused {
            if excused.from < to && excused.to > from {
                sum += excused.from.saturating_sub(covered_until);
                covered_until = covered_until.max(excused.to);
            }
        }
        sum + to.saturating_sub(covered_until)
    }

    /// Whether a node was up and connected throughout an interval, and no part of it is excused.
    pub fn node_could_work(&self, node: &str, from: u64, to: u64) -> bool {
        let interval = Interval::new(from, to);
        let up_intervals = self.node_intervals.get(node).into_iter().flatten();
        let mut up_intervals = up_intervals.filter(|up| up.contains(&interval));
        up_intervals.next().is_some() && self.unexcused_ms(from, to) == to - from
    }
}
