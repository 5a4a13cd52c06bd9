//! The leader's loops: each works out the difference between what is wanted and what is.

use super::{Peer, Replica};
use crate::kernel::fnv1a;
use crate::kernel::Now;
use crate::record::{cell_duty, queue_duty, Command};
use std::collections::{BTreeMap, BTreeSet};

/// Nodes with less than so many thousandths of a core get duties only where there is nobody else.
pub(super) const TINY: u64 = 100;

impl Replica {
    pub(super) fn lead_tick(&mut self, now: Now) {
        let span = self.settings.bounds.election();
        let quorum = self.quorum_at(now);
        if now.mono.saturating_sub(quorum.max(self.led_since)) > 2 * span {
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
        let beat_due = now.mono >= self.last_round + self.settings.bounds.heartbeat();
        if beat_due || std::mem::take(&mut self.wants_beat) {
            self.send_round(now, true);
        }
        self.watch_resilience(now);
        if self.voters().len() == 1 {
            self.advance(now);
            self.answer_reads(now);
        }
        // One loop's work at a time: the next is derived from what the last one made.
        let settled = self.commit >= self.opened && self.record.place >= self.duty_index;
        if settled && self.clock.set() && !self.gives_way(now) {
            if let Some(c) = self.next_duty(now) {
                self.duty_index = self.push(now, &c);
                self.wants_round = true;
            }
        }
    }

    fn next_duty(&mut self, now: Now) -> Option<Command> {
        self.membership_duty(now)
            .or_else(|| self.node_duty(now))
            .or_else(|| self.grant_duty(now))
            .or_else(|| self.sweep_duty(now))
    }

    fn node_duty(&mut self, now: Now) -> Option<Command> {
        let span = self.settings.bounds.node_lost();
        let fresh: Option<Command> = self
            .followers
            .iter()
            .filter(|(_, f)| now.mono.saturating_sub(f.heard) < span)
            .find(|(k, f)| {
                !f.leaving
                    && self
                        .record
                        .nodes
                        .get(*k)
                        .is_none_or(|n| !n.alive || n.zone != f.zone || n.http != f.http)
            })
            .map(|(k, f)| Command::Node {
                node: k.clone(),
                zone: f.zone.clone(),
                http: f.http.clone(),
            });
        let led_long = now.mono.saturating_sub(self.led_since) > span;
        fresh.or_else(|| {
            self.record
                .nodes
                .iter()
                .filter(|(_, n)| n.alive)
                .find(|(k, _)| {
                    self.followers.get(*k).map_or(led_long, |f| {
                        now.mono.saturating_sub(f.heard) > span
                            || (f.leaving && !self.record.leases.values().any(|g| g.holder == **k))
                    })
                })
                .map(|(k, _)| Command::NodeGone { node: k.clone() })
        })
    }

    /// Every zone with workers or nodes has its cell held, every queue its owner, spread evenly.
    fn grant_duty(&mut self, now: Now) -> Option<Command> {
        let (span, queue_lost) = (
            self.settings.bounds.node_lost(),
            self.settings.bounds.queue_lost(),
        );
        let staying = |n: &str| {
            self.record.nodes.get(n).is_some_and(|x| x.alive)
                && self.followers.get(n).is_some_and(|f| {
                    !f.leaving && !f.light && now.mono.saturating_sub(f.heard) < queue_lost
                })
        };
        let mut load: BTreeMap<&str, usize> = self
            .record
            .nodes
            .keys()
            .filter(|n| staying(n))
            .map(|n| (n.as_str(), 0))
            .collect();
        if load.is_empty() {
            return None;
        }
        self.record.leases.values().for_each(|g| {
            load.get_mut(g.holder.as_str())
                .into_iter()
                .for_each(|l| *l += 1)
        });
        let zones: BTreeSet<&str> = self
            .record
            .desired
            .zones
            .keys()
            .map(String::as_str)
            .chain(self.record.workers.values().map(|w| w.facts.zone.as_str()))
            .chain(self.record.nodes.values().map(|n| n.zone.as_str()))
            .collect();
        let queues: BTreeSet<&str> = self
            .record
            .queues
            .iter()
            .filter(|(_, t)| t.unfinished > 0)
            .map(|(q, _)| q.as_str())
            .collect();
        let duties = zones
            .iter()
            .map(|z| (cell_duty(z), Some(*z)))
            .chain(queues.iter().map(|q| (queue_duty(q), None)));
        let place = |n: &str, zone: Option<&str>, load: usize| self.place(n, zone, load);
        let mut better = None;
        for (duty, zone) in duties {
            let current = self.record.leases.get(&duty);
            let holder = current.map_or("", |g| g.holder.as_str());
            let alive = self.record.nodes.get(holder).is_some_and(|n| n.alive);
            let leaving = self.followers.get(holder).is_some_and(|f| f.leaving);
            let quiet = zone.is_none()
                && self
                    .followers
                    .get(holder)
                    .map_or(self.led_since, |f| f.heard)
                    + queue_lost
                    < now.mono;
            let best = load
                .iter()
                .map(|(n, l)| {
                    (
                        place(n, zone, *l + usize::from(*n != holder)),
                        n.to_string(),
                    )
                })
                .min();
            let from_epoch = current.map_or(0, |g| g.epoch);
            if alive && !leaving && !quiet {
                // A much better place is worth a move, one at a time.
                let held = load.get(holder).map(|l| place(holder, zone, *l));
                better = better.or(best
                    .zip(held)
                    .filter(|((b, _), h)| b.0 < h.0 || (b.0 == h.0 && b.1 * 3 < h.1 * 2))
                    .map(|((_, to), _)| Command::Lease {
                        duty,
                        holder: to,
                        from_epoch,
                    }));
                continue;
            }
            let named = self
                .followers
                .get(holder)
                .filter(|f| f.leaving)
                .map(|f| f.successor.as_str())
                .filter(|s| staying(s));
            let to = named.map(str::to_string).or(best.map(|(_, n)| n))?;
            if current.is_some() {
                self.moved = now.mono;
            }
            return Some(Command::Lease {
                duty,
                holder: to,
                from_epoch,
            });
        }
        let calm = now.mono > self.led_since.max(self.moved) + 2 * span;
        let move_ = better.filter(|_| calm);
        if move_.is_some() {
            self.moved = now.mono;
            self.count("duties_moved", 1);
        }
        move_
    }

    /// How good a place a node is for a duty, the smaller the better: in the zone, able to carry it, and with the least
    /// load for its share. A core beside it counts as most of the share: one loss should not hit both.
    fn place(&self, node: &str, zone: Option<&str>, load: usize) -> (u32, u64, u64) {
        let away = zone.is_some_and(|z| self.record.nodes.get(node).is_none_or(|x| x.zone != z));
        let (share, core) = self.followers.get(node).map_or((1000, false), |f| {
            (u64::from(f.share.max(1)), f.beside_core)
        });
        let class = 2 * u32::from(away) + u32::from(share < TINY);
        let left = if core { share / 4 } else { share };
        let weight = (load as u64 * 1000 * 1000) / left.max(1);
        (class, weight, fnv1a(node.as_bytes()))
    }

    fn sweep_duty(&mut self, now: Now) -> Option<Command> {
        let (retain_ms, identity_ms) = (
            self.settings.limits.retain_ms,
            self.settings.limits.identity_ms,
        );
        let at = self.clock.read(now);
        self.record
            .sweep_due(retain_ms, identity_ms)
            .filter(|due| *due <= at)
            .map(|_| Command::Sweep {
                retain_ms,
                identity_ms,
            })
    }
}
