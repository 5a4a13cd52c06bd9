//! Introductions of this node to the worker proxies of silent workers.
//!
//! A worker proxy keeps nothing on disk. After a restart it knows only its seeds, which may all be gone by then. The zone
//! scheduler knows the proxy from earlier heartbeats, and sends it a shuffle from which the proxy learns this node.

use super::WorkerState;
use crate::node::Node;
use crate::sans_io::Now;
use crate::settings::Bounds;
use crate::wire::Body;
use std::collections::BTreeSet;

/// Introductions begin when this many heartbeats are missing.
const MISSING_HEARTBEATS: u64 = 4;
/// Introductions end when a worker has been silent for this many times its timeout.
const MAX_SILENT_WORKER_TIMEOUTS: u64 = 4;

impl WorkerState {
    /// Whether the worker is silent, but not for so long that it is probably gone.
    fn needs_introduction(&self, now: Now, bounds: &Bounds) -> bool {
        let silent_ms = now.mono.saturating_sub(self.last_heartbeat);
        let silent_after = MISSING_HEARTBEATS * bounds.worker_heartbeat_interval();
        let gone_after = MAX_SILENT_WORKER_TIMEOUTS * bounds.worker_timeout();
        (silent_after..gone_after).contains(&silent_ms)
    }
}

impl Node {
    /// Sends introductions to the proxies of all silent workers when a round is due.
    pub(super) fn introductions_tick(&mut self, now: Now) {
        if now.mono < self.next_introductions_at {
            return;
        }
        self.next_introductions_at = now.mono + self.settings.bounds.shuffle_interval();
        for proxy in self.proxies_of_silent_workers(now) {
            let shuffle = self.peer_sampler.introduction(&mut self.rng);
            self.count("introductions", 1);
            self.send(&proxy, Body::Shuffle(Box::new(shuffle)));
        }
    }

    fn proxies_of_silent_workers(&self, now: Now) -> BTreeSet<String> {
        let bounds = &self.settings.bounds;
        let zone_schedulers = self.zone_schedulers.values();
        let workers = zone_schedulers.flat_map(|zone_scheduler| zone_scheduler.workers.values());
        let silent = workers.filter(|worker| worker.needs_introduction(now, bounds));
        silent.filter_map(|worker| worker.proxy.clone()).collect()
    }

    /// Records which process forwarded a worker's heartbeat.
    pub(in crate::node) fn record_proxy(&mut self, zone: &str, worker: &str, proxy: &str) {
        if let Some(worker) = self.worker_mut(zone, worker) {
            worker.proxy = Some(proxy.into());
        }
    }
}
