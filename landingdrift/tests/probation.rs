//! Workers on probation prove themselves by tasks that end, whatever runs on them that doesn't.

mod cluster_state_fixture;

use cluster_state_fixture::{task, Desk};
use landingdrift::state::{Command, Rejection, TaskSpec};

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

#[test]
fn a_worker_on_probation_gets_no_second_long_running_task() {
    let mut desk = on_probation();
    desk.accept("more", vec![lasting("a")]).expect("accepted");
    let second = desk.start("more", &[(0, "w")]);
    assert!(
        matches!(second, Err(Rejection::UnsuitableWorker { .. })),
        "{second:?}"
    );
}
