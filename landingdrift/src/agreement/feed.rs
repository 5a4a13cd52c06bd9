//! The numbered feed: nodes follow the record from a place on, and start from a capture.

use super::clock::Told;
use super::{Core, Follower, Role};
use crate::kernel::Now;
use crate::wire::{Body, FeedBatch, FeedPull, NodePlace, Proposed, ReadPlace};
use std::collections::BTreeSet;

/// So many entries are taken in by a capture rather than one by one.
const FAR: u64 = 1024;

pub(crate) struct Read {
    to: String,
    token: u64,
    asked: u64,
    place: u64,
}

impl Core {
    /// Until when this leader surely led: a majority answered a round sent then.
    pub(super) fn quorum_at(&mut self, now: Now) -> u64 {
        let me = self.name.clone();
        let mut at: Vec<u64> = self
            .voters()
            .iter()
            .map(|v| {
                if *v == me {
                    now.mono
                } else {
                    self.peers.get(v).map_or(0, |p| p.round_sent)
                }
            })
            .collect();
        at.sort_unstable();
        at.get((at.len().saturating_sub(1)) / 2)
            .copied()
            .unwrap_or(0)
    }

    fn settled(&self) -> bool {
        self.role == Role::Leader
            && self.opened > 0
            && self.commit >= self.opened
            && self.record.place >= self.opened
    }

    pub(super) fn on_pull(&mut self, now: Now, from: &str, m: FeedPull) {
        if !self.settled() {
            self.send_batch(now, from, m.sent, false, None);
            return;
        }
        let told = Told {
            at: m.clock,
            carried: m.carried,
        };
        self.clock.sample(now, &m.node, told);
        let f = self.followers.entry(m.node.clone()).or_default();
        *f = Follower {
            place: m.place,
            sent: m.place,
            heard: now.mono,
            echo: m.sent,
            zone: m.zone,
            http: m.http,
            leaving: m.leaving,
            successor: m.successor,
            share: m.share,
            beside_core: m.beside_core,
        };
        let reached = self.send_batch(now, from, m.sent, true, Some(m.place));
        self.followers
            .get_mut(&m.node)
            .iter_mut()
            .for_each(|f| f.sent = reached.max(f.sent));
    }

    /// New entries go out as soon as they are committed to those who hold duties; the others hear them when they pull.
    pub(super) fn push_feed(&mut self, now: Now) {
        let holders: BTreeSet<String> = self
            .record
            .grants
            .values()
            .map(|g| g.holder.clone())
            .collect();
        let commit = self.commit;
        let span = self.cfg.bounds.fresh();
        let due: Vec<(String, u64, u64)> = self
            .followers
            .iter()
            .filter(|(k, f)| {
                holders.contains(*k)
                    && f.sent < commit
                    && now.mono.saturating_sub(f.heard) < span
                    && f.sent >= self.base.0
            })
            .map(|(k, f)| (k.clone(), f.echo, f.sent))
            .collect();
        for (to, echo, place) in due {
            let reached = self.send_batch(now, &to, echo, true, Some(place));
            self.followers
                .get_mut(&to)
                .iter_mut()
                .for_each(|f| f.sent = reached.max(f.sent));
        }
    }

    /// Sends what follows a place; says how far that reaches.
    fn send_batch(&mut self, now: Now, to: &str, sent: u64, ok: bool, place: Option<u64>) -> u64 {
        let age = if ok {
            now.mono.saturating_sub(self.quorum_at(now))
        } else {
            0
        };
        let (mut capture, mut capture_index, mut entries) = (Vec::new(), 0, Vec::new());
        if let Some(p) = place {
            // A place behind the log, or ahead of it (of a cluster that was), starts over from a capture; so does one far
            // behind, since the record is smaller than all that made it.
            let far = self.commit.saturating_sub(p) > FAR;
            if p < self.base.0 || p > self.commit || far {
                capture = self.record.pack();
                capture_index = self.record.place;
                self.count("feed_captures", 1);
            } else {
                let most = (self.commit - p).min(512) as usize;
                entries = self.entries(p + 1, most);
            }
        }
        self.count("feed_entries", entries.len() as u64);
        let last = entries.last().map(|e| e.index);
        let reached = last.or(place).unwrap_or(0).max(capture_index);
        let cores = self.members().into_keys().collect();
        let clock = self.clock.read(now);
        let batch = FeedBatch {
            core: self.name.clone(),
            leader: self.leader.clone(),
            ok,
            sent,
            quorum_age: age,
            clock,
            commit: self.commit,
            capture,
            capture_index,
            entries,
            cores,
        };
        self.send(to, Body::FeedBatch(Box::new(batch)));
        reached
    }

    pub(super) fn on_propose(&mut self, now: Now, from: &str, token: u64, command: Vec<u8>) {
        if !self.settled() || self.stopping.is_some() {
            let leader = if self.role == Role::Leader {
                String::new()
            } else {
                self.leader.clone()
            };
            self.send(
                from,
                Body::Proposed(Box::new(Proposed {
                    token,
                    outcome: 1,
                    place: 0,
                    leader,
                    verdict: Vec::new(),
                })),
            );
            return;
        }
        self.count("proposals", 1);
        let index = self.push_bytes(now, command);
        self.asked.insert(index, (from.into(), token));
        self.wants_round = true;
    }

    pub(super) fn on_read(&mut self, now: Now, from: &str, token: u64) {
        if !self.settled() {
            let leader = if self.role == Role::Leader {
                String::new()
            } else {
                self.leader.clone()
            };
            self.send(
                from,
                Body::ReadPlace(Box::new(ReadPlace {
                    token,
                    ok: false,
                    place: 0,
                    leader,
                    nodes: Vec::new(),
                })),
            );
            return;
        }
        let place = self.commit;
        self.reads.push(Read {
            to: from.into(),
            token,
            asked: now.mono,
            place,
        });
        self.wants_round = true;
    }

    /// Reads are answered once a majority has confirmed, after they were asked, that this core still leads.
    pub(super) fn answer_reads(&mut self, now: Now) {
        if self.reads.is_empty() {
            return;
        }
        let quorum = self.quorum_at(now);
        let (ready, rest): (Vec<Read>, Vec<Read>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|r| r.asked <= quorum);
        self.reads = rest;
        let nodes: Vec<NodePlace> = self
            .followers
            .iter()
            // Those that are gone hold no change up.
            .filter(|(k, _)| self.record.nodes.get(*k).is_some_and(|n| n.alive))
            .map(|(k, f)| NodePlace {
                node: k.clone(),
                place: f.place,
                version: self
                    .record
                    .changes
                    .iter()
                    .rev()
                    .find(|c| c.place <= f.place)
                    .map_or(0, |c| c.version),
                age: now.mono.saturating_sub(f.heard),
            })
            .collect();
        for r in ready {
            let leader = self.name.clone();
            self.send(
                &r.to,
                Body::ReadPlace(Box::new(ReadPlace {
                    token: r.token,
                    ok: true,
                    place: r.place,
                    leader,
                    nodes: nodes.clone(),
                })),
            );
        }
    }
}
