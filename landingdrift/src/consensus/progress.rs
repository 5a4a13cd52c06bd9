//! The leader's view of each other replica, and the numbered rounds of messages that it sends them.

use super::snapshot_transfer::OutgoingSnapshot;
use crate::sans_io::Now;
use crate::wire::MessageStamp;
use std::collections::VecDeque;

/// The maximum number of rounds whose send time is kept; the oldest are dropped.
const MAX_REMEMBERED_ROUNDS: usize = 1000;

/// A leader's view of another replica. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The index of the next entry to send.
    pub next_index: u64,
    /// Entries up to this index are durable on the replica's disk.
    pub match_index: u64,
    /// The identity of the disk that responded last; 0 before the first response.
    pub disk: u64,
    /// The number of the newest round that the replica acknowledged.
    pub acked_round: u64,
    /// The time at which the newest acknowledged round was sent.
    pub acked_round_sent_at: u64,
    /// Whether the replica is in an orderly shutdown.
    pub leaving: bool,
    /// Whether the replica's disk accepts no writes; the replica is then sent heartbeats but no entries.
    pub disk_refuses_writes: bool,
    pub last_heard_at: u64,
    /// The stamp of the latest response that had one.
    pub last_stamp: Option<MessageStamp>,
    /// The time at which entries were last sent.
    pub last_sent_at: u64,
    /// The round of the batch of entries in flight; 0 for none.
    pub in_flight_round: u64,
    pub snapshot: Option<OutgoingSnapshot>,
}

impl Progress {
    /// The progress of a replica that is assumed to have all entries before `next_index`.
    pub fn new(next_index: u64, now: Now) -> Self {
        Self {
            next_index,
            last_heard_at: now.mono,
            ..Self::default()
        }
    }

    /// Records the identity of the responding disk. A change resets the progress, since the entries that an earlier
    /// disk at this address acknowledged are lost with it.
    pub fn record_disk(&mut self, disk: u64) {
        if self.disk != 0 && self.disk != disk {
            self.match_index = 0;
            self.acked_round_sent_at = 0;
            self.next_index = 1;
            self.in_flight_round = 0;
            self.snapshot = None;
        }
        self.disk = disk;
    }

    /// Whether no entries may be sent to the replica now, since a batch is in flight or its disk accepts no writes.
    pub fn is_paused(&self) -> bool {
        self.in_flight_round > 0 || self.disk_refuses_writes
    }

    /// Abandons the batch in flight and continues after the last entry known to match.
    pub fn rewind(&mut self) {
        self.in_flight_round = 0;
        self.next_index = self.match_index + 1;
    }
}

/// A numbered round of messages to other replicas.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    sent_at: u64,
}

/// The rounds that a leader has sent. A round acknowledged by a majority proves that this replica led when it was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    current: u64,
    sent: VecDeque<Round>,
    /// The time of the last heartbeat to all other replicas, in monotonic milliseconds.
    pub last_heartbeat_at: u64,
}

impl Rounds {
    /// Begins a round and returns its number.
    pub fn begin(&mut self, now: Now) -> u64 {
        self.current += 1;
        self.sent.push_back(Round {
            number: self.current,
            sent_at: now.mono,
        });
        if self.sent.len() > MAX_REMEMBERED_ROUNDS {
            self.sent.pop_front();
        }
        self.current
    }

    /// The number of the newest round.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// The time at which a round was sent; 0 if it is no longer kept.
    pub fn sent_at(&self, number: u64) -> u64 {
        let round = self.sent.iter().find(|round| round.number == number);
        round.map_or(0, |round| round.sent_at)
    }

    /// Discards the rounds of an earlier leadership; their numbers are not reused.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.last_heartbeat_at = 0;
    }
}
