//! Straggler detection: the progress of a worker's runs decides which of them are rescheduled to other workers.

use super::run_progress::RunProgress;
use crate::node::Node;
use crate::sans_io::{fnv1a, Now};
use crate::state::{Attempt, AttemptState, ClusterState, Job, TaskSpec};
use std::collections::{BTreeMap, BTreeSet};

/// The progress of a run that is complete: workers report it in parts of a thousand.
const COMPLETE: f64 = 1000.0;
/// A run whose rate is below this share of its estimate is slow. Estimates are rough, so half the rate is not yet slow.
const SLOW_RATE_SHARE: f64 = 0.4;
/// A worker counts as slow only when so many groups of its runs have a known rate: fewer may be uneven by chance.
const MIN_GROUPS_TO_BLAME_WORKER: usize = 3;
/// Without progress for so many times the patience, a run is stalled where other groups are stalled as well.
const STALLED_PATIENCES: f64 = 1.5;
/// As above, where the worker runs a single group and nothing else confirms the stall.
const LONE_STALLED_PATIENCES: f64 = 3.0;
/// A run is not stalled before it has made no progress for this share of its estimate: long runs report rarely.
const STALLED_ESTIMATE_SHARE: f64 = 0.06;
/// A run must end this long before its worker leaves, in milliseconds, so that its end is still reported.
const LEAVE_MARGIN_MS: f64 = 100.0;
/// Moving a slow run pays only if staying takes this many times as long as a new start elsewhere.
const MIN_GAIN_OF_MOVE: f64 = 1.3;
/// The members of a gang start within so many times `cancel_ms`; until then a member may be waiting for the others.
const GANG_START_CANCEL_BOUNDS: u64 = 2;

/// Why a run is rescheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RescheduleReason {
    /// It would not end before its worker leaves.
    WorkerLeaving,
    /// Everything on the worker has stopped making progress.
    Stalled,
    /// The worker is slow, and the run would end sooner elsewhere.
    Slow,
}

/// A run as straggler detection sees it.
pub struct ObservedRun {
    /// How the run has progressed.
    pub progress: RunProgress,
    /// The same for all tasks of one step: their sizes vary together, and a gang advances at one rate.
    pub group: u64,
    /// The task was rescheduled before.
    pub rescheduled_before: bool,
    /// The estimated duration, in milliseconds; 0 where there is none.
    pub estimate_ms: f64,
    /// A speculative copy may be started instead.
    pub may_repeat: bool,
    /// It runs until it is stopped.
    pub long_running: bool,
    /// It keeps its progress when it is stopped.
    pub checkpoints: bool,
    /// It may be waiting for the other members of its gang.
    pub awaits_gang: bool,
    /// It is away from its data, or its gang is spread over racks: its estimate holds near them only.
    pub is_remote: bool,
}

/// For each run of a worker, why it should be rescheduled, if it should.
///
/// `leaves_in_ms` is the time that a leaving worker has left, `patience_ms` the shortest time to judge by.
///
/// The sizes of tasks vary, those of whole steps too, and estimates are rough, so a single step says nothing of its
/// worker: the worker is judged by all that it runs. Where it runs a single step, only a long stall is evidence enough.
pub fn find_stragglers(
    runs: &[ObservedRun],
    now_ms: u64,
    leaves_in_ms: Option<u64>,
    patience_ms: u64,
) -> Vec<Option<RescheduleReason>> {
    if let Some(left_ms) = leaves_in_ms {
        return runs
            .iter()
            .map(|run| {
                let too_late = run.outlasts(left_ms, now_ms, patience_ms);
                too_late.then_some(RescheduleReason::WorkerLeaving)
            })
            .collect();
    }
    let conclusive: Vec<&ObservedRun> = runs.iter().filter(|run| run.is_conclusive()).collect();
    let stalled = all_stalled(&conclusive, now_ms, patience_ms);
    let mut local = conclusive;
    local.retain(|run| !run.is_remote);
    let slow = is_worker_slow(&local, now_ms, patience_ms);
    runs.iter()
        .map(|run| {
            if !run.is_conclusive() {
                None
            } else if stalled {
                Some(RescheduleReason::Stalled)
            } else if slow && !run.is_remote && run.should_move(now_ms, patience_ms) {
                Some(RescheduleReason::Slow)
            } else {
                None
            }
        })
        .collect()
}

/// Whether nothing on the worker makes progress any more.
fn all_stalled(runs: &[&ObservedRun], now_ms: u64, patience_ms: u64) -> bool {
    let groups: BTreeSet<u64> = runs.iter().map(|run| run.group).collect();
    let patiences = match groups.len() {
        0 => return false,
        1 => LONE_STALLED_PATIENCES,
        _ => STALLED_PATIENCES,
    };
    runs.iter()
        .all(|run| run.is_stalled(now_ms, patiences * patience_ms as f64))
}

