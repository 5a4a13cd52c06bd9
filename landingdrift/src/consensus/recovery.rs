//! What a replica does before it counts: it asks the others what it had confirmed.

use super::Replica;
use crate::sans_io::Now;
use crate::wire::{Body, DurabilityWitness, Hello};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone)]
pub(crate) struct Recovery {
    until: u64,
    next_hello: u64,
    /// Those that answered, with their disks.
    heard: BTreeMap<String, u64>,
    knowing: bool,
    farthest: (u64, u64),
    highest_term: u64,
    witnessed: Option<(u64, u64)>,
}

impl Recovery {
    pub fn new(now: Now, wait: u64) -> Self {
        Self {
            until: now.mono + wait,
            next_hello: 0,
            heard: BTreeMap::new(),
            knowing: false,
            farthest: (0, 0),
            highest_term: 0,
            witnessed: None,
        }
    }
}

impl Replica {
    fn empty(&self) -> bool {
        self.last().0 == 0
    }

    /// Asks what this replica had confirmed, or answers that question of the disk at the address.
    fn hello(&mut self, to: &str, reply: Option<u64>) {
        let (last_index, last_term) = self.last();
        let asked = (to.to_string(), reply.unwrap_or(0));
        let witnessed = self
            .witnesses
            .get(&asked)
            .cloned()
            .unwrap_or(DurabilityWitness {
                replica: to.into(),
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
            term: self.hard_state.term,
            last_index,
            last_term,
            reply: reply.is_some(),
            zone: self.settings.zone.clone(),
            knows: !self.empty(),
            witnessed: Box::new(witnessed),
            members,
            witnesses: self.witnesses.values().cloned().collect(),
        };
        self.send(to, Body::Hello(Box::new(body)));
    }

    pub(super) fn on_hello(&mut self, now: Now, from: &str, mut m: Hello) {
        // What others confirmed is passed on: whoever remembers may be out of reach when it counts.
        let me = self.name.clone();
        let witnesses = std::mem::take(&mut m.witnesses);
        witnesses
            .into_iter()
            .filter(|n| n.replica != me)
            .for_each(|n| self.remember(n));
        self.zones.insert(from.into(), m.zone.clone());
        if !m.reply {
            // A replica that starts anew: what it confirmed before may be gone.
            self.peers.get_mut(from).iter_mut().for_each(|p| {
                p.take_disk(m.disk);
                p.next = m.last_index + 1;
                p.matched = p.matched.min(m.last_index);
                p.outgoing = None;
                p.pending = 0;
            });
            self.hello(from, Some(m.disk));
            return;
        }
        let mut fresh = Vec::new();
        if let Some(w) = self.recovery.as_mut() {
            w.heard.insert(from.into(), m.disk);
            w.highest_term = w.highest_term.max(m.term);
            if m.knows {
                w.knowing = true;
                w.farthest = w.farthest.max((m.last_term, m.last_index));
            }
            if m.witnessed.index > 0 && m.witnessed.disk == self.disk {
                w.witnessed = w.witnessed.max(Some((m.witnessed.term, m.witnessed.index)));
            }
            fresh = m.members;
        }
        let others: Vec<String> = fresh
            .into_iter()
            .filter(|a| {
                *a != me
                    && self
                        .recovery
                        .as_ref()
                        .is_some_and(|w| !w.heard.contains_key(a))
            })
            .collect();
        if self.empty() {
            others.iter().for_each(|a| self.hello(a, None));
        }
        self.try_finish_recovery(now);
    }

    pub(super) fn recovery_tick(&mut self, now: Now) {
        let me = self.name.clone();
        let due = self
            .recovery
            .as_ref()
            .is_some_and(|w| now.mono >= w.next_hello);
        if due {
            let mut targets: BTreeSet<String> = self.members().into_keys().collect();
            targets.extend(self.settings.seeds.iter().cloned());
            targets.extend(self.peer_sampler.replicas.iter().cloned());
            targets.remove(&me);
            targets.iter().for_each(|a| self.hello(a, None));
            let heartbeat = self.settings.bounds.heartbeat();
            self.recovery
                .iter_mut()
                .for_each(|w| w.next_hello = now.mono + heartbeat);
        }
        self.try_finish_recovery(now);
    }

    /// Ends the recovering once all voters were heard, or the wait is over and a majority was.
    fn try_finish_recovery(&mut self, now: Now) {
        let Some(w) = self.recovery.as_ref() else {
            return;
        };
        if w.knowing && self.empty() && !self.joining {
            self.line("the disk is empty while others have a log: joins as a newcomer".into());
            self.joining = true;
            self.members_cache = None;
        }
        if self.is_voter() && !self.enough_heard(now) {
            return;
        }
        let Some(w) = self.recovery.take() else {
            return;
        };
        let (index, term) = self.last();
        // What others remember of this disk; where nobody does and it is damaged, the farthest that anybody has.
        let recovery_floor = w
            .witnessed
            .filter(|n| *n > (term, index))
            .or((w.knowing && self.damaged).then_some(w.farthest));
        if let Some(f) = recovery_floor.filter(|f| *f > (term, index)) {
            self.recovery_floor = f;
            self.hard_state.no_vote_through = self
                .hard_state
                .no_vote_through
                .max(w.highest_term)
                .max(self.hard_state.term);
            self.hard_state.term = self.hard_state.term.max(w.highest_term);
            self.pending_batch.hard_state = Some(self.hard_state.clone());
            self.count("disk_losses_seen", 1);
            self.line(format!(
                "the disk has lost what it confirmed (has {index}, had confirmed {} of term {}): no vote until caught up",
                f.1, f.0
            ));
        }
        // Another one's log is longer: it may hold what was confirmed and is lost here, with nobody to remember it.
        if w.farthest > (term, index) {
            self.deferral = (w.farthest, now.mono + self.settings.bounds.outage_ms / 6);
        }
        self.damaged = false;
        self.heard_leader = self.heard_leader.min(now.mono);
        self.fast_election_until = now.mono + 4 * self.settings.bounds.election();
        self.reset_election_timer(now);
        self.line(format!(
            "recovered at index {index} of term {term}, {} other replicas heard",
            w.heard.len()
        ));
    }

    /// Whether a majority of the voters answered, and either all others are accounted for or the wait is over. Who
    /// answers with another disk than the one that is a member knows nothing of what that one confirmed, and does not
    /// count; but that disk is gone for good, so nobody waits for it.
    fn enough_heard(&mut self, now: Now) -> bool {
        let name = self.name.clone();
        let voters = self.voters();
        let Some(recovery) = self.recovery.as_ref() else {
            return false;
        };
        let waited = now.mono >= recovery.until;
        let answers: BTreeMap<String, u64> = recovery.heard.clone();
        let others: Vec<&String> = voters.iter().filter(|v| **v != name).collect();
        let accounted_for = others.iter().all(|v| answers.contains_key(*v));
        let heard = others
            .iter()
            .filter(|v| {
                answers
                    .get(**v)
                    .is_some_and(|disk| self.is_identity(v, *disk))
            })
            .count();
        1 + heard >= self.majority() && (accounted_for || waited)
    }

    /// The place this replica must answer for when it votes or stands: as (term, index).
    pub(super) fn answerable(&self, now: Now) -> (u64, u64) {
        let (index, term) = self.last();
        let (farthest, until) = self.deferral;
        let deferral = if now.mono < until { farthest } else { (0, 0) };
        self.recovery_floor.max((term, index)).max(deferral)
    }
}
