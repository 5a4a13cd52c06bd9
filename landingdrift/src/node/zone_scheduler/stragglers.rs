//! Straggler detection: the progress of a worker's runs decides which of them are rescheduled to other workers.

use super::run_progress::RunProgress;
use crate::node::Node;
use crate::sans_io::{fnv1a, Now};
use crate::state::{Attempt, AttemptState, ClusterState, Job, TaskSpec};
use std::collections::{BTreeMap, BTreeSet};

/// The progress of a complete run, in permille.
const COMPLETE: f64 = 1000.0;
/// A run is slow if its rate is below this share of the estimated rate. Estimates are rough, so half is not yet slow.
const SLOW_RATE_SHARE: f64 = 0.4;
/// Minimum number of steps with a known rate to classify a worker as slow: fewer may be slow by chance.
const MIN_STEPS_TO_BLAME_WORKER: usize = 3;
/// Factor from the minimum observation time to the time without progress after which a run is stalled, for a worker
/// that runs tasks of several steps.
const STALL_TIME_FACTOR: f64 = 1.5;
/// Like `STALL_TIME_FACTOR`, for a worker whose runs belong to one step, where no other step confirms the stall.
const SINGLE_STEP_STALL_TIME_FACTOR: f64 = 3.0;
/// A run is stalled only after no progress for this share of its estimated duration: long runs report progress rarely.
const STALL_ESTIMATE_SHARE: f64 = 0.06;
/// A run must end this many milliseconds before its worker leaves, so that its end is still reported.
const LEAVE_MARGIN_MS: f64 = 100.0;
/// A slow run is moved only if finishing it in place takes this many times as long as restarting it elsewhere.
const MIN_GAIN_OF_MOVE: f64 = 1.3;
/// Maximum time between the starts of a gang's members, as a multiple of `cancel_ms`; until then a member may be
/// waiting for others.
const GANG_START_FACTOR: u64 = 2;

/// The reason to reschedule a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RescheduleReason {
    /// It would not end before its worker leaves.
    WorkerLeaving,
    /// None of the worker's runs that should progress does.
    Stalled,
    /// The worker is slow, and the run would end sooner elsewhere.
    Slow,
}

/// A running attempt, as input to straggler detection.
pub struct ObservedRun {
    /// Reported progress over time.
    pub progress: RunProgress,
    /// Identifies the step. Runs of one step are judged as one, because their tasks have similar sizes and a gang
    /// advances at one rate.
    pub step_key: u64,
    /// An earlier attempt of the task was stopped, so it is not moved again for slowness.
    pub rescheduled_before: bool,
    /// The estimated duration in milliseconds; 0 if there is none.
    pub estimate_ms: f64,
    /// The task may run twice, so a speculative copy can be started instead of moving it.
    pub may_repeat: bool,
    /// The task runs until it is stopped.
    pub long_running: bool,
    /// The task resumes from a checkpoint, so moving it keeps its progress.
    pub checkpoints: bool,
    /// The run may still be waiting for the other members of its gang.
    pub awaits_gang: bool,
    /// The run is away from its data, or its gang is spread over racks, so the estimate does not apply to it.
    pub is_remote: bool,
}

/// Returns for each run of a worker the reason to reschedule it; none if it stays.
///
/// `leaves_in_ms` is the remaining time of a leaving worker, `min_observation_ms` the minimum observation time.
///
/// Task sizes vary, also between whole steps, and estimates are rough, so slow runs of one step do not prove a slow
/// worker: the decision considers all runs of the worker. If they all belong to one step, the worker never counts as
/// slow, and as stalled only after a longer time.
pub fn find_stragglers(
    runs: &[ObservedRun],
    now_ms: u64,
    leaves_in_ms: Option<u64>,
    min_observation_ms: u64,
) -> Vec<Option<RescheduleReason>> {
    if let Some(left_ms) = leaves_in_ms {
        return runs
            .iter()
            .map(|run| {
                let ends_too_late = run.outlasts(left_ms, now_ms, min_observation_ms);
                ends_too_late.then_some(RescheduleReason::WorkerLeaving)
            })
            .collect();
    }
    let progressing: Vec<&ObservedRun> = runs.iter().filter(|run| run.should_progress()).collect();
    let stalled = all_stalled(&progressing, now_ms, min_observation_ms);
    let mut local = progressing;
    local.retain(|run| !run.is_remote);
    let slow = is_worker_slow(&local, now_ms, min_observation_ms);
    runs.iter()
        .map(|run| {
            if !run.should_progress() {
                None
            } else if stalled {
                Some(RescheduleReason::Stalled)
            } else if slow && !run.is_remote && run.should_move(now_ms, min_observation_ms) {
                Some(RescheduleReason::Slow)
            } else {
                None
            }
        })
        .collect()
}

