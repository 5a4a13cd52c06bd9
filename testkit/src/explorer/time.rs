//! How time passes for the machines.

use super::cluster::{Cluster, InFlight};
use landingdrift::sans_io::Msg;
use std::collections::BTreeSet;

impl Cluster {
    /// Lets time pass: messages arrive when they are due, machines look at the time.
    /// Disks named as stalled confirm nothing.
    pub fn run(
        &mut self,
        ms: u64,
        stalled: &BTreeSet<usize>,
        mut lossy: impl FnMut(&InFlight) -> bool,
    ) {
        let until = self.now + ms;
        let tick = self.settings.bounds.tick();
        while self.now < until {
            self.now += 1;
            self.deliver_due(&mut lossy);
            if self.now.is_multiple_of(tick) {
                (0..self.machines.len()).for_each(|i| self.step_if_awake(i));
            }
            if self.now.is_multiple_of(2) {
                (0..self.machines.len())
                    .filter(|i| !stalled.contains(i))
                    .for_each(|i| self.sync(i));
            }
        }
    }

    fn step_if_awake(&mut self, i: usize) {
        if !self.machines[i].frozen {
            self.step(i, Msg::Tick);
        }
    }

    fn deliver_due(&mut self, lossy: &mut impl FnMut(&InFlight) -> bool) {
        let now = self.now;
        let network = std::mem::take(&mut self.network);
        let (due, later): (Vec<InFlight>, Vec<InFlight>) =
            network.into_iter().partition(|m| m.due <= now);
        self.network = later;
        for message in due {
            if !lossy(&message) {
                self.deliver(message);
            }
        }
    }
}
