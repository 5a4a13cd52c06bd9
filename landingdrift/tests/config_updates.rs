//! Identities, quotas and changes of configuration in the cluster state.

mod cluster_state_fixture;

use cluster_state_fixture::{task, Desk};
use landingdrift::state::{ClusterState, Command, JobSpec, JobState, Outcome, Rejection, TaskSpec};
use serde_json::json;

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

/// A configuration with two queues on one prefix.
fn two_queues(hosts: [&str; 2]) -> serde_json::Value {
    let queue = |host: &str| json!({"tries": 1, "quota": 1, "windowMs": 1000, "unsureBoundMs": 1000, "service": "s", "host": host, "prefix": "/p/"});
    json!({"queues": {"one": queue(hosts[0]), "other": queue(hosts[1])}, "services": {"s": {"taskRoom": 1, "gangRoom": 1}}})
}

#[test]
fn two_queues_whose_hosts_differ_only_in_spelling_are_refused() {
    for other in ["HOST.example", "host.example:80", "Host.Example:8080"] {
        let read = landingdrift::config::read(&two_queues(["host.example", other]));
        let refused = read.expect_err(other);
        assert_eq!(refused.path(), "queues.other.prefix", "{other}");
    }
    let read = landingdrift::config::read(&two_queues(["host.example", "host.example.org"]));
    read.expect("these are two hosts");
}
