//! A cell: a zone's workers, their beats and their reservation queues. Hopper's worker side.

mod pace;

pub use pace::{judge, Pace, Run, Why};

use super::propose::Purpose;
use super::Node;
use crate::kernel::{Now, Verdict};
use crate::record::{
    cell_duty, Command, EndReport, Outcome, Room, RunName, SendState, TaskState, WorkerFacts,
};
use crate::wire::{
    Body, Offer, OfferDone, OfferVerdict, RequestToken, Reservation, Reserve, Sizes,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// What a worker says in a beat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Beat {
    pub facts: WorkerFacts,
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

/// A cell that this node holds.
#[derive(Default)]
pub struct Cell {
    pub epoch: u64,
    pub workers: BTreeMap<String, Held>,
}

/// A worker of a cell.
#[derive(Default)]
pub struct Held {
    pub last_beat: u64,
    leaving: bool,
    room: Room,
    queue: Vec<Reservation>,
    episode: Option<Episode>,
    /// Room promised to accepted offers that the record does not show yet.
    pending: Vec<Promise>,
    idle_until: u64,
    facts_asked: bool,
    report_asked: bool,
    /// Its sends are being ended since its hold has passed: it is not held on meanwhile.
    lapsing: Vec<u64>,
    lapse_asked: bool,
    /// When its hold was last renewed, by this node's clock; or when it said that it left.
    renewed: u64,
    left: Option<u64>,
    /// When a report was last proposed.
    reported: u64,
    /// The first call heard by this holder, and the newest.
    first_call: u64,
    call: u64,
    /// Starts given, each with the newest call whose answer had it.
    given: BTreeMap<u64, u64>,
    checkpoints: BTreeMap<u64, String>,
    paces: BTreeMap<u64, Pace>,
    recall_asked: bool,
    /// It does badly: no offers are made for it until then.
    suspect_until: u64,
}

/// Room promised to an accepted offer.
struct Promise {
    offer: RequestToken,
    scheduler: String,
    job: String,
    room: Room,
    until: u64,
}

/// The offering of one free slot.
struct Episode {
    token: u64,
    since: u64,
    refusals: u32,
    asked: BTreeSet<String>,
    /// The offer that is under way, and to whom.
    offer: RequestToken,
    scheduler: String,
    unsatisfied: Option<Sizes>,
    forced: bool,
    job: String,
}

impl Node {
    /// Takes cells over and gives them up, as the record says.
    pub(super) fn hold_cells(&mut self, now: Now) {
        let mine: BTreeMap<String, u64> = self
            .record
            .grants
            .iter()
            .filter(|(_, g)| g.holder == self.name)
            .filter_map(|(d, g)| d.strip_prefix("cell/").map(|z| (z.to_string(), g.epoch)))
            .collect();
        self.cells.retain(|z, c| mine.get(z) == Some(&c.epoch));
        for (zone, epoch) in mine {
            if !self.cells.contains_key(&zone) {
                self.line(format!("holds the cell of zone {zone}, epoch {epoch}"));
                self.cells.insert(
                    zone.clone(),
                    Cell {
                        epoch,
                        ..Cell::default()
                    },
                );
            }
            let known: Vec<(String, Room)> = self
                .record
                .workers
                .iter()
                .filter(|(_, w)| w.facts.zone == zone)
                .map(|(k, w)| (k.clone(), w.facts.all_room()))
                .collect();
            let cell = self.cells.entry(zone.clone()).or_default();
            cell.workers
                .retain(|k, _| known.iter().any(|(n, _)| n == k));
            for (k, room) in known {
                cell.workers.entry(k).or_insert_with(|| Held {
                    last_beat: now.mono,
                    renewed: now.mono,
                    room,
                    ..Held::default()
                });
            }
        }
    }

    /// The verdict on a beat, by the holder of the worker's cell.
    pub(super) fn beat(&mut self, now: Now, mut beat: Beat) -> Verdict {
        let zone = beat.facts.zone.clone();
        let id = beat.facts.worker.clone();
        let Some(epoch) = self.epoch(&cell_duty(&zone)).filter(|_| self.speaks(now)) else {
            return Verdict::error(
                503,
                "notReady",
                "this node can't speak for the cell now: beat again, here or at another node",
            )
            .retry(self.cfg.bounds.beat());
        };
        self.hold_cells(now);
        self.count("beats", 1);
        let late = self
            .cells
            .get(&zone)
            .and_then(|c| c.workers.get(&id))
            .is_some_and(|w| !w.lapsing.is_empty() || (beat.call > 0 && beat.call < w.call));
        if late {
            return Verdict::error(
                503,
                "lateBeat",
                "a newer beat of this worker was heard, or what it ran is being ended: beat again",
            )
            .retry(self.cfg.bounds.beat());
        }
        // What the record does not know as live gets number 0.
        let number = |name: &Option<RunName>, no: u64| {
            name.as_ref()
                .map_or(no, |n| self.record.named(&id, n).unwrap_or(0))
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
        let known = self.record.workers.get(&id).cloned().unwrap_or_default();
        if beat.facts.incarnation < known.facts.incarnation {
            return Verdict::error(
                409,
                "oldIncarnation",
                "a newer process of this worker has reported: end this one",
            );
        }
        let new_facts = known.facts != beat.facts || known.lost;
        // How long a run took, where its worker does not say: since its first beat here.
        let held = self.cells.get(&zone).and_then(|c| c.workers.get(&id));
        let ran = |no: u64| {
            held.and_then(|w| w.paces.get(&no))
                .map_or(0, |p| p.since(now.mono))
        };
        let mut ends: Vec<EndReport> = beat
            .ended
            .iter()
            .filter(|e| self.record.live.contains_key(&e.no))
            .map(|e| EndReport {
                name: None,
                ran_ms: Some(e.ran_ms)
                    .filter(|ms| *ms > 0)
                    .unwrap_or_else(|| ran(e.no)),
                ..e.clone()
            })
            .collect();
        let running: Vec<u64> = beat
            .running
            .iter()
            .map(|r| r.no)
            .filter(|no| {
                self.record
                    .send(*no)
                    .is_some_and(|(_, _, s)| s.state != SendState::Running && s.worker == id)
            })
            .collect();
        let held = self
            .cells
            .entry(zone.clone())
            .or_default()
            .workers
            .entry(id.clone())
            .or_default();
        held.last_beat = now.mono;
        held.renewed = now.mono;
        held.call = held.call.max(beat.call);
        if held.first_call == 0 {
            held.first_call = beat.call;
        }
        // Calls follow one another, and an answer that comes after the next call is dropped. So what is not wanted any
        // more, and what a call does not show whose order went with an earlier answer, was never started and never will be.
        let shown: BTreeSet<u64> = beat
            .running
            .iter()
            .map(|r| r.no)
            .chain(beat.ended.iter().map(|e| e.no))
            .collect();
        let sends = self.record.workers.get(&id).map(|w| &w.sends);
        held.given
            .retain(|no, _| sends.is_some_and(|s| s.contains(no)));
        if beat.call > held.first_call {
            let gone = sends.into_iter().flatten().filter(|no| {
                !shown.contains(no)
                    && held.given.get(no).is_none_or(|c| *c < beat.call)
                    && self.record.send(**no).is_some_and(|(_, _, s)| {
                        s.incarnation == beat.facts.incarnation
                            && (s.stop || s.state == SendState::Unsure)
                    })
            });
            ends.extend(gone.map(|no| EndReport {
                no: *no,
                outcome: Outcome::Void,
                ..EndReport::default()
            }));
        }
        held.leaving = beat.facts.leaving;
        held.room = beat.facts.all_room();
        let mut paces = std::mem::take(&mut held.paces);
        held.paces = beat
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
        let paces = held.paces.clone();
        held.checkpoints = beat
            .running
            .iter()
            .filter(|r| !r.checkpoint.is_empty())
            .map(|r| (r.no, r.checkpoint.clone()))
            .collect();
        let ask_facts = new_facts && !held.facts_asked;
        held.facts_asked |= new_facts;
        // That something runs is told with the next end, or after a while: it decides little, and an entry costs much.
        let waited = now.mono >= held.reported + self.cfg.bounds.cancel_ms / 4;
        let has_report = !ends.is_empty() || (!running.is_empty() && waited);
        let ask_report = has_report && !held.report_asked;
        held.report_asked |= has_report;
        if ask_report {
            held.reported = now.mono;
        }
        let within = self.cfg.bounds.call();
        let recalling = held.recall_asked;
        let leaves = beat.leaves_in_ms.filter(|_| beat.facts.leaving);
        let (late, blame) = self.stragglers(now, &id, &paces, leaves);
        if !late.is_empty() && !recalling {
            self.recall(now, &id, epoch, late, blame);
        }
        if ask_facts {
            self.propose(
                now,
                &Command::Facts {
                    facts: beat.facts.clone(),
                    cell_epoch: epoch,
                },
                Purpose::Facts { worker: id.clone() },
                within,
            );
        }
        if ask_report {
            let incarnation = beat.facts.incarnation;
            self.propose(
                now,
                &Command::Report {
                    worker: id.clone(),
                    incarnation,
                    running,
                    ends,
                },
                Purpose::Report { worker: id.clone() },
                within,
            );
        }
        self.orders(&beat, epoch)
    }

    /// Calls sends back that do no good where they are.
    fn recall(&mut self, now: Now, worker: &str, cell_epoch: u64, sends: Vec<u64>, blame: bool) {
        let until = now.mono + self.cfg.bounds.cancel_ms;
        let held = self
            .cells
            .values_mut()
            .find_map(|c| c.workers.get_mut(worker));
        held.into_iter().for_each(|w| {
            w.recall_asked = true;
            if blame {
                w.suspect_until = until;
            }
        });
        self.count("sends_recalled", sends.len() as u64);
        if blame {
            self.line(format!(
                "worker {worker} stands still or crawls: {} of its runs are called back",
                sends.len()
            ));
            self.count("workers_suspected", 1);
        }
        let command = Command::Recall {
            worker: worker.into(),
            cell_epoch,
            sends,
            blame,
        };
        let purpose = Purpose::Recall {
            worker: worker.into(),
        };
        self.propose(now, &command, purpose, self.cfg.bounds.call());
    }

    pub(super) fn recall_over(&mut self, worker: &str) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| w.recall_asked = false);
    }

    /// A worker says that it has left: what ran there is dead in a moment.
    pub(super) fn left(&mut self, now: Now, worker: &str) {
        let at = now.mono + self.cfg.bounds.obey() / 2;
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.left = Some(at);
                w.leaving = true;
            });
    }

    pub(super) fn lapse_over(&mut self, worker: &str, ruled: bool) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.lapse_asked = false;
                if ruled {
                    w.lapsing.clear();
                }
            });
    }

    /// Start and stop orders, derived from the record; repeated until beats confirm them.
    fn orders(&mut self, beat: &Beat, epoch: u64) -> Verdict {
        let f = &beat.facts;
        let reported: BTreeSet<u64> = beat
            .running
            .iter()
            .map(|r| r.no)
            .chain(beat.ended.iter().map(|e| e.no))
            .collect();
        let open = !f.leaving
            && self.record.open(&f.zone, &f.worker)
            && self
                .record
                .workers
                .get(&f.worker)
                .is_some_and(|w| w.facts.incarnation == f.incarnation && !w.lost);
        let room_of = |no: &u64| {
            self.record
                .live
                .get(no)
                .and_then(|(j, i)| self.record.jobs.get(j).map(|j| j.of(*i as usize).needs()))
                .unwrap_or_default()
        };
        let mut left = beat
            .running
            .iter()
            .fold(f.all_room(), |left, r| left.less(room_of(&r.no)));
        if beat
            .running
            .iter()
            .any(|r| !self.record.live.contains_key(&r.no))
        {
            // What runs there without the record's knowledge takes room that nobody can tell: it ends first.
            left = Room::default();
        }
        let (mut starts, mut stops, mut named) = (Vec::new(), BTreeSet::new(), Vec::new());
        for no in self
            .record
            .workers
            .get(&f.worker)
            .map(|w| w.sends.clone())
            .unwrap_or_default()
        {
            let Some((job, task, send)) = self.record.send(no) else {
                continue;
            };
            let i = self.record.live.get(&no).map(|(_, i)| *i as usize);
            let Some(i) = i.filter(|_| send.incarnation == f.incarnation) else {
                continue;
            };
            let spec = job.of(i);
            if send.stop || (send.state == SendState::Unsure && !reported.contains(&no)) {
                stops.insert(no);
                if beat.named {
                    named.push(json!([job.spec.id, job.name(i), send.run]));
                }
            } else if send.state == SendState::Ordered
                && !reported.contains(&no)
                && open
                && f.serves(spec)
                && !job.cancel
                && task.state == TaskState::Waiting
                && left.holds(spec.needs())
            {
                left = left.less(spec.needs());
                let payload = if job.spec.steps.is_empty() {
                    spec.payload.clone()
                } else {
                    json!(job.spec.payload)
                };
                starts.push(json!({"no": no, "job": job.spec.id, "task": job.name(i), "run": send.run, "room": spec.room, "copy": send.copy, "payload": payload, "checkpoint": send.checkpoint}));
            }
        }
        // What runs without the record knowing it as live is over for us.
        stops.extend(
            beat.running
                .iter()
                .map(|r| r.no)
                .filter(|no| !self.record.live.contains_key(no) && *no < self.record.next_send),
        );
        named.extend(
            beat.running
                .iter()
                .filter(|r| r.no == 0)
                .filter_map(|r| r.name.as_ref())
                .map(|n| json!([n.job, n.task, n.run])),
        );
        let settled_to = beat
            .ended
            .iter()
            .take_while(|e| !self.record.live.contains_key(&e.no))
            .count();
        let settled: Vec<u64> = beat
            .ended
            .iter()
            .map(|e| e.no)
            .filter(|no| !self.record.live.contains_key(no) && *no < self.record.next_send)
            .collect();
        if beat.call > 0 {
            let given: Vec<u64> = starts.iter().filter_map(|s| s["no"].as_u64()).collect();
            let held = self
                .cells
                .get_mut(&f.zone)
                .and_then(|c| c.workers.get_mut(&f.worker));
            held.into_iter()
                .for_each(|w| w.given.extend(given.iter().map(|no| (*no, beat.call))));
        }
        self.count("start_orders", starts.len() as u64);
        self.count("stop_orders", stops.len() as u64);
        let mut answer = json!({"starts": starts, "stops": stops, "settled": settled, "beatMs": self.cfg.bounds.beat(), "obeyMs": self.cfg.bounds.obey(), "epoch": epoch});
        if self.cfg.bounds.hold_ms > 0 {
            answer["holdMs"] = json!(self.cfg.bounds.hold_ms);
        }
        if beat.named {
            answer["stopRuns"] = json!(named);
            answer["settledTo"] = json!(settled_to);
        }
        Verdict::new(200, answer)
    }

    pub(super) fn proposal_over(&mut self, worker: &str, facts: bool) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                *(if facts {
                    &mut w.facts_asked
                } else {
                    &mut w.report_asked
                }) = false
            });
    }

    /// A start entered the record: the room promised for it is now counted there.
    pub(super) fn unhold(&mut self, worker: &str, job: &str) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                w.pending
                    .iter()
                    .position(|p| p.job == job)
                    .into_iter()
                    .for_each(|i| {
                        w.pending.remove(i);
                    });
            });
    }

    pub(super) fn cells_tick(&mut self, now: Now) {
        let (lost_after, offer) = (self.cfg.bounds.worker_lost(), self.cfg.bounds.offer());
        if !self.speaks(now) {
            // Nothing is decided on old news, and silence is not held against workers meanwhile.
            self.cells
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .for_each(|w| {
                    w.last_beat = w.last_beat.max(now.mono.saturating_sub(lost_after / 2))
                });
            return;
        }
        let (mut lost, mut lapsed) = (Vec::new(), Vec::new());
        let hold = self.cfg.bounds.hold_passed();
        for c in self.cells.values_mut() {
            for (k, w) in &mut c.workers {
                w.pending.retain(|p| now.mono < p.until);
                if w.episode
                    .as_ref()
                    .is_some_and(|e| now.mono >= e.since + offer)
                {
                    w.episode = None;
                }
                let left = w.left.is_some_and(|at| now.mono >= at);
                let passed = hold > 0 && now.mono.saturating_sub(w.renewed) > hold;
                let holds = self
                    .record
                    .workers
                    .get(k)
                    .is_some_and(|r| !r.sends.is_empty());
                if w.lapsing.is_empty() && (passed || left) && holds && !w.facts_asked {
                    let sends = self.record.workers.get(k).map(|r| r.sends.clone());
                    w.lapsing = sends.unwrap_or_default().into_iter().collect();
                }
                if !w.lapsing.is_empty() && !w.lapse_asked {
                    w.lapse_asked = true;
                    let known = std::mem::take(&mut w.checkpoints);
                    lapsed.push((
                        k.clone(),
                        c.epoch,
                        w.lapsing.clone(),
                        known.into_iter().collect(),
                    ));
                }
                let silent = now.mono.saturating_sub(w.last_beat) > lost_after;
                if silent && !w.facts_asked && self.record.workers.get(k).is_some_and(|r| !r.lost) {
                    w.facts_asked = true;
                    lost.push((k.clone(), c.epoch));
                }
            }
        }
        for (worker, cell_epoch) in lost {
            let incarnation = self
                .record
                .workers
                .get(&worker)
                .map_or(0, |w| w.facts.incarnation);
            self.line(format!("worker {worker} is silent: its sends are unsure"));
            self.count("workers_lost", 1);
            self.propose(
                now,
                &Command::Lost {
                    worker: worker.clone(),
                    incarnation,
                    cell_epoch,
                },
                Purpose::Facts { worker },
                self.cfg.bounds.call(),
            );
        }
        for (worker, cell_epoch, sends, checkpoints) in lapsed {
            let known = self.record.workers.get(&worker);
            let incarnation = known.map_or(0, |w| w.facts.incarnation);
            self.line(format!(
                "worker {worker} is silent beyond its hold: what ran there is dead"
            ));
            self.count("workers_lapsed", 1);
            let command = Command::Lapse {
                worker: worker.clone(),
                incarnation,
                cell_epoch,
                sends,
                checkpoints,
            };
            let within = self.cfg.bounds.call();
            self.propose(now, &command, Purpose::Lapse { worker }, within);
        }
        self.offer_all(now);
    }

    pub(super) fn on_reserve(&mut self, now: Now, m: Reserve) {
        self.count("reservations", m.reservations.len() as u64);
        for r in m.reservations {
            let Some(w) = self
                .cells
                .values_mut()
                .find_map(|c| c.workers.get_mut(&r.worker))
            else {
                continue;
            };
            w.idle_until = 0;
            match w.queue.iter_mut().find(|q| q.job == r.job) {
                Some(q) => *q = r,
                None => w.queue.push(r),
            }
        }
        self.offer_all(now);
    }

    /// Offers every free slot for its worker.
    pub(super) fn offer_all(&mut self, now: Now) {
        if !self.speaks(now) || self.cells.is_empty() {
            return;
        }
        let idle: Vec<(String, String)> = self
            .cells
            .iter()
            .flat_map(|(z, c)| c.workers.iter().map(move |(k, w)| (z, k, w)))
            .filter(|(_, _, w)| {
                w.episode.is_none()
                    && !w.queue.is_empty()
                    && now.mono >= w.idle_until
                    && now.mono >= w.suspect_until
                    && !w.leaving
            })
            .filter(|(z, k, _)| self.free_room(z, k).cpu > 0)
            .map(|(z, k, _)| (z.clone(), k.clone()))
            .collect();
        // Only where there is room to offer is the queue looked through.
        let record = &self.record;
        for (zone, worker) in &idle {
            self.cells
                .get_mut(zone)
                .and_then(|c| c.workers.get_mut(worker))
                .into_iter()
                .for_each(|w| w.queue.retain(|r| record.open.contains(&r.job)));
        }
        for (zone, worker) in idle {
            if self.free_room(&zone, &worker).cpu > 0 {
                self.begin(now, &zone, &worker);
            }
        }
    }

    fn free_room(&self, zone: &str, worker: &str) -> Room {
        let Some(r) = self
            .record
            .workers
            .get(worker)
            .filter(|r| !r.lost && !r.facts.leaving && self.record.open(zone, worker))
        else {
            return Room::default();
        };
        let Some(w) = self.cells.get(zone).and_then(|c| c.workers.get(worker)) else {
            return Room::default();
        };
        if r.probation > 0 && !(r.sends.is_empty() && w.pending.is_empty()) {
            return Room::default();
        }
        let pending = w.pending.iter();
        let taken = pending.fold(r.used, |sum, p| sum.plus(p.room));
        r.facts.all_room().least(w.room).less(taken)
    }

    fn begin(&mut self, now: Now, zone: &str, worker: &str) {
        let token = self.token();
        let Some(w) = self
            .cells
            .get_mut(zone)
            .and_then(|c| c.workers.get_mut(worker))
        else {
            return;
        };
        w.episode = Some(Episode {
            token,
            since: now.mono,
            refusals: 0,
            asked: BTreeSet::new(),
            offer: RequestToken::default(),
            scheduler: String::new(),
            unsatisfied: None,
            forced: false,
            job: String::new(),
        });
        self.offer_next(now, zone, worker);
    }

    /// The next scheduler to offer a slot to: the smallest job first, then what refusals named, then a draw by V.
    fn offer_next(&mut self, now: Now, zone: &str, worker: &str) {
        let refusals = self.cfg.hopper.refusals;
        let locality = self.cfg.hopper.locality;
        let draw = self.draw.unit();
        let room = self.free_room(zone, worker);
        let incarnation = self
            .record
            .workers
            .get(worker)
            .map_or(0, |w| w.facts.incarnation);
        let Some(c) = self.cells.get_mut(zone) else {
            return;
        };
        let epoch = c.epoch;
        let Some(w) = c.workers.get_mut(worker) else {
            return;
        };
        let Some(e) = w.episode.as_mut() else { return };
        if room.cpu == 0 || e.forced {
            w.episode = None;
            w.idle_until = now.mono + self.cfg.bounds.heartbeat();
            return;
        }
        let mut open: Vec<&Reservation> = w
            .queue
            .iter()
            .filter(|r| !e.asked.contains(&r.scheduler))
            .collect();
        open.sort_by(|a, b| {
            b.starved
                .cmp(&a.starved)
                .then(a.size.total_cmp(&b.size))
                .then(a.asked.cmp(&b.asked))
                .then(a.job.cmp(&b.job))
        });
        let refusable = e.refusals < refusals && !open.is_empty();
        let target = if refusable {
            // Any of the smallest share may go first when its data is near.
            let near = ((open.len() as f64 * locality).ceil() as usize).max(1);
            let r = open[..near.min(open.len())]
                .iter()
                .find(|r| r.local)
                .unwrap_or(&open[0]);
            Some((r.job.clone(), r.scheduler.clone()))
        } else if let Some(u) = &e.unsatisfied {
            Some((u.job.clone(), u.scheduler.clone()))
        } else {
            let sum: f64 = w.queue.iter().map(|r| r.size.max(0.01)).sum();
            let mut mark = draw * sum;
            w.queue
                .iter()
                .find(|r| {
                    mark -= r.size.max(0.01);
                    mark <= 0.0
                })
                .or(w.queue.last())
                .map(|r| (r.job.clone(), r.scheduler.clone()))
        };
        let Some((job, scheduler)) = target else {
            w.episode = None;
            return;
        };
        e.forced = !refusable;
        e.job = job.clone();
        e.asked.insert(scheduler.clone());
        let token = RequestToken {
            incarnation: self.incarnation,
            number: e.token,
            attempt: e.refusals,
        };
        e.offer = token;
        e.scheduler = scheduler.clone();
        self.count("offers", 1);
        self.count("offers_not_refusable", u64::from(!refusable));
        let offer = Offer {
            token,
            job,
            worker: worker.into(),
            incarnation,
            cell: zone.into(),
            epoch,
            room: room.cpu,
            memory: room.memory,
            accelerators: room.accelerators,
            refusable,
        };
        self.send(&scheduler, Body::Offer(Box::new(offer)));
    }

    pub(super) fn on_offer_verdict(&mut self, now: Now, from: &str, m: OfferVerdict) {
        let until = now.mono + self.cfg.bounds.offer() * 2;
        let offered = |w: &Held| {
            let episode = w.episode.as_ref();
            episode.is_some_and(|e| e.offer == m.token && e.scheduler == from)
        };
        let worker = |c: &Cell| c.workers.get(&m.worker).is_some_and(offered);
        let Some(zone) = self
            .cells
            .iter()
            .find(|(_, c)| worker(c))
            .map(|(z, _)| z.clone())
        else {
            return self.count("answers_unasked", 1);
        };
        self.take_sizes(&m.sizes);
        let Some(w) = self
            .cells
            .get_mut(&zone)
            .and_then(|c| c.workers.get_mut(&m.worker))
        else {
            return;
        };
        let Some(e) = w.episode.as_mut() else {
            return;
        };
        let job = e.job.clone();
        if m.accepted {
            w.episode = None;
            w.pending.push(Promise {
                offer: m.token,
                scheduler: from.into(),
                job: job.clone(),
                room: Room {
                    cpu: m.room,
                    memory: m.memory,
                    accelerators: m.accelerators,
                },
                until,
            });
            let spent = w.queue.iter_mut().position(|q| {
                if q.job == job {
                    q.remaining = q.remaining.saturating_sub(1);
                }
                q.job == job && q.remaining == 0
            });
            spent.into_iter().for_each(|i| {
                w.queue.remove(i);
            });
            self.count("offers_accepted", 1);
            self.offer_all(now);
            return;
        }
        e.refusals += 1;
        let better = m
            .sizes
            .iter()
            .filter(|s| s.unsatisfied)
            .min_by(|a, b| a.size.total_cmp(&b.size));
        if let Some(s) = better.filter(|s| e.unsatisfied.as_ref().is_none_or(|u| s.size < u.size)) {
            e.unsatisfied = Some(s.clone());
        }
        if m.gone {
            w.queue.retain(|q| q.job != job);
        }
        self.count("offers_refused", 1);
        self.offer_next(now, &zone, &m.worker);
    }

    /// Sizes travel on messages that are sent anyway.
    fn take_sizes(&mut self, sizes: &[Sizes]) {
        for s in sizes {
            self.cells
                .values_mut()
                .flat_map(|c| c.workers.values_mut())
                .flat_map(|w| w.queue.iter_mut())
                .filter(|q| q.job == s.job)
                .for_each(|q| {
                    q.size = s.size;
                    q.remaining = s.remaining;
                    q.starved = s.starved;
                    q.scheduler = s.scheduler.clone();
                });
        }
    }

    /// What was accepted came to nothing: the slot is free again.
    pub(super) fn on_offer_done(&mut self, now: Now, from: &str, m: OfferDone) {
        let promised = |p: &Promise| p.offer == m.token && p.scheduler == from;
        if !m.placed {
            // The record knew better: its news comes before the next offer.
            let until = now.mono + self.cfg.bounds.heartbeat();
            self.cells
                .values_mut()
                .filter_map(|c| c.workers.get_mut(&m.worker))
                .filter(|w| w.pending.iter().any(promised))
                .for_each(|w| {
                    w.pending.retain(|p| !promised(p));
                    w.idle_until = until;
                });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Settings;

    #[test]
    fn a_placement_that_came_to_nothing_frees_its_own_room_and_no_other() {
        let now = Now { mono: 10, wall: 10 };
        let mut n = Node::new(Settings::default(), now, 1);
        let cell = n.cells.entry("z".into()).or_default();
        let held = cell.workers.entry("w".into()).or_default();
        let token = |number| RequestToken {
            number,
            ..RequestToken::default()
        };
        held.pending = [(1, 3), (2, 5)]
            .map(|(offer, room)| Promise {
                offer: token(offer),
                scheduler: "10.0.0.3:1".into(),
                job: "j".into(),
                room: Room {
                    cpu: room,
                    ..Room::default()
                },
                until: 1000,
            })
            .into();
        let done = OfferDone {
            token: token(1),
            worker: "w".into(),
            placed: false,
        };
        n.on_offer_done(now, "10.0.0.4:1", done.clone());
        assert_eq!(n.cells["z"].workers["w"].pending.len(), 2, "not asked");
        n.on_offer_done(now, "10.0.0.3:1", done);
        let left: Vec<u32> = n.cells["z"].workers["w"]
            .pending
            .iter()
            .map(|p| p.room.cpu)
            .collect();
        assert_eq!(left, [5]);
    }
}
