//! Job identities, quotas and configuration changes in the cluster state.

mod cluster_state_fixture;

use cluster_state_fixture::{task, StateFixture};
use landingdrift::state::{ClusterState, Command, JobSpec, JobState, Outcome, Rejection, TaskSpec};
use serde_json::json;

#[test]
fn job_identities_quotas_and_rejected_ids_are_enforced() {
    let mut fixture = StateFixture::new();
    let spec = |id: &str, cpu| JobSpec {
        id: id.into(),
        queue: "q".into(),
        tasks: vec![TaskSpec { cpu, ..task("a") }],
        ..JobSpec::default()
    };
    let seen = fixture.state.applied_index;
    fixture.apply_ok(Command::SubmitJob {
        spec: spec("j", 3),
        hash: 1,
        seen,
    });
    assert_eq!(
        fixture.apply(Command::SubmitJob {
            spec: spec("j", 3),
            hash: 1,
            seen
        }),
        Ok(json!({"known": true}))
    );
    assert_eq!(
        fixture.apply(Command::SubmitJob {
            spec: spec("j", 2),
            hash: 2,
            seen
        }),
        Err(Rejection::BodyMismatch)
    );
    fixture.apply_ok(Command::SubmitJob {
        spec: spec("k", 3),
        hash: 1,
        seen,
    });
    fixture.apply_ok(Command::SubmitJob {
        spec: spec("l", 3),
        hash: 1,
        seen,
    });
    assert_eq!(
        fixture.apply(Command::SubmitJob {
            spec: spec("m", 3),
            hash: 1,
            seen
        }),
        Err(Rejection::OverQuota { quota: 3 })
    );
    fixture.apply_ok(Command::CancelJob { job: "k".into() });
    // An older request with the same id, received by another node before the rejection, is rejected.
    assert_eq!(
        fixture.apply(Command::SubmitJob {
            spec: spec("m", 3),
            hash: 1,
            seen
        }),
        Err(Rejection::PreviouslyRejected)
    );
    let seen = fixture.state.applied_index;
    fixture.apply_ok(Command::SubmitJob {
        spec: spec("m", 3),
        hash: 1,
        seen,
    });
    assert!(matches!(
        fixture.apply(Command::SubmitJob {
            spec: spec("n", 99),
            hash: 1,
            seen
        }),
        Err(Rejection::Invalid { .. })
    ));
    // The identity of a job outlives its retention, but not forever.
    fixture.at += 70_000;
    fixture.apply_ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 100_000,
    });
    assert!(!fixture.state.jobs.contains_key("k") && fixture.state.tombstones.contains_key("k"));
    assert_eq!(
        fixture.apply(Command::SubmitJob {
            spec: spec("k", 2),
            hash: 2,
            seen
        }),
        Err(Rejection::BodyMismatch)
    );
    fixture.at += 200_000;
    fixture.apply_ok(Command::CollectGarbage {
        retain_ms: 60_000,
        identity_ms: 100_000,
    });
    assert!(fixture.state.tombstones.is_empty());
}

#[test]
fn of_two_conflicting_changes_one_wins_and_a_retry_gets_the_same_result() {
    let mut fixture = StateFixture::new();
    let change = |id: &str, base: u64, note: &str| Command::UpdateConfig {
        change: id.into(),
        base_version: base,
        is_patch: true,
        version: 0,
        value: json!({"notes": {"n": note}}),
    };
    fixture.apply_ok(change("a", 1, "x"));
    assert_eq!(
        fixture.apply(change("b", 1, "y")),
        Err(Rejection::VersionConflict { current: 2 })
    );
    assert_eq!(fixture.apply_ok(change("a", 1, "x"))["version"], 2);
    assert_eq!(
        fixture.apply(change("a", 1, "z")),
        Err(Rejection::BodyMismatch)
    );
    let wrong = fixture.apply(Command::UpdateConfig {
        change: "c".into(),
        base_version: 2,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": {"tries": "many"}}}),
    });
    assert!(
        matches!(&wrong, Err(Rejection::Invalid { path, .. }) if path == "queues.q.tries"),
        "{wrong:?}"
    );
    assert_eq!(fixture.state.version, 2);
    let bytes = fixture.state.pack();
    assert_eq!(
        ClusterState::unpack(&bytes).as_ref(),
        Ok(&fixture.state),
        "the packed state is complete"
    );
}

#[test]
fn a_queue_with_unfinished_jobs_is_not_removed_without_retire_queues() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    let remove_queue = |change: &str| Command::UpdateConfig {
        change: change.into(),
        base_version: 1,
        is_patch: true,
        version: 0,
        value: json!({"queues": {"q": null}}),
    };
    let rejected = fixture.apply(remove_queue("a"));
    assert!(
        matches!(&rejected, Err(Rejection::Invalid { path, .. }) if path == "queues.q"),
        "{rejected:?}"
    );
    fixture.apply_ok(Command::CancelJob { job: "j".into() });
    fixture.apply_ok(remove_queue("b"));
}

#[test]
fn a_lowered_maximum_number_of_attempts_fails_exhausted_tasks_and_stops_unstarted_attempts() {
    let mut fixture = StateFixture::new();
    fixture.submit("idle", vec![task("a")]).expect("accepted");
    fixture
        .submit("under-way", vec![task("a")])
        .expect("accepted");
    fixture.start("idle", &[(0, "w")]).expect("started");
    fixture.report_end("w", 1, Outcome::Failed);
    fixture.start("under-way", &[(0, "v")]).expect("started");
    fixture.report_end("v", 2, Outcome::Failed);
    fixture
        .start("under-way", &[(0, "v")])
        .expect("started again");
    let value = json!({"queues": {"q": {"tries": 1}}});
    let lower = |base| Command::UpdateConfig {
        change: format!("lower-{base}"),
        base_version: base,
        is_patch: true,
        version: 0,
        value: value.clone(),
    };
    fixture.apply_ok(lower(1));
    assert_eq!(fixture.job_state("idle"), JobState::Failed);
    assert!(
        fixture.state.attempt(3).is_some_and(|(_, _, s)| s.stop),
        "the unstarted attempt is stopped"
    );
    fixture.report_end("v", 3, Outcome::NeverStarted);
    assert_eq!(fixture.job_state("under-way"), JobState::Failed);
}

/// A configuration with two queues that share a prefix, on the given hosts.
fn two_queues(hosts: [&str; 2]) -> serde_json::Value {
    let queue = |host: &str| json!({"tries": 1, "quota": 1, "windowMs": 1000, "unsureBoundMs": 1000, "service": "s", "host": host, "prefix": "/p/"});
    json!({"queues": {"one": queue(hosts[0]), "other": queue(hosts[1])}, "services": {"s": {"taskRoom": 1, "gangRoom": 1}}})
}

#[test]
fn two_queues_whose_hosts_differ_only_in_spelling_are_rejected() {
    for other in ["HOST.example", "host.example:80", "Host.Example:8080"] {
        let read = landingdrift::config::read(&two_queues(["host.example", other]));
        let rejected = read.expect_err(other);
        assert_eq!(rejected.path(), "queues.other.prefix", "{other}");
    }
    let read = landingdrift::config::read(&two_queues(["host.example", "host.example.org"]));
    read.expect("two different hosts");
}
