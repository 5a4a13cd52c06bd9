//! Long random walks in virtual time: faults drawn by a seed, several at once, then a calm end; and their shrinking.

use super::cluster::{Cluster, InFlight};
use super::ledger::{Invariant, Violation};
use super::planted_bug::PlantedBug;
use super::trouble::{draw_trouble, Timed, Trouble};
use landingdrift::sans_io::{Msg, Rng};
use std::collections::BTreeSet;

/// How long all machines must have been up before the next loss that takes data, in milliseconds.
const CATCH_UP_MS: u64 = 4000;
/// The time between two looks at what is to be done.
const SLICE_MS: u64 = 20;
/// A client proposes a change this often.
const PROPOSE_EVERY_MS: u64 = 60;
/// Time for the calm end of a walk.
const CALM_MS: u64 = 12_000;

/// A walk: everything that happens follows from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Walk {
    pub seed: u64,
    pub founders: usize,
    pub voters: u32,
    pub standbys: usize,
    pub length_ms: u64,
    pub troubles: Vec<Timed>,
    pub planted_bug: Option<PlantedBug>,
}

/// What a walk came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub acknowledgements: u64,
    pub reads: u64,
    /// Losses of data that were carried out, of those drawn.
    pub data_losses: usize,
    pub log: Vec<String>,
}

/// Something to be done later.
#[derive(Clone, Copy, Debug)]
enum Later {
    Start(usize),
    Thaw(usize),
    Newcomer(usize),
    StopForGood(usize),
    /// The grace of a stop is over.
    Kill(usize),
    Remove(usize),
}

impl Walk {
    /// A walk drawn from a seed.
    pub fn drawn(seed: u64, voters: u32, standbys: usize, length_ms: u64, troubles: usize) -> Self {
        let mut rng = Rng::new(seed);
        let mut drawn: Vec<Timed> = (0..troubles)
            .map(|_| (6000 + rng.below(length_ms - 6000), draw_trouble(&mut rng)))
            .collect();
        drawn.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            founders: 3,
            voters,
            standbys,
            length_ms,
            troubles: drawn,
            planted_bug: None,
        }
    }

    /// Takes the walk.
    pub fn take(&self) -> Outcome {
        Walker::new(self).take()
    }

    /// Takes the walk, and keeps what the machines write.
    pub fn take_logged(&self) -> Outcome {
        let mut walker = Walker::new(self);
        walker.cluster.log = Some(Vec::new());
        walker.take()
    }

    /// Leaves faults out as long as the same invariant breaks.
    pub fn shrunk(&self, invariant: Invariant) -> Self {
        let breaks = |walk: &Walk| {
            let outcome = walk.take();
            outcome.violations.iter().any(|v| v.invariant == invariant)
        };
        let mut smallest = self.clone();
        let mut i = 0;
        while i < smallest.troubles.len() {
            let mut fewer = smallest.clone();
            fewer.troubles.remove(i);
            if breaks(&fewer) {
                smallest = fewer;
            } else {
                i += 1;
            }
        }
        smallest
    }
}

struct Walker<'a> {
    walk: &'a Walk,
    cluster: Cluster,
    rng: Rng,
    later: Vec<(u64, Later)>,
    cuts: Vec<(String, bool, bool, u64)>,
    lossy: (u64, u64),
    stalled: Vec<(usize, u64)>,
    /// Until when something is cut or lossy.
    troubled_until: u64,
    data_losses: usize,
}

impl<'a> Walker<'a> {
    fn new(walk: &'a Walk) -> Self {
        let mut cluster = Cluster::new(walk.founders, walk.voters, walk.seed);
        cluster.planted_bug = walk.planted_bug;
        cluster.instant_disks = false;
        Self {
            walk,
            cluster,
            rng: Rng::new(walk.seed ^ 0x5eed),
            later: Vec::new(),
            cuts: Vec::new(),
            lossy: (0, 0),
            stalled: Vec::new(),
            troubled_until: 0,
            data_losses: 0,
        }
    }

    fn take(mut self) -> Outcome {
        self.slice(SLICE_MS);
        for k in 0..self.walk.standbys {
            self.cluster
                .add_newcomer(format!("z{}", k % self.walk.founders));
        }
        let begin = self.cluster.now;
        let mut troubles = self.walk.troubles.iter();
        let mut next = troubles.next();
        while self.cluster.now < begin + self.walk.length_ms && self.sound() {
            while let Some((_, trouble)) = next.filter(|(at, _)| begin + at <= self.cluster.now) {
                self.begin(*trouble);
                next = troubles.next();
            }
            self.slice(SLICE_MS);
        }
        self.calm_end();
        Outcome {
            acknowledgements: self.cluster.ledger.acknowledgements,
            reads: self.cluster.ledger.answered_reads,
            violations: self.cluster.ledger.violations,
            data_losses: self.data_losses,
            log: self.cluster.log.unwrap_or_default(),
        }
    }

