//! Several workers at one address: a worker is considered gone only on proof. The order of first heartbeats is no
//! proof, since heartbeats may be delayed.

mod cluster_state_fixture;

use cluster_state_fixture::{task, StateFixture};
use landingdrift::state::{AttemptState, Command, Outcome, WorkerInfo};

/// Registers a worker at 10.0.0.9:8080, the address of all workers in this file.
fn register(fixture: &mut StateFixture, worker: &str) {
    let info = WorkerInfo {
        worker: worker.into(),
        incarnation: 1,
        service: "s".into(),
        labels: ["l".to_string()].into(),
        zone: "z".into(),
        address: "10.0.0.9:8080".into(),
        cpu: 8,
        ..WorkerInfo::default()
    };
    fixture.apply_ok(Command::UpdateWorker {
        info,
        zone_epoch: 1,
    });
}

fn report_running(fixture: &mut StateFixture, worker: &str, attempt: u64) {
    fixture.apply_ok(Command::ReportAttempts {
        worker: worker.into(),
        incarnation: 1,
        running: vec![attempt],
        ends: vec![],
    });
}

/// Places a job of one task on a worker.
fn place(fixture: &mut StateFixture, job: &str, worker: &str) {
    fixture.submit(job, vec![task("a")]).expect("accepted");
    fixture.start(job, &[(0, worker)]).expect("started");
}

fn is_live(fixture: &StateFixture, attempt: u64) -> bool {
    fixture.state.live.contains_key(&attempt)
}

#[test]
fn a_late_first_heartbeat_of_a_dead_worker_does_not_end_attempts_of_the_current_worker() {
    let mut fixture = StateFixture::new();
    register(&mut fixture, "current");
    place(&mut fixture, "j", "current");
    report_running(&mut fixture, "current", 1);
    register(&mut fixture, "dead");
    assert!(
        is_live(&fixture, 1),
        "the attempt of the current worker goes on"
    );
    assert!(!fixture.state.workers["current"].lost);
    // An attempt placed on the dead worker expires as soon as the current one proves that it ran later.
    place(&mut fixture, "k", "dead");
    place(&mut fixture, "l", "current");
    report_running(&mut fixture, "current", 3);
    assert!(is_live(&fixture, 1) && is_live(&fixture, 3));
    assert!(!is_live(&fixture, 2) && fixture.state.workers["dead"].lost);
}

#[test]
fn a_worker_that_reports_a_new_run_proves_that_its_predecessor_is_gone() {
    let mut fixture = StateFixture::new();
    register(&mut fixture, "first");
    place(&mut fixture, "j", "first");
    report_running(&mut fixture, "first", 1);
    register(&mut fixture, "second");
    place(&mut fixture, "k", "second");
    assert!(is_live(&fixture, 1), "no proof yet");
    report_running(&mut fixture, "second", 2);
    assert!(!is_live(&fixture, 1) && is_live(&fixture, 2));
    let attempt = &fixture.state.jobs["j"].tasks[0].attempts[0];
    assert_eq!(attempt.state, AttemptState::Expired);
}

#[test]
fn a_late_report_of_a_dead_worker_does_not_end_attempts_of_its_successor() {
    let mut fixture = StateFixture::new();
    register(&mut fixture, "first");
    place(&mut fixture, "j", "first");
    register(&mut fixture, "second");
    place(&mut fixture, "k", "second");
    report_running(&mut fixture, "first", 1);
    fixture.report_end("first", 1, Outcome::Succeeded);
    assert!(
        is_live(&fixture, 2),
        "the attempt of the first worker was placed before the second registered"
    );
}
