//! An order or a submission that waits at one node does not take effect after a later command on the same zone, job or
//! task was acknowledged through another node. Each test sets the order of the events itself.

mod cluster_state_fixture;
mod common;

use cluster_state_fixture::{repeatable, StateFixture};
use common::Cluster;
use landingdrift::sans_io::Request;
use landingdrift::state::{
    ApplyResult, ClusterState, Command, JobSpec, JobState, Order, ProposalId, Rejection,
    MAX_SUBJECTS,
};
use serde_json::json;

/// A request that starts (PUT) or ends (DELETE) the evacuation of a zone.
fn zone_order(method: &str, zone: &str) -> Request {
    Request {
        method: method.into(),
        path: format!("/v1/zones/{zone}/empty"),
        ..Request::default()
    }
}

fn evacuate() -> Request {
    zone_order("PUT", "z")
}

fn end_evacuation() -> Request {
    zone_order("DELETE", "z")
}

fn submit(id: &str) -> Request {
    let body = json!({"id": id, "queue": "q", "steps": [{"count": 1, "task": {"service": "s", "room": 1}}]});
    Request {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        body: body.to_string().into_bytes(),
        ..Request::default()
    }
}

fn cancel(id: &str) -> Request {
    Request {
        method: "DELETE".into(),
        path: format!("/v1/jobs/{id}"),
        ..Request::default()
    }
}

impl Cluster {
    fn is_evacuated(&self) -> bool {
        self.state.evacuated_zones.contains("z")
    }

    /// Advances the time, with ticks at the given nodes; other nodes are frozen meanwhile.
    fn advance_with_ticks(&mut self, nodes: &[usize], ms: u64) {
        for _ in 0..ms / 20 {
            self.advance(20);
            nodes.iter().for_each(|node| self.tick(*node));
        }
    }
}

/// Guards against review/8: the end of an evacuation waits at node 0 for a new leader, the operator repeats it at node 1 and
/// evacuates the zone again; then the order that waited is committed and undoes the evacuation.
#[test]
fn an_order_that_waited_does_not_undo_a_later_acknowledged_evacuation() {
    let mut cluster = Cluster::new(2);
    assert_eq!(cluster.order(1, evacuate()).status, 200);
    let mut waiting = cluster.call(0, end_evacuation());
    cluster.advance_with_ticks(&[0, 1], 1000);
    assert_eq!(cluster.order(1, end_evacuation()).status, 200);
    cluster.advance(100);
    assert_eq!(cluster.order(1, evacuate()).status, 200);
    let result = cluster.commit(&mut waiting);
    assert!(
        cluster.is_evacuated(),
        "the older order returned the zone to service"
    );
    let reply = cluster.deliver_result(&waiting, &result).expect("answered");
    assert_eq!((reply.status, reply.kind()), (503, "overtaken"));
}

/// Guards against the mirror image: an evacuation that waited empties a zone that a later order has returned to service, also
/// if that order found nothing to change.
#[test]
fn an_evacuation_that_waited_does_not_empty_a_zone_returned_to_service_later() {
    let mut cluster = Cluster::new(2);
    let mut waiting = cluster.call(0, evacuate());
    assert_eq!(cluster.order(1, end_evacuation()).status, 200);
    cluster.commit(&mut waiting);
    assert!(!cluster.is_evacuated(), "the older order emptied the zone");
}

/// Guards against rejecting the repetition of an order that has taken effect: its caller must get an acknowledgement.
#[test]
fn an_overtaken_order_that_is_in_effect_anyway_is_acknowledged() {
    let mut cluster = Cluster::new(2);
    let mut first = cluster.call(0, evacuate());
    assert_eq!(cluster.order(1, evacuate()).status, 200);
    let result = cluster.commit(&mut first);
    let reply = cluster.deliver_result(&first, &result).expect("answered");
    assert_eq!(reply.status, 200);
    assert!(cluster.is_evacuated());
}

/// Guards against an order that is rejected for good because its node lags behind: sent again, to the same node or to another
/// one, it is accepted.
#[test]
fn a_newer_order_at_a_lagging_node_is_accepted_when_it_is_sent_again() {
    for second_node in [0, 1] {
        let mut cluster = Cluster::new(2);
        cluster.follow(0);
        assert_eq!(cluster.order(1, evacuate()).status, 200);
        let mut newer = cluster.call_at_lagging_node(0, end_evacuation());
        let result = cluster.commit(&mut newer);
        let reply = cluster.deliver_result(&newer, &result).expect("answered");
        assert_eq!((reply.status, reply.kind()), (503, "overtaken"));
        assert!(cluster.is_evacuated(), "a rejected order has no effect");
        let mut again = cluster.call_at_lagging_node(second_node, end_evacuation());
        let result = cluster.commit(&mut again);
        let reply = cluster.deliver_result(&again, &result).expect("answered");
        assert_eq!(reply.status, 200, "sent again to node {second_node}");
        assert!(!cluster.is_evacuated());
    }
}

