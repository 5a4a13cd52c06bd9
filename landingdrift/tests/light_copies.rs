//! Light copies of the cluster state, which have the configuration, leases and members but neither jobs nor workers.

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::state::{ClusterState, Command, JobSpec, Order, Outcome, ProposalId, WorkerInfo};
use landingdrift::wire::{Body, Entry, WatchBatch};
use serde_json::json;

const CORE: &str = "10.0.0.2:1";
const HOLDER: &str = "10.0.0.3:1";

/// One command of each kind, and whether it is cluster-wide, so that light copies need it.
fn kinds() -> Vec<(Command, bool)> {
    let text = String::new;
    vec![
        (Command::TermStarted { leader: text() }, true),
        (
            Command::UpdateConfig {
                change: text(),
                base_version: 0,
                is_patch: false,
                version: 0,
                value: json!({}),
            },
            true,
        ),
        (
            Command::SubmitJob {
                spec: JobSpec::default(),
                hash: 0,
                seen: 0,
            },
            false,
        ),
        (Command::CancelJob { job: text() }, false),
        (
            Command::StartAttempts {
                job: text(),
                owner_epoch: 0,
                placements: vec![],
            },
            false,
        ),
        (
            Command::UpdateWorker {
                info: WorkerInfo::default(),
                zone_epoch: 0,
            },
            false,
        ),
        (
            Command::ReportAttempts {
                worker: text(),
                incarnation: 0,
                running: vec![],
                ends: vec![],
            },
            false,
        ),
        (
            Command::MarkWorkerLost {
                worker: text(),
                incarnation: 0,
                zone_epoch: 0,
            },
            false,
        ),
        (
            Command::ExpireAttempts {
                worker: text(),
                incarnation: 0,
                zone_epoch: 0,
                attempts: vec![],
                checkpoints: vec![],
            },
            false,
        ),
        (
            Command::RescheduleAttempts {
                worker: text(),
                zone_epoch: 0,
                attempts: vec![],
                blame: false,
            },
            false,
        ),
        (
            Command::SetEvacuation {
                zone: text(),
                evacuate: true,
            },
            true,
        ),
        (
            Command::ResolveTask {
                job: text(),
                task: text(),
                succeeded: Outcome::Succeeded == Outcome::Failed,
            },
            false,
        ),
        (
            Command::GrantLease {
                lease: text(),
                holder: text(),
                from_epoch: 0,
            },
            true,
        ),
        (
            Command::RegisterNode {
                node: text(),
                zone: text(),
                http: text(),
            },
            true,
        ),
        (Command::MarkNodeGone { node: text() }, true),
        (
            Command::FoundCluster {
                replicas: Default::default(),
            },
            true,
        ),
        (
            Command::UpdateReplica {
                replica: text(),
                member: Default::default(),
            },
            true,
        ),
        (
            Command::RemoveReplica {
                replica: text(),
                disk: 0,
            },
            true,
        ),
        (
            Command::CollectGarbage {
                retain_ms: 0,
                identity_ms: 0,
            },
            false,
        ),
    ]
}

/// Wraps a command in an order.
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
fn an_order_is_cluster_wide_if_its_command_is() {
    let orders = kinds().into_iter().filter(|(c, _)| c.is_order());
    let orders: Vec<_> = orders.map(|(c, all)| (ordered(c), all)).collect();
    assert_eq!(orders.len(), 4);
    for (c, all) in orders {
        assert_eq!(Command::is_cluster_wide(&c.pack()), all, "{c:?}");
    }
}

#[test]
fn cluster_wide_commands_are_recognised_by_their_encoding() {
    for (c, all) in kinds() {
        assert_eq!(Command::is_cluster_wide(&c.pack()), all, "{c:?}");
    }
}

fn batch(r: &ClusterState, t: u64) -> WatchBatch {
    WatchBatch {
        replica: CORE.into(),
        leader: CORE.into(),
        ok: true,
        sent: t,
        quorum_age: 0,
        clock: 1000 + t,
        commit: r.applied_index,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: Vec::new(),
        replicas: vec![CORE.into()],
        light: true,
        reached: r.applied_index,
        incarnation: 0,
        follows: 0,
        config_index: 0,
    }
}

#[test]
fn a_light_node_follows_the_log_across_gaps_and_forwards_reads_of_jobs() {
    let settings = Settings {
        listen: "10.0.0.1:1".into(),
        seeds: vec![CORE.into()],
        share: 50,
        ..Settings::default()
    };
    let mut r = ClusterState::new(&settings.cluster);
    let mut n = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
    let enter = |r: &mut ClusterState, c: Command| {
        let index = r.applied_index + 1;
        r.apply(index, 1000, &c)
            .map(|_| c)
            .map_err(|e| e.to_string())
    };
    let node = Command::RegisterNode {
        node: HOLDER.into(),
        zone: "z".into(),
        http: HOLDER.into(),
    };
    enter(&mut r, node).expect("entered");
    let first = WatchBatch {
        snapshot: r.without_jobs_and_workers().pack(),
        snapshot_index: r.applied_index,
        ..batch(&r, 1)
    };
    let hear = |n: &mut Node, t: u64, b: WatchBatch| {
        let now = Now { mono: t, wall: t };
        n.step(
            now,
            Msg::Received(CORE.into(), Body::WatchBatch(Box::new(b))),
        )
    };
    hear(&mut n, 1, first);
    // The entries in between concern a job and are left out.
    r.applied_index += 7;
    let grant = Command::GrantLease {
        lease: "queue/q".into(),
        holder: HOLDER.into(),
        from_epoch: 0,
    };
    let grant = enter(&mut r, grant).expect("entered");
    let entry = Entry {
        index: r.applied_index,
        term: 1,
        at: 1000,
        command: grant.pack(),
    };
    r.applied_index += 3;
    let next = WatchBatch {
        entries: vec![entry],
        ..batch(&r, 20)
    };
    hear(&mut n, 20, next);
    assert_eq!(n.state().applied_index, r.applied_index);
    assert_eq!(n.state().leases["queue/q"].holder, HOLDER);
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
