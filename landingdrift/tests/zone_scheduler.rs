//! What the holder of a zone scheduler makes of heartbeats: each test drives one node by its messages.

use landingdrift::node::{Heartbeat, Node, Running};
use landingdrift::sans_io::{Effect, Msg, Now, Part, Request, Response};
use landingdrift::settings::{Bounds, Settings};
use landingdrift::state::{
    ClusterState, Command, EndReport, JobSpec, Outcome, Placement, RunName, StepSpec, TaskSpec,
    WorkerInfo,
};
use landingdrift::wire::{
    Body, Entry, ForwardRequest, Offer, OfferResponse, ProposeResponse, RequestToken, Reservation,
    Reserve, WatchBatch,
};
use serde_json::json;

const NODE: &str = "10.0.0.1:1";
const CORE: &str = "10.0.0.2:1";

/// A node that holds the zone scheduler of zone `z` and owns queue `q`, with one worker.
struct Desk {
    r: ClusterState,
    n: Node,
    t: u64,
    call: u64,
}

fn info() -> WorkerInfo {
    WorkerInfo {
        worker: "w".into(),
        incarnation: 1,
        service: "s".into(),
        zone: "z".into(),
        cpu: 4,
        ..WorkerInfo::default()
    }
}

impl Desk {
    fn new() -> Self {
        let settings = Settings {
            listen: NODE.into(),
            http: NODE.into(),
            zone: "z".into(),
            seeds: vec![CORE.into()],
            bounds: Bounds {
                lease_ms: 6000,
                ..Bounds::default()
            },
            ..Settings::default()
        };
        let now = Now { mono: 1, wall: 1 };
        let mut d = Self {
            r: ClusterState::new(&settings.cluster),
            n: Node::new(settings, now, 1),
            t: 1,
            call: 0,
        };
        d.enter(Command::RegisterNode {
            node: NODE.into(),
            zone: "z".into(),
            http: NODE.into(),
        });
        for lease in ["cell/z", "queue/q"] {
            d.enter(Command::GrantLease {
                lease: lease.into(),
                holder: NODE.into(),
                from_epoch: 0,
            });
        }
        d.enter(Command::UpdateConfig {
            change: "c".into(),
            base: 0,
            patch: false,
            number: 0,
            value: json!({"queues": {"q": {"tries": 3, "quota": 9, "windowMs": 1000, "unsureBoundMs": 1000, "speculationPercent": 0}},
                "services": {"s": {"taskRoom": 4, "gangRoom": 8}}}),
        });
        d.enter(Command::UpdateWorker {
            info: info(),
            zone_epoch: 1,
        });
        d
    }

    fn enter(&mut self, c: Command) {
        let index = self.r.applied_index + 1;
        self.r
            .apply(index, 1000 + self.t, &c)
            .unwrap_or_else(|e| panic!("{c:?}: {e}"));
    }

    fn now(&self) -> Now {
        Now {
            mono: self.t,
            wall: 1000 + self.t,
        }
    }

    /// The node follows to where the cluster state is.
    fn follow(&mut self) -> Vec<Effect> {
        let batch = WatchBatch {
            replica: CORE.into(),
            leader: CORE.into(),
            ok: true,
            sent: self.t,
            quorum_age: 0,
            clock: 1000 + self.t,
            commit: self.r.applied_index,
            snapshot: self.r.pack(),
            snapshot_index: self.r.applied_index,
            entries: Vec::new(),
            replicas: vec![CORE.into()],
            light: false,
            reached: self.r.applied_index,
        };
        let now = self.now();
        self.n.step(
            now,
            Msg::Wire(CORE.into(), Body::WatchBatch(Box::new(batch))),
        )
    }

    /// A job of one step of so many tasks.
    fn accept(&mut self, id: &str, count: u32) {
        let seen = self.r.applied_index;
        self.enter(Command::AcceptJob {
            spec: JobSpec {
                id: id.into(),
                queue: "q".into(),
                steps: vec![StepSpec {
                    count,
                    task: TaskSpec {
                        service: "s".into(),
                        cpu: 1,
                        ..TaskSpec::default()
                    },
                    ..StepSpec::default()
                }],
                ..JobSpec::default()
            },
            hash: 1,
            seen,
        });
    }

    /// A job of one task, and a run of it on the worker.
    fn started(&mut self) {
        self.accept("j", 1);
        self.enter(Command::StartAttempts {
            job: "j".into(),
            owner_epoch: 2,
            placements: vec![Placement {
                task: 0,
                worker: "w".into(),
                incarnation: 1,
                zone_epoch: 1,
                copy: false,
            }],
        });
        self.follow();
    }

    /// A heartbeat of the worker; the answer, and what was proposed with it.
    fn heartbeat(&mut self, call: u64, running: bool) -> (Option<Response>, Vec<Command>) {
        let name = RunName {
            job: "j".into(),
            task: "0.0.0".into(),
            run: 1,
        };
        let run = Running {
            name: Some(name),
            ..Running::default()
        };
        let heartbeat = Heartbeat {
            info: info(),
            running: if running { vec![run] } else { Vec::new() },
            call,
            named: true,
            ..Heartbeat::default()
        };
        self.call += 1;
        let req = Request {
            method: "POST".into(),
            path: "/v1/beats".into(),
            body: serde_json::to_vec(&heartbeat).expect("JSON"),
            ..Request::default()
        };
        let now = self.now();
        said(self.n.step(now, Msg::Call(self.call, req)))
    }
}

