//! A day in virtual time: the jobs, cancels, changes and workers as recorded, decided anew.

use super::Day;
use crate::config::ClusterConfig;
use crate::node::{Heartbeat, Node, Running};
use crate::sans_io::{Effect, Msg, Now, Part, Request, Response};
use crate::settings::Settings;
use crate::state::{
    pack_apply_result, AttemptState, ClusterState, Command, EndReport, Job, JobState, Outcome,
    WorkerInfo,
};
use crate::wire::{Body, Entry, ProposeResponse, ReadIndexResponse, WatchBatch};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const STEP: u64 = 20;
/// The only node and the only replica of a rerun.
const NODE: &str = "10.0.0.1:1";
const CORE: &str = "10.0.0.2:1";

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Summary {
    /// Jobs by how they ended.
    pub states: BTreeMap<String, JobState>,
    /// Milliseconds from acceptance to the end, of jobs that were done.
    pub took: BTreeMap<String, u64>,
    /// Workers on which tasks ended well.
    pub placed: BTreeMap<String, String>,
    pub kept: u64,
    pub missed: u64,
    pub copies: u64,
}

impl Summary {
    /// The story that a cluster state tells.
    pub fn of(r: &ClusterState) -> Self {
        let mut s = Self {
            kept: r.queues.values().map(|q| q.kept).sum(),
            missed: r.queues.values().map(|q| q.missed).sum(),
            copies: r.queues.values().map(|q| q.copies_ever).sum(),
            ..Self::default()
        };
        for (id, j) in &r.jobs {
            s.states.insert(id.clone(), j.state);
            if j.state == JobState::Done {
                s.took
                    .insert(id.clone(), j.ended.saturating_sub(j.accepted));
            }
            for (i, t) in j.tasks.iter().enumerate() {
                t.attempts
                    .iter()
                    .find(|x| x.state == AttemptState::Succeeded)
                    .into_iter()
                    .for_each(|x| {
                        s.placed
                            .insert(format!("{id}/{}", j.name(i)), x.worker.clone());
                    });
            }
        }
        s
    }
}

/// What a recorded task's runs were: how each ended, after how long.
type Runs = BTreeMap<(String, u32), Vec<(Outcome, u64)>>;

