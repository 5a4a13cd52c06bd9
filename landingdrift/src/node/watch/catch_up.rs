//! Diagnostics of a missing or outdated copy of the cluster state: what was received meanwhile, for the log.

use super::super::Node;
use crate::sans_io::Now;

/// Interval between progress reports of a node without a fresh copy, in multiples of the bound on freshness.
const REPORT_INTERVAL_FRESH_BOUNDS: u64 = 2;

/// Events since the copy was last fresh, or since the process started. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    since: u64,
    next_report: u64,
    /// Batches received from leaders.
    pub batches: u64,
    /// Snapshot chunks received.
    pub chunks: u64,
    /// Received snapshot chunks that were discarded.
    pub unused_chunks: u64,
    /// How often the node switched to another replica because the current one timed out.
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
    /// Logs at intervals that the copy is missing or outdated, and what was received since it was fresh.
    pub(in crate::node) fn report_catch_up(&mut self, now: Now) {
        let fresh_ms = self.settings.bounds.max_watch_age();
        if self.fresh(now) {
            return self.log_fresh_copy(now);
        }
        let catch_up = &mut self.watch.catch_up;
        if catch_up.next_report == 0 {
            catch_up.next_report = now.mono + fresh_ms;
        }
        if now.mono < catch_up.next_report {
            return;
        }
        catch_up.next_report = now.mono + REPORT_INTERVAL_FRESH_BOUNDS * fresh_ms;
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

    fn log_fresh_copy(&mut self, now: Now) {
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