fn said(effects: Vec<Effect>) -> (Option<Response>, Vec<Command>) {
    let mut answer = None;
    let mut proposed = Vec::new();
    for e in effects {
        match e {
            Effect::Answer(_, v) => answer = Some(v),
            Effect::Send(_, Body::ProposeRequest(p)) => {
                proposed.push(Command::unpack(&p.command).expect("a command"))
            }
            _ => {}
        }
    }
    (answer, proposed)
}

fn voids(of: &[Command]) -> Vec<EndReport> {
    of.iter()
        .filter_map(|c| match c {
            Command::ReportAttempts { ends, .. } => Some(ends.clone()),
            _ => None,
        })
        .flatten()
        .filter(|e| e.outcome == Outcome::NeverStarted)
        .collect()
}

#[test]
fn a_stopped_order_that_no_later_beat_shows_was_never_started() {
    let mut d = Desk::new();
    d.started();
    let (v, _) = d.heartbeat(1, false);
    let starts = v.expect("answered").body["starts"].clone();
    assert_eq!(starts[0]["task"], json!("0.0.0"), "the order goes out");
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    // The same call again, by another way: the answer with the order may still be under way.
    assert_eq!(voids(&d.heartbeat(1, false).1), []);
    // The next call shows that the answer was dropped.
    assert_eq!(voids(&d.heartbeat(2, false).1).len(), 1);
}

#[test]
fn a_stopped_order_that_runs_is_not_void() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, false);
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    let (v, proposed) = d.heartbeat(2, true);
    assert_eq!(voids(&proposed), []);
    assert_eq!(
        v.expect("answered").body["stopRuns"],
        json!([["j", "0.0.0", 1]])
    );
}

#[test]
fn a_new_holder_does_not_judge_by_the_first_call_it_hears() {
    let mut d = Desk::new();
    d.started();
    d.enter(Command::CancelJob { job: "j".into() });
    d.follow();
    // Its predecessor may have answered this very call with the order.
    assert_eq!(voids(&d.heartbeat(7, false).1), []);
    assert_eq!(voids(&d.heartbeat(8, false).1).len(), 1);
}

#[test]
fn a_silent_worker_is_let_go_once_its_hold_has_surely_passed_and_not_before() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, true);
    d.enter(Command::ReportAttempts {
        worker: "w".into(),
        incarnation: 1,
        running: vec![1],
        ends: vec![],
    });
    let mut expired = Vec::new();
    for t in (20..8000).step_by(20) {
        d.t = t;
        d.follow();
        let now = d.now();
        let (_, proposed) = said(d.n.step(now, Msg::Tick));
        // Until the replica's word comes the proposal is sent again; the first one counts.
        let first = expired.is_empty();
        for c in proposed.into_iter().filter(|_| first) {
            if let Command::ExpireAttempts { worker, .. } = &c {
                expired.push((t, worker.clone()));
            }
            let index = d.r.applied_index + 1;
            let _ = d.r.apply(index, 1000 + t, &c);
        }
    }
    assert_eq!(expired.len(), 1, "{expired:?}");
    // 6,000 ms by a clock that runs 2 % slow are 6,123.
    assert!((6123..6400).contains(&expired[0].0), "{expired:?}");
    let task = &d.r.jobs["j"].tasks[0];
    assert_eq!(task.failures, 0);
    assert!(task.live().next().is_none());
}

#[test]
fn a_beat_that_comes_to_another_node_learns_who_holds_the_cell() {
    let mut d = Desk::new();
    let other = "10.0.0.3:1";
    d.enter(Command::RegisterNode {
        node: other.into(),
        zone: "z".into(),
        http: other.into(),
    });
    d.enter(Command::GrantLease {
        lease: "cell/z".into(),
        holder: other.into(),
        from_epoch: 1,
    });
    d.follow();
    let heartbeat = Heartbeat {
        info: info(),
        ..Heartbeat::default()
    };
    let m = ForwardRequest {
        token: RequestToken::default(),
        method: "POST".into(),
        path: "/v1/beats".into(),
        query: String::new(),
        body: serde_json::to_vec(&heartbeat).expect("JSON"),
    };
    let now = d.now();
    let told = d.n.step(
        now,
        Msg::Wire("10.0.0.9:1".into(), Body::ForwardRequest(Box::new(m))),
    );
    let by = told.iter().find_map(|e| match e {
        Effect::Send(_, Body::ForwardResponse(f)) => Some((f.status, f.by.clone())),
        _ => None,
    });
    assert_eq!(by, Some((503, other.to_string())));
}

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

#[test]
fn while_it_is_unsure_whether_a_worker_was_let_go_no_hold_is_renewed() {
    let mut d = Desk::new();
    d.started();
    d.heartbeat(1, true);
    let mut proposed = Vec::new();
    // No replica answers, and in the end the proposal is given up: it may still come through.
    for t in (20..12_000).step_by(20) {
        d.t = t;
        d.follow();
        let now = d.now();
        proposed.extend(said(d.n.step(now, Msg::Tick)).1);
    }
    let lease_expiry: Vec<&Command> = proposed
        .iter()
        .filter(|c| matches!(c, Command::ExpireAttempts { .. }))
        .collect();
    assert!(
        lease_expiry.len() > 1,
        "it is proposed until the core has ruled"
    );
    let (v, _) = d.heartbeat(2, true);
    let v = v.expect("answered");
    assert_eq!((v.status, v.body.get("holdMs")), (503, None));
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
