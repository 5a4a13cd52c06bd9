//! How a node follows the record.

use super::Node;
use crate::chunks::{Assembly, Identity, Taken};
use crate::kernel::Now;
use crate::record::{ClusterState, Command};
use crate::wire::{Body, WatchBatch, WatchRequest, WatchSnapshotChunk};

/// Where a node stands in the feed.
pub struct Feed {
    /// A capture was read, or the feed followed from its beginning.
    pub captured: bool,
    /// The feed told all that was committed at this moment, by this node's clock.
    pub fresh_at: u64,
    pub core: String,
    pub leader: String,
    pub next_pull: u64,
    pub answered: u64,
    /// The agreed clock, and when it was read.
    clock: (u64, u64),
    /// The snapshot that is being fetched.
    incoming: Assembly,
}

impl Feed {
    pub fn new(now: Now) -> Self {
        Self {
            captured: false,
            fresh_at: 0,
            core: String::new(),
            leader: String::new(),
            next_pull: 0,
            answered: now.mono,
            clock: (0, 0),
            incoming: Assembly::default(),
        }
    }
}

impl Feed {
    /// Whether a core has told the agreed time.
    pub fn clock_known(&self) -> bool {
        self.clock.0 > 0
    }
}

impl Node {
    /// The agreed time, as well as a node can know it; never ahead of what a core said.
    pub(crate) fn agreed(&self, now: Now) -> u64 {
        let (clock, at) = self.feed.clock;
        self.record.at.max(clock + now.mono.saturating_sub(at))
    }

    pub(crate) fn cores(&self) -> Vec<String> {
        self.views
            .cores
            .iter()
            .chain(&self.settings.seeds)
            .filter(|a| **a != self.name)
            .cloned()
            .collect()
    }

    /// Turns to another core.
    pub(crate) fn turn(&mut self) {
        let all = self.cores();
        let others: Vec<String> = all.into_iter().filter(|a| *a != self.feed.core).collect();
        self.feed.core = self.rng.pick(&others).cloned().unwrap_or_default();
    }

    pub(super) fn feed_tick(&mut self, now: Now) {
        if now.mono < self.feed.next_pull {
            return;
        }
        let beat = self.settings.bounds.heartbeat();
        // Who follows nobody yet looks round faster.
        let beat = if self.feed.captured { beat } else { beat / 2 };
        self.feed.next_pull = now.mono + beat;
        if self.feed.core.is_empty() || now.mono.saturating_sub(self.feed.answered) > 4 * beat {
            self.turn();
            self.feed.answered = now.mono;
        }
        let to = self.feed.core.clone();
        let successor = if self.stopping.is_some() {
            self.successor()
        } else {
            String::new()
        };
        let carried = self.feed.clock_known();
        let part = self.feed.incoming.identity();
        let pull = WatchRequest {
            node: self.name.clone(),
            zone: self.settings.zone.clone(),
            http: self.settings.http.clone(),
            place: self.record.place,
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
            part_received: self.feed.incoming.received(),
        };
        if !to.is_empty() {
            self.send(&to, Body::WatchRequest(Box::new(pull)));
        }
    }

