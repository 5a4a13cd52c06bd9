//! The link of a machine: everything that it sends or receives shares its bandwidth and waits its turn.

/// What waits for a link at the most, in bytes; a sender drops what exceeds it, as the transport does.
const MAX_QUEUED_BYTES: u64 = 4 << 20;

/// One direction of a link.
#[derive(Clone, Debug, Default)]
struct Direction {
    /// When all that was handed over so far has passed, in milliseconds since the beginning of the day.
    free_at_ms: u64,
}

/// The link of a machine, in both directions.
#[derive(Clone, Debug, Default)]
pub(in crate::simulator) struct Link {
    /// Bytes that pass in a millisecond; 0 for a link that is never the bottleneck.
    bytes_per_ms: u64,
    outgoing: Direction,
    incoming: Direction,
}

impl Link {
    /// A link of so many thousand bits a second; 0 for one that is never the bottleneck.
    pub fn of_kbps(kbps: u64) -> Self {
        let bytes_per_ms = kbps / 8;
        Self {
            bytes_per_ms: if kbps > 0 { bytes_per_ms.max(1) } else { 0 },
            ..Self::default()
        }
    }

    /// Whether the link may be the bottleneck.
    pub fn is_limited(&self) -> bool {
        self.bytes_per_ms > 0
    }

    /// Sends bytes at a time; returns when the last one has left, or nothing where too much waits already.
    pub fn send(&mut self, at_ms: u64, bytes: u64) -> Option<u64> {
        self.outgoing.pass(at_ms, bytes, self.bytes_per_ms)
    }

    /// Receives bytes that arrive from a time on; returns when the last one is there, or nothing where too much waits
    /// already.
    pub fn receive(&mut self, at_ms: u64, bytes: u64) -> Option<u64> {
        self.incoming.pass(at_ms, bytes, self.bytes_per_ms)
    }

    /// Forgets what waits: the connections of the process that used the link are gone.
    pub fn reset(&mut self) {
        self.outgoing = Direction::default();
        self.incoming = Direction::default();
    }
}

impl Direction {
    fn pass(&mut self, at_ms: u64, bytes: u64, bytes_per_ms: u64) -> Option<u64> {
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
