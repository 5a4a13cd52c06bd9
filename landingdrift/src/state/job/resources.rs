//! Resources of workers and tasks: CPU, memory, accelerators.

use serde::{Deserialize, Serialize};

/// Resources that a worker has or a task needs, in units chosen by the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, for example in cores or thousandths of a core.
    pub cpu: u32,
    /// Memory, for example in megabytes.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether each component is at least that of `other`.
    pub fn covers(self, other: Self) -> bool {
        other.cpu <= self.cpu
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// The component-wise difference, at least 0.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The component-wise sum, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The component-wise minimum.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
