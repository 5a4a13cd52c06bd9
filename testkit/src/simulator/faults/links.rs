//! Faults of the links between processes.

use super::World;

impl World {
    /// Partitions a process from others, in both directions.
    pub(super) fn partition(&mut self, process: usize, others: &[usize]) {
        for other in others {
            self.block_both_ways(process, *other);
        }
    }

    /// Blocks messages from a process to others; messages in the other direction arrive.
    pub(super) fn block_outgoing(&mut self, process: usize, others: &[usize]) {
        for other in others.iter().filter(|other| **other != process) {
            self.blocked.insert((process, *other));
        }
    }

    /// Ends any partition between a process and others, in both directions.
    pub(super) fn reconnect(&mut self, process: usize, others: &[usize]) {
        for other in others {
            self.unblock_both_ways(process, *other);
        }
    }

    pub(super) fn partition_replicas_from_nodes(&mut self) {
        for replica in self.replicas() {
            for node in self.nodes() {
                self.block_both_ways(replica, node);
            }
        }
    }

    pub(super) fn reconnect_replicas_to_nodes(&mut self) {
        for replica in self.replicas() {
            for node in self.nodes() {
                self.unblock_both_ways(replica, node);
            }
        }
    }

    /// Blocks messages between two processes in both directions.
    fn block_both_ways(&mut self, one: usize, other: usize) {
        if one != other {
            self.blocked.insert((one, other));
            self.blocked.insert((other, one));
        }
    }

    fn unblock_both_ways(&mut self, one: usize, other: usize) {
        self.blocked.remove(&(one, other));
        self.blocked.remove(&(other, one));
    }
}
