//! The passage of virtual time.

use super::cluster::{Cluster, InFlight};
use landingdrift::sans_io::Msg;
use std::collections::BTreeSet;

/// A disk confirms its writes this often, in milliseconds.
const SYNC_EVERY_MS: u64 = 2;

impl Cluster {
    /// Lets time pass: messages arrive when they are due, machines get their ticks, disks confirm.
    /// Disks of the machines in `stalled` confirm nothing, and messages for which `is_lost` is true never arrive.
    pub fn run(
        &mut self,
        ms: u64,
        stalled: &BTreeSet<usize>,
        mut is_lost: impl FnMut(&InFlight) -> bool,
    ) {
        let until = self.now + ms;
        let tick = self.settings.bounds.tick_interval();
        while self.now < until {
            self.now += 1;
            self.deliver_due(&mut is_lost);
            if self.now.is_multiple_of(tick) {
                (0..self.machines.len())
                    .for_each(|machine_index| self.step_if_awake(machine_index));
            }
            if self.now.is_multiple_of(SYNC_EVERY_MS) {
                (0..self.machines.len())
                    .filter(|machine_index| !stalled.contains(machine_index))
                    .for_each(|machine_index| self.sync(machine_index));
            }
        }
    }

    fn step_if_awake(&mut self, machine_index: usize) {
        if !self.machines[machine_index].frozen {
            self.step(machine_index, Msg::Tick);
        }
    }

    fn deliver_due(&mut self, is_lost: &mut impl FnMut(&InFlight) -> bool) {
        let now = self.now;
        let network = std::mem::take(&mut self.network);
        let (due, later): (Vec<InFlight>, Vec<InFlight>) =
            network.into_iter().partition(|m| m.due <= now);
        self.network = later;
        for message in due {
            if !is_lost(&message) {
                self.deliver(message);
            }
        }
    }
}
