//! Proposals of commands to the replicas, with redirects, retries and timeouts.

use super::calls::CallCommand;
use super::Node;
use crate::sans_io::{transfer_ms, Now, Response};
use crate::state::{unpack_apply_result, ApplyResult, Command, Order, ProposalId, Rejection};
use crate::wire::{
    Body, ProposeRequest, ProposeResponse, RequestToken, PROPOSAL_NOT_APPENDED,
    PROPOSAL_NO_CAPACITY,
};

/// Maximum number of immediate redirects of a proposal to a leader that a replica names: replicas that disagree on the
/// leader could otherwise redirect a proposal in an endless loop.
const MAX_REDIRECTS: usize = 7;
/// Heartbeat intervals to wait for a response before an idempotent proposal is sent again; the transfer time over the
/// slowest assumed link is added.
const RESEND_AFTER_HEARTBEATS: u64 = 5;

/// One attempt to submit a proposal to a replica.
struct ProposalAttempt {
    to: String,
    sent_at: u64,
    outcome: AttemptOutcome,
}

/// The known outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    Unanswered,
    /// The replica has appended nothing: it is not the leader or has no capacity.
    Rejected,
}

/// The purpose of a proposal, which determines the handling of its result.
#[derive(Clone, Debug)]
pub enum Purpose {
    Call(u64, CallCommand),
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

/// A pending proposal with its attempts.
pub struct Proposal {
    pub purpose: Purpose,
    command: ProposalCommand,
    /// Applying it twice has the effect of applying it once, so it may be sent again after a response timeout.
    idempotent: bool,
    deadline: u64,
    attempts: Vec<ProposalAttempt>,
}

/// The command of a proposal, either encoded or waiting for the cluster time.
enum ProposalCommand {
    Ready(Vec<u8>),
    /// An order, which is encoded with its deadline once the cluster time is known.
    AwaitsClusterTime {
        action: Command,
        /// Log index known at the receipt of the order.
        seen: u64,
    },
}

/// The next step of a proposal.
enum NextStep {
    Wait,
    Send,
    TimeOut,
}

/// The outcome of a proposed start.
pub(super) struct StartResult {
    pub proposal: u64,
    pub offer: RequestToken,
    /// The address of the node whose zone scheduler made the offer.
    pub zone_scheduler: String,
    pub worker: String,
    /// The log index of the start; 0 if unknown.
    pub log_index: u64,
    pub placed: bool,
}

impl Proposal {
    fn next_step(&self, now: Now, heartbeat_ms: u64) -> NextStep {
        if now.mono >= self.deadline {
            return NextStep::TimeOut;
        }
        let Some(last) = self.attempts.last() else {
            return NextStep::Send;
        };
        let send_again = match last.outcome {
            AttemptOutcome::Rejected => now.mono >= last.sent_at + heartbeat_ms / 4,
            AttemptOutcome::Unanswered => {
                let timeout_ms = RESEND_AFTER_HEARTBEATS * heartbeat_ms + self.transfer_ms();
                let retry_at = last.sent_at + timeout_ms;
                self.idempotent && now.mono >= retry_at
            }
        };
        if send_again {
            NextStep::Send
        } else {
            NextStep::Wait
        }
    }

    /// Transfer time of the encoded command on the slowest assumed link, in milliseconds; 0 until it is encoded.
    fn transfer_ms(&self) -> u64 {
        match &self.command {
            ProposalCommand::Ready(bytes) => transfer_ms(bytes.len() as u64),
            ProposalCommand::AwaitsClusterTime { .. } => 0,
        }
    }

    /// Whether a replica may have appended the command, because an attempt was not rejected.
    pub fn may_have_been_appended(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::Unanswered)
    }
}

impl Node {
    /// Proposes a command, retrying until `timeout_ms` has passed; returns the proposal's number.
    pub(crate) fn propose(
        &mut self,
        now: Now,
        command: &Command,
        purpose: Purpose,
        timeout_ms: u64,
    ) -> u64 {
        let number = self.token();
        let idempotent = !matches!(command, Command::StartAttempts { .. });
        let command = if command.is_order() {
            ProposalCommand::AwaitsClusterTime {
                action: command.clone(),
                seen: self.index_at_receipt(now),
            }
        } else {
            ProposalCommand::Ready(command.pack())
        };
        let proposal = Proposal {
            purpose,
            command,
            idempotent,
            deadline: now.mono + timeout_ms,
            attempts: Vec::new(),
        };
        self.proposals.insert(number, proposal);
        self.count("proposals", 1);
        self.advance_proposal(now, number, None);
        number
    }

