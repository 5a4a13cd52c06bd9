//! What the progress of runs says: those that will not end before their worker leaves, that stand still or crawl, are
//! called back to run elsewhere.

use crate::node::Node;
use crate::sans_io::{fnv1a, Now};
use crate::state::{Attempt, AttemptState, ClusterState, Job};
use std::collections::{BTreeMap, BTreeSet};

/// Progress is told in parts of this.
const WHOLE: f64 = 1000.0;
/// A run that gets less than this share of the work done that was guessed is slow.
const CRAWL: f64 = 0.4;
/// So many runs tell whether their worker is slow.
const ENOUGH: usize = 3;

/// How a run got on, as its heartbeats told.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    from: (u64, u32),
    moved: (u64, u32),
}

impl Pace {
    /// The first that is heard of a run.
    pub fn new(at: u64, progress: u32) -> Self {
        Self {
            from: (at, progress),
            moved: (at, progress),
        }
    }

    /// How long ago it was first heard of.
    pub fn since(&self, now: u64) -> u64 {
        now.saturating_sub(self.from.0)
    }

    /// What a later heartbeat told.
    pub fn hear(&mut self, at: u64, progress: u32) {
        if progress != self.moved.1 {
            // A step back is a new beginning.
            if progress < self.moved.1 {
                self.from = (at, progress);
            }
            self.moved = (at, progress);
        }
    }

    /// Parts of the whole for each millisecond, once enough was heard.
    fn rate(&self, now: u64, patience: u64) -> Option<f64> {
        let span = now.saturating_sub(self.from.0);
        (span >= patience).then(|| f64::from(self.moved.1 - self.from.1) / span as f64)
    }
}

/// Why runs are called back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RescheduleReason {
    Leaves,
    Stuck,
    Slow,
}

/// What is known of a run when it is judged.
pub struct Run {
    pub pace: Pace,
    /// Alike for the tasks of one step: they are as uneven together, and a gang goes at one pace.
    pub group: u64,
    /// It was called back before.
    pub moved: bool,
    pub estimate: f64,
    /// A copy may be made instead.
    pub repeats: bool,
    pub lasts: bool,
    /// It keeps its progress when it is stopped.
    pub keeps: bool,
    /// It waits for the others of its gang, as far as one can tell.
    pub waits: bool,
}

/// Which runs of a worker do better elsewhere, and why: `leaves` is the time the worker has left, `patience` the shortest
/// span to judge by.
///
/// Tasks are uneven, steps as a whole too, and guesses rough, so one step tells nothing of its worker: it is judged by
/// all that it runs. Only where a single one is all there is, standing still for long is enough.
pub fn judge(
    runs: &[Run],
    now: u64,
    leaves: Option<u64>,
    patience: u64,
) -> Vec<Option<RescheduleReason>> {
    if let Some(ms) = leaves {
        let late = |r: &Run| r.lasts || r.need(now, patience) + 100.0 > ms as f64;
        return runs
            .iter()
            .map(|r| late(r).then_some(RescheduleReason::Leaves))
            .collect();
    }
    let works: Vec<&Run> = runs.iter().filter(|r| r.works()).collect();
    let still = |r: &&Run| r.still(now) > 1.5 * patience as f64 && r.still(now) > 0.06 * r.estimate;
    let long = |r: &&Run| r.still(now) > 3.0 * patience as f64 && still(r);
    let groups = |of: &[&Run]| of.iter().map(|r| r.group).collect::<BTreeSet<u64>>().len();
    let stuck = if groups(&works) > 1 {
        works.iter().all(still)
    } else {
        !works.is_empty() && works.iter().all(long)
    };
    // Each group counts once, by its fastest.
    let mut fastest: BTreeMap<u64, f64> = BTreeMap::new();
    for r in &works {
        if let Some(x) = r.pace.rate(now, patience) {
            let best = fastest.entry(r.group).or_default();
            *best = best.max(x * r.estimate / WHOLE);
        }
    }
    let mut shares: Vec<f64> = fastest.into_values().collect();
    shares.sort_by(f64::total_cmp);
    let slow = shares.len() >= ENOUGH && shares[shares.len() / 2] < CRAWL;
    runs.iter()
        .map(|r| {
            let judged = r.works();
            if judged && stuck {
                Some(RescheduleReason::Stuck)
            } else {
                (judged && slow && !r.repeats && !r.moved && r.pays(now, patience))
                    .then_some(RescheduleReason::Slow)
            }
        })
        .collect()
}

