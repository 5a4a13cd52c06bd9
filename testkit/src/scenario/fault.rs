//! Faults: their kinds, their form in scenario files, and random ones.

use super::{ensure, InvalidValue};
use landingdrift::sans_io::Rng;
use serde::{Deserialize, Serialize};

/// The kinds of faults. The names of the variants appear in histories, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A process is killed and started again.
    Kill,
    /// A process is suspended; when it resumes, it handles the messages that arrived meanwhile.
    Freeze,
    /// A process is partitioned from all others.
    Cut,
    /// Messages that a process sends are lost; those it receives arrive.
    CutOneWay,
    /// A replica is partitioned from the other replicas only.
    SplitCore,
    /// All nodes are partitioned from all replicas.
    CutCores,
    /// All processes and workers of a zone are killed.
    LoseZone,
    /// Messages from and to a process are slow.
    SlowLink,
    /// The disks of `amount` replicas (one if 0) write slowly.
    SlowDisk,
    /// A replica is killed, and its disk loses the last batches that it had confirmed.
    LoseTail,
    /// A replica is lost permanently; an empty one joins at a new address.
    ReplaceCore,
    /// A node is lost permanently; another joins at a new address.
    SwapNode,
    /// Every process is killed, and the disks of `amount` replicas lose the last batches that they had confirmed.
    Outage,
    /// The wall clocks of `amount` processes (one if 0) jump by [`Fault::clock_jump_ms`] (if 0, by an hour, forwards
    /// for an even duration of the fault and backwards for an odd one).
    ClockJump,
    /// A worker's process is killed and started again.
    WorkerCrash,
    /// A worker's process is killed, and is not started again when the fault ends.
    WorkerGone,
    /// A worker is suspended; when it resumes, it handles the answers that arrived meanwhile.
    WorkerFreeze,
    /// The runs of a worker take longer.
    WorkerSlow,
    /// `amount` percent (90 if 0) of a worker's runs fail, while its heartbeats go on as usual.
    WorkerFailing,
    /// A worker is partitioned from all processes; its runs go on.
    WorkerCut,
    /// A worker announces that it leaves; another process takes its place.
    WorkerLeaves,
    /// `amount` jobs are offered at once (60 if 0).
    Crowd,
    /// A job with 200 tasks is offered.
    Huge,
    /// 40 jobs that can never succeed are offered at once.
    Doomed,
    /// Two operators change the configuration in turn, 30 times in all.
    Storm,
    /// Two operators submit changes based on the same version.
    Rivals,
    /// A large configuration of `amount` notes (2000 if 0) is applied.
    LargeConfig,
    /// A zone is drained: it gets no new work, and its runs go on.
    Drain,
    /// A zone is evacuated: it gets no new work, and its repeatable runs are stopped.
    Evacuate,
    /// A process is stopped gracefully, as by the platform, and started again.
    Restart,
    /// Messages from and to a process are delayed, duplicated, reordered or lost, as with connections that break.
    FlakyLink,
    /// Answers to clients, workers and operators are lost after their calls were carried out.
    LostAnswers,
    /// A worker announces less capacity and no labels, and later its original ones.
    WorkerChange,
    /// `amount` short jobs (60 if 0) are offered at once in the most urgent queue.
    Urgent,
    /// Nine invalid jobs are offered: with a dependency cycle, an unknown queue or an oversized body.
    Wrong,
    /// A queue's limit on attempts is lowered to 1; it is restored only if `amount` is 0.
    Tries,
    /// The quota of a queue is lowered to 1 until the fault ends.
    Quota,
    /// A configuration close to the size limit is applied, and removed again when the fault ends.
    HugeConfig,
    /// A process is stopped gracefully and restarted as a build with the next wire version.
    Upgrade,
    /// The disks of `amount` replicas (one if 0) fail every write.
    DiskFull,
    /// The disks of `amount` replicas (one if 0) confirm no write.
    DiskStall,
    /// Without an earlier announcement, a worker reports that it has left, yet goes on with its runs and heartbeats
    /// until the fault ends; then another process takes its place.
    WorkerLeavesUnannounced,
    /// A process is notified that its settings may have changed.
    HangUp,
    /// A zone is evacuated by an order. `amount` times until the fault ends (4 if 0), at equal intervals, it is returned
    /// to service and evacuated again as soon as that is acknowledged; at the end it is returned to service.
    ZoneOrders,
}

