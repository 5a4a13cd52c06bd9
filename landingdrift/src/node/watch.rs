//! How a node follows the cluster state.

use super::Node;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkOutcome, SnapshotAssembly, SnapshotId};
use crate::state::{ClusterState, Command};
use crate::wire::{Body, WatchBatch, WatchRequest, WatchSnapshotChunk};

/// Where a node stands in the watch.
pub struct Watch {
    /// A snapshot was read, or the watch followed from its beginning.
    pub has_snapshot: bool,
    /// The watch told all that was committed at this moment, by this node's clock.
    pub fresh_at: u64,
    pub replica: String,
    pub leader: String,
    pub next_watch_request: u64,
    pub answered: u64,
    /// The agreed clock, and when it was read.
    clock: (u64, u64),
    /// The snapshot that is being fetched.
    incoming: SnapshotAssembly,
}

impl Watch {
    pub fn new(now: Now) -> Self {
        Self {
            has_snapshot: false,
            fresh_at: 0,
            replica: String::new(),
            leader: String::new(),
            next_watch_request: 0,
            answered: now.mono,
            clock: (0, 0),
            incoming: SnapshotAssembly::default(),
        }
    }
}

impl Watch {
    /// Whether a replica has told the agreed time.
    pub fn clock_known(&self) -> bool {
        self.clock.0 > 0
    }
}

impl Node {
    /// The agreed time, as well as a node can know it; never ahead of what a replica said.
    pub(crate) fn agreed(&self, now: Now) -> u64 {
        let (clock, at) = self.watch.clock;
        self.state.at.max(clock + now.mono.saturating_sub(at))
    }

    pub(crate) fn replicas(&self) -> Vec<String> {
        self.peer_sampler
            .replicas
            .iter()
            .chain(&self.settings.seeds)
            .filter(|a| **a != self.name)
            .cloned()
            .collect()
    }

    /// Turns to another replica.
    pub(crate) fn turn(&mut self) {
        let all = self.replicas();
        let others: Vec<String> = all
            .into_iter()
            .filter(|a| *a != self.watch.replica)
            .collect();
        self.watch.replica = self.rng.pick(&others).cloned().unwrap_or_default();
    }

    pub(super) fn watch_tick(&mut self, now: Now) {
        if now.mono < self.watch.next_watch_request {
            return;
        }
        let heartbeat = self.settings.bounds.heartbeat();
        // Who follows nobody yet looks round faster.
        let heartbeat = if self.watch.has_snapshot {
            heartbeat
        } else {
            heartbeat / 2
        };
        self.watch.next_watch_request = now.mono + heartbeat;
        if self.watch.replica.is_empty()
            || now.mono.saturating_sub(self.watch.answered) > 4 * heartbeat
        {
            self.turn();
            self.watch.answered = now.mono;
        }
        let to = self.watch.replica.clone();
        let successor = if self.stopping.is_some() {
            self.successor()
        } else {
            String::new()
        };
        let carried = self.watch.clock_known();
        let part = self.watch.incoming.identity();
        let watch_request = WatchRequest {
            node: self.name.clone(),
            zone: self.settings.zone.clone(),
            http: self.settings.http.clone(),
            log_index: self.state.applied_index,
            sent: now.mono,
            leaving: self.stopping.is_some(),
            successor,
            clock: if carried { self.agreed(now) } else { now.wall },
            carried,
            share: self.settings.share,
            beside_core: self.settings.beside_core,
            light: self.light,
            part_index: part.index,
            part_checksum: part.checksum,
            part_received: self.watch.incoming.received(),
        };
        if !to.is_empty() {
            self.send(&to, Body::WatchRequest(Box::new(watch_request)));
        }
    }

    /// Whom this node names to take over its leases: a living node, of its own zone if there is one.
    fn successor(&mut self) -> String {
        let me = self.name.clone();
        let zone = self.settings.zone.clone();
        let alive: Vec<(bool, String)> = self
            .state
            .nodes
            .iter()
            .filter(|(k, n)| n.alive && **k != me)
            .map(|(k, n)| (n.zone == zone, k.clone()))
            .collect();
        let near: Vec<String> = alive
            .iter()
            .filter(|(near, _)| *near)
            .map(|(_, k)| k.clone())
            .collect();
        near.into_iter()
            .next()
            .or_else(|| alive.into_iter().next().map(|(_, k)| k))
            .unwrap_or_default()
    }

    /// Another process took this node for a replica: it says whom it follows.
    pub(super) fn on_misdirected_watch_request(&mut self, from: &str, sent: u64) {
        let batch = WatchBatch {
            replica: self.name.clone(),
            leader: self.watch.leader.clone(),
            ok: false,
            sent,
            quorum_age: 0,
            clock: 0,
            commit: 0,
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: Vec::new(),
            light: false,
            reached: 0,
            replicas: self.peer_sampler.replicas.iter().cloned().collect(),
        };
        self.send(from, Body::WatchBatch(Box::new(batch)));
    }

