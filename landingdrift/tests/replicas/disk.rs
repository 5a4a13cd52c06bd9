//! A simulated disk whose behaviour is controlled by the tests.

use landingdrift::consensus::PersistedState;
use landingdrift::sans_io::WriteBatch;
use std::collections::VecDeque;

/// The reaction of a disk to writes: it confirms them, reports errors, or never responds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Works,
    Fails,
    Hangs,
}

/// A replica's disk: the durable state, and the writes that are not durable yet.
pub struct TestDisk {
    pub durable: PersistedState,
    pub pending: VecDeque<WriteBatch>,
    pub behaviour: Behaviour,
    pub(super) next_retry: u64,
}

impl TestDisk {
    pub(super) fn new(disk: u64) -> Self {
        let durable = PersistedState {
            disk,
            ..PersistedState::default()
        };
        Self {
            durable,
            pending: VecDeque::new(),
            behaviour: Behaviour::Works,
            next_retry: 0,
        }
    }

    /// Makes all pending writes durable; returns the number of the last one.
    pub(super) fn complete_writes(&mut self) -> Option<u64> {
        let last = self.pending.back().map(|batch| batch.write_id);
        for batch in std::mem::take(&mut self.pending) {
            apply_batch(&mut self.durable, batch);
        }
        last
    }

    /// The last log index that a restarted replica would load.
    pub fn last(&self) -> u64 {
        let snapshot = self
            .durable
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        self.durable
            .entries
            .last()
            .map_or(snapshot, |entry| entry.index)
    }
}

fn apply_batch(state: &mut PersistedState, batch: WriteBatch) {
    batch
        .hard_state
        .into_iter()
        .for_each(|hard_state| state.hard_state = hard_state);
    if let Some(first_removed) = batch.truncate_from {
        state.entries.retain(|entry| entry.index < first_removed);
    }
    if let Some(snapshot) = batch.snapshot {
        state.entries.retain(|entry| entry.index > snapshot.index);
        state.snapshot = Some(snapshot);
    }
    for entry in batch.entries {
        state.entries.retain(|kept| kept.index < entry.index);
        state.entries.push(entry);
    }
    if !batch.witnesses.is_empty() {
        state.witnesses = batch.witnesses;
    }
}
