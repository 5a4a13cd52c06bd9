//! Ends of runs that were never reported: the worker's lease expired, or its process died, before an acknowledgement.

use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// Runs, identified by worker and attempt.
pub(super) type RunIds<'a> = BTreeSet<(&'a str, u64)>;

/// The runs whose ends were not acknowledged before their worker's lease expired. A later report does not show whether
/// the run was counted in time. Empty if workers have no leases.
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
                unreported.extend(attempts.into_iter().map(|no| (worker.as_str(), no)));
            }
            _ => {}
        }
    }
    unreported
}
