//! The numbered watch: nodes follow the cluster state from a place on, and start from a snapshot.

use super::clock::ClockReading;
use super::{Replica, Role, Watcher};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{
    Body, NodeProgress, ProposeResponse, ReadIndexResponse, RequestToken, WatchBatch, WatchRequest,
};
use std::collections::BTreeSet;

/// So many entries are taken in by a snapshot rather than one by one.
const FAR: u64 = 1024;
/// Entries in one batch to a node.
const WATCH_ENTRIES: u64 = 512;

#[derive(Clone)]
pub(crate) struct Read {
    to: String,
    token: RequestToken,
    asked: u64,
    log_index: u64,
}

impl Replica {
    /// Until when this leader surely led: a majority answered a round sent then.
    pub(super) fn quorum_at(&mut self, now: Now) -> u64 {
        let sent = self.by_voter(now.mono, |p| p.round_sent);
        Self::reached_by_majority(sent)
    }

    fn settled(&self) -> bool {
        self.role == Role::Leader
            && self.term_start_index > 0
            && self.commit >= self.term_start_index
            && self.state.applied_index >= self.term_start_index
    }

    pub(super) fn on_watch_request(&mut self, now: Now, from: &str, m: WatchRequest) {
        if !self.settled() {
            self.watch_snapshots.clear();
            self.send_batch(now, from, m.sent, false, None);
            return;
        }
        let unused = 2 * self.settings.bounds.node_lost();
        self.watch_snapshots.expire(now, unused);
        let reading = ClockReading {
            at: m.clock,
            carried: m.carried,
        };
        self.clock.sample(now, &m.node, reading);
        let light = self.wants_light(now, &m);
        let (chunk, fetched) = self
            .watchers
            .get(&m.node)
            .map_or_else(Default::default, |f| (f.chunk, f.fetched));
        // Another kind of copy than it has starts over.
        let log_index = if light == m.light {
            m.log_index
        } else {
            u64::MAX
        };
        let f = Watcher {
            log_index: m.log_index,
            sent: m.log_index,
            heard: now.mono,
            echo: m.sent,
            zone: m.zone.clone(),
            http: m.http.clone(),
            leaving: m.leaving,
            successor: m.successor.clone(),
            share: m.share,
            beside_core: m.beside_core,
            light,
            chunk,
            fetched,
        };
        self.watchers.insert(m.node.clone(), f);
        if self.needs_snapshot(&m.node, log_index) {
            self.send_watch_chunk(now, from, &m);
        }
        let reached = self.send_batch(now, from, m.sent, true, Some(log_index));
        self.watchers
            .get_mut(&m.node)
            .iter_mut()
            .for_each(|f| f.sent = reached.max(f.sent));
    }

    /// Whether a node is to follow a light copy: it has too little of a processor for leases, and others have enough.
    fn wants_light(&self, now: Now, m: &WatchRequest) -> bool {
        let able = |f: &Watcher| u64::from(f.share) >= super::leases::TINY;
        u64::from(m.share) < super::leases::TINY
            && (now.mono < self.leader_since + 2 * self.settings.bounds.node_lost()
                || self.watchers.values().any(able))
    }

    /// New entries go out as soon as they are committed to those who hold leases; the others hear them when they pull.
    pub(super) fn push_to_watchers(&mut self, now: Now) {
        let holders: BTreeSet<String> = self
            .state
            .leases
            .values()
            .map(|g| g.holder.clone())
            .collect();
        let commit = self.commit;
        let span = self.settings.bounds.fresh();
        let due: Vec<(String, u64, u64)> = self
            .watchers
            .iter()
            .filter(|(k, f)| {
                holders.contains(*k)
                    && f.sent < commit
                    && now.mono.saturating_sub(f.heard) < span
                    && !self.needs_snapshot(k, f.sent)
            })
            .map(|(k, f)| (k.clone(), f.echo, f.sent))
            .collect();
        for (to, echo, log_index) in due {
            let reached = self.send_batch(now, &to, echo, true, Some(log_index));
            self.watchers
                .get_mut(&to)
                .iter_mut()
                .for_each(|f| f.sent = reached.max(f.sent));
        }
    }

