//! Proposals to the replica: each is a history of attempts of attempts from which the next move is derived.

use super::calls::Then;
use super::Node;
use crate::sans_io::Now;
use crate::state::{unpack_apply_result, Command, Order, ProposalId};
use crate::wire::{Body, ProposeRequest, ProposeResponse, RequestToken};

/// One attempt of a proposal to a replica.
struct ProposalAttempt {
    to: String,
    at: u64,
    outcome: AttemptOutcome,
}

/// What came of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    Nothing,
    /// The replica does not lead: it has taken nothing.
    NotTaken,
}

/// Why something is proposed.
#[derive(Clone, Debug)]
pub enum Purpose {
    Call(u64, Then),
    Start {
        offer: RequestToken,
        zone_scheduler: String,
        worker: String,
    },
    UpdateWorker {
        worker: String,
    },
    Report {
        worker: String,
    },
    ExpireAttempts {
        worker: String,
    },
    RescheduleAttempts {
        worker: String,
    },
}

/// One proposal with its history of attempts.
pub struct Proposal {
    pub purpose: Purpose,
    /// As it goes out; an order is packed with its deadline when the agreed time is known.
    command: Packed,
    /// Entering it twice does no harm, so that a lost answer may be asked for again.
    idempotent: bool,
    until: u64,
    attempts: Vec<ProposalAttempt>,
}

/// A command on its way to the log.
enum Packed {
    Ready(Vec<u8>),
    /// An order that waits for the agreed time.
    Order(Command),
}

/// The next move of a proposal.
enum Move {
    Wait,
    Resend,
    GiveUp,
}

impl Proposal {
    fn next(&self, now: Now, heartbeat: u64) -> Move {
        match self.attempts.last() {
            _ if now.mono >= self.until => Move::GiveUp,
            None => Move::Resend,
            Some(last)
                if last.outcome == AttemptOutcome::NotTaken
                    && now.mono >= last.at + heartbeat / 4 =>
            {
                Move::Resend
            }
            Some(last)
                if last.outcome == AttemptOutcome::Nothing
                    && self.idempotent
                    && now.mono >= last.at + 5 * heartbeat =>
            {
                Move::Resend
            }
            _ => Move::Wait,
        }
    }

    /// Whether some replica may have taken it.
    pub fn maybe_taken(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::Nothing)
    }
}

impl Node {
    pub(crate) fn propose(
        &mut self,
        now: Now,
        command: &Command,
        purpose: Purpose,
        within: u64,
    ) -> u64 {
        let token = self.token();
        let idempotent = !matches!(command, Command::StartAttempts { .. });
        let command = if command.is_order() {
            Packed::Order(command.clone())
        } else {
            Packed::Ready(command.pack())
        };
        self.proposals.insert(
            token,
            Proposal {
                purpose,
                command,
                idempotent,
                until: now.mono + within,
                attempts: Vec::new(),
            },
        );
        self.count("proposals", 1);
        self.drive(now, token, None);
        token
    }

    fn drive(&mut self, now: Now, token: u64, hint: Option<String>) {
        let heartbeat = self.settings.bounds.heartbeat();
        let Some(p) = self.proposals.get(&token) else {
            return;
        };
        match p.next(now, heartbeat) {
            Move::Wait => {}
            Move::GiveUp => self.give_up(token),
            Move::Resend => self.resend(now, token, hint),
        }
    }

    /// Sends a copy of a proposal to the replica that most likely leads, and not to the one that was asked last.
    fn resend(&mut self, now: Now, token: u64, hint: Option<String>) {
        let Some(command) = self.packed(now, token) else {
            return;
        };
        let Some(p) = self.proposals.get(&token) else {
            return;
        };
        let last = p
            .attempts
            .last()
            .map(|attempt| attempt.to.clone())
            .unwrap_or_default();
        let others: Vec<String> = self.replicas().into_iter().filter(|c| *c != last).collect();
        let leader = Some(self.watch.leader.clone()).filter(|l| !l.is_empty() && *l != last);
        let to = hint
            .filter(|h| !h.is_empty())
            .or(leader)
            .or_else(|| self.rng.pick(&others).cloned())
            .unwrap_or(last);
        let Some(p) = self.proposals.get_mut(&token) else {
            return;
        };
        let attempt_index = p.attempts.len();
        p.attempts.push(ProposalAttempt {
            to: to.clone(),
            at: now.mono,
            outcome: AttemptOutcome::Nothing,
        });
        let token = self.request_token(token, attempt_index);
        self.send(
            &to,
            Body::ProposeRequest(Box::new(ProposeRequest { token, command })),
        );
    }

