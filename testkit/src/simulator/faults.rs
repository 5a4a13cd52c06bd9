//! Faults of a simulated day: whom each strikes, what it does, and how it is healed.

mod links;
mod load;
mod machines;
mod workers;

use super::disk::Condition;
use super::world::{Ent, Happening, Kind as Part, World};
use crate::history::Event;
use crate::scenario::{Fault, Kind};
use landingdrift::sans_io::{Msg, Rng};
use machines::{SLOW_DISK_MS, SOUND_DISK_MS};
use serde_json::json;
use workers::SLOW_FACTOR;

/// How many times longer messages take over a slow link.
const SLOW_LINK_FACTOR: u64 = 8;
/// How many answers in a hundred are lost while answers get lost.
const ANSWERS_LOST_PERCENT: u64 = 50;
/// Tries and quota of a queue as the shapes have them.
const USUAL_TRIES: u32 = 3;
const USUAL_QUOTA: u32 = 2000;

/// What a fault strikes.
enum Area {
    /// Processes, disks and clocks.
    Machines,
    Links,
    Workers,
    /// Those who call: jobs and configuration.
    Load,
}

/// What faults of a kind strike. A kind that is added must be given its place.
fn area(kind: Kind) -> Area {
    use Kind::*;
    match kind {
        Kill | Freeze | LoseZone | SlowDisk | DiskFull | DiskStall | LoseTail | ReplaceCore
        | SwapNode | Outage | ClockJump | Restart | Upgrade => Area::Machines,
        Cut | CutOneWay | SplitCore | CutCores | SlowLink | FlakyLink | LostAnswers => Area::Links,
        WorkerCrash | WorkerGone | WorkerFreeze | WorkerSlow | WorkerFailing | WorkerCut
        | WorkerLeaves | WorkerChange => Area::Workers,
        Crowd | Huge | Doomed | Urgent | Wrong | Storm | Rivals | LargeConfig | HugeConfig
        | Drain | Evacuate | Tries | Quota => Area::Load,
    }
}

