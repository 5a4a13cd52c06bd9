//! What the HTTP clients of a process make it hold, for metrics and logs.

use super::connections::{ConnectionCounts, Connections};
use super::memory_budget::{MemoryBudget, MemoryCounts};
use crate::sans_io::Response;
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which idle connections are closed and refusals are logged.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// The path of the metrics in requests to a part.
pub const METRICS_PATH: &str = "/metrics";

/// The memory and the connections of the HTTP clients of a process.
#[derive(Clone)]
pub struct ClientUsage {
    pub memory: MemoryBudget,
    pub connections: Connections,
}

/// Counts at one moment.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Counts {
    memory: MemoryCounts,
    connections: ConnectionCounts,
}

impl ClientUsage {
    fn counts(&self) -> Counts {
        Counts {
            memory: self.memory.counts(),
            connections: self.connections.counts(),
        }
    }

    /// Adds the metrics of the HTTP clients to a part's metrics.
    pub fn append_metrics(&self, response: &mut Response) {
        let Value::String(text) = &mut response.body else {
            return;
        };
        for (name, value) in self.counts().metrics() {
            text.push_str(&format!("landingdrift_{name} {value}\n"));
        }
    }

    /// Closes idle connections, and logs what was refused and closed. Runs until it is aborted.
    pub async fn supervise(self) {
        let mut logged = Counts::default();
        loop {
            sleep(CHECK_INTERVAL).await;
            self.connections.close_idle();
            let counts = self.counts();
            if counts.refusals() != logged.refusals() {
                counts.log_since(&logged);
                logged = counts;
            }
        }
    }
}

impl Counts {
    fn metrics(&self) -> [(&'static str, u64); 7] {
        [
            ("http_memory_used_bytes", self.memory.used_bytes),
            ("http_requests_without_memory", self.memory.refused),
            ("http_requests_evicted", self.memory.evicted),
            ("http_connections_open", self.connections.open),
            ("http_connections_evicted", self.connections.evicted),
            ("http_connections_refused", self.connections.refused),
            ("http_connections_timed_out", self.connections.timed_out),
        ]
    }

    /// The counts of what clients were refused.
    fn refusals(&self) -> [u64; 4] {
        [
            self.memory.refused,
            self.memory.evicted,
            self.connections.evicted,
            self.connections.refused,
        ]
    }

    fn log_since(&self, earlier: &Self) {
        let [without_memory, evicted, closed, refused] = self.refusals();
        let before = earlier.refusals();
        log::warn!(
            "HTTP clients exceed the limits: refused {} requests for lack of memory and ended {} that had stalled, closed {} connections and refused {}; look for clients that open many connections or send large bodies slowly, or raise limits.http_memory_bytes and limits.http_connections",
            without_memory - before[0],
            evicted - before[1],
            closed - before[2],
            refused - before[3],
        );
    }
}
