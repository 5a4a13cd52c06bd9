use crate::settings::Bounds;
use std::time::{Duration, Instant};

/// How long a part is kept after it was told to stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct GracePeriods {
    /// It goes on for so long, even where it is done before.
    pub serve: Duration,
    /// It is ended after so long, even where it is not done.
    pub most: Duration,
}

impl GracePeriods {
    /// The spans that the bounds allow for.
    pub fn of(bounds: &Bounds) -> Self {
        Self {
            serve: Duration::from_millis(bounds.serve_on()),
            most: Duration::from_millis(bounds.end_parts()),
        }
    }
}

/// When the thread of a part ends. A part that was told to stop is stepped on until its callers have gone elsewhere,
/// then until no caller waits; one that ends by itself ends at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShutdownTimer {
    pub spans: GracePeriods,
    asked: Option<Instant>,
    done: bool,
}

impl ShutdownTimer {
    /// Nothing has been told yet.
    pub fn new(spans: GracePeriods) -> Self {
        Self {
            spans,
            ..Self::default()
        }
    }

    /// The part is told to stop; only the first time counts.
    pub fn ask(&mut self, now: Instant) {
        self.asked.get_or_insert(now);
    }

    /// The part has said that it is done.
    pub fn part_is_done(&mut self) {
        self.done = true;
    }

    /// Whether the part is stepped no more.
    pub fn over(&self, now: Instant, nobody_waits: bool) -> bool {
        let Some(asked) = self.asked else {
            return self.done;
        };
        let since = now.saturating_duration_since(asked);
        let served = since >= self.spans.serve;
        (self.done && served && nobody_waits) || since >= self.spans.most
    }
}
