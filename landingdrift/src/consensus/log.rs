//! The log in memory, and what of it is on the disk.

use super::{Replica, Role};
use crate::sans_io::{Effect, Now};
use crate::wire::{Body, Entry};

/// The bytes of entries in one message, unless a single entry is larger.
const BATCH_BYTES: usize = 1 << 20;

impl Replica {
    /// The index and term of the last entry.
    pub(super) fn last(&self) -> (u64, u64) {
        self.log.back().map_or(self.base, |e| (e.index, e.term))
    }

    /// The term of an entry that is still in memory, or of the one before them.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|e| e.term)
    }

    /// An entry that is still in memory.
    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        index
            .checked_sub(self.base.0 + 1)
            .and_then(|i| self.log.get(i as usize))
    }

    /// Entries from an index on, as many as fit into one message.
    pub(super) fn entries(&self, from: u64, most: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base.0 + 1) as usize;
        let mut bytes = 0usize;
        self.log
            .iter()
            .skip(skip)
            .take(most)
            .take_while(|e| {
                bytes += e.command.len();
                bytes <= BATCH_BYTES || bytes == e.command.len()
            })
            .cloned()
            .collect()
    }

    /// Hands what has changed to the disk; returns the ticket that confirms it.
    pub(super) fn flush(&mut self) -> u64 {
        let s = &self.pending_batch;
        if s.hard_state.is_none() && s.cut.is_none() && s.entries.is_empty() && s.snapshot.is_none()
        {
            return self.write_id;
        }
        self.write_id += 1;
        let mut save = std::mem::take(&mut self.pending_batch);
        save.write_id = self.write_id;
        if save.hard_state.is_some() {
            self.hard_state_write = self.write_id;
        }
        save.witnesses = self.witnesses.values().cloned().collect();
        if let Some(cut) = save.cut {
            self.durable = self.durable.min(cut.saturating_sub(1));
            self.saving
                .iter_mut()
                .for_each(|(_, last)| *last = (*last).min(cut.saturating_sub(1)));
        }
        let last = self.last().0;
        self.saving.push_back((self.write_id, last));
        self.storage.handed_over(self.last_tick, self.write_id);
        self.count("disk_saves", 1);
        self.out.push(Effect::Persist(save));
        self.write_id
    }

    /// Sends once everything changed so far is durable.
    pub(super) fn send_durable(&mut self, to: &str, body: Body) {
        let write_id = self.flush();
        if write_id <= self.saved {
            self.send(to, body);
        } else {
            self.held
                .push_back((write_id, Effect::Send(to.into(), body)));
        }
    }

    pub(super) fn on_saved(&mut self, now: Now, write_id: u64) {
        self.saved = self.saved.max(write_id);
        self.storage_confirmed(now, write_id);
        while let Some((_, last)) = self.saving.pop_front_if(|(t, _)| *t <= write_id) {
            self.durable = self.durable.max(last);
        }
        while let Some((_, effect)) = self.held.pop_front_if(|(t, _)| *t <= write_id) {
            self.out.push(effect);
        }
        match self.role {
            Role::Leader => self.advance(now),
            Role::Candidate => self.count_votes(now),
            _ => self.confirm(),
        }
    }
}
