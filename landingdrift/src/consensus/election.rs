use super::{Peer, Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{Body, TransferLeadership, VoteRequest, VoteResponse};

impl Replica {
    pub(super) fn reset_election_timer(&mut self, now: Now) {
        let span = self.settings.bounds.election();
        // Just awake and with no leader heard of, there is most likely none: a total outage.
        let eager = now.mono < self.fast_election_until && self.leader.is_empty();
        let span = if eager { span / 4 } else { span };
        // Whoever is being shut down leaves the lead to others, as long as there are any.
        let reserve = if self.stopping.is_some() { span } else { 0 };
        self.election_at = now.mono + reserve + span + self.rng.below(span);
    }

    /// Falls back to following, in a term not older than its own.
    pub(super) fn follow(&mut self, now: Now, term: u64, leader: &str) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote.clear();
            self.verified = 0;
            self.pending_batch.hard_state = Some(self.hard_state.clone());
        }
        if self.role == Role::Leader {
            self.line(format!("no longer leader, term {}", self.hard_state.term));
            // What was proposed may still come through under another leader: nobody is reading "refused".
            self.asked.clear();
            self.reads.clear();
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
        let own = {
            let (i, t) = self.last();
            (t, i)
        };
        if self.recovery.is_some()
            || !self.is_voter()
            || self.answerable(now) > own
            || !self.storage.takes_writes()
        {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader.clear();
        self.request_votes(now, true, false);
    }

    fn request_votes(&mut self, now: Now, pre: bool, leadership_transfer: bool) {
        let me = self.name.clone();
        self.votes = [(me.clone(), self.disk)].into();
        let (last_index, last_term) = self.last();
        let term = self.hard_state.term + u64::from(pre);
        let body = Body::VoteRequest(Box::new(VoteRequest {
            pre,
            leadership_transfer,
            term,
            last_index,
            last_term,
            disk: self.disk,
        }));
        for v in self.voters().into_iter().filter(|v| *v != me) {
            if pre {
                self.send(&v, body.clone());
            } else {
                self.send_durable(&v, body.clone());
            }
        }
        self.count_votes(now);
    }

    fn campaign(&mut self, now: Now, leadership_transfer: bool) {
        self.role = Role::Candidate;
        self.hard_state.term += 1;
        self.hard_state.vote = self.name.clone();
        self.pending_batch.hard_state = Some(self.hard_state.clone());
        self.count("elections", 1);
        self.reset_election_timer(now);
        self.request_votes(now, false, leadership_transfer);
    }

    pub(super) fn on_vote(&mut self, now: Now, from: &str, m: &VoteRequest) {
        let led = self.role == Role::Leader
            || (!self.leader.is_empty()
                && now.mono.saturating_sub(self.heard_leader) < self.settings.bounds.election());
        if self.recovery.is_some()
            || (led && !m.leadership_transfer)
            || !self.storage.takes_writes()
        {
            return;
        }
        // A candidate that is not known yet may be one promoted in entries that are missing here.
        let known = !self.members().contains_key(from) || self.is_identity(from, m.disk);
        let reaches = (m.last_term, m.last_index) >= self.answerable(now);
        if m.pre {
            let granted = known
                && reaches
                && m.term > self.hard_state.term
                && m.term > self.hard_state.no_vote_through;
            self.send(
                from,
                Body::VoteResponse(Box::new(VoteResponse {
                    pre: true,
                    term: if granted {
                        m.term
                    } else {
                        self.hard_state.term.max(self.hard_state.no_vote_through)
                    },
                    granted,
                    disk: self.disk,
                })),
            );
            return;
        }
        if m.term > self.hard_state.term {
            self.follow(now, m.term, "");
        }
        let free = self.hard_state.vote.is_empty() || self.hard_state.vote == from;
        let granted = known
            && reaches
            && m.term == self.hard_state.term
            && m.term > self.hard_state.no_vote_through
            && free;
        if granted {
            self.hard_state.vote = from.into();
            self.pending_batch.hard_state = Some(self.hard_state.clone());
            self.reset_election_timer(now);
        }
        let term = self.hard_state.term;
        self.send_durable(
            from,
            Body::VoteResponse(Box::new(VoteResponse {
                pre: false,
                term,
                granted,
                disk: self.disk,
            })),
        );
    }

    pub(super) fn on_vote_response(&mut self, now: Now, from: &str, m: &VoteResponse) {
        if m.term > self.hard_state.term && !m.granted {
            self.follow(now, m.term, "");
            return;
        }
        let fits = match self.role {
            Role::PreCandidate => m.pre && m.term == self.hard_state.term + 1,
            Role::Candidate => !m.pre && m.term == self.hard_state.term,
            _ => false,
        };
        if fits && m.granted {
            self.votes.insert(from.into(), m.disk);
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: Now) {
        let voters = self.voters();
        let given = self.votes.clone();
        let got = given
            .iter()
            .filter(|(address, disk)| voters.contains(address) && self.is_identity(address, **disk))
            .count();
        if got < self.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            // Its own vote counts once it is durable.
            Role::Candidate
                if self.pending_batch.hard_state.is_none() && self.saved >= self.write_id =>
            {
                self.lead(now)
            }
            _ => {}
        }
    }

    fn lead(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = self.name.clone();
        self.leader_since = now.mono;
        self.command_index = 0;
        let next = self.last().0 + 1;
        let me = self.name.clone();
        let last_at = self
            .log
            .back()
            .map_or(self.state.at, |e| e.at)
            .max(self.state.at);
        self.peers = self
            .members()
            .into_keys()
            .filter(|m| *m != me)
            .map(|m| {
                (
                    m,
                    Peer {
                        next,
                        heard: now.mono,
                        ..Peer::default()
                    },
                )
            })
            .collect();
        self.rounds.clear();
        self.last_round = 0;
        self.watchers.clear();
        self.clock.lead(now, last_at);
        self.count("leaderships", 1);
        self.line(format!("leader of term {}", self.hard_state.term));
        let leader = self.name.clone();
        self.term_start_index = self.push(now, &Command::TermStarted { leader });
        self.send_round(now, true);
    }

    /// The voter that should lead next: it answers, does not leave itself, has a working disk, and is farthest.
    fn successor(&mut self, now: Now) -> Option<String> {
        let voters = self.voters();
        let silence_allowed = self.settings.bounds.election();
        let fit = |address: &String, peer: &Peer| {
            voters.contains(address)
                && !peer.leaving
                && !peer.refuses
                && now.mono.saturating_sub(peer.heard) < silence_allowed
        };
        self.peers
            .iter()
            .filter(|(address, peer)| fit(address, peer))
            .max_by_key(|(_, peer)| (peer.matched, peer.heard))
            .map(|(address, _)| address.clone())
    }

    /// Whether this leader is being shut down and another can lead in its place.
    pub(super) fn is_transferring_leadership(&mut self, now: Now) -> bool {
        self.stopping.is_some() && self.successor(now).is_some()
    }

    /// Offers the lead to a successor, if there is one.
    pub(super) fn transfer_leadership(&mut self, now: Now) {
        self.transfer_offered_at = now.mono;
        let term = self.hard_state.term;
        if let Some(successor) = self.successor(now) {
            self.send(
                &successor,
                Body::TransferLeadership(Box::new(TransferLeadership { term })),
            );
        }
    }

    pub(super) fn on_transfer_leadership(&mut self, now: Now, term: u64) {
        let own = {
            let (i, t) = self.last();
            (t, i)
        };
        if term == self.hard_state.term
            && self.role == Role::Follower
            && self.recovery.is_none()
            && self.stopping.is_none()
            && self.storage.takes_writes()
            && self.is_voter()
            && self.recovery_floor <= own
        {
            self.campaign(now, true);
        }
    }
}
