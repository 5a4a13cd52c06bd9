//! What a scale run begins with: hollow nodes that listen, fake workers and an operator.

use super::connections::{listen, Connections};
use super::drive::{Input, ScaleRun};
use super::figures::{histogram, Measured};
use super::hollow::{clock, HollowNode};
use super::processes::child_at;
use super::{Options, ScaleError};
use crate::calls::{call, http_client, start_callers};
use crate::fakes::operator::Operator;
use crate::fakes::request;
use crate::fakes::worker::Worker;
use crate::fleet::Fleet;
use crate::measure::capacity::{config, info, ZONES};
use landingdrift::node::Node;
use landingdrift::sans_io::Rng;
use landingdrift::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// The third part of the addresses of hollow nodes in the first run; the fleet's own processes use lower ones.
const FIRST_SUBNET: usize = 100;
/// Calls made at once; each thread waits for its answer.
const CALLERS: usize = 32;
/// How long a process may take to tell its role.
const ROLE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The real processes and this one, by names that tell their roles.
pub(super) fn measured_processes(fleet: &Fleet) -> Vec<Measured> {
    let mut measured = Vec::new();
    for process in &fleet.processes {
        let status = request("GET", "/v1/status", "", None);
        let http = http_client(ROLE_TIMEOUT);
        let leads = call(&http, &process.http, &status).body["role"] == "Leader";
        let role = match (process.is_replica(), leads) {
            (true, true) => "core leader",
            (true, false) => "core follower",
            (false, _) => "node",
        };
        if let Some(pid) = child_at(&process.listen) {
            let name = format!("{role} {}", process.listen);
            measured.push(Measured { name, pid });
        }
    }
    measured.push(Measured {
        name: "this process (hollow)".into(),
        pid: std::process::id(),
    });
    measured
}

/// The address for HTTP of a hollow node that listens at an address for frames.
fn http_address(listen: &str) -> String {
    listen.replace(":7000", ":8000")
}

/// The second part of the addresses of a fleet, which hollow nodes share.
fn network_of(seeds: &[String]) -> String {
    let first = seeds.first().and_then(|seed| seed.split('.').nth(1));
    first.unwrap_or("9").to_string()
}

fn hollow_nodes(
    options: &Options,
    seeds: &[String],
    cluster: &str,
    rng: &mut Rng,
) -> Vec<HollowNode> {
    let network = network_of(seeds);
    let subnet = FIRST_SUBNET + options.run_index;
    let now = clock(Instant::now());
    let hollow_node = |index: usize| {
        let ip = format!("127.{network}.{subnet}.{}", 1 + index);
        let settings = Settings {
            cluster: cluster.into(),
            listen: format!("{ip}:7000"),
            http: format!("{ip}:8000"),
            zone: format!("z{}", index % ZONES),
            seeds: seeds.to_vec(),
            ..Settings::default()
        };
        HollowNode {
            address: settings.listen.clone(),
            node: Node::new(settings, now, rng.next_u64()),
        }
    };
    (0..options.nodes).map(hollow_node).collect()
}

impl<'a> ScaleRun<'a> {
    /// A run beside a fleet, before anything was sent.
    pub(super) fn new(
        options: &'a Options,
        fleet: &Fleet,
        inputs: &Sender<Input>,
    ) -> Result<Self, ScaleError> {
        let mut rng = Rng::new(options.seed);
        let replicas = fleet
            .processes
            .iter()
            .filter(|process| process.is_replica());
        let seeds: Vec<String> = replicas.map(|process| process.listen.clone()).collect();
        let cluster = format!("fleet-{}", network_of(&seeds));
        let nodes = hollow_nodes(options, &seeds, &cluster, &mut rng);
        for (index, node) in nodes.iter().enumerate() {
            let input = move |frame| Input::Frame(index, frame);
            listen(&node.address, inputs, input).map_err(|source| ScaleError::Address {
                address: node.address.clone(),
                source,
            })?;
        }
        let hollow_http = nodes.iter().map(|node| http_address(&node.address));
        let by_http: BTreeMap<String, usize> = hollow_http.clone().zip(0..).collect();
        let by_listen = nodes.iter().map(|node| node.address.clone()).zip(0..);
        let all_http: Vec<String> = fleet.nodes().into_iter().chain(hollow_http).collect();
        let workers = (0..options.workers)
            .map(|index| Worker::new(info(index), all_http.clone(), rng.next_u64()))
            .collect();
        let mut operator = Operator::new("op", fleet.nodes(), rng.next_u64());
        operator.queue_change(false, config());
        Ok(Self {
            options,
            start: Instant::now(),
            cluster,
            by_listen: by_listen.collect(),
            by_http,
            nodes,
            local_messages: VecDeque::new(),
            connections: Connections::default(),
            real_calls: start_callers(CALLERS, inputs, Input::Answer),
            calls: BTreeMap::new(),
            last_call: 0,
            workers,
            operator,
            all_http,
            rng,
            due_jobs: BTreeSet::new(),
            open_jobs: BTreeMap::new(),
            submitted_ms: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            accepted: 0,
            starts: 0,
            measured_from: u64::MAX,
            first_start_ms: histogram(),
            each_start_ms: histogram(),
        })
    }
}
