//! Cluster and worker status for operators, from this node's copy of the cluster state.

use crate::config::{Queue, Zone};
use crate::node::Node;
use crate::sans_io::Response;
use crate::state::{AttemptState, Change, ClusterState, Worker};
use crate::wire::NodeProgress;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Maximum number of recent configuration changes in the status.
const MAX_CHANGES: usize = 20;

impl Node {
    pub(super) fn status_response(&self, nodes: &[NodeProgress]) -> Response {
        let state = &self.state;
        let queues = state.config.queues.iter();
        let queues: BTreeMap<&String, Value> = queues
            .map(|(name, queue)| (name, queue_status(state, name, queue)))
            .collect();
        let zones = state.config.zones.iter();
        let zones: BTreeMap<&String, Value> = zones
            .map(|(name, zone)| (name, zone_status(state, name, zone)))
            .collect();
        let nodes_status: Vec<Value> = nodes.iter().map(node_status).collect();
        let latest = state.changes.iter().rev().take(MAX_CHANGES);
        let changes: Vec<Value> = latest.map(|change| change_status(change, nodes)).collect();
        let jobs = json!({"open": state.unfinished_jobs.len(), "kept": state.jobs.len(), "unsureSends": unsure_attempt_count(state)});
        Response::new(
            200,
            json!({"cluster": state.cluster, "place": state.applied_index, "at": state.at, "version": state.version, "jobs": jobs,
                   "queues": queues, "zones": zones, "nodes": nodes_status, "cores": state.replicas, "grants": state.leases, "changes": changes}),
        )
    }

    pub(super) fn workers_response(&self) -> Response {
        let workers = self.state.workers.values();
        let workers: Vec<Value> = workers.map(worker_status).collect();
        Response::new(200, json!({"workers": workers}))
    }
}

fn queue_status(state: &ClusterState, name: &str, queue: &Queue) -> Value {
    let stats = state.queues.get(name).cloned().unwrap_or_default();
    let is_in_window = |ended_at: u64| ended_at + queue.window_ms >= state.at;
    let in_window = stats
        .job_ends
        .iter()
        .filter(|(ended_at, _)| is_in_window(*ended_at));
    let ended = in_window.clone().count();
    let missed = in_window.filter(|(_, kept)| !kept).count();
    let window = json!({"ended": ended, "missed": missed, "allowancePercent": queue.failure_allowance_percent, "spent": state.is_allowance_exhausted(name)});
    json!({"unfinished": stats.unfinished, "running": stats.running, "copies": stats.copies, "kept": stats.kept, "missed": stats.missed,
           "beta": state.beta(name), "window": window, "copiesEver": stats.copies_started, "copiesWon": stats.copies_won})
}

fn zone_status(state: &ClusterState, name: &str, zone: &Zone) -> Value {
    let zone_state = if zone.state.is_empty() {
        "serving"
    } else {
        &zone.state
    };
    let is_present_in_zone = |worker: &&Worker| worker.info.zone == name && !worker.lost;
    let workers: Vec<&Worker> = state.workers.values().filter(is_present_in_zone).collect();
    let running: usize = workers.iter().map(|worker| worker.attempts.len()).sum();
    json!({"state": zone_state, "workers": workers.len(), "running": running, "empty": running == 0})
}

fn node_status(node: &NodeProgress) -> Value {
    json!({"node": node.node, "place": node.log_index, "version": node.version, "silentMs": node.age})
}

fn change_status(change: &Change, nodes: &[NodeProgress]) -> Value {
    let in_force = nodes
        .iter()
        .filter(|node| node.log_index >= change.log_index)
        .count();
    json!({"change": change.change, "version": change.version, "at": change.at, "inForceOn": in_force})
}

fn unsure_attempt_count(state: &ClusterState) -> usize {
    let is_unsure = |number: &&u64| {
        let known = state.attempt(**number);
        known.is_some_and(|(_, _, attempt)| attempt.state == AttemptState::Unsure)
    };
    state.live.keys().filter(is_unsure).count()
}

fn worker_status(worker: &Worker) -> Value {
    json!({"worker": worker.info.worker, "zone": worker.info.zone, "service": worker.info.service, "labels": worker.info.labels, "room": worker.info.cpu, "used": worker.used.cpu, "memory": worker.info.memory, "memoryUsed": worker.used.memory,
           "leaving": worker.info.leaving, "lost": worker.lost, "onProbation": worker.probation > 0, "incarnation": worker.info.incarnation, "sends": worker.attempts})
}
