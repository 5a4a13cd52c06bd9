//! What a replica knows of its own disk, and what it does while the disk takes nothing.
//!
//! While the disk refuses or hangs, the replica leads nobody, votes for nobody and takes no entries. It still answers
//! heartbeats, since these promise nothing that is not durable. The thread that writes tries again by itself, with all
//! that was handed over and not confirmed, in order; the first confirmation makes the replica a full one again.

use super::{Replica, Role};
use crate::sans_io::Now;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Whether the disk takes what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Condition {
    #[default]
    Sound,
    /// It answered the last write with an error.
    Refusing,
    /// It has confirmed nothing for long.
    Stalled,
}

impl Condition {
    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Refusing => "refusing",
            Self::Stalled => "stalled",
        }
    }
}

/// The condition of a core's disk: it takes writes again only once it has confirmed one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Storage {
    condition: Condition,
    /// When it came into this condition.
    since: u64,
    why: String,
    /// Writes that were handed over and not confirmed, with when that was.
    waiting: VecDeque<(u64, u64)>,
}

impl Storage {
    /// Whether the replica may rely on its disk.
    pub(super) fn takes_writes(&self) -> bool {
        self.condition == Condition::Sound
    }

    /// A write was handed over.
    pub(super) fn handed_over(&mut self, at: u64, write_id: u64) {
        self.waiting.push_back((write_id, at));
    }

    /// All writes up to a ticket are durable; says how long the disk had taken none, if so.
    pub(super) fn confirmed(&mut self, at: u64, write_id: u64) -> Option<u64> {
        while self.waiting.pop_front_if(|(t, _)| *t <= write_id).is_some() {}
        if self.takes_writes() {
            return None;
        }
        let away = at.saturating_sub(self.since);
        self.enter(Condition::Sound, at, String::new());
        self.restart_wait(at);
        Some(away)
    }

    /// The disk refused; says whether that is news.
    pub(super) fn refused(&mut self, at: u64, why: &str) -> bool {
        let news = self.condition != Condition::Refusing;
        if news {
            self.enter(Condition::Refusing, at, why.into());
        }
        news
    }

    /// Looks whether a write has waited for longer than `patience`; says whether that is news.
    pub(super) fn stalls(&mut self, at: u64, patience: u64) -> bool {
        let overdue = self.waiting.front().is_some_and(|(_, w)| w + patience < at);
        let news = overdue && self.takes_writes();
        if news {
            let why = format!("nothing was confirmed for {patience} ms");
            self.enter(Condition::Stalled, at, why);
        }
        news
    }

    /// The process stood still: the wait was its own, not the disk's.
    pub(super) fn restart_wait(&mut self, at: u64) {
        self.waiting.iter_mut().for_each(|(_, w)| *w = at);
    }

    /// What an operator is reading.
    pub(super) fn report(&self, at: u64) -> Value {
        json!({"state": self.condition.name(), "sinceMs": at.saturating_sub(self.since), "why": self.why,
               "writesWaiting": self.waiting.len()})
    }

    fn enter(&mut self, condition: Condition, at: u64, why: String) {
        self.condition = condition;
        self.since = at;
        self.why = why;
    }
}

impl Replica {
    pub(super) fn on_disk_error(&mut self, now: Now, why: &str) {
        if !self.storage.refused(now.mono, why) {
            self.count("disk_retries", 1);
            return;
        }
        self.count("disk_refused", 1);
        self.line(format!(
            "the disk refused ({why}): this replica neither leads nor votes until a write succeeds; it tries by itself"
        ));
        self.resign(now);
    }

    pub(super) fn storage_tick(&mut self, now: Now) {
        let patience = 2 * self.settings.bounds.election();
        if self.storage.stalls(now.mono, patience) {
            self.count("disk_stalled", 1);
            self.line(format!(
                "the disk has confirmed nothing for {patience} ms: this replica neither leads nor votes until it does"
            ));
            self.resign(now);
        }
    }

    pub(super) fn storage_confirmed(&mut self, now: Now, write_id: u64) {
        if let Some(away) = self.storage.confirmed(now.mono, write_id) {
            self.line(format!("the disk takes writes again, after {away} ms"));
            self.reset_election_timer(now);
        }
    }

    /// Gives up leading, or standing for it; whoever is farthest is reading to lead.
    fn resign(&mut self, now: Now) {
        if self.role == Role::Leader {
            self.transfer_leadership(now);
        }
        if self.role != Role::Follower {
            let term = self.hard_state.term;
            self.follow(now, term, "");
        }
    }
}
