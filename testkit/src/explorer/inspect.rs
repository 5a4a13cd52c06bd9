//! Looks into the machines: feeds the checks of the invariants, and answers what tests and walks ask.

use super::cluster::{Cluster, Machine};
use super::observations::Invariant;
use landingdrift::state::ReplicaMember;
use landingdrift::wire::Entry;
use std::collections::BTreeMap;

/// The voting members of the cluster.
#[derive(Clone, Debug)]
pub struct Voters {
    /// How many members vote.
    pub total: usize,
    /// The machines of those whose disks are still there; a member whose disk was lost has none.
    pub intact: Vec<usize>,
}

/// Entries this far before the last committed one are not compared again.
const RECHECKED_ENTRIES: u64 = 8;

impl Cluster {
    /// An acknowledged entry is on as many disks as may be lost at once, and one more.
    pub(super) fn check_durable(&mut self, index: u64) {
        let term = self.observations.committed_term(index);
        let holds = |machine: &&Machine| {
            let loaded = machine.disk.load();
            let covered = loaded
                .snapshot
                .is_some_and(|snapshot| snapshot.index >= index);
            let same = |e: &Entry| e.index == index && term.is_none_or(|t| t == e.term);
            covered || loaded.entries.iter().any(same)
        };
        let disks = self.machines.iter().filter(holds).count();
        let needed = self.settings.voters as usize / 2 + 1;
        if disks < needed {
            let explanation =
                format!("entry {index} was acknowledged on {disks} disks, not {needed}");
            self.observations
                .violated(Invariant::AcknowledgedOnEnoughDisks, explanation);
        }
    }

    pub(super) fn observe(&mut self, machine_index: usize) {
        let Some(replica) = self.machines[machine_index].replica.as_ref() else {
            return;
        };
        let address = &self.machines[machine_index].address;
        if replica.is_leader() {
            let life = format!(
                "{address} (disk {})",
                self.machines[machine_index].disk_number
            );
            self.observations.observe_leader(replica.term(), &life);
        }
        let seen_to = self
            .observations
            .last_committed()
            .saturating_sub(RECHECKED_ENTRIES);
        for entry in replica.committed_entries().filter(|e| e.index > seen_to) {
            self.observations
                .observe_commit(address, entry.index, entry.term, &entry.command);
        }
    }

    /// Compares the states of all machines that have applied the same entries.
    pub fn check_states(&mut self) {
        for machine in &self.machines {
            if let Some(replica) = &machine.replica {
                let state = replica.state();
                self.observations.observe_state(
                    &machine.address,
                    state.applied_index,
                    &state.pack(),
                );
            }
        }
    }

    /// The membership by the machine that knows most.
    pub fn membership(&self) -> BTreeMap<String, ReplicaMember> {
        let replicas = self
            .machines
            .iter()
            .filter_map(|machine| machine.replica.as_ref());
        replicas
            .max_by_key(|replica| replica.state().applied_index)
            .map(|replica| replica.state().replicas.clone())
            .unwrap_or_default()
    }

    /// The machine that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |machine_index: &usize| {
            let machine = &self.machines[*machine_index];
            machine
                .replica
                .as_ref()
                .is_some_and(|replica| replica.is_leader())
                && !machine.frozen
        };
        (0..self.machines.len())
            .filter(leads)
            .max_by_key(|machine_index| {
                self.machines[*machine_index]
                    .replica
                    .as_ref()
                    .map_or(0, |replica| replica.term())
            })
    }

    /// The members that vote.
    pub fn voters(&self) -> Voters {
        let membership = self.membership();
        let voters: Vec<(&String, &ReplicaMember)> =
            membership.iter().filter(|(_, m)| m.voter).collect();
        let intact = voters
            .iter()
            .filter_map(|(address, member)| self.machine_with_disk(address, member.disk))
            .collect();
        Voters {
            total: voters.len(),
            intact,
        }
    }

    fn machine_with_disk(&self, address: &str, disk: u64) -> Option<usize> {
        self.machines.iter().position(|machine| {
            machine.address == address && machine.disk_number == disk && !machine.gone
        })
    }
}
