//! When a part that was told to stop is ended.

use crate::settings::Bounds;
use std::time::{Duration, Instant};

/// How long a part keeps running after it was told to stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriods {
    /// It runs for at least so long, even if it is done before: its callers need time to leave.
    pub min: Duration,
    /// It is ended after so long, even if it is not done.
    pub max: Duration,
}

impl GracePeriods {
    /// The grace periods that follow from the bounds.
    pub fn of(bounds: &Bounds) -> Self {
        Self {
            min: Duration::from_millis(bounds.serving_time_after_stop()),
            max: Duration::from_millis(bounds.parts_deadline()),
        }
    }
}

/// Decides when the thread of a part ends. A part that was told to stop runs until its callers have found another
/// process and none waits any more; one that ends by itself ends at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownTimer {
    /// How long each phase of the shutdown lasts.
    pub periods: GracePeriods,
    stop_requested_at: Option<Instant>,
    done: bool,
}

impl ShutdownTimer {
    /// A timer of a part that was not told to stop.
    pub fn new(periods: GracePeriods) -> Self {
        Self {
            periods,
            ..Self::default()
        }
    }

    /// The part is told to stop; only the first time counts.
    pub fn stop_requested(&mut self, now: Instant) {
        self.stop_requested_at.get_or_insert(now);
    }

    /// The part has said that it is done.
    pub fn part_is_done(&mut self) {
        self.done = true;
    }

    /// Whether the part ends now.
    pub fn is_over(&self, now: Instant, no_caller_waits: bool) -> bool {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return self.done;
        };
        let since = now.saturating_duration_since(stop_requested_at);
        let min_passed = since >= self.periods.min;
        (self.done && min_passed && no_caller_waits) || since >= self.periods.max
    }
}
