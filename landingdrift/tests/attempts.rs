//! Attempts in the cluster state: none is repeated that may not be, and none revives that is over.

mod cluster_state_fixture;

use cluster_state_fixture::{repeatable, task, Desk};
use landingdrift::state::{
    AttemptState, Command, EndReport, JobState, Outcome, Rejection, TaskSpec,
};
use serde_json::json;

#[test]
fn without_leave_an_unsure_send_is_never_sent_again() {
    let mut d = Desk::new();
    d.accept("j", vec![task("a")]).expect("accepted");
    d.start("j", &[(0, "w")]).expect("placed");
    d.ok(Command::WorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    assert_eq!(d.start("j", &[(0, "v")]), Err(Rejection::AlreadyRunning));
    // A new process of the worker runs it no more, but it may have finished well.
    d.info("w", 2, false);
    assert_eq!(d.start("j", &[(0, "v")]), Err(Rejection::AlreadyRunning));
    d.at += 6000;
    d.ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 60_000,
    });
    assert_eq!(d.state("j"), JobState::Failed);
    assert_eq!(d.start("j", &[(0, "v")]), Err(Rejection::Ended));
    // The late report of another one counts, whenever it comes.
    d.accept("k", vec![task("a")]).expect("accepted");
    d.start("k", &[(0, "v")]).expect("placed");
    d.ok(Command::WorkerLost {
        worker: "v".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    d.end("v", 2, Outcome::Succeeded);
    assert_eq!(d.state("k"), JobState::Done);
}

#[test]
fn with_leave_the_ledger_goes_on_and_copies_stay_in_their_budget() {
    let mut d = Desk::new();
    d.accept("j", vec![repeatable("a")]).expect("accepted");
    d.start("j", &[(0, "w")]).expect("placed");
    assert_eq!(
        d.start_as("j", &[(0, "w")], 2, 1, true),
        Err(Rejection::AlreadyRunning),
        "a copy beside its original"
    );
    d.start_as("j", &[(0, "v")], 2, 1, true)
        .expect("a copy elsewhere");
    d.info("x", 1, false);
    assert_eq!(
        d.start_as("j", &[(0, "x")], 2, 1, true),
        Err(Rejection::AlreadyRunning),
        "a third"
    );
    d.end("v", 2, Outcome::Succeeded);
    assert!(
        d.r.jobs["j"].tasks[0].attempts[0].stop,
        "the later one is stopped"
    );
    assert_eq!(d.state("j"), JobState::Running);
    d.end("w", 1, Outcome::Stopped);
    assert_eq!(d.state("j"), JobState::Done);
    d.ok(Command::UpdateConfig {
        change: "none".into(),
        base: 1,
        patch: true,
        number: 0,
        value: json!({"queues": {"q": {"speculationPercent": 0}}}),
    });
    d.accept("k", vec![repeatable("a")]).expect("accepted");
    d.start("k", &[(0, "w")]).expect("placed");
    assert_eq!(
        d.start_as("k", &[(0, "v")], 2, 1, true),
        Err(Rejection::SpeculationBudgetExhausted)
    );
    d.ok(Command::WorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    d.start("k", &[(0, "v")])
        .expect("sent again where a repeat is harmless");
}

#[test]
fn a_task_that_failed_as_often_as_permitted_is_not_tried_again() {
    let mut d = Desk::new();
    d.accept("j", vec![task("a")]).expect("accepted");
    for no in 1..=2 {
        d.start("j", &[(0, "w")]).expect("placed");
        d.end("w", no, Outcome::Failed);
    }
    assert_eq!(d.state("j"), JobState::Failed);
    assert_eq!(d.start("j", &[(0, "v")]), Err(Rejection::Ended));
}

#[test]
fn a_failed_copy_does_not_fail_a_task_whose_original_still_runs() {
    let mut d = Desk::new();
    let max_attempts = |base: u64, n: u32| Command::UpdateConfig {
        change: format!("tries{n}"),
        base,
        patch: true,
        number: 0,
        value: json!({"queues": {"q": {"tries": n}}}),
    };
    d.ok(max_attempts(1, 3));
    d.accept(
        "j",
        vec![
            repeatable("a"),
            TaskSpec {
                depends_on: vec!["a".into()],
                ..task("b")
            },
        ],
    )
    .expect("accepted");
    d.start("j", &[(0, "w")]).expect("placed");
    d.end("w", 1, Outcome::Failed);
    d.start("j", &[(0, "w")]).expect("placed again");
    d.start_as("j", &[(0, "v")], 2, 1, true).expect("a copy");
    // Two tries are all from now on, and both are spent when the copy fails.
    d.ok(max_attempts(2, 2));
    d.end("v", 3, Outcome::Failed);
    assert_eq!(d.state("j"), JobState::Running);
    d.end("w", 2, Outcome::Succeeded);
    d.start("j", &[(1, "w")]).expect("the next step");
    d.end("w", 4, Outcome::Succeeded);
    assert_eq!(d.state("j"), JobState::Done);
}

#[test]
fn what_may_be_running_counts_as_a_try() {
    let mut d = Desk::new();
    d.accept("j", vec![repeatable("a")]).expect("accepted");
    d.start("j", &[(0, "w")]).expect("placed");
    d.end("w", 1, Outcome::Failed);
    d.start("j", &[(0, "w")]).expect("the second and last try");
    assert_eq!(
        d.start_as("j", &[(0, "v")], 2, 1, true),
        Err(Rejection::AttemptsExhausted),
        "a copy would be a third"
    );
    d.ok(Command::WorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    assert_eq!(
        d.start("j", &[(0, "v")]),
        Err(Rejection::AttemptsExhausted),
        "it may have failed unseen"
    );
    d.end("w", 2, Outcome::Succeeded);
    assert_eq!(d.state("j"), JobState::Done);
}

#[test]
fn a_late_word_of_running_revives_nothing_once_the_worker_is_lost_or_started_anew() {
    for anew in [false, true] {
        let mut d = Desk::new();
        d.accept("j", vec![task("a")]).expect("accepted");
        d.start("j", &[(0, "w")]).expect("started");
        if anew {
            d.info("w", 2, false);
        } else {
            d.ok(Command::WorkerLost {
                worker: "w".into(),
                incarnation: 1,
                zone_epoch: 1,
            });
        }
        d.ok(Command::ReportAttempts {
            worker: "w".into(),
            incarnation: 1,
            running: vec![1],
            ends: vec![],
        });
        let state = d.r.attempt(1).map(|(_, _, s)| s.state);
        assert_eq!(state, Some(AttemptState::Unsure), "started anew: {anew}");
        d.end("w", 1, Outcome::Succeeded);
        assert_eq!(d.state("j"), JobState::Done, "a late end still counts");
    }
}

#[test]
fn what_is_called_back_runs_elsewhere_and_uses_up_no_try() {
    let mut d = Desk::new();
    d.accept("j", vec![task("a")]).expect("accepted");
    d.start("j", &[(0, "w")]).expect("starts");
    let reschedule_attempts = |zone_epoch| Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch,
        attempts: vec![1],
        blame: true,
    };
    assert_eq!(d.apply(reschedule_attempts(9)), Err(Rejection::StaleLease));
    d.ok(reschedule_attempts(1));
    assert!(d.r.workers["w"].probation > 0);
    assert_eq!(
        d.start("j", &[(0, "v")]),
        Err(Rejection::AlreadyRunning),
        "not before it has ended"
    );
    d.end("w", 1, Outcome::Stopped);
    assert_eq!(d.r.jobs["j"].tasks[0].failures, 0);
    d.start("j", &[(0, "v")]).expect("elsewhere");
}

#[test]
fn a_late_copy_of_a_lapse_ends_nothing_that_started_since() {
    let mut d = Desk::new();
    d.accept("j", vec![task("a")]).expect("accepted");
    d.start("j", &[(0, "w")]).expect("starts");
    let expire_attempts = Command::ExpireAttempts {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
        attempts: vec![1],
        checkpoints: vec![],
    };
    d.ok(expire_attempts.clone());
    assert_eq!(d.r.jobs["j"].tasks[0].failures, 0);
    d.info("w", 1, false);
    d.start("j", &[(0, "w")]).expect("again");
    d.ok(expire_attempts);
    assert_eq!(d.r.jobs["j"].tasks[0].live().count(), 1);
}

/// A job of one long-running task.
fn with_lasting_job() -> Desk {
    let mut desk = Desk::new();
    let lasting = TaskSpec {
        long_running: true,
        ..task("a")
    };
    desk.accept("lasting", vec![lasting]).expect("accepted");
    desk
}

/// Starts the task of the lasting job, and ends its run.
fn start_and_end(desk: &mut Desk, outcome: Outcome) {
    desk.start("lasting", &[(0, "w")]).expect("started");
    let last = desk.r.jobs["lasting"].tasks[0].attempts.last();
    let end = EndReport {
        no: last.expect("an attempt").no,
        outcome,
        ..EndReport::default()
    };
    desk.ok(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![],
        ends: vec![end],
    });
}

/// Guards against the growth of a job without end: a long-running task that fails is started again as long as its job lives.
#[test]
fn a_task_keeps_its_latest_attempts_only() {
    let mut desk = with_lasting_job();
    (0..100).for_each(|_| start_and_end(&mut desk, Outcome::Failed));
    let after_100 = desk.r.job_bytes();
    (0..200).for_each(|_| start_and_end(&mut desk, Outcome::Failed));
    assert_eq!(desk.r.job_bytes(), after_100);
    let job = &desk.r.jobs["lasting"];
    assert_eq!(job.tasks[0].failures, 300);
    let last = job.tasks[0].attempts.last().expect("an attempt");
    assert_eq!(last.run, 300, "runs are numbered on");
}

#[test]
fn a_task_that_has_begun_once_has_begun_whatever_becomes_of_later_attempts() {
    let mut desk = with_lasting_job();
    start_and_end(&mut desk, Outcome::Failed);
    (0..200).for_each(|_| start_and_end(&mut desk, Outcome::NeverStarted));
    assert!(desk.r.jobs["lasting"].has_begun());
}
