//! Worker heartbeats: their content, and the commands that the zone scheduler proposes in response.

use super::{RunProgress, WorkerState};
use crate::node::propose::Purpose;
use crate::node::Node;
use crate::sans_io::{Now, Response};
use crate::state::{
    zone_lease, AttemptState, ClusterState, Command, EndReport, Outcome, RunName, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A worker's heartbeat: its resources and state, and the runs that are running or have ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Heartbeat {
    /// Identity, resources and state of the worker.
    #[serde(rename = "facts")]
    pub info: WorkerInfo,
    /// The attempts that are running on the worker.
    #[serde(default)]
    pub running: Vec<RunningAttempt>,
    /// Ends of attempts, repeated until a response acknowledges them.
    #[serde(default)]
    pub ended: Vec<EndReport>,
    /// Increases with each heartbeat, so that a delayed one is recognised; 0 if the worker does not number its
    /// heartbeats.
    #[serde(default, rename = "call")]
    pub sequence: u64,
    /// The worker identifies runs by name, so stop orders must carry names too.
    #[serde(default, rename = "named")]
    pub uses_run_names: bool,
    /// Minimum time until a leaving worker exits, in milliseconds; runs that would not end by then are rescheduled.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}

/// An attempt that is running on a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct RunningAttempt {
    /// The number of the attempt; 0 if `name` identifies it.
    #[serde(default, rename = "no")]
    pub attempt: u64,
    /// Identifies the run instead of the attempt number.
    #[serde(default)]
    pub name: Option<RunName>,
    /// The newest checkpoint; empty for none.
    #[serde(default)]
    pub checkpoint: String,
    /// Progress in permille; 0 if the worker does not know it.
    #[serde(default)]
    pub progress: u32,
}

impl Heartbeat {
    /// The attempts reported as running or ended.
    pub(super) fn reported_attempts(&self) -> BTreeSet<u64> {
        let running = self.running.iter().map(|run| run.attempt);
        running.chain(self.ended.iter().map(|end| end.no)).collect()
    }
}

/// The proposals that a heartbeat requires.
struct DueProposals {
    worker_update: bool,
    report: bool,
    running: Vec<u64>,
    ends: Vec<EndReport>,
}

impl Node {
    /// Processes a heartbeat as the holder of the worker's zone lease; returns the response.
    pub(in crate::node) fn heartbeat(&mut self, now: Now, mut heartbeat: Heartbeat) -> Response {
        let held_epoch = self.epoch(&zone_lease(&heartbeat.info.zone));
        let Some(epoch) = held_epoch.filter(|_| self.is_fresh_for_zones(now)) else {
            return self.not_ready_response();
        };
        self.update_zone_schedulers(now);
        self.count("heartbeats", 1);
        self.resolve_run_names(&mut heartbeat);
        if self.is_late(&heartbeat) {
            self.report_ends_of_late_heartbeat(now, &heartbeat);
            return self.late_heartbeat_response();
        }
        let known = self.state.workers.get(&heartbeat.info.worker);
        let known = known.cloned().unwrap_or_default();
        if heartbeat.info.incarnation < known.info.incarnation {
            return old_incarnation_response();
        }
        self.update_departure(&mut heartbeat);
        self.track_unknown_runs(now, &heartbeat);
        self.log_ends_of_dead_runs(&heartbeat);
        let info_changed = known.info != heartbeat.info || known.lost;
        let due = self.record_heartbeat(now, &heartbeat, info_changed);
        self.reschedule_stragglers(now, &heartbeat, epoch);
        if due.worker_update {
            self.propose_worker_update(now, &heartbeat, epoch);
        }
        if due.report {
            self.propose_report(now, &heartbeat, due.running, due.ends);
        }
        self.orders_response(&heartbeat, epoch)
    }

    /// Records whether the worker is leaving. A worker that was leaving stays so, even if a later heartbeat does not
    /// say it.
    fn update_departure(&mut self, heartbeat: &mut Heartbeat) {
        let reports_leaving = heartbeat.info.leaving;
        heartbeat.info.leaving |= self.is_leaving(&heartbeat.info);
        let info = &heartbeat.info;
        if let Some(worker) = self.worker_mut(&info.zone, &info.worker) {
            let incarnation = info.incarnation;
            worker
                .departure
                .record_heartbeat(incarnation, reports_leaving);
        }
    }

