//! What operators are told of the whole system, as this node's record has it.

use crate::config::{Queue, Zone};
use crate::node::Node;
use crate::sans_io::Response;
use crate::state::{AttemptState, Change, ClusterState, Worker};
use crate::wire::NodeProgress;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// So many of the latest changes are told of.
const CHANGES: usize = 20;

impl Node {
    pub(super) fn status_response(&self, nodes: &[NodeProgress]) -> Response {
        let r = &self.state;
        let queues = r.config.queues.iter();
        let queues: BTreeMap<&String, Value> =
            queues.map(|(k, q)| (k, queue_status(r, k, q))).collect();
        let zones = r.config.zones.iter();
        let zones: BTreeMap<&String, Value> =
            zones.map(|(k, z)| (k, zone_status(r, k, z))).collect();
        let nodes_status: Vec<Value> = nodes.iter().map(node_status).collect();
        let latest = r.changes.iter().rev().take(CHANGES);
        let changes: Vec<Value> = latest.map(|c| change_status(c, nodes)).collect();
        let jobs =
            json!({"open": r.open.len(), "kept": r.jobs.len(), "unsureSends": unsure_sends(r)});
        Response::new(
            200,
            json!({"cluster": r.cluster, "place": r.applied_index, "at": r.at, "version": r.version, "jobs": jobs,
                   "queues": queues, "zones": zones, "nodes": nodes_status, "cores": r.replicas, "grants": r.leases, "changes": changes}),
        )
    }

    pub(super) fn workers_response(&self) -> Response {
        let workers = self.state.workers.values();
        let workers: Vec<Value> = workers.map(worker_status).collect();
        Response::new(200, json!({"workers": workers}))
    }
}

fn queue_status(r: &ClusterState, name: &str, queue: &Queue) -> Value {
    let stats = r.queues.get(name).cloned().unwrap_or_default();
    let is_in_window = |at: u64| at + queue.window_ms >= r.at;
    let within = stats.promises.iter().filter(|(at, _)| is_in_window(*at));
    let ended = within.clone().count();
    let missed = within.filter(|(_, kept)| !kept).count();
    let window = json!({"ended": ended, "missed": missed, "allowancePercent": queue.failure_allowance_percent, "spent": r.allowance_spent(name)});
    json!({"unfinished": stats.unfinished, "running": stats.running, "copies": stats.copies, "kept": stats.kept, "missed": stats.missed,
           "beta": r.beta(name), "window": window, "copiesEver": stats.copies_ever, "copiesWon": stats.copies_won})
}

fn zone_status(r: &ClusterState, name: &str, zone: &Zone) -> Value {
    let state = if zone.state.is_empty() {
        "serving"
    } else {
        &zone.state
    };
    let of_zone = |w: &&Worker| w.info.zone == name && !w.lost;
    let workers: Vec<&Worker> = r.workers.values().filter(of_zone).collect();
    let running: usize = workers.iter().map(|w| w.attempts.len()).sum();
    json!({"state": state, "workers": workers.len(), "running": running, "empty": running == 0})
}

fn node_status(n: &NodeProgress) -> Value {
    json!({"node": n.node, "place": n.log_index, "version": n.version, "silentMs": n.age})
}

fn change_status(c: &Change, nodes: &[NodeProgress]) -> Value {
    let in_force = nodes.iter().filter(|n| n.log_index >= c.log_index).count();
    json!({"change": c.change, "version": c.version, "at": c.at, "inForceOn": in_force})
}

fn unsure_sends(r: &ClusterState) -> usize {
    let is_unsure = |no: &&u64| {
        let attempt = r.attempt(**no);
        attempt.is_some_and(|(_, _, s)| s.state == AttemptState::Unsure)
    };
    r.live.keys().filter(is_unsure).count()
}

fn worker_status(w: &Worker) -> Value {
    json!({"worker": w.info.worker, "zone": w.info.zone, "service": w.info.service, "labels": w.info.labels, "room": w.info.cpu, "used": w.used.cpu, "memory": w.info.memory, "memoryUsed": w.used.memory,
           "leaving": w.info.leaving, "lost": w.lost, "onProbation": w.probation > 0, "incarnation": w.info.incarnation, "sends": w.attempts})
}
