//! Which replicas vote: a pure reconciler that derives the next single membership change from what the leader sees.
//!
//! A replica is identified by its address *and* its disk. Changes are made one at a time, each committed before the
//! next is derived, so that every two majorities in force one after the other share a member.

use crate::state::ReplicaMember;
use std::collections::BTreeMap;

/// How the leader sees a member at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Reachable,
    /// It answers, and is being shut down in order.
    Leaving,
    /// It answers, and its disk takes nothing.
    Impaired,
    /// It has not answered for longer than the span after which a voter is exchanged.
    Unreachable,
    /// Another disk answers at its address: this identity will never answer again.
    Replaced,
}

/// What the leader knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether it can be relied on.
    pub health: Health,
    /// Its log reaches (nearly) the commit index, so that promoting it delays no commit.
    pub caught_up: bool,
    /// It has been silent for so long that a standby like this is dropped.
    pub long_unreachable: bool,
}

/// A replica that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinRequest {
    /// Its disk.
    pub disk: u64,
    /// Its zone.
    pub zone: String,
    /// It is not to vote as long as others can.
    pub standby_only: bool,
}

/// One change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A newcomer becomes a standby, which receives the log and does not vote.
    Admit(String, JoinRequest),
    /// A standby becomes a voter.
    Promote(String),
    /// A voter becomes a standby.
    Demote(String),
    /// An identity leaves the membership.
    Remove(String),
}

/// Everything the next change is derived from.
pub struct MembershipView<'a> {
    /// The address of the leader, which is a member.
    pub leader: &'a str,
    /// The wanted number of voters: 2f+1 where f machines may be lost at once.
    pub target_voters: usize,
    /// The members by address.
    pub members: &'a BTreeMap<String, ReplicaMember>,
    /// What the leader has observed of the others, by address.
    pub observed: &'a BTreeMap<String, MemberStatus>,
    /// Requests to be admitted, by address.
    pub requests: &'a BTreeMap<String, JoinRequest>,
}

/// What may still be lost before no majority is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resilience {
    /// Replicas that vote.
    pub voters: usize,
    /// Replicas that stand by.
    pub standbys: usize,
    /// Machines, whichever they are; below zero there is no majority.
    pub machine_losses_left: i64,
    /// Whether any one zone may be lost.
    pub zone_loss_survivable: bool,
}

/// The smallest number of voters that is more than half of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

