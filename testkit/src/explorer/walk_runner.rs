//! Runs a random walk: has its faults injected at their times, ends them again, and drives clients.

use super::cluster::{Cluster, InFlight, Machine};
use super::observations::Invariant;
use super::walk::{Outcome, Walk};
use landingdrift::sans_io::{Msg, Rng};
use std::collections::BTreeSet;

/// How long all machines must have been up before the next fault that takes data, in milliseconds. The cluster promises
/// to survive such losses only when it could replicate everything in between.
const CATCH_UP_MS: u64 = 4000;
/// The time between two checks for due actions, in milliseconds.
const SLICE_MS: u64 = 20;
/// A client proposes a change this often, in milliseconds.
const PROPOSE_EVERY_MS: u64 = 60;
/// Time for recovery at the end of a walk, in milliseconds.
const CALM_MS: u64 = 12_000;
/// After recovery, something must be committed within this time, in milliseconds.
const PROGRESS_MS: u64 = CALM_MS / 4;
/// Mixed into the seed, so that the run draws other numbers than the choice of its faults did.
const RUN_SEED: u64 = 0x5eed;

/// The end of a fault, or a later step of it. Numbers are indices of machines.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Start(usize),
    Thaw(usize),
    /// A new machine joins, in the zone of this one.
    AddNewcomer(usize),
    /// Asks the machine to stop; it never comes back.
    StopForGood(usize),
    /// The grace period of a stop is over.
    Kill(usize),
    Remove(usize),
}

#[derive(Clone, Copy, Debug)]
struct ScheduledAction {
    at_ms: u64,
    action: Action,
}

/// A machine whose connections lose all messages.
#[derive(Clone, Debug)]
pub(super) struct Cut {
    pub(super) address: String,
    pub(super) inward: bool,
    pub(super) outward: bool,
    pub(super) until_ms: u64,
}

impl Cut {
    fn applies_to(&self, message: &InFlight) -> bool {
        (self.outward && message.from == self.address)
            || (self.inward && message.to == self.address)
    }
}

/// A time during which every message may be lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MessageLoss {
    pub(super) percent: u64,
    pub(super) until_ms: u64,
}

/// A machine whose disk confirms nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct StalledDisk {
    pub(super) machine: usize,
    pub(super) until_ms: u64,
}

/// A walk under way.
pub(super) struct WalkRunner<'a> {
    walk: &'a Walk,
    pub(super) cluster: Cluster,
    pub(super) rng: Rng,
    scheduled: Vec<ScheduledAction>,
    pub(super) cuts: Vec<Cut>,
    pub(super) message_loss: MessageLoss,
    pub(super) stalled_disks: Vec<StalledDisk>,
    /// Until when links or disks are disturbed, in milliseconds of virtual time.
    disturbed_until_ms: u64,
    pub(super) data_losses: usize,
}

impl<'a> WalkRunner<'a> {
    pub(super) fn new(walk: &'a Walk) -> Self {
        let mut cluster = Cluster::new(walk.founders, walk.voters, walk.seed);
        cluster.planted_bug = walk.planted_bug;
        cluster.instant_disks = false;
        Self {
            walk,
            cluster,
            rng: Rng::new(walk.seed ^ RUN_SEED),
            scheduled: Vec::new(),
            cuts: Vec::new(),
            message_loss: MessageLoss::default(),
            stalled_disks: Vec::new(),
            disturbed_until_ms: 0,
            data_losses: 0,
        }
    }

    /// Keeps the log lines of the machines.
    pub(super) fn with_log(mut self) -> Self {
        self.cluster.log = Some(Vec::new());
        self
    }

    /// Runs the walk to its end, or to the first violation.
    pub(super) fn run(mut self) -> Outcome {
        self.run_slice();
        for standby in 0..self.walk.standbys {
            let zone = standby % self.walk.founders;
            self.cluster.add_newcomer(format!("z{zone}"));
        }
        self.inject_faults();
        self.recover();
        Outcome {
            acknowledgements: self.cluster.observations.acknowledgements,
            reads: self.cluster.observations.answered_reads,
            violations: self.cluster.observations.violations,
            data_losses: self.data_losses,
            log: self.cluster.log.unwrap_or_default(),
        }
    }

    fn inject_faults(&mut self) {
        let begin = self.cluster.now;
        let mut faults = self.walk.faults.iter().peekable();
        while self.cluster.now < begin + self.walk.length_ms && self.no_violation() {
            let now = self.cluster.now;
            while let Some(timed) = faults.next_if(|timed| begin + timed.at_ms <= now) {
                self.inject(timed.fault);
            }
            self.run_slice();
        }
    }

    fn no_violation(&self) -> bool {
        self.cluster.observations.violations.is_empty()
    }

    /// Machines that are up now.
    pub(super) fn up(&self) -> Vec<usize> {
        let machines = self.cluster.machines.iter().enumerate();
        let up = machines.filter(|(_, machine)| machine.replica.is_some() && !machine.frozen);
        up.map(|(index, _)| index).collect()
    }

    /// The machine that a number chooses: the leader for every third number, as most faults matter most there; else
    /// any that is up.
    pub(super) fn choose(&self, target: usize) -> Option<usize> {
        let leader = self.cluster.leader().filter(|_| target.is_multiple_of(3));
        let up = self.up();
        leader.or_else(|| up.get(target % up.len().max(1)).copied())
    }

