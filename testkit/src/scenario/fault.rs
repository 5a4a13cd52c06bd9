//! Faults: their kinds, their form in scenario files, and random ones.

use super::{ensure, InvalidValue};
use landingdrift::sans_io::Rng;
use serde::{Deserialize, Serialize};

/// What goes wrong. The names of the variants are part of histories, so they stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A process is killed and started again.
    Kill,
    /// A process stands still and wakes again.
    Freeze,
    /// A process is cut off from all others.
    Cut,
    /// What a process sends is lost; what others send arrives.
    CutOneWay,
    /// A replica is cut off from the other replicas alone.
    SplitCore,
    /// No node reaches any replica.
    CutCores,
    /// All machines of a zone are killed.
    LoseZone,
    /// What a process sends and gets is slow.
    SlowLink,
    /// The disks of `amount` replicas, one where it is 0, take long.
    SlowDisk,
    /// A replica is killed and its disk has lost what it had just confirmed.
    LoseTail,
    /// A replica is lost for good; an empty one joins at a new address.
    ReplaceCore,
    /// A node is lost for good; another joins at a new address.
    SwapNode,
    /// Every process is killed; `amount` replicas lose their confirmed tail.
    Outage,
    /// The clocks of `amount` processes, one where it is 0, jump by `by`, an hour where it is 0.
    ClockJump,
    /// A worker's process ends, and starts again.
    WorkerCrash,
    /// A worker's process ends for good.
    WorkerGone,
    /// A worker stands still and wakes again.
    WorkerFreeze,
    /// A worker takes longer for its runs.
    WorkerSlow,
    /// A worker fails `amount` in a hundred of its runs, 90 where it is 0, while it claims to be well.
    WorkerFailing,
    /// A worker reaches nobody; its runs go on.
    WorkerCut,
    /// A worker announces that it leaves; another process takes its place.
    WorkerLeaves,
    /// Many jobs at once: `amount`, the usual number where it is 0.
    Crowd,
    /// A job with very many tasks.
    Huge,
    /// Many jobs that can never succeed.
    Doomed,
    /// Two operators change the configuration by turns, many times.
    Storm,
    /// Two operators change the same version.
    Rivals,
    /// A large configuration of `amount` notes, the usual number where it is 0.
    LargeConfig,
    /// A zone gets no new work; its runs go on.
    Drain,
    /// A zone is emptied.
    Evacuate,
    /// A graceful stop, as the platform does it, and a start.
    Restart,
    /// What a process sends is late, doubled, out of order or lost, as when connections break and come back.
    FlakyLink,
    /// Answers to clients, workers and operators are lost after the call was carried out.
    LostAnswers,
    /// A worker announces less capacity and fewer labels; later its old ones again.
    WorkerChange,
    /// A crowd of short jobs in the most urgent queue.
    Urgent,
    /// Jobs that can't be taken as they are: circles, unknown queues, bodies too large.
    Wrong,
    /// The attempts that a queue permits are lowered; `amount` 1 leaves them so.
    Tries,
    /// The quota of a queue is lowered to 1 for a while.
    Quota,
    /// A configuration close to the size limit.
    HugeConfig,
    /// A process is stopped gracefully and comes back as a build that speaks the next wire version.
    Upgrade,
    /// The disks of `amount` replicas, one where it is 0, refuse every write.
    DiskFull,
    /// The disks of `amount` replicas, one where it is 0, confirm nothing.
    DiskStall,
    /// A worker says that it leaves by the call that others make as they end, runs on and heartbeats as before, and ends;
    /// another process takes its place.
    WorkerLeavesUnannounced,
    /// A process is told that its settings may have changed.
    HangUp,
}

