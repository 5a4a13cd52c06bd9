//! Injects the faults of a random walk.

use super::fault::Fault;
use super::walk_runner::{Action, Cut, MessageLoss, StalledDisk, WalkRunner};
use landingdrift::sans_io::Msg;

/// After a power failure of all machines they come back at most this much apart, in milliseconds.
const POWER_ON_SPREAD_MS: u64 = 300;
/// The process ends, the machine does not: all writes reach the disk.
const ALL_WRITES: usize = usize::MAX;

impl WalkRunner<'_> {
    /// Injects a fault. One that takes data is skipped until the cluster has recovered from the one before.
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = self.cluster.now;
        if let Some(log) = &mut self.cluster.log {
            log.push(format!("{now:>6} {fault:?}"));
        }
        if fault.takes_data() {
            if !self.all_settled() {
                return;
            }
            self.check_repaired();
            self.data_losses += 1;
        }
        match fault {
            Fault::Kill { target, down_ms } => self.crash(target, ALL_WRITES, down_ms),
            Fault::PowerLoss {
                target,
                persisted_writes,
                down_ms,
            } => self.crash(target, persisted_writes, down_ms),
            Fault::PowerLossOfAll {
                persisted_writes,
                down_ms,
            } => self.crash_all(persisted_writes, down_ms),
            Fault::Freeze {
                target,
                duration_ms,
            } => self.freeze(target, duration_ms),
            Fault::Cut {
                target,
                inward,
                outward,
                duration_ms,
            } => self.cut(target, inward, outward, duration_ms),
            Fault::Lossy {
                percent,
                duration_ms,
            } => self.lose_messages(percent, duration_ms),
            Fault::StallDisk {
                target,
                duration_ms,
            } => self.stall_disk(target, duration_ms),
            Fault::Restart { target, down_ms } => self.restart(target, down_ms),
            Fault::Wipe { target, down_ms } => self.wipe(target, down_ms),
            Fault::Replace {
                target,
                newcomer_ms,
            } => self.replace(target, newcomer_ms),
            Fault::ReplacePlanned { target, overlap_ms } => {
                self.replace_planned(target, overlap_ms)
            }
        }
    }

    fn crash(&mut self, target: usize, persisted_writes: usize, down_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.cluster.crash(machine, persisted_writes);
            self.schedule(down_ms, Action::Start(machine));
        }
    }

    fn crash_all(&mut self, persisted_writes: usize, down_ms: u64) {
        for machine in self.up() {
            let delay_ms = self.rng.below(POWER_ON_SPREAD_MS);
            self.cluster.crash(machine, persisted_writes);
            self.schedule(down_ms + delay_ms, Action::Start(machine));
        }
    }

    fn freeze(&mut self, target: usize, duration_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.cluster.freeze(machine);
            self.schedule(duration_ms, Action::Thaw(machine));
        }
    }

    fn cut(&mut self, target: usize, inward: bool, outward: bool, duration_ms: u64) {
        if let Some(machine) = self.choose(target) {
            let until_ms = self.cluster.now + duration_ms;
            self.cuts.push(Cut {
                address: self.cluster.machines[machine].address.clone(),
                inward,
                outward,
                until_ms,
            });
            self.disturbed_until(until_ms);
        }
    }

    fn lose_messages(&mut self, percent: u64, duration_ms: u64) {
        let until_ms = self.cluster.now + duration_ms;
        self.message_loss = MessageLoss { percent, until_ms };
        self.disturbed_until(until_ms);
    }

    fn stall_disk(&mut self, target: usize, duration_ms: u64) {
        if let Some(machine) = self.choose(target) {
            let until_ms = self.cluster.now + duration_ms;
            self.stalled_disks.push(StalledDisk { machine, until_ms });
            self.disturbed_until(until_ms);
        }
    }

    fn restart(&mut self, target: usize, down_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.cluster.step(machine, Msg::Stop);
            let grace_ms = self.cluster.settings.bounds.grace_ms;
            self.schedule(grace_ms, Action::Kill(machine));
            self.schedule(grace_ms + down_ms, Action::Start(machine));
        }
    }

    fn wipe(&mut self, target: usize, down_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.cluster.wipe(machine);
            self.schedule(down_ms, Action::Start(machine));
        }
    }

    fn replace(&mut self, target: usize, newcomer_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.cluster.remove(machine);
            self.schedule(newcomer_ms, Action::AddNewcomer(machine));
        }
    }

    fn replace_planned(&mut self, target: usize, overlap_ms: u64) {
        if let Some(machine) = self.choose(target) {
            self.schedule(0, Action::AddNewcomer(machine));
            self.schedule(overlap_ms, Action::StopForGood(machine));
            self.disturbed_until(self.cluster.now + overlap_ms);
        }
    }
}
