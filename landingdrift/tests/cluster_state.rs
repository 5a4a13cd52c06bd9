//! `ClusterState::apply` enforces its rules regardless of the proposer.

mod cluster_state_fixture;

use cluster_state_fixture::{task, StateFixture};
use landingdrift::state::{
    AttemptState, Command, JobSpec, Outcome, Rejection, TaskSpec, WorkerInfo,
};
use serde_json::json;

#[test]
fn a_start_that_violates_a_rule_is_rejected() {
    let mut fixture = StateFixture::new();
    let at = fixture.at;
    fixture
        .submit(
            "j",
            vec![
                task("a"),
                TaskSpec {
                    depends_on: vec!["a".into()],
                    ..task("b")
                },
                TaskSpec {
                    due: at + 5000,
                    ..task("c")
                },
                TaskSpec {
                    labels: vec!["m".into()],
                    ..task("d")
                },
            ],
        )
        .expect("accepted");
    assert_eq!(
        fixture.start("none", &[(0, "w")]),
        Err(Rejection::Unknown {
            what: "job 'none'".into()
        })
    );
    assert_eq!(fixture.start("j", &[(1, "w")]), Err(Rejection::Waiting));
    assert_eq!(fixture.start("j", &[(2, "w")]), Err(Rejection::NotDue));
    assert!(matches!(
        fixture.start("j", &[(3, "w")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    assert_eq!(
        fixture.start_under("j", &[(0, "w")], 1, 1, false),
        Err(Rejection::StaleLease)
    );
    assert_eq!(
        fixture.start_under("j", &[(0, "w")], 2, 9, false),
        Err(Rejection::StaleLease)
    );
    assert_eq!(
        fixture.start("j", &[(0, "w"), (0, "v")]),
        Err(Rejection::AlreadyRunning)
    );
    fixture.start("j", &[(0, "w")]).expect("placed");
    assert_eq!(
        fixture.start("j", &[(0, "v")]),
        Err(Rejection::AlreadyRunning)
    );
    fixture.submit("k", vec![task("a")]).expect("accepted");
    assert_eq!(
        fixture.start("k", &[(0, "w")]),
        Err(Rejection::InsufficientResources)
    );
    fixture.update_worker("v", 1, true);
    assert!(matches!(
        fixture.start("k", &[(0, "v")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    fixture.update_worker("v", 2, false);
    fixture.apply_ok(Command::UpdateConfig {
        change: "drain".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"zones": {"z": {"state": "draining"}}}),
    });
    assert!(matches!(
        fixture.start("k", &[(0, "v")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    fixture.apply_ok(Command::CancelJob { job: "k".into() });
    assert_eq!(fixture.start("k", &[(0, "v")]), Err(Rejection::Ended));
}

#[test]
fn gangs_are_placed_completely_and_restarted_together() {
    let mut fixture = StateFixture::new();
    let gang = |n: &str| TaskSpec {
        gang: "g".into(),
        ..task(n)
    };
    fixture
        .submit("j", vec![gang("a"), gang("b")])
        .expect("accepted");
    assert_eq!(
        fixture.start("j", &[(0, "w")]),
        Err(Rejection::GangIncomplete)
    );
    assert_eq!(
        fixture.start("j", &[(0, "w"), (1, "w")]),
        Err(Rejection::InsufficientResources),
        "all or none"
    );
    assert!(fixture.state.live.is_empty());
    fixture
        .start("j", &[(0, "w"), (1, "v")])
        .expect("the whole gang placed");
    fixture.report_end("v", 2, Outcome::Failed);
    let kept = &fixture.state.jobs["j"].tasks[0].attempts[0];
    assert!(
        kept.stop && kept.state == AttemptState::Ordered,
        "the other member is stopped"
    );
    fixture.report_end("w", 1, Outcome::NeverStarted);
    fixture
        .start("j", &[(0, "w"), (1, "v")])
        .expect("the whole gang restarts");
}

#[test]
fn an_error_about_an_invalid_job_contains_the_field() {
    let read = |json: serde_json::Value| {
        JobSpec::read(json.to_string().as_bytes()).and_then(|spec| spec.check().map(|_| spec))
    };
    let path_of_error = |task: serde_json::Value| {
        read(json!({"id": "j", "queue": "q", "tasks": [task]})).map_err(|e| e.path)
    };
    assert_eq!(
        path_of_error(json!({"name": "a", "service": "s", "room": "big"})),
        Err("tasks[0].room".into())
    );
    assert_eq!(
        path_of_error(json!({"name": "a", "service": "s", "room": 1, "colour": 1})),
        Err("tasks[0].colour".into())
    );
    assert_eq!(
        path_of_error(json!({"name": "a", "service": "s", "room": 0})),
        Err("tasks[0].room".into())
    );
    assert_eq!(
        path_of_error(json!({"name": "a", "service": "s", "room": 1, "dependsOn": ["b"]})),
        Err("tasks[0].dependsOn".into())
    );
    let task_json = |name: &str, depends_on: &[&str], gang: &str| json!({"name": name, "service": "s", "room": 1, "dependsOn": depends_on, "gang": gang});
    let remedy_of_error = |tasks: Vec<serde_json::Value>| {
        read(json!({"id": "j", "queue": "q", "tasks": tasks})).map_err(|e| e.remedy)
    };
    assert!(
        remedy_of_error(vec![task_json("a", &["b"], ""), task_json("b", &["a"], "")])
            .is_err_and(|r| r.contains("circle"))
    );
    assert!(
        remedy_of_error(vec![task_json("a", &[], "g"), task_json("b", &["a"], "g")])
            .is_err_and(|r| r.contains("gang"))
    );
    assert!(remedy_of_error(vec![
        task_json("a", &[], "g"),
        task_json("x", &["a"], ""),
        task_json("b", &["x"], "g")
    ])
    .is_err_and(|r| r.contains("gang")));
    assert!(
        remedy_of_error(vec![task_json("a", &[], ""), task_json("a", &[], "")])
            .is_err_and(|r| r.contains("name"))
    );
}

#[test]
fn failures_put_a_worker_on_probation_and_successes_end_it() {
    let mut fixture = StateFixture::new();
    fixture.apply_ok(Command::UpdateConfig {
        change: "more".into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"tries": 100, "quota": 100}}}),
    });
    let mut no = 0;
    let mut run = |fixture: &mut StateFixture, worker: &str, outcome: Outcome| {
        no += 1;
        fixture
            .submit(
                &format!("j{no}"),
                vec![TaskSpec {
                    cpu: 1,
                    ..task("a")
                }],
            )
            .expect("accepted");
        fixture
            .start(&format!("j{no}"), &[(0, worker)])
            .expect("placed");
        fixture.report_end(worker, no, outcome);
    };
    (0..8).for_each(|_| run(&mut fixture, "v", Outcome::Succeeded));
    (0..3).for_each(|_| run(&mut fixture, "w", Outcome::Failed));
    assert_eq!(
        fixture.state.workers["w"].probation, 0,
        "three failures are too few for probation"
    );
    run(&mut fixture, "w", Outcome::Failed);
    assert!(fixture.state.workers["w"].probation > 0 && fixture.state.workers["v"].probation == 0);
    // On probation the worker gets one attempt at a time, until three successes in a row.
    fixture
        .submit(
            "x",
            vec![
                TaskSpec {
                    cpu: 1,
                    ..task("a")
                },
                TaskSpec {
                    cpu: 1,
                    ..task("b")
                },
            ],
        )
        .expect("accepted");
    fixture.start("x", &[(0, "w")]).expect("one");
    assert!(matches!(
        fixture.start("x", &[(1, "w")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    fixture.report_end("w", 13, Outcome::Succeeded);
    no = 13;
    let mut run = |fixture: &mut StateFixture, outcome: Outcome| {
        no += 1;
        fixture
            .submit(
                &format!("k{no}"),
                vec![TaskSpec {
                    cpu: 1,
                    ..task("a")
                }],
            )
            .expect("accepted");
        fixture
            .start(&format!("k{no}"), &[(0, "w")])
            .expect("placed");
        fixture.report_end("w", no, outcome);
    };
    run(&mut fixture, Outcome::Succeeded);
    assert!(fixture.state.workers["w"].probation > 0);
    run(&mut fixture, Outcome::Succeeded);
    assert_eq!(fixture.state.workers["w"].probation, 0);
}

#[test]
fn unstarted_attempts_are_stopped_on_a_worker_that_no_longer_fits() {
    let update_worker_command = |cpu, labels: &[&str]| Command::UpdateWorker {
        info: WorkerInfo {
            worker: "w".into(),
            incarnation: 1,
            service: "s".into(),
            labels: labels.iter().map(ToString::to_string).collect(),
            zone: "z".into(),
            cpu,
            ..WorkerInfo::default()
        },
        zone_epoch: 1,
    };
    for (cpu, labels, stops) in [
        (4, vec!["l"], false),
        (4, vec![], true),
        (2, vec!["l"], true),
    ] {
        let mut fixture = StateFixture::new();
        let needs = TaskSpec {
            labels: vec!["l".into()],
            ..task("a")
        };
        fixture.submit("j", vec![needs]).expect("accepted");
        fixture.start("j", &[(0, "w")]).expect("started");
        fixture.apply_ok(update_worker_command(cpu, &labels));
        assert_eq!(
            fixture.state.attempt(1).is_some_and(|(_, _, s)| s.stop),
            stops,
            "cpu {cpu}, labels {labels:?}"
        );
    }
}

#[test]
fn jobs_without_due_tasks_are_not_counted_as_runnable() {
    let mut fixture = StateFixture::new();
    let later = TaskSpec {
        due: fixture.at + 60_000,
        ..task("a")
    };
    fixture
        .submit("later", vec![later.clone()])
        .expect("accepted");
    fixture
        .submit(
            "behind",
            vec![
                later,
                TaskSpec {
                    depends_on: vec!["a".into()],
                    ..task("b")
                },
            ],
        )
        .expect("accepted");
    assert_eq!(fixture.state.runnable_job_count(fixture.at), 0);
    fixture.submit("now", vec![task("a")]).expect("accepted");
    assert_eq!(fixture.state.runnable_job_count(fixture.at), 1);
    assert_eq!(fixture.state.runnable_job_count(fixture.at + 60_000), 3);
}
