//! Assignment of leases to nodes: every zone that is configured or has workers or nodes gets a node that schedules for
//! it, and every queue with unfinished jobs gets an owner. Leases are spread over the nodes by their CPU share.

use super::Replica;
use crate::sans_io::{fnv1a, Now};
use crate::settings::SMALL_NODE_SHARE;
use crate::state::{queue_lease, zone_lease, Command};
use std::collections::{BTreeMap, BTreeSet};

/// The CPU share assumed for a node that has not reported its own, in thousandths of a core.
const DEFAULT_SHARE: u64 = 1000;
/// The share of a node co-located with a replica is divided by this, so that the loss of one machine is less likely to
/// affect both a replica and many leases.
const COLOCATED_DIVISOR: u64 = 4;
/// The scale of [`PlacementCost::weight`]: the weight of one lease on a node with a CPU share of one thousandth of a
/// core.
const LEASE_WEIGHT: u64 = 1_000_000;
/// Within a class of nodes, a lease moves only to a node whose weight is below 2/3 of the holder's.
const MOVE_WEIGHT_NUMERATOR: u64 = 2;
const MOVE_WEIGHT_DENOMINATOR: u64 = 3;
/// After a change of leader or of a lease holder, no lease is moved to a better holder for this many node timeouts.
const MOVE_COOLDOWN_NODE_TIMEOUTS: u64 = 2;

/// The cost of placing a lease on a node; the lowest cost is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementCost {
    /// 0 for a large node and 1 for a small node in the lease's zone; 2 and 3 for a large and a small node elsewhere.
    class: u32,
    /// The number of the node's leases relative to its CPU share.
    weight: u64,
    /// A hash of the node's name, the same on every replica; it decides between nodes of the same class and weight.
    tie_break: u64,
}

impl PlacementCost {
    /// Whether this cost is low enough, compared to `other`, to move a lease.
    fn is_much_less_than(&self, other: &Self) -> bool {
        let is_lighter =
            self.weight * MOVE_WEIGHT_DENOMINATOR < other.weight * MOVE_WEIGHT_NUMERATOR;
        self.class < other.class || (self.class == other.class && is_lighter)
    }
}

/// A lease that should have a holder.
struct WantedLease {
    name: String,
    /// The zone whose nodes are preferred as holders; `None` for the lease of a queue.
    zone: Option<String>,
}

/// The result of checking a lease: the change that it needs, if any.
enum Assessment {
    Keep,
    /// The lease has a live holder, but a much better one exists.
    Move(Command),
    /// The lease has no holder, or one that must be replaced.
    Assign {
        command: Command,
        had_holder: bool,
    },
}

/// The number of leases held by each node that may be assigned more.
type Loads = BTreeMap<String, usize>;

impl Replica {
    /// Assigns the next lease that needs a holder; if none does, moves one to a much better holder.
    pub(super) fn next_lease_command(&mut self, now: Now) -> Option<Command> {
        let loads = self.node_loads(now);
        if loads.is_empty() {
            return None;
        }
        let mut best_move = None;
        for wanted in self.wanted_leases() {
            match self.assess_lease(now, &wanted, &loads) {
                Assessment::Keep => {}
                Assessment::Move(command) => best_move = best_move.or(Some(command)),
                Assessment::Assign {
                    command,
                    had_holder,
                } => {
                    if had_holder {
                        self.leadership.last_lease_move_at = now.mono;
                    }
                    return Some(command);
                }
            }
        }
        let cooldown_ms = MOVE_COOLDOWN_NODE_TIMEOUTS * self.settings.bounds.node_timeout();
        let last_change = self
            .leadership
            .since
            .max(self.leadership.last_lease_move_at);
        let is_cooldown_over = now.mono > last_change + cooldown_ms;
        let command = best_move.filter(|_| is_cooldown_over)?;
        self.leadership.last_lease_move_at = now.mono;
        self.count("leases_moved", 1);
        Some(command)
    }

    /// Whether a node may be assigned leases: it is alive, is not leaving and has a full copy of the cluster state.
    fn may_hold_leases(&self, now: Now, node: &str) -> bool {
        let timeout = self.settings.bounds.queue_lease_timeout();
        let is_registered = self.state.nodes.get(node).is_some_and(|n| n.alive);
        is_registered
            && self.watch.watchers.get(node).is_some_and(|watcher| {
                !watcher.leaving
                    && !watcher.light
                    && now.mono.saturating_sub(watcher.last_heard_at) < timeout
            })
    }

    fn node_loads(&self, now: Now) -> Loads {
        let nodes = self.state.nodes.keys();
        let eligible = nodes.filter(|node| self.may_hold_leases(now, node));
        let mut loads: Loads = eligible.map(|node| (node.clone(), 0)).collect();
        for lease in self.state.leases.values() {
            if let Some(load) = loads.get_mut(&lease.holder) {
                *load += 1;
            }
        }
        loads
    }

