//! The network link of a machine: all traffic of the machine shares the bandwidth, first in, first out.

/// The limit on bytes that wait for a link; messages beyond the limit are dropped, as the real transport does.
const MAX_QUEUED_BYTES: u64 = 4 << 20;

/// One direction of a link.
#[derive(Clone, Debug, Default)]
struct Direction {
    /// When the last byte queued so far has passed the link, in milliseconds since the beginning of the day.
    free_at_ms: u64,
}

/// The link of a machine, with independent directions.
#[derive(Clone, Debug, Default)]
pub(in crate::simulator) struct Link {
    /// The bandwidth in bytes per millisecond; 0 for unlimited.
    bytes_per_ms: u64,
    outgoing: Direction,
    incoming: Direction,
}

impl Link {
    /// A link with a bandwidth in kilobits per second; 0 for unlimited.
    pub fn with_bandwidth_kbps(kbps: u64) -> Self {
        let bytes_per_ms = kbps / 8;
        Self {
            bytes_per_ms: if kbps > 0 { bytes_per_ms.max(1) } else { 0 },
            ..Self::default()
        }
    }

    /// Whether the bandwidth is limited.
    pub fn is_limited(&self) -> bool {
        self.bytes_per_ms > 0
    }

    /// Sends bytes at a time; returns the time at which the last byte has left, or none if the queue is full.
    pub fn send(&mut self, at_ms: u64, bytes: u64) -> Option<u64> {
        self.outgoing.transmit(at_ms, bytes, self.bytes_per_ms)
    }

    /// Receives bytes that arrive from a time on; returns the time at which the last byte has arrived, or none if the
    /// queue is full.
    pub fn receive(&mut self, at_ms: u64, bytes: u64) -> Option<u64> {
        self.incoming.transmit(at_ms, bytes, self.bytes_per_ms)
    }

    /// Empties the queues, as when the connections of the process are closed.
    pub fn reset(&mut self) {
        self.outgoing = Direction::default();
        self.incoming = Direction::default();
    }
}

impl Direction {
    fn transmit(&mut self, at_ms: u64, bytes: u64, bytes_per_ms: u64) -> Option<u64> {
        if bytes_per_ms == 0 {
            return Some(at_ms);
        }
        let waiting_ms = self.free_at_ms.saturating_sub(at_ms);
        let is_full = waiting_ms > 0 && waiting_ms * bytes_per_ms + bytes > MAX_QUEUED_BYTES;
        if is_full {
            return None;
        }
        self.free_at_ms = self.free_at_ms.max(at_ms) + bytes / bytes_per_ms;
        Some(self.free_at_ms)
    }
}
