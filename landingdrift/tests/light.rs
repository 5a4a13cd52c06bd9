//! Light copies of the record: configuration, duties and members, neither jobs nor workers.

use landingdrift::kernel::{Effect, Msg, Now, Part, Request};
use landingdrift::node::Node;
use landingdrift::record::{
    ClusterState, Command, JobSpec, Order, Outcome, ProposalId, WorkerInfo,
};
use landingdrift::settings::Settings;
use landingdrift::wire::{Body, Entry, WatchBatch};
use serde_json::json;

const CORE: &str = "10.0.0.2:1";
const HOLDER: &str = "10.0.0.3:1";

/// One command of each kind, and whether it concerns the system as a whole.
fn kinds() -> Vec<(Command, bool)> {
    let text = String::new;
    vec![
        (Command::Opened { leader: text() }, true),
        (
            Command::Configure {
                change: text(),
                base: 0,
                patch: false,
                number: 0,
                value: json!({}),
            },
            true,
        ),
        (
            Command::Accept {
                spec: JobSpec::default(),
                hash: 0,
                seen: 0,
            },
            false,
        ),
        (Command::Cancel { job: text() }, false),
        (
            Command::Start {
                job: text(),
                owner_epoch: 0,
                placements: vec![],
            },
            false,
        ),
        (
            Command::Facts {
                facts: WorkerInfo::default(),
                cell_epoch: 0,
            },
            false,
        ),
        (
            Command::Report {
                worker: text(),
                incarnation: 0,
                running: vec![],
                ends: vec![],
            },
            false,
        ),
        (
            Command::Lost {
                worker: text(),
                incarnation: 0,
                cell_epoch: 0,
            },
            false,
        ),
        (
            Command::Lapse {
                worker: text(),
                incarnation: 0,
                cell_epoch: 0,
                sends: vec![],
                checkpoints: vec![],
            },
            false,
        ),
        (
            Command::Recall {
                worker: text(),
                cell_epoch: 0,
                sends: vec![],
                blame: false,
            },
            false,
        ),
        (
            Command::Empty {
                zone: text(),
                on: true,
            },
            true,
        ),
        (
            Command::Resolve {
                job: text(),
                task: text(),
                well: Outcome::Well == Outcome::Defect,
            },
            false,
        ),
        (
            Command::Lease {
                duty: text(),
                holder: text(),
                from_epoch: 0,
            },
            true,
        ),
        (
            Command::Node {
                node: text(),
                zone: text(),
                http: text(),
            },
            true,
        ),
        (Command::NodeGone { node: text() }, true),
        (
            Command::Found {
                cores: Default::default(),
            },
            true,
        ),
        (
            Command::Replica {
                core: text(),
                member: Default::default(),
            },
            true,
        ),
        (
            Command::CoreGone {
                core: text(),
                disk: 0,
            },
            true,
        ),
        (
            Command::Sweep {
                retain_ms: 0,
                identity_ms: 0,
            },
            false,
        ),
    ]
}

/// What is ordered, as an order.
fn ordered(action: Command) -> Command {
    Command::Order(Order {
        action: Box::new(action),
        proposal: ProposalId {
            proposer: HOLDER.into(),
            incarnation: u64::MAX,
            number: 7,
        },
        deadline: u64::MAX,
    })
}

#[test]
fn an_order_concerns_all_if_what_is_ordered_does() {
    let orders = kinds().into_iter().filter(|(c, _)| c.is_order());
    let orders: Vec<_> = orders.map(|(c, all)| (ordered(c), all)).collect();
    assert_eq!(orders.len(), 4);
    for (c, all) in orders {
        assert_eq!(Command::concerns_all(&c.pack()), all, "{c:?}");
    }
}

#[test]
fn what_concerns_all_is_told_by_the_kind_of_an_entry() {
    for (c, all) in kinds() {
        assert_eq!(Command::concerns_all(&c.pack()), all, "{c:?}");
    }
}

fn batch(r: &ClusterState, t: u64) -> WatchBatch {
    WatchBatch {
        core: CORE.into(),
        leader: CORE.into(),
        ok: true,
        sent: t,
        quorum_age: 0,
        clock: 1000 + t,
        commit: r.place,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: Vec::new(),
        cores: vec![CORE.into()],
        light: true,
        reached: r.place,
    }
}

#[test]
fn a_light_node_follows_over_gaps_and_passes_questions_after_jobs_on() {
    let settings = Settings {
        listen: "10.0.0.1:1".into(),
        seeds: vec![CORE.into()],
        share: 50,
        ..Settings::default()
    };
    let mut r = ClusterState::new(&settings.cluster);
    let mut n = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
    let enter = |r: &mut ClusterState, c: Command| {
        let index = r.place + 1;
        r.apply(index, 1000, &c)
            .map(|_| c)
            .map_err(|e| e.to_string())
    };
    let node = Command::Node {
        node: HOLDER.into(),
        zone: "z".into(),
        http: HOLDER.into(),
    };
    enter(&mut r, node).expect("entered");
    let first = WatchBatch {
        snapshot: r.light().pack(),
        snapshot_index: r.place,
        ..batch(&r, 1)
    };
    let hear = |n: &mut Node, t: u64, b: WatchBatch| {
        let now = Now { mono: t, wall: t };
        n.step(now, Msg::Wire(CORE.into(), Body::WatchBatch(Box::new(b))))
    };
    hear(&mut n, 1, first);
    // Entries that concern a job lie between, and are left out.
    r.place += 7;
    let grant = Command::Lease {
        duty: "queue/q".into(),
        holder: HOLDER.into(),
        from_epoch: 0,
    };
    let grant = enter(&mut r, grant).expect("entered");
    let entry = Entry {
        index: r.place,
        term: 1,
        at: 1000,
        command: grant.pack(),
    };
    r.place += 3;
    let next = WatchBatch {
        entries: vec![entry],
        ..batch(&r, 20)
    };
    hear(&mut n, 20, next);
    assert_eq!(n.record().place, r.place);
    assert_eq!(n.record().leases["queue/q"].holder, HOLDER);
    assert!(n.is_ready(Now { mono: 30, wall: 30 }));
    let ask = Request {
        method: "GET".into(),
        path: "/v1/jobs/j".into(),
        ..Request::default()
    };
    let out = n.step(Now { mono: 30, wall: 30 }, Msg::Call(1, ask));
    let passed = out.iter().any(|e| {
        matches!(e, Effect::Send(to, Body::ForwardRequest(f)) if to == HOLDER && f.path == "/v1/jobs/j")
    });
    assert!(passed, "{out:?}");
}