    /// Records a heartbeat; returns the proposals that it requires.
    fn record_heartbeat(
        &mut self,
        now: Now,
        heartbeat: &Heartbeat,
        info_changed: bool,
    ) -> DueProposals {
        let mut ends = self.ends_of_live_runs(now, heartbeat);
        let running = self.newly_running(heartbeat);
        // Recording started runs is not urgent: to save log entries, they wait for the next end or for this interval.
        let report_interval = self.settings.bounds.cancel_ms / 4;
        let zone_scheduler = self.zone_schedulers.entry(heartbeat.info.zone.clone());
        let workers = &mut zone_scheduler.or_default().workers;
        let worker = workers.entry(heartbeat.info.worker.clone()).or_default();
        worker.renew_lease(now, heartbeat);
        ends.extend(worker.never_started(&self.state, heartbeat));
        worker.record_ends(&ends);
        worker.record_runs(now, heartbeat);
        let report_overdue = now.mono >= worker.last_report_proposed_at + report_interval;
        let has_report = !ends.is_empty() || (!running.is_empty() && report_overdue);
        let due = DueProposals {
            worker_update: info_changed && !worker.worker_update_pending,
            report: has_report && !worker.report_pending,
            running,
            ends,
        };
        worker.worker_update_pending |= info_changed;
        worker.report_pending |= has_report;
        if due.report {
            worker.last_report_proposed_at = now.mono;
        }
        due
    }

    /// Proposes to reschedule the worker's stragglers, unless such a proposal is pending.
    fn reschedule_stragglers(&mut self, now: Now, heartbeat: &Heartbeat, epoch: u64) {
        let info = &heartbeat.info;
        let Some(worker) = self.worker(&info.zone, &info.worker) else {
            return;
        };
        if worker.reschedule_pending {
            return;
        }
        let leave_ms = self.settings.bounds.leave_ms;
        let remaining_ms = worker.departure.remaining_ms(now, leave_ms);
        let leaves_in_ms = heartbeat.leaves_in_ms.or(remaining_ms);
        let leaves_in_ms = leaves_in_ms.filter(|_| info.leaving);
        let stragglers = self.stragglers(now, &info.worker, &worker.progress, leaves_in_ms);
        if !stragglers.attempts.is_empty() {
            self.reschedule_attempts(now, &info.worker, epoch, stragglers);
        }
    }

    /// The response if this node does not hold the zone's lease, or its copy of the cluster state is stale.
    pub(in crate::node) fn not_ready_response(&self) -> Response {
        Response::error(
            503,
            "notReady",
            "this node does not hold the zone's lease, or its copy of the cluster state is stale: send the request again, here or to another node",
        )
        .retry(self.settings.bounds.worker_heartbeat_interval())
    }

    /// The response to a heartbeat that arrives too late to be processed.
    fn late_heartbeat_response(&self) -> Response {
        Response::error(
            503,
            "lateBeat",
            "a newer heartbeat of this worker was received, or its runs are being ended: send the next heartbeat",
        )
        .retry(self.settings.bounds.worker_heartbeat_interval())
    }

    /// Whether a newer heartbeat of the worker was received, or its attempts are being ended.
    fn is_late(&self, heartbeat: &Heartbeat) -> bool {
        let info = &heartbeat.info;
        let Some(worker) = self.worker(&info.zone, &info.worker) else {
            return false;
        };
        let overtaken = heartbeat.sequence > 0 && heartbeat.sequence < worker.newest_sequence;
        overtaken || !worker.expiring.is_empty()
    }

    /// Sets the attempt numbers of the runs that a heartbeat identifies by name.
    fn resolve_run_names(&self, heartbeat: &mut Heartbeat) {
        let worker = &heartbeat.info.worker;
        // A run that the cluster state does not know as live gets number 0.
        let number_of = |name: &RunName| self.state.live_attempt_by_name(worker, name).unwrap_or(0);
        for run in &mut heartbeat.running {
            if let Some(name) = &run.name {
                run.attempt = number_of(name);
            }
        }
        for end in &mut heartbeat.ended {
            if let Some(name) = &end.name {
                end.no = number_of(name);
            }
        }
    }

    /// The reported ends of runs that are live on the worker according to the cluster state.
    pub(super) fn ends_of_live_runs(&self, now: Now, heartbeat: &Heartbeat) -> Vec<EndReport> {
        let worker = self.worker(&heartbeat.info.zone, &heartbeat.info.worker);
        let mut ends = Vec::new();
        for end in &heartbeat.ended {
            let known = self.state.attempt(end.no);
            let is_own =
                known.is_some_and(|(_, _, attempt)| attempt.worker == heartbeat.info.worker);
            if !is_own {
                continue;
            }
            let mut end = EndReport {
                name: None,
                ..end.clone()
            };
            if end.ran_ms == 0 {
                // The worker does not report the duration: measure it from the first heartbeat that reported the run.
                let progress = worker.and_then(|worker| worker.progress.get(&end.no));
                end.ran_ms = progress.map_or(0, |progress| progress.age(now.mono));
            }
            ends.push(end);
        }
        ends
    }