impl FaultKind {
    /// The kinds that random sampling selects by index; [`random_faults`] leaves out a few. A change of this list
    /// changes the faults of every seed, so append new kinds to [`Self::NAMED_ONLY`] instead.
    pub const BY_INDEX: &[Self] = &[
        Self::Kill,
        Self::Freeze,
        Self::Cut,
        Self::CutOneWay,
        Self::SplitCore,
        Self::CutCores,
        Self::LoseZone,
        Self::SlowLink,
        Self::SlowDisk,
        Self::LoseTail,
        Self::ReplaceCore,
        Self::SwapNode,
        Self::Outage,
        Self::ClockJump,
        Self::WorkerCrash,
        Self::WorkerGone,
        Self::WorkerFreeze,
        Self::WorkerSlow,
        Self::WorkerFailing,
        Self::WorkerCut,
        Self::WorkerLeaves,
        Self::Crowd,
        Self::Huge,
        Self::Doomed,
        Self::Storm,
        Self::Rivals,
        Self::LargeConfig,
        Self::Drain,
        Self::Evacuate,
        Self::Restart,
        Self::FlakyLink,
        Self::LostAnswers,
        Self::WorkerChange,
        Self::Urgent,
        Self::Wrong,
        Self::Tries,
        Self::Quota,
        Self::HugeConfig,
        Self::Upgrade,
        Self::DiskFull,
        Self::DiskStall,
    ];

    /// Kinds that are not in [`Self::BY_INDEX`], and so occur only where a scenario names them.
    pub const NAMED_ONLY: &[Self] = &[
        Self::WorkerLeavesUnannounced,
        Self::HangUp,
        Self::ZoneOrders,
    ];

    /// The name of the kind in scenario files.
    pub fn name(self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value.as_str().unwrap_or_default().to_string()
    }

    /// The roles that a fault of this kind can have as its target, as in [`Fault::target`].
    fn roles(self) -> &'static [&'static str] {
        use FaultKind::*;
        match self {
            LoseZone | Drain | Evacuate | ZoneOrders => &["zone"],
            WorkerCrash
            | WorkerGone
            | WorkerFreeze
            | WorkerSlow
            | WorkerFailing
            | WorkerCut
            | WorkerLeaves
            | WorkerLeavesUnannounced
            | WorkerChange => &["worker"],
            SplitCore | SlowDisk | LoseTail | ReplaceCore | Outage | DiskFull | DiskStall => {
                &["core", "leader"]
            }
            SwapNode => &["node"],
            Tries | Quota => &["queue"],
            _ => &["core", "node", "leader"],
        }
    }

    /// Whether faults of this kind destroy a replica's data. Three replicas survive these faults only if they have
    /// recovered from each before the next begins.
    fn destroys_data(self) -> bool {
        matches!(self, Self::LoseTail | Self::ReplaceCore | Self::Outage)
    }

    /// How long the replicas need to recover after a fault that destroys data, in milliseconds.
    fn recovery_ms(self) -> u64 {
        match self {
            Self::ReplaceCore => 16_000,
            _ => 8000,
        }
    }
}

/// The limit on the start and on the duration of a fault, in milliseconds.
const MAX_FAULT_TIME_MS: u64 = 200_000_000;
/// The largest `amount` of a fault.
const MAX_AMOUNT: u64 = 10_000;
/// The number of replicas in every deployment, which is also the number of zones and of queues.
const REPLICA_ZONE_QUEUE_COUNT: usize = 3;
/// The shortest duration of a random fault, in milliseconds.
const MIN_DURATION_MS: u64 = 500;
/// The exclusive upper bound of the random time by which a random fault exceeds the shortest duration, in milliseconds.
const DURATION_RANGE_MS: u64 = 5000;
/// The sizes of random clock jumps, in milliseconds: from 0.7 s to three days.
const CLOCK_JUMPS_MS: [i64; 6] = [700, 2000, 60_000, 3_600_000, 86_400_000, 3 * 86_400_000];

/// A fault in the course of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, in milliseconds since the beginning of the day.
    #[serde(rename = "at")]
    pub at_ms: u64,
    pub kind: FaultKind,
    /// The target: `leader`, `core:0`, `node:1`, `worker:2`, `zone:0` or `queue:0`; sampled if left out.
    #[serde(default, rename = "who")]
    pub target: String,
    /// How long the fault lasts, in milliseconds.
    #[serde(default = "default_duration_ms", rename = "lasts")]
    pub duration_ms: u64,
    /// The extent of the fault; see its kind.
    #[serde(default)]
    pub amount: u64,
    /// The size of a clock jump, in milliseconds. If it is odd and `amount` is more than 1, every second clock jumps
    /// the other way.
    #[serde(default, rename = "by")]
    pub clock_jump_ms: i64,
}

fn default_duration_ms() -> u64 {
    3000
}

