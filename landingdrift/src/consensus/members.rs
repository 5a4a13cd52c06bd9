//! The membership as one replica knows it, and the leader's lease of keeping it as wanted.

use super::membership::{
    majority, Health, JoinRequest, MembershipChange, MembershipView, Observed, Resilience,
};
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::{Command, ReplicaMember};
use crate::wire::{Body, JoinCluster};
use std::collections::{BTreeMap, BTreeSet};

/// A standby this many entries behind the commit index still counts as caught up.
const CAUGHT_UP_WITHIN: u64 = 64;
/// A standby that is silent for this many replacement spans is dropped from the membership.
const STANDBY_SILENT_SPANS: u64 = 3;
/// A replica repeats its request to be admitted after this many heartbeats.
const JOIN_EVERY_HEARTBEATS: u64 = 4;

/// Members by address.
pub(super) type Members = BTreeMap<String, ReplicaMember>;

impl Replica {
    /// The members by the latest entries of the log, committed or not; before there are any, the founders.
    pub(super) fn members(&mut self) -> Members {
        if let Some(members) = &self.members_cache {
            return members.clone();
        }
        let mut members = self.state.replicas.clone();
        let applied = self.state.applied_index;
        for entry in self.log.iter().filter(|e| e.index > applied) {
            match Command::unpack(&entry.command) {
                Ok(Command::FoundCluster { replicas }) if members.is_empty() => members = replicas,
                Ok(Command::UpdateReplica { replica, member }) => {
                    members.insert(replica, member);
                }
                Ok(Command::RemoveReplica { replica, disk })
                    if members.get(&replica).is_some_and(|m| m.disk == disk) =>
                {
                    members.remove(&replica);
                }
                _ => {}
            }
        }
        if members.is_empty() && !self.joining {
            members = self.founding_members();
        }
        self.members_cache = Some(members.clone());
        members
    }

    /// The founders, whose disks are not known yet.
    fn founding_members(&self) -> Members {
        let founder = |address: &String| {
            let member = ReplicaMember {
                voter: true,
                ..ReplicaMember::default()
            };
            (address.clone(), member)
        };
        self.hard_state.founders.iter().map(founder).collect()
    }

    pub(super) fn voters(&mut self) -> Vec<String> {
        self.members()
            .into_iter()
            .filter(|(_, m)| m.voter)
            .map(|(address, _)| address)
            .collect()
    }

    pub(super) fn majority(&mut self) -> usize {
        majority(self.voters().len())
    }

    /// Whether this replica, with the disk that it has, is a voter.
    pub(super) fn is_voter(&mut self) -> bool {
        let (name, disk) = (self.name.clone(), self.disk);
        self.is_identity(&name, disk) && self.members().get(&name).is_some_and(|m| m.voter)
    }

    /// Whether an address is a member with this very disk (or with one not known yet, before the first members are
    /// agreed on). What another disk at the same address says counts for nothing.
    pub(super) fn is_identity(&mut self, address: &str, disk: u64) -> bool {
        self.members()
            .get(address)
            .is_some_and(|m| m.disk == disk || m.disk == 0)
    }

    /// For each voter what `of` tells; 0 for one whose identity is not the one that answers.
    pub(super) fn by_voter(&mut self, own: u64, of: impl Fn(&super::Peer) -> u64) -> Vec<u64> {
        let members = self.members();
        let voters = members.iter().filter(|(_, m)| m.voter);
        let value = |(address, member): (&String, &ReplicaMember)| {
            if *address == self.name {
                return own;
            }
            self.peers
                .get(address)
                .filter(|p| member.disk == 0 || p.disk == member.disk)
                .map_or(0, &of)
        };
        voters.map(value).collect()
    }

    /// The largest value that a majority of the voters has reached.
    pub(super) fn reached_by_majority(mut values: Vec<u64>) -> u64 {
        values.sort_unstable();
        let needed = majority(values.len());
        values.len().checked_sub(needed).map_or(0, |i| values[i])
    }

    /// The next change of the membership, as an entry.
    pub(super) fn membership_command(&mut self, now: Now) -> Option<Command> {
        if self.state.replicas.is_empty() {
            return self.found(now);
        }
        let span = self.settings.bounds.replace_ms;
        self.join_requests
            .retain(|_, (at, _)| now.mono.saturating_sub(*at) < span);
        let members = self.members();
        let change = self.with_view(now, |view| view.next_change())?;
        self.line(format!("membership: {change:?}"));
        self.count("membership_changes", 1);
        Some(self.command_for(&members, change))
    }

    fn command_for(&self, members: &Members, change: MembershipChange) -> Command {
        let with_vote = |replica: String, voter: bool| {
            let member = ReplicaMember {
                voter,
                ..members.get(&replica).cloned().unwrap_or_default()
            };
            Command::UpdateReplica { replica, member }
        };
        match change {
            MembershipChange::Promote(replica) => with_vote(replica, true),
            MembershipChange::Demote(replica) => with_vote(replica, false),
            MembershipChange::Remove(replica) => {
                let disk = members.get(&replica).map_or(0, |m| m.disk);
                Command::RemoveReplica { replica, disk }
            }
            MembershipChange::Admit(replica, request) => Command::UpdateReplica {
                replica,
                member: ReplicaMember {
                    voter: false,
                    disk: request.disk,
                    zone: request.zone,
                    standby_only: request.standby_only,
                },
            },
        }
    }

