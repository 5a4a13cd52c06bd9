//! Elections: pre-vote, vote, and transfer of leadership.

use super::position::LogPosition;
use super::progress::Progress;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{Body, TransferLeadership, VoteRequest, VoteResponse};
use std::collections::BTreeMap;

/// Shortly after a start, with no leader heard of, the election time-out is shorter by this factor: there is most likely
/// no leader at all, as after a total outage.
const FAST_ELECTION_DIVISOR: u64 = 4;

/// The election timer and the votes that were received. Times are monotonic milliseconds.
#[derive(Clone, Debug)]
pub(super) struct Election {
    /// When this replica stands for election unless it hears a leader first.
    pub deadline: u64,
    pub last_leader_contact: u64,
    /// Until when the election time-out is short.
    pub fast_until: u64,
    /// The disks of the replicas that gave their vote, by address.
    pub votes: BTreeMap<String, u64>,
}

impl Election {
    /// An election timer that has just been started.
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
    /// Starts the election timer anew, with a random share so that replicas rarely stand at once.
    pub(super) fn reset_election_timer(&mut self, now: Now) {
        let mut timeout = self.settings.bounds.election_timeout();
        let is_fast = now.mono < self.election.fast_until && self.leader.is_empty();
        if is_fast {
            timeout /= FAST_ELECTION_DIVISOR;
        }
        // A replica that is being shut down lets the others stand first.
        let reserve = if self.shutdown.is_requested() {
            timeout
        } else {
            0
        };
        self.election.deadline = now.mono + reserve + timeout + self.rng.below(timeout);
    }

    /// Whether a leader was heard within the election time-out, or this replica leads.
    fn has_live_leader(&self, now: Now) -> bool {
        let silence = now.mono.saturating_sub(self.election.last_leader_contact);
        self.role == Role::Leader
            || (!self.leader.is_empty() && silence < self.settings.bounds.election_timeout())
    }

    /// Enters a term that is not older than the current one, as a follower. `leader` is empty where it isn't known.
    pub(super) fn become_follower(&mut self, now: Now, term: u64, leader: &str) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote.clear();
            self.log.verified_index = 0;
            self.persistence.write_hard_state(&self.hard_state);
        }
        if self.role == Role::Leader {
            self.outbox
                .log(format!("no longer leader, term {}", self.hard_state.term));
            // A pending proposal may still commit under another leader, so nobody is told that it was rejected.
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

    /// Asks first whether an election would be won, so that a replica that was cut off disturbs nobody.
    pub(super) fn start_pre_vote(&mut self, now: Now) {
        self.reset_election_timer(now);
        let may_lead = !self.is_recovering()
            && self.is_voter()
            && self.required_position(now) <= self.log.last()
            && self.disk_health.takes_writes();
        if !may_lead {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader.clear();
        self.request_votes(now, false);
    }

    /// Stands for election in the next term.
    fn campaign(&mut self, now: Now, leadership_transfer: bool) {
        self.role = Role::Candidate;
        self.hard_state.term += 1;
        self.hard_state.vote = self.name.clone();
        self.persistence.write_hard_state(&self.hard_state);
        self.count("elections", 1);
        self.reset_election_timer(now);
        self.request_votes(now, leadership_transfer);
    }

    /// Asks all other voters for their vote, or their pre-vote.
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

    /// Another replica asks for this one's vote.
    pub(super) fn on_vote_request(&mut self, now: Now, from: &str, request: &VoteRequest) {
        let stays_with_leader = self.has_live_leader(now) && !request.leadership_transfer;
        if self.is_recovering() || stays_with_leader || !self.disk_health.takes_writes() {
            return;
        }
        // A candidate that is not known yet may be one promoted in entries that are missing here.
        let is_eligible =
            !self.members().contains_key(from) || self.is_identity(from, request.disk);
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
        let newest_voted = self.hard_state.term.max(self.hard_state.no_vote_through);
        let granted = may_vote && term > newest_voted;
        let response = VoteResponse {
            pre: true,
            term: if granted { term } else { newest_voted },
            granted,
            disk: self.disk,
        };
        self.send(from, Body::VoteResponse(Box::new(response)));
    }

    fn answer_vote(&mut self, now: Now, from: &str, term: u64, may_vote: bool) {
        if term > self.hard_state.term {
            self.become_follower(now, term, "");
        }
        let is_free = self.hard_state.vote.is_empty() || self.hard_state.vote == from;
        let granted = may_vote
            && is_free
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

    /// Another replica has answered a request for its vote.
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

    /// Goes on to the election, or to lead, once a majority of the voters has given its vote.
    pub(super) fn count_votes(&mut self, now: Now) {
        let voters = self.voters();
        let mut counted = 0;
        for (address, disk) in self.election.votes.clone() {
            if voters.contains(&address) && self.is_identity(&address, disk) {
                counted += 1;
            }
        }
        if counted < self.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            Role::Candidate if self.persistence.is_hard_state_durable() => self.become_leader(now),
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
            .log(format!("leader of term {}", self.hard_state.term));
        let leader = self.name.clone();
        let first_index = self.append_command(now, &Command::TermStarted { leader });
        self.leadership.term_start_index = first_index;
        self.send_round(now, true);
    }

    /// The voter that should lead next: it answers, stays, has a working disk, and has the most entries.
    fn successor(&mut self, now: Now) -> Option<String> {
        let voters = self.voters();
        let timeout = self.settings.bounds.election_timeout();
        let is_fit = |address: &String, progress: &Progress| {
            voters.contains(address)
                && !progress.leaving
                && !progress.disk_refuses_writes
                && now.mono.saturating_sub(progress.last_heard_at) < timeout
        };
        self.leadership
            .progress
            .iter()
            .filter(|(address, progress)| is_fit(address, progress))
            .max_by_key(|(_, progress)| (progress.match_index, progress.last_heard_at))
            .map(|(address, _)| address.clone())
    }

    /// Whether this leader is being shut down and another can lead in its place.
    pub(super) fn is_transferring_leadership(&mut self, now: Now) -> bool {
        self.shutdown.is_requested() && self.successor(now).is_some()
    }

    /// Asks the best successor to lead, if there is one.
    pub(super) fn transfer_leadership(&mut self, now: Now) {
        self.shutdown.transfer_offered_at = now.mono;
        let term = self.hard_state.term;
        if let Some(successor) = self.successor(now) {
            let body = Body::TransferLeadership(Box::new(TransferLeadership { term }));
            self.send(&successor, body);
        }
    }

    /// The leader of `term` asks this replica to lead in its place.
    pub(super) fn on_transfer_leadership(&mut self, now: Now, term: u64) {
        let may_lead = term == self.hard_state.term
            && self.role == Role::Follower
            && !self.is_recovering()
            && !self.shutdown.is_requested()
            && self.disk_health.takes_writes()
            && self.is_voter()
            && self.recovery.floor <= self.log.last();
        if may_lead {
            self.campaign(now, true);
        }
    }
}
