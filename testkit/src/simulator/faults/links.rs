//! Faults of the links between processes.

use super::World;

impl World {
    /// Cuts a process off from others, in both directions or only towards them.
    pub(super) fn cut_off(&mut self, x: usize, others: &[usize], both: bool) {
        for j in others.iter().filter(|j| **j != x) {
            self.block(x, *j, both);
        }
    }

    pub(super) fn join_again(&mut self, x: usize, others: &[usize]) {
        for j in others {
            self.unblock(x, *j);
        }
    }

    /// Cuts all replicas off from all nodes.
    pub(super) fn cut_cores(&mut self) {
        for c in self.replicas() {
            for n in self.nodes() {
                self.block(c, n, true);
            }
        }
    }

    pub(super) fn join_cores(&mut self) {
        for c in self.replicas() {
            for n in self.nodes() {
                self.unblock(c, n);
            }
        }
    }

    fn block(&mut self, a: usize, b: usize, both: bool) {
        self.blocked.insert((a, b));
        if both {
            self.blocked.insert((b, a));
        }
    }

    fn unblock(&mut self, a: usize, b: usize) {
        self.blocked.remove(&(a, b));
        self.blocked.remove(&(b, a));
    }
}
