//! Faults of processes, their disks and their clocks.

use super::{Condition, Part, World};
use crate::history::Event;
use crate::scenario::Fault;
use landingdrift::sans_io::Msg;

/// How long a slow disk takes to write, and a sound one, in milliseconds.
pub(super) const SLOW_DISK_MS: u64 = 120;
pub(super) const SOUND_DISK_MS: u64 = 2;
/// How far a clock jumps where the fault doesn't say: an hour.
const CLOCK_JUMP_MS: i64 = 3_600_000;
/// New processes have addresses above those that a day starts with.
const NEW_ADDRESSES: usize = 50;
/// The most confirmed entries that a disk loses at once.
const LOST_ENTRIES_MOST: u64 = 4;

impl World {
    /// Kills all that runs in a zone, and its workers; gives the processes.
    pub(super) fn lose_zone(&mut self, zone: usize) -> Vec<usize> {
        let in_zone = |j: &usize| {
            let p = &self.procs[*j];
            p.zone == zone && !p.gone && p.up()
        };
        let lost: Vec<usize> = (0..self.procs.len()).filter(in_zone).collect();
        for j in &lost {
            self.kill(*j);
        }
        for h in 0..self.hands.len() {
            if self.hands[h].zone == zone {
                self.crash_worker(h);
            }
        }
        lost
    }

    /// A replica ends for good, and another one with nothing on its disk comes in its zone.
    pub(super) fn replace_core(&mut self, x: usize) {
        self.look();
        self.kill(x);
        self.procs[x].gone = true;
        let n = self.procs.len();
        let zone = self.procs[x].zone;
        self.add_core(zone, new_address(zone, n));
        self.owe(n);
    }

    pub(super) fn swap_node(&mut self, x: usize) {
        self.kill(x);
        self.procs[x].gone = true;
        let n = self.procs.len();
        let zone = self.procs[x].zone;
        self.add_node(zone, new_address(zone, n));
        // The platform names the new one to all who call.
        let nodes = self.node_http();
        self.client.nodes = nodes.clone();
        for operator in &mut self.operators {
            operator.nodes = nodes.clone();
        }
        for worker in self.hands.iter_mut().filter_map(|h| h.worker.as_mut()) {
            worker.nodes = nodes.clone();
        }
    }

    /// Kills all processes at once; some disks, from a replica's on, lose what they had confirmed last.
    pub(super) fn outage(&mut self, x: usize, tails_lost: u64) {
        self.look();
        for j in 0..self.procs.len() {
            self.kill(j);
        }
        let replicas = self.replicas();
        for k in 0..tails_lost as usize {
            self.lose_tail(replicas[(x + k) % replicas.len()]);
        }
    }

    pub(super) fn lose_tail(&mut self, x: usize) {
        self.owe(x);
        let n = 1 + self.rng.below(LOST_ENTRIES_MOST) as usize;
        let lost = if let Part::Replica(_, disk) = &mut self.procs[x].kind {
            disk.lose(n)
        } else {
            0
        };
        let addr = &self.procs[x].addr;
        self.outln(format!("the disk of {addr} lost {lost} confirmed entries"));
    }

    /// Clocks jump; gives the processes whose clocks do.
    pub(super) fn jump_clocks(&mut self, x: usize, f: &Fault) -> Vec<usize> {
        let by = match f.by {
            0 if f.lasts.is_multiple_of(2) => CLOCK_JUMP_MS,
            0 => -CLOCK_JUMP_MS,
            by => by,
        };
        let struck = self.several(x, f);
        for (n, c) in struck.iter().enumerate() {
            // An odd jump goes back at every second one, so that their clocks come apart.
            let back = n % 2 == 1 && by % 2 != 0;
            self.procs[*c].wall_off = if back { -by } else { by };
        }
        struck
    }

    /// The process struck, and the next ones of the replica where several are meant.
    fn several(&self, x: usize, f: &Fault) -> Vec<usize> {
        let mut of = vec![x];
        of.extend(self.replicas().into_iter().filter(|c| *c != x));
        of.truncate(f.amount.max(1) as usize);
        of
    }

    pub(super) fn set_delays(&mut self, x: usize, f: &Fault, ms: u64) {
        for c in self.several(x, f) {
            if let Part::Replica(_, disk) = &mut self.procs[c].kind {
                disk.delay = ms;
            }
        }
    }

    pub(super) fn set_conditions(&mut self, x: usize, f: &Fault, to: Condition) {
        for c in self.several(x, f) {
            if let Part::Replica(_, disk) = &mut self.procs[c].kind {
                disk.condition = to;
            }
        }
    }

    /// A process that was killed to be upgraded comes back with the next version of the wire.
    pub(super) fn upgrade(&mut self, x: usize) {
        self.kill(x);
        self.procs[x].wire += 1;
        self.start(x);
    }

    pub(super) fn end_outage(&mut self) {
        for j in 0..self.procs.len() {
            self.start(j);
        }
        self.note(Event::OutageOver);
        self.muster();
    }

    pub(super) fn regain_zone(&mut self, lost: &[usize]) {
        for j in lost {
            self.start(*j);
        }
        for h in 0..self.hands.len() {
            if self.hands[h].worker.is_none() {
                self.start_worker(h);
            }
        }
    }

    /// A process that stood still goes on.
    pub(super) fn wake(&mut self, x: usize) {
        if !std::mem::replace(&mut self.procs[x].frozen, false) {
            return;
        }
        let inbox = std::mem::take(&mut self.procs[x].inbox);
        // What waited may come before the process has looked at the time, or after.
        if self.rng.below(2) == 0 {
            self.reach(x, Msg::Tick);
        }
        for msg in inbox {
            self.reach(x, msg);
        }
    }
}

fn new_address(zone: usize, n: usize) -> String {
    format!("10.0.{zone}.{}:7000", NEW_ADDRESSES + n)
}
