//! Ends of runs that were not acknowledged before their worker's lease expired. A worker with a lease that dies counts
//! as one whose lease expires.

use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// Runs, identified by worker and attempt.
pub(super) type RunIds<'a> = BTreeSet<(&'a str, u64)>;

/// The runs whose ends were not acknowledged before their worker's lease expired. Checkers ignore their outcomes, as
/// the system may never have received them. Empty if workers have no leases.
pub(super) fn unreported_ends(history: &History) -> RunIds<'_> {
    let mut open: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut unreported = RunIds::new();
    for timed in &history.events {
        match &timed.event {
            Event::RunEnded {
                worker, attempt, ..
            } => {
                open.entry(worker).or_default().insert(*attempt);
            }
            Event::EndAcknowledged { worker, attempt } => {
                open.entry(worker).or_default().remove(attempt);
            }
            Event::LeaseExpired { worker } => {
                let attempts = open.remove(worker.as_str()).unwrap_or_default();
                unreported.extend(
                    attempts
                        .into_iter()
                        .map(|attempt| (worker.as_str(), attempt)),
                );
            }
            _ => {}
        }
    }
    unreported
}
