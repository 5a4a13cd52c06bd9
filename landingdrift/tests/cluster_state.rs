//! The cluster state disposes: whatever a stale, frozen or confused node proposes, no rule is broken in `apply`.

use landingdrift::state::{
    ApplyResult, AttemptState, ClusterState, Command, EndReport, JobSpec, JobState, Outcome,
    Placement, Rejection, TaskSpec, WorkerInfo,
};
use serde_json::json;

/// A cluster state with a node, leases, a configuration and two workers.
struct Desk {
    r: ClusterState,
    n: u64,
    at: u64,
}

impl Desk {
    fn new() -> Self {
        let mut d = Self {
            r: ClusterState::new("c"),
            n: 0,
            at: 1_000_000,
        };
        d.ok(Command::RegisterNode {
            node: "n".into(),
            zone: "z".into(),
            http: "h".into(),
        });
        d.ok(Command::GrantLease {
            lease: "cell/z".into(),
            holder: "n".into(),
            from_epoch: 0,
        });
        d.ok(Command::GrantLease {
            lease: "queue/q".into(),
            holder: "n".into(),
            from_epoch: 0,
        });
        d.ok(Command::UpdateConfig {
            change: "first".into(),
            base: 0,
            patch: false,
            number: 0,
            value: config(2),
        });
        d.info("w", 1, false);
        d.info("v", 1, false);
        d
    }
    fn apply(&mut self, c: Command) -> ApplyResult {
        self.n += 1;
        self.at += 10;
        self.r.apply(self.n, self.at, &c)
    }
    fn ok(&mut self, c: Command) -> serde_json::Value {
        let told = format!("{c:?}");
        self.apply(c).unwrap_or_else(|e| panic!("{told}: {e}"))
    }
    fn info(&mut self, worker: &str, incarnation: u64, leaving: bool) {
        let info = WorkerInfo {
            worker: worker.into(),
            incarnation,
            service: "s".into(),
            labels: ["l".to_string()].into(),
            zone: "z".into(),
            cpu: 4,
            leaving,
            ..WorkerInfo::default()
        };
        self.ok(Command::UpdateWorker {
            info,
            zone_epoch: 1,
        });
    }
    fn accept(&mut self, id: &str, tasks: Vec<TaskSpec>) -> ApplyResult {
        let seen = self.r.applied_index;
        self.apply(Command::AcceptJob {
            spec: JobSpec {
                id: id.into(),
                queue: "q".into(),
                tasks,
                ..JobSpec::default()
            },
            hash: 1,
            seen,
        })
    }
    fn start(&mut self, job: &str, of: &[(u32, &str)]) -> ApplyResult {
        self.start_as(job, of, 2, 1, false)
    }
    fn start_as(
        &mut self,
        job: &str,
        of: &[(u32, &str)],
        owner_epoch: u64,
        zone_epoch: u64,
        copy: bool,
    ) -> ApplyResult {
        let incarnation = |w: &str| self.r.workers.get(w).map_or(0, |w| w.info.incarnation);
        let placements = of
            .iter()
            .map(|(task, w)| Placement {
                task: *task,
                worker: w.to_string(),
                incarnation: incarnation(w),
                zone_epoch,
                copy,
            })
            .collect();
        self.apply(Command::StartAttempts {
            job: job.into(),
            owner_epoch,
            placements,
        })
    }
    fn end(&mut self, worker: &str, no: u64, outcome: Outcome) {
        self.ok(Command::ReportAttempts {
            worker: worker.into(),
            incarnation: 1,
            running: vec![],
            ends: vec![EndReport {
                no,
                outcome,
                ran_ms: 5,
                ..EndReport::default()
            }],
        });
    }
    fn state(&self, job: &str) -> JobState {
        self.r.jobs[job].state
    }
}

fn config(max_attempts: u32) -> serde_json::Value {
    json!({"queues": {"q": {"tries": max_attempts, "quota": 3, "windowMs": 60_000, "unsureBoundMs": 5000, "speculationPercent": 50, "defectAllowancePercent": 100}},
           "services": {"s": {"labels": ["l", "m"], "taskRoom": 4, "gangRoom": 8}}, "zones": {"z": {}}})
}

fn task(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        service: "s".into(),
        cpu: 3,
        ..TaskSpec::default()
    }
}

