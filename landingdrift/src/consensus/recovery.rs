//! Recovery after a start: before a replica votes or leads, it asks the others which log position its disk had
//! acknowledged.
//!
//! A disk may lose writes that it confirmed. The other replicas record the log position that each disk has acknowledged
//! (see [`DurabilityWitness`]), so a replica that asks them learns whether its own disk has lost entries. Until its log
//! has caught up with the position it had acknowledged (its *recovery floor*), it neither votes nor leads.

use super::position::LogPosition;
use super::Replica;
use crate::sans_io::Now;
use crate::wire::{Body, DurabilityWitness, Hello};
use std::collections::{BTreeMap, BTreeSet};

/// The divisor of `bounds.outage_ms` that yields the time for which a recovered replica defers to one with a longer
/// log.
const DEFERRAL_OUTAGE_DIVISOR: u64 = 6;
/// For this many election timeouts after recovery, a replica that knows no leader uses the shorter election timeout.
const FAST_ELECTION_TIMEOUTS: u64 = 4;

/// A query to the other replicas, with the answers received so far.
#[derive(Clone, Debug)]
pub(super) struct RecoveryQuery {
    /// The time after which the answers of a majority suffice, in monotonic milliseconds.
    deadline: u64,
    /// The time of the next request to the others, in monotonic milliseconds.
    next_request_at: u64,
    /// The disks of the replicas that have answered, by address.
    answered: BTreeMap<String, u64>,
    /// Whether any replica that has answered has log entries.
    anyone_has_log: bool,
    /// The end of the longest log among the answers.
    longest_log: LogPosition,
    /// The highest term among the answers.
    highest_term: u64,
    /// The highest position that this replica's disk had acknowledged, as recorded by the others.
    witnessed: Option<LogPosition>,
}

impl RecoveryQuery {
    /// Creates a query that waits for answers from all others, but after `wait_ms` only for a majority.
    pub fn new(now: Now, wait_ms: u64) -> Self {
        Self {
            deadline: now.mono + wait_ms,
            next_request_at: 0,
            answered: BTreeMap::new(),
            anyone_has_log: false,
            longest_log: LogPosition::ORIGIN,
            highest_term: 0,
            witnessed: None,
        }
    }

    fn record_answer(&mut self, from: &str, answer: &Hello, own_disk: u64) {
        self.answered.insert(from.into(), answer.disk);
        self.highest_term = self.highest_term.max(answer.term);
        if answer.knows {
            self.anyone_has_log = true;
            let log = LogPosition::new(answer.last_term, answer.last_index);
            self.longest_log = self.longest_log.max(log);
        }
        let witness = &answer.witnessed;
        if witness.index > 0 && witness.disk == own_disk {
            let position = LogPosition::new(witness.term, witness.index);
            self.witnessed = self.witnessed.max(Some(position));
        }
    }
}

/// A longer log found during recovery: before the time `until`, this replica votes only for candidates whose log has
/// reached `position`, so that the owner of that log can become leader.
#[derive(Clone, Copy, Debug, Default)]
struct Deferral {
    position: LogPosition,
    until: u64,
}

/// The recovery of this replica: the query, and the restrictions on voting and leading until its log has caught up.
#[derive(Clone, Debug)]
pub(super) struct RecoveryState {
    /// The query to the other replicas; `None` once the recovery has ended.
    query: Option<RecoveryQuery>,
    /// The highest position that this replica acknowledged and lost; [`LogPosition::ORIGIN`] if it lost nothing.
    pub floor: LogPosition,
    deferral: Deferral,
    /// Whether a part of the data on the disk could not be read.
    disk_damaged: bool,
}

impl RecoveryState {
    /// The state after a start.
    pub fn new(query: RecoveryQuery, disk_damaged: bool) -> Self {
        Self {
            query: Some(query),
            floor: LogPosition::ORIGIN,
            deferral: Deferral::default(),
            disk_damaged,
        }
    }
}

impl Replica {
    /// Whether this replica is still asking the others which log position its disk had acknowledged before the start.
    pub(super) fn is_recovering(&self) -> bool {
        self.recovery.query.is_some()
    }

    /// Asks another replica which position this replica's disk had acknowledged.
    fn send_recovery_request(&mut self, to: &str) {
        self.send_hello(to, None);
    }

