//! A pure reconciler of the membership: it derives the next single change from the members and their observed status.
//!
//! A replica is identified by its address *and* its disk. Changes are made one at a time, each committed before the
//! next is derived, so that any two successive majorities share a member.

use crate::state::ReplicaMember;
use std::collections::BTreeMap;

/// The condition of a member as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It responds.
    Reachable,
    /// It responds, and is in an orderly shutdown.
    Leaving,
    /// It responds, but its disk accepts no writes.
    Impaired,
    /// It has not responded for longer than the timeout after which a voter is replaced.
    Unreachable,
    /// Another disk responds at its address: this identity will never respond again.
    Replaced,
}

/// The status of a member as observed by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its current condition.
    pub health: Health,
    /// Whether its log has (nearly) reached the commit index, so that promoting it does not delay commits.
    pub caught_up: bool,
    /// Whether it has been unreachable for longer than the timeout after which a standby is removed.
    pub long_unreachable: bool,
}

/// A replica's request to be admitted to the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinRequest {
    /// The identity of its disk.
    pub disk: u64,
    /// The zone in which it runs; voters are spread over the zones.
    pub zone: String,
    /// Whether it may become a voter only if all members are standby-only.
    pub standby_only: bool,
}

/// A single change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A new replica becomes a standby, which receives the log but does not vote.
    Admit(String, JoinRequest),
    /// A standby becomes a voter.
    Promote(String),
    /// A voter becomes a standby.
    Demote(String),
    /// A member whose disk was replaced, or a standby that has been unreachable for too long, is removed.
    Remove(String),
}

/// The input from which the next change is derived.
pub struct MembershipView<'a> {
    /// The address of the leader, which is a member.
    pub leader: &'a str,
    /// The desired number of voters: 2f+1 to survive the loss of f machines at once.
    pub target_voters: usize,
    /// The members by address.
    pub members: &'a BTreeMap<String, ReplicaMember>,
    /// The observed status of the members other than the leader, by address.
    pub observed: &'a BTreeMap<String, MemberStatus>,
    /// Requests to be admitted, by address.
    pub requests: &'a BTreeMap<String, JoinRequest>,
}

/// The losses that the voters can survive while a majority remains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resilience {
    /// The number of voters.
    pub voters: usize,
    /// The number of standbys.
    pub standbys: usize,
    /// The number of further machines that may be lost, in any combination; negative if there is no majority.
    pub machine_losses_left: i64,
    /// Whether a majority would survive the loss of any single zone.
    pub zone_loss_survivable: bool,
}

/// The smallest number of voters that is more than half of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

