//! The membership as known by one replica, and the leader's reconciliation of it.

use super::membership::{
    majority, Health, JoinRequest, MemberStatus, MembershipChange, MembershipView, Resilience,
};
use super::progress::Progress;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::{Command, ReplicaMember};
use crate::wire::{Body, JoinCluster};
use std::collections::BTreeMap;

/// A standby is considered caught up if it is at most this many entries behind the commit index.
const CAUGHT_UP_MAX_LAG_ENTRIES: u64 = 64;
/// A standby that has been unreachable for this many times `bounds.replace_ms` is removed from the membership.
const STANDBY_REMOVAL_REPLACE_TIMEOUTS: u64 = 3;
/// The interval between a replica's join requests, in heartbeats.
const JOIN_EVERY_HEARTBEATS: u64 = 4;

/// Members by address.
pub(super) type Members = BTreeMap<String, ReplicaMember>;

/// A join request and the time at which it was received, in monotonic milliseconds.
#[derive(Clone, Debug)]
struct ReceivedJoinRequest {
    received_at: u64,
    request: JoinRequest,
}

/// The membership state that is not part of the log.
#[derive(Clone, Debug, Default)]
pub(super) struct MembershipState {
    /// The cached members as of the last log entry; `None` after an entry that may change them.
    cache: Option<Members>,
    join_requests: BTreeMap<String, ReceivedJoinRequest>,
    /// The zones of other replicas, as reported in their hello messages.
    pub zones: BTreeMap<String, String>,
    /// The time of this replica's last join request, in monotonic milliseconds.
    last_join_request_at: Option<u64>,
    /// Whether this replica is not a founder of the cluster: it is configured to join, or its disk is empty while
    /// others have a log. It then ignores the founders in the settings.
    pub joining: bool,
    /// The resilience as last logged.
    pub resilience: Resilience,
}

impl MembershipState {
    /// The state after a start. `joining` must be true if no founders are stored on the disk: this replica then joins
    /// an existing cluster.
    pub fn new(joining: bool) -> Self {
        Self {
            joining,
            ..Self::default()
        }
    }

    /// Discards the cached members, since an entry of the log may have changed them.
    pub fn invalidate(&mut self) {
        self.cache = None;
    }
}

