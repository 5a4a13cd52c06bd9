use landingdrift::sans_io::Rng;
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
    /// A replica is cut off from the other replicas alone.
    SplitCore,
    /// No node reaches any replica.
    CutCores,
    /// All machines of a zone are killed.
    LoseZone,
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
    WorkerCrash,
    WorkerGone,
    WorkerFreeze,
    WorkerSlow,
    /// A worker fails `amount` in a hundred of its runs, 90 where it is 0, while it claims to be well.
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
    /// What a process sends is late, doubled, out of order or lost, as when connections break and come back.
    FlakyLink,
    /// Answers to callers, workers and operators are lost after the call was carried out.
    LostAnswers,
    /// A worker announces less capacity and fewer labels; later its old ones again.
    WorkerChange,
    /// A crowd of short jobs in the most urgent queue.
    Urgent,
    /// Jobs that can't be taken as they are: circles, unknown queues, bodies too large.
    Wrong,
    /// The tries of a queue are lowered; `amount` 1 leaves them so.
    Tries,
    /// The quota of a queue is lowered to 1 for a while.
    Quota,
    /// A configuration close to the size limit.
    HugeConfig,
    /// A process is stopped in order and comes back as a build that speaks the next wire version.
    Upgrade,
    /// The disks of `amount` replicas, one where it is 0, refuse every write.
    DiskFull,
    /// The disks of `amount` replicas, one where it is 0, confirm nothing.
    DiskStall,
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
        Kind::FlakyLink,
        Kind::LostAnswers,
        Kind::WorkerChange,
        Kind::Urgent,
        Kind::Wrong,
        Kind::Tries,
        Kind::Quota,
        Kind::HugeConfig,
        Kind::Upgrade,
        Kind::DiskFull,
        Kind::DiskStall,
    ];

    /// Its name in scenario files.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_string))
            .unwrap_or_default()
    }
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Milliseconds from the day's start.
    pub at: u64,
    pub kind: Kind,
    /// `leader`, `replica:0`, `node:1`, `worker:2`, `zone:0`; drawn by the seed where left out.
    #[serde(default)]
    pub who: String,
    #[serde(default = "lasts")]
    pub lasts: u64,
    #[serde(default)]
    pub amount: u64,
    /// Milliseconds by which clocks jump; the replicas' in turn to and fro where `amount` is more than 1 and this is odd.
    #[serde(default)]
    pub by: i64,
}

impl Fault {
    /// Checks its target and values against what a day has.
    pub fn check(&self, nodes: usize, workers: usize) -> Result<(), String> {
        use Kind::*;
        (self.at <= 200_000_000 && self.lasts <= 200_000_000)
            .then_some(())
            .ok_or("at, lasts: give milliseconds, at most 200000000")?;
        (self.amount <= 10_000)
            .then_some(())
            .ok_or("amount: give at most 10000")?;
        let of: &[&str] = match self.kind {
            LoseZone | Drain | Evacuate => &["zone"],
            WorkerCrash | WorkerGone | WorkerFreeze | WorkerSlow | WorkerFailing | WorkerCut
            | WorkerLeaves | WorkerChange => &["worker"],
            SplitCore | SlowDisk | LoseTail | ReplaceCore | Outage | DiskFull | DiskStall => {
                &["core", "leader"]
            }
            SwapNode => &["node"],
            Tries | Quota => &["queue"],
            _ => &["core", "node", "leader"],
        };
        let (role, number) = self.who.split_once(':').unwrap_or((self.who.as_str(), ""));
        let most = match role {
            "" | "leader" => 0,
            "core" | "zone" | "queue" => 3,
            "node" => nodes,
            _ => workers,
        };
        let role_ok = role.is_empty() || of.contains(&role);
        let number_ok = if most == 0 {
            number.is_empty()
        } else {
            number.parse::<usize>().is_ok_and(|n| n < most)
        };
        (role_ok && number_ok).then_some(()).ok_or_else(|| {
            let forms: Vec<String> = of.iter().map(|r| if *r == "leader" { r.to_string() } else { format!("{r}:N") }).collect();
            format!(
                "who: '{}' is nothing that {} can strike: give {}, with N counted from 0 and below {}, or leave it out",
                self.who,
                self.kind.name(),
                forms.join(" or "),
                most.max(3)
            )
        })
    }
}

fn lasts() -> u64 {
    3000
}

/// Faults that take data or a machine from the replica: three disks survive one at a time, with time to recover between.
const DATA: [Kind; 3] = [Kind::LoseTail, Kind::ReplaceCore, Kind::Outage];

/// How long after one of these the next may come.
fn apart(k: Kind) -> u64 {
    match k {
        Kind::ReplaceCore => 16_000,
        _ => 8000,
    }
}

/// Faults drawn by a seed, between two moments: anything inside what three disks can survive, several at once.
pub fn random_faults(rng: &mut Rng, number: usize, from: u64, to: u64) -> Vec<Fault> {
    use Kind::*;
    let often = [Kill, Kill, Freeze, WorkerCrash, WorkerCut, LoseTail, Outage];
    // An upgrade is done in an order, not at random; disks that refuse have scenarios of their own.
    let kinds: Vec<Kind> = Kind::ALL
        .iter()
        .chain(&often)
        .filter(|k| !matches!(k, Upgrade | DiskFull | DiskStall))
        .copied()
        .collect();
    let mut out: Vec<Fault> = Vec::new();
    while out.len() < number {
        let f = random_fault(rng, &kinds, from, to);
        let near = |o: &Fault| {
            let (first, second) = if o.at <= f.at { (o, &f) } else { (&f, o) };
            second.at - first.at < first.lasts + apart(first.kind)
        };
        if DATA.contains(&f.kind) && out.iter().any(|o| DATA.contains(&o.kind) && near(o)) {
            // Left out, but it counts, so that short days come to an end as well.
            out.push(Fault { kind: Kill, ..f });
            continue;
        }
        out.push(f);
    }
    out.sort_by_key(|f| f.at);
    out
}

fn random_fault(rng: &mut Rng, kinds: &[Kind], from: u64, to: u64) -> Fault {
    let kind = *rng.pick(kinds).unwrap_or(&Kind::Kill);
    let lasts = 500 + rng.below(5000);
    let at = from + rng.below(to - from);
    let amount = match kind {
        Kind::WorkerFailing => 10 + rng.below(50),
        Kind::ClockJump => 1 + rng.below(3),
        Kind::SlowDisk => 1 + rng.below(2),
        Kind::Outage => rng.below(2),
        Kind::Tries => rng.below(2),
        _ => 0,
    };
    let jumps = [700, 2000, 60_000, 3_600_000, 86_400_000, 3 * 86_400_000];
    let size = *rng.pick(&jumps).unwrap_or(&2000) + rng.below(2) as i64;
    let by = if rng.below(2) == 0 { size } else { -size };
    Fault {
        at,
        kind,
        who: String::new(),
        lasts,
        amount,
        by: if kind == Kind::ClockJump { by } else { 0 },
    }
}

/// One last fault for the end of a day.
pub fn last_fault(rng: &mut Rng, at: u64) -> Fault {
    use Kind::*;
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
        at,
        ..random_fault(rng, &kinds, 0, 1)
    }
}