    /// Performs a proposal's next step; `leader_hint` is the leader that a replica has just named.
    fn advance_proposal(&mut self, now: Now, number: u64, leader_hint: Option<String>) {
        let heartbeat_ms = self.settings.bounds.heartbeat_interval();
        let Some(proposal) = self.proposals.get(&number) else {
            return;
        };
        match proposal.next_step(now, heartbeat_ms) {
            NextStep::Wait => {}
            NextStep::TimeOut => self.time_out(number),
            NextStep::Send => self.send_proposal(now, number, leader_hint),
        }
    }

    /// Makes an attempt: sends the proposal to the replica that is most likely the leader.
    fn send_proposal(&mut self, now: Now, number: u64, leader_hint: Option<String>) {
        let Some(command) = self.packed_command(now, number) else {
            return;
        };
        let Some(proposal) = self.proposals.get(&number) else {
            return;
        };
        let last_attempt = proposal.attempts.last();
        let last_asked = last_attempt.map_or(String::new(), |attempt| attempt.to.clone());
        let to = self.likely_leader(leader_hint, last_asked);
        let Some(proposal) = self.proposals.get_mut(&number) else {
            return;
        };
        let attempt = proposal.attempts.len();
        proposal.attempts.push(ProposalAttempt {
            to: to.clone(),
            sent_at: now.mono,
            outcome: AttemptOutcome::Unanswered,
        });
        let token = self.request_token(number, attempt);
        let request = ProposeRequest { token, command };
        self.send(&to, Body::ProposeRequest(Box::new(request)));
    }

    /// Picks the likely leader: the hint if there is one, else the watch's leader unless it was asked last, else
    /// another random replica.
    pub(super) fn likely_leader(
        &mut self,
        leader_hint: Option<String>,
        last_asked: String,
    ) -> String {
        if let Some(named) = leader_hint.filter(|named| !named.is_empty()) {
            return named;
        }
        let leader = &self.watch.leader;
        if !leader.is_empty() && *leader != last_asked {
            return leader.clone();
        }
        let mut others = self.replicas();
        others.retain(|replica| *replica != last_asked);
        self.rng.pick(&others).cloned().unwrap_or(last_asked)
    }

    /// The encoded command, which is the same for every attempt; none while an order waits for the cluster time.
    fn packed_command(&mut self, now: Now, number: u64) -> Option<Vec<u8>> {
        let cluster_time = self.watch.clock_known().then(|| self.cluster_time(now));
        let id = ProposalId {
            proposer: self.name.clone(),
            incarnation: self.incarnation,
            number,
        };
        let proposal = self.proposals.get_mut(&number)?;
        let (action, seen) = match &proposal.command {
            ProposalCommand::Ready(bytes) => return Some(bytes.clone()),
            ProposalCommand::AwaitsClusterTime { action, seen } => (action.clone(), *seen),
        };
        let order = Order {
            action: Box::new(action),
            proposal: id,
            deadline: cluster_time? + proposal.deadline.saturating_sub(now.mono),
        };
        let bytes = Command::ReceivedOrder { order, seen }.pack();
        proposal.command = ProposalCommand::Ready(bytes.clone());
        Some(bytes)
    }

    pub(super) fn proposals_tick(&mut self, now: Now) {
        let numbers: Vec<u64> = self.proposals.keys().copied().collect();
        for number in numbers {
            self.advance_proposal(now, number, None);
        }
    }

