//! What was observed of the replicas and their clients, and the invariants that it must satisfy. It knows nothing of the
//! replicas' own rules.

use landingdrift::sans_io::fnv1a;
use landingdrift::wire::{ProposeResponse, ReadIndexResponse};
use std::collections::BTreeMap;

/// A property that must always hold; described by how it was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Two replicas led in one term.
    OneLeaderPerTerm,
    /// A committed entry was replaced by another.
    CommittedStays,
    /// An order was acknowledged while fewer disks held it than may be lost at once, and one.
    AcknowledgedOnEnoughDisks,
    /// Two changes were acknowledged under one version.
    OneWinnerPerVersion,
    /// A read was answered with a state older than what was acknowledged before it was asked.
    NoStaleRead,
    /// Replicas that applied the same entries have different states.
    SameState,
    /// A majority of voters is there and nothing gets committed.
    Progress,
    /// Losses that the cluster has to bear, far enough apart, left it without its full number of voters.
    Repaired,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub invariant: Invariant,
    /// How it was violated.
    pub explanation: String,
}

/// What is compared of a committed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CommittedEntry {
    term: u64,
    command_hash: u64,
}

/// Everything observed so far.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The leader of each term.
    leaders: BTreeMap<u64, String>,
    /// The committed entries by their log index.
    committed: BTreeMap<u64, CommittedEntry>,
    /// The hash of the state after each log index.
    state_hashes: BTreeMap<u64, u64>,
    /// The change that became each version of the configuration.
    winners: BTreeMap<u64, String>,
    /// The changes that clients proposed, by the numbers of their requests.
    proposals: BTreeMap<u64, String>,
    /// The log index that each read must at least be answered with, by the numbers of the requests.
    reads: BTreeMap<u64, u64>,
    /// The highest log index that was acknowledged to a client.
    pub acknowledged: u64,
    /// Proposals that were acknowledged.
    pub acknowledgements: u64,
    /// Reads that were answered.
    pub answered_reads: u64,
    pub violations: Vec<Violation>,
}

impl Observations {
    /// Notes a violation.
    pub fn violated(&mut self, invariant: Invariant, explanation: String) {
        self.violations.push(Violation {
            invariant,
            explanation,
        });
    }

    /// A replica leads in a term.
    pub fn observe_leader(&mut self, term: u64, replica: &str) {
        let first = self.leaders.entry(term).or_insert_with(|| replica.into());
        if first != replica {
            let explanation = format!("{first} and {replica} lead in term {term}");
            self.violated(Invariant::OneLeaderPerTerm, explanation);
        }
    }

    /// A replica holds an entry to be committed.
    pub fn observe_commit(&mut self, replica: &str, index: u64, term: u64, command: &[u8]) {
        let found = CommittedEntry {
            term,
            command_hash: fnv1a(command),
        };
        let first = *self.committed.entry(index).or_insert(found);
        if first != found {
            let explanation = format!(
                "{replica} has another entry {index}: term {term}, not {}",
                first.term
            );
            self.violated(Invariant::CommittedStays, explanation);
        }
    }

    /// The index up to which entries were committed by anybody.
    pub fn last_committed(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// The term of a committed entry.
    pub fn committed_term(&self, index: u64) -> Option<u64> {
        self.committed.get(&index).map(|entry| entry.term)
    }

    /// A replica has this state after an index.
    pub fn observe_state(&mut self, replica: &str, index: u64, state: &[u8]) {
        let found = fnv1a(state);
        let first = *self.state_hashes.entry(index).or_insert(found);
        if first != found {
            let explanation = format!("{replica} has another state after entry {index}");
            self.violated(Invariant::SameState, explanation);
        }
    }

    /// A client proposes a change.
    pub fn observe_proposal(&mut self, token: u64, change: String) {
        self.proposals.insert(token, change);
    }

    /// A client outputs how far the log goes.
    pub fn observe_read(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged);
    }

    /// A client's proposal is answered. Returns the index of the entry if it was acknowledged.
    pub fn observe_propose_response(&mut self, response: &ProposeResponse) -> Option<u64> {
        let result: serde_json::Value = serde_json::from_slice(&response.response).ok()?;
        let version = result["done"]["version"].as_u64()?;
        let index = result["done"]["place"]
            .as_u64()
            .unwrap_or(response.log_index);
        let change = self.proposals.get(&response.token.number)?.clone();
        let winner = self
            .winners
            .entry(version)
            .or_insert_with(|| change.clone())
            .clone();
        if winner != change {
            let explanation = format!("{winner} and {change} both became version {version}");
            self.violated(Invariant::OneWinnerPerVersion, explanation);
        }
        self.acknowledged = self.acknowledged.max(index);
        self.acknowledgements += 1;
        Some(index)
    }

    /// A client's read is answered.
    pub fn observe_read_response(&mut self, response: &ReadIndexResponse) {
        let Some(at_least) = self
            .reads
            .remove(&response.token.number)
            .filter(|_| response.ok)
        else {
            return;
        };
        self.answered_reads += 1;
        if response.log_index < at_least {
            let explanation = format!(
                "a read asked after {at_least} was acknowledged got {}",
                response.log_index
            );
            self.violated(Invariant::NoStaleRead, explanation);
        }
    }
}
