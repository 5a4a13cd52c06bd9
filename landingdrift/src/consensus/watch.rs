//! The watch: nodes follow the committed log, starting from a snapshot.
//!
//! A node polls with the index that it has applied, and the leader answers with the entries that follow. To nodes that
//! hold leases, new entries are pushed as soon as they are committed.
//!
//! Nodes with a small CPU share follow a *light copy* of the state, without jobs and workers.

use super::clock::ClockReading;
use super::watch_flow::{LinkRate, UnacknowledgedData};
use super::watch_snapshots::{SentChunk, WatchSnapshots};
use super::{Replica, Role};
use crate::cluster_time::returned_stamp;
use crate::sans_io::Now;
use crate::settings::SMALL_NODE_SHARE;
use crate::state::Command;
use crate::wire::{Body, Entry, WatchBatch, WatchRequest};
use std::collections::{BTreeMap, BTreeSet};

/// A node with a full copy that lacks more entries than this starts over from a snapshot, which is then usually smaller
/// than the missing entries. One that has just fetched a snapshot does not.
const MAX_ENTRIES_BEHIND: u64 = 1024;
/// The maximum number of entries in one message to a node.
const MAX_BATCH_ENTRIES: u64 = 512;
/// The maximum bytes of entries in one message to a node with a light copy; a single entry may be larger.
const MAX_LIGHT_BATCH_BYTES: u64 = 64 << 10;
/// Snapshots of which no node has requested a chunk for this many node timeouts are dropped.
const UNUSED_SNAPSHOT_NODE_TIMEOUTS: u64 = 2;
/// For this many node timeouts, a new leader expects to be contacted by nodes with a CPU share large enough for leases.
const LARGE_NODE_WAIT_NODE_TIMEOUTS: u64 = 2;

/// A leader's view of a node that follows the log. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Watcher {
    /// The index of the last entry that the node has applied, as stated by its last request.
    pub applied_index: u64,
    /// The index of the last entry that was sent to it; reset to the applied one if no acknowledgement arrives in time.
    pub sent_index: u64,
    /// Determines how long the entries sent to it may still be in flight.
    unacknowledged: UnacknowledgedData,
    pub rate: LinkRate,
    pub last_heard_at: u64,
    /// The origin of the node's last request.
    pub last_request: RequestOrigin,
    pub zone: String,
    pub http: String,
    pub leaving: bool,
    /// The node that should take over its leases when it leaves; empty if any node may.
    pub successor: String,
    /// Its CPU share, in thousandths of a core.
    pub share: u32,
    /// Whether it runs on the same machine as a replica.
    pub colocated_with_replica: bool,
    /// Whether it follows a light copy of the state, without jobs and workers.
    pub light: bool,
    /// The last snapshot chunk sent to it.
    pub last_chunk: SentChunk,
    /// The index of the snapshot that it is fetching or has fetched; 0 for none.
    pub fetched_index: u64,
}

/// The sender and the send time of a request, which are returned with the response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestOrigin {
    /// The incarnation of the requesting process; 0 if it is an older build, which does not send it.
    pub incarnation: u64,
    /// The time of sending by the node's clock; the node derives the age of the response from it.
    pub sent_at: u64,
}

impl RequestOrigin {
    fn of(request: &WatchRequest) -> Self {
        Self {
            incarnation: request.incarnation,
            sent_at: request.sent,
        }
    }
}

/// The nodes that follow this leader's log, and the snapshots that they fetch.
#[derive(Clone, Default)]
pub(super) struct Watch {
    /// The nodes by name.
    pub watchers: BTreeMap<String, Watcher>,
    pub snapshots: WatchSnapshots,
}

/// The entries in one message to a node, and the range of the log that they represent.
struct SentEntries {
    entries: Vec<Entry>,
    bytes: u64,
    /// The index that the node must have reached before it applies them.
    follows: u64,
    /// The index that the node has reached once it has applied them.
    reached: u64,
}

impl SentEntries {
    /// An empty message for a node that has reached an index.
    fn none(index: u64) -> Self {
        Self {
            entries: Vec::new(),
            bytes: 0,
            follows: index,
            reached: index,
        }
    }
}

impl Watcher {
    /// Whether entries sent to the requesting node are not acknowledged yet. False if its process or the kind of its
    /// copy has changed, since nothing has been sent to it after that.
    fn has_unreceived_entries(&self, request: &WatchRequest, light: bool) -> bool {
        let is_same_kind = self.light == light && request.light == light;
        self.continues_last_request(request) && is_same_kind && self.sent_index > request.log_index
    }

    /// Whether the request acknowledges the last of the entries that were in flight to the node.
    fn has_received_all(&self, request: &WatchRequest) -> bool {
        let had_entries_in_flight = self.sent_index > self.applied_index;
        had_entries_in_flight
            && self.continues_last_request(request)
            && request.log_index >= self.sent_index
    }