impl Fault {
    /// Checks that the target exists in the scenario's deployment and that the values are in range.
    pub(super) fn check(&self, nodes: usize, workers: usize) -> Result<(), InvalidValue> {
        ensure(
            self.at_ms <= MAX_FAULT_TIME_MS && self.duration_ms <= MAX_FAULT_TIME_MS,
            "at, lasts: give at most 200000000 milliseconds",
        )?;
        ensure(self.amount <= MAX_AMOUNT, "amount: give at most 10000")?;
        let (role, number) = self
            .target
            .split_once(':')
            .unwrap_or((self.target.as_str(), ""));
        let count = match role {
            "" | "leader" => 0,
            "core" | "zone" | "queue" => REPLICA_ZONE_QUEUE_COUNT,
            "node" => nodes,
            _ => workers,
        };
        let is_right_role = role.is_empty() || self.kind.roles().contains(&role);
        let is_right_number = if count == 0 {
            number.is_empty()
        } else {
            number.parse::<usize>().is_ok_and(|number| number < count)
        };
        ensure(is_right_role && is_right_number, &self.target_remedy(count))
    }

    fn target_remedy(&self, count: usize) -> String {
        let roles = self.kind.roles().iter();
        let forms = roles.map(|role| match *role {
            "leader" => role.to_string(),
            _ => format!("{role}:N"),
        });
        format!(
            "who: '{}' is no target for {}: give {}, where N is at least 0 and below {}, or leave it out",
            self.target,
            self.kind.name(),
            forms.collect::<Vec<_>>().join(" or "),
            count.max(REPLICA_ZONE_QUEUE_COUNT)
        )
    }

    /// Whether the later of two faults begins before the replicas have recovered from the earlier one.
    fn is_too_close(&self, other: &Self) -> bool {
        let (first, second) = if other.at_ms <= self.at_ms {
            (other, self)
        } else {
            (self, other)
        };
        second.at_ms - first.at_ms < first.duration_ms + first.kind.recovery_ms()
    }
}

/// Random faults that begin between two times in milliseconds, and that three replicas survive, though the faults may
/// overlap.
pub fn random_faults(rng: &mut Rng, count: usize, from: u64, to: u64) -> Vec<Fault> {
    use FaultKind::*;
    let more_likely = [Kill, Kill, Freeze, WorkerCrash, WorkerCut, LoseTail, Outage];
    // Upgrades follow an order, so they can't be random; full and stalled disks have scenarios of their own.
    let kinds: Vec<FaultKind> = FaultKind::BY_INDEX
        .iter()
        .chain(&more_likely)
        .filter(|kind| !matches!(kind, Upgrade | DiskFull | DiskStall))
        .copied()
        .collect();
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let mut fault = random_fault(rng, &kinds, from, to);
        let mut data_faults = faults.iter().filter(|other| other.kind.destroys_data());
        if fault.kind.destroys_data() && data_faults.any(|other| fault.is_too_close(other)) {
            // The fault becomes a kill rather than a new sample: on short days no later sample might fit, and the loop
            // would not end.
            fault.kind = Kill;
        }
        faults.push(fault);
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

/// A random fault. The random draws are the same for all kinds, except the draw of `amount`.
fn random_fault(rng: &mut Rng, kinds: &[FaultKind], from: u64, to: u64) -> Fault {
    let kind = *rng.pick(kinds).unwrap_or(&FaultKind::Kill);
    let duration_ms = MIN_DURATION_MS + rng.below(DURATION_RANGE_MS);
    let at_ms = from + rng.below(to - from);
    let amount = match kind {
        FaultKind::WorkerFailing => 10 + rng.below(50),
        FaultKind::ClockJump => 1 + rng.below(3),
        FaultKind::SlowDisk => 1 + rng.below(2),
        FaultKind::Outage | FaultKind::Tries => rng.below(2),
        _ => 0,
    };
    let jump_ms = *rng.pick(&CLOCK_JUMPS_MS).unwrap_or(&2000) + rng.below(2) as i64;
    let is_forward = rng.below(2) == 0;
    let clock_jump_ms = match kind {
        FaultKind::ClockJump if is_forward => jump_ms,
        FaultKind::ClockJump => -jump_ms,
        _ => 0,
    };
    Fault {
        at_ms,
        kind,
        target: String::new(),
        duration_ms,
        amount,
        clock_jump_ms,
    }
}

/// A random fault for the end of a day, of a kind that may affect the last polls of jobs and reads of the
/// configuration.
pub fn last_fault(rng: &mut Rng, at_ms: u64) -> Fault {
    use FaultKind::*;
    let kinds = [
        Kill,
        Freeze,
        Cut,
        CutOneWay,
        SplitCore,
        CutCores,
        LoseZone,
        SlowLink,
        SlowDisk,
        LoseTail,
        ReplaceCore,
        SwapNode,
        Outage,
        ClockJump,
        FlakyLink,
        LostAnswers,
        Restart,
    ];
    Fault {
        at_ms,
        ..random_fault(rng, &kinds, 0, 1)
    }
}
