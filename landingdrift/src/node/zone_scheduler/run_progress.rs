//! Progress of a run over time, from its worker's heartbeats.

/// A progress report with the time at which it was received, in monotonic milliseconds.
#[derive(Clone, Copy, Debug)]
struct ProgressPoint {
    at_ms: u64,
    /// In parts of a thousand.
    permille: u32,
}

/// The reports that determine a run's rate of progress and for how long it has stalled.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// The start of the rate measurement: the first report, or the report at which the run last restarted its work.
    first: ProgressPoint,
    /// The last report that differed from the one before.
    last_change: ProgressPoint,
}

impl RunProgress {
    /// Starts with the first report of a run.
    pub fn new(at_ms: u64, permille: u32) -> Self {
        let point = ProgressPoint { at_ms, permille };
        Self {
            first: point,
            last_change: point,
        }
    }

    /// Time since the first report, or since the run last restarted its work, in milliseconds.
    pub fn age(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.first.at_ms)
    }

    /// Records a later report.
    pub fn record(&mut self, at_ms: u64, permille: u32) {
        if permille == self.last_change.permille {
            return;
        }
        let point = ProgressPoint { at_ms, permille };
        // Decreased progress means that the run has restarted its work, so the rate is measured from here.
        if permille < self.last_change.permille {
            self.first = point;
        }
        self.last_change = point;
    }

    /// The latest reported progress, in permille.
    pub(super) fn permille(&self) -> u32 {
        self.last_change.permille
    }

    /// Time since the reported progress last changed, in milliseconds.
    pub(super) fn unchanged_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_change.at_ms)
    }

    /// Rate of progress in permille per millisecond; none until the run has been observed for `min_observation_ms`.
    pub(super) fn rate(&self, now_ms: u64, min_observation_ms: u64) -> Option<f64> {
        let observed_ms = self.age(now_ms);
        if observed_ms < min_observation_ms {
            return None;
        }
        let advanced = f64::from(self.last_change.permille - self.first.permille);
        Some(advanced / observed_ms as f64)
    }
}
