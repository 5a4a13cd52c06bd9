//! An order or a submission that waits at one node does not take effect after a later command on the same zone or job was
//! acknowledged through another node. Each test sets the order of the events itself.

mod common;

use common::Cluster;
use landingdrift::sans_io::Request;
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
