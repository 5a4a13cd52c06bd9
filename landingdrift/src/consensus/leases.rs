//! The leader's loops: each works out the difference between what is wanted and what is.

use super::{Peer, Replica};
use crate::sans_io::fnv1a;
use crate::sans_io::Now;
use crate::state::{queue_lease, zone_lease, Command};
use std::collections::{BTreeMap, BTreeSet};

/// Nodes with less than so many thousandths of a core get leases only where there is nobody else.
pub(super) const TINY: u64 = 100;

impl Replica {
    pub(super) fn lead_tick(&mut self, now: Now) {
        let span = self.settings.bounds.election();
        let quorum = self.quorum_at(now);
        if now.mono.saturating_sub(quorum.max(self.leader_since)) > 2 * span {
            self.line("no majority answers: steps down".into());
            let term = self.hard_state.term;
            self.follow(now, term, "");
            return;
        }
        let me = self.name.clone();
        let members = self.members();
        let next = self.last().0 + 1;
        self.peers.retain(|k, _| members.contains_key(k));
        members.keys().filter(|m| **m != me).for_each(|m| {
            self.peers.entry(m.clone()).or_insert_with(|| Peer {
                next,
                heard: now.mono,
                ..Peer::default()
            });
        });
        self.clock.steer(now, 2 * span);
        let heartbeat_due = now.mono >= self.last_round + self.settings.bounds.heartbeat();
        if heartbeat_due || std::mem::take(&mut self.needs_heartbeat) {
            self.send_round(now, true);
        }
        self.watch_resilience(now);
        if self.voters().len() == 1 {
            self.advance(now);
            self.answer_reads(now);
        }
        // One loop's work at a time: the next is derived from what the last one made.
        let settled =
            self.commit >= self.term_start_index && self.state.applied_index >= self.command_index;
        if settled && self.clock.set() && !self.is_transferring_leadership(now) {
            if let Some(c) = self.next_command(now) {
                self.command_index = self.push(now, &c);
                self.needs_round = true;
            }
        }
    }

    fn next_command(&mut self, now: Now) -> Option<Command> {
        self.membership_command(now)
            .or_else(|| self.node_command(now))
            .or_else(|| self.lease_command(now))
            .or_else(|| self.sweep_command(now))
    }

    fn node_command(&mut self, now: Now) -> Option<Command> {
        let span = self.settings.bounds.node_lost();
        let fresh: Option<Command> = self
            .watchers
            .iter()
            .filter(|(_, f)| now.mono.saturating_sub(f.heard) < span)
            .find(|(k, f)| {
                !f.leaving
                    && self
                        .state
                        .nodes
                        .get(*k)
                        .is_none_or(|n| !n.alive || n.zone != f.zone || n.http != f.http)
            })
            .map(|(k, f)| Command::RegisterNode {
                node: k.clone(),
                zone: f.zone.clone(),
                http: f.http.clone(),
            });
        let led_long = now.mono.saturating_sub(self.leader_since) > span;
        fresh.or_else(|| {
            self.state
                .nodes
                .iter()
                .filter(|(_, n)| n.alive)
                .find(|(k, _)| {
                    self.watchers.get(*k).map_or(led_long, |f| {
                        now.mono.saturating_sub(f.heard) > span
                            || (f.leaving && !self.state.leases.values().any(|g| g.holder == **k))
                    })
                })
                .map(|(k, _)| Command::RemoveNode { node: k.clone() })
        })
    }

