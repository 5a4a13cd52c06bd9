use crate::node::Node;
use crate::sans_io::Response;
use crate::wire::NodeProgress;
use serde_json::{json, Value};
use std::collections::BTreeMap;

impl Node {
    pub(super) fn status_response(&self, nodes: &[NodeProgress]) -> Response {
        let r = &self.state;
        let queues: BTreeMap<&String, Value> = r
            .config
            .queues
            .iter()
            .map(|(k, q)| {
                let t = r.queues.get(k).cloned().unwrap_or_default();
                let within: Vec<&(u64, bool)> = t.promises.iter().filter(|(p, _)| p + q.window_ms >= r.at).collect();
                let missed = within.iter().filter(|(_, kept)| !kept).count();
                (
                    k,
                    json!({"unfinished": t.unfinished, "running": t.running, "copies": t.copies, "kept": t.kept, "missed": t.missed, "beta": r.beta(k),
                           "window": {"ended": within.len(), "missed": missed, "allowancePercent": q.failure_allowance_percent, "spent": r.allowance_spent(k)},
                           "copiesEver": t.copies_ever, "copiesWon": t.copies_won}),
                )
            })
            .collect();
        let watchers: Vec<Value> = nodes.iter().map(|n| json!({"node": n.node, "place": n.log_index, "version": n.version, "silentMs": n.age})).collect();
        let changes: Vec<Value> = r
            .changes
            .iter()
            .rev()
            .take(20)
            .map(|c| json!({"change": c.change, "version": c.version, "at": c.at, "inForceOn": nodes.iter().filter(|n| n.log_index >= c.log_index).count()}))
            .collect();
        let zones: BTreeMap<&String, Value> = r
            .config
            .zones
            .iter()
            .map(|(z, d)| {
                let (workers, running) = r.workers.values().filter(|w| w.info.zone == *z && !w.lost).fold((0, 0), |(n, s), w| (n + 1, s + w.attempts.len()));
                (
                    z,
                    json!({"state": if d.state.is_empty() { "serving" } else { &d.state }, "workers": workers, "running": running, "empty": running == 0}),
                )
            })
            .collect();
        let unsure = r
            .live
            .keys()
            .filter(|no| {
                r.attempt(**no)
                    .is_some_and(|(_, _, s)| s.state == crate::state::AttemptState::Unsure)
            })
            .count();
        Response::new(
            200,
            json!({"cluster": r.cluster, "place": r.applied_index, "at": r.at, "version": r.version, "jobs": {"open": r.open.len(), "kept": r.jobs.len(), "unsureSends": unsure},
                   "queues": queues, "zones": zones, "nodes": watchers, "cores": r.replicas, "grants": r.leases, "changes": changes}),
        )
    }

    pub(super) fn workers_response(&self) -> Response {
        let of: Vec<Value> = self
            .state
            .workers
            .values()
            .map(|w| {
                json!({"worker": w.info.worker, "zone": w.info.zone, "service": w.info.service, "labels": w.info.labels, "room": w.info.cpu, "used": w.used.cpu, "memory": w.info.memory, "memoryUsed": w.used.memory,
                       "leaving": w.info.leaving, "lost": w.lost, "onProbation": w.probation > 0, "incarnation": w.info.incarnation, "sends": w.attempts})
            })
            .collect();
        Response::new(200, json!({"workers": of}))
    }
}