impl FaultKind {
    /// The kinds of random faults. They are drawn by their position in this list, so it stays as it is; a kind that came
    /// later strikes where a scenario names it.
    pub const ALL: &[Self] = &[
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

    /// Kinds that are never drawn.
    pub const NAMED_ONLY: &[Self] = &[Self::WorkerLeavesUnannounced, Self::HangUp];

    /// Its name in scenario files.
    pub fn name(self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value.as_str().unwrap_or_default().to_string()
    }

    /// The roles that a fault of this kind can strike, as in [`Fault::target`].
    fn roles(self) -> &'static [&'static str] {
        use FaultKind::*;
        match self {
            LoseZone | Drain | Evacuate => &["zone"],
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

    /// Whether it takes data or a machine from the replicas: three disks survive one such fault at a time, with time to
    /// recover between.
    fn takes_data(self) -> bool {
        matches!(self, Self::LoseTail | Self::ReplaceCore | Self::Outage)
    }

    /// How long after one that takes data the next one may come, in milliseconds.
    fn recovery_ms(self) -> u64 {
        match self {
            Self::ReplaceCore => 16_000,
            _ => 8000,
        }
    }
}

/// The latest moment and the longest duration of a fault, in milliseconds.
const MAX_MS: u64 = 200_000_000;
/// The largest amount of a fault.
const MAX_AMOUNT: u64 = 10_000;
/// Replicas, zones and queues of every deployment.
const REPLICAS_ZONES_QUEUES: usize = 3;
/// The shortest random fault, in milliseconds.
const MIN_DURATION_MS: u64 = 500;
/// How much longer than the shortest a random fault may last, in milliseconds.
const DURATION_SPREAD_MS: u64 = 5000;
/// By how much clocks jump, in milliseconds: from less than a timeout to three days.
const CLOCK_JUMPS_MS: [i64; 6] = [700, 2000, 60_000, 3_600_000, 86_400_000, 3 * 86_400_000];

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it strikes, in milliseconds from the beginning of the day.
    #[serde(rename = "at")]
    pub at_ms: u64,
    pub kind: FaultKind,
    /// Whom it strikes: `leader`, `core:0`, `node:1`, `worker:2`, `zone:0`, `queue:0`; drawn from the seed where left out.
    #[serde(default, rename = "who")]
    pub target: String,
    /// How long it lasts, in milliseconds.
    #[serde(default = "default_duration_ms", rename = "lasts")]
    pub duration_ms: u64,
    /// How much of it, as its kind says.
    #[serde(default)]
    pub amount: u64,
    /// By how much clocks jump, in milliseconds; where `amount` is more than 1 and this is odd, every second clock jumps
    /// the other way.
    #[serde(default, rename = "by")]
    pub clock_jump_ms: i64,
}

fn default_duration_ms() -> u64 {
    3000
}

impl Fault {
    /// Checks its target and values against what a day has.
    pub(super) fn check(&self, nodes: usize, workers: usize) -> Result<(), InvalidValue> {
        ensure(
            self.at_ms <= MAX_MS && self.duration_ms <= MAX_MS,
            "at, lasts: give milliseconds, at most 200000000",
        )?;
        ensure(self.amount <= MAX_AMOUNT, "amount: give at most 10000")?;
        let (role, number) = self
            .target
            .split_once(':')
            .unwrap_or((self.target.as_str(), ""));
        let count = match role {
            "" | "leader" => 0,
            "core" | "zone" | "queue" => REPLICAS_ZONES_QUEUES,
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
            "who: '{}' is nothing that {} can strike: give {}, with N counted from 0 and below {}, or leave it out",
            self.target,
            self.kind.name(),
            forms.collect::<Vec<_>>().join(" or "),
            count.max(REPLICAS_ZONES_QUEUES)
        )
    }

    /// Whether another fault strikes before the replicas have recovered from the earlier one.
    fn is_too_near(&self, other: &Self) -> bool {
        let (first, second) = if other.at_ms <= self.at_ms {
            (other, self)
        } else {
            (self, other)
        };
        second.at_ms - first.at_ms < first.duration_ms + first.kind.recovery_ms()
    }
}

/// Random faults between two moments in milliseconds: anything that three disks can survive, several at once.
pub fn random_faults(rng: &mut Rng, count: usize, from: u64, to: u64) -> Vec<Fault> {
    use FaultKind::*;
    let more_often = [Kill, Kill, Freeze, WorkerCrash, WorkerCut, LoseTail, Outage];
    // An upgrade is done in an order, not at random; disks that refuse have scenarios of their own.
    let kinds: Vec<FaultKind> = FaultKind::ALL
        .iter()
        .chain(&more_often)
        .filter(|kind| !matches!(kind, Upgrade | DiskFull | DiskStall))
        .copied()
        .collect();
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < count {
        let mut fault = random_fault(rng, &kinds, from, to);
        let mut data_faults = faults.iter().filter(|other| other.kind.takes_data());
        if fault.kind.takes_data() && data_faults.any(|other| fault.is_too_near(other)) {
            // It counts nevertheless, so that short days come to an end as well.
            fault.kind = Kill;
        }
        faults.push(fault);
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

/// A random fault. All numbers are drawn for every kind, in the same order, except those that only one kind needs.
fn random_fault(rng: &mut Rng, kinds: &[FaultKind], from: u64, to: u64) -> Fault {
    let kind = *rng.pick(kinds).unwrap_or(&FaultKind::Kill);
    let duration_ms = MIN_DURATION_MS + rng.below(DURATION_SPREAD_MS);
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

/// A random fault for the end of a day: one that clients may notice while they read.
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
