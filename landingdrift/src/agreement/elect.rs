use super::{Core, Peer, Role};
use crate::kernel::Now;
use crate::record::Command;
use crate::wire::{Body, HandOver, Vote, VoteVerdict};

impl Core {
    pub(super) fn arm_election(&mut self, now: Now) {
        let span = self.cfg.bounds.election();
        // Just awake and with no leader heard of, there is most likely none: a total outage.
        let eager = now.mono < self.eager_until && self.leader.is_empty();
        let span = if eager { span / 4 } else { span };
        self.election_at = now.mono + span + self.draw.below(span);
    }

    /// Falls back to following, in a term not older than its own.
    pub(super) fn follow(&mut self, now: Now, term: u64, leader: &str) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote.clear();
            self.verified = 0;
            self.unsaved.hard = Some(self.hard.clone());
        }
        if self.role == Role::Leader {
            self.line(format!("no longer leader, term {}", self.hard.term));
            // What was proposed may still come through under another leader: nobody is told "refused".
            self.asked.clear();
            self.reads.clear();
            self.count("leaderships_lost", 1);
        }
        if self.role != Role::Follower {
            self.arm_election(now);
        }
        self.role = Role::Follower;
        if self.leader != leader {
            self.leader = leader.into();
        }
    }

    /// Asks first whether an election would be won, so that a core that was cut off disturbs nobody.
    pub(super) fn stand(&mut self, now: Now) {
        self.arm_election(now);
        let own = {
            let (i, t) = self.last();
            (t, i)
        };
        if self.waking.is_some()
            || !self.is_voter()
            || self.answerable(now) > own
            || self.stopping.is_some()
            || !self.storage.takes_writes()
        {
            return;
        }
        self.role = Role::Asking;
        self.leader.clear();
        self.ask_votes(now, true, false);
    }

    fn ask_votes(&mut self, now: Now, pre: bool, handed: bool) {
        let me = self.name.clone();
        self.votes = [me.clone()].into();
        let (last_index, last_term) = self.last();
        let term = self.hard.term + u64::from(pre);
        let body = Body::Vote(Box::new(Vote {
            pre,
            handed,
            term,
            last_index,
            last_term,
        }));
        for v in self.voters().into_iter().filter(|v| *v != me) {
            if pre {
                self.send(&v, body.clone());
            } else {
                self.send_durable(&v, body.clone());
            }
        }
        self.tally(now);
    }

    fn campaign(&mut self, now: Now, handed: bool) {
        self.role = Role::Candidate;
        self.hard.term += 1;
        self.hard.vote = self.name.clone();
        self.unsaved.hard = Some(self.hard.clone());
        self.count("elections", 1);
        self.arm_election(now);
        self.ask_votes(now, false, handed);
    }

    pub(super) fn on_vote(&mut self, now: Now, from: &str, m: &Vote) {
        let led = self.role == Role::Leader
            || (!self.leader.is_empty()
                && now.mono.saturating_sub(self.heard_leader) < self.cfg.bounds.election());
        if self.waking.is_some() || (led && !m.handed) || !self.storage.takes_writes() {
            return;
        }
        let known = self.members().contains_key(from);
        let reaches = (m.last_term, m.last_index) >= self.answerable(now);
        if m.pre {
            let granted =
                known && reaches && m.term > self.hard.term && m.term > self.hard.silent_to;
            self.send(
                from,
                Body::VoteVerdict(Box::new(VoteVerdict {
                    pre: true,
                    term: if granted {
                        m.term
                    } else {
                        self.hard.term.max(self.hard.silent_to)
                    },
                    granted,
                })),
            );
            return;
        }
        if m.term > self.hard.term {
            self.follow(now, m.term, "");
        }
        let free = self.hard.vote.is_empty() || self.hard.vote == from;
        let granted =
            known && reaches && m.term == self.hard.term && m.term > self.hard.silent_to && free;
        if granted {
            self.hard.vote = from.into();
            self.unsaved.hard = Some(self.hard.clone());
            self.arm_election(now);
        }
        let term = self.hard.term;
        self.send_durable(
            from,
            Body::VoteVerdict(Box::new(VoteVerdict {
                pre: false,
                term,
                granted,
            })),
        );
    }

    pub(super) fn on_vote_verdict(&mut self, now: Now, from: &str, m: &VoteVerdict) {
        if m.term > self.hard.term && !m.granted {
            self.follow(now, m.term, "");
            return;
        }
        let fits = match self.role {
            Role::Asking => m.pre && m.term == self.hard.term + 1,
            Role::Candidate => !m.pre && m.term == self.hard.term,
            _ => false,
        };
        if fits && m.granted {
            self.votes.insert(from.into());
            self.tally(now);
        }
    }

    pub(super) fn tally(&mut self, now: Now) {
        let voters = self.voters();
        let got = self.votes.iter().filter(|v| voters.contains(v)).count();
        if got < self.majority() {
            return;
        }
        match self.role {
            Role::Asking => self.campaign(now, false),
            // Its own vote counts once it is durable.
            Role::Candidate if self.unsaved.hard.is_none() && self.saved >= self.ticket => {
                self.lead(now)
            }
            _ => {}
        }
    }

    fn lead(&mut self, now: Now) {
        self.role = Role::Leader;
        self.leader = self.name.clone();
        self.led_since = now.mono;
        self.duty_index = 0;
        let next = self.last().0 + 1;
        let me = self.name.clone();
        let last_at = self
            .log
            .back()
            .map_or(self.record.at, |e| e.at)
            .max(self.record.at);
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
        self.followers.clear();
        self.clock.lead(now, last_at);
        self.count("leaderships", 1);
        self.line(format!("leader of term {}", self.hard.term));
        let leader = self.name.clone();
        self.opened = self.push(now, &Command::Opened { leader });
        self.send_round(now, true);
    }

    /// Names a successor: the core that is farthest and was heard last.
    pub(super) fn hand_over(&mut self) {
        let voters = self.voters();
        let term = self.hard.term;
        let to = self
            .peers
            .iter()
            .filter(|(k, p)| voters.contains(k) && !p.refuses)
            .max_by_key(|(_, p)| (p.matched, p.heard))
            .map(|(k, _)| k.clone());
        to.iter()
            .for_each(|to| self.send(to, Body::HandOver(Box::new(HandOver { term }))));
    }

    pub(super) fn on_hand_over(&mut self, now: Now, term: u64) {
        let own = {
            let (i, t) = self.last();
            (t, i)
        };
        if term == self.hard.term
            && self.role == Role::Follower
            && self.waking.is_none()
            && self.storage.takes_writes()
            && self.is_voter()
            && self.floor <= own
        {
            self.campaign(now, true);
        }
    }
}
