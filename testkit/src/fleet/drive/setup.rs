//! What a day begins with: a fleet that is ready, its stand-in workers, clients and operator.

use super::calls::{call, callers, http_client};
use super::{Day, Hand, Outcome};
use crate::fleet::launch::Fleet;
use crate::fleet::{FleetError, Options};
use crate::history::History;
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use crate::standin::request;
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
/// Keeps the draws of a day apart from those of its client and operator, which have the same seed.
const DRAW_SALT: u64 = 77;

/// Runs a fleet's day and checks its history.
pub fn run(o: &Options) -> Result<Outcome, FleetError> {
    let fleet = Fleet::start(o)?;
    let nodes = fleet.nodes();
    let (tx, rx) = channel();
    let (back, answers) = channel();
    callers(rx, back);
    let http = http_client(STATE_TIMEOUT);
    await_ready(&http, &nodes)?;
    let start = Instant::now();
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let mut mix = o.shape.mix();
    if o.rate > 0.0 {
        mix.rate = o.rate;
    }
    let hands = (0..o.shape.workers())
        .map(|i| hand(o, i, &mix.services))
        .collect();
    let mut operator = Operator::new("op", nodes.clone(), o.seed);
    operator.apply(false, o.shape.config());
    let day = Day {
        o,
        fleet,
        start,
        history: History::default(),
        tx,
        hands,
        client: Client::new("j", nodes, mix, o.seed, epoch),
        operator,
        rng: Rng::new(o.seed ^ DRAW_SALT),
        healing: Vec::new(),
        down: BTreeSet::new(),
        http,
    };
    day.live(&answers, epoch)
}

/// Waits until all nodes are ready.
fn await_ready(http: &Http, nodes: &[String]) -> Result<(), FleetError> {
    let ready = |n: &String| call(http, n, &request("GET", "/ready", "", None)).status == 200;
    let waiting = Instant::now();
    while !nodes.iter().all(ready) {
        if waiting.elapsed() > READY_WITHIN {
            return Err(FleetError::NotReady(
                "not all nodes became ready within a minute".into(),
            ));
        }
        thread::sleep(READY_EVERY);
    }
    Ok(())
}

/// A worker that has not started: services, labels and zones go round, so that each comes with each.
fn hand(o: &Options, i: usize, services: &[String]) -> Hand {
    let label = (!i.is_multiple_of(3)).then(|| "ssd".to_string());
    let info = WorkerInfo {
        worker: format!("w{i}"),
        incarnation: 0,
        service: services[i % 2].clone(),
        labels: label.into_iter().collect(),
        zone: format!("z{}", i % 3),
        cpu: o.shape.cpu(),
        ..WorkerInfo::default()
    };
    Hand {
        worker: None,
        info,
        life: 0,
        cut: false,
    }
}
