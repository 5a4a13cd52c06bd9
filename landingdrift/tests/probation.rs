//! A worker on probation gets finite tasks in addition to long-running ones, and probation does not starve idle jobs.

mod cluster_state_fixture;
mod node_harness;

use cluster_state_fixture::{task, StateFixture};
use landingdrift::state::{Command, Rejection, StepSpec, TaskSpec};
use node_harness::NodeHarness;

/// How long a job may be idle before probation no longer applies to it, in milliseconds.
const MAX_IDLE_MS: u64 = 2000;

fn small(name: &str) -> TaskSpec {
    TaskSpec {
        cpu: 1,
        ..task(name)
    }
}

fn long_running(name: &str) -> TaskSpec {
    TaskSpec {
        long_running: true,
        ..small(name)
    }
}

/// A fixture with a worker on probation that runs a long-running task.
fn on_probation() -> StateFixture {
    let mut fixture = StateFixture::new();
    fixture
        .submit("long-running", vec![long_running("a")])
        .expect("accepted");
    fixture.start("long-running", &[(0, "w")]).expect("started");
    fixture.apply_ok(Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch: 1,
        attempts: vec![],
        blame: true,
    });
    assert!(fixture.state.workers["w"].probation > 0);
    fixture
}

#[test]
fn a_worker_on_probation_gets_a_finite_task_in_addition_to_a_long_running_one() {
    let mut fixture = on_probation();
    fixture
        .submit("j", vec![small("a"), small("b")])
        .expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("one finite task");
    let second = fixture.start("j", &[(1, "w")]);
    assert!(
        matches!(second, Err(Rejection::UnsuitableWorker { .. })),
        "one at a time: {second:?}"
    );
}

/// Regression test: of several jobs with one long-running task each, only the first ever started on a worker on
/// probation. Until a job has been idle for too long, the limit of one attempt applies. The rule LOST in RULES.md
/// permits that, since it is violated only when "for 3 s, a job has nothing running".
#[test]
fn a_worker_on_probation_gets_a_second_long_running_task_once_its_job_is_idle_too_long() {
    let mut fixture = on_probation();
    fixture
        .submit("more", vec![long_running("a")])
        .expect("accepted");
    let early = fixture.start("more", &[(0, "w")]);
    assert!(
        matches!(early, Err(Rejection::UnsuitableWorker { .. })),
        "{early:?}"
    );
    fixture.at += MAX_IDLE_MS;
    fixture
        .start("more", &[(0, "w")])
        .expect("the job has been idle for too long");
}

/// The rule LOST in RULES.md permits the final rejection: it applies only while "a job has nothing running", and the
/// job then has a running attempt.
#[test]
fn a_worker_on_probation_gets_a_second_finite_task_of_an_idle_job() {
    let mut fixture = on_probation();
    fixture.submit("j", vec![small("a")]).expect("accepted");
    fixture.start("j", &[(0, "w")]).expect("one finite task");
    fixture
        .submit("k", vec![small("a"), small("b")])
        .expect("accepted");
    fixture.at += MAX_IDLE_MS;
    fixture
        .start("k", &[(0, "w")])
        .expect("the job has been idle for too long");
    let second = fixture.start("k", &[(1, "w")]);
    assert!(
        matches!(second, Err(Rejection::UnsuitableWorker { .. })),
        "the job is no longer idle: {second:?}"
    );
}

/// The job may wait: the rule LOST in RULES.md applies only while "less than half of the service's room is in use".
#[test]
fn a_worker_on_probation_gets_one_task_at_a_time_while_the_service_has_no_spare_capacity() {
    let mut fixture = on_probation();
    let large = TaskSpec {
        cpu: 4,
        ..task("b")
    };
    fixture
        .submit("j", vec![small("a"), large])
        .expect("accepted");
    fixture
        .start("j", &[(0, "w"), (1, "v")])
        .expect("one finite task, and one on another worker");
    fixture.submit("k", vec![small("a")]).expect("accepted");
    fixture.at += 10 * MAX_IDLE_MS;
    let additional = fixture.start("k", &[(0, "w")]);
    assert!(
        matches!(additional, Err(Rejection::UnsuitableWorker { .. })),
        "six of eight CPU are in use: {additional:?}"
    );
}

/// Puts the only worker of the harness on probation while it runs a job, and submits a second job.
fn second_job_on_probation(running: StepSpec, second: StepSpec) -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.submit_single("running", running, 1);
    harness.append_start("running");
    harness.append(Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch: 1,
        attempts: vec![],
        blame: true,
    });
    harness.submit_single("second", second, 1);
    harness.install_full_copy();
    harness
}

fn long_running_step() -> StepSpec {
    StepSpec {
        task: long_running("a"),
        ..StepSpec::default()
    }
}

/// The node must offer the worker and propose the start within the 3 s of the rule LOST in RULES.md.
#[test]
fn a_job_idle_too_long_is_offered_a_worker_on_probation() {
    let cases = [
        (long_running_step(), long_running_step()),
        (StepSpec::default(), StepSpec::default()),
        (StepSpec::default(), long_running_step()),
    ];
    for (running, second) in cases {
        let mut harness = second_job_on_probation(running, second);
        assert_eq!(harness.pass_time(1000, &["running"]), Vec::<String>::new());
        assert_eq!(harness.pass_time(2000, &["running"]), ["second"]);
    }
}
