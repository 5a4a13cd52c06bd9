//! Log messages and statistics about catching up with the cluster state.

use super::super::Node;
use crate::sans_io::Now;

/// Interval between progress messages of a node without a fresh copy, as a multiple of the maximum watch age.
const REPORT_INTERVAL_FACTOR: u64 = 2;

/// Events since the copy was last fresh, or since the process started. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// Time at which the copy was last fresh, or at which the process started.
    since: u64,
    next_report: u64,
    /// Batches received from leaders.
    pub batches: u64,
    /// Snapshot chunks received.
    pub chunks: u64,
    /// Received snapshot chunks that were discarded.
    pub unused_chunks: u64,
    /// Number of switches to another replica after a timeout.
    pub replica_switches: u64,
    /// Calls rejected because there was no fresh copy to answer from.
    pub rejected_calls: u64,
}

impl CatchUp {
    pub(super) fn new(now: Now) -> Self {
        Self {
            since: now.mono,
            ..Self::default()
        }
    }

    fn summary(&self) -> String {
        format!(
            "{} batches and {} chunks received, {} chunks discarded, {} replica timeouts, {} calls rejected",
            self.batches,
            self.chunks,
            self.unused_chunks,
            self.replica_switches,
            self.rejected_calls
        )
    }
}

impl Node {
    /// While there is no fresh copy, logs the progress towards one at intervals.
    pub(in crate::node) fn report_catch_up(&mut self, now: Now) {
        let max_age_ms = self.settings.bounds.max_watch_age();
        if self.is_fresh(now) {
            return self.finish_catch_up(now);
        }
        let catch_up = &mut self.watch.catch_up;
        if catch_up.next_report == 0 {
            catch_up.next_report = now.mono + max_age_ms;
        }
        if now.mono < catch_up.next_report {
            return;
        }
        catch_up.next_report = now.mono + REPORT_INTERVAL_FACTOR * max_age_ms;
        let stale_ms = now.mono.saturating_sub(catch_up.since);
        let summary = catch_up.summary();
        let incoming = self.watch.incoming.identity();
        self.log(format!(
            "no fresh copy of the cluster state for {stale_ms} ms: following '{}' from index {}, received {} of {} bytes of a snapshot at index {}; {summary}",
            self.watch.replica,
            self.state.applied_index,
            self.watch.incoming.received(),
            incoming.total,
            incoming.index,
        ));
    }

    /// Logs the end of a long catch-up, and resets the statistics.
    fn finish_catch_up(&mut self, now: Now) {
        let missing_ms = now.mono.saturating_sub(self.watch.catch_up.since);
        if missing_ms > self.settings.bounds.max_watch_age() {
            let summary = self.watch.catch_up.summary();
            let index = self.state.applied_index;
            self.log(format!(
                "copy of the cluster state is fresh at index {index} after {missing_ms} ms; {summary}"
            ));
        }
        self.watch.catch_up = CatchUp::new(now);
    }
}
