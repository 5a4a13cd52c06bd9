use super::clock::ClockReading;
use super::{Replica, Role};
use crate::sans_io::Now;
use crate::state::Command;
use crate::wire::{AppendRequest, AppendResponse, Body, DurabilityWitness, Entry};

impl Replica {
    /// Enters a command into the log; returns its index.
    pub(super) fn push(&mut self, now: Now, command: &Command) -> u64 {
        let bytes = command.pack();
        if matches!(
            command,
            Command::FoundCluster { .. }
                | Command::UpdateReplica { .. }
                | Command::RemoveReplica { .. }
        ) {
            self.members_cache = None;
        }
        self.push_bytes(now, bytes)
    }

    pub(super) fn push_bytes(&mut self, now: Now, command: Vec<u8>) -> u64 {
        let before = self
            .log
            .back()
            .map_or(self.state.at, |e| e.at)
            .max(self.state.at);
        let at = self.clock.read(now).max(before);
        let index = self.last().0 + 1;
        self.count("log_bytes", command.len() as u64);
        let e = Entry {
            index,
            term: self.hard_state.term,
            at,
            command,
        };
        self.log.push_back(e.clone());
        self.pending_batch.entries.push(e);
        index
    }

    fn next_round(&mut self, now: Now) {
        self.round += 1;
        self.rounds.push_back((self.round, now.mono));
        if self.rounds.len() > 1000 {
            self.rounds.pop_front();
        }
    }

    /// Sends entries to all other replicas; with a heartbeat those hear it, too, for whom there is nothing new or whose batch is
    /// still under way.
    pub(super) fn send_round(&mut self, now: Now, heartbeat: bool) {
        self.next_round(now);
        if heartbeat {
            self.last_round = now.mono;
        }
        let to: Vec<String> = self.peers.keys().cloned().collect();
        to.iter().for_each(|p| self.replicate(now, p, heartbeat));
    }

    /// One batch of entries is under way to a replica at a time; heartbeats go out beside it.
    pub(super) fn replicate(&mut self, now: Now, to: &str, heartbeat: bool) {
        let patience = 4 * self.settings.bounds.heartbeat();
        let Some(p) = self.peers.get_mut(to) else {
            return;
        };
        if p.pending > 0 && now.mono >= p.sent + patience {
            // It seems lost: from the last sure place again.
            p.pending = 0;
            p.next = p.matched + 1;
        }
        let p = p.clone();
        let (term, commit) = (self.hard_state.term, self.commit);
        let sure = p.pending > 0 || p.refuses;
        if !heartbeat && (sure || p.next > self.last().0) {
            return;
        }
        let from = if sure { p.matched } else { p.next - 1 };
        let log_index = self.term_at(from).map(|term| (from, term));
        if log_index.is_none() && !sure {
            // Too far behind for the log: a snapshot goes first, beside the heartbeats.
            self.send_snapshot(now, to);
            if !heartbeat {
                return;
            }
        }
        let (prev, prev_term) = log_index.unwrap_or((0, 0));
        let entries = if sure || log_index.is_none() {
            Vec::new()
        } else {
            self.entries(p.next, 512)
        };
        if let Some(last) = entries.last() {
            self.next_round(now);
            let (next, round) = (last.index + 1, self.round);
            self.peers.get_mut(to).iter_mut().for_each(|p| {
                p.next = next;
                p.sent = now.mono;
                p.pending = round;
            });
        }
        let round = self.round;
        // The leader's own place counts towards the majority, so the others remember it as well.
        let own = DurabilityWitness {
            replica: self.name.clone(),
            disk: self.disk,
            index: self.durable,
            term: self.term_at(self.durable).unwrap_or(0),
        };
        let witnesses: Vec<DurabilityWitness> =
            self.witnesses.values().cloned().chain([own]).collect();
        let may_leave = self.may_leave(now, to);
        let clock = if self.clock.set() {
            self.clock.read(now)
        } else {
            0
        };
        self.send(
            to,
            Body::AppendRequest(Box::new(AppendRequest {
                term,
                prev_index: prev,
                prev_term,
                commit,
                round,
                entries,
                witnesses,
                clock,
                may_leave,
            })),
        );
    }

