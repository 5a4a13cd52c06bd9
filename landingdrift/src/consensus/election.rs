//! Elections: pre-vote, vote and leadership transfer.

use super::position::LogPosition;
use super::progress::Progress;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{Body, TransferLeadership, VoteRequest, VoteResponse};
use std::collections::BTreeMap;

/// The divisor of the election timeout for a while after recovery as long as no leader is known. Most likely there is
/// no leader then, as after a total outage, and the shorter timeout ends the outage sooner.
const FAST_ELECTION_DIVISOR: u64 = 4;

/// The election timer and the votes received. Times are monotonic milliseconds.
#[derive(Clone, Debug)]
pub(super) struct Election {
    /// The time at which this replica starts a pre-vote unless a leader contacts it first.
    pub deadline: u64,
    pub last_leader_contact: u64,
    /// The time until which the shorter election timeout applies.
    pub fast_until: u64,
    /// The disks of the replicas that granted their vote, by address.
    pub votes: BTreeMap<String, u64>,
}

impl Election {
    /// Starts an election timer of `timeout_ms`, without any votes received.
    pub fn new(now: Now, timeout_ms: u64) -> Self {
        Self {
            deadline: now.mono + timeout_ms,
            last_leader_contact: now.mono,
            fast_until: 0,
            votes: BTreeMap::new(),
        }
    }
}

impl Replica {
    /// Restarts the election timer, with a random part so that replicas rarely start elections at the same time.
    pub(super) fn reset_election_timer(&mut self, now: Now) {
        let mut timeout = self.settings.bounds.election_timeout();
        let is_fast = now.mono < self.election.fast_until && self.leader.is_empty();
        if is_fast {
            timeout /= FAST_ELECTION_DIVISOR;
        }
        // A replica that is shutting down waits longer, so that others are elected first.
        let shutdown_delay = if self.shutdown.is_requested() {
            timeout
        } else {
            0
        };
        self.election.deadline = now.mono + shutdown_delay + timeout + self.rng.below(timeout);
    }

    /// Whether this replica leads, or a leader has contacted it within the election timeout.
    fn has_live_leader(&self, now: Now) -> bool {
        let since_contact = now.mono.saturating_sub(self.election.last_leader_contact);
        self.role == Role::Leader
            || (!self.leader.is_empty() && since_contact < self.settings.bounds.election_timeout())
    }

