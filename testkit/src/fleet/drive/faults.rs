//! The faults of a day: what each does to the fleet and the fakes, and how it is healed.

use super::{Day, Repair, Stopping};
use crate::calls::call;
use crate::checkers::Violation;
use crate::fakes::request;
use crate::fleet::{FleetError, FleetProcess};
use crate::history::{Event, WORKER_REACHABLE, WORKER_UNREACHABLE};
use crate::scenario::{Fault, FaultKind};
use serde_json::{json, Map, Value};

/// The replicas that a fleet starts with.
const REPLICAS: usize = 3;
/// How long a process that is told to stop may take.
const STOP_TIMEOUT_MS: u64 = 10_000;
/// Changes of configuration in a storm.
const STORM_CHANGES: usize = 10;
/// The notes of a large configuration.
const LARGE_NOTES: usize = 2000;
/// The size of each of them, in bytes.
const LARGE_NOTE_BYTES: usize = 150;
/// What a disk loses that had not written everything, in bytes: some tens of entries.
const LOST_TAIL_BYTES: u64 = 6000;

impl Day<'_> {
    /// The process that says it leads; the first one where none does.
    fn leader(&self) -> usize {
        let status = request("GET", "/v1/status", "", None);
        let leads = |process: &FleetProcess| {
            process.is_replica()
                && call(&self.http, &process.http, &status).body["role"] == "Leader"
        };
        self.fleet.processes.iter().position(leads).unwrap_or(0)
    }

    /// The number of the process, worker or zone that a fault strikes.
    fn target(&self, fault: &Fault) -> usize {
        let (role, number) = fault
            .target
            .split_once(':')
            .unwrap_or((fault.target.as_str(), ""));
        let number = number.parse::<usize>().unwrap_or(0);
        match role {
            "leader" => self.leader(),
            "node" => self.node(number),
            "core" => number % REPLICAS,
            _ => number,
        }
    }

    /// The process that is the node of a number, counted round.
    fn node(&self, number: usize) -> usize {
        let processes = self.fleet.processes.iter().enumerate();
        let nodes = processes.filter(|(_, process)| process.is_node());
        let nodes: Vec<usize> = nodes.map(|(index, _)| index).collect();
        let chosen = number % nodes.len().max(1);
        nodes.get(chosen).copied().unwrap_or(0)
    }

    pub(super) fn strike(&mut self, fault: &Fault) {
        let target = self.target(fault);
        self.log_line(&format!("fault {:?} {}", fault.kind, fault.target));
        self.record(Event::FaultBegan {
            description: format!("{:?} {target}", fault.kind),
        });
        match fault.kind {
            FaultKind::Kill => self.kill(target),
            FaultKind::Freeze => self.freeze(target),
            FaultKind::Restart => self.ask_to_stop(target),
            FaultKind::HangUp => self.fleet.hang_up(target),
            FaultKind::Storm => self.change_often(),
            FaultKind::LargeConfig => self.apply_large_configuration(),
            FaultKind::Outage => self.kill_all(),
            FaultKind::LoseZone => self.kill_zone(target),
            FaultKind::LoseTail => self.lose_tail(target),
            FaultKind::ReplaceCore => self.replace_replica(target),
            FaultKind::WorkerCrash => self.end_worker(target),
            FaultKind::WorkerCut => self.cut_worker(target, true),
            FaultKind::WorkerLeaves => self.announce_leaving(target),
            FaultKind::WorkerLeavesUnannounced => {
                let now = self.now();
                self.with_worker(target, |worker| worker.leave_unannounced(now));
            }
            FaultKind::Drain => self.set_zone(target, "draining"),
            FaultKind::Evacuate => self.set_zone(target, "evacuated"),
            FaultKind::ZoneOrders => {
                let now = self.now();
                let zone = format!("z{target}");
                self.operator.order_zone_by_turns(now, &zone, fault);
            }
            other => self.log_line(&format!("{other:?} is for the simulator only: left out")),
        }
        self.note_down(fault.kind, target);
        self.record_availability();
        self.repairs.push(Repair {
            due_ms: self.now() + fault.duration_ms,
            fault: fault.clone(),
            target,
        });
    }

    /// Notes which processes a fault has taken away.
    fn note_down(&mut self, kind: FaultKind, target: usize) {
        use FaultKind::*;
        match kind {
            // A process that was asked to stop is down once it has ended.
            Kill | Freeze | LoseTail | ReplaceCore => {
                self.down.insert(target);
            }
            LoseZone => self.down.extend(self.processes_in(target)),
            Outage => self.down.extend(0..self.fleet.processes.len()),
            _ => {}
        }
    }

    /// The processes in a zone.
    fn processes_in(&self, zone: usize) -> Vec<usize> {
        let processes = self.fleet.processes.iter().enumerate();
        let in_zone = processes.filter(|(_, process)| process.zone == zone);
        in_zone.map(|(index, _)| index).collect()
    }

    /// Records that a node went down; nothing is recorded of replicas.
    fn record_node_down(&mut self, index: usize) {
        let process = &self.fleet.processes[index];
        if process.is_node() {
            let node = process.http.clone();
            self.record(Event::NodeDown { node });
        }
    }

    fn kill(&mut self, index: usize) {
        self.forget_stopping(index);
        self.fleet.kill(index);
        self.record_node_down(index);
    }

    /// Asks a process to stop gracefully; it serves on meanwhile, and whoever has a connection uses it.
    fn ask_to_stop(&mut self, index: usize) {
        if !self.fleet.is_running(index) || self.is_stopping(index) {
            return;
        }
        self.fleet.ask_to_stop(index);
        self.stopping.push(Stopping {
            process: index,
            kill_at_ms: self.now() + STOP_TIMEOUT_MS,
        });
    }

    /// Looks which processes that were asked to stop have ended, and kills those that took too long.
    pub(super) fn reap_stopping(&mut self) {
        let now = self.now();
        for stopping in std::mem::take(&mut self.stopping) {
            let index = stopping.process;
            match self.fleet.take_exit(index) {
                Some(is_graceful) => self.note_stopped(index, is_graceful),
                None if now >= stopping.kill_at_ms => {
                    self.fleet.kill(index);
                    self.note_stopped(index, false);
                }
                None => self.stopping.push(stopping),
            }
        }
    }

    fn is_stopping(&self, index: usize) -> bool {
        let mut stopping = self.stopping.iter();
        stopping.any(|stopping| stopping.process == index)
    }

    /// Has a process stand still, unless it is on its way to its end: that has to come in time.
    fn freeze(&mut self, index: usize) {
        if !self.is_stopping(index) {
            self.fleet.freeze(index);
        }
    }

    /// A process that was asked to stop is killed by a fault before it has ended.
    fn forget_stopping(&mut self, index: usize) {
        self.stopping.retain(|stopping| stopping.process != index);
    }

    fn note_stopped(&mut self, index: usize, is_graceful: bool) {
        if !is_graceful {
            let listen = self.fleet.processes[index].listen.clone();
            let description = format!("{listen} did not stop gracefully");
            let violation = Violation::new("stops when asked to", self.now(), description);
            self.violations.push(violation);
        }
        self.down.insert(index);
        self.record_node_down(index);
        self.record_availability();
    }

    /// The operator changes the configuration often, one change upon the other.
    fn change_often(&mut self) {
        for index in 0..STORM_CHANGES {
            let change = json!({"notes": {"storm": index.to_string()}});
            self.operator.queue_change(true, change);
        }
    }

    fn apply_large_configuration(&mut self) {
        let text = "x".repeat(LARGE_NOTE_BYTES);
        let note = |index| (format!("n{index}"), json!(text));
        let notes: Map<String, Value> = (0..LARGE_NOTES).map(note).collect();
        self.operator.queue_change(true, json!({"notes": notes}));
    }

    fn kill_all(&mut self) {
        for index in 0..self.fleet.processes.len() {
            self.kill(index);
        }
    }

    /// Kills the processes of a zone together with the workers there.
    fn kill_zone(&mut self, zone: usize) {
        for index in self.processes_in(zone) {
            self.kill(index);
        }
        let zone = format!("z{zone}");
        for index in 0..self.workers.len() {
            if self.workers[index].info.zone == zone {
                self.end_worker(index);
            }
        }
    }

    fn lose_tail(&mut self, index: usize) {
        self.forget_stopping(index);
        self.fleet.kill(index);
        let line = match self.fleet.truncate_log(index, LOST_TAIL_BYTES) {
            Ok(bytes) => format!("its disk lost the last {bytes} bytes"),
            Err(error) => error.to_string(),
        };
        self.log_line(&line);
    }

    fn replace_replica(&mut self, index: usize) {
        self.forget_stopping(index);
        let line = match self.fleet.replace(index) {
            Ok(()) => "an empty core starts at a new address".into(),
            Err(error) => error.to_string(),
        };
        self.log_line(&line);
    }

    /// Cuts a worker off from all processes, or connects it to them again.
    fn cut_worker(&mut self, index: usize, is_cut: bool) {
        self.workers[index].is_cut = is_cut;
        let state = if is_cut {
            WORKER_UNREACHABLE
        } else {
            WORKER_REACHABLE
        };
        let description = format!("{state}w{index}");
        self.record(Event::FaultBegan { description });
    }

    fn announce_leaving(&mut self, index: usize) {
        let now = self.now();
        self.with_worker(index, |worker| worker.leave(now));
    }

    fn set_zone(&mut self, zone: usize, state: &str) {
        self.operator.set_zone(&format!("z{zone}"), state);
    }

    /// Records what could work now.
    pub(super) fn record_availability(&mut self) {
        let processes = self.fleet.processes.iter().enumerate();
        let up = processes.filter(|(index, _)| !self.down.contains(index));
        let (replicas, nodes): (Vec<_>, Vec<_>) = up
            .map(|(_, process)| process)
            .partition(|process| process.is_replica());
        let replicas = replicas.len();
        let nodes = nodes.iter().filter(|process| process.is_node());
        let nodes: Vec<String> = nodes.map(|node| node.http.clone()).collect();
        if self.options.clients_call_any_node {
            self.client.ready_nodes.clone_from(&nodes);
        }
        self.record(Event::Availability { replicas, nodes });
    }

    pub(super) fn heal(&mut self, fault: &Fault, target: usize) -> Result<(), FleetError> {
        use FaultKind::*;
        match fault.kind {
            Kill | Restart | LoseTail => self.fleet.start_process(target)?,
            LoseZone => {
                self.start_all_processes()?;
                self.start_dead_workers();
            }
            Freeze => self.fleet.thaw(target),
            Outage => {
                self.start_all_processes()?;
                self.record(Event::OutageEnded);
            }
            WorkerCrash if self.workers[target].worker.is_none() => self.start_worker(target),
            WorkerCut => self.cut_worker(target, false),
            WorkerLeaves | WorkerLeavesUnannounced => {
                self.end_worker(target);
                self.start_worker(target);
            }
            Drain | Evacuate => self.set_zone(target, "serving"),
            _ => {}
        }
        self.note_up(fault.kind, target);
        self.record_availability();
        self.record(Event::FaultEnded {
            description: format!("{:?} {target}", fault.kind),
        });
        Ok(())
    }

    /// Notes which processes are back once a fault is healed.
    fn note_up(&mut self, kind: FaultKind, target: usize) {
        use FaultKind::*;
        match kind {
            Outage | LoseZone => {
                let processes = &self.fleet.processes;
                self.down.retain(|index| processes[*index].is_gone);
            }
            Kill | Freeze | Restart | LoseTail => {
                self.down.remove(&target);
            }
            _ => {}
        }
    }

    fn start_all_processes(&mut self) -> Result<(), FleetError> {
        for index in 0..self.fleet.processes.len() {
            self.fleet.start_process(index)?;
        }
        Ok(())
    }

    fn start_dead_workers(&mut self) {
        for index in 0..self.workers.len() {
            if self.workers[index].worker.is_none() {
                self.start_worker(index);
            }
        }
    }
}
