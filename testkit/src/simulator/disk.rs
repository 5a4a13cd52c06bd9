//! The disk of a simulated replica, which can lose what it has confirmed.

use landingdrift::consensus::PersistedState;
use landingdrift::sans_io::WriteBatch;
use std::collections::VecDeque;

/// Confirmed batches that a disk can still lose; older ones are safe.
const LOSABLE_BATCHES: usize = 64;

/// How long a sound disk takes to write, in milliseconds.
pub const SOUND_DELAY_MS: u64 = 2;

/// Whether a disk takes what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Condition {
    #[default]
    Sound,
    /// It answers every write with an error.
    Full,
    /// It answers nothing.
    Stalled,
}

/// A replica's disk: what is durable, and what is on its way.
#[derive(Clone, Debug)]
pub struct SimDisk {
    /// What can't be lost any more.
    base: PersistedState,
    /// Confirmed batches since then.
    confirmed: VecDeque<WriteBatch>,
    /// Batches that are not confirmed.
    pub pending: VecDeque<WriteBatch>,
    /// How long a write takes, in milliseconds.
    pub delay_ms: u64,
    pub condition: Condition,
}

/// Applies a batch to what a replica would load.
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
    /// An empty disk with a number of its own.
    pub fn new(disk: u64) -> Self {
        Self {
            base: PersistedState {
                disk,
                ..PersistedState::default()
            },
            confirmed: VecDeque::new(),
            pending: VecDeque::new(),
            delay_ms: SOUND_DELAY_MS,
            condition: Condition::Sound,
        }
    }

    /// Confirms all batches up to this one.
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

    /// Loses power: only the first `persisted` of the batches under way are there afterwards.
    pub fn crash(&mut self, persisted: usize) {
        let persisted = persisted.min(self.pending.len());
        self.confirmed.extend(self.pending.drain(..persisted));
        self.pending.clear();
    }

    /// Loses the last batches that it had confirmed; returns the number of entries in them.
    pub fn lose_confirmed(&mut self, batches: usize) -> usize {
        let kept = self.confirmed.len().saturating_sub(batches);
        let lost = self.confirmed.drain(kept..);
        lost.map(|batch| batch.entries.len()).sum()
    }

    /// Loses everything but its number, the term, the vote and the founders.
    pub fn forget_log(&mut self) {
        let kept = self.load();
        self.confirmed.clear();
        self.pending.clear();
        self.base = PersistedState {
            disk: kept.disk,
            hard_state: kept.hard_state,
            ..PersistedState::default()
        };
    }

    /// What a replica finds on it when it starts.
    pub fn load(&self) -> PersistedState {
        let mut loaded = self.base.clone();
        for batch in &self.confirmed {
            apply(&mut loaded, batch);
        }
        loaded
    }
}