    /// The first members: the founders that were heard, with their disks. All are waited for during one election span;
    /// one may then be left out, since any majority with it and any without it still meet.
    fn found(&mut self, now: Now) -> Option<Command> {
        let founders = self.hard_state.founders.clone();
        let mut replicas = Members::new();
        for address in &founders {
            let disk = if *address == self.name {
                self.disk
            } else {
                self.peers.get(address).map_or(0, |p| p.disk)
            };
            let zone = if *address == self.name {
                self.settings.zone.clone()
            } else {
                self.zones.get(address).cloned().unwrap_or_default()
            };
            let member = ReplicaMember {
                voter: true,
                disk,
                zone,
                standby_only: false,
            };
            if disk != 0 {
                replicas.insert(address.clone(), member);
            }
        }
        let waited = now.mono.saturating_sub(self.leader_since) >= self.settings.bounds.election();
        let complete =
            replicas.len() == founders.len() || (waited && replicas.len() + 1 == founders.len());
        complete.then_some(Command::FoundCluster { replicas })
    }

    /// Hands `use_view` what the leader knows of the members.
    pub(super) fn with_view<T>(
        &mut self,
        now: Now,
        use_view: impl FnOnce(&MembershipView) -> T,
    ) -> T {
        let members = self.members();
        let observed = self.observe(now, &members);
        let requests: BTreeMap<String, JoinRequest> = self
            .join_requests
            .iter()
            .map(|(address, (_, request))| (address.clone(), request.clone()))
            .collect();
        use_view(&MembershipView {
            leader: &self.name,
            target_voters: self.settings.voters as usize,
            members: &members,
            observed: &observed,
            requests: &requests,
        })
    }

    fn observe(&self, now: Now, members: &Members) -> BTreeMap<String, Observed> {
        let others = members.iter().filter(|(address, _)| **address != self.name);
        others
            .map(|(address, member)| (address.clone(), self.observe_member(now, address, member)))
            .collect()
    }

    fn observe_member(&self, now: Now, address: &str, member: &ReplicaMember) -> Observed {
        let peer = self.peers.get(address).cloned().unwrap_or_default();
        let silence = now.mono.saturating_sub(peer.heard);
        let requested = self.join_requests.get(address).map_or(0, |(_, r)| r.disk);
        let other_disk = |disk: u64| disk != 0 && disk != member.disk;
        let health = if other_disk(peer.disk) || other_disk(requested) {
            Health::Replaced
        } else if silence > self.settings.bounds.exchange() {
            Health::Silent
        } else if peer.leaving {
            Health::Leaving
        } else if peer.refuses {
            Health::Impaired
        } else {
            Health::Reachable
        };
        let answers = silence < self.settings.bounds.election() && peer.disk == member.disk;
        let caught_up = peer.matched > 0 && peer.matched + CAUGHT_UP_WITHIN >= self.commit;
        Observed {
            health,
            caught_up: answers && caught_up,
            long_silent: silence > STANDBY_SILENT_SPANS * self.settings.bounds.replace_ms,
        }
    }

    /// Whether a replica that is leaving may end: no standby can take its place, or it is no voter any more.
    pub(super) fn may_leave(&mut self, now: Now, address: &str) -> bool {
        let leaving = self.peers.get(address).is_some_and(|p| p.leaving);
        leaving && !self.with_view(now, |view| view.has_standby())
    }

    /// Whether orders from outside are accepted: before the first configuration is taken, not until a majority of the
    /// voters holds as many disks as may be lost at once and one more. Where the machines do not give that, the leader
    /// goes on with what there is once it has waited for long.
    pub(super) fn accepts_orders(&mut self, now: Now) -> bool {
        if self.state.version > 0 {
            return true;
        }
        let disks_needed = majority(self.settings.voters as usize);
        let waited = now.mono.saturating_sub(self.leader_since) > self.settings.bounds.outage_ms;
        self.majority() >= disks_needed || waited
    }

    /// What may still be lost; says so in the log when it changes.
    pub(super) fn watch_resilience(&mut self, now: Now) {
        let resilience = self.with_view(now, |view| view.resilience());
        if resilience == self.resilience {
            return;
        }
        self.resilience = resilience;
        let Resilience {
            voters,
            standbys,
            machine_losses_left,
            zone_loss_survivable,
        } = resilience;
        self.line(format!(
            "{voters} voters, {standbys} standbys: {machine_losses_left} more machines may be lost, any one zone {}",
            if zone_loss_survivable { "too" } else { "not" }
        ));
    }

    pub(super) fn on_join(&mut self, now: Now, from: &str, m: JoinCluster) {
        let request = JoinRequest {
            disk: m.disk,
            zone: m.zone,
            standby_only: m.standby_only,
        };
        self.join_requests.insert(from.into(), (now.mono, request));
    }

    /// A replica that is no member, or hears no leader, asks to be admitted: it may have been removed meanwhile.
    pub(super) fn join_tick(&mut self, now: Now) {
        let name = self.name.clone();
        let silence = now.mono.saturating_sub(self.heard_leader);
        let admitted = self.is_identity(&name, self.disk);
        let abandoned = silence > self.settings.bounds.exchange();
        let every = JOIN_EVERY_HEARTBEATS * self.settings.bounds.heartbeat();
        let due = self.joined_at.is_none_or(|at| now.mono >= at + every);
        if self.recovery.is_some() || self.role == Role::Leader || !due || (admitted && !abandoned)
        {
            return;
        }
        self.joined_at = Some(now.mono);
        let mut targets: BTreeSet<String> = self.members().into_keys().collect();
        targets.extend(self.settings.seeds.iter().cloned());
        targets.extend(self.peer_sampler.replicas.iter().cloned());
        targets.extend(Some(self.leader.clone()).filter(|l| !l.is_empty()));
        targets.remove(&name);
        let request = JoinCluster {
            disk: self.disk,
            zone: self.settings.zone.clone(),
            standby_only: self.settings.standby_only,
        };
        for target in targets {
            self.send(&target, Body::JoinCluster(Box::new(request.clone())));
        }
    }
}
