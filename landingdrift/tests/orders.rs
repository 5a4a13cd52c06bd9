//! Orders of operators take effect at most once, and every copy gets the same response.

mod common;

use common::{put, ClientResponse, Cluster};
use landingdrift::sans_io::Request;
use serde_json::json;

const DAY_MS: u64 = 86_400_000;

/// A request that starts (PUT) or ends (DELETE) the evacuation of zone `z`.
fn evacuation(method: &str) -> Request {
    Request {
        method: method.into(),
        path: "/v1/zones/z/empty".into(),
        ..Request::default()
    }
}

/// A configuration change with an identity, as operators send it.
fn change(base: u64, id: &str, note: &str) -> Request {
    put(
        base,
        &format!("change={id}"),
        &json!({"notes": {"by": note}}),
    )
}

#[test]
fn a_late_copy_of_a_zone_order_does_not_undo_the_opposite_order() {
    let mut cluster = Cluster::new(1);
    let mut evacuate = cluster.call(0, evacuation("PUT"));
    let first = cluster.commit(&mut evacuate);
    let mut end_evacuation = cluster.call(0, evacuation("DELETE"));
    cluster.commit(&mut end_evacuation);
    assert!(cluster.state.evacuated_zones.is_empty());
    let second = cluster.commit(&mut evacuate);
    assert!(
        cluster.state.evacuated_zones.is_empty(),
        "the late copy evacuated the zone"
    );
    assert_eq!(
        second.response, first.response,
        "the same result as the first copy"
    );
}

#[test]
fn an_order_committed_after_its_deadline_has_no_effect() {
    let mut cluster = Cluster::new(1);
    let mut evacuate = cluster.call(0, evacuation("PUT"));
    cluster.advance(60_000);
    let late = cluster.commit(&mut evacuate);
    assert!(
        cluster.state.evacuated_zones.is_empty(),
        "the late order took effect"
    );
    let reply = cluster.deliver_result(&evacuate, &late).expect("answered");
    assert_eq!((reply.status, reply.kind()), (503, "unsure"));
}

#[test]
fn a_late_copy_of_a_rejected_cancellation_does_not_cancel_a_new_job_with_the_same_id() {
    let mut cluster = Cluster::new(1);
    let cancel = Request {
        method: "DELETE".into(),
        path: "/v1/jobs/j".into(),
        ..Request::default()
    };
    let mut cancel = cluster.call(0, cancel);
    cluster.commit(&mut cancel);
    let body = json!({"id": "j", "queue": "q", "steps": [{"count": 1, "task": {"service": "s", "room": 1}}]});
    let submit = Request {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        body: body.to_string().into_bytes(),
        ..Request::default()
    };
    cluster.advance(10);
    let mut submit = cluster.call(0, submit);
    cluster.commit(&mut submit);
    cluster.commit(&mut cancel);
    assert!(
        !cluster.state.jobs["j"].cancel,
        "the late copy cancelled a new job"
    );
}

#[test]
fn a_late_copy_of_a_rejected_change_stays_rejected_when_its_base_becomes_current() {
    let mut cluster = Cluster::new(2);
    let mut premature_change = cluster.call(0, put(2, "", &json!({"notes": {"by": "a"}})));
    let rejected = cluster.commit(&mut premature_change);
    let reply = cluster
        .deliver_result(&premature_change, &rejected)
        .expect("answered");
    assert_eq!((reply.status, reply.kind()), (409, "rival"));
    cluster.order(1, put(1, "", &json!({"notes": {"by": "b"}})));
    assert_eq!(cluster.state.version, 2);
    let late = cluster.commit(&mut premature_change);
    assert_eq!(late.response, rejected.response);
    assert_eq!(
        (
            cluster.state.version,
            cluster.state.config.notes["by"].as_str()
        ),
        (2, "b")
    );
}

