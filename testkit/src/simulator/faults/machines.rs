//! Faults of processes, their disks and their clocks.

use super::{Condition, World};
use crate::history::Event;
use crate::scenario::Fault;
use crate::simulator::world::{Machine, Process};
use landingdrift::sans_io::Msg;

/// The size of a clock jump, unless the fault gives one, in milliseconds: an hour.
const CLOCK_JUMP_MS: i64 = 3_600_000;
/// The number added to a replacement's process number for the last octet of its address, above the addresses that a day
/// starts with.
const REPLACEMENT_OCTET_OFFSET: usize = 50;
/// The maximum number of confirmed batches that a disk loses in one fault.
const MAX_LOST_BATCHES: u64 = 4;

impl World {
    /// Kills all processes and workers in a zone; returns the processes.
    pub(super) fn lose_zone(&mut self, zone: usize) -> Vec<usize> {
        let is_running_in_zone =
            |process: &Process| process.zone == zone && !process.is_removed && process.is_up();
        let mut lost = self.all_processes();
        lost.retain(|number| is_running_in_zone(&self.processes[*number]));
        for process in &lost {
            self.kill(*process);
        }
        for worker in 0..self.workers.len() {
            if self.workers[worker].zone == zone {
                self.crash_worker(worker);
            }
        }
        lost
    }

    /// Removes a replica permanently, and adds another with an empty disk in the same zone.
    pub(super) fn replace_replica(&mut self, replaced: usize) {
        self.observe_availability();
        self.kill(replaced);
        self.processes[replaced].is_removed = true;
        let replacement = self.processes.len();
        let zone = self.processes[replaced].zone;
        self.add_replica(zone, new_address(zone, replacement));
        self.record_disk_loss(replacement);
    }

    /// Removes a node permanently, adds another in the same zone, and updates the callers' lists of nodes, as the
    /// platform does.
    pub(super) fn replace_node(&mut self, replaced: usize) {
        self.kill(replaced);
        self.processes[replaced].is_removed = true;
        let replacement = self.processes.len();
        let zone = self.processes[replaced].zone;
        let machine = Machine {
            share: self.processes[replaced].machine.share,
            link: self.processes[replaced].machine.link.clone(),
        };
        self.add_node(zone, new_address(zone, replacement), machine);
        let nodes = self.node_addresses();
        self.client.nodes = nodes.clone();
        for operator in &mut self.operators {
            operator.nodes = nodes.clone();
        }
        let worker_machines = self.workers.iter_mut();
        let without_proxy = worker_machines.filter(|machine| machine.proxy.is_none());
        for worker in without_proxy.filter_map(|machine| machine.worker.as_mut()) {
            worker.nodes = nodes.clone();
        }
    }

    /// Kills all processes at once. The disks of `disks_lost` replicas, from `first_lost` on, lose the last batches
    /// that they had confirmed.
    pub(super) fn begin_outage(&mut self, first_lost: usize, disks_lost: usize) {
        self.observe_availability();
        for process in self.all_processes() {
            self.kill(process);
        }
        let replicas = self.replicas();
        for index in 0..disks_lost {
            self.lose_confirmed(replicas[(first_lost + index) % replicas.len()]);
        }
    }

    /// Makes a replica's disk lose the last batches that it had confirmed.
    pub(super) fn lose_confirmed(&mut self, replica: usize) {
        self.record_disk_loss(replica);
        let batches = 1 + self.rng.below(MAX_LOST_BATCHES) as usize;
        let process = &mut self.processes[replica];
        let lost = process
            .disk_mut()
            .map_or(0, |disk| disk.lose_confirmed(batches));
        let address = &process.address;
        let line = format!("the disk of {address} lost {lost} confirmed entries");
        self.log_line(&line);
    }

    /// Makes the wall clocks of the target and of other replicas jump; returns the affected processes.
    pub(super) fn jump_clocks(&mut self, target: usize, fault: &Fault) -> Vec<usize> {
        let jump_ms = match fault.clock_jump_ms {
            0 if fault.duration_ms.is_multiple_of(2) => CLOCK_JUMP_MS,
            0 => -CLOCK_JUMP_MS,
            jump_ms => jump_ms,
        };
        let affected = self.affected_replicas(target, fault);
        for (index, process) in affected.iter().enumerate() {
            // An odd jump is reversed for every second process, so that their clocks diverge.
            let is_opposite = index % 2 == 1 && jump_ms % 2 != 0;
            self.processes[*process].wall_offset_ms = if is_opposite { -jump_ms } else { jump_ms };
        }
        affected
    }

    /// The target and other replicas: `amount` processes in all, one if it is 0.
    fn affected_replicas(&self, target: usize, fault: &Fault) -> Vec<usize> {
        let others = self.replicas().into_iter();
        let others = others.filter(|replica| *replica != target);
        let count = fault.amount.max(1) as usize;
        std::iter::once(target).chain(others).take(count).collect()
    }

    pub(super) fn set_disk_delays(&mut self, target: usize, fault: &Fault, delay_ms: u64) {
        for replica in self.affected_replicas(target, fault) {
            if let Some(disk) = self.processes[replica].disk_mut() {
                disk.delay_ms = delay_ms;
            }
        }
    }

    pub(super) fn set_disk_conditions(
        &mut self,
        target: usize,
        fault: &Fault,
        condition: Condition,
    ) {
        for replica in self.affected_replicas(target, fault) {
            if let Some(disk) = self.processes[replica].disk_mut() {
                disk.condition = condition;
            }
        }
    }

    /// Ends a process, if it is still running, and starts it with the next wire version.
    pub(super) fn upgrade(&mut self, process: usize) {
        self.kill(process);
        self.processes[process].wire_version += 1;
        self.start(process);
    }

    pub(super) fn end_outage(&mut self) {
        for process in self.all_processes() {
            self.start(process);
        }
        self.record(Event::OutageEnded);
        self.offer_recovery_jobs();
    }

    /// Starts the processes of a lost zone, and all workers that are down.
    pub(super) fn restore_zone_and_all_workers(&mut self, lost: &[usize]) {
        for process in lost {
            self.start(*process);
        }
        for worker in 0..self.workers.len() {
            if self.workers[worker].worker.is_none() {
                self.start_worker(worker);
            }
        }
    }

    /// Resumes a frozen process, which then handles the messages that arrived in the meantime.
    pub(super) fn resume(&mut self, number: usize) {
        let process = &mut self.processes[number];
        if !std::mem::replace(&mut process.is_frozen, false) {
            return;
        }
        let inbox = std::mem::take(&mut process.inbox);
        // A tick may come before the waiting messages, at random.
        if self.rng.below(2) == 0 {
            self.step(number, Msg::Tick);
        }
        for message in inbox {
            self.step(number, message);
        }
    }
}

fn new_address(zone: usize, process: usize) -> String {
    format!("10.0.{zone}.{}:7000", REPLACEMENT_OCTET_OFFSET + process)
}