    /// Every zone with workers or nodes has its zone scheduler held, every queue its owner, spread evenly.
    fn lease_command(&mut self, now: Now) -> Option<Command> {
        let (span, queue_lost) = (
            self.settings.bounds.node_lost(),
            self.settings.bounds.queue_lost(),
        );
        let staying = |n: &str| {
            self.state.nodes.get(n).is_some_and(|x| x.alive)
                && self.watchers.get(n).is_some_and(|f| {
                    !f.leaving && !f.light && now.mono.saturating_sub(f.heard) < queue_lost
                })
        };
        let mut load: BTreeMap<&str, usize> = self
            .state
            .nodes
            .keys()
            .filter(|n| staying(n))
            .map(|n| (n.as_str(), 0))
            .collect();
        if load.is_empty() {
            return None;
        }
        self.state.leases.values().for_each(|g| {
            load.get_mut(g.holder.as_str())
                .into_iter()
                .for_each(|l| *l += 1)
        });
        let zones: BTreeSet<&str> = self
            .state
            .config
            .zones
            .keys()
            .map(String::as_str)
            .chain(self.state.workers.values().map(|w| w.info.zone.as_str()))
            .chain(self.state.nodes.values().map(|n| n.zone.as_str()))
            .collect();
        let queues: BTreeSet<&str> = self
            .state
            .queues
            .iter()
            .filter(|(_, t)| t.unfinished > 0)
            .map(|(q, _)| q.as_str())
            .collect();
        let leases = zones
            .iter()
            .map(|z| (zone_lease(z), Some(*z)))
            .chain(queues.iter().map(|q| (queue_lease(q), None)));
        let placement_cost =
            |n: &str, zone: Option<&str>, load: usize| self.placement_cost(n, zone, load);
        let mut better = None;
        for (lease, zone) in leases {
            let current = self.state.leases.get(&lease);
            let holder = current.map_or("", |g| g.holder.as_str());
            let alive = self.state.nodes.get(holder).is_some_and(|n| n.alive);
            let leaving = self.watchers.get(holder).is_some_and(|f| f.leaving);
            let quiet = zone.is_none()
                && self
                    .watchers
                    .get(holder)
                    .map_or(self.leader_since, |f| f.heard)
                    + queue_lost
                    < now.mono;
            let best = load
                .iter()
                .map(|(n, l)| {
                    (
                        placement_cost(n, zone, *l + usize::from(*n != holder)),
                        n.to_string(),
                    )
                })
                .min();
            let from_epoch = current.map_or(0, |g| g.epoch);
            if alive && !leaving && !quiet {
                // A much better placement_cost is worth a move, one at a time.
                let held = load.get(holder).map(|l| placement_cost(holder, zone, *l));
                better = better.or(best
                    .zip(held)
                    .filter(|((b, _), h)| b.0 < h.0 || (b.0 == h.0 && b.1 * 3 < h.1 * 2))
                    .map(|((_, to), _)| Command::GrantLease {
                        lease,
                        holder: to,
                        from_epoch,
                    }));
                continue;
            }
            let named = self
                .watchers
                .get(holder)
                .filter(|f| f.leaving)
                .map(|f| f.successor.as_str())
                .filter(|s| staying(s));
            let to = named.map(str::to_string).or(best.map(|(_, n)| n))?;
            if current.is_some() {
                self.moved = now.mono;
            }
            return Some(Command::GrantLease {
                lease,
                holder: to,
                from_epoch,
            });
        }
        let calm = now.mono > self.leader_since.max(self.moved) + 2 * span;
        let move_ = better.filter(|_| calm);
        if move_.is_some() {
            self.moved = now.mono;
            self.count("leases_moved", 1);
        }
        move_
    }

    /// How good a placement_cost a node is for a lease, the smaller the better: in the zone, able to carry it, and with the least
    /// load for its share. A replica beside it counts as most of the share: one loss should not hit both.
    fn placement_cost(&self, node: &str, zone: Option<&str>, load: usize) -> (u32, u64, u64) {
        let away = zone.is_some_and(|z| self.state.nodes.get(node).is_none_or(|x| x.zone != z));
        let (share, replica) = self.watchers.get(node).map_or((1000, false), |f| {
            (u64::from(f.share.max(1)), f.beside_core)
        });
        let class = 2 * u32::from(away) + u32::from(share < TINY);
        let left = if replica { share / 4 } else { share };
        let weight = (load as u64 * 1000 * 1000) / left.max(1);
        (class, weight, fnv1a(node.as_bytes()))
    }

    fn sweep_command(&mut self, now: Now) -> Option<Command> {
        let (retain_ms, identity_ms) = (
            self.settings.limits.retain_ms,
            self.settings.limits.identity_ms,
        );
        let at = self.clock.read(now);
        self.state
            .sweep_due(retain_ms, identity_ms)
            .filter(|due| *due <= at)
            .map(|_| Command::CollectGarbage {
                retain_ms,
                identity_ms,
            })
    }
}