    /// The zones that are configured or have workers or nodes, then the queues with unfinished jobs.
    fn wanted_leases(&self) -> Vec<WantedLease> {
        let state = &self.state;
        let mut zones: BTreeSet<&str> = state.config.zones.keys().map(String::as_str).collect();
        zones.extend(state.workers.values().map(|w| w.info.zone.as_str()));
        zones.extend(state.nodes.values().map(|n| n.zone.as_str()));
        let mut wanted = Vec::new();
        for zone in zones {
            wanted.push(WantedLease {
                name: zone_lease(zone),
                zone: Some(zone.into()),
            });
        }
        for (queue, stats) in &state.queues {
            if stats.unfinished > 0 {
                wanted.push(WantedLease {
                    name: queue_lease(queue),
                    zone: None,
                });
            }
        }
        wanted
    }

    fn assess_lease(&self, now: Now, wanted: &WantedLease, loads: &Loads) -> Assessment {
        let current = self.state.leases.get(&wanted.name);
        let holder = current.map_or("", |lease| lease.holder.as_str());
        let Some((best_cost, best)) = self.best_holder(wanted, holder, loads) else {
            return Assessment::Keep;
        };
        let grant_to = |node: String| Command::GrantLease {
            lease: wanted.name.clone(),
            holder: node,
            from_epoch: current.map_or(0, |lease| lease.epoch),
        };
        if !self.keeps_lease(now, wanted, holder) {
            let successor = self.named_successor(now, holder);
            return Assessment::Assign {
                command: grant_to(successor.unwrap_or(best)),
                had_holder: current.is_some(),
            };
        }
        let holder_cost = loads
            .get(holder)
            .map(|load| self.placement_cost(holder, wanted, *load));
        if holder_cost.is_some_and(|cost| best_cost.is_much_less_than(&cost)) {
            Assessment::Move(grant_to(best))
        } else {
            Assessment::Keep
        }
    }

    /// Whether a lease stays with its holder, which must be alive and not leaving. The owner of a queue is replaced
    /// after a shorter timeout than the holder of a zone: the owner's proposals are checked against the lease epoch
    /// when they are applied, while the holder of a zone issues orders to workers directly.
    fn keeps_lease(&self, now: Now, wanted: &WantedLease, holder: &str) -> bool {
        let is_alive = self.state.nodes.get(holder).is_some_and(|n| n.alive);
        let watcher = self.watch.watchers.get(holder);
        let is_leaving = watcher.is_some_and(|w| w.leaving);
        let last_heard_at = watcher.map_or(self.leadership.since, |w| w.last_heard_at);
        let is_queue = wanted.zone.is_none();
        let is_timed_out = last_heard_at + self.settings.bounds.queue_lease_timeout() < now.mono;
        is_alive && !is_leaving && !(is_queue && is_timed_out)
    }

    /// The lowest cost of placing the lease on any node, and that node.
    fn best_holder(
        &self,
        wanted: &WantedLease,
        holder: &str,
        loads: &Loads,
    ) -> Option<(PlacementCost, String)> {
        let costs = loads.iter().map(|(node, load)| {
            let load_with_lease = *load + usize::from(node != holder);
            let cost = self.placement_cost(node, wanted, load_with_lease);
            (cost, node.clone())
        });
        costs.min()
    }

    /// The successor named by a leaving holder, if that node may hold leases.
    fn named_successor(&self, now: Now, holder: &str) -> Option<String> {
        let watcher = self.watch.watchers.get(holder)?;
        let may_succeed = watcher.leaving && self.may_hold_leases(now, &watcher.successor);
        may_succeed.then(|| watcher.successor.clone())
    }

    fn placement_cost(&self, node: &str, wanted: &WantedLease, load: usize) -> PlacementCost {
        let is_in_zone = |zone: &String| {
            let registered = self.state.nodes.get(node);
            registered.is_some_and(|n| n.zone == *zone)
        };
        let is_other_zone = wanted.zone.as_ref().is_some_and(|zone| !is_in_zone(zone));
        let watcher = self.watch.watchers.get(node);
        let share = watcher.map_or(DEFAULT_SHARE, |w| u64::from(w.share.max(1)));
        let is_colocated = watcher.is_some_and(|w| w.colocated_with_replica);
        let usable_share = if is_colocated {
            share / COLOCATED_DIVISOR
        } else {
            share
        };
        PlacementCost {
            class: 2 * u32::from(is_other_zone) + u32::from(share < u64::from(SMALL_NODE_SHARE)),
            weight: (load as u64 * LEASE_WEIGHT) / usable_share.max(1),
            tie_break: fnv1a(node.as_bytes()),
        }
    }
}
