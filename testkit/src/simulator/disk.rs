//! The disk of a simulated replica, which can lose batches that it has confirmed.

use landingdrift::consensus::PersistedState;
use landingdrift::sans_io::WriteBatch;
use std::collections::VecDeque;

/// The number of latest confirmed batches that a disk can still lose.
const LOSABLE_BATCHES: usize = 64;

/// The duration of a write on a healthy disk, in milliseconds.
pub const HEALTHY_WRITE_MS: u64 = 2;

/// How a disk responds to writes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Condition {
    /// Confirms every write after its delay.
    #[default]
    Sound,
    /// Fails every write with an error.
    Full,
    /// Neither confirms nor fails any write.
    Stalled,
}

/// A replica's disk, with confirmed and pending batches of writes.
#[derive(Clone, Debug)]
pub struct SimDisk {
    /// The content that can't be lost any more.
    base: PersistedState,
    /// Confirmed batches that follow `base` and can still be lost, oldest first.
    confirmed: VecDeque<WriteBatch>,
    /// Batches that are not confirmed yet, oldest first.
    pub pending: VecDeque<WriteBatch>,
    /// The duration of a write, in milliseconds.
    pub delay_ms: u64,
    pub condition: Condition,
}

/// Applies a batch to the content that a replica would load.
fn apply(loaded: &mut PersistedState, batch: &WriteBatch) {
    if let Some(hard_state) = &batch.hard_state {
        loaded.hard_state = hard_state.clone();
    }
    if let Some(first_removed) = batch.truncate_from {
        loaded.entries.retain(|entry| entry.index < first_removed);
    }
    if let Some(snapshot) = &batch.snapshot {
        loaded.entries.retain(|entry| entry.index > snapshot.index);
        loaded.snapshot = Some(snapshot.clone());
    }
    for entry in &batch.entries {
        loaded.entries.retain(|older| older.index < entry.index);
        loaded.entries.push(entry.clone());
    }
    if !batch.witnesses.is_empty() {
        loaded.witnesses = batch.witnesses.clone();
    }
}

impl SimDisk {
    /// An empty disk; `disk` is its unique number.
    pub fn new(disk: u64) -> Self {
        Self {
            base: PersistedState {
                disk,
                ..PersistedState::default()
            },
            confirmed: VecDeque::new(),
            pending: VecDeque::new(),
            delay_ms: HEALTHY_WRITE_MS,
            condition: Condition::Sound,
        }
    }

    /// Confirms all batches up to and including `write_id`.
    pub fn confirm(&mut self, write_id: u64) {
        while let Some(batch) = self
            .pending
            .pop_front_if(|batch| batch.write_id <= write_id)
        {
            self.confirmed.push_back(batch);
        }
        while self.confirmed.len() > LOSABLE_BATCHES {
            if let Some(batch) = self.confirmed.pop_front() {
                apply(&mut self.base, &batch);
            }
        }
    }

    /// Ends all pending batches, as when the process exits: the first `persisted` are confirmed, the others are lost.
    pub fn drop_pending(&mut self, persisted: usize) {
        let persisted = persisted.min(self.pending.len());
        self.confirmed.extend(self.pending.drain(..persisted));
        self.pending.clear();
    }

    /// Loses the last `batches` confirmed batches; returns the number of entries in them.
    pub fn lose_confirmed(&mut self, batches: usize) -> usize {
        let kept = self.confirmed.len().saturating_sub(batches);
        let lost = self.confirmed.drain(kept..);
        lost.map(|batch| batch.entries.len()).sum()
    }

    /// Loses everything except the disk's number and the hard state (term, vote and founders).
    pub fn keep_only_hard_state(&mut self) {
        let kept = self.load();
        self.confirmed.clear();
        self.pending.clear();
        self.base = PersistedState {
            disk: kept.disk,
            hard_state: kept.hard_state,
            ..PersistedState::default()
        };
    }

    /// The content that a replica loads when it starts.
    pub fn load(&self) -> PersistedState {
        let mut loaded = self.base.clone();
        for batch in &self.confirmed {
            apply(&mut loaded, batch);
        }
        loaded
    }
}
