//! The cluster state disposes: whatever a stale, frozen or confused node proposes, no rule is broken in `apply`.

mod cluster_state_fixture;

use cluster_state_fixture::{task, Desk};
use landingdrift::state::{
    AttemptState, Command, JobSpec, Outcome, Rejection, TaskSpec, WorkerInfo,
};
use serde_json::json;

#[test]
fn a_start_that_breaks_a_rule_is_refused() {
    let mut d = Desk::new();
    let at = d.at;
    d.accept(
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
        d.start("none", &[(0, "w")]),
        Err(Rejection::Unknown {
            what: "job 'none'".into()
        })
    );
    assert_eq!(d.start("j", &[(1, "w")]), Err(Rejection::Waiting));
    assert_eq!(d.start("j", &[(2, "w")]), Err(Rejection::NotDue));
    assert!(matches!(
        d.start("j", &[(3, "w")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    assert_eq!(
        d.start_as("j", &[(0, "w")], 1, 1, false),
        Err(Rejection::StaleLease)
    );
    assert_eq!(
        d.start_as("j", &[(0, "w")], 2, 9, false),
        Err(Rejection::StaleLease)
    );
    assert_eq!(
        d.start("j", &[(0, "w"), (0, "v")]),
        Err(Rejection::AlreadyRunning)
    );
    d.start("j", &[(0, "w")]).expect("placed");
    assert_eq!(d.start("j", &[(0, "v")]), Err(Rejection::AlreadyRunning));
    d.accept("k", vec![task("a")]).expect("accepted");
    assert_eq!(
        d.start("k", &[(0, "w")]),
        Err(Rejection::InsufficientResources)
    );
    d.info("v", 1, true);
    assert!(matches!(
        d.start("k", &[(0, "v")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    d.info("v", 2, false);
    d.ok(Command::UpdateConfig {
        change: "drain".into(),
        base: 1,
        patch: true,
        number: 0,
        value: json!({"zones": {"z": {"state": "draining"}}}),
    });
    assert!(matches!(
        d.start("k", &[(0, "v")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    d.ok(Command::CancelJob { job: "k".into() });
    assert_eq!(d.start("k", &[(0, "v")]), Err(Rejection::Ended));
}

#[test]
fn gangs_are_placed_whole_and_none_waits_alone() {
    let mut d = Desk::new();
    let gang = |n: &str| TaskSpec {
        gang: "g".into(),
        ..task(n)
    };
    d.accept("j", vec![gang("a"), gang("b")]).expect("accepted");
    assert_eq!(d.start("j", &[(0, "w")]), Err(Rejection::GangIncomplete));
    assert_eq!(
        d.start("j", &[(0, "w"), (1, "w")]),
        Err(Rejection::InsufficientResources),
        "all or none"
    );
    assert!(d.r.live.is_empty());
    d.start("j", &[(0, "w"), (1, "v")]).expect("placed whole");
    d.end("v", 2, Outcome::Failed);
    let kept = &d.r.jobs["j"].tasks[0].attempts[0];
    assert!(
        kept.stop && kept.state == AttemptState::Ordered,
        "its partner is called back"
    );
    d.end("w", 1, Outcome::NeverStarted);
    d.start("j", &[(0, "w"), (1, "v")])
        .expect("the whole gang again");
}

#[test]
fn jobs_that_can_never_run_are_named() {
    let read = |v: serde_json::Value| {
        JobSpec::read(v.to_string().as_bytes()).and_then(|s| s.check().map(|_| s))
    };
    let one = |t: serde_json::Value| {
        read(json!({"id": "j", "queue": "q", "tasks": [t]})).map_err(|e| e.path)
    };
    assert_eq!(
        one(json!({"name": "a", "service": "s", "room": "big"})),
        Err("tasks[0].room".into())
    );
    assert_eq!(
        one(json!({"name": "a", "service": "s", "room": 1, "colour": 1})),
        Err("tasks[0].colour".into())
    );
    assert_eq!(
        one(json!({"name": "a", "service": "s", "room": 0})),
        Err("tasks[0].room".into())
    );
    assert_eq!(
        one(json!({"name": "a", "service": "s", "room": 1, "dependsOn": ["b"]})),
        Err("tasks[0].dependsOn".into())
    );
    let t = |n: &str, d: &[&str], g: &str| json!({"name": n, "service": "s", "room": 1, "dependsOn": d, "gang": g});
    let many = |of: Vec<serde_json::Value>| {
        read(json!({"id": "j", "queue": "q", "tasks": of})).map_err(|e| e.remedy)
    };
    assert!(many(vec![t("a", &["b"], ""), t("b", &["a"], "")]).is_err_and(|r| r.contains("circle")));
    assert!(many(vec![t("a", &[], "g"), t("b", &["a"], "g")]).is_err_and(|r| r.contains("gang")));
    assert!(many(vec![
        t("a", &[], "g"),
        t("x", &["a"], ""),
        t("b", &["x"], "g")
    ])
    .is_err_and(|r| r.contains("gang")));
    assert!(many(vec![t("a", &[], ""), t("a", &[], "")]).is_err_and(|r| r.contains("name")));
}

#[test]
fn evidence_puts_a_quiet_failer_on_probation_and_takes_it_off() {
    let mut d = Desk::new();
    d.ok(Command::UpdateConfig {
        change: "more".into(),
        base: 1,
        patch: true,
        number: 0,
        value: json!({"queues": {"q": {"tries": 100, "quota": 100}}}),
    });
    let mut no = 0;
    let mut run = |d: &mut Desk, worker: &str, outcome: Outcome| {
        no += 1;
        d.accept(
            &format!("j{no}"),
            vec![TaskSpec {
                cpu: 1,
                ..task("a")
            }],
        )
        .expect("accepted");
        d.start(&format!("j{no}"), &[(0, worker)]).expect("placed");
        d.end(worker, no, outcome);
    };
    (0..8).for_each(|_| run(&mut d, "v", Outcome::Succeeded));
    (0..3).for_each(|_| run(&mut d, "w", Outcome::Failed));
    assert_eq!(d.r.workers["w"].probation, 0, "three are too few to tell");
    run(&mut d, "w", Outcome::Failed);
    assert!(d.r.workers["w"].probation > 0 && d.r.workers["v"].probation == 0);
    // One at a time now, and three good ends in a row bring it back.
    d.accept(
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
    d.start("x", &[(0, "w")]).expect("one");
    assert!(matches!(
        d.start("x", &[(1, "w")]),
        Err(Rejection::UnsuitableWorker { .. })
    ));
    d.end("w", 13, Outcome::Succeeded);
    no = 13;
    let mut run = |d: &mut Desk, outcome: Outcome| {
        no += 1;
        d.accept(
            &format!("k{no}"),
            vec![TaskSpec {
                cpu: 1,
                ..task("a")
            }],
        )
        .expect("accepted");
        d.start(&format!("k{no}"), &[(0, "w")]).expect("placed");
        d.end("w", no, outcome);
    };
    run(&mut d, Outcome::Succeeded);
    assert!(d.r.workers["w"].probation > 0);
    run(&mut d, Outcome::Succeeded);
    assert_eq!(d.r.workers["w"].probation, 0);
}

#[test]
fn orders_are_called_back_from_a_worker_that_no_longer_fits() {
    let changed = |cpu, labels: &[&str]| Command::UpdateWorker {
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
        let mut d = Desk::new();
        let needs = TaskSpec {
            labels: vec!["l".into()],
            ..task("a")
        };
        d.accept("j", vec![needs]).expect("accepted");
        d.start("j", &[(0, "w")]).expect("started");
        d.ok(changed(cpu, &labels));
        assert_eq!(
            d.r.attempt(1).is_some_and(|(_, _, s)| s.stop),
            stops,
            "room {cpu}, labels {labels:?}"
        );
    }
}

#[test]
fn jobs_that_wait_for_their_time_share_no_slots() {
    let mut d = Desk::new();
    let later = TaskSpec {
        due: d.at + 60_000,
        ..task("a")
    };
    d.accept("later", vec![later.clone()]).expect("accepted");
    d.accept(
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
    assert_eq!(d.r.runnable(d.at), 0);
    d.accept("now", vec![task("a")]).expect("accepted");
    assert_eq!(d.r.runnable(d.at), 1);
    assert_eq!(d.r.runnable(d.at + 60_000), 3);
}