/// Whether the median group of a worker's runs is slow. Each group counts once, by its fastest run.
fn is_worker_slow(runs: &[&ObservedRun], now_ms: u64, patience_ms: u64) -> bool {
    let mut fastest_of_group: BTreeMap<u64, f64> = BTreeMap::new();
    for run in runs {
        if let Some(rate) = run.progress.rate(now_ms, patience_ms) {
            let fastest = fastest_of_group.entry(run.group).or_default();
            *fastest = fastest.max(rate * run.estimate_ms / COMPLETE);
        }
    }
    let mut rate_shares: Vec<f64> = fastest_of_group.into_values().collect();
    rate_shares.sort_by(f64::total_cmp);
    rate_shares.len() >= MIN_GROUPS_TO_BLAME_WORKER
        && rate_shares[rate_shares.len() / 2] < SLOW_RATE_SHARE
}

impl ObservedRun {
    /// Whether its progress says anything about its worker.
    fn is_conclusive(&self) -> bool {
        let complete = f64::from(self.progress.permille()) >= COMPLETE;
        !self.long_running && !self.awaits_gang && !complete && self.estimate_ms > 0.0
    }

    /// Whether it has made no progress for longer than `longest_ms`, and for a fair share of its estimate.
    fn is_stalled(&self, now_ms: u64, longest_ms: f64) -> bool {
        let unchanged_ms = self.progress.unchanged_ms(now_ms) as f64;
        unchanged_ms > longest_ms && unchanged_ms > STALLED_ESTIMATE_SHARE * self.estimate_ms
    }

    /// Whether it would not end, and report its end, before its worker leaves.
    fn outlasts(&self, left_ms: u64, now_ms: u64, patience_ms: u64) -> bool {
        self.long_running
            || self.remaining_ms(now_ms, patience_ms) + LEAVE_MARGIN_MS > left_ms as f64
    }

    /// Whether a run on a slow worker is moved.
    fn should_move(&self, now_ms: u64, patience_ms: u64) -> bool {
        !self.may_repeat
            && !self.rescheduled_before
            && self.ends_sooner_elsewhere(now_ms, patience_ms)
    }

    fn remaining_permille(&self) -> f64 {
        COMPLETE - f64::from(self.progress.permille())
    }

    /// How long it still takes where it is: by its rate, and by the estimate where it has none.
    fn remaining_ms(&self, now_ms: u64, patience_ms: u64) -> f64 {
        let measured = self.progress.rate(now_ms, patience_ms);
        let rate = measured
            .filter(|rate| *rate > 0.0)
            .unwrap_or(COMPLETE / self.estimate_ms.max(1.0));
        self.remaining_permille() / rate
    }

    fn ends_sooner_elsewhere(&self, now_ms: u64, patience_ms: u64) -> bool {
        let to_do = if self.checkpoints {
            self.remaining_permille()
        } else {
            COMPLETE
        };
        let restart_ms = to_do * self.estimate_ms / COMPLETE;
        let remaining_ms = self.remaining_ms(now_ms, patience_ms);
        remaining_ms > MIN_GAIN_OF_MOVE * restart_ms + patience_ms as f64
    }
}

/// A running attempt as straggler detection sees it; none if the cluster state does not know it as live.
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
    let mut group_name = job.spec.id.as_bytes().to_vec();
    group_name.extend(job.tasks[task].step.to_le_bytes());
    let was_stopped = |earlier: &Attempt| earlier.state == AttemptState::Stopped;
    Some(ObservedRun {
        group: fnv1a(&group_name),
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

/// Whether an attempt runs where its estimate does not hold: away from its data, or in a gang that belongs on one rack and
/// is spread over several.
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
    /// The worker is at fault: it stalls or is slow.
    pub blame_worker: bool,
}

impl Node {
    /// Finds the attempts that should leave a worker, by the progress up to its newest heartbeat.
    pub(super) fn stragglers(
        &self,
        now: Now,
        worker: &str,
        progress: &BTreeMap<u64, RunProgress>,
        leaves_in_ms: Option<u64>,
    ) -> Stragglers {
        let patience_ms = self.settings.bounds.reservation_interval();
        let gang_start_ms = GANG_START_CANCEL_BOUNDS * self.settings.bounds.cancel_ms;
        let mut attempts = Vec::new();
        let mut runs = Vec::new();
        for (attempt, progress) in progress {
            if self.is_stopping(*attempt) {
                continue;
            }
            let run = observe(&self.state, *attempt, *progress, now.mono, gang_start_ms);
            if let Some(run) = run {
                attempts.push(*attempt);
                runs.push(run);
            }
        }
        let reasons = find_stragglers(&runs, now.mono, leaves_in_ms, patience_ms);
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

    /// Whether an attempt is being stopped, or is not known at all.
    fn is_stopping(&self, attempt: u64) -> bool {
        let known = self.state.attempt(attempt);
        known.is_none_or(|(_, _, attempt)| attempt.stop)
    }

    /// Whether some other worker has free resources for the task of an attempt.
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
