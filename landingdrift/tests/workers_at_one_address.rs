//! Workers that are heard at one address: which of them is gone is proved, not guessed from the order of first heartbeats.

mod cluster_state_fixture;

use cluster_state_fixture::{task, Desk};
use landingdrift::state::{AttemptState, Command, Outcome, WorkerInfo};

/// A worker is heard for the first time, at the address that all workers of these tests have.
fn hear(desk: &mut Desk, worker: &str) {
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
    desk.ok(Command::UpdateWorker {
        info,
        zone_epoch: 1,
    });
}

fn report_running(desk: &mut Desk, worker: &str, attempt: u64) {
    desk.ok(Command::ReportAttempts {
        worker: worker.into(),
        incarnation: 1,
        running: vec![attempt],
        ends: vec![],
    });
}

/// Places a job of one task on a worker.
fn place(desk: &mut Desk, job: &str, worker: &str) {
    desk.accept(job, vec![task("a")]).expect("accepted");
    desk.start(job, &[(0, worker)]).expect("started");
}

fn is_live(desk: &Desk, attempt: u64) -> bool {
    desk.r.live.contains_key(&attempt)
}

#[test]
fn a_late_first_heartbeat_of_a_dead_worker_ends_nothing_on_the_living_one() {
    let mut desk = Desk::new();
    hear(&mut desk, "living");
    place(&mut desk, "j", "living");
    report_running(&mut desk, "living", 1);
    hear(&mut desk, "dead");
    assert!(is_live(&desk, 1), "it runs on");
    assert!(!desk.r.workers["living"].lost);
    // What is placed on the dead one meanwhile is freed as soon as the living one proves that it came later.
    place(&mut desk, "k", "dead");
    place(&mut desk, "l", "living");
    report_running(&mut desk, "living", 3);
    assert!(is_live(&desk, 1) && is_live(&desk, 3));
    assert!(!is_live(&desk, 2) && desk.r.workers["dead"].lost);
}

#[test]
fn a_worker_that_reports_a_new_run_proves_that_its_predecessor_is_gone() {
    let mut desk = Desk::new();
    hear(&mut desk, "first");
    place(&mut desk, "j", "first");
    report_running(&mut desk, "first", 1);
    hear(&mut desk, "second");
    place(&mut desk, "k", "second");
    assert!(is_live(&desk, 1), "nothing is proved yet");
    report_running(&mut desk, "second", 2);
    assert!(!is_live(&desk, 1) && is_live(&desk, 2));
    let attempt = &desk.r.jobs["j"].tasks[0].attempts[0];
    assert_eq!(attempt.state, AttemptState::Expired);
}

#[test]
fn a_late_report_of_a_dead_worker_ends_nothing_on_its_successor() {
    let mut desk = Desk::new();
    hear(&mut desk, "first");
    place(&mut desk, "j", "first");
    hear(&mut desk, "second");
    place(&mut desk, "k", "second");
    report_running(&mut desk, "first", 1);
    desk.end("first", 1, Outcome::Succeeded);
    assert!(
        is_live(&desk, 2),
        "the first one got its run before the second was heard"
    );
}