#[test]
fn a_change_whose_response_was_lost_is_acknowledged_after_another_change() {
    let mut cluster = Cluster::new(2);
    let mut first_change = cluster.call(0, put(1, "", &json!({"notes": {"by": "a"}})));
    let committed = cluster.commit(&mut first_change);
    let mut other = cluster.call(1, put(2, "", &json!({"notes": {"by": "b"}})));
    cluster.commit(&mut other);
    let repeated = cluster.commit(&mut first_change);
    assert_eq!(repeated.response, committed.response);
    let reply = cluster
        .deliver_result(&first_change, &repeated)
        .expect("answered");
    assert_eq!((reply.status, reply.version()), (200, 2));
}

#[test]
fn an_acknowledged_change_is_acknowledged_again_after_hundreds_of_others() {
    let mut cluster = Cluster::new(2);
    assert_eq!(cluster.order(0, change(1, "mine", "a")).status, 200);
    for n in 0..300 {
        cluster.advance(1000);
        let reply = cluster.order(1, change(2 + n, &format!("o{n}"), "b"));
        assert_eq!(reply.status, 200);
    }
    let repeated = cluster.order(1, change(1, "mine", "a"));
    assert_eq!((repeated.status, repeated.version()), (200, 2));
}

#[test]
fn the_newest_change_is_acknowledged_again_however_late() {
    let mut cluster = Cluster::new(1);
    cluster.order(0, change(1, "mine", "a"));
    cluster.advance(30 * DAY_MS);
    let repeated = cluster.order(0, change(1, "mine", "a"));
    assert_eq!((repeated.status, repeated.version()), (200, 2));
}

#[test]
fn a_day_of_1000_changes_is_remembered_in_less_than_200_kb() {
    let mut cluster = Cluster::new(1);
    let before = cluster.state.pack().len();
    for n in 0..3000 {
        cluster.advance(DAY_MS / 1000);
        let digest = "0".repeat(64);
        cluster.order(0, change(1 + n, &format!("v{n}-{n}-{digest}"), "a"));
    }
    let kept = cluster.state.changes.len();
    assert!(
        (1000..=1001).contains(&kept),
        "{kept} changes are remembered"
    );
    let growth = cluster.state.pack().len() - before;
    assert!(growth < 200_000, "{growth} bytes for a day's changes");
}

/// Lets eight operators submit conflicting changes at three nodes; returns the cluster and the responses.
fn race(seed: u64) -> (Cluster, Vec<Option<ClientResponse>>) {
    let mut cluster = Cluster::new(3);
    let mut rng = landingdrift::sans_io::Rng::new(seed);
    let mut calls: Vec<_> = (0..8)
        .map(|n| {
            let by = json!({"notes": {"by": n.to_string()}});
            cluster.call(rng.below(3) as usize, put(1, "version=7", &by))
        })
        .collect();
    // Copies are committed in random order, some repeatedly; some responses are lost, and some copies go to a replica
    // that isn't the leader.
    for _ in 0..40 {
        let n = rng.below(8) as usize;
        cluster.advance(rng.below(20));
        match rng.below(4) {
            0 => cluster.refuse_as_follower(&mut calls[n]),
            1 => {
                cluster.commit(&mut calls[n]);
            }
            _ => {
                let result = cluster.commit(&mut calls[n]);
                cluster.deliver_result(&calls[n], &result);
            }
        }
    }
    cluster.advance_without_responses(5000);
    let replies = calls.iter().map(|call| cluster.reply(call)).collect();
    (cluster, replies)
}

#[test]
fn of_eight_conflicting_changes_only_the_one_in_force_is_confirmed() {
    for seed in 0..200 {
        let (cluster, replies) = race(seed);
        let winner = cluster.state.config.notes["by"].clone();
        assert_eq!(cluster.state.version, 7, "seed {seed}");
        for (n, reply) in replies.iter().enumerate() {
            let reply = reply.as_ref().expect("every call is answered");
            let won = n.to_string() == winner;
            let is_consistent = match reply.status {
                200 => won && reply.version() == 7,
                409 => !won,
                503 => reply.kind() == "unsure" || reply.kind() == "noCore" && !won,
                _ => false,
            };
            assert!(
                is_consistent,
                "seed {seed}: {n} got {reply:?}, {winner} won"
            );
        }
    }
}