fn repeatable(name: &str) -> TaskSpec {
    TaskSpec {
        may_repeat: true,
        ..task(name)
    }
}

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
fn identities_quotas_and_refusals_hold() {
    let mut d = Desk::new();
    let spec = |id: &str, cpu| JobSpec {
        id: id.into(),
        queue: "q".into(),
        tasks: vec![TaskSpec { cpu, ..task("a") }],
        ..JobSpec::default()
    };
    let seen = d.r.applied_index;
    d.ok(Command::AcceptJob {
        spec: spec("j", 3),
        hash: 1,
        seen,
    });
    assert_eq!(
        d.apply(Command::AcceptJob {
            spec: spec("j", 3),
            hash: 1,
            seen
        }),
        Ok(json!({"known": true}))
    );
    assert_eq!(
        d.apply(Command::AcceptJob {
            spec: spec("j", 2),
            hash: 2,
            seen
        }),
        Err(Rejection::BodyMismatch)
    );
    d.ok(Command::AcceptJob {
        spec: spec("k", 3),
        hash: 1,
        seen,
    });
    d.ok(Command::AcceptJob {
        spec: spec("l", 3),
        hash: 1,
        seen,
    });
    assert_eq!(
        d.apply(Command::AcceptJob {
            spec: spec("m", 3),
            hash: 1,
            seen
        }),
        Err(Rejection::OverQuota { quota: 3 })
    );
    d.ok(Command::CancelJob { job: "k".into() });
    // An older call of the same id, which was under way elsewhere, can't bring in what was rejected.
    assert_eq!(
        d.apply(Command::AcceptJob {
            spec: spec("m", 3),
            hash: 1,
            seen
        }),
        Err(Rejection::PreviouslyRejected)
    );
    let seen = d.r.applied_index;
    d.ok(Command::AcceptJob {
        spec: spec("m", 3),
        hash: 1,
        seen,
    });
    assert!(matches!(
        d.apply(Command::AcceptJob {
            spec: spec("n", 99),
            hash: 1,
            seen
        }),
        Err(Rejection::Invalid { .. })
    ));
    // Long after its end a job's identity is still known, and not for ever.
    d.at += 70_000;
    d.ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 100_000,
    });
    assert!(!d.r.jobs.contains_key("k") && d.r.tombstones.contains_key("k"));
    assert_eq!(
        d.apply(Command::AcceptJob {
            spec: spec("k", 2),
            hash: 2,
            seen
        }),
        Err(Rejection::BodyMismatch)
    );
    d.at += 200_000;
    d.ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 100_000,
    });
    assert!(d.r.tombstones.is_empty());
}

#[test]
fn of_two_rival_changes_one_wins_and_a_lost_verdict_can_be_asked_for_again() {
    let mut d = Desk::new();
    let change = |id: &str, base: u64, note: &str| Command::UpdateConfig {
        change: id.into(),
        base,
        patch: true,
        number: 0,
        value: json!({"notes": {"n": note}}),
    };
    d.ok(change("a", 1, "x"));
    assert_eq!(
        d.apply(change("b", 1, "y")),
        Err(Rejection::VersionConflict { current: 2 })
    );
    assert_eq!(d.ok(change("a", 1, "x"))["version"], 2);
    assert_eq!(d.apply(change("a", 1, "z")), Err(Rejection::BodyMismatch));
    let wrong = d.apply(Command::UpdateConfig {
        change: "c".into(),
        base: 2,
        patch: true,
        number: 0,
        value: json!({"queues": {"q": {"tries": "many"}}}),
    });
    assert!(
        matches!(&wrong, Err(Rejection::Invalid { path, .. }) if path == "queues.q.tries"),
        "{wrong:?}"
    );
    assert_eq!(d.r.version, 2);
    let bytes = d.r.pack();
    assert_eq!(
        ClusterState::unpack(&bytes).as_ref(),
        Ok(&d.r),
        "a capture holds all of it"
    );
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
fn a_queue_that_holds_unfinished_jobs_is_not_removed() {
    let mut d = Desk::new();
    d.accept("j", vec![task("a")]).expect("accepted");
    let without = |change: &str| Command::UpdateConfig {
        change: change.into(),
        base: 1,
        patch: true,
        number: 0,
        value: json!({"queues": {"q": null}}),
    };
    let refused = d.apply(without("a"));
    assert!(
        matches!(&refused, Err(Rejection::Invalid { path, .. }) if path == "queues.q"),
        "{refused:?}"
    );
    d.ok(Command::CancelJob { job: "j".into() });
    d.ok(without("b"));
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
fn a_lowered_limit_of_tries_ends_what_is_spent_and_recalls_what_has_not_started() {
    let mut d = Desk::new();
    d.accept("idle", vec![task("a")]).expect("accepted");
    d.accept("under-way", vec![task("a")]).expect("accepted");
    d.start("idle", &[(0, "w")]).expect("started");
    d.end("w", 1, Outcome::Failed);
    d.start("under-way", &[(0, "v")]).expect("started");
    d.end("v", 2, Outcome::Failed);
    d.start("under-way", &[(0, "v")]).expect("started again");
    let value = json!({"queues": {"q": {"tries": 1}}});
    let lower = |base| Command::UpdateConfig {
        change: format!("lower-{base}"),
        base,
        patch: true,
        number: 0,
        value: value.clone(),
    };
    d.ok(lower(1));
    assert_eq!(d.state("idle"), JobState::Failed);
    assert!(
        d.r.attempt(3).is_some_and(|(_, _, s)| s.stop),
        "an order that has not started is called back"
    );
    d.end("v", 3, Outcome::NeverStarted);
    assert_eq!(d.state("under-way"), JobState::Failed);
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