/// Whether there are runs and all of them are stalled.
fn all_stalled(runs: &[&ObservedRun], now_ms: u64, min_observation_ms: u64) -> bool {
    let steps: BTreeSet<u64> = runs.iter().map(|run| run.step_key).collect();
    let stall_time_factor = match steps.len() {
        0 => return false,
        1 => SINGLE_STEP_STALL_TIME_FACTOR,
        _ => STALL_TIME_FACTOR,
    };
    runs.iter()
        .all(|run| run.is_stalled(now_ms, stall_time_factor * min_observation_ms as f64))
}

/// Whether the median step of a worker's runs is slow. Each step is represented by its fastest run.
fn is_worker_slow(runs: &[&ObservedRun], now_ms: u64, min_observation_ms: u64) -> bool {
    let mut fastest_of_step: BTreeMap<u64, f64> = BTreeMap::new();
    for run in runs {
        if let Some(rate) = run.progress.rate(now_ms, min_observation_ms) {
            let fastest = fastest_of_step.entry(run.step_key).or_default();
            *fastest = fastest.max(rate * run.estimate_ms / COMPLETE);
        }
    }
    let mut rate_shares: Vec<f64> = fastest_of_step.into_values().collect();
    rate_shares.sort_by(f64::total_cmp);
    rate_shares.len() >= MIN_STEPS_TO_BLAME_WORKER
        && rate_shares[rate_shares.len() / 2] < SLOW_RATE_SHARE
}

impl ObservedRun {
    /// Whether the run should progress on a healthy worker, and has an estimate to compare its progress with.
    fn should_progress(&self) -> bool {
        let complete = f64::from(self.progress.permille()) >= COMPLETE;
        !self.long_running && !self.awaits_gang && !complete && self.estimate_ms > 0.0
    }

    /// Whether there was no progress for more than `stall_timeout_ms` and more than a share of the estimated duration.
    fn is_stalled(&self, now_ms: u64, stall_timeout_ms: f64) -> bool {
        let unchanged_ms = self.progress.unchanged_ms(now_ms) as f64;
        unchanged_ms > stall_timeout_ms && unchanged_ms > STALL_ESTIMATE_SHARE * self.estimate_ms
    }

    /// Whether the worker would leave before the run's end could be reported.
    fn outlasts(&self, left_ms: u64, now_ms: u64, min_observation_ms: u64) -> bool {
        self.long_running
            || self.remaining_ms(now_ms, min_observation_ms) + LEAVE_MARGIN_MS > left_ms as f64
    }

    /// Whether the run should be moved from a slow worker.
    fn should_move(&self, now_ms: u64, min_observation_ms: u64) -> bool {
        !self.may_repeat
            && !self.rescheduled_before
            && self.ends_sooner_elsewhere(now_ms, min_observation_ms)
    }

    fn remaining_permille(&self) -> f64 {
        COMPLETE - f64::from(self.progress.permille())
    }

    /// The remaining time on this worker, by the observed rate, or by the estimate if the rate is unknown or 0.
    fn remaining_ms(&self, now_ms: u64, min_observation_ms: u64) -> f64 {
        let measured = self.progress.rate(now_ms, min_observation_ms);
        let rate = measured
            .filter(|rate| *rate > 0.0)
            .unwrap_or(COMPLETE / self.estimate_ms.max(1.0));
        self.remaining_permille() / rate
    }

    fn ends_sooner_elsewhere(&self, now_ms: u64, min_observation_ms: u64) -> bool {
        let restart_permille = if self.checkpoints {
            self.remaining_permille()
        } else {
            COMPLETE
        };
        let restart_ms = restart_permille * self.estimate_ms / COMPLETE;
        let remaining_ms = self.remaining_ms(now_ms, min_observation_ms);
        remaining_ms > MIN_GAIN_OF_MOVE * restart_ms + min_observation_ms as f64
    }
}

