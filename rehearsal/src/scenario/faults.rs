use landingdrift::kernel::Draw;
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process is killed and started again.
    Kill,
    /// A process stands still and wakes again.
    Freeze,
    /// A process is cut off from all others.
    Cut,
    /// What a process sends is lost; what others send arrives.
    CutOneWay,
    /// A core is cut off from the other cores alone.
    SplitCore,
    /// No node reaches any core.
    CutCores,
    /// All machines of a zone are killed.
    LoseZone,
    SlowLink,
    SlowDisk,
    /// A core is killed and its disk has lost what it had just confirmed.
    LoseTail,
    /// A core is lost for good; an empty one joins at a new address.
    ReplaceCore,
    /// A node is lost for good; another joins at a new address.
    SwapNode,
    /// Every process is killed; `amount` cores lose their confirmed tail.
    Outage,
    ClockJump,
    WorkerCrash,
    WorkerGone,
    WorkerFreeze,
    WorkerSlow,
    WorkerFailing,
    WorkerCut,
    WorkerLeaves,
    Crowd,
    Huge,
    Doomed,
    Storm,
    Rivals,
    LargeConfig,
    Drain,
    Evacuate,
    /// An orderly stop, as the platform does it, and a start.
    Restart,
}

impl Kind {
    /// Every kind there is.
    pub const ALL: &[Kind] = &[
        Kind::Kill,
        Kind::Freeze,
        Kind::Cut,
        Kind::CutOneWay,
        Kind::SplitCore,
        Kind::CutCores,
        Kind::LoseZone,
        Kind::SlowLink,
        Kind::SlowDisk,
        Kind::LoseTail,
        Kind::ReplaceCore,
        Kind::SwapNode,
        Kind::Outage,
        Kind::ClockJump,
        Kind::WorkerCrash,
        Kind::WorkerGone,
        Kind::WorkerFreeze,
        Kind::WorkerSlow,
        Kind::WorkerFailing,
        Kind::WorkerCut,
        Kind::WorkerLeaves,
        Kind::Crowd,
        Kind::Huge,
        Kind::Doomed,
        Kind::Storm,
        Kind::Rivals,
        Kind::LargeConfig,
        Kind::Drain,
        Kind::Evacuate,
        Kind::Restart,
    ];

    /// Its name in scenario files.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_string)).unwrap_or_default()
    }
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the day's start.
    pub at: u64,
    pub kind: Kind,
    /// `leader`, `core:0`, `node:1`, `worker:2`, `zone:0`; drawn by the seed where left out.
    #[serde(default)]
    pub who: String,
    #[serde(default = "lasts")]
    pub lasts: u64,
    #[serde(default)]
    pub amount: u64,
}

fn lasts() -> u64 {
    3000
}

/// Faults drawn by a seed, between two moments.
pub fn random_faults(draw: &mut Draw, number: usize, from: u64, to: u64) -> Vec<Fault> {
    use Kind::*;
    // At most one of those that take a disk machine away for good, or the whole core.
    let kinds = [
        Kill,
        Kill,
        Kill,
        Freeze,
        Freeze,
        Cut,
        CutOneWay,
        SplitCore,
        CutCores,
        LoseZone,
        SlowLink,
        SlowDisk,
        LoseTail,
        SwapNode,
        Outage,
        ClockJump,
        WorkerCrash,
        WorkerCrash,
        WorkerGone,
        WorkerFreeze,
        WorkerSlow,
        WorkerFailing,
        WorkerCut,
        WorkerCut,
        WorkerLeaves,
        Crowd,
        Huge,
        Doomed,
        Storm,
        Rivals,
        LargeConfig,
        Drain,
        Evacuate,
        Restart,
        ReplaceCore,
    ];
    let mut out: Vec<Fault> = Vec::new();
    while out.len() < number {
        let kind = *draw.pick(&kinds).unwrap_or(&Kill);
        let rare = [LoseTail, ReplaceCore, Outage, LoseZone];
        if rare.contains(&kind) && out.iter().any(|f| rare.contains(&f.kind)) {
            continue;
        }
        out.push(Fault {
            at: from + draw.below(to - from),
            kind,
            who: String::new(),
            lasts: 500 + draw.below(5000),
            amount: 0,
        });
    }
    out.sort_by_key(|f| f.at);
    out
}
