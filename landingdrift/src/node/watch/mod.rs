//! The watch keeps a node's copy of the cluster state up to date.
//!
//! - `snapshot` fetches and installs the snapshot that a node starts from,
//! - `entries` applies the entries that follow,
//! - `catch_up` logs the progress while the copy is missing or outdated.

mod catch_up;
mod entries;
mod snapshot;

use super::Node;
use crate::cluster_time::{StatedTime, TimeEstimate};
use crate::sans_io::Now;
use crate::snapshot_chunks::SnapshotAssembly;
use crate::wire::{Body, MessageStamp, WatchBatch, WatchRequest};
use catch_up::CatchUp;

/// Timeout in request intervals after which a replica that does not respond is replaced by another.
const RESPONSE_TIMEOUT_INTERVALS: u64 = 4;
/// Maximum number of doublings of the response timeout after false suspicions. It is low because a failed leader must
/// be detected soon, and asking another replica meanwhile costs nothing.
const MAX_FALSE_SUSPICIONS: u32 = 1;

/// The stamp of a replica's message.
struct ReceivedStamp {
    replica: String,
    stamp: MessageStamp,
}

/// The state of a node's watch. Times are in monotonic milliseconds, except for cluster times.
pub struct Watch {
    /// The copy is complete: a snapshot was installed, or the log was followed from its beginning.
    pub has_snapshot: bool,
    /// Everything that was committed by this time has been applied.
    pub fresh_at: u64,
    /// The process that watch requests are sent to; empty if none is known.
    pub replica: String,
    /// The likely leader, to which proposals are sent; empty if none is known.
    pub leader: String,
    pub next_watch_request: u64,
    /// Time of the last response of a leader, or of the last switch to another replica.
    pub last_response_at: u64,
    /// The leader suspected of having failed, because its last response timed out; empty if there is none.
    suspect: String,
    /// Number of false suspicions of the current leader, up to `MAX_FALSE_SUSPICIONS`.
    false_suspicions: u32,
    /// The cluster time as replicas have stated it; none until one has.
    clock: Option<TimeEstimate>,
    /// The stamp of the latest batch of a replica, which is returned to it.
    last_stamp: Option<ReceivedStamp>,
    /// The snapshot that is being fetched.
    incoming: SnapshotAssembly,
    /// Arrival time of the last useful chunk of the snapshot.
    snapshot_progress_at: u64,
    catch_up: CatchUp,
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
            suspect: String::new(),
            false_suspicions: 0,
            clock: None,
            last_stamp: None,
            incoming: SnapshotAssembly::default(),
            snapshot_progress_at: 0,
            catch_up: CatchUp::new(now),
        }
    }

    fn record_stamp(&mut self, replica: &str, stamp: Option<MessageStamp>) {
        self.last_stamp = stamp.map(|stamp| ReceivedStamp {
            replica: replica.into(),
            stamp,
        });
    }

    /// The stamp of the latest batch, if it came from the given replica.
    fn stamp_of(&self, replica: &str) -> Option<MessageStamp> {
        let last = self.last_stamp.as_ref();
        let from_replica = last.filter(|received| received.replica == replica);
        from_replica.map(|received| received.stamp)
    }

    /// Whether a replica has reported the cluster time.
    pub fn clock_known(&self) -> bool {
        self.clock.is_some()
    }
}

impl Node {
    /// Counts a call that is rejected because there is no fresh copy to answer it from.
    pub(super) fn record_call_without_copy(&mut self) {
        self.watch.catch_up.rejected_calls += 1;
        self.count("calls_refused_without_copy", 1);
    }

    /// This node's estimate of the cluster time. It is ahead of the replicas' clock at most by the drift of monotonic
    /// clocks since their last statement.
    pub(crate) fn cluster_time(&self, now: Now) -> u64 {
        let estimate = self.watch.clock.map_or(0, |clock| clock.at(now));
        self.state.at.max(estimate)
    }

    /// The known replicas and the seeds, without this node.
    pub(crate) fn replicas(&self) -> Vec<String> {
        self.peer_sampler
            .replicas
            .iter()
            .chain(&self.settings.seeds)
            .filter(|address| **address != self.name)
            .cloned()
            .collect()
    }

    /// Switches to another replica, chosen at random.
    pub(crate) fn switch_replica(&mut self) {
        let mut others = self.replicas();
        others.retain(|replica| *replica != self.watch.replica);
        self.watch.replica = self.rng.pick(&others).cloned().unwrap_or_default();
    }

    pub(super) fn watch_tick(&mut self, now: Now) {
        if now.mono < self.watch.next_watch_request {
            return;
        }
        let heartbeat_ms = self.settings.bounds.heartbeat_interval();
        // A node without a complete copy sends requests more often, to find a leader sooner.
        let interval_ms = if self.watch.has_snapshot {
            heartbeat_ms
        } else {
            heartbeat_ms / 2
        };
        self.watch.next_watch_request = now.mono + interval_ms;
        let since_response = now.mono.saturating_sub(self.watch.last_response_at);
        if self.watch.replica.is_empty() || since_response > self.response_timeout_ms(interval_ms) {
            self.suspect_replica();
            self.switch_replica();
            self.watch.last_response_at = now.mono;
            self.watch.catch_up.replica_switches += 1;
        }
        if self.watch.replica.is_empty() {
            return;
        }
        let replica = self.watch.replica.clone();
        let request = self.watch_request(now);
        self.send(&replica, Body::WatchRequest(Box::new(request)));
    }

