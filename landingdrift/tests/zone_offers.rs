//! Offers of zone schedulers, and the starts that schedulers propose. Each test drives a node by messages.

mod node_harness;

use landingdrift::sans_io::{Effect, Msg, StateMachine};
use landingdrift::state::Command;
use landingdrift::wire::{
    Body, Entry, Offer, OfferResponse, ProposeResponse, RequestToken, Reservation, Reserve,
    WatchBatch,
};
use node_harness::{NodeHarness, REPLICA};

#[test]
fn reservations_are_placed_again_at_once_with_a_new_zone_lease_holder() {
    let mut harness = NodeHarness::new();
    let other = "10.0.0.3:1";
    harness.register_node(other, other);
    harness.submit("k", 8);
    harness.install_full_copy();
    let granted = Command::GrantLease {
        lease: "cell/z".into(),
        holder: other.into(),
        from_epoch: 1,
    };
    harness.append(granted.clone());
    harness.elapsed_ms += 30;
    let batch = WatchBatch {
        replica: REPLICA.into(),
        leader: REPLICA.into(),
        ok: true,
        sent: harness.elapsed_ms,
        quorum_age: 0,
        clock: 1000 + harness.elapsed_ms,
        commit: harness.state.applied_index,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: vec![Entry {
            index: harness.state.applied_index,
            term: 1,
            at: 1000 + harness.elapsed_ms,
            command: granted.pack(),
        }],
        replicas: vec![REPLICA.into()],
        light: false,
        reached: harness.state.applied_index,
        incarnation: 0,
        follows: 0,
        config_index: 0,
        stamp: None,
    };
    let now = harness.now();
    let effects = harness.node.step(
        now,
        Msg::Received(REPLICA.into(), Body::WatchBatch(Box::new(batch))),
    );
    let is_reserved_at_new_holder = effects.iter().any(|effect| match effect {
        Effect::Send(to, Body::Reserve(reserve)) => {
            to == other && reserve.reservations[0].job == "k"
        }
        _ => false,
    });
    assert!(is_reserved_at_new_holder, "{effects:?}");
}

/// The offers sent to a scheduler.
fn offers(effects: &[Effect], to: &str) -> Vec<Offer> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send(receiver, Body::Offer(offer)) if receiver == to => Some((**offer).clone()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn an_offer_is_answered_only_by_the_scheduler_that_was_asked_and_once() {
    let (scheduler, stranger) = ("10.0.0.3:1", "10.0.0.9:1");
    let mut harness = NodeHarness::new();
    harness.register_node(scheduler, scheduler);
    harness.append(Command::GrantLease {
        lease: "queue/q".into(),
        holder: scheduler.into(),
        from_epoch: 2,
    });
    harness.submit("k", 1);
    harness.install_full_copy();
    harness.heartbeat(1, false);
    let reservation = Reservation {
        job: "k".into(),
        worker: "w".into(),
        scheduler: scheduler.into(),
        remaining: 1,
        size: 1.0,
        ..Reservation::default()
    };
    let reserve = Reserve {
        reservations: vec![reservation],
    };
    let now = harness.now();
    let mut receive =
        |from: &str, body: Body| harness.node.step(now, Msg::Received(from.into(), body));
    let offers = offers(
        &receive(scheduler, Body::Reserve(Box::new(reserve))),
        scheduler,
    );
    assert_eq!(offers.len(), 1);
    let response = |token: RequestToken| {
        Body::OfferResponse(Box::new(OfferResponse {
            token,
            worker: "w".into(),
            accepted: true,
            cpu: 1,
            ..OfferResponse::default()
        }))
    };
    let token = offers[0].token;
    let of_earlier_process = RequestToken {
        incarnation: token.incarnation ^ 1,
        ..token
    };
    receive(stranger, response(token));
    receive(scheduler, response(of_earlier_process));
    receive(scheduler, response(token));
    receive(scheduler, response(token));
    let counted = harness.node.counters();
    let count = |name: &str| {
        counted
            .iter()
            .find(|(counter, _)| counter == name)
            .map(|(_, number)| *number)
    };
    assert_eq!(count("offers_accepted"), Some(1));
    assert_eq!(count("responses_unexpected"), Some(2));
    assert_eq!(count("responses_to_another_incarnation"), Some(1));
}

/// The proposed starts, each with the replica that it was sent to and its token.
fn start_proposals(effects: Vec<Effect>) -> Vec<(String, RequestToken)> {
    let sent = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send(to, Body::ProposeRequest(request)) => Some((to, *request)),
        _ => None,
    });
    sent.filter(|(_, request)| {
        matches!(
            Command::unpack(&request.command),
            Ok(Command::StartAttempts { .. })
        )
    })
    .map(|(to, request)| (to, request.token))
    .collect()
}

impl NodeHarness {
    /// Lets time pass while the node follows the watch; returns the proposed starts.
    fn starts_during(&mut self, ms: u64) -> Vec<(String, RequestToken)> {
        let mut all = Vec::new();
        for _ in 0..ms / 20 {
            self.elapsed_ms += 20;
            all.extend(start_proposals(self.install_full_copy()));
            let now = self.now();
            all.extend(start_proposals(self.node.step(now, Msg::Tick)));
        }
        all
    }

    /// Delivers a rejection by a replica that is not the leader; returns the starts proposed in reaction.
    fn reject(&mut self, from: &str, token: RequestToken) -> Vec<(String, RequestToken)> {
        let response = ProposeResponse {
            token,
            outcome: 1,
            log_index: 0,
            leader: String::new(),
            response: Vec::new(),
        };
        let now = self.now();
        let body = Body::ProposeResponse(Box::new(response));
        start_proposals(self.node.step(now, Msg::Received(from.into(), body)))
    }
}

#[test]
fn a_start_is_sent_to_another_replica_only_when_the_last_one_has_rejected_it() {
    let mut harness = NodeHarness::new();
    harness.install_full_copy();
    harness.heartbeat(1, false);
    harness.submit("k", 1);
    let first = harness.starts_during(100);
    assert_eq!(first.len(), 1, "{first:?}");
    let (replica, token) = first[0].clone();
    harness.reject(&replica, token);
    let second = harness.starts_during(100);
    assert_eq!(second.len(), 1, "it was rejected: it is sent again");
    assert_eq!(second[0].1.number, token.number);
    // A duplicate of the first rejection does not apply to the second attempt.
    harness.reject(&replica, token);
    assert_eq!(
        harness.starts_during(800),
        [],
        "the second attempt may succeed"
    );
}