    /// Sends the last position of this replica's log and its witnesses. An answer, for which `requester_disk` is set,
    /// also contains the position acknowledged by the requester's disk.
    fn send_hello(&mut self, to: &str, requester_disk: Option<u64>) {
        let requester = (to.to_string(), requester_disk.unwrap_or(0));
        let no_witness = DurabilityWitness {
            replica: to.into(),
            disk: 0,
            index: 0,
            term: 0,
        };
        let witnessed = self.witnesses.get(&requester).cloned();
        let has_log = !self.log.is_empty();
        let members = if has_log {
            self.members().into_keys().collect()
        } else {
            Vec::new()
        };
        let last = self.log.last();
        let hello = Hello {
            disk: self.disk,
            term: self.hard_state.term,
            last_index: last.index,
            last_term: last.term,
            reply: requester_disk.is_some(),
            zone: self.settings.zone.clone(),
            knows: has_log,
            witnessed: Box::new(witnessed.unwrap_or(no_witness)),
            members,
            witnesses: self.witnesses.values().cloned().collect(),
        };
        self.send(to, Body::Hello(Box::new(hello)));
    }

    /// Handles the recovery request of a replica that has started, or an answer to this replica's request.
    pub(super) fn on_hello(&mut self, now: Now, from: &str, mut hello: Hello) {
        // Witnesses are forwarded between replicas, since the replica that recorded one may be unreachable when it is
        // needed.
        self.remember_witnesses(std::mem::take(&mut hello.witnesses));
        self.membership
            .zones
            .insert(from.into(), hello.zone.clone());
        if hello.reply {
            self.on_recovery_answer(now, from, hello);
        } else {
            self.on_recovery_request(from, &hello);
        }
    }

    /// Handles the request of a replica that has restarted. It may have lost entries that it had acknowledged, so the
    /// leader resets its progress.
    fn on_recovery_request(&mut self, from: &str, request: &Hello) {
        if let Some(progress) = self.leadership.progress.get_mut(from) {
            progress.record_disk(request.disk);
            progress.next_index = request.last_index + 1;
            progress.match_index = progress.match_index.min(request.last_index);
            progress.snapshot = None;
            progress.in_flight_round = 0;
        }
        self.send_hello(from, Some(request.disk));
    }

    fn on_recovery_answer(&mut self, now: Now, from: &str, answer: Hello) {
        if let Some(query) = self.recovery.query.as_mut() {
            query.record_answer(from, &answer, self.disk);
            let own_name = self.name.clone();
            let has_not_answered =
                |member: &String| *member != own_name && !query.answered.contains_key(member);
            let others: Vec<String> = answer
                .members
                .into_iter()
                .filter(has_not_answered)
                .collect();
            if self.log.is_empty() {
                for other in others {
                    self.send_recovery_request(&other);
                }
            }
        }
        self.try_finish_recovery(now);
    }

    /// Repeats the request to all other replicas when it is due, and ends the recovery if possible.
    pub(super) fn recovery_tick(&mut self, now: Now) {
        let next_request_at = self.recovery.query.as_ref().map(|q| q.next_request_at);
        if next_request_at.is_some_and(|at| now.mono >= at) {
            for replica in self.known_replicas() {
                self.send_recovery_request(&replica);
            }
            let interval = self.settings.bounds.heartbeat_interval();
            if let Some(query) = self.recovery.query.as_mut() {
                query.next_request_at = now.mono + interval;
            }
        }
        self.try_finish_recovery(now);
    }

    /// All other replicas that are known as members, as seeds or from the peer sampler.
    pub(super) fn known_replicas(&mut self) -> BTreeSet<String> {
        let mut known: BTreeSet<String> = self.members().into_keys().collect();
        known.extend(self.settings.seeds.iter().cloned());
        known.extend(self.peer_sampler.replicas.iter().cloned());
        known.remove(&self.name);
        known
    }

    /// Ends the recovery if possible: a voter waits until enough replicas have answered, any other replica does not wait.
    /// A replica with an empty log joins as a new one if another replica has a log.
    fn try_finish_recovery(&mut self, now: Now) {
        let Some(query) = self.recovery.query.as_ref() else {
            return;
        };
        if query.anyone_has_log && self.log.is_empty() && !self.membership.joining {
            self.outbox.log(
                "the disk is empty but other replicas have a log: joining as a new replica".into(),
            );
            self.membership.joining = true;
            self.membership.invalidate();
        }
        if self.is_voter() && !self.has_enough_answers(now) {
            return;
        }
        if let Some(query) = self.recovery.query.take() {
            self.finish_recovery(now, &query);
        }
    }

