//! What tests and the model checker may look at. Nothing here changes a replica.

use super::{Replica, Role};
use crate::state::ClusterState;
use crate::wire::Entry;

impl Replica {
    /// The cluster state as far as this replica has applied it.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this replica still finds out what it had confirmed before it started.
    pub fn recovers(&self) -> bool {
        self.recovery.is_some()
    }

    /// The term this replica is in.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The index up to which this replica knows entries to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// The index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.last().0
    }

    /// The committed entries that are still in memory.
    pub fn committed_entries(&self) -> impl Iterator<Item = &Entry> {
        let commit = self.commit;
        self.log.iter().take_while(move |e| e.index <= commit)
    }

    /// A number that tells states apart which differ in what the protocol depends on, timers left out.
    pub fn fingerprint(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (self.role as u8, self.hard_state.term, &self.hard_state.vote).hash(&mut hasher);
        (
            self.hard_state.no_vote_through,
            self.recovery_floor,
            self.commit,
            self.base,
        )
            .hash(&mut hasher);
        (&self.leader, self.durable, self.verified).hash(&mut hasher);
        (
            self.recovery.is_some(),
            self.stopping.is_some(),
            self.joining,
        )
            .hash(&mut hasher);
        self.votes.hash(&mut hasher);
        for entry in &self.log {
            (entry.index, entry.term, &entry.command).hash(&mut hasher);
        }
        for (address, peer) in &self.peers {
            (address, peer.next, peer.matched, peer.disk, peer.leaving).hash(&mut hasher);
        }
        hasher.finish()
    }
}
