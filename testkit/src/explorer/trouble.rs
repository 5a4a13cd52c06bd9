//! What can befall the machines on a walk.

use landingdrift::sans_io::Rng;

/// What can befall the machines. Numbers choose among those that are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The process is killed, and starts again.
    Kill {
        who: usize,
        down_ms: u64,
    },
    /// The machine loses power: of the writes under way only some are there.
    PowerLoss {
        who: usize,
        arrived: usize,
        down_ms: u64,
    },
    /// All machines lose power at once.
    PowerLossOfAll {
        arrived: usize,
        down_ms: u64,
    },
    Freeze {
        who: usize,
        for_ms: u64,
    },
    /// Nothing passes from or to a machine, or in one direction only.
    Cut {
        who: usize,
        inward: bool,
        outward: bool,
        for_ms: u64,
    },
    /// A part of all messages is lost, doubled or late.
    Lossy {
        percent: u64,
        for_ms: u64,
    },
    /// The disk confirms nothing for a while.
    StallDisk {
        who: usize,
        for_ms: u64,
    },
    /// Asked to stop in order, and started again.
    Restart {
        who: usize,
        down_ms: u64,
    },
    /// The machine loses its disk and comes back with an empty one.
    Wipe {
        who: usize,
        down_ms: u64,
    },
    /// The machine is gone for good; an empty one comes at another address.
    Replace {
        who: usize,
        newcomer_ms: u64,
    },
    /// An empty machine comes first, then the old one is asked to stop and never comes back.
    ReplacePlanned {
        who: usize,
        overlap_ms: u64,
    },
}

impl Trouble {
    /// Whether a machine or a disk is lost with its data.
    pub(super) fn takes_data(self) -> bool {
        matches!(
            self,
            Self::Wipe { .. } | Self::Replace { .. } | Self::ReplacePlanned { .. }
        )
    }
}

/// A fault at a time.
pub type Timed = (u64, Trouble);

/// Any fault, drawn by lot.
pub(super) fn draw_trouble(rng: &mut Rng) -> Trouble {
    let who = rng.below(64) as usize;
    let down_ms = 200 + rng.below(4000);
    let for_ms = 200 + rng.below(8000);
    let arrived = rng.below(3) as usize;
    match rng.below(14) {
        0 => Trouble::Kill { who, down_ms },
        1 | 2 => Trouble::PowerLoss {
            who,
            arrived,
            down_ms,
        },
        3 => Trouble::PowerLossOfAll { arrived, down_ms },
        4 => Trouble::Freeze { who, for_ms },
        5 => Trouble::Cut {
            who,
            inward: true,
            outward: true,
            for_ms,
        },
        6 => Trouble::Cut {
            who,
            inward: rng.below(2) == 0,
            outward: true,
            for_ms,
        },
        7 => Trouble::Lossy {
            percent: 5 + rng.below(40),
            for_ms,
        },
        8 => Trouble::StallDisk {
            who,
            for_ms: for_ms / 2,
        },
        9 => Trouble::Restart {
            who,
            down_ms: down_ms / 4,
        },
        10 => Trouble::Wipe {
            who,
            down_ms: down_ms / 2,
        },
        11 => Trouble::Replace {
            who,
            newcomer_ms: down_ms / 2,
        },
        _ => Trouble::ReplacePlanned {
            who,
            overlap_ms: 2000 + for_ms / 2,
        },
    }
}
