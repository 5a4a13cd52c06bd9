//! Heartbeats of workers: what each says, and what the holder of its zone scheduler makes of it.

use super::{Pace, WorkerState};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::{Now, Response};
use crate::state::{
    zone_lease, AttemptState, ClusterState, Command, EndReport, Outcome, RunName, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a worker says in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Heartbeat {
    #[serde(rename = "facts")]
    pub info: WorkerInfo,
    #[serde(default)]
    pub running: Vec<Running>,
    /// Repeated until the answer says that they are settled.
    #[serde(default)]
    pub ended: Vec<EndReport>,
    /// Rises with each heartbeat of a worker, so that a late one is known; 0 where it isn't counted.
    #[serde(default)]
    pub call: u64,
    /// The worker keeps runs by their names: stops are told by names, too.
    #[serde(default)]
    pub named: bool,
    /// How long a leaving worker stays at least; what won't end by then is called back.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}

/// A attempt that is running on a worker.
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
    /// The response on a heartbeat, by the holder of the worker's zone scheduler.
    pub(in crate::node) fn heartbeat(&mut self, now: Now, mut heartbeat: Heartbeat) -> Response {
        let zone = heartbeat.info.zone.clone();
        let id = heartbeat.info.worker.clone();
        let Some(epoch) = self.epoch(&zone_lease(&zone)).filter(|_| self.speaks(now)) else {
            return self.not_ready();
        };
        self.hold_zones(now);
        self.count("heartbeats", 1);
        if self.is_late(&zone, &id, &heartbeat) {
            return self.late_heartbeat();
        }
        self.number_runs(&id, &mut heartbeat);
        let known = self.state.workers.get(&id).cloned().unwrap_or_default();
        if heartbeat.info.incarnation < known.info.incarnation {
            return old_incarnation();
        }
        let new_facts = known.info != heartbeat.info || known.lost;
        let mut ends = self.live_ends(now, &heartbeat);
        let running = self.newly_running(&heartbeat);
        let held = self
            .zone_schedulers
            .entry(zone.clone())
            .or_default()
            .workers
            .entry(id.clone())
            .or_default();
        held.hear(now, &heartbeat);
        ends.extend(held.never_started(&self.state, &heartbeat));
        held.keep_state(now, &heartbeat);
        let paces = held.paces.clone();
        let request_info = new_facts && !held.info_proposed;
        held.info_proposed |= new_facts;
        // That something runs is told with the next end, or after a while: it decides little, and an entry costs much.
        let waited = now.mono >= held.reported + self.settings.bounds.cancel_ms / 4;
        let has_report = !ends.is_empty() || (!running.is_empty() && waited);
        let ask_report = has_report && !held.report_proposed;
        held.report_proposed |= has_report;
        if ask_report {
            held.reported = now.mono;
        }
        let recalling = held.reschedule_proposed;
        let leaves = heartbeat.leaves_in_ms.filter(|_| heartbeat.info.leaving);
        let (late, blame) = self.stragglers(now, &id, &paces, leaves);
        if !late.is_empty() && !recalling {
            self.reschedule_attempts(now, &id, epoch, late, blame);
        }
        if request_info {
            self.propose_info(now, &heartbeat, epoch);
        }
        if ask_report {
            self.propose_report(now, &heartbeat, running, ends);
        }
        self.orders(&heartbeat, epoch)
    }

    /// The response where this node can't speak for the zone scheduler.
    fn not_ready(&self) -> Response {
        Response::error(
            503,
            "notReady",
            "this node can't speak for the cell now: beat again, here or at another node",
        )
        .retry(self.settings.bounds.worker_heartbeat())
    }

    /// The response on a heartbeat that comes too late to count.
    fn late_heartbeat(&self) -> Response {
        Response::error(
            503,
            "lateBeat",
            "a newer beat of this worker was heard, or what it ran is being ended: beat again",
        )
        .retry(self.settings.bounds.worker_heartbeat())
    }

    /// Whether a newer heartbeat of the worker was heard, or what it ran is being ended.
    fn is_late(&self, zone: &str, id: &str, heartbeat: &Heartbeat) -> bool {
        self.zone_schedulers
            .get(zone)
            .and_then(|c| c.workers.get(id))
            .is_some_and(|w| {
                !w.expiring.is_empty() || (heartbeat.call > 0 && heartbeat.call < w.call)
            })
    }

    /// Gives the runs that a heartbeat names their numbers.
    fn number_runs(&self, id: &str, heartbeat: &mut Heartbeat) {
        // What the cluster state does not know as live gets number 0.
        let number = |name: &Option<RunName>, no: u64| {
            name.as_ref()
                .map_or(no, |n| self.state.named(id, n).unwrap_or(0))
        };
        let running: Vec<u64> = heartbeat
            .running
            .iter()
            .map(|r| number(&r.name, r.no))
            .collect();
        let ended: Vec<u64> = heartbeat
            .ended
            .iter()
            .map(|e| number(&e.name, e.no))
            .collect();
        running
            .into_iter()
            .zip(&mut heartbeat.running)
            .for_each(|(no, r)| r.no = no);
        ended
            .into_iter()
            .zip(&mut heartbeat.ended)
            .for_each(|(no, e)| e.no = no);
    }

    /// The ends that a heartbeat tells of runs which the cluster state knows as live.
    fn live_ends(&self, now: Now, heartbeat: &Heartbeat) -> Vec<EndReport> {
        // How long a run took, where its worker does not say: since its first heartbeat here.
        let held = self
            .zone_schedulers
            .get(&heartbeat.info.zone)
            .and_then(|c| c.workers.get(&heartbeat.info.worker));
        let ran = |no: u64| {
            held.and_then(|w| w.paces.get(&no))
                .map_or(0, |p| p.since(now.mono))
        };
        heartbeat
            .ended
            .iter()
            .filter(|e| self.state.live.contains_key(&e.no))
            .map(|e| EndReport {
                name: None,
                ran_ms: Some(e.ran_ms)
                    .filter(|ms| *ms > 0)
                    .unwrap_or_else(|| ran(e.no)),
                ..e.clone()
            })
            .collect()
    }

    /// The runs of a heartbeat that the cluster state does not show as running yet.
    fn newly_running(&self, heartbeat: &Heartbeat) -> Vec<u64> {
        heartbeat
            .running
            .iter()
            .map(|r| r.no)
            .filter(|no| {
                self.state.attempt(*no).is_some_and(|(_, _, s)| {
                    s.state != AttemptState::Running && s.worker == heartbeat.info.worker
                })
            })
            .collect()
    }

    /// Proposes what the worker says of itself.
    fn propose_info(&mut self, now: Now, heartbeat: &Heartbeat, zone_epoch: u64) {
        self.propose(
            now,
            &Command::UpdateWorker {
                info: heartbeat.info.clone(),
                zone_epoch,
            },
            Purpose::UpdateWorker {
                worker: heartbeat.info.worker.clone(),
            },
            self.settings.bounds.call(),
        );
    }

    /// Proposes which runs have started and which have ended.
    fn propose_report(
        &mut self,
        now: Now,
        heartbeat: &Heartbeat,
        running: Vec<u64>,
        ends: Vec<EndReport>,
    ) {
        let incarnation = heartbeat.info.incarnation;
        self.propose(
            now,
            &Command::ReportAttempts {
                worker: heartbeat.info.worker.clone(),
                incarnation,
                running,
                ends,
            },
            Purpose::Report {
                worker: heartbeat.info.worker.clone(),
            },
            self.settings.bounds.call(),
        );
    }
}

impl WorkerState {
    /// Notes when the heartbeat came, and which call it was.
    fn hear(&mut self, now: Now, heartbeat: &Heartbeat) {
        self.last_heartbeat = now.mono;
        self.renewed = now.mono;
        self.call = self.call.max(heartbeat.call);
        if self.first_call == 0 {
            self.first_call = heartbeat.call;
        }
    }

    /// Ends of the runs that were never started and never will be.
    fn never_started(&mut self, state: &ClusterState, heartbeat: &Heartbeat) -> Vec<EndReport> {
        // Calls follow one another, and an answer that comes after the next call is dropped. So what is not wanted any
        // more, and what a call does not show whose order went with an earlier answer, was never started and never will be.
        let shown: BTreeSet<u64> = heartbeat
            .running
            .iter()
            .map(|r| r.no)
            .chain(heartbeat.ended.iter().map(|e| e.no))
            .collect();
        let attempts = state
            .workers
            .get(&heartbeat.info.worker)
            .map(|w| &w.attempts);
        self.given
            .retain(|no, _| attempts.is_some_and(|s| s.contains(no)));
        if heartbeat.call <= self.first_call {
            return Vec::new();
        }
        let gone = attempts.into_iter().flatten().filter(|no| {
            !shown.contains(no)
                && self.given.get(no).is_none_or(|c| *c < heartbeat.call)
                && state.attempt(**no).is_some_and(|(_, _, s)| {
                    s.incarnation == heartbeat.info.incarnation
                        && (s.stop || s.state == AttemptState::Unsure)
                })
        });
        gone.map(|no| EndReport {
            no: *no,
            outcome: Outcome::NeverStarted,
            ..EndReport::default()
        })
        .collect()
    }

    /// Keeps the resources, the progress and the checkpoints that the heartbeat tells.
    fn keep_state(&mut self, now: Now, heartbeat: &Heartbeat) {
        self.leaving = heartbeat.info.leaving;
        self.resources = heartbeat.info.total_resources();
        let mut paces = std::mem::take(&mut self.paces);
        self.paces = heartbeat
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
        self.checkpoints = heartbeat
            .running
            .iter()
            .filter(|r| !r.checkpoint.is_empty())
            .map(|r| (r.no, r.checkpoint.clone()))
            .collect();
    }
}

/// The response on a heartbeat of a process that a newer one has replaced.
fn old_incarnation() -> Response {
    Response::error(
        409,
        "oldIncarnation",
        "a newer process of this worker has reported: end this one",
    )
}