    /// The running attempts in a heartbeat that are not yet running according to the cluster state.
    fn newly_running(&self, heartbeat: &Heartbeat) -> Vec<u64> {
        let is_new = |number: &u64| {
            let known = self.state.attempt(*number);
            known.is_some_and(|(_, _, attempt)| {
                attempt.state != AttemptState::Running && attempt.worker == heartbeat.info.worker
            })
        };
        let running = heartbeat.running.iter().map(|run| run.attempt);
        running.filter(is_new).collect()
    }

    /// Proposes to update the worker's identity, resources and state.
    fn propose_worker_update(&mut self, now: Now, heartbeat: &Heartbeat, zone_epoch: u64) {
        let command = Command::UpdateWorker {
            info: heartbeat.info.clone(),
            zone_epoch,
        };
        let purpose = Purpose::UpdateWorker {
            worker: heartbeat.info.worker.clone(),
        };
        self.propose(
            now,
            &command,
            purpose,
            self.settings.bounds.request_timeout(),
        );
    }
}

impl WorkerState {
    /// Renews the worker's lease and records the heartbeat's arrival time and sequence number.
    fn renew_lease(&mut self, now: Now, heartbeat: &Heartbeat) {
        self.last_heartbeat = now.mono;
        self.lease_renewed_at = self.lease_renewed_at.max(now.mono);
        self.newest_sequence = self.newest_sequence.max(heartbeat.sequence);
        if self.first_sequence == 0 {
            self.first_sequence = heartbeat.sequence;
        }
    }

    /// Ends for attempts that were never started and never will be.
    ///
    /// A worker sends its heartbeats in sequence and drops a response that arrives after it has sent the next one. So
    /// an attempt that must not run and that a heartbeat does not report was never started and never will be, if this
    /// lease holder sent its start order only in responses to earlier heartbeats, or not at all. The first heartbeat
    /// is not considered, since the previous holder may have answered it with the order.
    fn never_started(&mut self, state: &ClusterState, heartbeat: &Heartbeat) -> Vec<EndReport> {
        let Some(known) = state.workers.get(&heartbeat.info.worker) else {
            self.sent_starts.clear();
            return Vec::new();
        };
        self.sent_starts
            .retain(|attempt, _| known.attempts.contains(attempt));
        if heartbeat.sequence <= self.first_sequence {
            return Vec::new();
        }
        let reported = heartbeat.reported_attempts();
        let mut ends = Vec::new();
        for number in &known.attempts {
            let Some((_, _, attempt)) = state.attempt(*number) else {
                continue;
            };
            let must_not_run = attempt.stop || attempt.state == AttemptState::Unsure;
            let sent_in_response_to = self.sent_starts.get(number);
            let is_order_expired =
                sent_in_response_to.is_none_or(|sequence| *sequence < heartbeat.sequence);
            let is_same_incarnation = attempt.incarnation == heartbeat.info.incarnation;
            if must_not_run && is_order_expired && is_same_incarnation && !reported.contains(number)
            {
                ends.push(EndReport {
                    no: *number,
                    outcome: Outcome::NeverStarted,
                    ..EndReport::default()
                });
            }
        }
        ends
    }

    /// Records the worker's resources, whether it is leaving, and the progress and checkpoints of its runs.
    fn record_runs(&mut self, now: Now, heartbeat: &Heartbeat) {
        self.leaving = heartbeat.info.leaving;
        self.resources = heartbeat.info.total_resources();
        // The progress of runs that are no longer reported is dropped.
        let mut earlier = std::mem::take(&mut self.progress);
        self.checkpoints.clear();
        for run in &heartbeat.running {
            if run.attempt > 0 {
                let first = RunProgress::new(now.mono, run.progress);
                let mut progress = earlier.remove(&run.attempt).unwrap_or(first);
                progress.record(now.mono, run.progress);
                self.progress.insert(run.attempt, progress);
            }
            if !run.checkpoint.is_empty() {
                let checkpoint = run.checkpoint.clone();
                self.checkpoints.insert(run.attempt, checkpoint);
            }
        }
    }
}

/// The response to a heartbeat of a worker process that a newer process has replaced.
fn old_incarnation_response() -> Response {
    Response::error(
        409,
        "oldIncarnation",
        "a newer process of this worker is running: stop this process",
    )
}