    pub(super) fn on_propose_response(&mut self, now: Now, from: &str, response: ProposeResponse) {
        let number = response.token.number;
        let index = response.token.attempt as usize;
        let proposal = self.proposals.get_mut(&number);
        let attempt = proposal.and_then(|proposal| proposal.attempts.get_mut(index));
        let Some(attempt) = attempt.filter(|attempt| attempt.to == from) else {
            return self.count("responses_unexpected", 1);
        };
        if response.outcome == PROPOSAL_NOT_APPENDED {
            attempt.outcome = AttemptOutcome::Rejected;
            let leader = response.leader;
            let leader_hint = Some(leader).filter(|leader| !leader.is_empty() && leader != from);
            return self.on_proposal_rejected(now, number, index, leader_hint);
        }
        if response.outcome == PROPOSAL_NO_CAPACITY {
            attempt.outcome = AttemptOutcome::Rejected;
            return self.on_no_capacity(number);
        }
        let Some(result) = unpack_apply_result(&response.response) else {
            // The attempt counts as unanswered, so the outcome is reported as unknown when the proposal times out.
            return self.count("responses_unreadable", 1);
        };
        self.known_index.learn(response.log_index);
        if let Some(proposal) = self.proposals.remove(&number) {
            self.on_result(number, proposal.purpose, response.log_index, result);
        }
    }

    /// Handles a rejection because the leader lacks memory for the job: the proposal fails, unless an earlier attempt
    /// may have been appended, whose outcome then counts.
    fn on_no_capacity(&mut self, number: u64) {
        let proposal = self.proposals.get(&number);
        if proposal.is_none_or(Proposal::may_have_been_appended) {
            return;
        }
        if let Some(proposal) = self.proposals.remove(&number) {
            let result = Err(Rejection::InsufficientCapacity);
            self.on_result(number, proposal.purpose, 0, result);
        }
    }

    /// Handles the result of a command that was applied to the cluster state or rejected.
    fn on_result(&mut self, number: u64, purpose: Purpose, log_index: u64, result: ApplyResult) {
        match purpose {
            Purpose::Call(call, call_command) => self.on_call_result(call, call_command, result),
            purpose => self.on_own_proposal_done(number, purpose, log_index, result.is_ok()),
        }
    }

    /// Handles the end of a proposal that the node made for itself, not for a call: applied, rejected or timed out.
    /// `log_index` is 0 if the command is not known to be in the log.
    fn on_own_proposal_done(
        &mut self,
        number: u64,
        purpose: Purpose,
        log_index: u64,
        is_applied: bool,
    ) {
        match purpose {
            Purpose::Call(..) => {}
            Purpose::Start {
                offer,
                zone_scheduler,
                worker,
            } => self.on_start_result(StartResult {
                proposal: number,
                offer,
                zone_scheduler,
                worker,
                log_index,
                placed: is_applied,
            }),
            Purpose::UpdateWorker { worker } => self.on_worker_update_done(&worker),
            Purpose::Report { worker } => self.on_report_proposal_done(&worker),
            // A timed-out expiry may still be applied, so the worker's lease is not renewed before its attempts have
            // ended.
            Purpose::ExpireAttempts { worker } => self.on_expiry_proposal_done(&worker, log_index),
            Purpose::RescheduleAttempts { worker } => self.on_reschedule_proposal_done(&worker),
        }
    }

    /// Redirects a proposal to the named leader at once, if the newest attempt was the one rejected.
    fn on_proposal_rejected(
        &mut self,
        now: Now,
        number: u64,
        attempt: usize,
        leader_hint: Option<String>,
    ) {
        let Some(proposal) = self.proposals.get_mut(&number) else {
            return;
        };
        let is_newest = attempt + 1 == proposal.attempts.len();
        if is_newest && leader_hint.is_some() && attempt < MAX_REDIRECTS {
            // Makes the next attempt due at once.
            proposal.attempts[attempt].sent_at = 0;
            self.advance_proposal(now, number, leader_hint);
        }
    }

    fn time_out(&mut self, number: u64) {
        let Some(proposal) = self.proposals.remove(&number) else {
            return;
        };
        self.count("proposals_given_up", 1);
        let may_have_been_appended = proposal.may_have_been_appended();
        let Purpose::Call(call, _) = proposal.purpose else {
            return self.on_own_proposal_done(number, proposal.purpose, 0, false);
        };
        let response = if may_have_been_appended {
            self.unknown_outcome_response()
        } else {
            let message = "no replica could be reached and the call had no effect: retry later";
            Response::error(503, "noCore", message).retry(self.settings.bounds.retry_after())
        };
        self.finish(call, response);
    }
}