fn runs(end: &ClusterState) -> Runs {
    let one = |j: &Job, i: usize| {
        j.tasks[i]
            .attempts
            .iter()
            .filter_map(|s| match s.state {
                AttemptState::Succeeded => Some((Outcome::Succeeded, s.ran_ms)),
                AttemptState::Failed => Some((
                    Outcome::Failed,
                    s.ran_ms.max(s.ended.saturating_sub(s.ordered)),
                )),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    end.jobs
        .iter()
        .flat_map(|(id, j)| (0..j.tasks.len()).map(move |i| ((id.clone(), i as u32), one(j, i))))
        .collect()
}

struct SimulatedWorker {
    info: WorkerInfo,
    running: BTreeMap<u64, (u64, u64, Outcome)>,
    ended: Vec<EndReport>,
    over: BTreeSet<u64>,
    next: u64,
    silent: bool,
}

struct Stage {
    replica: ClusterState,
    log: VecDeque<Entry>,
    node: Node,
    t: u64,
    at0: u64,
    hands: BTreeMap<String, SimulatedWorker>,
    runs: Runs,
    used: BTreeMap<(String, u32), usize>,
    calls: BTreeMap<u64, String>,
    next_call: u64,
}

/// Decides a day anew, under another configuration or other settings where they are given.
pub fn rerun(day: &Day, config: Option<&ClusterConfig>, settings: &Settings) -> Summary {
    let runs = runs(&day.end());
    // The first entries of a new cluster come before its clock is set.
    let at0 = day
        .lines
        .iter()
        .map(|l| l.at)
        .find(|at| *at > 0)
        .unwrap_or(0);
    let settings = Settings {
        listen: NODE.into(),
        http: NODE.into(),
        zone: "replay".into(),
        seeds: vec![CORE.into()],
        cluster: day.start.cluster.clone(),
        ..settings.clone()
    };
    let now = Now { mono: 1, wall: at0 };
    let mut s = Stage {
        replica: day.start.clone(),
        log: VecDeque::new(),
        node: Node::new(settings, now, 1),
        t: 0,
        at0,
        hands: BTreeMap::new(),
        runs,
        used: BTreeMap::new(),
        calls: BTreeMap::new(),
        next_call: 0,
    };
    s.enter(&Command::RegisterNode {
        node: NODE.into(),
        zone: "replay".into(),
        http: NODE.into(),
    });
    day.start.workers.values().for_each(|w| s.hand(&w.info));
    if let Some(d) = config {
        s.configure(d);
    }
    let mut inputs: VecDeque<_> = day.lines.iter().collect();
    let until = day.lines.last().map_or(0, |l| l.at.saturating_sub(at0)) + 120_000;
    while s.t < until {
        s.t += STEP;
        while let Some(l) = inputs.pop_front_if(|l| l.at <= at0 + s.t) {
            match l.entry.action() {
                Command::UpdateConfig { .. } if config.is_none() => {
                    s.enter(&l.entry);
                }
                Command::CancelJob { .. } => {
                    s.enter(&l.entry);
                }
                Command::AcceptJob { spec, hash, .. } => {
                    let seen = s.replica.applied_index;
                    s.enter(&Command::AcceptJob {
                        spec: spec.clone(),
                        hash: *hash,
                        seen,
                    });
                }
                Command::UpdateWorker { info, .. } => s.hand(info),
                Command::WorkerLost { worker, .. } => s
                    .hands
                    .get_mut(worker)
                    .into_iter()
                    .for_each(|h| h.silent = true),
                _ => {}
            }
        }
        s.leases();
        s.watch();
        s.step(Msg::Tick);
        s.work();
        if inputs.is_empty() && s.replica.open.is_empty() {
            break;
        }
    }
    Summary::of(&s.replica)
}

impl Stage {
    fn now(&self) -> Now {
        Now {
            mono: self.t + 1,
            wall: self.at0 + self.t,
        }
    }

    fn enter(&mut self, c: &Command) -> (u64, Vec<u8>) {
        let (index, at) = (self.replica.applied_index + 1, self.at0 + self.t);
        let result = self.replica.apply(index, at, c);
        self.log.push_back(Entry {
            index,
            term: 1,
            at,
            command: serde_json::to_vec(c).unwrap_or_default(),
        });
        (index, pack_apply_result(&result))
    }

    fn configure(&mut self, d: &ClusterConfig) {
        let (base, value) = (
            self.replica.version,
            serde_json::to_value(d).unwrap_or_default(),
        );
        self.enter(&Command::UpdateConfig {
            change: "replay".into(),
            base,
            patch: false,
            number: 0,
            value,
        });
    }

    fn hand(&mut self, info: &WorkerInfo) {
        let h = self
            .hands
            .entry(info.worker.clone())
            .or_insert_with(|| SimulatedWorker {
                info: info.clone(),
                running: BTreeMap::new(),
                ended: Vec::new(),
                over: BTreeSet::new(),
                next: 0,
                silent: false,
            });
        if info.incarnation > h.info.incarnation {
            h.running.clear();
        }
        h.info = info.clone();
        h.silent = false;
    }

    fn leases(&mut self) {
        let zones: BTreeSet<String> = self
            .hands
            .values()
            .map(|h| crate::state::zone_lease(&h.info.zone))
            .collect();
        let queues: BTreeSet<String> = self
            .replica
            .config
            .queues
            .keys()
            .map(|q| crate::state::queue_lease(q))
            .collect();
        for lease in zones.into_iter().chain(queues) {
            let current = self
                .replica
                .holder(&lease)
                .map(|g| (g.holder.clone(), g.epoch));
            if current.as_ref().is_none_or(|(h, _)| h != NODE) {
                self.enter(&Command::GrantLease {
                    lease,
                    holder: NODE.into(),
                    from_epoch: current.map_or(0, |(_, e)| e),
                });
            }
        }
        let (retain, identity) = (u64::MAX / 4, u64::MAX / 4);
        if self
            .replica
            .sweep_due(retain, identity)
            .is_some_and(|due| due <= self.at0 + self.t)
        {
            self.enter(&Command::CollectGarbage {
                retain_ms: retain,
                identity_ms: identity,
            });
        }
    }

    fn watch(&mut self) {
        let behind = self.node.state().applied_index == 0
            && self.replica.applied_index > self.log.len() as u64;
        let (snapshot, snapshot_index) = if behind {
            (self.replica.pack(), self.replica.applied_index)
        } else {
            (Vec::new(), 0)
        };
        let entries = if behind {
            Vec::new()
        } else {
            self.log.iter().cloned().collect()
        };
        self.log.clear();
        let batch = WatchBatch {
            replica: CORE.into(),
            leader: CORE.into(),
            ok: true,
            sent: self.now().mono,
            quorum_age: 0,
            clock: self.at0 + self.t,
            commit: self.replica.applied_index,
            snapshot,
            snapshot_index,
            entries,
            light: false,
            reached: self.replica.applied_index,
            replicas: vec![CORE.into()],
        };
        self.step(Msg::Wire(CORE.into(), Body::WatchBatch(Box::new(batch))));
    }

    fn step(&mut self, msg: Msg) {
        let now = self.now();
        for e in self.node.step(now, msg) {
            match e {
                Effect::Send(_, Body::ProposeRequest(p)) => {
                    let Ok(c) = Command::unpack(&p.command) else {
                        continue;
                    };
                    let (log_index, response) = self.enter(&c);
                    let back = ProposeResponse {
                        token: p.token,
                        outcome: 0,
                        log_index,
                        leader: CORE.into(),
                        response,
                    };
                    self.step(Msg::Wire(
                        CORE.into(),
                        Body::ProposeResponse(Box::new(back)),
                    ));
                }
                Effect::Send(_, Body::ReadIndexRequest(r)) => {
                    let back = ReadIndexResponse {
                        token: r.token,
                        ok: true,
                        log_index: self.replica.applied_index,
                        leader: CORE.into(),
                        nodes: Vec::new(),
                    };
                    self.step(Msg::Wire(
                        CORE.into(),
                        Body::ReadIndexResponse(Box::new(back)),
                    ));
                }
                Effect::Answer(call, v) => {
                    if let Some(w) = self.calls.remove(&call) {
                        self.told(&w, &v);
                    }
                }
                _ => {}
            }
        }
    }

    /// The workers' part: runs end as recorded, heartbeats go out.
    fn work(&mut self) {
        let t = self.t;
        let due: Vec<String> = self
            .hands
            .iter()
            .filter(|(_, h)| {
                !h.silent && (t >= h.next || h.running.values().any(|(_, to, _)| t >= *to))
            })
            .map(|(k, _)| k.clone())
            .collect();
        for k in due {
            let Some(h) = self.hands.get_mut(&k) else {
                continue;
            };
            h.next = t + 240;
            let done: Vec<u64> = h
                .running
                .iter()
                .filter(|(_, (_, to, _))| t >= *to)
                .map(|(no, _)| *no)
                .collect();
            for no in done {
                let Some((from, _, outcome)) = h.running.remove(&no) else {
                    continue;
                };
                h.over.insert(no);
                h.ended.push(EndReport {
                    no,
                    outcome,
                    ran_ms: t - from,
                    ..EndReport::default()
                });
            }
            let running = h
                .running
                .keys()
                .map(|no| Running {
                    no: *no,
                    ..Running::default()
                })
                .collect();
            let heartbeat = Heartbeat {
                info: h.info.clone(),
                running,
                ended: h.ended.clone(),
                ..Heartbeat::default()
            };
            let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
            self.next_call += 1;
            let call = self.next_call;
            self.calls.insert(call, k);
            self.step(Msg::Call(
                call,
                Request {
                    method: "POST".into(),
                    path: "/v1/beats".into(),
                    query: String::new(),
                    body,
                },
            ));
        }
    }

    fn told(&mut self, worker: &str, v: &Response) {
        let t = self.t;
        let numbers = |key: &str| -> Vec<u64> {
            v.body[key]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_u64)
                .collect()
        };
        let Some(h) = self.hands.get_mut(worker) else {
            return;
        };
        let settled = numbers("settled");
        h.ended.retain(|e| !settled.contains(&e.no));
        for no in numbers("stops") {
            let outcome = h
                .running
                .remove(&no)
                .map(|_| Outcome::Stopped)
                .or_else(|| (!h.over.contains(&no)).then_some(Outcome::NeverStarted));
            if let Some(outcome) = outcome {
                h.over.insert(no);
                h.ended.push(EndReport {
                    no,
                    outcome,
                    ran_ms: 0,
                    ..EndReport::default()
                });
            }
        }
        for no in v.body["starts"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|s| s["no"].as_u64())
        {
            if h.running.contains_key(&no) || h.over.contains(&no) {
                continue;
            }
            let Some(key) = self.replica.live.get(&no).cloned() else {
                continue;
            };
            let of = self.runs.get(&key).cloned().unwrap_or_default();
            let n = self.used.entry(key).or_default();
            // The same number of the task's runs as recorded; beyond them, like its last good one.
            let last = of
                .iter()
                .rev()
                .find(|(o, _)| *o == Outcome::Succeeded)
                .copied()
                .unwrap_or((Outcome::Succeeded, 100));
            let (outcome, ran) = of.get(*n).copied().unwrap_or(last);
            *n += 1;
            h.running.insert(no, (t, t + ran.max(1), outcome));
        }
    }
}
