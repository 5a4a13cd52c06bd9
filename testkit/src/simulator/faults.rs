//! Faults of a simulated day: selection of their targets, injection and healing.

mod links;
mod load;
mod machines;
mod workers;

use super::disk::{Condition, HEALTHY_WRITE_MS};
use super::world::{Action, World};
use crate::history::Event;
use crate::scenario::{Fault, FaultKind};
use landingdrift::sans_io::{Msg, Rng};
use serde_json::json;

/// How long a slow disk takes to write, in milliseconds.
const SLOW_DISK_MS: u64 = 120;
/// The slowness of a process with a slow link; see [`Process::slowness`](super::world::Process::slowness).
const SLOW_LINK_SLOWNESS: u64 = 8;
/// The factor on the durations of a slow worker's runs.
const SLOW_WORKER_FACTOR: f64 = 6.0;
/// The share of answers that are lost during a fault that loses answers, in percent.
const LOST_ANSWERS_PERCENT: u64 = 50;
/// The limit on attempts of every queue in [`Shape::config`](crate::scenario::Shape::config), restored after a fault.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// The quota of every queue in [`Shape::config`](crate::scenario::Shape::config), restored after a fault.
const DEFAULT_QUOTA: u32 = 2000;
/// The number of zones in every deployment, which is also the number of queues.
const ZONES_AND_QUEUES: usize = 3;

/// The part of the simulated world that a fault affects.
enum FaultDomain {
    /// Processes, disks and clocks.
    Machines,
    /// The network between processes.
    Links,
    Workers,
    /// The load: jobs and changes of the configuration.
    Load,
}

/// The part of the simulated world that faults of a kind affect.
fn fault_domain(kind: FaultKind) -> FaultDomain {
    use FaultKind::*;
    match kind {
        Kill | Freeze | LoseZone | SlowDisk | DiskFull | DiskStall | LoseTail | ReplaceCore
        | SwapNode | Outage | ClockJump | Restart | Upgrade | HangUp => FaultDomain::Machines,
        Cut | CutOneWay | SplitCore | CutCores | SlowLink | FlakyLink | LostAnswers => {
            FaultDomain::Links
        }
        WorkerCrash
        | WorkerGone
        | WorkerFreeze
        | WorkerSlow
        | WorkerFailing
        | WorkerCut
        | WorkerLeaves
        | WorkerLeavesUnannounced
        | WorkerChange => FaultDomain::Workers,
        Crowd | Huge | Doomed | Urgent | Wrong | Storm | Rivals | LargeConfig | HugeConfig
        | Drain | Evacuate | ZoneOrders | Tries | Quota => FaultDomain::Load,
    }
}

/// The role and number of a fault's named target, such as `core:1`.
fn named_target(fault: &Fault) -> Option<(&str, usize)> {
    let (role, number) = fault.target.split_once(':')?;
    Some((role, number.parse().ok()?))
}

impl World {
    fn all_processes(&self) -> Vec<usize> {
        (0..self.processes.len()).collect()
    }

    /// The replicas that are not lost permanently.
    fn replicas(&self) -> Vec<usize> {
        let processes = 0..self.processes.len();
        processes
            .filter(|number| self.processes[*number].is_replica())
            .filter(|number| !self.processes[*number].is_removed)
            .collect()
    }

    /// The nodes that are not lost permanently.
    fn nodes(&self) -> Vec<usize> {
        let processes = 0..self.processes.len();
        processes
            .filter(|number| self.processes[*number].is_node())
            .filter(|number| !self.processes[*number].is_removed)
            .collect()
    }

    /// The target of a fault: the number of a process, worker, zone or queue.
    fn target(&self, fault: &Fault) -> usize {
        let replicas = self.replicas();
        if fault.target == "leader" {
            return self.leader().unwrap_or(replicas[0]);
        }
        if let Some((role, number)) = named_target(fault) {
            let nodes = self.nodes();
            return match role {
                "core" => replicas[number % replicas.len()],
                "node" => nodes[number % nodes.len()],
                _ => number,
            };
        }
        let candidates = self.candidates(fault.kind);
        // Each fault has its own random generator, so that the removal of a fault from a scenario does not change the
        // targets of the others.
        let mut rng = Rng::new(self.seed ^ fault.at_ms);
        rng.pick(&candidates).copied().unwrap_or(0)
    }