    /// Time without a response after which the replica is replaced, in milliseconds.
    fn response_timeout_ms(&self, interval_ms: u64) -> u64 {
        (RESPONSE_TIMEOUT_INTERVALS * interval_ms) << self.watch.false_suspicions
    }

    /// Records that the replica has timed out, if it is the leader: the suspicion may turn out to be false.
    fn suspect_replica(&mut self) {
        if self.watch.replica == self.watch.leader {
            self.watch.suspect = self.watch.replica.clone();
        }
    }

    /// Records a response from the leader.
    fn record_leader(&mut self, now: Now, leader: &str) {
        if self.watch.leader != leader {
            self.watch.false_suspicions = 0;
        } else if self.watch.suspect == leader {
            // The suspicion was false: the leader's response was only delayed.
            self.watch.false_suspicions =
                (self.watch.false_suspicions + 1).min(MAX_FALSE_SUSPICIONS);
        }
        self.watch.suspect.clear();
        self.watch.replica = leader.into();
        self.watch.leader = leader.into();
        self.watch.last_response_at = now.mono;
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
            beside_core: self.settings.beside_replica,
            light: self.light,
            part_index: incoming.index,
            part_checksum: incoming.checksum,
            part_received: self.watch.incoming.received(),
            incarnation: self.incarnation,
            echo: self.watch.stamp_of(&self.watch.replica),
        }
    }

    /// The node that should take over this node's leases: one that is alive, in the same zone if possible.
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

    /// Answers a watch request sent to this node, which is no replica, with the replicas that it knows.
    pub(super) fn on_misdirected_watch_request(&mut self, from: &str, request: &WatchRequest) {
        let batch = WatchBatch {
            replica: self.name.clone(),
            leader: self.watch.leader.clone(),
            ok: false,
            sent: request.sent,
            quorum_age: 0,
            clock: 0,
            commit: 0,
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: Vec::new(),
            light: false,
            reached: 0,
            replicas: self.peer_sampler.replicas.iter().cloned().collect(),
            incarnation: request.incarnation,
            follows: 0,
            config_index: 0,
            stamp: None,
        };
        self.send(from, Body::WatchBatch(Box::new(batch)));
    }

    pub(super) fn on_batch(&mut self, now: Now, from: &str, batch: WatchBatch) {
        if !self.is_own_batch(&batch) {
            return;
        }
        self.watch.record_stamp(from, batch.stamp);
        if !batch.ok {
            return self.on_watch_rejected(now, from, batch);
        }
        self.record_leader(now, from);
        self.watch.catch_up.batches += 1;
        let mut changed = self.install_batch_snapshot(&batch);
        changed |= self.apply_entries(&batch);
        if self.has_diverged(&batch) {
            return self.discard_copy(now);
        }
        if self.state.applied_index >= batch.commit && batch.commit > 0 {
            self.record_caught_up(now, &batch);
        } else if self.state.applied_index < batch.commit && changed {
            // More entries are committed and the replica is delivering them: request the next batch at once.
            self.watch.next_watch_request = now.mono;
        }
        self.peer_sampler.set_replicas(batch.replicas);
        self.answer_due_polls(now);
        if changed {
            self.on_state_changed(now);
        }
    }

    /// Whether a batch answers a request of this process. The times in a batch for an earlier process are by another
    /// clock. Replicas of an older version send incarnation 0, which is accepted.
    fn is_own_batch(&mut self, batch: &WatchBatch) -> bool {
        let own = [0, self.incarnation].contains(&batch.incarnation);
        self.count("responses_to_another_incarnation", u64::from(!own));
        own
    }

    /// Handles a rejection by a process that is not the leader: switches to the leader that it names, or to any other
    /// replica.
    fn on_watch_rejected(&mut self, now: Now, from: &str, batch: WatchBatch) {
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
        let soon = now.mono + self.settings.bounds.tick_interval();
        self.watch.next_watch_request = self.watch.next_watch_request.min(soon);
    }

    /// Records that everything that was committed when the leader answered has been applied: updates freshness and
    /// cluster time.
    fn record_caught_up(&mut self, now: Now, batch: &WatchBatch) {
        if !self.watch.has_snapshot {
            let index = self.state.applied_index;
            self.log(format!("watching the log from index {index}"));
        }
        self.watch.has_snapshot = true;
        // The leader last confirmed its leadership `quorum_age` before it answered.
        let fresh_at = batch.sent.saturating_sub(batch.quorum_age).min(now.mono);
        self.watch.fresh_at = self.watch.fresh_at.max(fresh_at);
        if batch.clock > 0 {
            let stated = StatedTime {
                time: batch.clock,
                // Without an incarnation, `sent` may be by the clock of an earlier process.
                not_before: (batch.incarnation != 0).then_some(batch.sent),
            };
            TimeEstimate::correct_or_begin(&mut self.watch.clock, now, stated);
        }
    }
}
