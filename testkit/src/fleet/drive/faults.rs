//! The faults of a day: what each does to the fleet and the stand-ins, and how it is healed.

use super::calls::call;
use super::{Day, Ent, Hand, Repair};
use crate::fleet::launch::Running;
use crate::fleet::FleetError;
use crate::history::Event;
use crate::scenario::{Fault, Kind};
use crate::standin::request;
use std::time::Duration;

/// The replicas that a fleet starts with.
const CORES: usize = 3;
/// How long a process that is told to end may take.
const STOP_WITHIN: Duration = Duration::from_secs(10);
/// What a disk loses that had not written everything: some tens of entries.
const LOST_TAIL_BYTES: u64 = 6000;

impl Day<'_> {
    fn leader(&self) -> usize {
        let leads = |p: &Running| {
            let status = call(&self.http, &p.http, &request("GET", "/v1/status", "", None));
            status.body["role"] == "Leader"
        };
        let found = self.fleet.procs.iter().position(|p| p.replica && leads(p));
        found.unwrap_or(0)
    }

    /// The number of the process, worker or zone that a fault strikes.
    fn target(&self, f: &Fault) -> usize {
        let last = f.who.rsplit(':').next();
        let number = last.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
        match f.who.split(':').next() {
            Some("leader") => self.leader(),
            Some("node") => self.node(number),
            Some("core") => number % CORES,
            _ => number,
        }
    }

    /// The process that is the node of a number, counted round.
    fn node(&self, number: usize) -> usize {
        let all = (0..self.fleet.procs.len()).filter(|i| !self.fleet.procs[*i].replica);
        all.clone().nth(number % all.count().max(1)).unwrap_or(0)
    }

    pub(super) fn strike(&mut self, f: &Fault) {
        let x = self.target(f);
        self.talk(&format!("fault {:?} {}", f.kind, f.who));
        self.note(Event::Fault {
            what: format!("{:?} {x}", f.kind),
        });
        match f.kind {
            Kind::Kill => self.kill(x),
            Kind::Freeze => self.fleet.freeze(x),
            Kind::Restart => self.stop(x),
            Kind::Outage | Kind::LoseZone => self.kill_many(f.kind, x),
            Kind::LoseTail => self.lose_tail(x),
            Kind::ReplaceCore => self.replace_core(x),
            Kind::WorkerCrash => self.worker_dies(x),
            Kind::WorkerCut => self.cut_worker(x, true),
            Kind::WorkerLeaves => self.worker_leaves(x),
            Kind::Drain => self.operator.zone(&format!("z{x}"), "draining"),
            Kind::Evacuate => self.operator.zone(&format!("z{x}"), "evacuated"),
            other => self.talk(&format!("{other:?} is for the simulator only: left out")),
        }
        self.count_down(f.kind, x);
        self.able();
        self.healing.push(Repair {
            due: self.now() + f.lasts,
            fault: f.clone(),
            target: x,
        });
    }

    /// Notes which processes a fault has taken away.
    fn count_down(&mut self, kind: Kind, x: usize) {
        let all = 0..self.fleet.procs.len();
        match kind {
            Kind::Kill | Kind::Freeze | Kind::Restart | Kind::LoseTail | Kind::ReplaceCore => {
                self.down.insert(x);
            }
            Kind::LoseZone => {
                let of_zone = all.filter(|i| self.fleet.procs[*i].zone == x);
                self.down.extend(of_zone);
            }
            Kind::Outage => self.down.extend(all),
            _ => {}
        }
    }

    /// Notes that a node went down; nothing is noted of cores.
    fn node_down(&mut self, x: usize) {
        if !self.fleet.procs[x].replica {
            let node = self.fleet.procs[x].http.clone();
            self.note(Event::NodeDown { node });
        }
    }

    fn kill(&mut self, x: usize) {
        self.fleet.kill(x);
        self.node_down(x);
    }

    fn stop(&mut self, x: usize) {
        let orderly = self.fleet.stop(x, STOP_WITHIN);
        self.talk(if orderly {
            "stopped in order"
        } else {
            "did not stop in order"
        });
        self.node_down(x);
    }

    /// Kills all processes, or those of a zone together with the workers there.
    fn kill_many(&mut self, kind: Kind, x: usize) {
        for i in 0..self.fleet.procs.len() {
            if kind == Kind::Outage || self.fleet.procs[i].zone == x {
                self.kill(i);
            }
        }
        let zone = format!("z{x}");
        for i in 0..self.hands.len() {
            if kind == Kind::LoseZone && self.hands[i].info.zone == zone {
                self.worker_dies(i);
            }
        }
    }

    fn lose_tail(&mut self, x: usize) {
        self.fleet.kill(x);
        let told = match self.fleet.cut_back(x, LOST_TAIL_BYTES) {
            Ok(bytes) => format!("its disk lost the last {bytes} bytes"),
            Err(e) => e.to_string(),
        };
        self.talk(&told);
    }

    fn replace_core(&mut self, x: usize) {
        let told = match self.fleet.replace(x) {
            Ok(()) => "an empty core starts at a new address".into(),
            Err(e) => e.to_string(),
        };
        self.talk(&told);
    }

    /// Cuts a worker off from all processes, or joins it to them again.
    fn cut_worker(&mut self, x: usize, cut: bool) {
        self.hands[x].cut = cut;
        let sight = if cut { "dark" } else { "light" };
        self.note(Event::Fault {
            what: format!("{sight} w{x}"),
        });
    }

    fn worker_leaves(&mut self, x: usize) {
        let now = self.now();
        let Hand { worker, life, .. } = &mut self.hands[x];
        let life = *life;
        let asks = worker.as_mut().map_or(Vec::new(), |w| w.leave(now));
        self.asked(Ent::Worker(x, life), asks);
    }

    /// What could work now, for the history.
    pub(super) fn able(&mut self) {
        let up = |replica: bool| -> Vec<String> {
            let all = self.fleet.procs.iter().enumerate();
            all.filter(|(i, p)| p.replica == replica && !self.down.contains(i))
                .map(|(_, p)| p.http.clone())
                .collect()
        };
        let (replicas, nodes) = (up(true).len(), up(false));
        self.note(Event::Able { replicas, nodes });
    }

    pub(super) fn heal(&mut self, f: &Fault, x: usize) -> Result<(), FleetError> {
        match f.kind {
            Kind::Kill | Kind::Restart | Kind::LoseTail => self.fleet.up(x)?,
            Kind::LoseZone => {
                self.all_up()?;
                self.workers_up();
            }
            Kind::Freeze => self.fleet.wake(x),
            Kind::Outage => {
                self.all_up()?;
                self.note(Event::OutageOver);
            }
            Kind::WorkerCrash if self.hands[x].worker.is_none() => self.worker_up(x),
            Kind::WorkerCut => self.cut_worker(x, false),
            Kind::WorkerLeaves => {
                self.worker_dies(x);
                self.worker_up(x);
            }
            Kind::Drain | Kind::Evacuate => self.operator.zone(&format!("z{x}"), "serving"),
            _ => {}
        }
        self.count_up(f.kind, x);
        self.able();
        self.note(Event::Healed {
            what: format!("{:?} {x}", f.kind),
        });
        Ok(())
    }

    /// Notes which processes are back once a fault is healed.
    fn count_up(&mut self, kind: Kind, x: usize) {
        match kind {
            Kind::Outage | Kind::LoseZone => self.down.retain(|i| self.fleet.procs[*i].gone),
            Kind::Kill | Kind::Freeze | Kind::Restart | Kind::LoseTail => {
                self.down.remove(&x);
            }
            _ => {}
        }
    }

    fn all_up(&mut self) -> Result<(), FleetError> {
        (0..self.fleet.procs.len()).try_for_each(|i| self.fleet.up(i))
    }

    /// Starts the workers that are dead.
    fn workers_up(&mut self) {
        for i in 0..self.hands.len() {
            if self.hands[i].worker.is_none() {
                self.worker_up(i);
            }
        }
    }
}
