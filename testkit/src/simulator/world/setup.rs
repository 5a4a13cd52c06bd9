//! Setup of a world at the beginning of a day.

use super::schedule::PROBE_EVERY_MS;
use super::{Action, Availability, Link, Machine, PlannedJob, WorkerMachine, World};
use crate::fakes::client::Client;
use crate::fakes::operator::Operator;
use crate::history::History;
use crate::scenario::{random_faults, Fault, Scenario, FIRST_RANDOM_FAULT_MS};
use crate::simulator::EPOCH;
use landingdrift::sans_io::{Msg, Rng};
use landingdrift::settings::{Bounds, Hopper, Settings};
use landingdrift::state::WorkerInfo;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// The number of zones in every deployment, each with one replica.
const ZONES: usize = 3;
/// The last octet of the first node's address; replicas have 1.
const FIRST_NODE_OCTET: usize = 10;
/// A constant that gives random faults a random stream of their own.
const FAULTS_SEED: u64 = 0xfa17;
/// The quota of queues when policies are measured: large enough that no job is refused.
const MEASUREMENT_QUOTA: u64 = 20_000;

impl World {
    /// A world at the beginning of a day.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let replica_address = |zone: usize| format!("10.0.{zone}.1:7000");
        let settings = Settings {
            seeds: (0..ZONES).map(replica_address).collect(),
            bounds: Bounds {
                lease_ms: scenario.lease_ms,
                ..Bounds::default()
            },
            ..Settings::default()
        };
        let mut world = Self {
            now: 0,
            actions_scheduled: 0,
            queue: BinaryHeap::new(),
            // A placeholder until the addresses of the nodes are known; see `add_callers`.
            client: Client::new("j", Vec::new(), scenario.mix(), rng.next_u64(), EPOCH),
            operators: Vec::new(),
            rng,
            shape: scenario.shape,
            scenario: scenario.clone(),
            faults: planned_faults(scenario, seed),
            active_faults: BTreeMap::new(),
            processes: Vec::new(),
            process_by_address: BTreeMap::new(),
            workers: Vec::new(),
            blocked: BTreeSet::new(),
            history: History::default(),
            log: Vec::new(),
            open_calls: BTreeMap::new(),
            last_call: 0,
            settings,
            has_load_ended: false,
            seed,
            planned_jobs: VecDeque::new(),
            messages: 0,
            latest_arrivals_ms: BTreeMap::new(),
            lost_answers_percent: 0,
            availability: Availability::default(),
            highest_applied_index: 0,
            is_closing: false,
        };
        for zone in 0..ZONES {
            world.add_replica(zone, replica_address(zone));
        }
        for index in 0..scenario.node_count() {
            let zone = index % ZONES;
            let address = format!("10.0.{zone}.{}:7000", FIRST_NODE_OCTET + index);
            let class = scenario.class_of_node(index);
            let machine = Machine {
                share: class.share,
                link: Link::with_bandwidth_kbps(class.link_kbps),
            };
            world.add_node(zone, address, machine);
        }
        let nodes = world.node_addresses();
        world.add_workers(scenario);
        world.add_callers(scenario, nodes);
        world.schedule_first_actions(scenario);
        world
    }

    /// Adds and starts the workers of the scenario. Services, labels and zones repeat with different periods, so that
    /// most combinations of them occur.
    fn add_workers(&mut self, scenario: &Scenario) {
        let services = scenario.shape.mix().services;
        for index in 0..scenario.worker_count() {
            let mut labels = BTreeSet::new();
            if index % 3 != 0 {
                labels.insert("ssd".to_string());
            }
            if index % 4 == 0 {
                labels.insert("printer".to_string());
            }
            let zone = index % ZONES;
            let info = WorkerInfo {
                worker: format!("w{index}"),
                incarnation: 1,
                service: services[index % services.len()].clone(),
                labels,
                zone: format!("z{zone}"),
                cpu: scenario.shape.cpu(),
                ..WorkerInfo::default()
            };
            self.workers.push(WorkerMachine {
                worker: None,
                info,
                zone,
                is_frozen: false,
                is_partitioned: false,
                inbox: Vec::new(),
                incarnation: 0,
                proxy: None,
            });
            if scenario.has_worker_proxies {
                let address = format!("10.1.{zone}.{}:7000", FIRST_NODE_OCTET + index);
                self.workers[index].proxy = Some(address.clone());
                self.add_worker_proxy(zone, address);
            }
            self.start_worker(index);
        }
    }

    /// Creates the two operators, and the client that calls the nodes.
    fn add_callers(&mut self, scenario: &Scenario, nodes: Vec<String>) {
        let client_seed = self.rng.next_u64();
        let operator_seeds = [self.rng.next_u64(), self.rng.next_u64()];
        self.client = Client::new("j", nodes.clone(), scenario.mix(), client_seed, EPOCH);
        self.client.giving_up_share = scenario.giving_up_share;
        self.operators = vec![
            Operator::new("op0", nodes.clone(), operator_seeds[0]),
            Operator::new("op1", nodes, operator_seeds[1]),
        ];
        self.operators[0].queue_change(false, scenario.shape.config());
    }

    /// Schedules the faults, the first ticks and probes, and the end of the load.
    fn schedule_first_actions(&mut self, scenario: &Scenario) {
        for fault in 0..self.faults.len() {
            self.schedule(self.faults[fault].at_ms, Action::InjectFault(fault));
        }
        self.schedule(1, Action::TickCallers);
        self.schedule(PROBE_EVERY_MS, Action::Probe);
        self.schedule(0, Action::ObserveAvailability);
        self.schedule(scenario.seconds * 1000, Action::EndLoad);
    }

    /// Prepares the world to measure a policy: only the planned jobs are offered, and scheduling and speculation use
    /// the given parameters.
    pub fn prepare_measurement(
        &mut self,
        jobs: Vec<PlannedJob>,
        hopper: Hopper,
        speculation_percent: u32,
    ) {
        let mut config = self.shape.config();
        let queues = config["queues"].as_object_mut().into_iter().flatten();
        for (_, queue) in queues {
            // No deadline: missed deadlines would use up the queues' allowances and disable speculative copies.
            queue["finishWithinMs"] = json!(0);
            queue["quota"] = json!(MEASUREMENT_QUOTA);
            queue["speculationPercent"] = json!(speculation_percent);
        }
        let nodes = self.node_addresses();
        let operator_seed = self.rng.next_u64();
        self.operators[0] = Operator::new("op0", nodes, operator_seed);
        self.operators[0].queue_change(false, config);
        self.planned_jobs = jobs.into();
        self.client.is_offering = false;
        self.client.cancelled_share = 0.0;
        self.client.giving_up_share = 0.0;
        self.settings.hopper = hopper;
        let machines = self.workers.iter_mut();
        for worker in machines.filter_map(|machine| machine.worker.as_mut()) {
            worker.common_seed = Some(self.seed);
        }
        for process in 0..self.processes.len() {
            let settings = self.settings_for(process);
            self.step(process, Msg::SettingsChanged(Box::new(settings)));
        }
    }
}

/// The faults that the scenario names and the random ones, ordered by time.
fn planned_faults(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut rng = Rng::new(seed ^ FAULTS_SEED);
    let end_ms = scenario.seconds * 1000;
    let count = scenario.random_faults;
    let mut faults = scenario.faults.clone();
    faults.extend(random_faults(
        &mut rng,
        count,
        FIRST_RANDOM_FAULT_MS,
        end_ms,
    ));
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}
