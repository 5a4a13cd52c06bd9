//! Grants of leases, and membership of nodes and replicas.
//!
//! The leader checks the rules about reachability before it proposes; all other rules are checked here.

use super::{ensure, ApplyResult};
use crate::state::{ClusterState, Lease, NodeMember, Rejection, ReplicaMember};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Maximum number of gone nodes that are remembered.
const MAX_GONE_NODES: usize = 64;

impl ClusterState {
    /// Grants a lease to a node under a new epoch. `from_epoch` is the epoch of the grant that it replaces; 0 for none.
    pub(super) fn grant_lease(
        &mut self,
        lease: &str,
        holder: &str,
        from_epoch: u64,
    ) -> ApplyResult {
        let current = self.leases.get(lease).map_or(0, |lease| lease.epoch);
        ensure(current == from_epoch, Rejection::StaleLease)?;
        let is_alive = self.nodes.get(holder).is_some_and(|node| node.alive);
        ensure(
            holder.is_empty() || is_alive,
            Rejection::Unknown {
                what: format!("living node '{holder}'"),
            },
        )?;
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        let granted = Lease {
            holder: holder.into(),
            epoch,
        };
        self.leases.insert(lease.into(), granted);
        Ok(json!({"epoch": epoch}))
    }

    /// Adds a node, or marks it as alive again.
    pub(super) fn register_node(&mut self, node: &str, zone: &str, http: &str) -> ApplyResult {
        let member = NodeMember {
            zone: zone.into(),
            http: http.into(),
            alive: true,
        };
        self.nodes.insert(node.into(), member);
        Ok(Value::Null)
    }

    /// Marks a node as gone, and drops gone nodes beyond `MAX_GONE_NODES` to bound the table; holders of leases are never
    /// dropped.
    pub(super) fn mark_node_gone(&mut self, node: &str) -> ApplyResult {
        if let Some(member) = self.nodes.get_mut(node) {
            member.alive = false;
        }
        let gone = self.nodes.iter().filter(|(_, member)| !member.alive);
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone.into_iter().rev().skip(MAX_GONE_NODES) {
            let holds_lease = self.leases.values().any(|lease| lease.holder == name);
            if !holds_lease {
                self.nodes.remove(&name);
            }
        }
        Ok(Value::Null)
    }

    /// Sets the initial replicas; rejected if there already are any.
    pub(super) fn found_cluster(
        &mut self,
        replicas: &BTreeMap<String, ReplicaMember>,
    ) -> ApplyResult {
        ensure(self.replicas.is_empty(), Rejection::Ended)?;
        self.replicas = replicas.clone();
        Ok(Value::Null)
    }

    /// Admits, promotes or demotes a replica.
    pub(super) fn update_replica(&mut self, replica: &str, member: &ReplicaMember) -> ApplyResult {
        self.replicas.insert(replica.into(), member.clone());
        Ok(Value::Null)
    }

    /// Removes a replica from the membership; rejected if the member has another disk.
    pub(super) fn remove_replica(&mut self, replica: &str, disk: u64) -> ApplyResult {
        let member = self.replicas.get(replica);
        ensure(
            member.is_some_and(|member| member.disk == disk),
            Rejection::Unknown {
                what: format!("replica '{replica}' with this disk"),
            },
        )?;
        self.replicas.remove(replica);
        Ok(Value::Null)
    }
}
