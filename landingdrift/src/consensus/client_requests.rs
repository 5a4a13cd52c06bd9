//! Requests of nodes to the leader: proposals of commands, and read indexes for linearizable reads.

use super::job_admission::submitted_job;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{
    Body, NodeProgress, ProposeRequest, ProposeResponse, ReadIndexResponse, RequestToken,
    PROPOSAL_APPLIED, PROPOSAL_NOT_APPENDED, PROPOSAL_NO_CAPACITY,
};

/// A proposal that was appended to the log; the node that made it is answered once it is applied.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    pub from: String,
    pub token: RequestToken,
}

/// A request for a read index, answered once this replica is known to have led after the request arrived.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    from: String,
    token: RequestToken,
    /// The time of arrival, in monotonic milliseconds.
    received_at: u64,
    /// The commit index at that time.
    index: u64,
}

impl Replica {
    /// The address of the replica that a node should ask instead; empty if this replica leads itself, but can't answer
    /// yet, or knows no leader.
    fn leader_hint(&self) -> String {
        if self.role == Role::Leader {
            String::new()
        } else {
            self.leader.clone()
        }
    }

    /// Appends a command that a node proposes, or answers at once that it was not appended. Commands that nodes may not
    /// propose are dropped without an answer.
    pub(super) fn on_propose_request(&mut self, now: Now, from: &str, request: ProposeRequest) {
        if !Command::may_be_proposed(&request.command) {
            self.count("proposals_unexpected", 1);
            return;
        }
        let accepts = self.is_ready_leader()
            && !self.is_transferring_leadership(now)
            && self.accepts_proposals(now);
        if !accepts {
            return self.reject_proposal(from, request.token, PROPOSAL_NOT_APPENDED);
        }
        let submitted = submitted_job(&request.command);
        let admitted = submitted.as_ref().and_then(|job| self.admit_job(now, job));
        if submitted.is_some() && admitted.is_none() {
            self.count("jobs_without_capacity", 1);
            return self.reject_proposal(from, request.token, PROPOSAL_NO_CAPACITY);
        }
        self.count("proposals", 1);
        let index = self.append_bytes(now, request.command);
        if let Some(job) = admitted {
            self.job_admission.record_appended(index, job);
        }
        let pending = PendingProposal {
            from: from.into(),
            token: request.token,
        };
        self.leadership.pending_proposals.insert(index, pending);
        self.leadership.round_requested = true;
    }

    /// Answers a proposal that was not appended; `outcome` states the reason.
    fn reject_proposal(&mut self, from: &str, token: RequestToken, outcome: u8) {
        let response = ProposeResponse {
            token,
            outcome,
            log_index: 0,
            leader: self.leader_hint(),
            response: Vec::new(),
        };
        self.send(from, Body::ProposeResponse(Box::new(response)));
    }

    /// Applies the committed entries, answers the proposals among them, and takes a snapshot if one is due.
    pub(super) fn apply_committed(&mut self) {
        while self.state.applied_index < self.log.commit_index {
            let index = self.state.applied_index + 1;
            let Some(entry) = self.log.entry(index).cloned() else {
                break;
            };
            let result = self
                .state
                .apply_bytes(entry.index, entry.at, &entry.command);
            self.snapshots.bytes_since_latest += entry.command.len() as u64;
            self.count("entries_applied", 1);
            self.count("entries_rejected", u64::from(result.is_err()));
            if let Some(pending) = self.leadership.pending_proposals.remove(&index) {
                let response = ProposeResponse {
                    token: pending.token,
                    outcome: PROPOSAL_APPLIED,
                    log_index: index,
                    leader: self.name.clone(),
                    response: crate::state::pack_apply_result(&result),
                };
                self.send(&pending.from, Body::ProposeResponse(Box::new(response)));
            }
        }
        self.take_snapshot_when_due();
    }

    /// Handles a request for a read index. A node that has applied the entries up to the returned index sees every
    /// change acknowledged before the request.
    pub(super) fn on_read_index_request(&mut self, now: Now, from: &str, token: RequestToken) {
        if !self.is_ready_leader() {
            let response = ReadIndexResponse {
                token,
                ok: false,
                log_index: 0,
                leader: self.leader_hint(),
                nodes: Vec::new(),
            };
            self.send(from, Body::ReadIndexResponse(Box::new(response)));
            return;
        }
        self.leadership.pending_reads.push(PendingRead {
            from: from.into(),
            token,
            received_at: now.mono,
            index: self.log.commit_index,
        });
        self.leadership.round_requested = true;
    }

    /// Answers the reads that arrived before the latest time at which this replica is known to have led.
    pub(super) fn answer_reads(&mut self, now: Now) {
        if self.leadership.pending_reads.is_empty() {
            return;
        }
        let last_contact = self.last_quorum_contact(now);
        let reads = std::mem::take(&mut self.leadership.pending_reads);
        let (ready, waiting): (Vec<PendingRead>, Vec<PendingRead>) = reads
            .into_iter()
            .partition(|read| read.received_at <= last_contact);
        self.leadership.pending_reads = waiting;
        let nodes = self.node_progress(now);
        for read in ready {
            let response = ReadIndexResponse {
                token: read.token,
                ok: true,
                log_index: read.index,
                leader: self.name.clone(),
                nodes: nodes.clone(),
            };
            self.send(&read.from, Body::ReadIndexResponse(Box::new(response)));
        }
    }

    /// The log index and configuration version that each live node has applied. Nodes that are not alive are
    /// omitted, so that they do not block a configuration change.
    fn node_progress(&self, now: Now) -> Vec<NodeProgress> {
        let mut progress = Vec::new();
        for (node, watcher) in &self.watch.watchers {
            if !self.state.nodes.get(node).is_some_and(|n| n.alive) {
                continue;
            }
            let mut changes = self.state.changes.iter().rev();
            let newest_applied = changes.find(|c| c.log_index <= watcher.applied_index);
            progress.push(NodeProgress {
                node: node.clone(),
                log_index: watcher.applied_index,
                version: newest_applied.map_or(0, |change| change.version),
                age: now.mono.saturating_sub(watcher.last_heard_at),
            });
        }
        progress
    }
}
