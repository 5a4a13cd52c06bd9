//! The watch: how a node follows the cluster state.

use super::zone_scheduler::zone_of_lease;
use super::Node;
use crate::sans_io::Now;
use crate::snapshot_chunks::{ChunkOutcome, SnapshotAssembly, SnapshotId};
use crate::state::{ClusterState, Command};
use crate::wire::{Body, Entry, WatchBatch, WatchRequest, WatchSnapshotChunk};

/// A replica that has not answered for so many request intervals is exchanged for another.
const SILENT_INTERVALS: u64 = 4;

/// The cluster time as a replica told it, and when it did by this node's clock.
#[derive(Clone, Copy, Default)]
struct ClockReading {
    cluster_time: u64,
    read_at: u64,
}

/// What a node knows of its watch. Times are by this node's monotonic clock, except for cluster times.
pub struct Watch {
    /// A snapshot was installed, or the log was followed from its beginning.
    pub has_snapshot: bool,
    /// All that was committed by this time has been received.
    pub fresh_at: u64,
    pub replica: String,
    pub leader: String,
    pub next_watch_request: u64,
    pub last_response_at: u64,
    clock: ClockReading,
    /// The snapshot that is being fetched.
    incoming: SnapshotAssembly,
}

impl Watch {
    /// A watch that follows no replica yet.
    pub fn new(now: Now) -> Self {
        Self {
            has_snapshot: false,
            fresh_at: 0,
            replica: String::new(),
            leader: String::new(),
            next_watch_request: 0,
            last_response_at: now.mono,
            clock: ClockReading::default(),
            incoming: SnapshotAssembly::default(),
        }
    }

    /// Whether a replica has told the cluster time.
    pub fn clock_known(&self) -> bool {
        self.clock.cluster_time > 0
    }
}

impl Node {
    /// The cluster time, as well as a node can know it: never ahead of the replicas' clock.
    pub(crate) fn cluster_time(&self, now: Now) -> u64 {
        let ClockReading {
            cluster_time,
            read_at,
        } = self.watch.clock;
        let since = now.mono.saturating_sub(read_at);
        self.state.at.max(cluster_time + since)
    }

    /// The replicas that this node knows, and its seeds.
    pub(crate) fn replicas(&self) -> Vec<String> {
        self.peer_sampler
            .replicas
            .iter()
            .chain(&self.settings.seeds)
            .filter(|address| **address != self.name)
            .cloned()
            .collect()
    }

    /// Follows another replica from now on.
    pub(crate) fn switch_replica(&mut self) {
        let mut others = self.replicas();
        others.retain(|replica| *replica != self.watch.replica);
        self.watch.replica = self.rng.pick(&others).cloned().unwrap_or_default();
    }

    pub(super) fn watch_tick(&mut self, now: Now) {
        if now.mono < self.watch.next_watch_request {
            return;
        }
        let heartbeat_ms = self.settings.bounds.heartbeat();
        // A node that follows no replica yet tries them faster.
        let interval_ms = if self.watch.has_snapshot {
            heartbeat_ms
        } else {
            heartbeat_ms / 2
        };
        self.watch.next_watch_request = now.mono + interval_ms;
        let silent_for = now.mono.saturating_sub(self.watch.last_response_at);
        if self.watch.replica.is_empty() || silent_for > SILENT_INTERVALS * interval_ms {
            self.switch_replica();
            self.watch.last_response_at = now.mono;
        }
        if self.watch.replica.is_empty() {
            return;
        }
        let replica = self.watch.replica.clone();
        let request = self.watch_request(now);
        self.send(&replica, Body::WatchRequest(Box::new(request)));
    }

    fn watch_request(&self, now: Now) -> WatchRequest {
        let leaving = self.stopping.is_some();
        let clock_known = self.watch.clock_known();
        let incoming = self.watch.incoming.identity();
        WatchRequest {
            node: self.name.clone(),
            zone: self.settings.zone.clone(),
            http: self.settings.http.clone(),
            log_index: self.state.applied_index,
            sent: now.mono,
            leaving,
            successor: if leaving {
                self.successor()
            } else {
                String::new()
            },
            clock: if clock_known {
                self.cluster_time(now)
            } else {
                now.wall
            },
            carried: clock_known,
            share: self.settings.share,
            beside_core: self.settings.beside_core,
            light: self.light,
            part_index: incoming.index,
            part_checksum: incoming.checksum,
            part_received: self.watch.incoming.received(),
        }
    }

    /// The node that should take over this node's leases: one that is alive, of the same zone if there is one.
    fn successor(&self) -> String {
        let mut elsewhere: Option<&String> = None;
        for (name, node) in &self.state.nodes {
            if !node.alive || *name == self.name {
                continue;
            }
            if node.zone == self.settings.zone {
                return name.clone();
            }
            elsewhere = elsewhere.or(Some(name));
        }
        elsewhere.cloned().unwrap_or_default()
    }

    /// Another process took this node for a replica: it is told which ones this node knows.
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

    pub(super) fn on_batch(&mut self, now: Now, from: &str, batch: WatchBatch) {
        if !batch.ok {
            return self.on_watch_refused(now, from, batch);
        }
        self.watch.replica = from.into();
        self.watch.leader = from.into();
        self.watch.last_response_at = now.mono;
        let mut changed = self.install_snapshot_of(&batch);
        changed |= self.apply_entries(&batch);
        if self.state.applied_index >= batch.commit && batch.commit > 0 {
            self.caught_up(now, &batch);
        } else if self.state.applied_index < batch.commit && changed {
            // There is more to fetch, and the replica delivers.
            self.watch.next_watch_request = now.mono;
        }
        self.peer_sampler.set_replicas(batch.replicas);
        self.answer_due_polls(now);
        if changed {
            self.on_state_changed(now);
        }
    }

