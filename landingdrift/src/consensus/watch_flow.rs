//! Flow control towards the nodes that follow the log: what is on its way to a node is not sent again before it can
//! have arrived, however narrow the node's link is, and each repetition waits twice as long as the last.

use crate::sans_io::MIN_LINK_BYTES_PER_MS;
use crate::settings::Bounds;

/// What is sent waits this many heartbeats for its acknowledgement, beside the time that its bytes take.
const ACK_HEARTBEATS: u64 = 2;
/// The wait doubles with each repetition, up to so many times.
const MAX_DOUBLINGS: u32 = 5;
/// A chunk that is acknowledged within so many heartbeats is followed by a larger one.
const QUICK_CHUNK_HEARTBEATS: u64 = 2;
/// A chunk that is acknowledged later than this is followed by a smaller one.
const SLOW_CHUNK_HEARTBEATS: u64 = 4;
/// What is smaller says nothing of a link: its acknowledgement waits for the next request.
const MIN_SAMPLE_BYTES: u64 = 4 << 10;
/// The first chunk of a snapshot, in bytes; later ones grow while the node fetches them quickly.
const FIRST_CHUNK_BYTES: usize = 32 << 10;
/// The smallest chunk of a snapshot, in bytes.
const MIN_CHUNK_BYTES: usize = 16 << 10;

/// How many bytes a node takes in a millisecond, as far as that was seen: the best of what was measured, halved with each
/// time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkRate(u64);

impl Default for LinkRate {
    fn default() -> Self {
        Self(MIN_LINK_BYTES_PER_MS)
    }
}

impl LinkRate {
    /// So many bytes were acknowledged after so many milliseconds.
    pub fn record_sample(&mut self, bytes: u64, after_ms: u64) {
        if bytes >= MIN_SAMPLE_BYTES {
            self.0 = self.0.max(bytes / after_ms.max(1));
        }
    }

    fn timed_out(&mut self) {
        self.0 = (self.0 / 2).max(MIN_LINK_BYTES_PER_MS);
    }

    fn transfer_ms(self, bytes: u64) -> u64 {
        bytes / self.0
    }
}

/// What was sent to a node and not acknowledged yet. Times are monotonic milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Unacknowledged {
    bytes: u64,
    sent_at: u64,
    /// How often it was sent again.
    repetitions: u32,
}

impl Unacknowledged {
    /// What is sent now for the first time.
    pub fn new(bytes: u64, sent_at: u64) -> Self {
        Self {
            bytes,
            sent_at,
            repetitions: 0,
        }
    }

    /// Bytes are sent: behind what is in flight, or again where something was sent and not acknowledged in time.
    pub fn send(&mut self, in_flight: bool, bytes: u64, now_ms: u64, rate: &mut LinkRate) {
        if in_flight {
            self.bytes += bytes;
        } else if self.bytes > 0 {
            self.bytes = bytes;
            self.repeat(now_ms, rate);
        } else {
            *self = Self::new(bytes, now_ms);
        }
    }

    /// It is sent again.
    pub fn repeat(&mut self, now_ms: u64, rate: &mut LinkRate) {
        self.sent_at = now_ms;
        self.repetitions += 1;
        rate.timed_out();
    }

    /// A part of it was acknowledged: the rest is waited for from now on.
    pub fn partially_acknowledged(&mut self, now_ms: u64) {
        *self = Self::new(0, now_ms);
    }

    /// All of it was acknowledged.
    pub fn acknowledged(&self, now_ms: u64, rate: &mut LinkRate) {
        // After a repetition it is not known which of the two was acknowledged.
        if self.repetitions == 0 {
            rate.record_sample(self.bytes, now_ms.saturating_sub(self.sent_at));
        }
    }

    /// Whether it may still be on its way.
    pub fn is_in_flight(&self, now_ms: u64, rate: LinkRate, bounds: &Bounds) -> bool {
        let usual_ms = ACK_HEARTBEATS * bounds.heartbeat_interval() + rate.transfer_ms(self.bytes);
        let wait_ms = usual_ms << self.repetitions.min(MAX_DOUBLINGS);
        now_ms < self.sent_at + wait_ms
    }
}

/// The size of the chunks in which a node fetches a snapshot: small at first, so that a narrow link is not blocked, and
/// larger as long as they are fetched quickly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChunkSize(usize);

impl Default for ChunkSize {
    fn default() -> Self {
        Self(FIRST_CHUNK_BYTES)
    }
}

impl ChunkSize {
    pub fn bytes(self) -> usize {
        self.0
    }

    /// A chunk was acknowledged after so many milliseconds.
    pub fn acknowledged(&mut self, after_ms: u64, max_bytes: usize, bounds: &Bounds) {
        if after_ms <= QUICK_CHUNK_HEARTBEATS * bounds.heartbeat_interval() {
            self.0 = (self.0 * 2).min(max_bytes);
        } else if after_ms > SLOW_CHUNK_HEARTBEATS * bounds.heartbeat_interval() {
            self.0 = (self.0 / 2).max(MIN_CHUNK_BYTES);
        }
    }

    /// A chunk was not acknowledged in time.
    pub fn timed_out(&mut self) {
        self.0 = (self.0 / 2).max(MIN_CHUNK_BYTES);
    }
}