impl MembershipView<'_> {
    /// The next membership change, if one is due.
    pub fn next_change(&self) -> Option<MembershipChange> {
        self.remove_replaced()
            .or_else(|| self.admit())
            .or_else(|| self.demote_surplus())
            .or_else(|| self.demote_from_even_count())
            .or_else(|| self.promote_missing())
            .or_else(|| self.promote_replacement())
            .or_else(|| self.remove_unreachable_standby())
    }

    /// Whether there is a reachable standby, even if it has not caught up or is standby-only.
    pub fn has_standby(&self) -> bool {
        self.members
            .iter()
            .any(|(address, member)| !member.voter && self.health(address) == Health::Reachable)
    }

    /// The losses that the current voters can survive.
    pub fn resilience(&self) -> Resilience {
        let voters = self.voters();
        let needed = majority(voters.len()) as i64;
        let is_responding =
            |address: &str| matches!(self.health(address), Health::Reachable | Health::Leaving);
        let reachable: Vec<&str> = voters
            .iter()
            .copied()
            .filter(|v| is_responding(v))
            .collect();
        let reachable_outside =
            |zone: &str| reachable.iter().filter(|v| self.zone(v) != zone).count() as i64;
        let zone_loss_survivable = reachable
            .iter()
            .all(|v| reachable_outside(self.zone(v)) >= needed);
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
        let is_ready = |address: &str| {
            let observed = self.observed.get(address);
            observed.is_some_and(|o| o.caught_up && o.health == Health::Reachable)
        };
        let ready: Vec<(&str, bool)> = self
            .members
            .iter()
            .filter(|(address, m)| !m.voter && is_ready(address))
            .map(|(address, m)| (address.as_str(), m.standby_only))
            .collect();
        let some_may_vote = self.members.values().any(|m| !m.standby_only);
        ready
            .into_iter()
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
        let replaced = self
            .members
            .keys()
            .find(|address| self.health(address) == Health::Replaced)?;
        Some(MembershipChange::Remove(replaced.clone()))
    }

    fn admit(&self) -> Option<MembershipChange> {
        let (address, request) = self
            .requests
            .iter()
            .find(|(address, request)| self.may_admit(address, request))?;
        Some(MembershipChange::Admit(address.clone(), request.clone()))
    }

    /// Whether a replica may be admitted: its address is not a member yet, and its disk does not respond at another
    /// address, as after copying a data folder.
    fn may_admit(&self, address: &str, request: &JoinRequest) -> bool {
        let is_copied_disk = |other: &String, member: &ReplicaMember| {
            member.disk == request.disk && self.health(other) != Health::Unreachable
        };
        !self.members.contains_key(address)
            && !self
                .members
                .iter()
                .any(|(other, m)| is_copied_disk(other, m))
    }

    /// If there are more voters than desired, demotes the most dispensable one, but never the leader.
    fn demote_surplus(&self) -> Option<MembershipChange> {
        let voters = self.voters();
        if voters.len() <= self.target_voters {
            return None;
        }
        let dispensability = |address: &str| {
            let health = match self.health(address) {
                Health::Unreachable | Health::Replaced => 3,
                Health::Leaving | Health::Impaired => 2,
                Health::Reachable => u32::from(self.members[address].standby_only),
            };
            (health, self.voters_in(self.zone(address)))
        };
        let most_dispensable = voters
            .into_iter()
            .filter(|v| *v != self.leader)
            .max_by_key(|v| dispensability(v))?;
        Some(MembershipChange::Demote(most_dispensable.to_string()))
    }

    /// If the number of voters is even, demotes one that is unreachable, leaving or impaired, which makes the majority
    /// smaller.
    fn demote_from_even_count(&self) -> Option<MembershipChange> {
        let count = self.voters().len();
        if count <= 2 || !count.is_multiple_of(2) {
            return None;
        }
        let outgoing = self.outgoing_voter()?;
        Some(MembershipChange::Demote(outgoing.to_string()))
    }

    /// A voter that a standby should replace: an unreachable one if there is any, else a leaving one, else an
    /// impaired one.
    fn outgoing_voter(&self) -> Option<&str> {
        self.first_voter_with(Health::Unreachable)
            .or_else(|| self.first_voter_with(Health::Leaving))
            .or_else(|| self.first_voter_with(Health::Impaired))
    }

    /// If there are fewer voters than desired, promotes a standby. From an odd number other than 1, a standby is
    /// promoted only if two are ready or a voter is to be demoted next.
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

    /// If there are as many voters as desired, promotes a standby to replace one that is unreachable, leaving or
    /// without a working disk, or that is in a zone with at least two more voters than the standby's. The replaced
    /// voter is demoted next.
    ///
    /// Demoting first could cost the majority permanently. An example with the voters A (the leader), B and C: C
    /// becomes unreachable, A appends C's demotion, B is lost before that entry is committed, and C returns. A can't
    /// commit, since its log lists only A and B as voters; C can't be elected, since its log is shorter. With promotion
    /// first, every voter that returns counts towards the majority.
    fn promote_replacement(&self) -> Option<MembershipChange> {
        if self.voters().len() != self.target_voters {
            return None;
        }
        let best = self.best_standby()?;
        let max_voters_per_zone = self
            .voters()
            .iter()
            .map(|v| self.voters_in(self.zone(v)))
            .max();
        let improves_spread =
            max_voters_per_zone.is_some_and(|max| max >= self.voters_in(self.zone(best)) + 2);
        if self.outgoing_voter().is_none() && !improves_spread {
            return None;
        }
        Some(MembershipChange::Promote(best.to_string()))
    }

    fn remove_unreachable_standby(&self) -> Option<MembershipChange> {
        let is_long_unreachable = |address: &str| {
            self.observed
                .get(address)
                .is_some_and(|o| o.long_unreachable)
        };
        let (unreachable, _) = self.members.iter().find(|(address, m)| {
            !m.voter && *address != self.leader && is_long_unreachable(address)
        })?;
        Some(MembershipChange::Remove(unreachable.clone()))
    }
}
