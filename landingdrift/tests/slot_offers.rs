//! How a zone scheduler offers slots and its schedulers place tasks: each test drives one node by its messages.

mod zone_scheduler_fixture;

use landingdrift::sans_io::{Effect, Msg, Part};
use landingdrift::state::Command;
use landingdrift::wire::{
    Body, Entry, Offer, OfferResponse, ProposeResponse, RequestToken, Reservation, Reserve,
    WatchBatch,
};
use zone_scheduler_fixture::{Desk, CORE};

#[test]
fn when_a_cell_changes_hands_reservations_are_placed_anew_at_once() {
    let mut d = Desk::new();
    let other = "10.0.0.3:1";
    d.enter(Command::RegisterNode {
        node: other.into(),
        zone: "z".into(),
        http: other.into(),
    });
    d.accept("k", 8);
    d.follow();
    let grant = Command::GrantLease {
        lease: "cell/z".into(),
        holder: other.into(),
        from_epoch: 1,
    };
    d.enter(grant.clone());
    d.t += 30;
    let batch = WatchBatch {
        replica: CORE.into(),
        leader: CORE.into(),
        ok: true,
        sent: d.t,
        quorum_age: 0,
        clock: 1000 + d.t,
        commit: d.r.applied_index,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: vec![Entry {
            index: d.r.applied_index,
            term: 1,
            at: 1000 + d.t,
            command: grant.pack(),
        }],
        replicas: vec![CORE.into()],
        light: false,
        reached: d.r.applied_index,
    };
    let now = d.now();
    let out = d.n.step(
        now,
        Msg::Wire(CORE.into(), Body::WatchBatch(Box::new(batch))),
    );
    let placed = out.iter().any(|e| match e {
        Effect::Send(to, Body::Reserve(r)) => to == other && r.reservations[0].job == "k",
        _ => false,
    });
    assert!(placed, "{out:?}");
}

/// The offers made to a scheduler.
fn offers(effects: &[Effect], to: &str) -> Vec<Offer> {
    let made = effects.iter().filter_map(|e| match e {
        Effect::Send(at, Body::Offer(o)) if at == to => Some((**o).clone()),
        _ => None,
    });
    made.collect()
}

#[test]
fn an_offer_is_answered_by_the_scheduler_that_it_was_made_to_and_once() {
    let (scheduler, stranger) = ("10.0.0.3:1", "10.0.0.9:1");
    let mut d = Desk::new();
    d.enter(Command::RegisterNode {
        node: scheduler.into(),
        zone: "z".into(),
        http: scheduler.into(),
    });
    d.enter(Command::GrantLease {
        lease: "queue/q".into(),
        holder: scheduler.into(),
        from_epoch: 2,
    });
    d.accept("k", 1);
    d.follow();
    d.heartbeat(1, false);
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
    let now = d.now();
    let mut hear = |from: &str, body: Body| d.n.step(now, Msg::Wire(from.into(), body));
    let made = offers(
        &hear(scheduler, Body::Reserve(Box::new(reserve))),
        scheduler,
    );
    assert_eq!(made.len(), 1);
    let response = |token: RequestToken| {
        Body::OfferResponse(Box::new(OfferResponse {
            token,
            worker: "w".into(),
            accepted: true,
            cpu: 1,
            ..OfferResponse::default()
        }))
    };
    let token = made[0].token;
    let former = RequestToken {
        incarnation: token.incarnation ^ 1,
        ..token
    };
    hear(stranger, response(token));
    hear(scheduler, response(former));
    hear(scheduler, response(token));
    hear(scheduler, response(token));
    let counted = d.n.counters();
    let count = |name: &str| counted.iter().find(|(k, _)| k == name).map(|(_, n)| *n);
    assert_eq!(count("offers_accepted"), Some(1));
    assert_eq!(count("responses_unexpected"), Some(2));
    assert_eq!(count("responses_to_another_incarnation"), Some(1));
}

/// The attempts of starts, each to its replica with its token.
fn start_proposals(effects: Vec<Effect>) -> Vec<(String, RequestToken)> {
    let sent = effects.into_iter().filter_map(|e| match e {
        Effect::Send(to, Body::ProposeRequest(p)) => Some((to, *p)),
        _ => None,
    });
    sent.filter(|(_, p)| {
        matches!(
            Command::unpack(&p.command),
            Ok(Command::StartAttempts { .. })
        )
    })
    .map(|(to, p)| (to, p.token))
    .collect()
}

impl Desk {
    /// Time passes while the node hears the watch; the starts that it proposes.
    fn starts_during(&mut self, ms: u64) -> Vec<(String, RequestToken)> {
        let mut all = Vec::new();
        for _ in 0..ms / 20 {
            self.t += 20;
            all.extend(start_proposals(self.follow()));
            let now = self.now();
            all.extend(start_proposals(self.n.step(now, Msg::Tick)));
        }
        all
    }

    /// A replica answers a proposal that it doesn't lead; the starts that are proposed thereupon.
    fn not_taken(&mut self, from: &str, token: RequestToken) -> Vec<(String, RequestToken)> {
        let answer = ProposeResponse {
            token,
            outcome: 1,
            log_index: 0,
            leader: String::new(),
            response: Vec::new(),
        };
        let now = self.now();
        let body = Body::ProposeResponse(Box::new(answer));
        start_proposals(self.n.step(now, Msg::Wire(from.into(), body)))
    }
}

#[test]
fn a_start_goes_to_another_core_only_when_the_last_one_has_taken_nothing() {
    let mut d = Desk::new();
    d.follow();
    d.heartbeat(1, false);
    d.accept("k", 1);
    let first = d.starts_during(100);
    assert_eq!(first.len(), 1, "{first:?}");
    let (replica, token) = first[0].clone();
    d.not_taken(&replica, token);
    let second = d.starts_during(100);
    assert_eq!(second.len(), 1, "nothing was taken: it is sent again");
    assert_eq!(second[0].1.number, token.number);
    // The first refusal comes again, and says nothing of the second send.
    d.not_taken(&replica, token);
    assert_eq!(d.starts_during(800), [], "the second send may be taken");
}
