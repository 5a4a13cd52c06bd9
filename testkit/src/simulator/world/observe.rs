//! Observation of the running system: available and ready processes, and the configuration in force.

use super::schedule::PROBE_EVERY_MS;
use super::{Availability, Process, World};
use crate::history::Event;
use landingdrift::consensus::Replica;
use landingdrift::state::ClusterState;

/// The interval at which the platform checks which nodes are ready, in milliseconds.
const READINESS_CHECK_MS: u64 = PROBE_EVERY_MS;
/// The interval at which an operator reads the configuration, in milliseconds.
const CONFIG_READ_MS: u64 = 3000;

impl World {
    /// Records the current availability if it has changed. Updates the client's list of ready nodes at intervals of
    /// [`READINESS_CHECK_MS`].
    pub(in crate::simulator) fn observe_availability(&mut self) {
        let availability = self.current_availability();
        if availability != self.availability {
            self.availability = availability.clone();
            self.record(Event::Availability {
                replicas: availability.replicas,
                nodes: availability.nodes,
            });
        }
        if self.now.is_multiple_of(READINESS_CHECK_MS) {
            let processes = 0..self.processes.len();
            let ready = processes.filter(|number| self.receives_clients(*number));
            let ready = ready.map(|number| self.processes[number].address.clone());
            self.client.ready_nodes = ready.collect();
        }
    }

    fn current_availability(&mut self) -> Availability {
        let replicas = self.processes.iter().filter_map(Process::replica);
        let states = replicas.map(Replica::state);
        let newest = states.max_by_key(|state| state.applied_index);
        let applied_index = newest.map_or(0, |state| state.applied_index);
        let group = self.largest_group(newest);
        let reaches_group = |number: usize| {
            let process = &self.processes[number];
            let is_responsive_node = process.is_node() && process.is_responsive();
            is_responsive_node && group.iter().all(|replica| self.is_linked(number, *replica))
        };
        let nodes = (0..self.processes.len()).filter(|number| reaches_group(*number));
        let nodes = nodes.map(|number| self.processes[number].address.clone());
        let availability = Availability {
            replicas: group.len(),
            nodes: nodes.collect(),
        };
        self.highest_applied_index = self.highest_applied_index.max(applied_index);
        availability
    }

    /// The largest group formed by an available replica and the available replicas connected to it.
    fn largest_group(&self, newest: Option<&ClusterState>) -> Vec<usize> {
        let processes = 0..self.processes.len();
        let replicas: Vec<usize> = processes
            .filter(|number| is_available(&self.processes[*number], newest))
            .collect();
        let group_of = |replica: &usize| -> Vec<usize> {
            let available = replicas.iter().copied();
            available
                .filter(|other| other == replica || self.is_linked(*replica, *other))
                .collect()
        };
        let groups = replicas.iter().map(group_of);
        groups.max_by_key(Vec::len).unwrap_or_default()
    }

    /// Whether two processes can exchange messages: they are not partitioned and speak the same wire version.
    fn is_linked(&self, one: usize, other: usize) -> bool {
        self.processes[one].wire_version == self.processes[other].wire_version
            && !self.blocked.contains(&(one, other))
            && !self.blocked.contains(&(other, one))
    }

    /// Whether the platform routes clients to a process: a ready node, or any running node if `clients_call_any_node`.
    fn receives_clients(&self, number: usize) -> bool {
        let process = &self.processes[number];
        if self.scenario.clients_call_any_node {
            process.is_node() && process.is_responsive()
        } else {
            self.is_ready_node(number)
        }
    }

    fn is_ready_node(&self, number: usize) -> bool {
        let process = &self.processes[number];
        let node = process.node().filter(|_| !process.is_frozen);
        node.is_some_and(|node| node.is_ready(self.clocks(number)))
    }

    /// Records the version in force and the readiness of each node. Makes an operator read the configuration at
    /// intervals of [`CONFIG_READ_MS`].
    pub(super) fn probe(&mut self) {
        for number in 0..self.processes.len() {
            let process = &self.processes[number];
            let Some(node) = process.node().filter(|_| !process.is_frozen) else {
                continue;
            };
            let event = Event::NodeVersion {
                node: process.address.clone(),
                version: node.state().version,
                change: change_id_in_notes(node.state()),
                ready: node.is_ready(self.clocks(number)),
            };
            self.record(event);
        }
        if self.now.is_multiple_of(CONFIG_READ_MS) {
            self.operators[1].queue_read();
        }
    }
}

/// Whether a process is a running, unfrozen voter that has caught up again after a loss of data. Before the cluster has
/// members, every replica counts as a voter.
fn is_available(process: &Process, newest: Option<&ClusterState>) -> bool {
    let Some(replica) = process.replica() else {
        return false;
    };
    let is_voter = newest.is_none_or(|newest| {
        let members = &newest.replicas;
        let member = members.get(&process.address);
        members.is_empty() || member.is_some_and(|member| member.voter)
    });
    let has_recovered = replica.state().applied_index >= process.recovery_index;
    process.is_responsive() && is_voter && has_recovered
}

/// The id of the last change of the configuration, which operators write to the note `by`; empty if there is none.
pub(super) fn change_id_in_notes(state: &ClusterState) -> String {
    state.config.notes.get("by").cloned().unwrap_or_default()
}
