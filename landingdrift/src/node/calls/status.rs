use crate::kernel::Response;
use crate::node::Node;
use crate::wire::NodeProgress;
use serde_json::{json, Value};
use std::collections::BTreeMap;

impl Node {
    pub(super) fn status_response(&self, nodes: &[NodeProgress]) -> Response {
        let r = &self.record;
        let queues: BTreeMap<&String, Value> = r
            .desired
            .queues
            .iter()
            .map(|(k, q)| {
                let t = r.queues.get(k).cloned().unwrap_or_default();
                let within: Vec<&(u64, bool)> = t.promises.iter().filter(|(p, _)| p + q.window_ms >= r.at).collect();
                let missed = within.iter().filter(|(_, kept)| !kept).count();
                (
                    k,
                    json!({"unfinished": t.unfinished, "running": t.running, "copies": t.copies, "kept": t.kept, "missed": t.missed, "beta": r.beta(k),
                           "window": {"ended": within.len(), "missed": missed, "allowancePercent": q.defect_allowance_percent, "spent": r.allowance_spent(k)},
                           "copiesEver": t.copies_ever, "copiesWon": t.copies_won}),
                )
            })
            .collect();
        let followers: Vec<Value> = nodes.iter().map(|n| json!({"node": n.node, "place": n.place, "version": n.version, "silentMs": n.age})).collect();
        let changes: Vec<Value> = r
            .changes
            .iter()
            .rev()
            .take(20)
            .map(|c| json!({"change": c.change, "version": c.version, "at": c.at, "inForceOn": nodes.iter().filter(|n| n.place >= c.place).count()}))
            .collect();
        let zones: BTreeMap<&String, Value> = r
            .desired
            .zones
            .iter()
            .map(|(z, d)| {
                let (workers, running) = r.workers.values().filter(|w| w.facts.zone == *z && !w.lost).fold((0, 0), |(n, s), w| (n + 1, s + w.sends.len()));
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
                r.send(**no)
                    .is_some_and(|(_, _, s)| s.state == crate::record::AttemptState::Unsure)
            })
            .count();
        Response::new(
            200,
            json!({"cluster": r.cluster, "place": r.place, "at": r.at, "version": r.version, "jobs": {"open": r.open.len(), "kept": r.jobs.len(), "unsureSends": unsure},
                   "queues": queues, "zones": zones, "nodes": followers, "cores": r.cores, "grants": r.leases, "changes": changes}),
        )
    }

    pub(super) fn workers_response(&self) -> Response {
        let of: Vec<Value> = self
            .record
            .workers
            .values()
            .map(|w| {
                json!({"worker": w.facts.worker, "zone": w.facts.zone, "service": w.facts.service, "labels": w.facts.labels, "room": w.facts.room, "used": w.used.cpu, "memory": w.facts.memory, "memoryUsed": w.used.memory,
                       "leaving": w.facts.leaving, "lost": w.lost, "onProbation": w.probation > 0, "incarnation": w.facts.incarnation, "sends": w.sends})
            })
            .collect();
        Response::new(200, json!({"workers": of}))
    }
}
