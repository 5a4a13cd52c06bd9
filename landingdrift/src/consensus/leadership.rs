//! The state of a leader, and its periodic work.

use super::client_requests::{PendingProposal, PendingRead};
use super::progress::{Progress, Rounds};
use super::Replica;
use crate::sans_io::Now;
use crate::state::Command;
use std::collections::BTreeMap;

/// A leader without a response from a majority for this many election timeouts steps down.
const STEP_DOWN_ELECTION_TIMEOUTS: u64 = 2;
/// The divisor of the election timeout that yields the largest age of a clock reading that counts at once.
const CLOCK_READING_AGE_DIVISOR: u64 = 2;
/// The number of election timeouts for which a leader waits for more clock readings.
const CLOCK_WAIT_ELECTION_TIMEOUTS: u64 = 2;

/// The state of a leader. Times are monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Leadership {
    /// The time at which this replica last became leader.
    pub since: u64,
    /// The index of the first entry of this replica's term. Once it is committed, all earlier entries are known to be
    /// committed.
    pub term_start_index: u64,
    /// The index of the last command that the reconciliation appended; no further one is derived before it is applied.
    pub last_reconcile_index: u64,
    /// The time at which a lease was last moved from its holder, because that was lost or leaving, or a better one
    /// existed.
    pub last_lease_move_at: u64,
    /// The leader's view of the other replicas, by address.
    pub progress: BTreeMap<String, Progress>,
    pub rounds: Rounds,
    /// The time of the next introductions to absent nodes.
    pub next_introductions_at: u64,
    /// Proposals to be answered once they are applied, by log index.
    pub pending_proposals: BTreeMap<u64, PendingProposal>,
    pub pending_reads: Vec<PendingRead>,
    /// Whether new entries are to be sent at the end of this step.
    pub round_requested: bool,
    /// Whether the next round also goes to replicas for which there are no entries.
    pub heartbeat_requested: bool,
}

impl Leadership {
    /// Resets the state at the start of a leadership, with the initial progress of the other replicas.
    pub fn start(&mut self, now: Now, progress: BTreeMap<String, Progress>) {
        self.since = now.mono;
        self.last_reconcile_index = 0;
        self.progress = progress;
        self.rounds.reset();
    }
}

impl Replica {
    /// The leader's periodic work: checks that a majority still responds, sends heartbeats and reconciles the cluster
    /// state.
    pub(super) fn leader_tick(&mut self, now: Now) {
        let election_timeout = self.settings.bounds.election_timeout();
        let last_contact = self.last_quorum_contact(now).max(self.leadership.since);
        let since_contact = now.mono.saturating_sub(last_contact);
        if since_contact > STEP_DOWN_ELECTION_TIMEOUTS * election_timeout {
            self.outbox
                .log("no response from a majority of the voters: stepping down as leader".into());
            self.become_follower(now, self.hard_state.term, "");
            return;
        }
        self.track_members(now);
        self.clock.agree_if_possible(
            now,
            CLOCK_WAIT_ELECTION_TIMEOUTS * election_timeout,
            election_timeout / CLOCK_READING_AGE_DIVISOR,
        );
        let next_heartbeat_at =
            self.leadership.rounds.last_heartbeat_at + self.settings.bounds.heartbeat_interval();
        let is_due = now.mono >= next_heartbeat_at;
        if is_due || std::mem::take(&mut self.leadership.heartbeat_requested) {
            self.send_round(now, true);
        }
        self.report_resilience(now);
        if self.voters().len() == 1 {
            // A single voter is its own majority: it commits and answers reads without waiting for responses.
            self.advance_commit(now);
            self.answer_reads(now);
        }
        self.introduction_tick(now);
        self.reconcile(now);
    }

    /// Tracks the progress of exactly the current members.
    fn track_members(&mut self, now: Now) {
        let members = self.members();
        let next_index = self.log.last().index + 1;
        let progress = &mut self.leadership.progress;
        progress.retain(|name, _| members.contains_key(name));
        for name in members.into_keys().filter(|name| *name != self.name) {
            progress
                .entry(name)
                .or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Proposes the next change that brings the cluster state closer to the desired state. Changes are made one at a
    /// time, since each is derived from the result of the last one.
    fn reconcile(&mut self, now: Now) {
        let is_term_committed = self.log.commit_index >= self.leadership.term_start_index;
        let is_last_applied = self.state.applied_index >= self.leadership.last_reconcile_index;
        let may_propose = is_term_committed
            && is_last_applied
            && self.clock.is_set()
            && !self.is_transferring_leadership(now);
        if !may_propose {
            return;
        }
        if let Some(command) = self.next_command(now) {
            self.leadership.last_reconcile_index = self.append_command(now, &command);
            self.leadership.round_requested = true;
        }
    }

    fn next_command(&mut self, now: Now) -> Option<Command> {
        self.next_membership_command(now)
            .or_else(|| self.next_node_command(now))
            .or_else(|| self.next_lease_command(now))
            .or_else(|| self.next_garbage_collection(now))
    }

    /// Removes data whose retention time has passed, if there is any.
    fn next_garbage_collection(&mut self, now: Now) -> Option<Command> {
        let retain_ms = self.settings.limits.retain_ms;
        let identity_ms = self.settings.limits.identity_ms;
        let time = self.clock.read(now);
        let due_at = self
            .state
            .next_garbage_collection_at(retain_ms, identity_ms)?;
        (due_at <= time).then_some(Command::CollectGarbage {
            retain_ms,
            identity_ms,
        })
    }
}
