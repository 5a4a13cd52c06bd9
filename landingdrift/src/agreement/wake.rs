//! What a core does before it counts: it asks the others what it had confirmed.

use super::{Core, Role};
use crate::kernel::Now;
use crate::wire::{Body, Hello, Join, Note};
use std::collections::BTreeSet;

pub(crate) struct Waking {
    until: u64,
    next_hello: u64,
    heard: BTreeSet<String>,
    knowing: bool,
    farthest: (u64, u64),
    highest_term: u64,
    noted: Option<(u64, u64)>,
    member: Option<bool>,
    /// Who the cores are, by those that know.
    told: BTreeSet<String>,
}

impl Waking {
    pub fn new(now: Now, wait: u64) -> Self {
        Self {
            until: now.mono + wait,
            next_hello: 0,
            heard: BTreeSet::new(),
            knowing: false,
            farthest: (0, 0),
            highest_term: 0,
            noted: None,
            member: None,
            told: BTreeSet::new(),
        }
    }
}

impl Core {
    fn empty(&self) -> bool {
        self.last().0 == 0
    }

    fn hello(&mut self, to: &str, reply: bool) {
        let (last_index, last_term) = self.last();
        let noted = self.notes.get(to).cloned().unwrap_or(Note {
            core: to.into(),
            disk: 0,
            index: 0,
            term: 0,
        });
        let members: Vec<String> = if self.empty() {
            Vec::new()
        } else {
            self.members().into_keys().collect()
        };
        let body = Hello {
            disk: self.disk,
            term: self.hard.term,
            last_index,
            last_term,
            reply,
            knows: !self.empty(),
            noted: Box::new(noted),
            members,
            notes: self.notes.values().cloned().collect(),
        };
        self.send(to, Body::Hello(Box::new(body)));
    }

    pub(super) fn on_hello(&mut self, now: Now, from: &str, mut m: Hello) {
        // What others confirmed is passed on: whoever remembers may be out of reach when it counts.
        let me = self.name.clone();
        let notes = std::mem::take(&mut m.notes);
        notes
            .into_iter()
            .filter(|n| n.core != me)
            .for_each(|n| self.remember(n));
        if !m.reply {
            // A core that starts anew: what it confirmed before may be gone.
            self.peers.get_mut(from).iter_mut().for_each(|p| {
                p.next = m.last_index + 1;
                p.matched = p.matched.min(m.last_index);
                p.outgoing = None;
                p.pending = 0;
                p.disk = m.disk;
            });
            self.hello(from, true);
            return;
        }
        let mut fresh = Vec::new();
        if let Some(w) = self.waking.as_mut() {
            w.heard.insert(from.into());
            w.highest_term = w.highest_term.max(m.term);
            if m.knows {
                w.knowing = true;
                w.farthest = w.farthest.max((m.last_term, m.last_index));
                w.member = Some(w.member.unwrap_or(false) || m.members.contains(&me));
                w.told.extend(m.members.iter().cloned());
            }
            if m.noted.index > 0 {
                w.noted = w.noted.max(Some((m.noted.term, m.noted.index)));
            }
            fresh = m.members;
        }
        let others: Vec<String> = fresh
            .into_iter()
            .filter(|a| *a != me && self.waking.as_ref().is_some_and(|w| !w.heard.contains(a)))
            .collect();
        if self.empty() {
            others.iter().for_each(|a| self.hello(a, false));
        }
        self.try_wake(now);
    }

    pub(super) fn wake_tick(&mut self, now: Now) {
        let me = self.name.clone();
        let due = self
            .waking
            .as_ref()
            .is_some_and(|w| now.mono >= w.next_hello);
        if due {
            let mut targets: BTreeSet<String> = self.members().into_keys().collect();
            targets.extend(self.cfg.seeds.iter().cloned());
            targets.extend(self.views.cores.iter().cloned());
            targets.remove(&me);
            targets.iter().for_each(|a| self.hello(a, false));
            let beat = self.cfg.bounds.heartbeat();
            self.waking
                .iter_mut()
                .for_each(|w| w.next_hello = now.mono + beat);
        }
        self.try_wake(now);
        if self.waking.is_none()
            && self.role != Role::Leader
            && !self.members().contains_key(&me)
            && now.mono % (4 * self.cfg.bounds.heartbeat()) < self.cfg.bounds.tick()
        {
            let targets: BTreeSet<String> = self
                .members()
                .into_keys()
                .chain(self.cfg.seeds.iter().cloned())
                .chain(self.views.cores.iter().cloned())
                .chain(Some(self.leader.clone()).filter(|l| !l.is_empty()))
                .filter(|a| *a != me)
                .collect();
            let disk = self.disk;
            targets
                .iter()
                .for_each(|a| self.send(a, Body::Join(Box::new(Join { disk }))));
        }
    }

    /// Ends the waking once all voters were heard, or the wait is over and a majority was.
    fn try_wake(&mut self, now: Now) {
        let me = self.name.clone();
        let mut voters = self.voters();
        let Some(w) = self.waking.as_ref() else {
            return;
        };
        if voters.is_empty() {
            voters = w.told.iter().cloned().collect();
        }
        let heard = voters
            .iter()
            .filter(|v| **v == me || w.heard.contains(*v))
            .count();
        let all = heard == voters.len() && !voters.is_empty();
        if !(all
            || (now.mono >= w.until && heard > voters.len() / 2)
            || (w.member == Some(false) && self.empty()))
        {
            return;
        }
        let Some(w) = self.waking.take() else { return };
        let (index, term) = self.last();
        let empty = self.empty();
        // What others remember of us; where nobody does and our disk is new or damaged, the farthest that anybody has.
        let floor = w
            .noted
            .filter(|n| *n > (term, index))
            .or((w.knowing && (empty || self.damaged)).then_some(w.farthest));
        if let Some(f) = floor.filter(|f| *f > (term, index)) {
            self.floor = f;
            self.hard.silent_to = self.hard.silent_to.max(w.highest_term).max(self.hard.term);
            self.hard.term = self.hard.term.max(w.highest_term);
            self.unsaved.hard = Some(self.hard.clone());
            self.count("disk_losses_seen", 1);
            self.line(format!(
                "the disk has lost what it confirmed (has {index}, had confirmed {} of term {}): no vote until caught up",
                f.1, f.0
            ));
        }
        // Another one's log is longer: it may hold what was confirmed and is lost here, with nobody to remember it.
        if w.farthest > (term, index) {
            self.yields = (w.farthest, now.mono + self.cfg.bounds.outage_ms / 6);
        }
        self.damaged = false;
        self.heard_leader = self.heard_leader.min(now.mono);
        self.eager_until = now.mono + 4 * self.cfg.bounds.election();
        self.arm_election(now);
        self.line(format!(
            "awake at {index} of term {term}, {} others heard",
            w.heard.len()
        ));
    }

    /// The place this core must answer for when it votes or stands: as (term, index).
    pub(super) fn answerable(&self, now: Now) -> (u64, u64) {
        let (index, term) = self.last();
        let (farthest, until) = self.yields;
        let yields = if now.mono < until { farthest } else { (0, 0) };
        self.floor.max((term, index)).max(yields)
    }
}