    /// Keeps track of how long links or disks are disturbed.
    pub(super) fn disturbed_until(&mut self, at_ms: u64) {
        self.disturbed_until_ms = self.disturbed_until_ms.max(at_ms);
    }

    /// Does something after a time.
    pub(super) fn schedule(&mut self, delay_ms: u64, action: Action) {
        let at_ms = self.cluster.now + delay_ms;
        self.scheduled.push(ScheduledAction { at_ms, action });
    }

    /// Whether everything has been up and connected for long enough that the next machine may be lost.
    pub(super) fn all_settled(&self) -> bool {
        let settled_before = self.cluster.now.saturating_sub(CATCH_UP_MS);
        let settled = |machine: &Machine| {
            let awake = machine.replica.is_some() && !machine.frozen;
            machine.gone || (awake && machine.up_since <= settled_before)
        };
        self.scheduled.is_empty()
            && self.disturbed_until_ms <= settled_before
            && self.cluster.machines.iter().all(settled)
    }

    /// Checks that the cluster has its full number of voters, all of them with their disks.
    pub(super) fn check_repaired(&mut self) {
        let voters = self.cluster.voters();
        let wanted = self.walk.voters as usize;
        if voters.total == wanted && voters.intact.len() == wanted {
            return;
        }
        let explanation = format!(
            "{} of {} voters have their disks, {wanted} are wanted, at {} ms",
            voters.intact.len(),
            voters.total,
            self.cluster.now
        );
        self.cluster
            .observations
            .violated(Invariant::Repaired, explanation);
    }

    /// Lets a slice of time pass: due actions, clients, then the machines.
    fn run_slice(&mut self) {
        self.do_scheduled();
        let now = self.cluster.now;
        self.cuts.retain(|cut| cut.until_ms > now);
        self.stalled_disks.retain(|disk| disk.until_ms > now);
        if now % PROPOSE_EVERY_MS < SLICE_MS {
            self.run_clients();
        }
        let loss_percent = if self.message_loss.until_ms > now {
            self.message_loss.percent
        } else {
            0
        };
        let stalled: BTreeSet<usize> = self.stalled_disks.iter().map(|d| d.machine).collect();
        let cuts = &self.cuts;
        let rng = &mut self.rng;
        self.cluster.run(SLICE_MS, &stalled, |message: &InFlight| {
            let is_cut = cuts.iter().any(|cut| cut.applies_to(message));
            is_cut || rng.below(100) < loss_percent
        });
    }

    fn do_scheduled(&mut self) {
        let now = self.cluster.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|scheduled| scheduled.at_ms <= now);
        self.scheduled = waiting;
        for scheduled in due {
            self.act(scheduled.action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(machine) => self.cluster.start(machine),
            Action::Kill(machine) => self.cluster.crash(machine, 0),
            Action::Remove(machine) => self.cluster.remove(machine),
            Action::Thaw(machine) => self.cluster.thaw(machine),
            Action::AddNewcomer(replaced) => {
                let zone = self.cluster.machines[replaced].zone.clone();
                self.cluster.add_newcomer(zone);
            }
            Action::StopForGood(machine) => {
                self.cluster.step(machine, Msg::Stop);
                self.scheduled.retain(
                    |later| !matches!(later.action, Action::Start(other) if other == machine),
                );
                let grace_ms = self.cluster.settings.bounds.grace_ms;
                self.schedule(grace_ms, Action::Remove(machine));
            }
        }
    }

    /// Two clients propose changes on top of the same version, at random machines; one outputs for the log's end.
    fn run_clients(&mut self) {
        let up = self.up();
        let machines = self.cluster.machines.iter();
        let replicas = machines.filter_map(|machine| machine.replica.as_ref());
        let base = replicas.map(|r| r.state().version).max().unwrap_or(0);
        for _ in 0..2 {
            if let Some(machine) = self.rng.pick(&up).copied() {
                self.cluster.propose(machine, base);
            }
        }
        if let Some(machine) = self.rng.pick(&up).copied() {
            self.cluster.read(machine);
        }
    }

    /// Ends all disturbances and lets everything come back that can; then the cluster must make progress, agree on its
    /// state and be repaired.
    fn recover(&mut self) {
        self.cuts.clear();
        self.message_loss = MessageLoss::default();
        self.stalled_disks.clear();
        self.run_for(CALM_MS);
        let before = self.cluster.observations.acknowledgements;
        self.run_for(PROGRESS_MS);
        self.cluster.check_states();
        if self.no_violation() && self.cluster.observations.acknowledgements == before {
            let voters = self.cluster.voters();
            let explanation = format!(
                "nothing is committed: {} of {} voters",
                voters.intact.len(),
                voters.total
            );
            self.cluster
                .observations
                .violated(Invariant::Progress, explanation);
        }
        if self.no_violation() {
            self.check_repaired();
        }
    }

    fn run_for(&mut self, duration_ms: u64) {
        let end = self.cluster.now + duration_ms;
        while self.cluster.now < end && self.no_violation() {
            self.run_slice();
        }
    }
}
