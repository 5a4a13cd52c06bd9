//! Setting a world up at the beginning of a day.

use super::{Happening, WorkerMachine, World};
use crate::history::History;
use crate::scenario::{random_faults, Fault, Scenario};
use crate::simulator::EPOCH;
use crate::standin::client::Client;
use crate::standin::operator::Operator;
use landingdrift::sans_io::{Msg, Rng};
use landingdrift::settings::Settings;
use landingdrift::state::{JobSpec, WorkerInfo};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

impl World {
    /// A world at the beginning of a day.
    pub fn new(s: &Scenario, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let faults = planned_faults(s, seed);
        let mut mix = s.shape.mix();
        if s.rate > 0.0 {
            mix.rate = s.rate;
        }
        let replicas: Vec<String> = (0..3).map(|i| format!("10.0.{i}.1:7000")).collect();
        let settings = Settings {
            seeds: replicas.clone(),
            ..Settings::default()
        };
        let mut w = Self {
            t: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            client: Client::new("j", Vec::new(), mix, rng.number(), EPOCH),
            operators: Vec::new(),
            rng,
            shape: s.shape,
            scenario: s.clone(),
            faults,
            targets: BTreeMap::new(),
            procs: Vec::new(),
            by_addr: BTreeMap::new(),
            hands: Vec::new(),
            blocked: BTreeSet::new(),
            history: History::default(),
            log: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            settings,
            calm: false,
            seed,
            planned: VecDeque::new(),
            messages: 0,
            arrivals: BTreeMap::new(),
            answers_lost: 0,
            able: (0, Vec::new()),
            committed: 0,
            closing: false,
        };
        (0..3).for_each(|i| w.add_core(i, replicas[i].clone()));
        (0..if s.nodes > 0 {
            s.nodes
        } else {
            s.shape.nodes()
        })
            .for_each(|i| w.add_node(i % 3, format!("10.0.{}.{}:7000", i % 3, 10 + i)));
        let nodes = w.node_http();
        w.add_workers(s);
        w.add_callers(s, nodes);
        w.schedule_initial_events(s);
        w
    }

    /// Starts the workers of the scenario, over three zones and two services.
    fn add_workers(&mut self, s: &Scenario) {
        let services = s.shape.mix().services;
        for i in 0..if s.workers > 0 {
            s.workers
        } else {
            s.shape.workers()
        } {
            let labels = [
                (i % 3 != 0).then(|| "ssd".to_string()),
                (i % 4 == 0).then(|| "printer".to_string()),
            ]
            .into_iter()
            .flatten()
            .collect();
            let info = WorkerInfo {
                worker: format!("w{i}"),
                incarnation: 1,
                service: services[i % 2].clone(),
                labels,
                zone: format!("z{}", i % 3),
                cpu: s.shape.cpu(),
                ..WorkerInfo::default()
            };
            self.hands.push(WorkerMachine {
                worker: None,
                info,
                zone: i % 3,
                frozen: false,
                cut: false,
                inbox: Vec::new(),
                life: 0,
            });
            self.start_worker(i);
        }
    }

    /// Puts the client and the two operators in place of the ones that the world began with.
    fn add_callers(&mut self, s: &Scenario, nodes: Vec<String>) {
        let (seed_a, seed_b, seed_c) = (self.rng.number(), self.rng.number(), self.rng.number());
        self.client = Client::new(
            "j",
            nodes.clone(),
            {
                let mut m = s.shape.mix();
                if s.rate > 0.0 {
                    m.rate = s.rate
                }
                m
            },
            seed_a,
            EPOCH,
        );
        self.operators = vec![
            Operator::new("op0", nodes.clone(), seed_b),
            Operator::new("op1", nodes, seed_c),
        ];
        self.operators[0].apply(false, s.shape.config());
    }

    /// Schedules the faults, the first ticks and probes, and the end of the disturbances.
    fn schedule_initial_events(&mut self, s: &Scenario) {
        for i in 0..self.faults.len() {
            let at = self.faults[i].at;
            self.at(at, Happening::Fault(i));
        }
        self.at(1, Happening::ClientTick);
        self.at(500, Happening::Probe);
        self.at(0, Happening::Look);
        self.at(s.seconds * 1000, Happening::Calm);
    }

    /// Makes this a day of planned jobs alone, with free values of admission to be measured.
    pub fn measure(
        &mut self,
        jobs: Vec<(u64, JobSpec)>,
        hopper: landingdrift::settings::Hopper,
        speculation_percent: u32,
    ) {
        // Promises that such a load can't keep would spend the queues' allowances, and with them all copies.
        let mut config = self.shape.config();
        config["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["finishWithinMs"] = 0.into());
        config["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["quota"] = 20_000.into());
        config["queues"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|(_, q)| q["speculationPercent"] = speculation_percent.into());
        let (nodes, seed) = (self.node_http(), self.rng.number());
        self.operators[0] = Operator::new("op0", nodes, seed);
        self.operators[0].apply(false, config);
        self.planned = jobs.into();
        self.client.offering = false;
        self.client.cancels = 0.0;
        self.settings.hopper = hopper;
        let seed = self.seed;
        self.hands
            .iter_mut()
            .filter_map(|h| h.worker.as_mut())
            .for_each(|w| w.paired = Some(seed));
        for i in 0..self.procs.len() {
            let p = &self.procs[i];
            let settings = self.settings_of(&p.addr.clone(), p.zone, p.is_core());
            self.reach(i, Msg::SettingsChanged(Box::new(settings)));
        }
    }
}

/// The faults of the scenario and the drawn ones, in the order of their times.
fn planned_faults(s: &Scenario, seed: u64) -> Vec<Fault> {
    let mut faults = s.faults.clone();
    faults.extend(random_faults(
        &mut Rng::new(seed ^ 0xfa17),
        s.random,
        3000,
        s.seconds * 1000,
    ));
    faults.sort_by_key(|f| f.at);
    faults
}
