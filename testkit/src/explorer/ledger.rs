//! What was seen of the replicas, and the invariants that it must satisfy. It knows nothing of the replicas' own rules.

use landingdrift::sans_io::fnv1a;
use landingdrift::wire::{ProposeResponse, ReadIndexResponse};
use std::collections::BTreeMap;

/// An invariant that was broken.
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

/// A broken invariant, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub invariant: Invariant,
    pub what: String,
}

/// Everything seen so far.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    leaders: BTreeMap<u64, String>,
    committed: BTreeMap<u64, (u64, u64)>,
    states: BTreeMap<u64, u64>,
    winners: BTreeMap<u64, String>,
    proposals: BTreeMap<u64, String>,
    reads: BTreeMap<u64, u64>,
    /// The highest index that a client was told of.
    pub acknowledged: u64,
    pub acknowledgements: u64,
    pub answered_reads: u64,
    pub violations: Vec<Violation>,
}

impl Ledger {
    /// Takes down a broken invariant.
    pub fn broken(&mut self, invariant: Invariant, what: String) {
        self.violations.push(Violation { invariant, what });
    }

    /// A replica leads in a term.
    pub fn leads(&mut self, term: u64, replica: &str) {
        let first = self.leaders.entry(term).or_insert_with(|| replica.into());
        if first != replica {
            let what = format!("{first} and {replica} lead in term {term}");
            self.broken(Invariant::OneLeaderPerTerm, what);
        }
    }

    /// A replica holds an entry to be committed.
    pub fn commits(&mut self, replica: &str, index: u64, term: u64, command: &[u8]) {
        let seen = (term, fnv1a(command));
        let first = *self.committed.entry(index).or_insert(seen);
        if first != seen {
            let what = format!(
                "{replica} has another entry {index}: term {term}, not {}",
                first.0
            );
            self.broken(Invariant::CommittedStays, what);
        }
    }

    /// The index up to which entries were committed by anybody.
    pub fn committed_to(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// The term of a committed entry.
    pub fn committed_term(&self, index: u64) -> Option<u64> {
        self.committed.get(&index).map(|(term, _)| *term)
    }

    /// A replica has this state after an index.
    pub fn state(&mut self, replica: &str, index: u64, state: &[u8]) {
        let seen = fnv1a(state);
        let first = *self.states.entry(index).or_insert(seen);
        if first != seen {
            let what = format!("{replica} has another state after entry {index}");
            self.broken(Invariant::SameState, what);
        }
    }

    /// A client proposes a change.
    pub fn proposes(&mut self, token: u64, change: String) {
        self.proposals.insert(token, change);
    }

    /// A client asks how far the log goes.
    pub fn reads(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged);
    }

    /// A client's proposal is answered. Returns the index of the entry if it was acknowledged.
    pub fn proposed(&mut self, answer: &ProposeResponse) -> Option<u64> {
        let result: serde_json::Value = serde_json::from_slice(&answer.response).ok()?;
        let version = result["done"]["version"].as_u64()?;
        let index = result["done"]["place"].as_u64().unwrap_or(answer.log_index);
        let change = self.proposals.get(&answer.token.number)?.clone();
        let winner = self
            .winners
            .entry(version)
            .or_insert_with(|| change.clone())
            .clone();
        if winner != change {
            let what = format!("{winner} and {change} both became version {version}");
            self.broken(Invariant::OneWinnerPerVersion, what);
        }
        self.acknowledged = self.acknowledged.max(index);
        self.acknowledgements += 1;
        Some(index)
    }

    /// A client's read is answered.
    pub fn read(&mut self, answer: &ReadIndexResponse) {
        let Some(at_least) = self
            .reads
            .remove(&answer.token.number)
            .filter(|_| answer.ok)
        else {
            return;
        };
        self.answered_reads += 1;
        if answer.log_index < at_least {
            let what = format!(
                "a read asked after {at_least} was acknowledged got {}",
                answer.log_index
            );
            self.broken(Invariant::NoStaleRead, what);
        }
    }
}
