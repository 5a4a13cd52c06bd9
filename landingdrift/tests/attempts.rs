//! Rules for attempts in the cluster state: tasks that may not be repeated are not restarted while an attempt may be
//! running, the maximum number of attempts and the speculation budget are enforced, and late reports don't revive ended
//! attempts.

mod cluster_state_fixture;

use cluster_state_fixture::{repeatable, task, StateFixture};
use landingdrift::state::{
    AttemptState, Command, EndReport, JobState, Outcome, Rejection, TaskSpec,
};
use serde_json::json;

#[test]
fn a_non_repeatable_task_with_an_unsure_attempt_is_not_restarted() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("placed");
    fixture.apply_ok(Command::MarkWorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    assert_eq!(
        fixture.start("j", &[(0, "v")]),
        Err(Rejection::AlreadyRunning)
    );
    // After a restart of the worker the attempt no longer runs, but it may have succeeded.
    fixture.update_worker("w", 2, false);
    assert_eq!(
        fixture.start("j", &[(0, "v")]),
        Err(Rejection::AlreadyRunning)
    );
    fixture.at += 6000;
    fixture.apply_ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 60_000,
    });
    assert_eq!(fixture.job_state("j"), JobState::Failed);
    assert_eq!(fixture.start("j", &[(0, "v")]), Err(Rejection::Ended));
    // A late report of success still counts.
    fixture.submit("k", vec![task("a")]).expect("accepted");
    fixture.start("k", &[(0, "v")]).expect("placed");
    fixture.apply_ok(Command::MarkWorkerLost {
        worker: "v".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    fixture.report_end("v", 2, Outcome::Succeeded);
    assert_eq!(fixture.job_state("k"), JobState::Done);
}

#[test]
fn a_repeatable_task_is_restarted_and_gets_copies_within_the_budget() {
    let mut fixture = StateFixture::new();
    fixture
        .submit("j", vec![repeatable("a")])
        .expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("placed");
    assert_eq!(
        fixture.start_copy("j", &[(0, "w")]),
        Err(Rejection::AlreadyRunning),
        "a copy on the worker of its original"
    );
    fixture
        .start_copy("j", &[(0, "v")])
        .expect("a copy on another worker");
    fixture.update_worker("x", 1, false);
    assert_eq!(
        fixture.start_copy("j", &[(0, "x")]),
        Err(Rejection::AlreadyRunning),
        "a second copy"
    );
    fixture.report_end("v", 2, Outcome::Succeeded);
    assert!(
        fixture.state.jobs["j"].tasks[0].attempts[0].stop,
        "the original is stopped after the copy succeeded"
    );
    assert_eq!(fixture.job_state("j"), JobState::Running);
    fixture.report_end("w", 1, Outcome::Stopped);
    assert_eq!(fixture.job_state("j"), JobState::Done);
    fixture.apply_ok(Command::UpdateConfig {
        change: "none".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"speculationPercent": 0}}}),
    });
    fixture
        .submit("k", vec![repeatable("a")])
        .expect("accepted");
    fixture.start("k", &[(0, "w")]).expect("placed");
    assert_eq!(
        fixture.start_copy("k", &[(0, "v")]),
        Err(Rejection::SpeculationBudgetExhausted)
    );
    fixture.apply_ok(Command::MarkWorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    fixture
        .start("k", &[(0, "v")])
        .expect("a repeatable task is restarted");
}

#[test]
fn a_task_that_reached_its_maximum_number_of_attempts_is_not_retried() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    for no in 1..=2 {
        fixture.start("j", &[(0, "w")]).expect("placed");
        fixture.report_end("w", no, Outcome::Failed);
    }
    assert_eq!(fixture.job_state("j"), JobState::Failed);
    assert_eq!(fixture.start("j", &[(0, "v")]), Err(Rejection::Ended));
}

#[test]
fn a_failed_copy_does_not_fail_a_task_whose_original_still_runs() {
    let mut fixture = StateFixture::new();
    let max_attempts = |base: u64, n: u32| Command::UpdateConfig {
        change: format!("tries{n}"),
        base_version: base,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"tries": n}}}),
    };
    fixture.apply_ok(max_attempts(1, 3));
    fixture
        .submit(
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
    fixture.start("j", &[(0, "w")]).expect("placed");
    fixture.report_end("w", 1, Outcome::Failed);
    fixture.start("j", &[(0, "w")]).expect("placed again");
    fixture.start_copy("j", &[(0, "v")]).expect("a copy");
    // With a maximum of two attempts, the failure of the copy is the last one allowed, but the original still runs.
    fixture.apply_ok(max_attempts(2, 2));
    fixture.report_end("v", 3, Outcome::Failed);
    assert_eq!(fixture.job_state("j"), JobState::Running);
    fixture.report_end("w", 2, Outcome::Succeeded);
    fixture.start("j", &[(1, "w")]).expect("the next step");
    fixture.report_end("w", 4, Outcome::Succeeded);
    assert_eq!(fixture.job_state("j"), JobState::Done);
}