    /// Becomes a follower in `term`, which is not lower than the current term. `leader` is empty if unknown.
    pub(super) fn become_follower(&mut self, now: Now, term: u64, leader: &str) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote.clear();
            self.log.verified_index = 0;
            self.persistence.write_hard_state(&self.hard_state);
        }
        if self.role == Role::Leader {
            self.outbox.log(format!(
                "lost leadership, now in term {}",
                self.hard_state.term
            ));
            // A pending proposal may still be committed by another leader, so it must not be reported as rejected.
            self.leadership.pending_proposals.clear();
            self.leadership.pending_reads.clear();
            self.count("leaderships_lost", 1);
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        if self.leader != leader {
            self.leader = leader.into();
        }
    }

    /// Starts a pre-vote if this replica may lead. It precedes the election, so that a replica that was partitioned
    /// does not disrupt a working leader with a new term.
    pub(super) fn start_pre_vote(&mut self, now: Now) {
        self.reset_election_timer(now);
        let may_lead = !self.is_recovering()
            && self.is_voter()
            && self.required_position(now) <= self.log.last()
            && self.disk_health.accepts_writes();
        if !may_lead {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader.clear();
        self.request_votes(now, false);
    }

    /// Starts an election in the next term.
    fn campaign(&mut self, now: Now, leadership_transfer: bool) {
        self.role = Role::Candidate;
        self.hard_state.term += 1;
        self.hard_state.vote = self.name.clone();
        self.persistence.write_hard_state(&self.hard_state);
        self.count("elections", 1);
        self.reset_election_timer(now);
        self.request_votes(now, leadership_transfer);
    }

    /// Requests the vote, or as a pre-candidate the pre-vote, of all other voters.
    fn request_votes(&mut self, now: Now, leadership_transfer: bool) {
        let own_name = self.name.clone();
        let pre_vote = self.role == Role::PreCandidate;
        self.election.votes = BTreeMap::from([(own_name.clone(), self.disk)]);
        let last = self.log.last();
        let request = VoteRequest {
            pre: pre_vote,
            leadership_transfer,
            term: self.hard_state.term + u64::from(pre_vote),
            last_index: last.index,
            last_term: last.term,
            disk: self.disk,
        };
        let body = Body::VoteRequest(Box::new(request));
        for voter in self.voters().into_iter().filter(|v| *v != own_name) {
            if pre_vote {
                self.send(&voter, body.clone());
            } else {
                self.send_when_durable(&voter, body.clone());
            }
        }
        self.count_votes(now);
    }

    /// Answers another replica's request for a vote or pre-vote. There is no answer while this replica is recovering,
    /// has a live leader that does not transfer leadership, or has a disk that accepts no writes.
    pub(super) fn on_vote_request(&mut self, now: Now, from: &str, request: &VoteRequest) {
        let stays_with_leader = self.has_live_leader(now) && !request.leadership_transfer;
        if self.is_recovering() || stays_with_leader || !self.disk_health.accepts_writes() {
            return;
        }
        // An unknown candidate may have been promoted by entries that this replica lacks.
        let is_eligible =
            !self.members().contains_key(from) || self.is_member_disk(from, request.disk);
        let candidate_last = LogPosition::new(request.last_term, request.last_index);
        let is_up_to_date = candidate_last >= self.required_position(now);
        let may_vote = is_eligible && is_up_to_date;
        if request.pre {
            self.answer_pre_vote(from, request.term, may_vote);
        } else {
            self.answer_vote(now, from, request.term, may_vote);
        }
    }

    fn answer_pre_vote(&mut self, from: &str, term: u64, may_vote: bool) {
        let highest_excluded_term = self.hard_state.term.max(self.hard_state.no_vote_through);
        let granted = may_vote && term > highest_excluded_term;
        let response = VoteResponse {
            pre: true,
            term: if granted { term } else { highest_excluded_term },
            granted,
            disk: self.disk,
        };
        self.send(from, Body::VoteResponse(Box::new(response)));
    }

    fn answer_vote(&mut self, now: Now, from: &str, term: u64, may_vote: bool) {
        if term > self.hard_state.term {
            self.become_follower(now, term, "");
        }
        let can_vote_for = self.hard_state.vote.is_empty() || self.hard_state.vote == from;
        let granted = may_vote
            && can_vote_for
            && term == self.hard_state.term
            && term > self.hard_state.no_vote_through;
        if granted {
            self.hard_state.vote = from.into();
            self.persistence.write_hard_state(&self.hard_state);
            self.reset_election_timer(now);
        }
        let response = VoteResponse {
            pre: false,
            term: self.hard_state.term,
            granted,
            disk: self.disk,
        };
        self.send_when_durable(from, Body::VoteResponse(Box::new(response)));
    }

    /// Counts a vote or pre-vote granted in this round; a refusal with a higher term makes this replica a follower.
    pub(super) fn on_vote_response(&mut self, now: Now, from: &str, response: &VoteResponse) {
        if response.term > self.hard_state.term && !response.granted {
            self.become_follower(now, response.term, "");
            return;
        }
        let is_current = match self.role {
            Role::PreCandidate => response.pre && response.term == self.hard_state.term + 1,
            Role::Candidate => !response.pre && response.term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if is_current && response.granted {
            self.election.votes.insert(from.into(), response.disk);
            self.count_votes(now);
        }
    }

    /// Advances from pre-vote to election, or from election to leadership, once a majority of the voters has granted
    /// its vote.
    pub(super) fn count_votes(&mut self, now: Now) {
        let voters = self.voters();
        let mut counted = 0;
        for (address, disk) in self.election.votes.clone() {
            if voters.contains(&address) && self.is_member_disk(&address, disk) {
                counted += 1;
            }
        }
        if counted < self.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            Role::Candidate if self.persistence.are_submitted_writes_durable() => {
                self.become_leader(now)
            }
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = self.name.clone();
        let next_index = self.log.last().index + 1;
        let own_name = self.name.clone();
        let others = self.members().into_keys().filter(|name| *name != own_name);
        let progress = others.map(|name| (name, Progress::new(next_index, now)));
        self.leadership.start(now, progress.collect());
        self.watch.watchers.clear();
        let last_entry_time = self.last_entry_time();
        self.clock.start_leading(now, last_entry_time);
        self.count("leaderships", 1);
        self.outbox
            .log(format!("became leader of term {}", self.hard_state.term));
        let leader = self.name.clone();
        let first_index = self.append_command(now, &Command::TermStarted { leader });
        self.leadership.term_start_index = first_index;
        self.send_round(now, true);
    }

    /// The voter that should lead next: the one with the most entries among the reachable voters that are not leaving
    /// and have a working disk.
    fn successor(&mut self, now: Now) -> Option<String> {
        let voters = self.voters();
        let timeout = self.settings.bounds.election_timeout();
        let is_eligible = |address: &String, progress: &Progress| {
            voters.contains(address)
                && !progress.leaving
                && !progress.disk_refuses_writes
                && now.mono.saturating_sub(progress.last_heard_at) < timeout
        };
        self.leadership
            .progress
            .iter()
            .filter(|(address, progress)| is_eligible(address, progress))
            .max_by_key(|(_, progress)| (progress.match_index, progress.last_heard_at))
            .map(|(address, _)| address.clone())
    }

    /// Whether this leader is shutting down and another voter can lead in its place.
    pub(super) fn is_transferring_leadership(&mut self, now: Now) -> bool {
        self.shutdown.is_requested() && self.successor(now).is_some()
    }

    /// Asks the best successor, if there is one, to take over leadership.
    pub(super) fn transfer_leadership(&mut self, now: Now) {
        self.shutdown.transfer_requested_at = now.mono;
        let term = self.hard_state.term;
        if let Some(successor) = self.successor(now) {
            let body = Body::TransferLeadership(Box::new(TransferLeadership { term }));
            self.send(&successor, body);
        }
    }

    /// Starts an election at once when the leader of `term` asks for it, unless this replica may not lead now.
    pub(super) fn on_transfer_leadership(&mut self, now: Now, term: u64) {
        let may_lead = term == self.hard_state.term
            && self.role == Role::Follower
            && !self.is_recovering()
            && !self.shutdown.is_requested()
            && self.disk_health.accepts_writes()
            && self.is_voter()
            && self.recovery.floor <= self.log.last();
        if may_lead {
            self.campaign(now, true);
        }
    }
}
