//! Times in which service was possible, derived from the process and link events of a history.

use super::interval::Interval;
use super::PromisedBounds;
use crate::history::{Event, History};
use std::collections::BTreeMap;

/// The majority of three replicas.
const MAJORITY: usize = 2;

/// Times in which service was possible: the replicas had a majority and nodes could reach them.
pub struct Conditions<'a> {
    /// Times without service that no promise covers, each extended by the bound on its recovery. Sorted.
    excused: Vec<Interval>,
    /// The times in which each node was up and connected to the replicas.
    nodes: BTreeMap<&'a str, Vec<Interval>>,
}

/// A downtime that has not ended yet.
#[derive(Clone, Copy)]
struct Downtime {
    from: u64,
    /// The bound on the recovery of service after it, in milliseconds.
    return_ms: u64,
}

impl<'a> Conditions<'a> {
    /// Derives the conditions from a history. After a loss of the majority, recovery is bounded by `recover_ms`; after
    /// a loss of all replicas, by `outage_ms`.
    pub fn new(history: &'a History, bounds: &PromisedBounds) -> Self {
        let mut conditions = Self {
            excused: Vec::new(),
            nodes: BTreeMap::new(),
        };
        let mut downtime: Option<Downtime> = None;
        let mut up_since: BTreeMap<&str, u64> = BTreeMap::new();
        for timed in &history.events {
            let Event::Availability { replicas, nodes } = &timed.event else {
                continue;
            };
            let now = timed.at_ms;
            let return_ms = if *replicas == 0 {
                bounds.outage_ms
            } else {
                bounds.recover_ms
            };
            if *replicas < MAJORITY || nodes.is_empty() {
                downtime = Some(Downtime {
                    from: downtime.map_or(now, |before| before.from),
                    return_ms: downtime.map_or(return_ms, |before| before.return_ms.max(return_ms)),
                });
            } else if let Some(ended) = downtime.take() {
                conditions.excuse(ended.from, now + ended.return_ms);
            }
            conditions.record_nodes(&mut up_since, nodes, now);
        }
        if let Some(lasting) = downtime {
            conditions.excuse(lasting.from, u64::MAX);
        }
        for (node, from) in up_since {
            conditions.record_up(node, from, u64::MAX);
        }
        conditions
    }

    /// Closes the up times of nodes that became unavailable and opens those of nodes that became available.
    fn record_nodes(
        &mut self,
        up_since: &mut BTreeMap<&'a str, u64>,
        nodes: &'a [String],
        now: u64,
    ) {
        up_since.retain(|node, from| {
            let is_still_up = nodes.iter().any(|up| up == node);
            if !is_still_up {
                self.record_up(node, *from, now);
            }
            is_still_up
        });
        for node in nodes {
            up_since.entry(node).or_insert(now);
        }
    }

    fn record_up(&mut self, node: &'a str, from: u64, to: u64) {
        let times = self.nodes.entry(node).or_default();
        times.push(Interval::new(from, to));
    }

    /// Excludes a time from what the promises cover.
    pub fn excuse(&mut self, from: u64, to: u64) {
        self.excused.push(Interval::new(from, to));
        self.excused.sort_unstable();
    }

    /// The length of a time without its excused parts, in milliseconds.
    pub fn unexcused_ms(&self, from: u64, to: u64) -> u64 {
        let mut accounted_to = from;
        let mut sum = 0;
        for excused in &self.excused {
            if excused.from < to && excused.to > from {
                sum += excused.from.saturating_sub(accounted_to);
                accounted_to = accounted_to.max(excused.to);
            }
        }
        sum + to.saturating_sub(accounted_to)
    }

    /// Whether a node was up and connected, and the replicas had a majority, throughout a time.
    pub fn node_could_work(&self, node: &str, from: u64, to: u64) -> bool {
        let whole = Interval::new(from, to);
        let up_times = self.nodes.get(node).into_iter().flatten();
        let mut up_times = up_times.filter(|up| up.contains(&whole));
        up_times.next().is_some() && self.unexcused_ms(from, to) == to - from
    }
}
