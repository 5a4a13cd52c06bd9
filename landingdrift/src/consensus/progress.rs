//! What a leader knows of each other replica, and the rounds of messages that it sends them.

use super::snapshot_transfer::OutgoingSnapshot;
use crate::sans_io::Now;
use std::collections::VecDeque;

/// Rounds whose time of sending is remembered.
const MAX_REMEMBERED_ROUNDS: usize = 1000;

/// A leader's view of another replica. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The next entry to send.
    pub next_index: u64,
    /// Entries up to this index are durable on the replica's disk.
    pub match_index: u64,
    /// The disk that answered last; 0 before any did.
    pub disk: u64,
    /// The newest round that was answered, and when it was sent.
    pub acked_round: u64,
    pub acked_round_sent_at: u64,
    /// The replica is being shut down in an orderly way.
    pub leaving: bool,
    /// The replica's disk takes no writes: it gets heartbeats but no entries.
    pub disk_refuses_writes: bool,
    pub last_heard_at: u64,
    /// When entries were last sent.
    pub last_sent_at: u64,
    /// The round of the batch of entries in flight; 0 for none.
    pub in_flight_round: u64,
    pub snapshot: Option<OutgoingSnapshot>,
}

impl Progress {
    /// A replica that is expected to have everything before `next_index`.
    pub fn new(next_index: u64, now: Now) -> Self {
        Self {
            next_index,
            last_heard_at: now.mono,
            ..Self::default()
        }
    }

    /// Notes which disk answers. What an earlier disk at this address acknowledged is lost with it.
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

    /// Whether the replica gets no entries for now: a batch is in flight, or its disk takes none.
    pub fn is_paused(&self) -> bool {
        self.in_flight_round > 0 || self.disk_refuses_writes
    }

    /// Gives up on the batch in flight and goes on from the last entry known to match.
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

/// The rounds that a replica has sent while it led. An answered round proves that this replica led when it was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    current: u64,
    sent: VecDeque<Round>,
    /// When all others were last sent a heartbeat, in monotonic milliseconds.
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

    /// When a round was sent; 0 if that is not remembered.
    pub fn sent_at(&self, number: u64) -> u64 {
        let round = self.sent.iter().find(|round| round.number == number);
        round.map_or(0, |round| round.sent_at)
    }

    /// Forgets the rounds of an earlier leadership; their numbers are not used again.
    pub fn reset(&mut self) {
        self.sent.clear();
        self.last_heartbeat_at = 0;
    }
}