    pub(super) fn on_batch(&mut self, now: Now, from: &str, m: WatchBatch) {
        if !m.ok {
            if from == self.watch.replica {
                let hint = m.leader.clone();
                self.peer_sampler.replicas.extend(m.replicas);
                if hint.is_empty() || hint == from {
                    self.turn();
                } else {
                    self.watch.replica = hint;
                    self.watch.next_watch_request = self
                        .watch
                        .next_watch_request
                        .min(now.mono + self.settings.bounds.tick());
                }
            }
            return;
        }
        self.watch.replica = from.into();
        self.watch.leader = from.into();
        self.watch.answered = now.mono;
        self.peer_sampler.set_replicas(m.replicas);
        let mut changed = false;
        if !m.snapshot.is_empty()
            && (m.snapshot_index > self.state.applied_index
                || m.commit < self.state.applied_index
                || m.light != self.light)
        {
            changed = self.start_over(&m.snapshot, m.light);
        }
        let own_kind = m.light == self.light;
        for e in m.entries.iter().filter(|_| own_kind) {
            let next = self.state.applied_index + 1;
            if e.index == next || (self.light && e.index > next) {
                self.follow_entry(e.index, e.at, &e.command);
                changed = true;
            }
        }
        if self.light && own_kind && m.reached > self.state.applied_index {
            // What lies between concerns jobs and workers, of which a light copy keeps nothing.
            self.state.applied_index = m.reached;
            changed = true;
        }
        if self.state.applied_index >= m.commit && m.commit > 0 {
            if !self.watch.has_snapshot {
                self.line(format!(
                    "watches the log from index {}",
                    self.state.applied_index
                ));
            }
            self.watch.has_snapshot = true;
            self.watch.fresh_at = self
                .watch
                .fresh_at
                .max(m.sent.saturating_sub(m.quorum_age).min(now.mono));
            self.watch.clock = (m.clock, now.mono);
        } else if self.state.applied_index < m.commit && changed {
            self.watch.next_watch_request = now.mono;
        }
        self.answer_fresh(now);
        if changed {
            self.take_up(now);
        }
    }

    /// Takes a chunk of the snapshot that this node fetches, and asks for the next.
    pub(super) fn on_watch_chunk(&mut self, now: Now, from: &str, m: &WatchSnapshotChunk) {
        let wanted = m.index > self.state.applied_index
            || m.commit < self.state.applied_index
            || m.light != self.light;
        if from != self.watch.replica || !wanted {
            return;
        }
        let of = SnapshotId {
            index: m.index,
            term: m.term,
            total: m.total,
            checksum: m.checksum,
        };
        match self.watch.incoming.take(of, m.offset, &m.bytes) {
            ChunkOutcome::Part => {}
            ChunkOutcome::Corrupt => {
                self.count("watch_snapshots_refused", 1);
                self.line(format!(
                    "a snapshot at index {} refused: its checksum is wrong",
                    m.index
                ));
                return;
            }
            ChunkOutcome::Whole(bytes) => {
                if self.start_over(&bytes, m.light) {
                    self.take_up(now);
                }
            }
        }
        self.watch.answered = now.mono;
        self.watch.next_watch_request = now.mono;
        self.watch_tick(now);
    }

    /// Takes a whole snapshot over in place of its copy; says whether it could.
    fn start_over(&mut self, bytes: &[u8], light: bool) -> bool {
        match ClusterState::unpack(bytes) {
            Ok(state) => {
                self.state = state;
                self.light = light;
                self.count("watch_snapshots", 1);
                self.sched.all_dirty = true;
                self.sched.reserve_anew();
                true
            }
            Err(why) => {
                self.line(why);
                false
            }
        }
    }

    /// Does what a change of the cluster state asks for.
    fn take_up(&mut self, now: Now) {
        self.hold_zones(now);
        self.calls_on_place();
        self.schedule(now);
        self.offer_all(now);
    }

    /// Applies one entry and lets the parts take note of what it touches.
    fn follow_entry(&mut self, index: u64, at: u64, bytes: &[u8]) {
        let command = Command::unpack(bytes).ok();
        let version = self.state.version;
        match command.as_ref().map(Command::action) {
            Some(Command::ReportAttempts { ends, .. }) => {
                let touched: Vec<String> = ends
                    .iter()
                    .filter_map(|e| self.state.live.get(&e.no))
                    .map(|(j, _)| j.clone())
                    .collect();
                self.sched.dirty.extend(touched);
            }
            Some(Command::AcceptJob { spec, .. }) => {
                self.sched.dirty.insert(spec.id.clone());
            }
            Some(Command::GrantLease { lease, .. }) => {
                self.sched.all_dirty = true;
                if lease.starts_with("cell/") {
                    self.sched.reserve_anew();
                }
            }
            Some(
                Command::StartAttempts { .. }
                | Command::TermStarted { .. }
                | Command::CancelJob { .. }
                | Command::RegisterNode { .. },
            ) => {}
            _ => self.sched.all_dirty = true,
        }
        let result = self.state.apply_bytes(index, at, bytes);
        self.count("watch_entries", 1);
        if let Some(Command::StartAttempts {
            job, placements, ..
        }) = &command
        {
            placements.iter().for_each(|p| self.unhold(&p.worker, job));
            self.count("starts_refused", u64::from(result.is_err()));
        }
        if self.state.version != version {
            self.line(format!(
                "configuration version {} in force",
                self.state.version
            ));
        }
    }
}
