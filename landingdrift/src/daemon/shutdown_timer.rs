//! Decides when the control thread of a part ends.

use crate::settings::Bounds;
use std::time::{Duration, Instant};

/// The shortest and the longest time that a part keeps running after a request to stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriod {
    /// The part runs at least this long, even if it is done earlier, so that its callers can move to another process.
    pub min: Duration,
    /// The part ends after this time, even if it is not done.
    pub max: Duration,
}

impl GracePeriod {
    /// The grace period that follows from the time bounds in the settings.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Self {
            min: Duration::from_millis(bounds.serving_time_after_stop()),
            max: Duration::from_millis(bounds.parts_deadline()),
        }
    }
}

/// Decides when the control thread of a part ends. A part that was asked to stop keeps running until its callers
/// have had time to find another process and no call is pending, or until the longest grace period is over. A part that
/// exits without a request to stop ends at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownTimer {
    /// The shortest and the longest time that the shutdown may take.
    pub grace_period: GracePeriod,
    stop_requested_at: Option<Instant>,
    done: bool,
}

impl ShutdownTimer {
    /// A timer for a part that has not been asked to stop yet.
    pub fn new(grace_period: GracePeriod) -> Self {
        Self {
            grace_period,
            ..Self::default()
        }
    }

    /// Starts the grace period; later calls have no effect.
    pub fn stop_requested(&mut self, now: Instant) {
        self.stop_requested_at.get_or_insert(now);
    }

    /// Records that the part has emitted [`Effect::Exit`](crate::sans_io::Effect::Exit).
    pub fn part_done(&mut self) {
        self.done = true;
    }

    /// Whether the control thread should end now.
    pub fn should_end(&self, now: Instant, no_pending_calls: bool) -> bool {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return self.done;
        };
        let elapsed = now.saturating_duration_since(stop_requested_at);
        let min_passed = elapsed >= self.grace_period.min;
        (self.done && min_passed && no_pending_calls) || elapsed >= self.grace_period.max
    }
}
