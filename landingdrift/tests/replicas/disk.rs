//! A simulated disk whose behaviour is controlled by the tests.

use landingdrift::consensus::PersistedState;
use landingdrift::sans_io::WriteBatch;
use std::collections::VecDeque;

/// The reaction of a disk to writes.
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

    pub(super) fn complete_writes(&mut self) -> Option<u64> {
        let last = self.pending.back().map(|s| s.write_id);
        for s in std::mem::take(&mut self.pending) {
            write(&mut self.durable, s);
        }
        last
    }

    /// The last log index that a restarted replica would load.
    pub fn last(&self) -> u64 {
        let snapshot = self.durable.snapshot.as_ref().map_or(0, |c| c.index);
        self.durable.entries.last().map_or(snapshot, |e| e.index)
    }
}

fn write(to: &mut PersistedState, s: WriteBatch) {
    s.hard_state.into_iter().for_each(|h| to.hard_state = h);
    if let Some(cut) = s.truncate_from {
        to.entries.retain(|e| e.index < cut);
    }
    if let Some(snapshot) = s.snapshot {
        to.entries.retain(|e| e.index > snapshot.index);
        to.snapshot = Some(snapshot);
    }
    for e in s.entries {
        to.entries.retain(|x| x.index < e.index);
        to.entries.push(e);
    }
    if !s.witnesses.is_empty() {
        to.witnesses = s.witnesses;
    }
}
