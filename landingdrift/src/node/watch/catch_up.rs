//! What a node notes while its copy of the cluster state is missing or old, so that its log tells why.

use super::super::Node;
use crate::sans_io::Now;

/// A node without a fresh copy logs its progress whenever so many times the bound on freshness have passed.
const REPORT_FRESH_BOUNDS: u64 = 2;

/// What has happened since the copy was last fresh, or since the process started. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    since: u64,
    next_report: u64,
    /// Answers of replicas that lead.
    pub batches: u64,
    /// Chunks of snapshots that arrived.
    pub chunks: u64,
    /// Chunks among them that were of no use.
    pub unused_chunks: u64,
    /// How often another replica was chosen because the last one was silent.
    pub replica_switches: u64,
    /// Calls that were refused because there was no fresh copy to answer from.
    pub refused_calls: u64,
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
            "{} batches and {} chunks received, {} chunks of no use, {} replicas silent, {} calls refused",
            self.batches,
            self.chunks,
            self.unused_chunks,
            self.replica_switches,
            self.refused_calls
        )
    }
}

impl Node {
    /// Logs that the copy is missing or old, and what was received since it was fresh.
    pub(in crate::node) fn report_catch_up(&mut self, now: Now) {
        let fresh_ms = self.settings.bounds.max_watch_age();
        if self.fresh(now) {
            return self.note_fresh_copy(now);
        }
        let catch_up = &mut self.watch.catch_up;
        if catch_up.next_report == 0 {
            catch_up.next_report = now.mono + fresh_ms;
        }
        if now.mono < catch_up.next_report {
            return;
        }
        catch_up.next_report = now.mono + REPORT_FRESH_BOUNDS * fresh_ms;
        let silent_ms = now.mono.saturating_sub(catch_up.since);
        let summary = catch_up.summary();
        let incoming = self.watch.incoming.identity();
        self.log(format!(
            "no fresh copy of the cluster state for {silent_ms} ms: follows '{}' from index {}, has {} of {} bytes of a snapshot at index {}; {summary}",
            self.watch.replica,
            self.state.applied_index,
            self.watch.incoming.received(),
            incoming.total,
            incoming.index,
        ));
    }

    fn note_fresh_copy(&mut self, now: Now) {
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