impl Replica {
    /// The members as of the last log entry, committed or not; before the first members are recorded, the founders.
    pub(super) fn members(&mut self) -> Members {
        if let Some(members) = &self.membership.cache {
            return members.clone();
        }
        let mut members = self.state.replicas.clone();
        let applied = self.state.applied_index;
        for entry in self.log.iter().filter(|entry| entry.index > applied) {
            if let Ok(command) = Command::unpack(&entry.command) {
                apply_to_members(&mut members, command);
            }
        }
        if members.is_empty() && !self.membership.joining {
            members = self.founding_members();
        }
        self.membership.cache = Some(members.clone());
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

    /// The addresses of the voters.
    pub(super) fn voters(&mut self) -> Vec<String> {
        let members = self.members().into_iter();
        members
            .filter(|(_, member)| member.voter)
            .map(|(address, _)| address)
            .collect()
    }

    /// The number of voters that form a majority.
    pub(super) fn majority(&mut self) -> usize {
        majority(self.voters().len())
    }

    /// Whether this replica, with its current disk, is a voter.
    pub(super) fn is_voter(&mut self) -> bool {
        let (name, disk) = (self.name.clone(), self.disk);
        self.is_member_disk(&name, disk) && self.members().get(&name).is_some_and(|m| m.voter)
    }

    /// Whether a disk is that of the member at an address, or the member's disk is not known yet because the first
    /// members are not recorded. Votes and answers from another disk at the same address do not count.
    pub(super) fn is_member_disk(&mut self, address: &str, disk: u64) -> bool {
        self.members()
            .get(address)
            .is_some_and(|member| member.disk == disk || member.disk == 0)
    }

    /// One value for each voter: `own` for this replica, `value(progress)` for another, and 0 for one that responds
    /// with another disk than the member's.
    pub(super) fn voter_values(&mut self, own: u64, value: impl Fn(&Progress) -> u64) -> Vec<u64> {
        let mut values = Vec::new();
        for (address, member) in self.members() {
            if !member.voter {
                continue;
            }
            if address == self.name {
                values.push(own);
                continue;
            }
            let progress = self.leadership.progress.get(&address);
            let with_member_disk = progress.filter(|p| member.disk == 0 || p.disk == member.disk);
            values.push(with_member_disk.map_or(0, &value));
        }
        values
    }

    /// The largest value reached by a majority of the voters.
    pub(super) fn reached_by_majority(mut values: Vec<u64>) -> u64 {
        values.sort_unstable();
        let needed = majority(values.len());
        values
            .len()
            .checked_sub(needed)
            .map_or(0, |index| values[index])
    }

    /// The command for the next membership change, if one is due.
    pub(super) fn next_membership_command(&mut self, now: Now) -> Option<Command> {
        if self.state.replicas.is_empty() {
            return self.found_cluster(now);
        }
        let expiry_ms = self.settings.bounds.replace_ms;
        self.membership
            .join_requests
            .retain(|_, join| now.mono.saturating_sub(join.received_at) < expiry_ms);
        let members = self.members();
        let change = self.with_view(now, |view| view.next_change())?;
        self.outbox.log(format!("membership change: {change:?}"));
        self.count("membership_changes", 1);
        Some(command_for(&members, change))
    }

    /// Records the first members: the founders that have responded, with their disks. The leader waits for all founders
    /// for one election timeout; then it does without one of them, since any majority of all founders and any majority
    /// of the others still share a member.
    fn found_cluster(&mut self, now: Now) -> Option<Command> {
        let founders = &self.hard_state.founders;
        let mut replicas = Members::new();
        for address in founders {
            let (disk, zone) = self.founder_identity(address);
            if disk != 0 {
                let member = ReplicaMember {
                    voter: true,
                    disk,
                    zone,
                    standby_only: false,
                };
                replicas.insert(address.clone(), member);
            }
        }
        let led_ms = now.mono.saturating_sub(self.leadership.since);
        let waited = led_ms >= self.settings.bounds.election_timeout();
        let all_responded = replicas.len() == founders.len();
        let all_but_one_responded = replicas.len() + 1 == founders.len();
        (all_responded || (waited && all_but_one_responded))
            .then_some(Command::FoundCluster { replicas })
    }

    /// The disk and the zone of a founder; 0 and empty if unknown.
    fn founder_identity(&self, address: &str) -> (u64, String) {
        if address == self.name {
            return (self.disk, self.settings.zone.clone());
        }
        let progress = self.leadership.progress.get(address);
        let zone = self.membership.zones.get(address).cloned();
        (progress.map_or(0, |p| p.disk), zone.unwrap_or_default())
    }

    /// Calls `use_view` with the leader's view of the membership.
    fn with_view<T>(&mut self, now: Now, use_view: impl FnOnce(&MembershipView) -> T) -> T {
        let members = self.members();
        let observed = self.member_statuses(now, &members);
        let received = self.membership.join_requests.iter();
        let requests: BTreeMap<String, JoinRequest> = received
            .map(|(address, join)| (address.clone(), join.request.clone()))
            .collect();
        use_view(&MembershipView {
            leader: &self.name,
            target_voters: self.settings.voters as usize,
            members: &members,
            observed: &observed,
            requests: &requests,
        })
    }

    fn member_statuses(&self, now: Now, members: &Members) -> BTreeMap<String, MemberStatus> {
        let others = members.iter().filter(|(address, _)| **address != self.name);
        others
            .map(|(address, member)| (address.clone(), self.member_status(now, address, member)))
            .collect()
    }

    fn member_status(&self, now: Now, address: &str, member: &ReplicaMember) -> MemberStatus {
        let progress = self
            .leadership
            .progress
            .get(address)
            .cloned()
            .unwrap_or_default();
        let since_contact = now.mono.saturating_sub(progress.last_heard_at);
        let join = self.membership.join_requests.get(address);
        let requested_disk = join.map_or(0, |join| join.request.disk);
        let is_other_disk = |disk: u64| disk != 0 && disk != member.disk;
        let health = if is_other_disk(progress.disk) || is_other_disk(requested_disk) {
            Health::Replaced
        } else if since_contact > self.settings.bounds.voter_replacement_timeout() {
            Health::Unreachable
        } else if progress.leaving {
            Health::Leaving
        } else if progress.disk_refuses_writes {
            Health::Impaired
        } else {
            Health::Reachable
        };
        let is_responding =
            since_contact < self.settings.bounds.election_timeout() && progress.disk == member.disk;
        let is_near_commit_index = progress.match_index > 0
            && progress.match_index + CAUGHT_UP_MAX_LAG_ENTRIES >= self.log.commit_index;
        MemberStatus {
            health,
            caught_up: is_responding && is_near_commit_index,
            long_unreachable: since_contact
                > STANDBY_REMOVAL_REPLACE_TIMEOUTS * self.settings.bounds.replace_ms,
        }
    }

    /// Whether a replica that is leaving may exit without being replaced, because there is no reachable standby.
    pub(super) fn may_leave(&mut self, now: Now, address: &str) -> bool {
        let progress = self.leadership.progress.get(address);
        let is_leaving = progress.is_some_and(|p| p.leaving);
        is_leaving && !self.with_view(now, |view| view.has_standby())
    }

    /// Whether proposals of nodes are accepted. Before the first configuration is accepted, a majority of the current
    /// voters must be at least as large as a majority of the configured number of voters, so that accepted data
    /// survives the losses that the latter tolerates. If there are too few machines for that, the leader accepts
    /// proposals nevertheless after `bounds.outage_ms`.
    pub(super) fn accepts_proposals(&mut self, now: Now) -> bool {
        if self.state.version > 0 {
            return true;
        }
        let required_majority = majority(self.settings.voters as usize);
        let led_ms = now.mono.saturating_sub(self.leadership.since);
        self.majority() >= required_majority || led_ms > self.settings.bounds.outage_ms
    }

    /// Logs the resilience whenever it changes.
    pub(super) fn report_resilience(&mut self, now: Now) {
        let resilience = self.with_view(now, |view| view.resilience());
        if resilience == self.membership.resilience {
            return;
        }
        self.membership.resilience = resilience;
        let Resilience {
            voters,
            standbys,
            machine_losses_left,
            zone_loss_survivable,
        } = resilience;
        self.outbox.log(format!(
            "{voters} voters, {standbys} standbys: {machine_losses_left} more machines may be lost; a majority {} the loss of any single zone",
            if zone_loss_survivable { "survives" } else { "does not survive" }
        ));
    }

    /// Keeps a join request for the next membership changes; it replaces an earlier one from the same address.
    pub(super) fn on_join_request(&mut self, now: Now, from: &str, join: JoinCluster) {
        let received = ReceivedJoinRequest {
            received_at: now.mono,
            request: JoinRequest {
                disk: join.disk,
                zone: join.zone,
                standby_only: join.standby_only,
            },
        };
        self.membership.join_requests.insert(from.into(), received);
    }

    /// Sends join requests if this replica is not a member, or if no leader has contacted it for longer than the voter
    /// replacement timeout, since it may have been removed.
    pub(super) fn join_tick(&mut self, now: Now) {
        let name = self.name.clone();
        let since_contact = now.mono.saturating_sub(self.election.last_leader_contact);
        let is_admitted = self.is_member_disk(&name, self.disk);
        let has_lost_leader = since_contact > self.settings.bounds.voter_replacement_timeout();
        let interval = JOIN_EVERY_HEARTBEATS * self.settings.bounds.heartbeat_interval();
        let last_request_at = self.membership.last_join_request_at;
        let is_due = last_request_at.is_none_or(|at| now.mono >= at + interval);
        let needs_to_join = !is_admitted || has_lost_leader;
        if self.is_recovering() || self.role == Role::Leader || !is_due || !needs_to_join {
            return;
        }
        self.membership.last_join_request_at = Some(now.mono);
        let mut targets = self.known_replicas();
        if !self.leader.is_empty() && self.leader != name {
            targets.insert(self.leader.clone());
        }
        let join = JoinCluster {
            disk: self.disk,
            zone: self.settings.zone.clone(),
            standby_only: self.settings.standby_only,
        };
        for target in targets {
            self.send(&target, Body::JoinCluster(Box::new(join.clone())));
        }
    }
}

/// Applies a command to the members; commands that do not change them are ignored.
fn apply_to_members(members: &mut Members, command: Command) {
    match command {
        Command::FoundCluster { replicas } if members.is_empty() => *members = replicas,
        Command::UpdateReplica { replica, member } => {
            members.insert(replica, member);
        }
        Command::RemoveReplica { replica, disk }
            if members.get(&replica).is_some_and(|m| m.disk == disk) =>
        {
            members.remove(&replica);
        }
        _ => {}
    }
}

/// The command that carries out a membership change.
fn command_for(members: &Members, change: MembershipChange) -> Command {
    let with_voting_right = |replica: String, voter: bool| {
        let known = members.get(&replica).cloned();
        let member = ReplicaMember {
            voter,
            ..known.unwrap_or_default()
        };
        Command::UpdateReplica { replica, member }
    };
    match change {
        MembershipChange::Promote(replica) => with_voting_right(replica, true),
        MembershipChange::Demote(replica) => with_voting_right(replica, false),
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
