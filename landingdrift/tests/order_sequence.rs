//! The cluster state recognizes commands that were given before one that has been applied, on every kind of copy and within
//! bounded memory.

mod cluster_state_fixture;

use cluster_state_fixture::{repeatable, task, StateFixture};
use landingdrift::state::{
    ApplyResult, ClusterState, Command, JobSpec, JobState, Order, ProposalId, Rejection,
    MAX_SUBJECTS,
};

impl StateFixture {
    /// Applies an order that was received when its node knew the log up to `seen`.
    fn order(&mut self, action: Command, seen: u64) -> ApplyResult {
        let order = Order {
            action: Box::new(action),
            proposal: ProposalId {
                number: self.last_index,
                ..ProposalId::default()
            },
            deadline: u64::MAX,
        };
        self.apply(Command::ReceivedOrder { order, seen })
    }

    /// Starts the task `a` of job `j` on a worker and lets the worker be lost; the task's outcome is then unknown.
    fn lose_task_on(&mut self, worker: &str) {
        self.start("j", &[(0, worker)]).expect("started");
        self.apply_ok(Command::MarkWorkerLost {
            worker: worker.into(),
            incarnation: 1,
            zone_epoch: 1,
        });
    }
}

fn resolve(succeeded: bool) -> Command {
    Command::ResolveTask {
        job: "j".into(),
        task: "a".into(),
        succeeded,
    }
}

/// Guards against an operator's corrected resolution that is undone by the first one, which waited: the task has been
/// restarted since, and the first one would end it as successful.
#[test]
fn a_resolution_that_waited_does_not_end_a_task_that_was_resolved_and_restarted_later() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    fixture.lose_task_on("w");
    let seen = fixture.last_index;
    fixture.order(resolve(false), seen).expect("resolved");
    fixture.lose_task_on("v");
    let result = fixture.order(resolve(true), seen);
    assert!(
        matches!(result, Err(Rejection::Overtaken { .. })),
        "{result:?}"
    );
    assert_ne!(fixture.job_state("j"), JobState::Done);
    let seen = fixture.last_index;
    fixture.order(resolve(true), seen).expect("sent again");
    assert_eq!(fixture.job_state("j"), JobState::Done);
}

/// Guards against an older description of a worker that waited, reaches the state after an acknowledged departure, and makes the
/// worker get work again.
#[test]
fn a_description_that_waited_does_not_undo_an_acknowledged_departure() {
    let mut fixture = StateFixture::new();
    fixture.submit("j", vec![task("a")]).expect("accepted");
    fixture.update_worker("w", 1, true);
    fixture.update_worker("w", 1, false);
    assert!(
        fixture.start("j", &[(0, "w")]).is_err(),
        "the leaving worker got work"
    );
    fixture.update_worker("w", 2, false);
    fixture
        .start("j", &[(0, "w")])
        .expect("the next process gets work");
}

fn set_evacuation(zone: &str, evacuate: bool) -> Command {
    Command::SetEvacuation {
        zone: zone.into(),
        evacuate,
    }
}

fn unpacked(state: &ClusterState) -> ClusterState {
    ClusterState::unpack(&state.pack()).expect("a packed state")
}

/// Guards against a copy that has forgotten the latest orders and decides otherwise than the others: one that was installed
/// from a snapshot, or a light one.
#[test]
fn copies_from_snapshots_and_light_copies_reject_the_same_orders() {
    let mut fixture = StateFixture::new();
    let seen = fixture.last_index;
    fixture.order(set_evacuation("z", true), seen).expect("set");
    let cancelled = Command::CancelJob { job: "j".into() };
    assert!(fixture.order(cancelled, seen).is_err());
    let light = unpacked(&fixture.state.without_jobs_and_workers());
    let from_snapshot = unpacked(&fixture.state);
    assert_eq!(from_snapshot, fixture.state);
    let (last_index, at) = (fixture.last_index, fixture.at);
    for state in [light, from_snapshot.clone()] {
        let mut copy = StateFixture {
            state,
            last_index,
            at,
        };
        let result = copy.order(set_evacuation("z", false), seen);
        assert!(
            matches!(result, Err(Rejection::Overtaken { .. })),
            "{result:?}"
        );
        assert!(copy.state.evacuated_zones.contains("z"));
    }
    let mut copy = StateFixture {
        state: from_snapshot,
        last_index,
        at,
    };
    let submission = Command::SubmitJob {
        spec: JobSpec {
            id: "j".into(),
            queue: "q".into(),
            tasks: vec![repeatable("a")],
            ..Default::default()
        },
        hash: 1,
        seen,
    };
    assert_eq!(copy.apply(submission), Err(Rejection::PreviouslyRejected));
}