impl World {
    fn replicas(&self) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|i| self.procs[*i].is_core() && !self.procs[*i].gone)
            .collect()
    }

    fn nodes(&self) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|i| !self.procs[*i].is_core() && !self.procs[*i].gone)
            .collect()
    }

    /// Which process, worker or zone a fault strikes.
    fn target(&mut self, f: &Fault) -> usize {
        use Kind::*;
        let (replicas, nodes) = (self.replicas(), self.nodes());
        if f.who == "leader" {
            return self.leader().unwrap_or(replicas[0]);
        }
        if let Some(n) = number(&f.who) {
            return match f.who.split(':').next() {
                Some("core") => replicas[n % replicas.len()],
                Some("node") => nodes[n % nodes.len()],
                _ => n,
            };
        }
        let of: Vec<usize> = match f.kind {
            SplitCore | SlowDisk | LoseTail | ReplaceCore | DiskFull | DiskStall => replicas,
            Tries | Quota => vec![0, 1, 2],
            SwapNode => nodes,
            LoseZone | Drain | Evacuate => vec![0, 1, 2],
            WorkerCrash | WorkerGone | WorkerFreeze | WorkerSlow | WorkerFailing | WorkerCut
            | WorkerLeaves | WorkerChange => (0..self.hands.len()).collect(),
            _ => replicas.into_iter().chain(nodes).collect(),
        };
        // Each fault draws for itself, so that leaving one out moves no other.
        *Rng::new(self.seed ^ f.at).pick(&of).unwrap_or(&0)
    }

    pub(super) fn strike(&mut self, i: usize) {
        let f = self.faults[i].clone();
        if self.calm && f.at < self.t {
            return;
        }
        let x = self.target(&f);
        self.targets.insert(i, vec![x]);
        self.outln(format!(
            "fault {:?} {} for {} ms, {} {}",
            f.kind, x, f.lasts, f.amount, f.by
        ));
        self.note(Event::Fault {
            what: format!("{:?} {x} {i}", f.kind),
        });
        match area(f.kind) {
            Area::Machines => {
                if let Some(struck) = self.strike_machines(&f, x) {
                    self.targets.insert(i, struck);
                }
            }
            Area::Links => self.strike_links(&f, x),
            Area::Workers => self.strike_workers(&f, x),
            Area::Load => self.strike_load(&f, x),
        }
        self.look();
        let at = self.t + f.lasts;
        self.at(at, Happening::Heal(i));
    }

    /// Strikes processes, disks and clocks; gives those that were struck, where they are others than `x` alone.
    fn strike_machines(&mut self, f: &Fault, x: usize) -> Option<Vec<usize>> {
        use Kind::*;
        match f.kind {
            Kill => self.kill(x),
            Freeze => self.procs[x].frozen = true,
            LoseZone => return Some(self.lose_zone(x)),
            SlowDisk => self.set_delays(x, f, SLOW_DISK_MS),
            DiskFull => self.set_conditions(x, f, Condition::Full),
            DiskStall => self.set_conditions(x, f, Condition::Stalled),
            LoseTail => {
                self.look();
                self.kill(x);
                self.lose_tail(x);
            }
            ReplaceCore => self.replace_core(x),
            SwapNode => self.swap_node(x),
            Outage => self.outage(x, f.amount),
            ClockJump => return Some(self.jump_clocks(x, f)),
            Restart | Upgrade => self.reach(x, Msg::Stop),
            _ => {}
        }
        None
    }

    fn strike_links(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        let all: Vec<usize> = (0..self.procs.len()).collect();
        match f.kind {
            Cut => self.cut_off(x, &all, true),
            CutOneWay => self.cut_off(x, &all, false),
            SplitCore => self.cut_off(x, &self.replicas(), true),
            CutCores => self.cut_cores(),
            SlowLink => self.procs[x].slow = SLOW_LINK_FACTOR,
            FlakyLink => self.procs[x].flaky = true,
            LostAnswers => self.answers_lost = ANSWERS_LOST_PERCENT,
            _ => {}
        }
    }

    fn strike_workers(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        match f.kind {
            WorkerCrash | WorkerGone => self.crash_worker(x),
            WorkerFreeze => self.freeze_worker(x),
            WorkerSlow => self.http_adapter(x, |m| m.slow = SLOW_FACTOR),
            WorkerFailing => self.fail_runs(x, f.amount),
            WorkerCut => self.cut_worker(x, true),
            WorkerLeaves => self.worker_leaves(x),
            WorkerChange => {
                let cpu = self.hands[x].info.cpu / 4;
                self.change_worker(x, cpu, Default::default());
            }
            _ => {}
        }
    }

    /// Strikes by jobs and changes of configuration.
    fn strike_load(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        match f.kind {
            Crowd => self.crowd_of(f.amount, &self.shape.mix()),
            Huge => self.huge_job(),
            Doomed => self.doomed_jobs(),
            Urgent => self.urgent_jobs(f.amount),
            Wrong => self.wrong_jobs(),
            Storm => self.storm(),
            Rivals => self.rivals(),
            LargeConfig => self.large_configuration(),
            HugeConfig => self.huge_configuration(),
            Drain => self.operators[0].zone(&format!("z{x}"), "draining"),
            Evacuate => self.operators[0].zone(&format!("z{x}"), "evacuated"),
            Tries => self.set_queue(x, json!({"tries": 1})),
            Quota => self.set_queue(x, json!({"quota": 1})),
            _ => {}
        }
    }

    pub(super) fn heal(&mut self, i: usize) {
        let Some(of) = self.targets.remove(&i) else {
            return;
        };
        let f = self.faults[i].clone();
        let x = of.first().copied().unwrap_or(0);
        self.outln(format!("healed {:?} {x}", f.kind));
        self.note(Event::Healed {
            what: format!("{:?} {x} {i}", f.kind),
        });
        match area(f.kind) {
            Area::Machines => self.heal_machines(&f, &of, x),
            Area::Links => self.heal_links(&f, x),
            Area::Workers => self.heal_workers(&f, x),
            Area::Load => self.heal_load(&f, x),
        }
        self.look();
    }

    fn heal_machines(&mut self, f: &Fault, of: &[usize], x: usize) {
        use Kind::*;
        match f.kind {
            Kill | LoseTail | Restart => self.start(x),
            Upgrade => self.upgrade(x),
            Freeze => self.wake(x),
            LoseZone => self.regain_zone(of),
            SlowDisk => self.set_delays(x, f, SOUND_DISK_MS),
            DiskFull | DiskStall => self.set_conditions(x, f, Condition::Sound),
            Outage => self.end_outage(),
            ClockJump => {
                for c in of {
                    self.procs[*c].wall_off = 0;
                }
            }
            _ => {}
        }
    }

    fn heal_links(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        let all: Vec<usize> = (0..self.procs.len()).collect();
        match f.kind {
            Cut | CutOneWay => self.join_again(x, &all),
            SplitCore => self.join_again(x, &self.replicas()),
            CutCores => self.join_cores(),
            SlowLink => self.procs[x].slow = 1,
            FlakyLink => self.procs[x].flaky = false,
            LostAnswers => self.answers_lost = 0,
            _ => {}
        }
    }

    fn heal_workers(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        match f.kind {
            WorkerCrash if self.hands[x].worker.is_none() => self.start_worker(x),
            WorkerFreeze => self.wake_worker(x),
            WorkerSlow => self.http_adapter(x, |m| m.slow = 1.0),
            WorkerFailing => self.http_adapter(x, |m| m.failing = 0.0),
            WorkerCut => self.cut_worker(x, false),
            WorkerLeaves => {
                self.crash_worker(x);
                self.start_worker(x);
            }
            WorkerChange => {
                let f = self.hands[x].info.clone();
                self.change_worker(x, f.cpu, f.labels);
            }
            _ => {}
        }
    }

    fn heal_load(&mut self, f: &Fault, x: usize) {
        use Kind::*;
        match f.kind {
            Tries if f.amount == 0 => self.set_queue(x, json!({"tries": USUAL_TRIES})),
            Quota => self.set_queue(x, json!({"quota": USUAL_QUOTA})),
            HugeConfig => self.drop_huge_configuration(),
            Drain | Evacuate => self.operators[0].zone(&format!("z{x}"), "serving"),
            _ => {}
        }
    }
}

/// The number at the end of a target such as `replica:1`.
fn number(who: &str) -> Option<usize> {
    who.rsplit(':').next().and_then(|n| n.parse().ok())
}
