//! Read access to a replica's state for tests and the model checker.

use super::{Replica, Role};
use crate::state::ClusterState;
use crate::wire::Entry;

impl Replica {
    /// The cluster state after the entries that this replica has applied.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this replica is still asking the others which log position its disk had acknowledged before the start.
    pub fn has_pending_recovery(&self) -> bool {
        self.is_recovering()
    }

    /// The current term of this replica.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The index up to which this replica knows entries to be committed.
    pub fn commit_index(&self) -> u64 {
        self.log.commit_index
    }

    /// The index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// The committed entries that are still in memory.
    pub fn committed_entries(&self) -> impl Iterator<Item = &Entry> {
        let commit_index = self.log.commit_index;
        self.log
            .iter()
            .take_while(move |entry| entry.index <= commit_index)
    }

    /// A hash of the state that the protocol depends on; timers are left out.
    pub fn fingerprint(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        let hard_state = &self.hard_state;
        (self.role as u8, hard_state.term, &hard_state.vote).hash(&mut hasher);
        hard_state.no_vote_through.hash(&mut hasher);
        self.recovery.floor.hash(&mut hasher);
        (self.log.commit_index, self.log.base()).hash(&mut hasher);
        (&self.leader, self.persistence.durable_index).hash(&mut hasher);
        self.log.verified_index.hash(&mut hasher);
        (self.is_recovering(), self.shutdown.is_requested()).hash(&mut hasher);
        self.membership.joining.hash(&mut hasher);
        self.election.votes.hash(&mut hasher);
        for entry in self.log.iter() {
            (entry.index, entry.term, &entry.command).hash(&mut hasher);
        }
        for (address, progress) in &self.leadership.progress {
            (address, progress.next_index, progress.match_index).hash(&mut hasher);
            (progress.disk, progress.leaving).hash(&mut hasher);
        }
        hasher.finish()
    }
}