#[test]
fn attempts_that_may_be_running_count_towards_the_maximum() {
    let mut fixture = StateFixture::new();
    fixture
        .submit("j", vec![repeatable("a")])
        .expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("placed");
    fixture.report_end("w", 1, Outcome::Failed);
    fixture
        .start("j", &[(0, "w")])
        .expect("the second and last attempt");
    assert_eq!(
        fixture.start_copy("j", &[(0, "v")]),
        Err(Rejection::AttemptsExhausted),
        "a copy would be the third attempt"
    );
    fixture.apply_ok(Command::MarkWorkerLost {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
    });
    assert_eq!(
        fixture.start("j", &[(0, "v")]),
        Err(Rejection::AttemptsExhausted),
        "the lost attempt may have failed"
    );
    fixture.report_end("w", 2, Outcome::Succeeded);
    assert_eq!(fixture.job_state("j"), JobState::Done);
}

#[test]
fn a_late_running_report_changes_nothing_after_the_worker_was_lost_or_restarted() {
    for restarted in [false, true] {
        let mut fixture = StateFixture::new();
        fixture.submit("j", vec![task("a")]).expect("accepted");
        fixture.start("j", &[(0, "w")]).expect("started");
        if restarted {
            fixture.update_worker("w", 2, false);
        } else {
            fixture.apply_ok(Command::MarkWorkerLost {
                worker: "w".into(),
                incarnation: 1,
                zone_epoch: 1,
            });
        }
        fixture.apply_ok(Command::ReportAttempts {
            worker: "w".into(),
            incarnation: 1,
            running: vec![1],
            ends: vec![],
        });
        let state = fixture.state.attempt(1).map(|(_, _, s)| s.state);
        assert_eq!(
            state,
            Some(AttemptState::Unsure),
            "worker restarted: {restarted}"
        );
        fixture.report_end("w", 1, Outcome::Succeeded);
        assert_eq!(
            fixture.job_state("j"),
            JobState::Done,
            "a late end report still counts"
        );
    }
}

#[test]
fn a_rescheduled_attempt_restarts_elsewhere_and_does_not_count_as_a_failure() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("starts");
    let reschedule_attempts = |zone_epoch| Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch,
        attempts: vec![1],
        blame: true,
    };
    assert_eq!(
        fixture.apply(reschedule_attempts(9)),
        Err(Rejection::StaleLease)
    );
    fixture.apply_ok(reschedule_attempts(1));
    assert!(fixture.state.workers["w"].probation > 0);
    assert_eq!(
        fixture.start("j", &[(0, "v")]),
        Err(Rejection::AlreadyRunning),
        "not before the stopped attempt has ended"
    );
    fixture.report_end("w", 1, Outcome::Stopped);
    assert_eq!(fixture.state.jobs["j"].tasks[0].failures, 0);
    fixture
        .start("j", &[(0, "v")])
        .expect("started on another worker");
}

#[test]
fn a_repeated_expire_command_does_not_end_newer_attempts() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("starts");
    let expire_attempts = Command::ExpireAttempts {
        worker: "w".into(),
        incarnation: 1,
        zone_epoch: 1,
        attempts: vec![1],
        checkpoints: vec![],
    };
    fixture.apply_ok(expire_attempts.clone());
    assert_eq!(fixture.state.jobs["j"].tasks[0].failures, 0);
    fixture.update_worker("w", 1, false);
    fixture.start("j", &[(0, "w")]).expect("placed again");
    fixture.apply_ok(expire_attempts);
    assert_eq!(fixture.state.jobs["j"].tasks[0].live().count(), 1);
}

/// A fixture with an accepted job of one long-running task.
fn with_long_running_job() -> StateFixture {
    let mut fixture = StateFixture::new();
    let long_running = TaskSpec {
        long_running: true,
        ..task("a")
    };
    fixture
        .submit("long-running", vec![long_running])
        .expect("accepted");
    fixture
}

/// Starts the long-running task, and reports the end of the attempt.
fn start_and_end(fixture: &mut StateFixture, outcome: Outcome) {
    fixture.start("long-running", &[(0, "w")]).expect("started");
    let last = fixture.state.jobs["long-running"].tasks[0].attempts.last();
    let end = EndReport {
        no: last.expect("an attempt").no,
        outcome,
        ..EndReport::default()
    };
    fixture.apply_ok(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![],
        ends: vec![end],
    });
}

/// Guards against unbounded growth of a job: a long-running task that keeps failing is restarted until its job is
/// cancelled, and each restart adds an attempt.
#[test]
fn a_task_keeps_only_its_latest_attempts() {
    let mut fixture = with_long_running_job();
    (0..100).for_each(|_| start_and_end(&mut fixture, Outcome::Failed));
    let after_100 = fixture.state.job_bytes();
    (0..200).for_each(|_| start_and_end(&mut fixture, Outcome::Failed));
    assert_eq!(fixture.state.job_bytes(), after_100);
    let job = &fixture.state.jobs["long-running"];
    assert_eq!(job.tasks[0].failures, 300);
    let last = job.tasks[0].attempts.last().expect("an attempt");
    assert_eq!(
        last.run, 300,
        "run numbers continue after attempts were dropped"
    );
}

#[test]
fn a_task_that_has_begun_still_counts_as_begun_after_later_attempts_never_started() {
    let mut fixture = with_long_running_job();
    start_and_end(&mut fixture, Outcome::Failed);
    (0..200).for_each(|_| start_and_end(&mut fixture, Outcome::NeverStarted));
    assert!(fixture.state.jobs["long-running"].has_begun());
}