    /// The possible targets, by its kind, of a fault that names no target.
    fn candidates(&self, kind: FaultKind) -> Vec<usize> {
        use FaultKind::*;
        match kind {
            SplitCore | SlowDisk | LoseTail | ReplaceCore | DiskFull | DiskStall => self.replicas(),
            SwapNode => self.nodes(),
            Tries | Quota | LoseZone | Drain | Evacuate | ZoneOrders => {
                (0..ZONES_AND_QUEUES).collect()
            }
            _ if matches!(fault_domain(kind), FaultDomain::Workers) => {
                (0..self.workers.len()).collect()
            }
            _ => [self.replicas(), self.nodes()].concat(),
        }
    }

    /// Injects the fault with this number, and schedules its end. Scheduled faults are skipped after the load has
    /// ended.
    pub(super) fn inject_fault(&mut self, number: usize) {
        let fault = self.faults[number].clone();
        if self.has_load_ended && fault.at_ms < self.now {
            return;
        }
        let target = self.target(&fault);
        self.active_faults.insert(number, vec![target]);
        self.log_line(&format!(
            "fault {:?} began: target {target}, duration {} ms, amount {}, clock jump {} ms",
            fault.kind, fault.duration_ms, fault.amount, fault.clock_jump_ms
        ));
        self.record(Event::FaultBegan {
            description: format!("{:?} {target} {number}", fault.kind),
        });
        match fault_domain(fault.kind) {
            FaultDomain::Machines => {
                let affected = self.inject_machine_fault(&fault, target);
                self.active_faults.insert(number, affected);
            }
            FaultDomain::Links => self.inject_link_fault(fault.kind, target),
            FaultDomain::Workers => self.inject_worker_fault(&fault, target),
            FaultDomain::Load => self.inject_load_fault(&fault, target),
        }
        self.observe_availability();
        self.schedule_in(fault.duration_ms, Action::HealFault(number));
    }

    /// Injects a fault of processes, disks or clocks; returns the affected processes.
    fn inject_machine_fault(&mut self, fault: &Fault, target: usize) -> Vec<usize> {
        use FaultKind::*;
        match fault.kind {
            Kill => self.kill(target),
            Freeze => self.processes[target].is_frozen = true,
            LoseZone => return self.lose_zone(target),
            SlowDisk => self.set_disk_delays(target, fault, SLOW_DISK_MS),
            DiskFull => self.set_disk_conditions(target, fault, Condition::Full),
            DiskStall => self.set_disk_conditions(target, fault, Condition::Stalled),
            LoseTail => {
                self.observe_availability();
                self.kill(target);
                self.lose_confirmed(target);
            }
            ReplaceCore => self.replace_replica(target),
            SwapNode => self.replace_node(target),
            Outage => self.begin_outage(target, fault.amount as usize),
            ClockJump => return self.jump_clocks(target, fault),
            Restart | Upgrade => self.step(target, Msg::Stop),
            HangUp => {
                let settings = self.settings_for(target);
                self.step(target, Msg::SettingsChanged(Box::new(settings)));
            }
            _ => {}
        }
        vec![target]
    }

    fn inject_link_fault(&mut self, kind: FaultKind, target: usize) {
        use FaultKind::*;
        match kind {
            Cut => self.partition(target, &self.all_processes()),
            CutOneWay => self.block_outgoing(target, &self.all_processes()),
            SplitCore => self.partition(target, &self.replicas()),
            CutCores => self.partition_replicas_from_nodes(),
            SlowLink => self.processes[target].slowness = SLOW_LINK_SLOWNESS,
            FlakyLink => self.processes[target].is_flaky = true,
            LostAnswers => self.lost_answers_percent = LOST_ANSWERS_PERCENT,
            _ => {}
        }
    }

    fn inject_worker_fault(&mut self, fault: &Fault, target: usize) {
        use FaultKind::*;
        match fault.kind {
            WorkerCrash | WorkerGone => self.crash_worker(target),
            WorkerFreeze => self.freeze_worker(target),
            WorkerSlow => self.set_slowdown(target, SLOW_WORKER_FACTOR),
            WorkerFailing => self.fail_runs(target, fault.amount),
            WorkerCut => self.set_worker_partitioned(target, true),
            WorkerLeaves => self.with_worker(target, |worker, now| worker.leave(now)),
            WorkerLeavesUnannounced => {
                self.with_worker(target, |worker, now| worker.leave_unannounced(now));
            }
            WorkerChange => {
                let cpu = self.workers[target].info.cpu / 4;
                self.with_worker(target, |worker, now| {
                    worker.change(now, cpu, Default::default())
                });
            }
            _ => {}
        }
    }

