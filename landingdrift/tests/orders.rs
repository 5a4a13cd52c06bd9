//! Orders of operators take effect once, and are answered alike however often they arrive.

mod common;

use common::{put, Cluster, Reply};
use landingdrift::sans_io::Request;
use serde_json::json;

const DAY_MS: u64 = 86_400_000;

fn zone(method: &str) -> Request {
    Request {
        method: method.into(),
        path: "/v1/zones/z/empty".into(),
        ..Request::default()
    }
}

/// A change that names its identity, as operators send it.
fn change(base: u64, id: &str, note: &str) -> Request {
    put(
        base,
        &format!("change={id}"),
        &json!({"notes": {"by": note}}),
    )
}

#[test]
fn a_zone_order_that_arrives_again_after_its_opposite_changes_nothing() {
    let mut cluster = Cluster::new(1);
    let mut begin = cluster.call(0, zone("PUT"));
    let first = cluster.commit(&mut begin);
    let mut finish = cluster.call(0, zone("DELETE"));
    cluster.commit(&mut finish);
    assert!(cluster.state.evacuated_zones.is_empty());
    let second = cluster.commit(&mut begin);
    assert!(
        cluster.state.evacuated_zones.is_empty(),
        "the late copy emptied the zone"
    );
    assert_eq!(second.response, first.response, "it gets its first answer");
}

#[test]
fn an_order_that_reaches_the_log_after_its_deadline_commits_as_nothing() {
    let mut cluster = Cluster::new(1);
    let mut begin = cluster.call(0, zone("PUT"));
    cluster.pass(60_000);
    let late = cluster.commit(&mut begin);
    assert!(
        cluster.state.evacuated_zones.is_empty(),
        "the late order was obeyed"
    );
    let told = cluster.answer(&begin, &late).expect("answered");
    assert_eq!((told.status, told.kind()), (503, "unsure"));
}

#[test]
fn a_late_copy_of_a_refused_cancel_leaves_a_job_of_the_same_id_alone() {
    let mut cluster = Cluster::new(1);
    let cancel = Request {
        method: "DELETE".into(),
        path: "/v1/jobs/j".into(),
        ..Request::default()
    };
    let mut cancel = cluster.call(0, cancel);
    cluster.commit(&mut cancel);
    let body = json!({"id": "j", "queue": "q", "steps": [{"count": 1, "task": {"service": "s", "room": 1}}]});
    let hand_in = Request {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        body: body.to_string().into_bytes(),
        ..Request::default()
    };
    cluster.pass(10);
    let mut hand_in = cluster.call(0, hand_in);
    cluster.commit(&mut hand_in);
    cluster.commit(&mut cancel);
    assert!(
        !cluster.state.jobs["j"].cancel,
        "the late copy cancelled a new job"
    );
}

#[test]
fn a_late_copy_of_a_refused_change_stays_refused_when_it_would_fit_by_now() {
    let mut cluster = Cluster::new(2);
    let mut early = cluster.call(0, put(2, "", &json!({"notes": {"by": "a"}})));
    let refused = cluster.commit(&mut early);
    let told = cluster.answer(&early, &refused).expect("answered");
    assert_eq!((told.status, told.kind()), (409, "rival"));
    cluster.order(1, put(1, "", &json!({"notes": {"by": "b"}})));
    assert_eq!(cluster.state.version, 2);
    let late = cluster.commit(&mut early);
    assert_eq!(late.response, refused.response);
    assert_eq!(
        (
            cluster.state.version,
            cluster.state.config.notes["by"].as_str()
        ),
        (2, "b")
    );
}

#[test]
fn a_change_whose_answer_was_lost_is_acknowledged_though_another_came_since() {
    let mut cluster = Cluster::new(2);
    let mut mine = cluster.call(0, put(1, "", &json!({"notes": {"by": "a"}})));
    let taken = cluster.commit(&mut mine);
    let mut other = cluster.call(1, put(2, "", &json!({"notes": {"by": "b"}})));
    cluster.commit(&mut other);
    let again = cluster.commit(&mut mine);
    assert_eq!(again.response, taken.response);
    let told = cluster.answer(&mine, &again).expect("answered");
    assert_eq!((told.status, told.version()), (200, 2));
}

#[test]
fn an_acknowledged_change_is_acknowledged_again_after_hundreds_of_others() {
    let mut cluster = Cluster::new(2);
    assert_eq!(cluster.order(0, change(1, "mine", "a")).status, 200);
    for n in 0..300 {
        cluster.pass(1000);
        let told = cluster.order(1, change(2 + n, &format!("o{n}"), "b"));
        assert_eq!(told.status, 200);
    }
    let again = cluster.order(1, change(1, "mine", "a"));
    assert_eq!((again.status, again.version()), (200, 2));
}

#[test]
fn the_newest_change_is_acknowledged_again_however_late() {
    let mut cluster = Cluster::new(1);
    cluster.order(0, change(1, "mine", "a"));
    cluster.pass(30 * DAY_MS);
    let again = cluster.order(0, change(1, "mine", "a"));
    assert_eq!((again.status, again.version()), (200, 2));
}

#[test]
fn a_thousand_changes_a_day_are_remembered_for_a_day_and_cost_little() {
    let mut cluster = Cluster::new(1);
    let before = cluster.state.pack().len();
    for n in 0..3000 {
        cluster.pass(DAY_MS / 1000);
        let digest = "0".repeat(64);
        cluster.order(0, change(1 + n, &format!("v{n}-{n}-{digest}"), "a"));
    }
    let kept = cluster.state.changes.len();
    assert!((1000..=1001).contains(&kept), "{kept} changes are kept");
    let grown = cluster.state.pack().len() - before;
    assert!(grown < 200_000, "{grown} bytes for a day's changes");
}

/// What came of a race of operators.
fn race(seed: u64) -> (Cluster, Vec<Option<Reply>>) {
    let mut cluster = Cluster::new(3);
    let mut rng = landingdrift::sans_io::Rng::new(seed);
    let mut calls: Vec<_> = (0..8)
        .map(|n| {
            let by = json!({"notes": {"by": n.to_string()}});
            cluster.call(rng.below(3) as usize, put(1, "version=7", &by))
        })
        .collect();
    // Copies are committed in any order, some of them again; some answers are lost, some leaders are none any more.
    for _ in 0..40 {
        let n = rng.below(8) as usize;
        cluster.pass(rng.below(20));
        match rng.below(4) {
            0 => cluster.refuse_as_follower(&mut calls[n]),
            1 => {
                cluster.commit(&mut calls[n]);
            }
            _ => {
                let ruled = cluster.commit(&mut calls[n]);
                cluster.answer(&calls[n], &ruled);
            }
        }
    }
    cluster.silence(5000);
    let told = calls.iter().map(|call| cluster.reply(call)).collect();
    (cluster, told)
}

#[test]
fn of_eight_rivals_under_one_number_only_the_one_in_force_is_ever_confirmed() {
    for seed in 0..200 {
        let (cluster, told) = race(seed);
        let winner = cluster.state.config.notes["by"].clone();
        assert_eq!(cluster.state.version, 7, "seed {seed}");
        for (n, reply) in told.iter().enumerate() {
            let reply = reply.as_ref().expect("every call is answered");
            let won = n.to_string() == winner;
            let right = match reply.status {
                200 => won && reply.version() == 7,
                409 => !won,
                503 => reply.kind() == "unsure" || reply.kind() == "noCore" && !won,
                _ => false,
            };
            assert!(right, "seed {seed}: {n} was told {reply:?}, {winner} won");
        }
    }
}
