//! Flow control towards the nodes that follow the log: data is not retransmitted while it may still be in flight, even
//! over a slow link, and the timeout doubles with each retransmission, up to a limit.

use crate::sans_io::MIN_LINK_BYTES_PER_MS;
use crate::settings::Bounds;

/// The number of heartbeat intervals to wait for an acknowledgement, in addition to the transfer time of the bytes.
const ACK_HEARTBEATS: u64 = 2;
/// The maximum number of times that the timeout doubles.
const MAX_DOUBLINGS: u32 = 5;
/// A chunk acknowledged within this many heartbeat intervals is followed by a larger one.
const QUICK_CHUNK_HEARTBEATS: u64 = 2;
/// A chunk acknowledged after more than this many heartbeat intervals is followed by a smaller one.
const SLOW_CHUNK_HEARTBEATS: u64 = 4;
/// The minimum bytes for a sample of the link rate. Smaller amounts are not sampled, since their delay is mostly the
/// node's poll interval.
const MIN_SAMPLE_BYTES: u64 = 4 << 10;
/// The size of the first chunk of a snapshot, in bytes; later ones grow while the node fetches them quickly.
const FIRST_CHUNK_BYTES: usize = 32 << 10;
/// The smallest chunk of a snapshot, in bytes.
const MIN_CHUNK_BYTES: usize = 16 << 10;

/// The estimated rate of the link to a node, in bytes per millisecond: the highest sample, halved with each timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkRate(u64);

impl Default for LinkRate {
    fn default() -> Self {
        Self(MIN_LINK_BYTES_PER_MS)
    }
}

impl LinkRate {
    /// Raises the estimate if `bytes`, acknowledged after `after_ms`, yield a higher rate. Fewer than
    /// [`MIN_SAMPLE_BYTES`] are ignored.
    pub fn record_sample(&mut self, bytes: u64, after_ms: u64) {
        if bytes >= MIN_SAMPLE_BYTES {
            self.0 = self.0.max(bytes / after_ms.max(1));
        }
    }

    fn record_timeout(&mut self) {
        self.0 = (self.0 / 2).max(MIN_LINK_BYTES_PER_MS);
    }

    fn transfer_ms(self, bytes: u64) -> u64 {
        bytes / self.0
    }
}

/// Data sent to a node and not acknowledged yet. Times are monotonic milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UnacknowledgedData {
    bytes: u64,
    sent_at: u64,
    /// Retransmissions since the data was first sent or last partly acknowledged. Each doubles the timeout, up to a
    /// limit.
    retransmissions: u32,
}

impl UnacknowledgedData {
    /// Data that is sent for the first time.
    pub fn new(bytes: u64, sent_at: u64) -> Self {
        Self {
            bytes,
            sent_at,
            retransmissions: 0,
        }
    }

    /// Records that bytes were sent: in addition to those in flight, or as a retransmission if earlier data was not
    /// acknowledged in time.
    pub fn record_sent(&mut self, in_flight: bool, bytes: u64, now_ms: u64, rate: &mut LinkRate) {
        if in_flight {
            self.bytes += bytes;
        } else if self.bytes > 0 {
            self.bytes = bytes;
            self.record_retransmission(now_ms, rate);
        } else {
            *self = Self::new(bytes, now_ms);
        }
    }

    /// Restarts the timeout after a retransmission, doubles it (at most [`MAX_DOUBLINGS`] times), and halves the
    /// estimated link rate.
    pub fn record_retransmission(&mut self, now_ms: u64, rate: &mut LinkRate) {
        self.sent_at = now_ms;
        self.retransmissions += 1;
        rate.record_timeout();
    }

    /// Restarts the timeout after a part was acknowledged. The rest counts as 0 bytes, both in the timeout and in
    /// samples of the link rate.
    pub fn record_partial_ack(&mut self, now_ms: u64) {
        *self = Self::new(0, now_ms);
    }

    /// Samples the link rate after everything was acknowledged, unless data was retransmitted.
    pub fn record_ack(&self, now_ms: u64, rate: &mut LinkRate) {
        // After a retransmission it is unknown which transmission was acknowledged (Karn's algorithm).
        if self.retransmissions == 0 {
            rate.record_sample(self.bytes, now_ms.saturating_sub(self.sent_at));
        }
    }

    /// Whether the data may still be in flight.
    pub fn is_in_flight(&self, now_ms: u64, rate: LinkRate, bounds: &Bounds) -> bool {
        let base_wait_ms =
            ACK_HEARTBEATS * bounds.heartbeat_interval() + rate.transfer_ms(self.bytes);
        let wait_ms = base_wait_ms << self.retransmissions.min(MAX_DOUBLINGS);
        now_ms < self.sent_at + wait_ms
    }
}

/// The size of the chunks in which a node fetches a snapshot: small at first, so that a slow link is not blocked,
/// then growing as long as chunks are acknowledged quickly.
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

    /// Adapts the size to a chunk that was acknowledged after `after_ms`.
    pub fn record_ack(&mut self, after_ms: u64, max_bytes: usize, bounds: &Bounds) {
        if after_ms <= QUICK_CHUNK_HEARTBEATS * bounds.heartbeat_interval() {
            self.0 = (self.0 * 2).min(max_bytes);
        } else if after_ms > SLOW_CHUNK_HEARTBEATS * bounds.heartbeat_interval() {
            self.0 = (self.0 / 2).max(MIN_CHUNK_BYTES);
        }
    }

    /// Halves the size after a chunk that was not acknowledged in time.
    pub fn record_timeout(&mut self) {
        self.0 = (self.0 / 2).max(MIN_CHUNK_BYTES);
    }
}
