//! Straggler detection: the runs that are rescheduled because of their progress.

use landingdrift::node::{find_stragglers, ObservedRun, RescheduleReason, RunProgress};

const MIN_OBSERVATION_MS: u64 = 1000;
/// The next step key: each run belongs to a step of its own unless a test says otherwise.
static NEXT_STEP: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

/// A run with an estimated duration of 4 s and the given progress reports: time in milliseconds and progress in
/// permille.
fn run(reports: &[(u64, u32)]) -> ObservedRun {
    let mut progress = RunProgress::new(reports[0].0, reports[0].1);
    for (at, permille) in &reports[1..] {
        progress.record(*at, *permille);
    }
    ObservedRun {
        progress,
        step_key: NEXT_STEP.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
        rescheduled_before: false,
        estimate_ms: 4000.0,
        may_repeat: false,
        long_running: false,
        checkpoints: false,
        awaits_gang: false,
        is_remote: false,
    }
}

fn reasons(
    runs: &[ObservedRun],
    now: u64,
    leaves_in_ms: Option<u64>,
) -> Vec<Option<RescheduleReason>> {
    find_stragglers(runs, now, leaves_in_ms, MIN_OBSERVATION_MS)
}

/// `n` reports at intervals of 100 ms, each with `by` permille more progress than the one before.
fn regular_reports(by: u64, n: u64) -> Vec<(u64, u32)> {
    (0..n).map(|i| (i * 100, (i * by) as u32)).collect()
}

#[test]
fn runs_at_their_estimated_rate_stay() {
    assert_eq!(
        reasons(&[run(&regular_reports(25, 30))], 2900, None),
        [None]
    );
    // Half the estimated rate is not slow yet, because estimates are rough.
    let half_rate = || run(&regular_reports(12, 30));
    assert_eq!(
        reasons(&[half_rate(), half_rate(), half_rate()], 2900, None),
        [None; 3]
    );
}

#[test]
fn a_single_large_task_is_not_blamed_on_its_worker() {
    let large = run(&regular_reports(8, 20));
    let other = || run(&regular_reports(25, 20));
    assert_eq!(reasons(&[large, other(), other()], 1900, None), [None; 3]);
    assert_eq!(reasons(&[run(&regular_reports(8, 20))], 1900, None), [None]);
}

#[test]
fn a_worker_without_any_progress_is_stalled_after_the_stall_timeout() {
    let stalled = || run(&[(0, 0), (500, 120), (600, 150)]);
    assert_eq!(reasons(&[stalled(), stalled()], 1500, None), [None; 2]);
    assert_eq!(
        reasons(&[stalled(), stalled()], 2200, None),
        [Some(RescheduleReason::Stalled); 2]
    );
    // A single run must be stalled for longer, and one stalled run of several does not prove a stalled worker.
    assert_eq!(reasons(&[stalled()], 2200, None), [None]);
    assert_eq!(
        reasons(&[stalled()], 3700, None),
        [Some(RescheduleReason::Stalled)]
    );
    let progressing = run(&regular_reports(25, 30));
    assert_eq!(reasons(&[stalled(), progressing], 2900, None), [None; 2]);
}

#[test]
fn runs_that_await_their_gang_or_are_long_running_are_not_stalled() {
    let awaits_gang = ObservedRun {
        awaits_gang: true,
        ..run(&[(0, 0)])
    };
    let long_running = ObservedRun {
        long_running: true,
        ..run(&[(0, 0)])
    };
    // The run has done its own work and waits for the other members to end.
    let done = run(&[(0, 0), (900, 1000)]);
    assert_eq!(
        reasons(&[awaits_gang, long_running, done], 60_000, None),
        [None; 3]
    );
}

#[test]
fn runs_on_a_slow_worker_are_moved_if_they_end_sooner_elsewhere() {
    let slow = || run(&regular_reports(4, 20));
    assert_eq!(
        reasons(&[slow(), slow(), slow()], 1900, None),
        [Some(RescheduleReason::Slow); 3]
    );
    assert_eq!(
        reasons(&[slow(), slow()], 1900, None),
        [None; 2],
        "two steps are too few to classify the worker as slow"
    );
    // A run that is nearly complete is not moved, and a repeatable task can get a speculative copy instead.
    let nearly_complete: Vec<(u64, u32)> =
        (0..20).map(|i| (i * 100, 850 + (i * 4) as u32)).collect();
    let repeatable = ObservedRun {
        may_repeat: true,
        ..slow()
    };
    assert_eq!(
        reasons(&[run(&nearly_complete), repeatable, slow()], 1900, None),
        [None, None, Some(RescheduleReason::Slow)]
    );
}

#[test]
fn runs_of_one_step_count_as_one_and_a_task_is_moved_for_slowness_only_once() {
    let slow = |step_key, rescheduled_before| ObservedRun {
        step_key,
        rescheduled_before,
        ..run(&regular_reports(4, 20))
    };
    let gang = [slow(7, false), slow(7, false), slow(7, false)];
    assert_eq!(reasons(&gang, 1900, None), [None; 3]);
    let mixed = [slow(7, true), slow(8, false), slow(9, false)];
    assert_eq!(
        reasons(&mixed, 1900, None),
        [
            None,
            Some(RescheduleReason::Slow),
            Some(RescheduleReason::Slow)
        ]
    );
}

#[test]
fn runs_that_would_not_end_before_their_worker_leaves_are_rescheduled() {
    let half_complete = || run(&regular_reports(25, 21));
    assert_eq!(reasons(&[half_complete()], 2000, Some(2500)), [None]);
    assert_eq!(
        reasons(&[half_complete()], 2000, Some(1500)),
        [Some(RescheduleReason::WorkerLeaving)]
    );
    // Without reported progress the estimate is used.
    assert_eq!(
        reasons(&[run(&[(0, 0)])], 0, Some(2000)),
        [Some(RescheduleReason::WorkerLeaving)]
    );
    let long_running = ObservedRun {
        long_running: true,
        ..run(&[(0, 0)])
    };
    assert_eq!(
        reasons(&[long_running], 0, Some(60_000)),
        [Some(RescheduleReason::WorkerLeaving)]
    );
}

#[test]
fn slow_remote_runs_are_not_blamed_on_their_worker() {
    // A third of the estimated rate: it takes three times as long because it is far from its data.
    let remote = || ObservedRun {
        is_remote: true,
        ..run(&regular_reports(8, 30))
    };
    assert_eq!(
        reasons(&[remote(), remote(), remote()], 2900, None),
        [None; 3]
    );
    // Slow runs that are near their data are moved; the remote one is not.
    let near = || run(&regular_reports(2, 30));
    let mixed = reasons(&[near(), near(), near(), remote()], 2900, None);
    assert_eq!(mixed[3], None);
    assert_eq!(mixed[..3], [Some(RescheduleReason::Slow); 3]);
    // A run without any progress is stalled wherever it runs.
    let stalled = || ObservedRun {
        is_remote: true,
        ..run(&[(0, 0), (100, 10)])
    };
    let all = reasons(&[stalled(), stalled()], 9000, None);
    assert_eq!(all, [Some(RescheduleReason::Stalled); 2]);
}
