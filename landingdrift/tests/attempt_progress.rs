//! Which runs do better elsewhere, by the progress they tell.

use landingdrift::node::{judge, Pace, RescheduleReason, Run};

const PATIENCE: u64 = 1000;
/// Each run is of a step of its own unless a test says otherwise.
static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

/// A run of a second's work that told its progress at these times.
fn run(told: &[(u64, u32)]) -> Run {
    let mut pace = Pace::new(told[0].0, told[0].1);
    told[1..].iter().for_each(|(at, p)| pace.hear(*at, *p));
    Run {
        pace,
        group: NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
        moved: false,
        estimate: 4000.0,
        repeats: false,
        lasts: false,
        keeps: false,
        waits: false,
    }
}

fn why(r: &[Run], now: u64, leaves: Option<u64>) -> Vec<Option<RescheduleReason>> {
    judge(r, now, leaves, PATIENCE)
}

fn steps(by: u64, n: u64) -> Vec<(u64, u32)> {
    (0..n).map(|i| (i * 100, (i * by) as u32)).collect()
}

#[test]
fn runs_at_their_pace_stay() {
    assert_eq!(why(&[run(&steps(25, 30))], 2900, None), [None]);
    // Half as fast as was guessed is not slow yet: guesses are rough.
    let half = || run(&steps(12, 30));
    assert_eq!(why(&[half(), half(), half()], 2900, None), [None; 3]);
}

#[test]
fn a_task_larger_than_its_like_does_not_blame_its_worker() {
    let large = run(&steps(8, 20));
    let other = || run(&steps(25, 20));
    assert_eq!(why(&[large, other(), other()], 1900, None), [None; 3]);
    assert_eq!(why(&[run(&steps(8, 20))], 1900, None), [None]);
}

#[test]
fn all_standing_still_are_stuck_but_not_at_once() {
    let still = || run(&[(0, 0), (500, 120), (600, 150)]);
    assert_eq!(why(&[still(), still()], 1500, None), [None; 2]);
    assert_eq!(
        why(&[still(), still()], 2200, None),
        [Some(RescheduleReason::Stuck); 2]
    );
    // One alone must stand still for longer, and one of several says nothing.
    assert_eq!(why(&[still()], 2200, None), [None]);
    assert_eq!(why(&[still()], 3700, None), [Some(RescheduleReason::Stuck)]);
    let moves = run(&steps(25, 30));
    assert_eq!(why(&[still(), moves], 2900, None), [None; 2]);
}

#[test]
fn what_waits_for_its_gang_or_lasts_does_not_stand_still() {
    let waits = Run {
        waits: true,
        ..run(&[(0, 0)])
    };
    let lasts = Run {
        lasts: true,
        ..run(&[(0, 0)])
    };
    // Its own work is done, and it waits for the end of the others.
    let done = run(&[(0, 0), (900, 1000)]);
    assert_eq!(why(&[waits, lasts, done], 60_000, None), [None; 3]);
}

#[test]
fn on_a_slow_worker_runs_are_moved_where_that_pays() {
    let crawl = || run(&steps(4, 20));
    assert_eq!(
        why(&[crawl(), crawl(), crawl()], 1900, None),
        [Some(RescheduleReason::Slow); 3]
    );
    assert_eq!(why(&[crawl(), crawl()], 1900, None), [None; 2], "too few");
    // Near its end a run is left alone, and a copy may race one that repeats.
    let late: Vec<(u64, u32)> = (0..20).map(|i| (i * 100, 850 + (i * 4) as u32)).collect();
    let repeats = Run {
        repeats: true,
        ..crawl()
    };
    assert_eq!(
        why(&[run(&late), repeats, crawl()], 1900, None),
        [None, None, Some(RescheduleReason::Slow)]
    );
}

#[test]
fn the_tasks_of_one_step_count_once_and_move_once() {
    let crawl = |group, moved| Run {
        group,
        moved,
        ..run(&steps(4, 20))
    };
    let gang = [crawl(7, false), crawl(7, false), crawl(7, false)];
    assert_eq!(why(&gang, 1900, None), [None; 3]);
    let mixed = [crawl(7, true), crawl(8, false), crawl(9, false)];
    assert_eq!(
        why(&mixed, 1900, None),
        [
            None,
            Some(RescheduleReason::Slow),
            Some(RescheduleReason::Slow)
        ]
    );
}

#[test]
fn what_will_not_end_before_its_worker_leaves_is_called_back() {
    let half = || run(&steps(25, 21));
    assert_eq!(why(&[half()], 2000, Some(2500)), [None]);
    assert_eq!(
        why(&[half()], 2000, Some(1500)),
        [Some(RescheduleReason::Leaves)]
    );
    // By the guess, where nothing was told yet.
    assert_eq!(
        why(&[run(&[(0, 0)])], 0, Some(2000)),
        [Some(RescheduleReason::Leaves)]
    );
    let lasts = Run {
        lasts: true,
        ..run(&[(0, 0)])
    };
    assert_eq!(
        why(&[lasts], 0, Some(60_000)),
        [Some(RescheduleReason::Leaves)]
    );
}
