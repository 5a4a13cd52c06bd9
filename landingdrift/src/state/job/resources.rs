//! Resources of workers and tasks: processors, memory, accelerators.

use serde::{Deserialize, Serialize};

/// Resources of a worker, or what a task needs of them; the units are the operator's choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors.
    pub cpu: u32,
    /// Memory.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `other` fits into it.
    pub fn covers(self, other: Self) -> bool {
        other.cpu <= self.cpu
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// What is left of it without `other`.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The smaller of each.
    pub fn min_of_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