    fn sound(&self) -> bool {
        self.cluster.ledger.violations.is_empty()
    }

    /// Machines that are up now.
    fn up(&self) -> Vec<usize> {
        let machines = self.cluster.machines.iter().enumerate();
        let up = machines.filter(|(_, r)| r.replica.is_some() && !r.frozen);
        up.map(|(i, _)| i).collect()
    }

    /// The machine that a number chooses: the leader for every third, else any that is up.
    fn choose(&self, who: usize) -> Option<usize> {
        let leader = self.cluster.leader().filter(|_| who.is_multiple_of(3));
        let up = self.up();
        leader.or_else(|| up.get(who % up.len().max(1)).copied())
    }

    fn begin(&mut self, trouble: Trouble) {
        let now = self.cluster.now;
        if let Some(log) = &mut self.cluster.log {
            log.push(format!("{now:>6} {trouble:?}"));
        }
        if trouble.takes_data() && !self.whole() {
            return;
        }
        if trouble.takes_data() {
            self.check_repaired();
            self.data_losses += 1;
        }
        match trouble {
            Trouble::Kill { who, down_ms } => self.power_loss(who, usize::MAX, down_ms),
            Trouble::PowerLoss {
                who,
                arrived,
                down_ms,
            } => self.power_loss(who, arrived, down_ms),
            Trouble::PowerLossOfAll { arrived, down_ms } => {
                for i in self.up() {
                    let later = self.rng.below(300);
                    self.down(i, arrived, down_ms + later);
                }
            }
            Trouble::Freeze { who, for_ms } => self.freeze(who, for_ms),
            Trouble::Cut {
                who,
                inward,
                outward,
                for_ms,
            } => {
                if let Some(i) = self.choose(who) {
                    let address = self.cluster.machines[i].address.clone();
                    self.cuts.push((address, inward, outward, now + for_ms));
                    self.trouble_until(now + for_ms);
                }
            }
            Trouble::Lossy { percent, for_ms } => {
                self.lossy = (percent, now + for_ms);
                self.trouble_until(now + for_ms);
            }
            Trouble::StallDisk { who, for_ms } => {
                if let Some(i) = self.choose(who) {
                    self.stalled.push((i, now + for_ms));
                    self.trouble_until(now + for_ms);
                }
            }
            Trouble::Restart { who, down_ms } => {
                if let Some(i) = self.choose(who) {
                    self.cluster.step(i, Msg::Stop);
                    let grace_ms = self.cluster.settings.bounds.grace_ms;
                    self.later.push((now + grace_ms, Later::Kill(i)));
                    self.later.push((now + grace_ms + down_ms, Later::Start(i)));
                }
            }
            Trouble::Wipe { who, down_ms } => {
                if let Some(i) = self.choose(who) {
                    self.cluster.wipe(i);
                    self.later.push((now + down_ms, Later::Start(i)));
                }
            }
            Trouble::Replace { who, newcomer_ms } => {
                if let Some(i) = self.choose(who) {
                    self.cluster.remove(i);
                    self.later.push((now + newcomer_ms, Later::Newcomer(i)));
                }
            }
            Trouble::ReplacePlanned { who, overlap_ms } => {
                if let Some(i) = self.choose(who) {
                    self.later.push((now, Later::Newcomer(i)));
                    self.later.push((now + overlap_ms, Later::StopForGood(i)));
                    self.trouble_until(now + overlap_ms);
                }
            }
        }
    }

    fn trouble_until(&mut self, at: u64) {
        self.troubled_until = self.troubled_until.max(at);
    }

    fn power_loss(&mut self, who: usize, arrived: usize, down_ms: u64) {
        if let Some(i) = self.choose(who) {
            self.down(i, arrived, down_ms);
        }
    }

    fn down(&mut self, i: usize, arrived: usize, down_ms: u64) {
        self.cluster.crash(i, arrived);
        self.later
            .push((self.cluster.now + down_ms, Later::Start(i)));
    }