    /// The bytes of a proposal, the same for every copy; none while an order waits for the agreed time.
    fn packed(&mut self, now: Now, token: u64) -> Option<Vec<u8>> {
        let agreed = self.watch.clock_known().then(|| self.agreed(now));
        let proposal = ProposalId {
            proposer: self.name.clone(),
            incarnation: self.incarnation,
            number: token,
        };
        let p = self.proposals.get_mut(&token)?;
        if let Packed::Order(action) = &p.command {
            let order = Order {
                action: Box::new(action.clone()),
                proposal,
                deadline: agreed? + p.until.saturating_sub(now.mono),
            };
            p.command = Packed::Ready(Command::Order(order).pack());
        }
        match &p.command {
            Packed::Ready(bytes) => Some(bytes.clone()),
            Packed::Order(_) => None,
        }
    }

    pub(super) fn proposals_tick(&mut self, now: Now) {
        let all: Vec<u64> = self.proposals.keys().copied().collect();
        all.into_iter().for_each(|t| self.drive(now, t, None));
    }

    pub(super) fn on_proposed(&mut self, now: Now, from: &str, m: ProposeResponse) {
        let number = m.token.number;
        let attempt_index = m.token.attempt as usize;
        let asked = self
            .proposals
            .get_mut(&number)
            .and_then(|p| p.attempts.get_mut(attempt_index));
        let Some(attempt) = asked.filter(|attempt| attempt.to == from) else {
            return self.count("responses_unexpected", 1);
        };
        if m.outcome == 1 {
            attempt.outcome = AttemptOutcome::NotTaken;
            let hint = Some(m.leader).filter(|l| !l.is_empty() && l != from);
            return self.not_taken(now, number, attempt_index, hint);
        }
        let Some(ruled) = unpack_apply_result(&m.response) else {
            // The attempt stays unanswered, and the call is told as unsure in the end.
            return self.count("responses_unreadable", 1);
        };
        let Some(p) = self.proposals.remove(&number) else {
            return;
        };
        match p.purpose {
            Purpose::Call(call, then) => self.call_ruled(call, then, ruled),
            Purpose::Start {
                offer,
                zone_scheduler,
                worker,
            } => self.start_ruled(
                number,
                offer,
                &zone_scheduler,
                &worker,
                m.log_index,
                ruled.is_ok(),
            ),
            Purpose::UpdateWorker { worker } => self.proposal_over(&worker, true),
            Purpose::Report { worker } => self.proposal_over(&worker, false),
            Purpose::ExpireAttempts { worker } => self.expiry_done(&worker, true),
            Purpose::RescheduleAttempts { worker } => self.reschedule_done(&worker),
        }
    }

    /// A replica has taken nothing: if it was the last one asked and names the leader, that one is asked at once.
    fn not_taken(&mut self, now: Now, number: u64, attempt_index: usize, hint: Option<String>) {
        let Some(p) = self.proposals.get_mut(&number) else {
            return;
        };
        let newest = attempt_index + 1 == p.attempts.len();
        if newest && hint.is_some() && attempt_index < 7 {
            p.attempts[attempt_index].at = 0;
            self.drive(now, number, hint);
        }
    }

    fn give_up(&mut self, token: u64) {
        let Some(p) = self.proposals.remove(&token) else {
            return;
        };
        self.count("proposals_given_up", 1);
        let taken = p.maybe_taken();
        match p.purpose {
            Purpose::Call(call, _) => {
                let response = if taken {
                    self.unsure_response()
                } else {
                    crate::sans_io::Response::error(
                        503,
                        "noCore",
                        "no core could be reached and nothing was taken: come back later",
                    )
                    .retry(self.settings.bounds.back())
                };
                self.finish(call, response);
            }
            Purpose::Start {
                offer,
                zone_scheduler,
                worker,
            } => self.start_ruled(token, offer, &zone_scheduler, &worker, 0, false),
            Purpose::UpdateWorker { worker } => self.proposal_over(&worker, true),
            Purpose::Report { worker } => self.proposal_over(&worker, false),
            // It may still come through: nothing is renewed until the replica has ruled.
            Purpose::ExpireAttempts { worker } => self.expiry_done(&worker, false),
            Purpose::RescheduleAttempts { worker } => self.reschedule_done(&worker),
        }
    }
}
