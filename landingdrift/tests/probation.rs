//! Workers on probation prove themselves by tasks that end, whatever runs on them that doesn't, and keep nobody waiting.

mod cluster_state_fixture;
mod node_harness;

use cluster_state_fixture::{task, Desk};
use landingdrift::state::{Command, Rejection, StepSpec, TaskSpec};
use node_harness::NodeHarness;

/// How long a job may have nothing running before probation doesn't hold against it, in milliseconds.
const MAX_IDLE_MS: u64 = 2000;

fn small(name: &str) -> TaskSpec {
    TaskSpec {
        cpu: 1,
        ..task(name)
    }
}

fn lasting(name: &str) -> TaskSpec {
    TaskSpec {
        long_running: true,
        ..small(name)
    }
}

/// A worker on probation on which a long-running task goes on.
fn on_probation() -> Desk {
    let mut desk = Desk::new();
    desk.accept("lasting", vec![lasting("a")])
        .expect("accepted");
    desk.start("lasting", &[(0, "w")]).expect("started");
    desk.ok(Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch: 1,
        attempts: vec![],
        blame: true,
    });
    assert!(desk.r.workers["w"].probation > 0);
    desk
}

#[test]
fn a_worker_on_probation_gets_work_beside_a_long_running_task() {
    let mut desk = on_probation();
    desk.accept("j", vec![small("a"), small("b")])
        .expect("accepted");
    desk.start("j", &[(0, "w")])
        .expect("it proves itself by this one");
    let second = desk.start("j", &[(1, "w")]);
    assert!(
        matches!(second, Err(Rejection::UnsuitableWorker { .. })),
        "one at a time: {second:?}"
    );
}

/// Guards against LOST: jobs of one long-running task each, of which none but the first ever started on a worker on
/// probation. Before that the limit holds, which RULES.md, LOST, allows: it counts "for 3 s, a job has nothing running".
#[test]
fn a_worker_on_probation_gets_a_second_long_running_task_once_its_job_is_idle_for_long() {
    let mut desk = on_probation();
    desk.accept("more", vec![lasting("a")]).expect("accepted");
    let early = desk.start("more", &[(0, "w")]);
    assert!(
        matches!(early, Err(Rejection::UnsuitableWorker { .. })),
        "{early:?}"
    );
    desk.at += MAX_IDLE_MS;
    desk.start("more", &[(0, "w")])
        .expect("it has been idle for too long");
}

/// The refusal at the end is one that RULES.md, LOST, allows: it counts while "a job has nothing running".
#[test]
fn a_worker_on_probation_gets_work_of_an_idle_job_beside_work_that_ends() {
    let mut desk = on_probation();
    desk.accept("j", vec![small("a")]).expect("accepted");
    desk.start("j", &[(0, "w")])
        .expect("it proves itself by this one");
    desk.accept("k", vec![small("a"), small("b")])
        .expect("accepted");
    desk.at += MAX_IDLE_MS;
    desk.start("k", &[(0, "w")])
        .expect("it has been idle for too long");
    let second = desk.start("k", &[(1, "w")]);
    assert!(
        matches!(second, Err(Rejection::UnsuitableWorker { .. })),
        "it has something running now: {second:?}"
    );
}

/// RULES.md, LOST, allows the wait: it counts while "less than half of the service's room is in use".
#[test]
fn in_a_busy_service_a_worker_on_probation_gets_one_task_at_a_time() {
    let mut desk = on_probation();
    let wide = TaskSpec {
        cpu: 4,
        ..task("b")
    };
    desk.accept("j", vec![small("a"), wide]).expect("accepted");
    desk.start("j", &[(0, "w"), (1, "v")])
        .expect("it proves itself by the first one");
    desk.accept("k", vec![small("a")]).expect("accepted");
    desk.at += 10 * MAX_IDLE_MS;
    let beside = desk.start("k", &[(0, "w")]);
    assert!(
        matches!(beside, Err(Rejection::UnsuitableWorker { .. })),
        "six of eight units are in use: {beside:?}"
    );
}

/// Puts the only worker of the harness on probation while a job goes on there; another job comes.
fn second_job_on_probation(running: StepSpec, second: StepSpec) -> NodeHarness {
    let mut harness = NodeHarness::new();
    harness.accept_single("running", running, 1);
    harness.append_start("running");
    harness.append(Command::RescheduleAttempts {
        worker: "w".into(),
        zone_epoch: 1,
        attempts: vec![],
        blame: true,
    });
    harness.accept_single("second", second, 1);
    harness.follow();
    harness
}

fn lasting_step() -> StepSpec {
    StepSpec {
        task: lasting("a"),
        ..StepSpec::default()
    }
}

/// Guards against LOST: the same by the node's own offers and proposals, within the 3 s of the rule.
#[test]
fn a_job_idle_for_long_is_offered_a_worker_on_probation() {
    let cases = [
        (lasting_step(), lasting_step()),
        (StepSpec::default(), StepSpec::default()),
        (StepSpec::default(), lasting_step()),
    ];
    for (running, second) in cases {
        let mut harness = second_job_on_probation(running, second);
        assert_eq!(harness.pass_time(1000, &["running"]), Vec::<String>::new());
        assert_eq!(harness.pass_time(2000, &["running"]), ["second"]);
    }
}