    fn freeze(&mut self, who: usize, for_ms: u64) {
        if let Some(i) = self.choose(who) {
            self.cluster.freeze(i, true);
            self.later.push((self.cluster.now + for_ms, Later::Thaw(i)));
        }
    }

    /// Whether nothing is lost, cut or young any more, so that the next machine may be lost.
    fn whole(&self) -> bool {
        let settled_before = self.cluster.now.saturating_sub(CATCH_UP_MS);
        let fine = |r: &super::cluster::Machine| {
            r.gone || (r.replica.is_some() && !r.frozen && r.up_since <= settled_before)
        };
        self.later.is_empty()
            && self.troubled_until <= settled_before
            && self.cluster.machines.iter().all(fine)
    }

    /// Where nothing is lost any more, the full, odd number of voters is there.
    fn check_repaired(&mut self) {
        let (voters, intact) = self.cluster.intact_voters();
        let wanted = self.walk.voters as usize;
        if voters != wanted || intact.len() != wanted {
            let what = format!(
                "{} of {voters} voters have their disks, {wanted} are wanted, at {} ms",
                intact.len(),
                self.cluster.now
            );
            self.cluster.ledger.broken(Invariant::Repaired, what);
        }
    }

    /// Lets a little time pass, with clients.
    fn slice(&mut self, ms: u64) {
        let now = self.cluster.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = waiting;
        due.into_iter().for_each(|(_, what)| self.carry_out(what));
        self.cuts.retain(|(_, _, _, until)| *until > now);
        self.stalled.retain(|(_, until)| *until > now);
        if now % PROPOSE_EVERY_MS < ms {
            self.clients();
        }
        let (percent, until) = self.lossy;
        let percent = if until > now { percent } else { 0 };
        let cuts = self.cuts.clone();
        let rng = &mut self.rng;
        let stalled: BTreeSet<usize> = self.stalled.iter().map(|(i, _)| *i).collect();
        self.cluster.run(ms, &stalled, |m: &InFlight| {
            let is_cut = cuts.iter().any(|(address, inward, outward, _)| {
                (*outward && m.from == *address) || (*inward && m.to == *address)
            });
            is_cut || rng.below(100) < percent
        });
    }

    fn carry_out(&mut self, what: Later) {
        match what {
            Later::Start(i) => self.cluster.start(i),
            Later::Kill(i) => self.cluster.crash(i, 0),
            Later::Remove(i) => self.cluster.remove(i),
            Later::Thaw(i) => self.cluster.freeze(i, false),
            Later::Newcomer(i) => {
                let zone = self.cluster.machines[i].zone.clone();
                self.cluster.add_newcomer(zone);
            }
            Later::StopForGood(i) => {
                let grace_ms = self.cluster.settings.bounds.grace_ms;
                self.cluster.step(i, Msg::Stop);
                self.later
                    .retain(|(_, l)| !matches!(l, Later::Start(j) if *j == i));
                self.later
                    .push((self.cluster.now + grace_ms, Later::Remove(i)));
            }
        }
    }

    /// Two clients propose on top of the same version, at machines drawn by lot; one asks.
    fn clients(&mut self) {
        let up = self.up();
        let replicas = self
            .cluster
            .machines
            .iter()
            .filter_map(|r| r.replica.as_ref());
        let base = replicas.map(|c| c.state().version).max().unwrap_or(0);
        for _ in 0..2 {
            if let Some(i) = self.rng.pick(&up).copied() {
                self.cluster.propose(i, base);
            }
        }
        if let Some(i) = self.rng.pick(&up).copied() {
            self.cluster.read(i);
        }
    }

    /// Everything comes back that can; then there has to be progress, and all agree.
    fn calm_end(&mut self) {
        self.cuts.clear();
        self.lossy = (0, 0);
        self.stalled.clear();
        let end = self.cluster.now + CALM_MS;
        while self.cluster.now < end && self.sound() {
            self.slice(SLICE_MS);
        }
        let before = self.cluster.ledger.acknowledgements;
        let end = self.cluster.now + CALM_MS / 4;
        while self.cluster.now < end && self.sound() {
            self.slice(SLICE_MS);
        }
        self.cluster.check_states();
        let (voters, intact) = self.cluster.intact_voters();
        if self.sound() && self.cluster.ledger.acknowledgements == before {
            let what = format!("nothing is committed: {} of {voters} voters", intact.len());
            self.cluster.ledger.broken(Invariant::Progress, what);
        }
        if self.sound() {
            self.check_repaired();
        }
    }
}