    pub(super) fn on_append(&mut self, now: Now, from: &str, m: AppendRequest) {
        if m.term < self.hard_state.term {
            let (term, last_index, disk) = (self.hard_state.term, self.last().0, self.disk);
            let reading = self.clock.tell(now);
            self.send(
                from,
                Body::AppendResponse(Box::new(AppendResponse {
                    term,
                    ok: false,
                    matched: 0,
                    last_index,
                    round: 0,
                    clock: reading.at,
                    carried: reading.carried,
                    disk,
                    leaving: self.stopping.is_some(),
                    refuses: false,
                })),
            );
            return;
        }
        self.follow(now, m.term, from);
        self.heard_leader = now.mono;
        self.reset_election_timer(now);
        let me = self.name.clone();
        self.clock.hear(now, m.clock);
        self.leave_permitted = m.may_leave;
        m.witnesses
            .into_iter()
            .filter(|n| n.replica != me)
            .for_each(|n| self.remember(n));
        let fits = m.prev_index < self.base.0 || self.term_at(m.prev_index) == Some(m.prev_term);
        // A refusal names the place that did not fit.
        let mut matched = m.prev_index;
        let refuses = !self.storage.takes_writes();
        if fits {
            for e in m.entries.into_iter().filter(|_| !refuses) {
                matched = e.index;
                if e.index <= self.base.0 || self.term_at(e.index) == Some(e.term) {
                    continue;
                }
                if e.index <= self.last().0 {
                    self.cut(e.index);
                }
                if e.index == self.last().0 + 1 {
                    self.log.push_back(e.clone());
                    self.pending_batch.entries.push(e);
                    self.members_cache = None;
                }
            }
            self.verified = self.verified.max(matched);
            self.commit = self.commit.max(m.commit.min(matched));
            self.apply_committed();
            self.rise();
        }
        self.flush();
        let (term, last_index, disk) = (self.hard_state.term, self.last().0, self.disk);
        let matched = if fits {
            matched.min(self.durable)
        } else {
            matched
        };
        self.confirmed = Some((from.to_string(), m.round));
        let reading = self.clock.tell(now);
        self.send_durable_hard(
            from,
            AppendResponse {
                term,
                ok: fits,
                matched,
                last_index,
                round: m.round,
                clock: reading.at,
                carried: reading.carried,
                disk,
                leaving: self.stopping.is_some(),
                refuses,
            },
        );
    }

    /// The response must not leave before the term it names is durable; the entries have their own mark.
    fn send_durable_hard(&mut self, to: &str, v: AppendResponse) {
        let body = Body::AppendResponse(Box::new(v));
        if self.hard_state_write <= self.saved {
            self.send(to, body);
        } else {
            let t = self.hard_state_write;
            self.held
                .push_back((t, crate::sans_io::Effect::Send(to.into(), body)));
        }
    }

    /// Keeps the farthest place that a replica may have confirmed.
    pub(super) fn remember(&mut self, n: DurabilityWitness) {
        let farther = self
            .witnesses
            .get(&(n.replica.clone(), n.disk))
            .is_none_or(|old| (old.term, old.index) < (n.term, n.index));
        if farther {
            self.witnesses.insert((n.replica.clone(), n.disk), n);
        }
    }

    fn cut(&mut self, from: u64) {
        let keep = (from - self.base.0 - 1) as usize;
        self.log.truncate(keep);
        self.pending_batch.entries.retain(|e| e.index < from);
        self.pending_batch.cut = Some(self.pending_batch.cut.map_or(from, |c| c.min(from)));
        self.durable = self.durable.min(from - 1);
        self.verified = self.verified.min(from - 1);
        self.members_cache = None;
        self.count("entries_truncated", 1);
    }

