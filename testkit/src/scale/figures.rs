//! The figures of a scale run: how long starts took, and what each process took of the machine.

use super::processes::{usage, Usage};
use super::{LoopLag, ProcessUsage, ScaleError};
use hdrhistogram::Histogram;

/// The longest time that a histogram tells apart, in milliseconds: an hour.
const LONGEST_MS: u64 = 3_600_000;
/// Histograms keep so many decimal digits.
const DIGITS: u8 = 3;
/// The most memory of all processes together, in bytes: half of the machine's 24 GB, with something to spare.
const MAX_MEMORY: u64 = 11 << 30;
/// How often memory is looked at, in milliseconds.
const MEMORY_CHECK_MS: u64 = 1000;

/// An empty histogram of milliseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).expect("the bounds are right")
}

/// A process that is measured.
pub struct Measured {
    pub name: String,
    pub pid: u32,
}

/// Watches what processes take.
pub struct Meter {
    processes: Vec<Measured>,
    /// What each had taken when the measured time began.
    before: Vec<Usage>,
    memory_checked_ms: u64,
    lags: Histogram<u64>,
}

impl Meter {
    /// A meter that has not begun to measure.
    pub fn new(processes: Vec<Measured>, now: u64) -> Self {
        Self {
            processes,
            before: Vec::new(),
            memory_checked_ms: now,
            lags: histogram(),
        }
    }

    /// Whether the measured time has begun.
    pub fn has_begun(&self) -> bool {
        !self.before.is_empty()
    }

    /// Begins the measured time.
    pub fn begin(&mut self) {
        let processes = self.processes.iter();
        self.before = processes.map(|process| usage(process.pid)).collect();
    }

    /// Notes how long a round of the measured time took.
    pub fn note_lag(&mut self, duration_ms: u64) {
        self.lags.saturating_record(duration_ms.max(1));
    }

    /// Now and then: whether the processes leave the machine enough memory.
    pub fn check_memory(&mut self, now: u64) -> Result<(), ScaleError> {
        if now < self.memory_checked_ms + MEMORY_CHECK_MS {
            return Ok(());
        }
        self.memory_checked_ms = now;
        let processes = self.processes.iter();
        let resident: u64 = processes.map(|process| usage(process.pid).resident).sum();
        if resident >= MAX_MEMORY {
            let megabytes = resident >> 20;
            return Err(ScaleError::Memory { megabytes });
        }
        Ok(())
    }

    /// What each process took in the measured time of so many milliseconds.
    pub fn usage(&self, measured_ms: f64) -> Vec<ProcessUsage> {
        let pairs = self.processes.iter().zip(&self.before);
        pairs
            .map(|(process, before)| {
                let after = usage(process.pid);
                let processor_ms = (after.processor_ms - before.processor_ms) as f64;
                ProcessUsage {
                    name: process.name.clone(),
                    resident: after.resident,
                    peak_resident: after.peak_resident,
                    core_percent: 100.0 * processor_ms / measured_ms,
                }
            })
            .collect()
    }

    /// How long the rounds of the measured time took.
    pub fn lag(&self) -> LoopLag {
        LoopLag {
            median_ms: self.lags.value_at_quantile(0.5),
            longest_ms: self.lags.max(),
        }
    }
}