    fn finish_recovery(&mut self, now: Now, query: &RecoveryQuery) {
        let last = self.log.last();
        // The floor is the position that others have recorded for this disk; if there is none and the disk is damaged,
        // it is the end of the longest log found.
        let damaged_floor =
            (query.anyone_has_log && self.recovery.disk_damaged).then_some(query.longest_log);
        let witnessed = query.witnessed.filter(|position| *position > last);
        let floor = witnessed.or(damaged_floor);
        if let Some(floor) = floor.filter(|floor| *floor > last) {
            self.set_recovery_floor(floor, query.highest_term);
        }
        // A longer log may contain entries that this replica acknowledged and lost, and of which no witness was
        // recorded.
        if query.longest_log > last {
            self.recovery.deferral = Deferral {
                position: query.longest_log,
                until: now.mono + self.settings.bounds.outage_ms / DEFERRAL_OUTAGE_DIVISOR,
            };
        }
        self.recovery.disk_damaged = false;
        self.election.last_leader_contact = self.election.last_leader_contact.min(now.mono);
        self.election.fast_until =
            now.mono + FAST_ELECTION_TIMEOUTS * self.settings.bounds.election_timeout();
        self.reset_election_timer(now);
        self.outbox.log(format!(
            "recovered at index {} of term {}; {} other replicas answered",
            last.index,
            last.term,
            query.answered.len()
        ));
    }

    /// Handles the loss of acknowledged entries, and perhaps of votes: this replica neither votes nor leads until its
    /// log has caught up, and never votes in any term up to the highest known one.
    fn set_recovery_floor(&mut self, floor: LogPosition, highest_term: u64) {
        self.recovery.floor = floor;
        let hard_state = &mut self.hard_state;
        hard_state.no_vote_through = hard_state
            .no_vote_through
            .max(highest_term)
            .max(hard_state.term);
        hard_state.term = hard_state.term.max(highest_term);
        self.persistence.write_hard_state(&self.hard_state);
        self.count("disk_losses_seen", 1);
        self.outbox.log(format!(
            "the disk has lost acknowledged entries (last index {}; it had acknowledged index {} of term {}): this replica does not vote until it has caught up",
            self.log.last().index,
            floor.index,
            floor.term
        ));
    }

    /// Whether a majority of the voters has answered, and either all others have answered or the wait is over. An
    /// answer from a replaced disk does not count towards the majority, since the witnesses on the old disk are lost;
    /// but the old disk will never answer, so there is nothing more to wait for from that voter.
    fn has_enough_answers(&mut self, now: Now) -> bool {
        let Some(query) = self.recovery.query.as_ref() else {
            return false;
        };
        let answered = query.answered.clone();
        let is_wait_over = now.mono >= query.deadline;
        let own_name = self.name.clone();
        let mut all_answered = true;
        let mut counted_answers = 1;
        for voter in self.voters().into_iter().filter(|v| *v != own_name) {
            match answered.get(&voter) {
                None => all_answered = false,
                Some(disk) if self.is_member_disk(&voter, *disk) => counted_answers += 1,
                Some(_) => {}
            }
        }
        counted_answers >= self.majority() && (all_answered || is_wait_over)
    }

    /// Clears the recovery floor once the log has caught up with it.
    pub(super) fn try_clear_recovery_floor(&mut self) {
        let last = self.log.last();
        if self.recovery.floor > LogPosition::ORIGIN && last >= self.recovery.floor {
            self.recovery.floor = LogPosition::ORIGIN;
            self.outbox.log(format!(
                "caught up at index {} of term {}: this replica votes again",
                last.index, last.term
            ));
        }
    }

    /// The position that a candidate's log must have reached to get this replica's vote: the end of its own log, its
    /// recovery floor and, for a while, the end of the longest log found during recovery.
    pub(super) fn required_position(&self, now: Now) -> LogPosition {
        let deferral = &self.recovery.deferral;
        let deferral_position = if now.mono < deferral.until {
            deferral.position
        } else {
            LogPosition::ORIGIN
        };
        self.recovery
            .floor
            .max(self.log.last())
            .max(deferral_position)
    }

    /// Records, for each disk of another replica, the highest position that it has acknowledged.
    pub(super) fn remember_witnesses(&mut self, witnesses: Vec<DurabilityWitness>) {
        for witness in witnesses {
            if witness.replica != self.name {
                self.remember_witness(witness);
            }
        }
    }

    /// Records a position acknowledged by a disk if it is higher than the recorded one.
    pub(super) fn remember_witness(&mut self, witness: DurabilityWitness) {
        let identity = (witness.replica.clone(), witness.disk);
        let position = LogPosition::new(witness.term, witness.index);
        let known = self.witnesses.get(&identity);
        if known.is_none_or(|known| LogPosition::new(known.term, known.index) < position) {
            self.witnesses.insert(identity, witness);
        }
    }
}
