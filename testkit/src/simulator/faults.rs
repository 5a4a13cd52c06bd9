use super::disk::Condition;
use super::world::{Ent, Happening, Kind as Part, World};
use crate::history::Event;
use crate::scenario::{job, Fault, Kind, Mix};
use landingdrift::sans_io::{Msg, Rng};
use serde_json::json;

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
        let number = |s: &str| s.rsplit(':').next().and_then(|n| n.parse::<usize>().ok());
        let (replicas, nodes) = (self.replicas(), self.nodes());
        if f.who == "leader" {
            return self.leader().unwrap_or(replicas[0]);
        }
        if let Some(n) = number(&f.who).filter(|_| !f.who.is_empty()) {
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
        use Kind::*;
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
        let all: Vec<usize> = (0..self.procs.len()).collect();
        match f.kind {
            Kill => self.kill(x),
            Freeze => self.procs[x].frozen = true,
            Cut => all
                .iter()
                .filter(|j| **j != x)
                .for_each(|j| self.block(x, *j, true)),
            CutOneWay => all
                .iter()
                .filter(|j| **j != x)
                .for_each(|j| self.block(x, *j, false)),
            SplitCore => self
                .replicas()
                .iter()
                .filter(|j| **j != x)
                .for_each(|j| self.block(x, *j, true)),
            CutCores => {
                for c in self.replicas() {
                    for n in self.nodes() {
                        self.block(c, n, true);
                    }
                }
            }
            LoseZone => {
                let of: Vec<usize> = all
                    .into_iter()
                    .filter(|j| {
                        self.procs[*j].zone == x && !self.procs[*j].gone && self.procs[*j].up()
                    })
                    .collect();
                of.iter().for_each(|j| self.kill(*j));
                (0..self.hands.len())
                    .filter(|h| self.hands[*h].zone == x)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|h| self.crash_worker(h));
                self.targets.insert(i, of);
            }
            SlowLink => self.procs[x].slow = 8,
            SlowDisk => self
                .several(x, &f)
                .into_iter()
                .for_each(|c| self.set_delay(c, 120)),
            DiskFull => self.set_conditions(x, &f, Condition::Full),
            DiskStall => self.set_conditions(x, &f, Condition::Stalled),
            LoseTail => {
                self.look();
                self.kill(x);
                self.lose_tail(x);
            }
            ReplaceCore => {
                self.look();
                self.kill(x);
                self.procs[x].gone = true;
                let n = self.procs.len();
                let zone = self.procs[x].zone;
                self.add_core(zone, format!("10.0.{zone}.{}:7000", 50 + n));
                self.owe(n);
            }
            SwapNode => {
                self.kill(x);
                self.procs[x].gone = true;
                let n = self.procs.len();
                let zone = self.procs[x].zone;
                self.add_node(zone, format!("10.0.{zone}.{}:7000", 50 + n));
                // The platform names the new one to all who call.
                let nodes = self.node_http();
                self.client.nodes = nodes.clone();
                self.operators
                    .iter_mut()
                    .for_each(|o| o.nodes = nodes.clone());
                self.hands
                    .iter_mut()
                    .filter_map(|h| h.worker.as_mut())
                    .for_each(|w| w.nodes = nodes.clone());
            }
            Outage => {
                self.look();
                all.iter().for_each(|j| self.kill(*j));
                let replicas = self.replicas();
                let lost: Vec<usize> = (0..f.amount as usize)
                    .map(|k| replicas[(x + k) % replicas.len()])
                    .collect();
                lost.into_iter().for_each(|c| self.lose_tail(c));
            }
            ClockJump => {
                let by = if f.by == 0 {
                    if f.lasts.is_multiple_of(2) {
                        3_600_000
                    } else {
                        -3_600_000
                    }
                } else {
                    f.by
                };
                let of = self.several(x, &f);
                of.iter().enumerate().for_each(|(n, c)| {
                    self.procs[*c].wall_off = if n % 2 == 1 && by % 2 != 0 { -by } else { by }
                });
                self.targets.insert(i, of);
            }
            WorkerCrash | WorkerGone => self.crash_worker(x),
            WorkerFreeze => {
                self.hands[x].frozen = true;
                self.dark_note(x, true);
            }
            WorkerSlow => self.http_adapter(x, |m| m.slow = 6.0),
            WorkerFailing => self.http_adapter(x, |m| {
                m.failing = if f.amount > 0 {
                    f.amount as f64 / 100.0
                } else {
                    0.9
                }
            }),
            WorkerCut => {
                self.hands[x].cut = true;
                self.dark_note(x, true);
            }
            WorkerLeaves => {
                let t = self.t;
                let life = self.hands[x].life;
                let asks = self.hands[x]
                    .worker
                    .as_mut()
                    .map_or(Vec::new(), |w| w.leave(t));
                self.asked(Ent::Worker(x, life), asks);
            }
            Crowd => self.crowd(if f.amount > 0 { f.amount } else { 60 }, &self.shape.mix()),
            Huge => {
                let mut m = self.shape.mix();
                m.plain = true;
                let t = self.t;
                let mut spec = job(&mut self.rng, &m, &format!("huge-{t}"), super::EPOCH + t);
                let one = spec.tasks[0].clone();
                spec.tasks = (0..200)
                    .map(|n| landingdrift::state::TaskSpec {
                        name: format!("t{n}"),
                        ..one.clone()
                    })
                    .collect();
                let asks = self.client.offer(t, spec);
                self.asked(Ent::Client, asks);
            }
            Doomed => self.crowd(
                40,
                &Mix {
                    doomed: 1.0,
                    ..self.shape.mix()
                },
            ),
            Storm => (0..30).for_each(|n| {
                self.operators[n % 2].apply(true, json!({"notes": {"storm": format!("{n}")}}))
            }),
            Rivals => {
                let base = self.operators[0].version.max(self.operators[1].version);
                self.operators[0].race(base, json!({"notes": {"rival": "a"}}));
                self.operators[1].race(base, json!({"notes": {"rival": "b"}}));
            }
            LargeConfig => {
                let notes: serde_json::Map<String, serde_json::Value> = (0..2000)
                    .map(|n| (format!("n{n}"), json!("x".repeat(50))))
                    .collect();
                self.operators[0].apply(true, json!({"notes": notes}));
            }
            Drain => self.operators[0].zone(&format!("z{x}"), "draining"),
            Evacuate => self.operators[0].zone(&format!("z{x}"), "evacuated"),
            Restart | Upgrade => self.reach(x, Msg::Stop),
            FlakyLink => self.procs[x].flaky = true,
            LostAnswers => self.answers_lost = 50,
            WorkerChange => {
                let f = self.hands[x].info.clone();
                self.change_worker(x, f.cpu / 4, Default::default());
            }
            Urgent => {
                let mut m = self.shape.mix();
                m.queues = vec![m.queues[2].clone()];
                m.ms = 60.0;
                self.crowd(if f.amount > 0 { f.amount } else { 60 }, &m);
            }
            Wrong => self.wrong_jobs(),
            Tries => self.set_queue(x, json!({"tries": 1})),
            Quota => self.set_queue(x, json!({"quota": 1})),
            HugeConfig => {
                let notes: serde_json::Map<String, serde_json::Value> = (0..1000)
                    .map(|n| (format!("h{n}"), json!("y".repeat(3900))))
                    .collect();
                self.operators[0].apply(true, json!({"notes": notes}));
            }
        }
        self.look();
        let at = self.t + f.lasts;
        self.at(at, Happening::Heal(i));
    }

    pub(super) fn heal(&mut self, i: usize) {
        use Kind::*;
        let Some(of) = self.targets.remove(&i) else {
            return;
        };
        let f = self.faults[i].clone();
        let x = of.first().copied().unwrap_or(0);
        self.outln(format!("healed {:?} {x}", f.kind));
        self.note(Event::Healed {
            what: format!("{:?} {x} {i}", f.kind),
        });
        let all: Vec<usize> = (0..self.procs.len()).collect();
        match f.kind {
            Kill | LoseTail | Restart => self.start(x),
            Upgrade => {
                self.kill(x);
                self.procs[x].wire += 1;
                self.start(x);
            }
            Freeze => self.wake(x),
            Cut | CutOneWay => all.iter().for_each(|j| self.unblock(x, *j)),
            SplitCore => self.replicas().iter().for_each(|j| self.unblock(x, *j)),
            CutCores => {
                for c in self.replicas() {
                    for n in self.nodes() {
                        self.unblock(c, n);
                    }
                }
            }
            LoseZone => {
                of.iter().for_each(|j| self.start(*j));
                (0..self.hands.len())
                    .filter(|h| self.hands[*h].worker.is_none())
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|h| self.start_worker(h));
            }
            SlowLink => self.procs[x].slow = 1,
            SlowDisk => self
                .several(x, &f)
                .into_iter()
                .for_each(|c| self.set_delay(c, 2)),
            DiskFull | DiskStall => self.set_conditions(x, &f, Condition::Sound),
            Outage => {
                all.iter().for_each(|j| self.start(*j));
                self.note(Event::OutageOver);
                self.muster();
            }
            ClockJump => of.iter().for_each(|c| self.procs[*c].wall_off = 0),
            FlakyLink => self.procs[x].flaky = false,
            LostAnswers => self.answers_lost = 0,
            WorkerChange => {
                let f = self.hands[x].info.clone();
                self.change_worker(x, f.cpu, f.labels);
            }
            Tries if f.amount == 0 => self.set_queue(x, json!({"tries": 3})),
            Quota => self.set_queue(x, json!({"quota": 2000})),
            HugeConfig => {
                let notes: serde_json::Map<String, serde_json::Value> =
                    (0..1000).map(|n| (format!("h{n}"), json!(null))).collect();
                self.operators[0].apply(true, json!({"notes": notes}));
            }
            WorkerCrash if self.hands[x].worker.is_none() => self.start_worker(x),
            WorkerFreeze => self.wake_worker(x),
            WorkerSlow => self.http_adapter(x, |m| m.slow = 1.0),
            WorkerFailing => self.http_adapter(x, |m| m.failing = 0.0),
            WorkerCut => {
                self.hands[x].cut = false;
                self.dark_note(x, false);
            }
            WorkerLeaves => {
                self.crash_worker(x);
                self.start_worker(x);
            }
            Drain | Evacuate => {
                self.operators[0].zone(&format!("z{x}"), "serving");
            }
            _ => {}
        }
        self.look();
    }

    fn set_queue(&mut self, x: usize, to: serde_json::Value) {
        let queues = self.shape.mix().queues;
        self.operators[0].apply(
            true,
            json!({"queues": {(queues[x % queues.len()].as_str()): to}}),
        );
    }

    /// The process struck, and the next ones of the replica where several are meant.
    fn several(&self, x: usize, f: &Fault) -> Vec<usize> {
        let mut of = vec![x];
        of.extend(self.replicas().into_iter().filter(|c| *c != x));
        of.truncate(f.amount.max(1) as usize);
        of
    }

    fn change_worker(&mut self, x: usize, cpu: u32, labels: std::collections::BTreeSet<String>) {
        let (t, life) = (self.t, self.hands[x].life);
        let asks = self.hands[x]
            .worker
            .as_mut()
            .map_or(Vec::new(), |w| w.change(t, cpu, labels));
        self.asked(Ent::Worker(x, life), asks);
    }

    /// Jobs that nobody can take: a circle, an unknown queue, a body too large.
    fn wrong_jobs(&mut self) {
        let t = self.t;
        for n in 0..9u64 {
            let m = Mix {
                plain: true,
                ..self.shape.mix()
            };
            let mut spec = job(
                &mut self.rng,
                &m,
                &format!("wrong-{t}-{n}"),
                super::EPOCH + t,
            );
            match n % 3 {
                0 => spec.tasks[0].depends_on = vec![spec.tasks[0].name.clone()],
                1 => spec.queue = "nowhere".into(),
                _ => spec.tasks[0].payload = json!({"ms": 10, "text": "z".repeat(1 << 20)}),
            }
            let asks = self.client.offer(t, spec);
            self.asked(Ent::Client, asks);
        }
    }

    fn block(&mut self, a: usize, b: usize, both: bool) {
        self.blocked.insert((a, b));
        if both {
            self.blocked.insert((b, a));
        }
    }

    fn unblock(&mut self, a: usize, b: usize) {
        self.blocked.remove(&(a, b));
        self.blocked.remove(&(b, a));
    }

    fn wake(&mut self, x: usize) {
        if !std::mem::replace(&mut self.procs[x].frozen, false) {
            return;
        }
        let inbox = std::mem::take(&mut self.procs[x].inbox);
        // What waited may come before the process has looked at the time, or after.
        if self.rng.below(2) == 0 {
            self.reach(x, Msg::Tick);
        }
        inbox.into_iter().for_each(|m| self.reach(x, m));
    }

    fn wake_worker(&mut self, x: usize) {
        self.hands[x].frozen = false;
        self.dark_note(x, false);
        let t = self.t;
        let life = self.hands[x].life;
        for (call, v) in std::mem::take(&mut self.hands[x].inbox) {
            let asks = self.hands[x]
                .worker
                .as_mut()
                .map_or(Vec::new(), |w| w.answer(t, call, &v));
            self.asked(Ent::Worker(x, life), asks);
        }
    }

    fn dark_note(&mut self, x: usize, dark: bool) {
        let what = format!("{} w{x}", if dark { "dark" } else { "light" });
        self.note(Event::Fault { what });
    }

    fn crash_worker(&mut self, x: usize) {
        if self.hands[x].worker.take().is_some() {
            self.hands[x].life += 1;
            let worker = self.hands[x].info.worker.clone();
            self.note(Event::WorkerDied { worker });
        }
    }

    fn http_adapter(&mut self, x: usize, f: impl Fn(&mut crate::standin::worker::HttpAdapter)) {
        self.hands[x]
            .worker
            .iter_mut()
            .for_each(|w| f(&mut w.http_adapter));
    }

    fn set_delay(&mut self, x: usize, ms: u64) {
        if let Part::Replica(_, disk) = &mut self.procs[x].kind {
            disk.delay = ms;
        }
    }

    fn set_conditions(&mut self, x: usize, f: &Fault, to: Condition) {
        for c in self.several(x, f) {
            if let Part::Replica(_, disk) = &mut self.procs[c].kind {
                disk.condition = to;
            }
        }
    }

    fn lose_tail(&mut self, x: usize) {
        self.owe(x);
        let n = 1 + self.rng.below(4) as usize;
        let lost = if let Part::Replica(_, disk) = &mut self.procs[x].kind {
            disk.lose(n)
        } else {
            0
        };
        self.outln(format!(
            "the disk of {} lost {lost} confirmed entries",
            self.procs[x].addr
        ));
    }

    fn crowd(&mut self, number: u64, mix: &Mix) {
        let t = self.t;
        for n in 0..number {
            let spec = job(
                &mut self.rng,
                mix,
                &format!("crowd-{t}-{n}"),
                super::EPOCH + t,
            );
            let asks = self.client.offer(t, spec);
            self.asked(Ent::Client, asks);
        }
    }
}