/// Gathers the input of straggler detection for an attempt; none if it is not live according to the cluster state.
fn observe(
    state: &ClusterState,
    attempt: u64,
    progress: RunProgress,
    now_ms: u64,
    gang_start_ms: u64,
) -> Option<ObservedRun> {
    let (job, task) = state.live.get(&attempt)?;
    let task = *task as usize;
    let job: &Job = state.jobs.get(job)?;
    let spec = job.task_spec(task);
    let just_started = progress.age(now_ms) < gang_start_ms;
    let no_progress = progress.permille() == 0;
    let mut step_name = job.spec.id.as_bytes().to_vec();
    step_name.extend(job.tasks[task].step.to_le_bytes());
    let was_stopped = |earlier: &Attempt| earlier.state == AttemptState::Stopped;
    Some(ObservedRun {
        step_key: fnv1a(&step_name),
        rescheduled_before: job.tasks[task].attempts.iter().any(was_stopped),
        estimate_ms: f64::from(spec.estimate_ms),
        may_repeat: spec.may_repeat,
        long_running: spec.long_running,
        checkpoints: spec.checkpoints,
        awaits_gang: job.in_gang(task) && no_progress && just_started,
        is_remote: is_remote(state, job, task, attempt),
        progress,
    })
}

/// Whether an attempt runs where its estimate does not apply: away from its data, or in a same-rack gang that is spread
/// over several racks.
fn is_remote(state: &ClusterState, job: &Job, task: usize, attempt_no: u64) -> bool {
    let rack_of = |attempt: &Attempt| {
        let worker = state.workers.get(&attempt.worker);
        worker.map_or("", |worker| worker.info.rack.as_str())
    };
    let mut attempts = job.tasks[task].attempts.iter();
    let Some(attempt) = attempts.find(|attempt| attempt.no == attempt_no) else {
        return false;
    };
    let spec = job.task_spec(task);
    let near = spec.near.as_str();
    let rack = rack_of(attempt);
    if !near.is_empty() && near != rack && near != attempt.worker {
        return true;
    }
    let members = if spec.same_rack {
        job.gang_members(task)
    } else {
        Vec::new()
    };
    let mut live = members.iter().flat_map(|member| job.tasks[*member].live());
    live.any(|member| rack_of(member) != rack)
}

/// The attempts of one worker that are to be rescheduled.
pub(super) struct Stragglers {
    pub attempts: Vec<u64>,
    /// Some attempt is rescheduled because the worker is stalled or slow.
    pub blame_worker: bool,
}

impl Node {
    /// Finds the attempts of a worker to reschedule, from the progress in its heartbeats.
    pub(super) fn stragglers(
        &self,
        now: Now,
        worker: &str,
        progress: &BTreeMap<u64, RunProgress>,
        leaves_in_ms: Option<u64>,
    ) -> Stragglers {
        let min_observation_ms = self.settings.bounds.reservation_interval();
        let gang_start_ms = GANG_START_FACTOR * self.settings.bounds.cancel_ms;
        let mut attempts = Vec::new();
        let mut runs = Vec::new();
        for (attempt, progress) in progress {
            if self.is_stopping_or_unknown(*attempt) {
                continue;
            }
            let run = observe(&self.state, *attempt, *progress, now.mono, gang_start_ms);
            if let Some(run) = run {
                attempts.push(*attempt);
                runs.push(run);
            }
        }
        let reasons = find_stragglers(&runs, now.mono, leaves_in_ms, min_observation_ms);
        let mut stragglers = Stragglers {
            attempts: Vec::new(),
            blame_worker: false,
        };
        for (attempt, reason) in attempts.into_iter().zip(reasons) {
            let Some(reason) = reason else { continue };
            if reason == RescheduleReason::Slow && !self.fits_elsewhere(worker, attempt) {
                continue;
            }
            stragglers.blame_worker |= reason != RescheduleReason::WorkerLeaving;
            stragglers.attempts.push(attempt);
        }
        stragglers
    }

    /// Whether an attempt is being stopped or is unknown.
    fn is_stopping_or_unknown(&self, attempt: u64) -> bool {
        let known = self.state.attempt(attempt);
        known.is_none_or(|(_, _, attempt)| attempt.stop)
    }

    /// Whether some other worker that accepts new tasks and is not on probation can run the task of an attempt now.
    fn fits_elsewhere(&self, worker: &str, attempt: u64) -> bool {
        let Some(spec) = self.spec_of_attempt(attempt) else {
            return false;
        };
        self.state.workers.iter().any(|(name, other)| {
            name != worker
                && self.state.accepts_new_tasks(name, other)
                && other.probation == 0
                && other.info.serves(spec)
                && other
                    .info
                    .total_resources()
                    .minus(other.used)
                    .covers(spec.needs())
        })
    }

    /// The specification of the task that a live attempt belongs to.
    pub(super) fn spec_of_attempt(&self, attempt: u64) -> Option<&TaskSpec> {
        let (job, task) = self.state.live.get(&attempt)?;
        let job = self.state.jobs.get(job)?;
        Some(job.task_spec(*task as usize))
    }
}