    /// Whether a request comes from the process that sent the last one, and its copy has not gone back to an earlier
    /// index. Older builds send no incarnation, so another process of such a build may pass as the same.
    fn continues_last_request(&self, request: &WatchRequest) -> bool {
        request.incarnation == self.last_request.incarnation
            && request.sent >= self.last_request.sent_at
            && request.log_index >= self.applied_index
    }
}

impl Replica {
    /// The latest time at which this replica is known to have led, in monotonic milliseconds: a majority has
    /// acknowledged a round that was sent then.
    pub(super) fn last_quorum_contact(&mut self, now: Now) -> u64 {
        let contacts = self.voter_values(now.mono, |progress| progress.acked_round_sent_at);
        Self::reached_by_majority(contacts)
    }

    /// Whether this replica leads and has applied all entries committed before its term, so that it may serve requests.
    pub(super) fn is_ready_leader(&self) -> bool {
        let first_index = self.leadership.term_start_index;
        self.role == Role::Leader
            && first_index > 0
            && self.log.commit_index >= first_index
            && self.state.applied_index >= first_index
    }

    /// Answers a node's request with the entries that follow those it has applied, or with a snapshot chunk if it must
    /// start over. A replica that is not ready to serve requests only names the leader.
    pub(super) fn on_watch_request(&mut self, now: Now, from: &str, request: WatchRequest) {
        if !self.is_ready_leader() {
            self.watch.snapshots.clear();
            self.send_watch_batch(now, from, RequestOrigin::of(&request), None);
            return;
        }
        let unused_after = UNUSED_SNAPSHOT_NODE_TIMEOUTS * self.settings.bounds.node_timeout();
        self.watch.snapshots.expire(now, unused_after);
        let reading = ClockReading {
            time: request.clock,
            is_agreed: request.carried,
        };
        let not_before = returned_stamp(self.incarnation, request.echo);
        self.clock.observe(now, &request.node, reading, not_before);
        let light = self.should_follow_light_copy(now, &request);
        self.update_watcher(now, &request, light);
        // A node whose copy is of the other kind (light or full) starts over.
        let from_index = if light == request.light {
            request.log_index
        } else {
            u64::MAX
        };
        if self.needs_snapshot(&request.node, from_index) {
            self.send_watch_chunk(now, from, &request);
        }
        let origin = RequestOrigin::of(&request);
        if self.has_entries_in_flight(&request.node) {
            let no_entries = SentEntries::none(request.log_index);
            self.send_entries(now, from, origin, true, no_entries);
            return;
        }
        self.send_watch_batch(now, from, origin, Some(from_index));
    }

    /// Whether entries are in flight to a node. Until they are acknowledged, no further ones are sent: a node with a
    /// light copy can't detect a gap, and a slow link must not be saturated.
    fn has_entries_in_flight(&self, node: &str) -> bool {
        let watcher = self.watch.watchers.get(node);
        watcher.is_some_and(|watcher| watcher.sent_index > watcher.applied_index)
    }

    fn update_watcher(&mut self, now: Now, request: &WatchRequest, light: bool) {
        let known = self.watch.watchers.get(&request.node);
        let bounds = &self.settings.bounds;
        let mut sent_index = request.log_index;
        let mut unacknowledged = UnacknowledgedData::default();
        let mut rate = known.map(|known| known.rate).unwrap_or_default();
        if let Some(known) = known.filter(|known| known.has_received_all(request)) {
            known.unacknowledged.record_ack(now.mono, &mut rate);
        }
        if let Some(known) = known.filter(|known| known.has_unreceived_entries(request, light)) {
            unacknowledged = known.unacknowledged;
            if request.log_index > known.applied_index {
                unacknowledged.record_partial_ack(now.mono);
            }
            if unacknowledged.is_in_flight(now.mono, rate, bounds) {
                sent_index = known.sent_index;
            }
        }
        let watcher = Watcher {
            applied_index: request.log_index,
            sent_index,
            unacknowledged,
            rate,
            last_heard_at: now.mono,
            last_request: RequestOrigin::of(request),
            zone: request.zone.clone(),
            http: request.http.clone(),
            leaving: request.leaving,
            successor: request.successor.clone(),
            share: request.share,
            colocated_with_replica: request.beside_core,
            light,
            last_chunk: known
                .filter(|known| known.continues_last_request(request))
                .map_or_else(SentChunk::default, |known| known.last_chunk),
            fetched_index: known.map_or(0, |w| w.fetched_index),
        };
        self.watch.watchers.insert(request.node.clone(), watcher);
    }

    fn record_sent(&mut self, now: Now, node: &str, sent: &SentEntries) {
        let Some(watcher) = self.watch.watchers.get_mut(node) else {
            return;
        };
        let in_flight = watcher.sent_index > watcher.applied_index;
        if sent.bytes > 0 {
            let rate = &mut watcher.rate;
            watcher
                .unacknowledged
                .record_sent(in_flight, sent.bytes, now.mono, rate);
        }
        watcher.sent_index = watcher.sent_index.max(sent.reached);
    }

