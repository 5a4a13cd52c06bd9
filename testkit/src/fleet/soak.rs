//! The soak: days on real processes, each with faults that its seed draws, in series and overlapping.
//!
//! Clients and workers keep their connections and use them until the process at the other end is gone.

use super::Options;
use crate::checkers::{Violation, MACHINE_DEPENDENT};
use crate::scenario::{Fault, FaultKind, NodeClass, Shape};
use landingdrift::sans_io::Rng;
use std::path::PathBuf;

/// Faults strike from this moment on, in milliseconds: workers are known by then.
const FIRST_FAULT_MS: u64 = 1500;
/// The shortest fault, in milliseconds.
const MIN_DURATION_MS: u64 = 200;
/// How much longer than the shortest a fault may last, in milliseconds.
const DURATION_SPREAD_MS: u64 = 2500;
/// Of a hundred faults, so many strike at the same moment as the one before.
const SIMULTANEOUS_PERCENT: u64 = 20;
/// Faults that take data from a replica keep this pause, in milliseconds: three disks survive one at a time.
const DATA_FAULT_PAUSE_MS: u64 = 8000;
/// How long a day waits for all answers after the load, in seconds.
const SETTLE_SECONDS: u64 = 60;
/// Jobs a second: enough that some run whenever a fault strikes.
const JOBS_PER_SECOND: f64 = 5.0;
/// The lease of workers on what they run, in milliseconds.
const LEASE_MS: u64 = 6000;
/// The share of a processor of small nodes, in thousandths of a core.
const SMALL_SHARE: u32 = 56;
/// The share of jobs that can never succeed.
const DOOMED_SHARE: f64 = 0.05;

/// The kinds of faults; those that stand twice are drawn twice as often.
const KINDS: &[FaultKind] = &[
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Restart,
    FaultKind::Restart,
    FaultKind::Restart,
    FaultKind::HangUp,
    FaultKind::HangUp,
    FaultKind::Freeze,
    FaultKind::Freeze,
    FaultKind::LoseZone,
    FaultKind::Outage,
    FaultKind::LoseTail,
    FaultKind::ReplaceCore,
    FaultKind::WorkerCrash,
    FaultKind::WorkerCut,
    FaultKind::WorkerLeaves,
    FaultKind::WorkerLeavesUnannounced,
    FaultKind::Storm,
    FaultKind::Storm,
    FaultKind::LargeConfig,
    FaultKind::Drain,
    FaultKind::Evacuate,
];

/// What to soak.
#[derive(Clone, Debug)]
pub struct Soak {
    /// How many seconds jobs are offered.
    pub seconds: u64,
    /// Faults of a day.
    pub faults: usize,
    /// Nodes with little of a processor beside the usual ones.
    pub small_nodes: usize,
    pub program: PathBuf,
    /// Where data folders and logs go.
    pub folder: PathBuf,
}

impl Soak {
    /// The day of a seed.
    pub fn day(&self, seed: u64) -> Options {
        let mut rng = Rng::new(seed);
        let is_first_shape = rng.below(2) == 0;
        let shape = if is_first_shape {
            Shape::Gunasekera
        } else {
            Shape::Odvoza
        };
        let nodes = shape.nodes() + self.small_nodes;
        let faults = random_faults(&mut rng, self.faults, self.seconds * 1000, shape, nodes);
        let folder = self.folder.join(format!("seed-{seed}"));
        Options {
            seconds: self.seconds,
            settle_seconds: SETTLE_SECONDS,
            jobs_per_second: JOBS_PER_SECOND,
            doomed_share: DOOMED_SHARE,
            node_classes: vec![NodeClass {
                count: self.small_nodes,
                share: SMALL_SHARE,
                ..NodeClass::default()
            }],
            has_worker_proxies: true,
            clients_call_any_node: true,
            lease_ms: LEASE_MS,
            faults,
            seed,
            ..Options::new(shape, self.program.clone(), folder)
        }
    }
}

/// Violations that don't depend on how long things took on this machine.
pub fn untimed(violations: Vec<Violation>) -> Vec<Violation> {
    let mut violations = violations;
    violations.retain(|violation| !MACHINE_DEPENDENT.contains(&violation.rule));
    violations
}

/// Faults in the order of their times.
fn random_faults(
    rng: &mut Rng,
    count: usize,
    until_ms: u64,
    shape: Shape,
    nodes: usize,
) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    let spread_ms = until_ms.saturating_sub(FIRST_FAULT_MS).max(1);
    let mut at_ms = FIRST_FAULT_MS;
    for _ in 0..count {
        let is_simultaneous = rng.below(100) < SIMULTANEOUS_PERCENT;
        let drawn_ms = FIRST_FAULT_MS + rng.below(spread_ms);
        if !is_simultaneous {
            at_ms = drawn_ms;
        }
        faults.push(random_fault(rng, at_ms, shape, nodes));
    }
    faults.sort_by_key(|fault| fault.at_ms);
    space_data_faults(&mut faults);
    faults
}

fn random_fault(rng: &mut Rng, at_ms: u64, shape: Shape, nodes: usize) -> Fault {
    let kind = *rng.pick(KINDS).unwrap_or(&FaultKind::Kill);
    let target = target(rng, kind, shape, nodes);
    Fault {
        at_ms,
        kind,
        target,
        duration_ms: MIN_DURATION_MS + rng.below(DURATION_SPREAD_MS),
        amount: 0,
        clock_jump_ms: 0,
    }
}

fn target(rng: &mut Rng, kind: FaultKind, shape: Shape, nodes: usize) -> String {
    use FaultKind::*;
    let third = rng.below(3);
    match kind {
        LoseZone | Drain | Evacuate => format!("zone:{third}"),
        LoseTail | ReplaceCore => format!("core:{third}"),
        WorkerCrash | WorkerCut | WorkerLeaves | WorkerLeavesUnannounced => {
            format!("worker:{}", rng.below(shape.workers() as u64))
        }
        Kill | Restart | HangUp | Freeze => match rng.below(4) {
            0 => "leader".into(),
            1 => format!("core:{third}"),
            _ => format!("node:{}", rng.below(nodes as u64)),
        },
        _ => String::new(),
    }
}

/// Faults that take data become mere kills where one came shortly before.
fn space_data_faults(faults: &mut [Fault]) {
    let mut last_ms: Option<u64> = None;
    for fault in faults {
        let takes_data = matches!(fault.kind, FaultKind::LoseTail | FaultKind::ReplaceCore);
        if !takes_data {
            continue;
        }
        if last_ms.is_some_and(|last| fault.at_ms < last + DATA_FAULT_PAUSE_MS) {
            fault.kind = FaultKind::Kill;
        } else {
            last_ms = Some(fault.at_ms);
        }
    }
}