    /// Whom this node names to take over its duties: a living node, of its own zone if there is one.
    fn successor(&mut self) -> String {
        let me = self.name.clone();
        let zone = self.settings.zone.clone();
        let alive: Vec<(bool, String)> = self
            .record
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

    /// Another process took this node for a core: it says whom it follows.
    pub(super) fn on_stray_pull(&mut self, from: &str, sent: u64) {
        let batch = WatchBatch {
            core: self.name.clone(),
            leader: self.feed.leader.clone(),
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
            cores: self.views.cores.iter().cloned().collect(),
        };
        self.send(from, Body::WatchBatch(Box::new(batch)));
    }

    pub(super) fn on_batch(&mut self, now: Now, from: &str, m: WatchBatch) {
        if !m.ok {
            if from == self.feed.core {
                let hint = m.leader.clone();
                self.views.cores.extend(m.cores);
                if hint.is_empty() || hint == from {
                    self.turn();
                } else {
                    self.feed.core = hint;
                    self.feed.next_pull = self
                        .feed
                        .next_pull
                        .min(now.mono + self.settings.bounds.tick());
                }
            }
            return;
        }
        self.feed.core = from.into();
        self.feed.leader = from.into();
        self.feed.answered = now.mono;
        self.views.set_cores(m.cores);
        let mut changed = false;
        if !m.snapshot.is_empty()
            && (m.snapshot_index > self.record.place
                || m.commit < self.record.place
                || m.light != self.light)
        {
            changed = self.start_over(&m.snapshot, m.light);
        }
        let own_kind = m.light == self.light;
        for e in m.entries.iter().filter(|_| own_kind) {
            let next = self.record.place + 1;
            if e.index == next || (self.light && e.index > next) {
                self.follow_entry(e.index, e.at, &e.command);
                changed = true;
            }
        }
        if self.light && own_kind && m.reached > self.record.place {
            // What lies between concerns jobs and workers, of which a light copy keeps nothing.
            self.record.place = m.reached;
            changed = true;
        }
        if self.record.place >= m.commit && m.commit > 0 {
            if !self.feed.captured {
                self.line(format!("follows the feed from place {}", self.record.place));
            }
            self.feed.captured = true;
            self.feed.fresh_at = self
                .feed
                .fresh_at
                .max(m.sent.saturating_sub(m.quorum_age).min(now.mono));
            self.feed.clock = (m.clock, now.mono);
        } else if self.record.place < m.commit && changed {
            self.feed.next_pull = now.mono;
        }
        self.answer_fresh(now);
        if changed {
            self.take_up(now);
        }
    }

    /// Takes a chunk of the snapshot that this node fetches, and asks for the next.
    pub(super) fn on_feed_chunk(&mut self, now: Now, from: &str, m: &WatchSnapshotChunk) {
        let wanted =
            m.index > self.record.place || m.commit < self.record.place || m.light != self.light;
        if from != self.feed.core || !wanted {
            return;
        }
        let of = Identity {
            index: m.index,
            term: m.term,
            total: m.total,
            checksum: m.checksum,
        };
        match self.feed.incoming.take(of, m.offset, &m.bytes) {
            Taken::Part => {}
            Taken::Corrupt => {
                self.count("feed_captures_refused", 1);
                self.line(format!(
                    "a snapshot of place {} refused: its checksum is wrong",
                    m.index
                ));
                return;
            }
            Taken::Whole(bytes) => {
                if self.start_over(&bytes, m.light) {
                    self.take_up(now);
                }
            }
        }
        self.feed.answered = now.mono;
        self.feed.next_pull = now.mono;
        self.feed_tick(now);
    }

    /// Takes a whole snapshot over in place of its copy; says whether it could.
    fn start_over(&mut self, bytes: &[u8], light: bool) -> bool {
        match ClusterState::unpack(bytes) {
            Ok(record) => {
                self.record = record;
                self.light = light;
                self.count("feed_captures", 1);
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

    /// Does what a change of the record asks for.
    fn take_up(&mut self, now: Now) {
        self.hold_cells(now);
        self.calls_on_place();
        self.schedule(now);
        self.offer_all(now);
    }

    /// Applies one entry and lets the parts take note of what it touches.
    fn follow_entry(&mut self, index: u64, at: u64, bytes: &[u8]) {
        let command = Command::unpack(bytes).ok();
        let version = self.record.version;
        match command.as_ref().map(Command::action) {
            Some(Command::Report { ends, .. }) => {
                let touched: Vec<String> = ends
                    .iter()
                    .filter_map(|e| self.record.live.get(&e.no))
                    .map(|(j, _)| j.clone())
                    .collect();
                self.sched.dirty.extend(touched);
            }
            Some(Command::Accept { spec, .. }) => {
                self.sched.dirty.insert(spec.id.clone());
            }
            Some(Command::Lease { duty, .. }) => {
                self.sched.all_dirty = true;
                if duty.starts_with("cell/") {
                    self.sched.reserve_anew();
                }
            }
            Some(
                Command::Start { .. }
                | Command::Opened { .. }
                | Command::Cancel { .. }
                | Command::Node { .. },
            ) => {}
            _ => self.sched.all_dirty = true,
        }
        let result = self.record.apply_bytes(index, at, bytes);
        self.count("feed_entries", 1);
        if let Some(Command::Start {
            job, placements, ..
        }) = &command
        {
            placements.iter().for_each(|p| self.unhold(&p.worker, job));
            self.count("starts_refused", u64::from(result.is_err()));
        }
        if self.record.version != version {
            self.line(format!(
                "configuration version {} in force",
                self.record.version
            ));
        }
    }
}