/// Guards against review/6: a submission waits at node 0 for a new leader, its client gives up and cancels the job at node 1,
/// which is answered that there is no such job; then the submission is accepted and the job runs.
#[test]
fn a_submission_that_waited_is_rejected_after_its_cancellation_was_answered() {
    let mut cluster = Cluster::new(2);
    let mut waiting = cluster.call(0, submit("j"));
    cluster.advance_with_ticks(&[0, 1], 700);
    let reply = cluster.order(1, cancel("j"));
    assert_eq!((reply.status, reply.kind()), (404, "unknownJob"));
    let result = cluster.commit(&mut waiting);
    assert!(cluster.state.jobs.is_empty(), "the job was accepted");
    let reply = cluster.deliver_result(&waiting, &result).expect("answered");
    assert_eq!(reply.status, 429);
    assert_eq!(cluster.order(0, submit("j")).status, 202, "sent again");
}

/// Guards against a cancellation that waits, is repeated elsewhere and answered that there is no such job, and then cancels
/// the job that the client has submitted since.
#[test]
fn a_cancellation_that_waited_does_not_cancel_a_job_submitted_later() {
    let mut cluster = Cluster::new(2);
    let mut waiting = cluster.call(0, cancel("j"));
    assert_eq!(cluster.order(1, cancel("j")).status, 404);
    assert_eq!(cluster.order(1, submit("j")).status, 202);
    let result = cluster.commit(&mut waiting);
    assert!(!cluster.state.jobs["j"].cancel, "the new job was cancelled");
    let reply = cluster.deliver_result(&waiting, &result).expect("answered");
    assert_eq!((reply.status, reply.kind()), (503, "overtaken"));
    assert_eq!(cluster.order(0, cancel("j")).status, 200, "sent again");
    assert!(cluster.state.jobs["j"].cancel);
}

/// Guards against a cancellation that is rejected although the job was never cancelled before: a node that lags behind the
/// acceptance of the job must be able to cancel it.
#[test]
fn a_lagging_node_cancels_a_job_that_it_does_not_know() {
    let mut cluster = Cluster::new(2);
    cluster.follow(0);
    assert_eq!(cluster.order(1, submit("j")).status, 202);
    let mut cancellation = cluster.call_at_lagging_node(0, cancel("j"));
    let result = cluster.commit(&mut cancellation);
    let reply = cluster
        .deliver_result(&cancellation, &result)
        .expect("answered");
    assert_eq!(reply.status, 200);
    assert!(cluster.state.jobs["j"].cancel);
}

/// Guards against a node that takes an order for new because it was frozen while the order lay in its socket: what happened
/// meanwhile is read first.
#[test]
fn an_order_that_a_frozen_node_reads_late_does_not_undo_a_later_one() {
    let mut cluster = Cluster::new(2);
    assert_eq!(cluster.order(1, evacuate()).status, 200);
    cluster.follow(0);
    cluster.advance_with_ticks(&[1], 3500);
    assert_eq!(cluster.order(1, end_evacuation()).status, 200);
    assert_eq!(cluster.order(1, evacuate()).status, 200);
    // Node 0 goes on: it reads what it missed, and then the order that was sent to it during the freeze.
    let mut late = cluster.call(0, end_evacuation());
    cluster.commit(&mut late);
    assert!(cluster.is_evacuated(), "the late order was taken for new");
    cluster.advance_with_ticks(&[0, 1], 2000);
    assert_eq!(cluster.order(0, end_evacuation()).status, 200);
    assert!(!cluster.is_evacuated());
}

/// Guards against a client's request that a frozen node reads after the cancellation that was sent later.
#[test]
fn a_submission_that_a_frozen_node_reads_late_is_rejected_after_its_cancellation() {
    let mut cluster = Cluster::new(2);
    cluster.follow(0);
    cluster.advance_with_ticks(&[1], 3500);
    assert_eq!(cluster.order(1, cancel("j")).status, 404);
    let mut late = cluster.call(0, submit("j"));
    cluster.commit(&mut late);
    assert!(cluster.state.jobs.is_empty(), "the job was accepted");
}

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
    fixture
        .submit("j", vec![cluster_state_fixture::task("a")])
        .expect("accepted");
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
