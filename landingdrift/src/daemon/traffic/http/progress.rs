//! When a connection last received or sent bytes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The time of a connection's last progress.
pub struct Progress {
    since: Instant,
    /// The time of the last progress, in milliseconds after `since`.
    last_ms: AtomicU64,
}

impl Progress {
    /// Progress that was made last at the given time.
    pub fn starting_at(now: Instant) -> Self {
        Self {
            since: now,
            last_ms: AtomicU64::new(0),
        }
    }

    /// Records that progress was made.
    pub fn record(&self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since).as_millis();
        self.last_ms.store(elapsed as u64, Ordering::Relaxed);
    }

    /// The time of the last progress.
    pub fn last(&self) -> Instant {
        self.since + Duration::from_millis(self.last_ms.load(Ordering::Relaxed))
    }
}