    /// Injects a fault by offering jobs or changing the configuration.
    fn inject_load_fault(&mut self, fault: &Fault, target: usize) {
        use FaultKind::*;
        match fault.kind {
            Crowd => self.offer_crowd(fault.amount, &self.shape.mix()),
            Huge => self.offer_huge_job(),
            Doomed => self.offer_doomed_jobs(),
            Urgent => self.offer_urgent_jobs(fault.amount),
            Wrong => self.offer_invalid_jobs(),
            Storm => self.change_configuration_in_turn(),
            Rivals => self.submit_conflicting_changes(),
            LargeConfig => self.apply_large_configuration(fault.amount),
            HugeConfig => self.apply_huge_configuration(),
            Drain => self.set_zone(target, "draining"),
            Evacuate => self.set_zone(target, "evacuated"),
            ZoneOrders => self.order_zone_by_turns(target, fault),
            Tries => self.set_queue(target, json!({"tries": 1})),
            Quota => self.set_queue(target, json!({"quota": 1})),
            _ => {}
        }
    }

    /// Heals the fault with this number, if it is active.
    pub(super) fn heal_fault(&mut self, number: usize) {
        let Some(affected) = self.active_faults.remove(&number) else {
            return;
        };
        let fault = self.faults[number].clone();
        let target = affected.first().copied().unwrap_or(0);
        self.log_line(&format!("fault {:?} healed: target {target}", fault.kind));
        self.record(Event::FaultEnded {
            description: format!("{:?} {target} {number}", fault.kind),
        });
        match fault_domain(fault.kind) {
            FaultDomain::Machines => self.heal_machine_fault(&fault, &affected, target),
            FaultDomain::Links => self.heal_link_fault(fault.kind, target),
            FaultDomain::Workers => self.heal_worker_fault(fault.kind, target),
            FaultDomain::Load => self.heal_load_fault(&fault, target),
        }
        self.observe_availability();
    }

    fn heal_machine_fault(&mut self, fault: &Fault, affected: &[usize], target: usize) {
        use FaultKind::*;
        match fault.kind {
            Kill | LoseTail | Restart => self.start(target),
            Upgrade => self.upgrade(target),
            Freeze => self.resume(target),
            LoseZone => self.restore_zone_and_all_workers(affected),
            SlowDisk => self.set_disk_delays(target, fault, HEALTHY_WRITE_MS),
            DiskFull | DiskStall => self.set_disk_conditions(target, fault, Condition::Sound),
            Outage => self.end_outage(),
            ClockJump => {
                for process in affected {
                    self.processes[*process].wall_offset_ms = 0;
                }
            }
            _ => {}
        }
    }

    fn heal_link_fault(&mut self, kind: FaultKind, target: usize) {
        use FaultKind::*;
        match kind {
            Cut | CutOneWay => self.reconnect(target, &self.all_processes()),
            SplitCore => self.reconnect(target, &self.replicas()),
            CutCores => self.reconnect_replicas_to_nodes(),
            SlowLink => self.processes[target].slowness = 1,
            FlakyLink => self.processes[target].is_flaky = false,
            LostAnswers => self.lost_answers_percent = 0,
            _ => {}
        }
    }

    fn heal_worker_fault(&mut self, kind: FaultKind, target: usize) {
        use FaultKind::*;
        match kind {
            WorkerCrash if self.workers[target].worker.is_none() => self.start_worker(target),
            WorkerFreeze => self.resume_worker(target),
            WorkerSlow => self.set_slowdown(target, 1.0),
            WorkerFailing => self.set_failing_share(target, 0.0),
            WorkerCut => self.set_worker_partitioned(target, false),
            WorkerLeaves | WorkerLeavesUnannounced => {
                self.crash_worker(target);
                self.start_worker(target);
            }
            WorkerChange => {
                let info = self.workers[target].info.clone();
                self.with_worker(target, |worker, now| {
                    worker.change(now, info.cpu, info.labels)
                });
            }
            _ => {}
        }
    }

    fn heal_load_fault(&mut self, fault: &Fault, target: usize) {
        use FaultKind::*;
        match fault.kind {
            Tries if fault.amount == 0 => {
                self.set_queue(target, json!({"tries": DEFAULT_MAX_ATTEMPTS}))
            }
            Quota => self.set_queue(target, json!({"quota": DEFAULT_QUOTA})),
            HugeConfig => self.remove_huge_configuration(),
            Drain | Evacuate => self.set_zone(target, "serving"),
            _ => {}
        }
    }
}