    /// Whether a node should follow a light copy: its CPU share is too small for leases, and larger nodes
    /// follow this leader or are still expected to.
    fn should_follow_light_copy(&self, now: Now, request: &WatchRequest) -> bool {
        let is_small = |share: u32| share < SMALL_NODE_SHARE;
        let expected_until = self.leadership.since
            + LARGE_NODE_WAIT_NODE_TIMEOUTS * self.settings.bounds.node_timeout();
        let mut watchers = self.watch.watchers.values();
        is_small(request.share)
            && (now.mono < expected_until || watchers.any(|w| !is_small(w.share)))
    }

    /// Pushes newly committed entries to the nodes that hold leases; other nodes receive them when they poll.
    pub(super) fn push_to_watchers(&mut self, now: Now) {
        let leases = self.state.leases.values();
        let holders: BTreeSet<String> = leases.map(|lease| lease.holder.clone()).collect();
        let max_age_ms = self.settings.bounds.max_watch_age();
        let mut due = Vec::new();
        for (node, watcher) in &self.watch.watchers {
            let is_fresh = now.mono.saturating_sub(watcher.last_heard_at) < max_age_ms;
            let lacks_entries = watcher.sent_index < self.log.commit_index;
            let has_full_copy = !watcher.light;
            let may_be_sent = holders.contains(node) && has_full_copy && lacks_entries && is_fresh;
            if may_be_sent && !self.needs_snapshot(node, watcher.sent_index) {
                due.push((node.clone(), watcher.last_request, watcher.sent_index));
            }
        }
        for (node, last_request, sent_index) in due {
            self.send_watch_batch(now, &node, last_request, Some(sent_index));
        }
    }

    /// Whether a node that has applied entries up to an index must start over from a snapshot: the log no longer
    /// contains all entries after that index, ends before it (as after a total loss), or the node lacks too many
    /// entries. A node that has just fetched a snapshot continues with the log, even if many entries were added during
    /// the transfer.
    fn needs_snapshot(&self, node: &str, index: u64) -> bool {
        let watcher = self.watch.watchers.get(node);
        let light = watcher.is_some_and(|w| w.light);
        let fetched_index = watcher.map_or(0, |w| w.fetched_index);
        let has_fetched = fetched_index > 0 && index >= fetched_index;
        let commit_index = self.log.commit_index;
        let entries_behind = commit_index.saturating_sub(index);
        let is_far_behind = entries_behind > MAX_ENTRIES_BEHIND && !light && !has_fetched;
        index < self.log.base().index || index > commit_index || is_far_behind
    }

    /// Sends one message with the entries after `from_index` that fit into it, or with none if the node must start over
    /// from a snapshot. Without an index, the message states that this replica does not lead, and names the leader.
    fn send_watch_batch(
        &mut self,
        now: Now,
        to: &str,
        origin: RequestOrigin,
        from_index: Option<u64>,
    ) {
        let leads = from_index.is_some();
        let from_index = from_index.filter(|index| !self.needs_snapshot(to, *index));
        let sent = match from_index {
            Some(index) => self.entries_after(to, index),
            None => SentEntries::none(0),
        };
        self.record_sent(now, to, &sent);
        self.send_entries(now, to, origin, leads, sent);
    }

    /// The entries after an index that fit into one message to a node.
    fn entries_after(&self, node: &str, index: u64) -> SentEntries {
        let light = self.watch.watchers.get(node).is_some_and(|w| w.light);
        let wanted = (self.log.commit_index - index).min(MAX_BATCH_ENTRIES);
        let mut sent = SentEntries::none(index);
        for entry in self.log.batch(index + 1, wanted as usize) {
            let is_wanted = !light || Command::is_cluster_wide(&entry.command);
            let bytes = entry.command.len() as u64;
            let exceeds_limit = sent.bytes > 0 && sent.bytes + bytes > MAX_LIGHT_BATCH_BYTES;
            if light && is_wanted && exceeds_limit {
                break;
            }
            sent.reached = entry.index;
            if is_wanted {
                sent.bytes += bytes;
                sent.entries.push(entry);
            }
        }
        sent
    }

    fn send_entries(
        &mut self,
        now: Now,
        to: &str,
        origin: RequestOrigin,
        leads: bool,
        sent: SentEntries,
    ) {
        let quorum_age = if leads {
            now.mono.saturating_sub(self.last_quorum_contact(now))
        } else {
            0
        };
        let light = self.watch.watchers.get(to).is_some_and(|w| w.light);
        self.count("watch_entries", sent.entries.len() as u64);
        let batch = WatchBatch {
            replica: self.name.clone(),
            leader: self.leader.clone(),
            ok: leads,
            sent: origin.sent_at,
            quorum_age,
            clock: self.clock.stated_time(now),
            commit: self.log.commit_index,
            // Older builds sent whole snapshots in this field.
            snapshot: Vec::new(),
            snapshot_index: 0,
            entries: sent.entries,
            replicas: self.members().into_keys().collect(),
            light,
            reached: sent.reached,
            incarnation: origin.incarnation,
            follows: sent.follows,
            config_index: self.state.config_index_at(sent.reached),
            stamp: Some(self.stamp(now)),
        };
        self.send(to, Body::WatchBatch(Box::new(batch)));
    }
}
