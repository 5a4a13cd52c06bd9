//! Faults of a random walk.

use landingdrift::sans_io::Rng;

/// Targets are drawn below this number; more than any walk has machines.
const TARGETS: u64 = 64;
/// The shortest outage or disturbance, in milliseconds.
const MIN_MS: u64 = 200;
/// How much longer than the shortest an outage may be, in milliseconds.
const DOWN_SPREAD_MS: u64 = 4000;
/// How much longer than the shortest a disturbance may be, in milliseconds.
const DURATION_SPREAD_MS: u64 = 8000;
/// Fewer unconfirmed writes than this reach the disk when power is lost.
const PERSISTED_WRITES: u64 = 3;
/// A planned replacement gives the newcomer at least this long to catch up, in milliseconds.
const MIN_OVERLAP_MS: u64 = 2000;
/// The smallest part of messages that is lost, in percent.
const MIN_LOSS_PERCENT: u64 = 5;
/// How much more than the smallest part may be lost, in percent.
const LOSS_SPREAD_PERCENT: u64 = 40;
/// The weights of all kinds together.
const KINDS: u64 = 14;

/// A fault. `target` chooses a machine among those that are up when the fault strikes, so that a fault which is left
/// out of a walk moves no other; times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and starts again.
    Kill { target: usize, down_ms: u64 },
    /// The machine loses power: only the first `persisted_writes` of the unconfirmed writes reach its disk.
    PowerLoss {
        target: usize,
        persisted_writes: usize,
        down_ms: u64,
    },
    /// All machines lose power at once.
    PowerLossOfAll {
        persisted_writes: usize,
        down_ms: u64,
    },
    /// The process stands still, and then handles all that it received meanwhile.
    Freeze { target: usize, duration_ms: u64 },
    /// Nothing passes from or to a machine, or in one direction only.
    Cut {
        target: usize,
        inward: bool,
        outward: bool,
        duration_ms: u64,
    },
    /// This part of all messages is lost.
    Lossy { percent: u64, duration_ms: u64 },
    /// The disk confirms nothing for a while.
    StallDisk { target: usize, duration_ms: u64 },
    /// The process is asked to stop, killed after its grace period, and started again.
    Restart { target: usize, down_ms: u64 },
    /// The machine loses its disk and comes back with an empty one.
    Wipe { target: usize, down_ms: u64 },
    /// The machine is gone for good; an empty one comes at another address.
    Replace { target: usize, newcomer_ms: u64 },
    /// An empty machine joins first, then the old one is asked to stop and never comes back.
    ReplacePlanned { target: usize, overlap_ms: u64 },
}

impl Fault {
    /// Whether a machine or a disk is lost with its data.
    pub(super) fn takes_data(self) -> bool {
        matches!(
            self,
            Self::Wipe { .. } | Self::Replace { .. } | Self::ReplacePlanned { .. }
        )
    }
}

/// A fault and when it strikes, in milliseconds after the beginning of the walk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    pub at_ms: u64,
    pub fault: Fault,
}

/// A random fault. All numbers are drawn in the same order for every kind, except those that only one kind needs.
pub(super) fn random_fault(rng: &mut Rng) -> Fault {
    let target = rng.below(TARGETS) as usize;
    let down_ms = MIN_MS + rng.below(DOWN_SPREAD_MS);
    let duration_ms = MIN_MS + rng.below(DURATION_SPREAD_MS);
    let persisted_writes = rng.below(PERSISTED_WRITES) as usize;
    match rng.below(KINDS) {
        0 => Fault::Kill { target, down_ms },
        1 | 2 => Fault::PowerLoss {
            target,
            persisted_writes,
            down_ms,
        },
        3 => Fault::PowerLossOfAll {
            persisted_writes,
            down_ms,
        },
        4 => Fault::Freeze {
            target,
            duration_ms,
        },
        5 => Fault::Cut {
            target,
            inward: true,
            outward: true,
            duration_ms,
        },
        6 => Fault::Cut {
            target,
            inward: rng.below(2) == 0,
            outward: true,
            duration_ms,
        },
        7 => Fault::Lossy {
            percent: MIN_LOSS_PERCENT + rng.below(LOSS_SPREAD_PERCENT),
            duration_ms,
        },
        8 => Fault::StallDisk {
            target,
            duration_ms: duration_ms / 2,
        },
        9 => Fault::Restart {
            target,
            down_ms: down_ms / 4,
        },
        10 => Fault::Wipe {
            target,
            down_ms: down_ms / 2,
        },
        11 => Fault::Replace {
            target,
            newcomer_ms: down_ms / 2,
        },
        _ => Fault::ReplacePlanned {
            target,
            overlap_ms: MIN_OVERLAP_MS + duration_ms / 2,
        },
    }
}