    /// Whether a node at a place is to start over from a snapshot: a place behind the log, or ahead of it (of a cluster
    /// that was), or one far behind, since the cluster state is smaller than all that made it. One that has just fetched a
    /// snapshot goes on with the log, however much was added meanwhile.
    fn needs_snapshot(&self, node: &str, log_index: u64) -> bool {
        let (light, fetched) = self
            .watchers
            .get(node)
            .map_or((false, 0), |f| (f.light, f.fetched));
        let goes_on = fetched > 0 && log_index >= fetched;
        let far = self.commit.saturating_sub(log_index) > FAR && !light && !goes_on;
        log_index < self.base.0 || log_index > self.commit || far
    }

    /// Sends what follows a place; says how far that reaches.
    fn send_batch(
        &mut self,
        now: Now,
        to: &str,
        sent: u64,
        ok: bool,
        log_index: Option<u64>,
    ) -> u64 {
        let age = if ok {
            now.mono.saturating_sub(self.quorum_at(now))
        } else {
            0
        };
        let light = self.watchers.get(to).is_some_and(|f| f.light);
        let from = log_index.filter(|p| !self.needs_snapshot(to, *p));
        let mut entries = from.map_or_else(Vec::new, |p| {
            let most = (self.commit - p).min(WATCH_ENTRIES) as usize;
            self.entries(p + 1, most)
        });
        let reached = entries.last().map_or(from.unwrap_or(0), |e| e.index);
        if light {
            entries.retain(|e| Command::concerns_all(&e.command));
        }
        self.count("watch_entries", entries.len() as u64);
        let replicas = self.members().into_keys().collect();
        let clock = self.clock.read(now);
        let batch = WatchBatch {
            replica: self.name.clone(),
            leader: self.leader.clone(),
            ok,
            sent,
            quorum_age: age,
            clock,
            commit: self.commit,
            // An older build's way: snapshots go in chunks.
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries,
            replicas,
            light,
            reached,
        };
        self.send(to, Body::WatchBatch(Box::new(batch)));
        reached
    }

    pub(super) fn on_propose(
        &mut self,
        now: Now,
        from: &str,
        token: RequestToken,
        command: Vec<u8>,
    ) {
        if !Command::may_be_proposed(&command) {
            self.count("proposals_unexpected", 1);
            return;
        }
        if !self.settled() || self.is_transferring_leadership(now) || !self.accepts_orders(now) {
            let leader = if self.role == Role::Leader {
                String::new()
            } else {
                self.leader.clone()
            };
            self.send(
                from,
                Body::ProposeResponse(Box::new(ProposeResponse {
                    token,
                    outcome: 1,
                    log_index: 0,
                    leader,
                    response: Vec::new(),
                })),
            );
            return;
        }
        self.count("proposals", 1);
        let index = self.push_bytes(now, command);
        self.asked.insert(index, (from.into(), token));
        self.needs_round = true;
    }

    pub(super) fn on_read(&mut self, now: Now, from: &str, token: RequestToken) {
        if !self.settled() {
            let leader = if self.role == Role::Leader {
                String::new()
            } else {
                self.leader.clone()
            };
            self.send(
                from,
                Body::ReadIndexResponse(Box::new(ReadIndexResponse {
                    token,
                    ok: false,
                    log_index: 0,
                    leader,
                    nodes: Vec::new(),
                })),
            );
            return;
        }
        let log_index = self.commit;
        self.reads.push(Read {
            to: from.into(),
            token,
            asked: now.mono,
            log_index,
        });
        self.needs_round = true;
    }

    /// Reads are answered once a majority has confirmed, after they were asked, that this replica still leads.
    pub(super) fn answer_reads(&mut self, now: Now) {
        if self.reads.is_empty() {
            return;
        }
        let quorum = self.quorum_at(now);
        let (ready, rest): (Vec<Read>, Vec<Read>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|r| r.asked <= quorum);
        self.reads = rest;
        let nodes: Vec<NodeProgress> = self
            .watchers
            .iter()
            // Those that are gone hold no change up.
            .filter(|(k, _)| self.state.nodes.get(*k).is_some_and(|n| n.alive))
            .map(|(k, f)| NodeProgress {
                node: k.clone(),
                log_index: f.log_index,
                version: self
                    .state
                    .changes
                    .iter()
                    .rev()
                    .find(|c| c.log_index <= f.log_index)
                    .map_or(0, |c| c.version),
                age: now.mono.saturating_sub(f.heard),
            })
            .collect();
        for r in ready {
            let leader = self.name.clone();
            self.send(
                &r.to,
                Body::ReadIndexResponse(Box::new(ReadIndexResponse {
                    token: r.token,
                    ok: true,
                    log_index: r.log_index,
                    leader,
                    nodes: nodes.clone(),
                })),
            );
        }
    }
}
