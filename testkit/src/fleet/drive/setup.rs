//! What a day begins with: a fleet that is ready, its fake workers, client and operator.

use super::{Answer, Day, Outcome, WorkerSlot};
use crate::calls::{call, http_client, start_callers};
use crate::fakes::client::Client;
use crate::fakes::operator::Operator;
use crate::fakes::request;
use crate::fleet::launch::Fleet;
use crate::fleet::{FleetError, Options};
use crate::history::History;
use landingdrift::sans_io::Rng;
use landingdrift::state::WorkerInfo;
use reqwest::blocking::Client as Http;
use std::collections::BTreeSet;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A process that is asked for its state should answer within this time.
const STATE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long all nodes may take until they are ready.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// How often nodes are asked whether they are ready.
const READY_EVERY: Duration = Duration::from_millis(50);
/// Mixed into the seed, so that the day draws other numbers than its client and operator, which have the same seed.
const DAY_SEED: u64 = 77;
/// Threads that call: enough that a process which does not answer holds up nobody else.
const CALLERS: usize = 24;

/// Runs a fleet's day and checks its history.
pub fn run(options: &Options) -> Result<Outcome, FleetError> {
    let fleet = Fleet::start(options)?;
    let nodes = fleet.nodes();
    let (sender, answers) = channel();
    let calls = start_callers(CALLERS, &sender, |key, response| Answer { key, response });
    let http = http_client(STATE_TIMEOUT);
    await_ready(&http, &nodes)?;
    let start = Instant::now();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let epoch_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
    let mut mix = options.shape.mix();
    if options.jobs_per_second > 0.0 {
        mix.jobs_per_second = options.jobs_per_second;
    }
    if options.doomed_share > 0.0 {
        mix.doomed_share = options.doomed_share;
    }
    let workers = (0..options.shape.workers())
        .map(|index| worker_slot(options, index, &mix.services))
        .collect();
    let mut operator = Operator::new("op", nodes.clone(), options.seed);
    operator.queue_change(false, options.shape.config());
    let day = Day {
        options,
        fleet,
        start,
        history: History::default(),
        calls,
        workers,
        client: Client::new("j", nodes, mix, options.seed, epoch_ms),
        operator,
        rng: Rng::new(options.seed ^ DAY_SEED),
        repairs: Vec::new(),
        stopping: Vec::new(),
        violations: Vec::new(),
        has_asked_again: false,
        down: BTreeSet::new(),
        http,
    };
    day.run(&answers, epoch_ms)
}

/// Waits until all nodes are ready.
fn await_ready(http: &Http, nodes: &[String]) -> Result<(), FleetError> {
    let ready = request("GET", "/ready", "", None);
    let is_ready = |node: &String| call(http, node, &ready).status == 200;
    let begin = Instant::now();
    while !nodes.iter().all(is_ready) {
        if begin.elapsed() > READY_WITHIN {
            return Err(FleetError::NotReady(
                "not all nodes became ready within a minute".into(),
            ));
        }
        thread::sleep(READY_EVERY);
    }
    Ok(())
}

/// A worker that has not started. Services, labels and zones go round at different periods, so that each comes with
/// each.
fn worker_slot(options: &Options, index: usize, services: &[String]) -> WorkerSlot {
    let mut labels = BTreeSet::new();
    if !index.is_multiple_of(3) {
        labels.insert("ssd".to_string());
    }
    let info = WorkerInfo {
        worker: format!("w{index}"),
        incarnation: 0,
        service: services[index % services.len()].clone(),
        labels,
        zone: format!("z{}", index % 3),
        cpu: options.shape.cpu(),
        ..WorkerInfo::default()
    };
    WorkerSlot {
        worker: None,
        info,
        incarnation: 0,
        is_cut: false,
    }
}