impl MembershipView<'_> {
    /// The next change, if one is due.
    pub fn next_change(&self) -> Option<MembershipChange> {
        self.remove_replaced()
            .or_else(|| self.admit())
            .or_else(|| self.demote_surplus())
            .or_else(|| self.demote_from_even_count())
            .or_else(|| self.promote_missing())
            .or_else(|| self.promote_replacement())
            .or_else(|| self.remove_unreachable_standby())
    }

    /// Whether a standby could take the place of a voter now or soon.
    pub fn has_standby(&self) -> bool {
        self.members
            .iter()
            .any(|(address, member)| !member.voter && self.health(address) == Health::Reachable)
    }

    /// What may still be lost.
    pub fn resilience(&self) -> Resilience {
        let voters = self.voters();
        let needed = majority(voters.len()) as i64;
        let answering =
            |address: &str| matches!(self.health(address), Health::Reachable | Health::Leaving);
        let reachable: Vec<&str> = voters.iter().copied().filter(|v| answering(v)).collect();
        let outside = |zone: &str| reachable.iter().filter(|v| self.zone(v) != zone).count() as i64;
        let zone_loss_survivable = reachable.iter().all(|v| outside(self.zone(v)) >= needed);
        Resilience {
            voters: voters.len(),
            standbys: self.members.len() - voters.len(),
            machine_losses_left: reachable.len() as i64 - needed,
            zone_loss_survivable,
        }
    }

    fn health(&self, address: &str) -> Health {
        if address == self.leader {
            return Health::Reachable;
        }
        self.observed
            .get(address)
            .map_or(Health::Unreachable, |o| o.health)
    }

    fn zone(&self, address: &str) -> &str {
        self.members.get(address).map_or("", |m| m.zone.as_str())
    }

    fn voters(&self) -> Vec<&str> {
        self.members
            .iter()
            .filter(|(_, m)| m.voter)
            .map(|(address, _)| address.as_str())
            .collect()
    }

    fn voters_in(&self, zone: &str) -> usize {
        self.voters()
            .iter()
            .filter(|v| self.zone(v) == zone)
            .count()
    }

    fn first_voter_with(&self, health: Health) -> Option<&str> {
        self.voters().into_iter().find(|v| self.health(v) == health)
    }

    /// Standbys that can be promoted now.
    fn ready_standbys(&self) -> Vec<&str> {
        let ready = |address: &str| {
            let observed = self.observed.get(address);
            observed.is_some_and(|o| o.caught_up && o.health == Health::Reachable)
        };
        let all: Vec<(&str, bool)> = self
            .members
            .iter()
            .filter(|(address, m)| !m.voter && ready(address))
            .map(|(address, m)| (address.as_str(), m.standby_only))
            .collect();
        let some_may_vote = self.members.values().any(|m| !m.standby_only);
        all.into_iter()
            .filter(|(_, standby_only)| !standby_only || !some_may_vote)
            .map(|(address, _)| address)
            .collect()
    }

    /// The ready standby whose zone has the fewest voters.
    fn best_standby(&self) -> Option<&str> {
        self.ready_standbys()
            .into_iter()
            .min_by_key(|s| (self.voters_in(self.zone(s)), s.to_string()))
    }

    fn remove_replaced(&self) -> Option<MembershipChange> {
        let gone = self
            .members
            .keys()
            .find(|address| self.health(address) == Health::Replaced)?;
        Some(MembershipChange::Remove(gone.clone()))
    }

    fn admit(&self) -> Option<MembershipChange> {
        let (address, request) = self
            .requests
            .iter()
            .find(|(address, request)| self.may_admit(address, request))?;
        Some(MembershipChange::Admit(address.clone(), request.clone()))
    }

    /// A disk that answers at another address already is a copy, and is not admitted.
    fn may_admit(&self, address: &str, request: &JoinRequest) -> bool {
        let is_copy = |other: &String, member: &ReplicaMember| {
            member.disk == request.disk && self.health(other) != Health::Unreachable
        };
        !self.members.contains_key(address)
            && !self.members.iter().any(|(other, m)| is_copy(other, m))
    }

    /// Where there are more voters than wanted, the one that serves least is demoted.
    fn demote_surplus(&self) -> Option<MembershipChange> {
        let voters = self.voters();
        if voters.len() <= self.target_voters {
            return None;
        }
        let dispensable = |address: &str| {
            let health = match self.health(address) {
                Health::Unreachable | Health::Replaced => 3,
                Health::Leaving | Health::Impaired => 2,
                Health::Reachable => u32::from(self.members[address].standby_only),
            };
            (health, self.voters_in(self.zone(address)))
        };
        let worst = voters
            .into_iter()
            .filter(|v| *v != self.leader)
            .max_by_key(|v| dispensable(v))?;
        Some(MembershipChange::Demote(worst.to_string()))
    }

    /// Of an even number of voters, one that is silent or leaving is demoted: the majority gets smaller by it.
    fn demote_from_even_count(&self) -> Option<MembershipChange> {
        let count = self.voters().len();
        if count <= 2 || !count.is_multiple_of(2) {
            return None;
        }
        let outgoing = self.outgoing_voter()?;
        Some(MembershipChange::Demote(outgoing.to_string()))
    }

    /// A voter whose place a standby should take.
    fn outgoing_voter(&self) -> Option<&str> {
        self.first_voter_with(Health::Unreachable)
            .or_else(|| self.first_voter_with(Health::Leaving))
            .or_else(|| self.first_voter_with(Health::Impaired))
    }

    /// Where there are fewer voters than wanted, a standby is promoted; an odd number grows only by two, or where one
    /// voter is demoted next.
    fn promote_missing(&self) -> Option<MembershipChange> {
        let count = self.voters().len();
        if count >= self.target_voters {
            return None;
        }
        let one_suffices = count.is_multiple_of(2) || count == 1 || self.outgoing_voter().is_some();
        let needed = if one_suffices { 1 } else { 2 };
        if self.ready_standbys().len() < needed {
            return None;
        }
        let best = self.best_standby()?;
        Some(MembershipChange::Promote(best.to_string()))
    }

    /// A standby is promoted beside a voter that is silent, leaving, without a working disk or in a crowded zone, which is demoted next.
    ///
    /// The other order, demoting first, can end for ever: of three voters one is silent and demoted, the second is lost
    /// before that is committed, and the first comes back; it may not be elected with its shorter log, and the leader
    /// that was counts on the lost one alone. Promoting first, whoever comes back counts.
    fn promote_replacement(&self) -> Option<MembershipChange> {
        if self.voters().len() != self.target_voters {
            return None;
        }
        let best = self.best_standby()?;
        let crowded = self
            .voters()
            .iter()
            .map(|v| self.voters_in(self.zone(v)))
            .max();
        let spreads = crowded.is_some_and(|most| most >= self.voters_in(self.zone(best)) + 2);
        if self.outgoing_voter().is_none() && !spreads {
            return None;
        }
        Some(MembershipChange::Promote(best.to_string()))
    }

    fn remove_unreachable_standby(&self) -> Option<MembershipChange> {
        let long_silent = |address: &str| {
            self.observed
                .get(address)
                .is_some_and(|o| o.long_unreachable)
        };
        let (gone, _) = self
            .members
            .iter()
            .find(|(address, m)| !m.voter && *address != self.leader && long_silent(address))?;
        Some(MembershipChange::Remove(gone.clone()))
    }
}