impl Run {
    /// Whether its progress says anything of its worker.
    fn works(&self) -> bool {
        !self.lasts && !self.waits && f64::from(self.pace.moved.1) < WHOLE && self.estimate > 0.0
    }

    fn still(&self, now: u64) -> f64 {
        now.saturating_sub(self.pace.moved.0) as f64
    }

    fn left(&self) -> f64 {
        WHOLE - f64::from(self.pace.moved.1)
    }

    /// How long it still takes where it is.
    fn need(&self, now: u64, patience: u64) -> f64 {
        let rate = self.pace.rate(now, patience).filter(|x| *x > 0.0);
        self.left() / rate.unwrap_or(WHOLE / self.estimate.max(1.0))
    }

    /// Whether it ends sooner when it starts anew elsewhere.
    fn pays(&self, now: u64, patience: u64) -> bool {
        let anew = if self.keeps { self.left() } else { WHOLE } * self.estimate / WHOLE;
        self.need(now, patience) > 1.3 * anew + patience as f64
    }
}

/// What the cluster state says of a attempt that runs, for judging.
fn run_of(state: &ClusterState, no: u64, pace: Pace, now: u64, gang_ms: u64) -> Option<Run> {
    let (job, i) = state.live.get(&no)?;
    let job: &Job = state.jobs.get(job)?;
    let spec = job.of(*i as usize);
    let fresh = now.saturating_sub(pace.from.0) < gang_ms;
    let step = job.tasks[*i as usize].step;
    let mut name = job.spec.id.as_bytes().to_vec();
    name.extend(step.to_le_bytes());
    let stopped = |s: &Attempt| s.state == AttemptState::Stopped;
    Some(Run {
        group: fnv1a(&name),
        moved: job.tasks[*i as usize].attempts.iter().any(stopped),
        estimate: f64::from(spec.estimate_ms),
        repeats: spec.may_repeat,
        lasts: spec.long_running,
        keeps: spec.checkpoints,
        waits: job.in_gang(*i as usize) && pace.moved.1 == 0 && fresh,
        pace,
    })
}

impl Node {
    /// Judges what runs on a worker by its newest heartbeat; the sends to call back, and whether the worker is to blame.
    pub(super) fn stragglers(
        &self,
        now: Now,
        worker: &str,
        paces: &BTreeMap<u64, Pace>,
        leaves: Option<u64>,
    ) -> (Vec<u64>, bool) {
        let patience = self.settings.bounds.reserve();
        let gang_ms = 2 * self.settings.bounds.cancel_ms;
        let stopped = |no: u64| self.state.attempt(no).is_none_or(|(_, _, s)| s.stop);
        let (numbers, runs): (Vec<u64>, Vec<Run>) = paces
            .iter()
            .filter(|(no, _)| !stopped(**no))
            .filter_map(|(no, pace)| {
                run_of(&self.state, *no, *pace, now.mono, gang_ms).map(|r| (*no, r))
            })
            .unzip();
        let of: Vec<(u64, RescheduleReason)> = numbers
            .into_iter()
            .zip(judge(&runs, now.mono, leaves, patience))
            .filter_map(|(no, why)| why.map(|w| (no, w)))
            .filter(|(no, why)| {
                *why != RescheduleReason::Slow || self.resources_elsewhere(worker, *no)
            })
            .collect();
        let blame = of.iter().any(|(_, why)| *why != RescheduleReason::Leaves);
        (of.into_iter().map(|(no, _)| no).collect(), blame)
    }

    fn resources_elsewhere(&self, worker: &str, no: u64) -> bool {
        let Some(t) = self
            .state
            .live
            .get(&no)
            .and_then(|(j, i)| self.state.jobs.get(j).map(|j| j.of(*i as usize)))
        else {
            return false;
        };
        self.state.workers.iter().any(|(k, w)| {
            k != worker
                && !w.lost
                && !w.info.leaving
                && w.probation == 0
                && w.info.serves(t)
                && self.state.open(&w.info.zone, k)
                && w.info.total_resources().less(w.used).holds(t.needs())
        })
    }
}