    /// Once caught up with what it had confirmed, a replica counts again.
    pub(super) fn rise(&mut self) {
        let (index, term) = self.last();
        if self.recovery_floor > (0, 0) && (term, index) >= self.recovery_floor {
            self.recovery_floor = (0, 0);
            self.line(format!("caught up at {index} of term {term}: votes again"));
        }
    }

    /// Tells the leader what has become durable since.
    pub(super) fn confirm(&mut self) {
        let (term, last_index, disk, matched) = (
            self.hard_state.term,
            self.last().0,
            self.disk,
            self.durable.min(self.verified),
        );
        let refuses = !self.storage.takes_writes();
        let reading = self.confirmed.clone();
        if let Some((to, round)) = reading.filter(|(to, _)| *to == self.leader && !to.is_empty()) {
            self.send_durable_hard(
                &to,
                AppendResponse {
                    term,
                    ok: true,
                    matched,
                    last_index,
                    round,
                    clock: 0,
                    carried: false,
                    disk,
                    leaving: self.stopping.is_some(),
                    refuses,
                },
            );
        }
    }

    pub(super) fn on_append_response(&mut self, now: Now, from: &str, m: &AppendResponse) {
        if m.term > self.hard_state.term {
            self.follow(now, m.term, "");
            return;
        }
        if self.role != Role::Leader || m.term < self.hard_state.term {
            return;
        }
        if m.clock > 0 {
            let reading = ClockReading {
                at: m.clock,
                carried: m.carried,
            };
            self.clock.sample(now, from, reading);
        }
        let sent = self
            .rounds
            .iter()
            .find(|(r, _)| *r == m.round)
            .map_or(0, |(_, at)| *at);
        let last = self.last().0;
        let Some(p) = self.peers.get_mut(from) else {
            return;
        };
        if m.round >= p.answered {
            p.answered = m.round;
            p.leaving = m.leaving;
            p.take_disk(m.disk);
        }
        if p.disk != m.disk {
            // A late word of a disk that is gone.
            return;
        }
        p.heard = now.mono;
        p.round_sent = p.round_sent.max(sent);
        let was_refusing = std::mem::replace(&mut p.refuses, m.refuses);
        if m.refuses || was_refusing {
            // From the last sure place again, once its disk takes writes.
            p.pending = 0;
            p.next = p.matched + 1;
        }
        // A response on an older round says nothing about the batch under way.
        let fresh = m.round >= p.pending;
        if fresh {
            p.pending = 0;
        }
        if m.ok {
            p.matched = p.matched.max(m.matched.min(last));
            let (disk, matched) = (m.disk, p.matched);
            if p.next <= matched {
                p.next = matched + 1;
            }
            let term = self.term_at(matched).unwrap_or(0);
            self.remember(DurabilityWitness {
                replica: from.into(),
                disk,
                index: matched,
                term,
            });
            self.advance(now);
            let more = self.peers.get(from).is_some_and(|p| p.next <= last);
            if more && fresh {
                self.replicate(now, from, false);
            }
        } else if fresh {
            // Back to where the logs may agree; a shorter log than confirmed before means its disk lost some.
            p.matched = p.matched.min(m.last_index);
            p.next = (m.last_index + 1).min(m.matched).max(1);
            self.replicate(now, from, true);
        }
        self.answer_reads(now);
    }

    /// Commits what a majority has on disk.
    pub(super) fn advance(&mut self, now: Now) {
        let matched = self.by_voter(self.durable, |p| p.matched);
        let mark = Self::reached_by_majority(matched);
        if mark > self.commit && self.term_at(mark) == Some(self.hard_state.term) {
            self.commit = mark;
            self.apply_committed();
            // The others hear at once what was confirmed: should this disk lose it, they remember.
            self.needs_round = true;
            self.needs_heartbeat = true;
            self.push_to_watchers(now);
            self.answer_reads(now);
        }
    }
}