    /// The process that was asked is no leader: the one that it names is asked instead, or any other.
    fn on_watch_refused(&mut self, now: Now, from: &str, batch: WatchBatch) {
        if from != self.watch.replica {
            return;
        }
        self.peer_sampler.replicas.extend(batch.replicas);
        let leader = batch.leader;
        if leader.is_empty() || leader == from {
            self.switch_replica();
            return;
        }
        self.watch.replica = leader;
        let soon = now.mono + self.settings.bounds.tick();
        self.watch.next_watch_request = self.watch.next_watch_request.min(soon);
    }

    /// Installs the snapshot of a batch if it has one that is needed; returns whether it did.
    fn install_snapshot_of(&mut self, batch: &WatchBatch) -> bool {
        let is_needed = batch.snapshot_index > self.state.applied_index
            || batch.commit < self.state.applied_index
            || batch.light != self.light;
        !batch.snapshot.is_empty()
            && is_needed
            && self.install_snapshot(&batch.snapshot, batch.light)
    }

    /// Applies the entries of a batch that follow; returns whether there were any.
    fn apply_entries(&mut self, batch: &WatchBatch) -> bool {
        if batch.light != self.light {
            return false;
        }
        let mut changed = false;
        for entry in &batch.entries {
            let next = self.state.applied_index + 1;
            // A light copy gets only the entries that concern it.
            if entry.index == next || (self.light && entry.index > next) {
                self.apply_entry(entry);
                changed = true;
            }
        }
        if self.light && batch.reached > self.state.applied_index {
            // The entries between concern jobs and workers, of which a light copy keeps nothing.
            self.state.applied_index = batch.reached;
            changed = true;
        }
        changed
    }

    /// All that was committed when the replica answered has been applied.
    fn caught_up(&mut self, now: Now, batch: &WatchBatch) {
        if !self.watch.has_snapshot {
            let index = self.state.applied_index;
            self.log(format!("watches the log from index {index}"));
        }
        self.watch.has_snapshot = true;
        // The leader was certain of its leadership `quorum_age` before it answered.
        let fresh_at = batch.sent.saturating_sub(batch.quorum_age).min(now.mono);
        self.watch.fresh_at = self.watch.fresh_at.max(fresh_at);
        self.watch.clock = ClockReading {
            cluster_time: batch.clock,
            read_at: now.mono,
        };
    }

    /// Takes a chunk of the snapshot that this node fetches, and asks for the next.
    pub(super) fn on_watch_chunk(&mut self, now: Now, from: &str, chunk: &WatchSnapshotChunk) {
        let is_needed = chunk.index > self.state.applied_index
            || chunk.commit < self.state.applied_index
            || chunk.light != self.light;
        if from != self.watch.replica || !is_needed {
            return;
        }
        let id = SnapshotId {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            checksum: chunk.checksum,
        };
        match self.watch.incoming.take(id, chunk.offset, &chunk.bytes) {
            ChunkOutcome::Part => {}
            ChunkOutcome::Corrupt => {
                self.count("watch_snapshots_refused", 1);
                self.log(format!(
                    "a snapshot at index {} refused: its checksum is wrong",
                    chunk.index
                ));
                return;
            }
            ChunkOutcome::Whole(bytes) => {
                if self.install_snapshot(&bytes, chunk.light) {
                    self.on_state_changed(now);
                }
            }
        }
        self.watch.last_response_at = now.mono;
        self.watch.next_watch_request = now.mono;
        self.watch_tick(now);
    }

    /// Replaces this node's copy of the cluster state by a snapshot; returns whether it could be read.
    fn install_snapshot(&mut self, bytes: &[u8], light: bool) -> bool {
        match ClusterState::unpack(bytes) {
            Ok(state) => {
                self.state = state;
                self.light = light;
                self.count("watch_snapshots", 1);
                self.sched.all_dirty = true;
                self.sched.forget_reservations();
                true
            }
            Err(why) => {
                self.log(why);
                false
            }
        }
    }

    /// Does what a change of the cluster state gives cause for.
    fn on_state_changed(&mut self, now: Now) {
        self.update_zone_schedulers(now);
        self.answer_ready_reads();
        self.schedule(now);
        self.offer_all(now);
    }

    /// Applies an entry of the log to this node's copy of the cluster state.
    fn apply_entry(&mut self, entry: &Entry) {
        let command = Command::unpack(&entry.command).ok();
        // Before the entry is applied: the attempts that end are not live afterwards.
        self.mark_dirty_jobs(command.as_ref().map(Command::action));
        let version = self.state.version;
        let result = self
            .state
            .apply_bytes(entry.index, entry.at, &entry.command);
        self.count("watch_entries", 1);
        if let Some(Command::StartAttempts {
            job, placements, ..
        }) = &command
        {
            for placement in placements {
                self.release_promise(&placement.worker, job);
            }
            self.count("starts_refused", u64::from(result.is_err()));
        }
        if self.state.version != version {
            let version = self.state.version;
            self.log(format!("configuration version {version} in force"));
        }
    }

    /// Marks the jobs whose demand for slots a command may change.
    fn mark_dirty_jobs(&mut self, action: Option<&Command>) {
        match action {
            Some(Command::ReportAttempts { ends, .. }) => {
                for end in ends {
                    if let Some((job, _)) = self.state.live.get(&end.no) {
                        self.sched.dirty.insert(job.clone());
                    }
                }
            }
            Some(Command::AcceptJob { spec, .. }) => {
                self.sched.dirty.insert(spec.id.clone());
            }
            Some(Command::GrantLease { lease, .. }) => {
                self.sched.all_dirty = true;
                if zone_of_lease(lease).is_some() {
                    self.sched.forget_reservations();
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
    }
}
