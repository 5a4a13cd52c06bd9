use super::ApplyResult;
use crate::state::{ClusterState, Lease, NodeMember, Rejection, ReplicaMember};
use serde_json::{json, Value};
use std::collections::BTreeMap;

impl ClusterState {
    pub(super) fn grant(&mut self, lease: &str, holder: &str, from_epoch: u64) -> ApplyResult {
        let current = self.leases.get(lease).map_or(0, |g| g.epoch);
        (current == from_epoch)
            .then_some(())
            .ok_or(Rejection::StaleLease)?;
        let alive = holder.is_empty() || self.nodes.get(holder).is_some_and(|n| n.alive);
        alive.then_some(()).ok_or(Rejection::Unknown {
            what: format!("living node '{holder}'"),
        })?;
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        self.leases.insert(
            lease.into(),
            Lease {
                holder: holder.into(),
                epoch,
            },
        );
        Ok(json!({"epoch": epoch}))
    }

    pub(super) fn node(&mut self, node: &str, zone: &str, http: &str) -> ApplyResult {
        self.nodes.insert(
            node.into(),
            NodeMember {
                zone: zone.into(),
                http: http.into(),
                alive: true,
            },
        );
        Ok(Value::Null)
    }

    pub(super) fn remove_node(&mut self, node: &str) -> ApplyResult {
        self.nodes
            .get_mut(node)
            .iter_mut()
            .for_each(|n| n.alive = false);
        // The newest of the dead are remembered, so that the table stays bounded.
        let dead: Vec<String> = self
            .nodes
            .iter()
            .filter(|(_, n)| !n.alive)
            .map(|(k, _)| k.clone())
            .collect();
        let held = |n: &str| self.leases.values().any(|g| g.holder == n);
        let drop: Vec<String> = dead
            .into_iter()
            .rev()
            .skip(64)
            .filter(|n| !held(n))
            .collect();
        drop.iter().for_each(|n| {
            self.nodes.remove(n);
        });
        Ok(Value::Null)
    }
}

/// Replicas of the log. The rules that need no view of who is reachable are checked here, whoever proposed a change.
impl ClusterState {
    pub(super) fn found(&mut self, replicas: &BTreeMap<String, ReplicaMember>) -> ApplyResult {
        if !self.replicas.is_empty() {
            return Err(Rejection::Ended);
        }
        self.replicas = replicas.clone();
        Ok(Value::Null)
    }

    pub(super) fn replica(&mut self, replica: &str, member: &ReplicaMember) -> ApplyResult {
        self.replicas.insert(replica.into(), member.clone());
        Ok(Value::Null)
    }

    pub(super) fn remove_replica(&mut self, replica: &str, disk: u64) -> ApplyResult {
        let known = self.replicas.get(replica).is_some_and(|m| m.disk == disk);
        if !known {
            return Err(Rejection::Unknown {
                what: format!("replica '{replica}' with this disk"),
            });
        }
        self.replicas.remove(replica);
        Ok(Value::Null)
    }
}