/// Guards against orders on zones that don't exist, which would take up memory for ever, and against a zone whose latest
/// order is forgotten for them: an order that is older than the remembered ones is rejected, and accepted when it is sent again.
#[test]
fn orders_on_unknown_zones_take_bounded_memory_and_none_is_forgotten_silently() {
    let mut fixture = StateFixture::new();
    let seen = fixture.last_index;
    fixture.order(set_evacuation("z", true), seen).expect("set");
    for number in 0..3 * MAX_SUBJECTS {
        let seen = fixture.last_index;
        let other_zone = set_evacuation(&format!("other-{number}"), false);
        fixture.order(other_zone, seen).expect("set");
    }
    assert!(fixture.state.order_sequence.zones.len() <= MAX_SUBJECTS);
    let result = fixture.order(set_evacuation("z", false), seen);
    assert!(
        matches!(result, Err(Rejection::Overtaken { .. })),
        "{result:?}"
    );
    let seen = fixture.last_index;
    fixture
        .order(set_evacuation("z", false), seen)
        .expect("sent again");
    assert!(!fixture.state.evacuated_zones.contains("z"));
    let long_name = set_evacuation(&"x".repeat(10_000), true);
    let result = fixture.order(long_name, fixture.last_index);
    assert!(
        matches!(result, Err(Rejection::Invalid { .. })),
        "{result:?}"
    );
}

/// Guards against clients that take up memory by cancelling jobs that don't exist, and against a cancellation that is
/// forgotten for the others: what is older than the remembered ones is rejected, and accepted when it is sent again.
#[test]
fn cancellations_of_unknown_jobs_take_bounded_memory_and_none_is_forgotten_silently() {
    let mut fixture = StateFixture::new();
    let size_before = fixture.state.pack().len();
    let seen = fixture.last_index;
    let ids: Vec<String> = (0..3 * MAX_SUBJECTS).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        let seen = fixture.last_index;
        let result = fixture.order(Command::CancelJob { job: id.clone() }, seen);
        assert!(
            matches!(result, Err(Rejection::Unknown { .. })),
            "{result:?}"
        );
    }
    assert!(fixture.state.order_sequence.jobs.len() <= MAX_SUBJECTS);
    fixture.state.orders.clear();
    let growth = fixture.state.pack().len() - size_before;
    assert!(growth < 32 * MAX_SUBJECTS, "{growth} bytes");
    for id in [&ids[0], &ids[ids.len() - 1]] {
        let spec = JobSpec {
            id: id.clone(),
            queue: "q".into(),
            tasks: vec![repeatable("a")],
            ..Default::default()
        };
        let waited = Command::SubmitJob {
            spec,
            hash: 1,
            seen,
        };
        assert_eq!(fixture.apply(waited), Err(Rejection::PreviouslyRejected));
        fixture
            .submit(id, vec![repeatable("a")])
            .expect("sent again");
    }
    let long_id = "x".repeat(10_000);
    let jobs_before = fixture.state.order_sequence.jobs.len();
    let seen = fixture.last_index;
    let _ = fixture.order(Command::CancelJob { job: long_id }, seen);
    assert_eq!(fixture.state.order_sequence.jobs.len(), jobs_before);
}
