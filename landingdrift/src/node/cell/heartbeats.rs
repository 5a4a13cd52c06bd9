//! Heartbeats of workers: what each says, and what the holder of its cell makes of it.

use super::{Pace, WorkerState};
use crate::kernel::{Now, Response};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::record::{
    cell_duty, AttemptState, ClusterState, Command, EndReport, Outcome, RunName, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a worker says in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Heartbeat {
    pub facts: WorkerInfo,
    #[serde(default)]
    pub running: Vec<Running>,
    /// Repeated until the answer says that they are settled.
    #[serde(default)]
    pub ended: Vec<EndReport>,
    /// Rises with each beat of a worker, so that a late one is known; 0 where it isn't counted.
    #[serde(default)]
    pub call: u64,
    /// The worker keeps runs by their names: stops are told by names, too.
    #[serde(default)]
    pub named: bool,
    /// How long a leaving worker stays at least; what won't end by then is called back.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}

/// A send that is running on a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Running {
    #[serde(default)]
    pub no: u64,
    /// In place of `no`.
    #[serde(default)]
    pub name: Option<RunName>,
    /// Its newest checkpoint.
    #[serde(default)]
    pub checkpoint: String,
    /// How far it is, in parts of a thousand, where the worker knows.
    #[serde(default)]
    pub progress: u32,
}

impl Node {
    /// The verdict on a beat, by the holder of the worker's cell.
    pub(in crate::node) fn beat(&mut self, now: Now, mut beat: Heartbeat) -> Response {
        let zone = beat.facts.zone.clone();
        let id = beat.facts.worker.clone();
        let Some(epoch) = self.epoch(&cell_duty(&zone)).filter(|_| self.speaks(now)) else {
            return self.not_ready();
        };
        self.hold_cells(now);
        self.count("beats", 1);
        if self.is_late(&zone, &id, &beat) {
            return self.late_beat();
        }
        self.number_runs(&id, &mut beat);
        let known = self.record.workers.get(&id).cloned().unwrap_or_default();
        if beat.facts.incarnation < known.facts.incarnation {
            return old_incarnation();
        }
        let new_facts = known.facts != beat.facts || known.lost;
        let mut ends = self.live_ends(now, &beat);
        let running = self.newly_running(&beat);
        let held = self
            .cells
            .entry(zone.clone())
            .or_default()
            .workers
            .entry(id.clone())
            .or_default();
        held.hear(now, &beat);
        ends.extend(held.never_started(&self.record, &beat));
        held.keep_state(now, &beat);
        let paces = held.paces.clone();
        let ask_facts = new_facts && !held.facts_asked;
        held.facts_asked |= new_facts;
        // That something runs is told with the next end, or after a while: it decides little, and an entry costs much.
        let waited = now.mono >= held.reported + self.settings.bounds.cancel_ms / 4;
        let has_report = !ends.is_empty() || (!running.is_empty() && waited);
        let ask_report = has_report && !held.report_asked;
        held.report_asked |= has_report;
        if ask_report {
            held.reported = now.mono;
        }
        let recalling = held.recall_asked;
        let leaves = beat.leaves_in_ms.filter(|_| beat.facts.leaving);
        let (late, blame) = self.stragglers(now, &id, &paces, leaves);
        if !late.is_empty() && !recalling {
            self.recall(now, &id, epoch, late, blame);
        }
        if ask_facts {
            self.propose_facts(now, &beat, epoch);
        }
        if ask_report {
            self.propose_report(now, &beat, running, ends);
        }
        self.orders(&beat, epoch)
    }

    /// The verdict where this node can't speak for the cell.
    fn not_ready(&self) -> Response {
        Response::error(
            503,
            "notReady",
            "this node can't speak for the cell now: beat again, here or at another node",
        )
        .retry(self.settings.bounds.beat())
    }

    /// The verdict on a beat that comes too late to count.
    fn late_beat(&self) -> Response {
        Response::error(
            503,
            "lateBeat",
            "a newer beat of this worker was heard, or what it ran is being ended: beat again",
        )
        .retry(self.settings.bounds.beat())
    }

    /// Whether a newer beat of the worker was heard, or what it ran is being ended.
    fn is_late(&self, zone: &str, id: &str, beat: &Heartbeat) -> bool {
        self.cells
            .get(zone)
            .and_then(|c| c.workers.get(id))
            .is_some_and(|w| !w.lapsing.is_empty() || (beat.call > 0 && beat.call < w.call))
    }

    /// Gives the runs that a beat names their numbers.
    fn number_runs(&self, id: &str, beat: &mut Heartbeat) {
        // What the record does not know as live gets number 0.
        let number = |name: &Option<RunName>, no: u64| {
            name.as_ref()
                .map_or(no, |n| self.record.named(id, n).unwrap_or(0))
        };
        let running: Vec<u64> = beat.running.iter().map(|r| number(&r.name, r.no)).collect();
        let ended: Vec<u64> = beat.ended.iter().map(|e| number(&e.name, e.no)).collect();
        running
            .into_iter()
            .zip(&mut beat.running)
            .for_each(|(no, r)| r.no = no);
        ended
            .into_iter()
            .zip(&mut beat.ended)
            .for_each(|(no, e)| e.no = no);
    }

    /// The ends that a beat tells of runs which the record knows as live.
    fn live_ends(&self, now: Now, beat: &Heartbeat) -> Vec<EndReport> {
        // How long a run took, where its worker does not say: since its first beat here.
        let held = self
            .cells
            .get(&beat.facts.zone)
            .and_then(|c| c.workers.get(&beat.facts.worker));
        let ran = |no: u64| {
            held.and_then(|w| w.paces.get(&no))
                .map_or(0, |p| p.since(now.mono))
        };
        beat.ended
            .iter()
            .filter(|e| self.record.live.contains_key(&e.no))
            .map(|e| EndReport {
                name: None,
                ran_ms: Some(e.ran_ms)
                    .filter(|ms| *ms > 0)
                    .unwrap_or_else(|| ran(e.no)),
                ..e.clone()
            })
            .collect()
    }

    /// The runs of a beat that the record does not show as running yet.
    fn newly_running(&self, beat: &Heartbeat) -> Vec<u64> {
        beat.running
            .iter()
            .map(|r| r.no)
            .filter(|no| {
                self.record.send(*no).is_some_and(|(_, _, s)| {
                    s.state != AttemptState::Running && s.worker == beat.facts.worker
                })
            })
            .collect()
    }

    /// Proposes what the worker says of itself.
    fn propose_facts(&mut self, now: Now, beat: &Heartbeat, cell_epoch: u64) {
        self.propose(
            now,
            &Command::Facts {
                facts: beat.facts.clone(),
                cell_epoch,
            },
            Purpose::Facts {
                worker: beat.facts.worker.clone(),
            },
            self.settings.bounds.call(),
        );
    }

    /// Proposes which runs have started and which have ended.
    fn propose_report(
        &mut self,
        now: Now,
        beat: &Heartbeat,
        running: Vec<u64>,
        ends: Vec<EndReport>,
    ) {
        let incarnation = beat.facts.incarnation;
        self.propose(
            now,
            &Command::Report {
                worker: beat.facts.worker.clone(),
                incarnation,
                running,
                ends,
            },
            Purpose::Report {
                worker: beat.facts.worker.clone(),
            },
            self.settings.bounds.call(),
        );
    }
}

impl WorkerState {
    /// Notes when the beat came, and which call it was.
    fn hear(&mut self, now: Now, beat: &Heartbeat) {
        self.last_beat = now.mono;
        self.renewed = now.mono;
        self.call = self.call.max(beat.call);
        if self.first_call == 0 {
            self.first_call = beat.call;
        }
    }

    /// Ends of the runs that were never started and never will be.
    fn never_started(&mut self, record: &ClusterState, beat: &Heartbeat) -> Vec<EndReport> {
        // Calls follow one another, and an answer that comes after the next call is dropped. So what is not wanted any
        // more, and what a call does not show whose order went with an earlier answer, was never started and never will be.
        let shown: BTreeSet<u64> = beat
            .running
            .iter()
            .map(|r| r.no)
            .chain(beat.ended.iter().map(|e| e.no))
            .collect();
        let sends = record.workers.get(&beat.facts.worker).map(|w| &w.sends);
        self.given
            .retain(|no, _| sends.is_some_and(|s| s.contains(no)));
        if beat.call <= self.first_call {
            return Vec::new();
        }
        let gone = sends.into_iter().flatten().filter(|no| {
            !shown.contains(no)
                && self.given.get(no).is_none_or(|c| *c < beat.call)
                && record.send(**no).is_some_and(|(_, _, s)| {
                    s.incarnation == beat.facts.incarnation
                        && (s.stop || s.state == AttemptState::Unsure)
                })
        });
        gone.map(|no| EndReport {
            no: *no,
            outcome: Outcome::Void,
            ..EndReport::default()
        })
        .collect()
    }

    /// Keeps the room, the progress and the checkpoints that the beat tells.
    fn keep_state(&mut self, now: Now, beat: &Heartbeat) {
        self.leaving = beat.facts.leaving;
        self.room = beat.facts.total_resources();
        let mut paces = std::mem::take(&mut self.paces);
        self.paces = beat
            .running
            .iter()
            .filter(|r| r.no > 0)
            .map(|r| {
                let new = Pace::new(now.mono, r.progress);
                let mut pace = paces.remove(&r.no).unwrap_or(new);
                pace.hear(now.mono, r.progress);
                (r.no, pace)
            })
            .collect();
        self.checkpoints = beat
            .running
            .iter()
            .filter(|r| !r.checkpoint.is_empty())
            .map(|r| (r.no, r.checkpoint.clone()))
            .collect();
    }
}

/// The verdict on a beat of a process that a newer one has replaced.
fn old_incarnation() -> Response {
    Response::error(
        409,
        "oldIncarnation",
        "a newer process of this worker has reported: end this one",
    )
}
