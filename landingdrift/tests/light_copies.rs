//! Light copies of the cluster state, which have the configuration, leases and nodes but neither jobs nor workers.

use landingdrift::node::Node;
use landingdrift::sans_io::{Effect, Msg, Now, Request, StateMachine};
use landingdrift::settings::Settings;
use landingdrift::state::{ClusterState, Command, JobSpec, Order, ProposalId, WorkerInfo};
use landingdrift::wire::{Body, Entry, WatchBatch};
use serde_json::json;

const REPLICA: &str = "10.0.0.2:1";
const HOLDER: &str = "10.0.0.3:1";

/// One command of each kind, each with whether it is cluster-wide, i.e. also needed by light copies.
fn commands_of_every_kind() -> Vec<(Command, bool)> {
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
                succeeded: false,
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

/// Like [`ordered`], in the form that carries the log index known at the receipt.
fn received(action: Command) -> Command {
    match ordered(action) {
        Command::Order(order) => Command::ReceivedOrder {
            order,
            seen: u64::MAX,
        },
        other => other,
    }
}

#[test]
fn an_order_is_cluster_wide_if_its_command_is() {
    let orders = commands_of_every_kind()
        .into_iter()
        .filter(|(command, _)| command.is_order());
    let orders: Vec<_> = orders
        .flat_map(|(command, is_cluster_wide)| {
            let forms = [ordered(command.clone()), received(command)];
            forms.map(|form| (form, is_cluster_wide))
        })
        .collect();
    assert_eq!(orders.len(), 8);
    for (command, is_cluster_wide) in orders {
        assert_eq!(
            Command::is_cluster_wide(&command.pack()),
            is_cluster_wide,
            "{command:?}"
        );
    }
}

#[test]
fn cluster_wide_commands_are_recognised_by_their_encoding() {
    for (command, is_cluster_wide) in commands_of_every_kind() {
        assert_eq!(
            Command::is_cluster_wide(&command.pack()),
            is_cluster_wide,
            "{command:?}"
        );
    }
}

/// A batch for a light copy, sent at `now_ms`, up to the end of the log.
fn batch(state: &ClusterState, now_ms: u64) -> WatchBatch {
    WatchBatch {
        replica: REPLICA.into(),
        leader: REPLICA.into(),
        ok: true,
        sent: now_ms,
        quorum_age: 0,
        clock: 1000 + now_ms,
        commit: state.applied_index,
        snapshot: Vec::new(),
        snapshot_index: 0,
        entries: Vec::new(),
        replicas: vec![REPLICA.into()],
        light: true,
        reached: state.applied_index,
        incarnation: 0,
        follows: 0,
        config_index: 0,
        stamp: None,
    }
}

#[test]
fn a_light_node_follows_the_log_across_gaps_and_forwards_reads_of_jobs() {
    let settings = Settings {
        listen: "10.0.0.1:1".into(),
        seeds: vec![REPLICA.into()],
        share: 50,
        ..Settings::default()
    };
    let mut state = ClusterState::new(&settings.cluster);
    let mut node = Node::new(settings, Now { mono: 1, wall: 1 }, 1);
    let apply = |state: &mut ClusterState, command: Command| {
        let index = state.applied_index + 1;
        state
            .apply(index, 1000, &command)
            .map(|_| command)
            .map_err(|rejection| rejection.to_string())
    };
    let registration = Command::RegisterNode {
        node: HOLDER.into(),
        zone: "z".into(),
        http: HOLDER.into(),
    };
    apply(&mut state, registration).expect("applied");
    let first = WatchBatch {
        snapshot: state.without_jobs_and_workers().pack(),
        snapshot_index: state.applied_index,
        ..batch(&state, 1)
    };
    let receive = |node: &mut Node, now_ms: u64, batch: WatchBatch| {
        let now = Now {
            mono: now_ms,
            wall: now_ms,
        };
        node.step(
            now,
            Msg::Received(REPLICA.into(), Body::WatchBatch(Box::new(batch))),
        )
    };
    receive(&mut node, 1, first);
    // The entries up to this index concern a job and are left out.
    state.applied_index += 7;
    let grant = Command::GrantLease {
        lease: "queue/q".into(),
        holder: HOLDER.into(),
        from_epoch: 0,
    };
    let grant = apply(&mut state, grant).expect("applied");
    let entry = Entry {
        index: state.applied_index,
        term: 1,
        at: 1000,
        command: grant.pack(),
    };
    state.applied_index += 3;
    let next = WatchBatch {
        entries: vec![entry],
        ..batch(&state, 20)
    };
    receive(&mut node, 20, next);
    assert_eq!(node.state().applied_index, state.applied_index);
    assert_eq!(node.state().leases["queue/q"].holder, HOLDER);
    assert!(node.is_ready(Now { mono: 30, wall: 30 }));
    let read = Request {
        method: "GET".into(),
        path: "/v1/jobs/j".into(),
        ..Request::default()
    };
    let effects = node.step(Now { mono: 30, wall: 30 }, Msg::Call(1, read));
    let is_forwarded = effects.iter().any(|effect| {
        matches!(effect, Effect::Send(to, Body::ForwardRequest(request)) if to == HOLDER && request.path == "/v1/jobs/j")
    });
    assert!(is_forwarded, "{effects:?}");
}
