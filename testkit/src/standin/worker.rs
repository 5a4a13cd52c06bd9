//! A stand-in worker: it heartbeats, runs what it is told to and says how it ended.

use super::{request, Ask};
use crate::history::Event;
use landingdrift::sans_io::{fnv1a, Response, Rng};
use landingdrift::state::{EndReport, Outcome, WorkerInfo};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// How a worker behaves.
#[derive(Clone, Debug)]
pub struct HttpAdapter {
    /// Runs take this many times as long.
    pub slow: f64,
    /// Share of runs that fail quietly.
    pub failing: f64,
    pub leaving: bool,
}

impl Default for HttpAdapter {
    fn default() -> Self {
        Self {
            slow: 1.0,
            failing: 0.0,
            leaving: false,
        }
    }
}

struct Run {
    job: String,
    task: String,
    cpu: u32,
    started: u64,
    until: u64,
    outcome: Outcome,
}

/// What a run's luck is drawn from when policies are compared: each task and each copy has its own.
pub fn paired(seed: u64, job: &str, task: &str, copy: bool) -> Rng {
    Rng::new(seed ^ fnv1a(format!("{job}/{task}/{copy}").as_bytes()))
}

/// A worker.
pub struct Worker {
    pub info: WorkerInfo,
    pub http_adapter: HttpAdapter,
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    at: usize,
    rng: Rng,
    seed: u64,
    /// Where set, a run's luck hangs on its job and task alone, the same under every policy.
    pub paired: Option<u64>,
    running: BTreeMap<u64, Run>,
    ended: Vec<EndReport>,
    /// Attempts that ended or were called off before they came: never to be started.
    over: BTreeSet<u64>,
    heartbeat_ms: u64,
    next_heartbeat: u64,
    asked: Option<(u64, u64)>,
    calls: u64,
    patience: u64,
}

impl Worker {
    /// A worker that has just started.
    pub fn new(info: WorkerInfo, nodes: Vec<String>, seed: u64) -> Self {
        let mut rng = Rng::new(seed ^ fnv1a(info.worker.as_bytes()) ^ info.incarnation);
        let at = rng.below(nodes.len() as u64) as usize;
        Self {
            info,
            http_adapter: HttpAdapter::default(),
            nodes,
            at,
            rng,
            seed,
            paired: None,
            running: BTreeMap::new(),
            ended: Vec::new(),
            over: BTreeSet::new(),
            heartbeat_ms: 250,
            next_heartbeat: 0,
            asked: None,
            calls: 0,
            patience: 800,
        }
    }

    /// What is written down when it comes up.
    pub fn up(&self) -> Event {
        let f = &self.info;
        Event::WorkerUp {
            worker: f.worker.clone(),
            incarnation: f.incarnation,
            service: f.service.clone(),
            labels: f.labels.iter().cloned().collect(),
            zone: f.zone.clone(),
            cpu: f.cpu,
        }
    }

    /// Announces that it is about to leave.
    pub fn leave(&mut self, now: u64) -> Vec<Ask> {
        self.http_adapter.leaving = true;
        self.info.leaving = true;
        self.asked = None;
        self.next_heartbeat = now;
        let mut out = vec![Ask::DurabilityWitness(Event::WorkerLeaving {
            worker: self.info.worker.clone(),
        })];
        out.extend(self.tick(now));
        out
    }

    /// Has other capacity or labels from now on; responses on older heartbeats are not obeyed any more.
    pub fn change(&mut self, now: u64, cpu: u32, labels: BTreeSet<String>) -> Vec<Ask> {
        self.info.cpu = cpu;
        self.info.labels = labels;
        self.asked = None;
        self.next_heartbeat = now;
        let f = &self.info;
        vec![Ask::DurabilityWitness(Event::WorkerChanged {
            worker: f.worker.clone(),
            labels: f.labels.iter().cloned().collect(),
            cpu,
        })]
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) -> Vec<Ask> {
        let mut out = Vec::new();
        let done: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, r)| now >= r.until)
            .map(|(no, _)| *no)
            .collect();
        for no in done {
            let outcome = self.running.get(&no).map_or(Outcome::Failed, |r| r.outcome);
            out.extend(self.end(now, no, outcome));
        }
        if self
            .asked
            .is_some_and(|(_, sent)| now >= sent + self.patience)
        {
            self.asked = None;
            self.turn(now);
        }
        if self.asked.is_none() && now >= self.next_heartbeat {
            out.push(self.heartbeat(now));
        }
        out
    }

    fn turn(&mut self, now: u64) {
        let step = 1 + self.rng.below(self.nodes.len().max(2) as u64 - 1) as usize;
        self.at = (self.at + step) % self.nodes.len().max(1);
        self.next_heartbeat = now + 20;
    }

    fn heartbeat(&mut self, now: u64) -> Ask {
        self.calls += 1;
        let call = self.calls;
        self.asked = Some((call, now));
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(no, r)| json!({"no": no, "progress": (now - r.started) * 1000 / (r.until - r.started).max(1)}))
            .collect();
        let body = json!({"facts": self.info, "running": running, "ended": self.ended});
        Ask::Call {
            to: self.nodes[self.at % self.nodes.len().max(1)].clone(),
            call,
            req: request("POST", "/v1/beats", "", Some(&body)),
        }
    }

    fn end(&mut self, now: u64, no: u64, outcome: Outcome) -> Vec<Ask> {
        let Some(r) = self.running.remove(&no) else {
            return Vec::new();
        };
        self.over.insert(no);
        let note = if outcome == Outcome::Failed {
            "the run failed"
        } else {
            ""
        };
        self.ended.push(EndReport {
            no,
            outcome,
            ran_ms: now - r.started,
            note: note.into(),
            ..EndReport::default()
        });
        // Ends are told soon, so that the slot is used again.
        self.next_heartbeat = self.next_heartbeat.min(now + 20);
        vec![Ask::DurabilityWitness(Event::Ended {
            worker: self.info.worker.clone(),
            no,
            job: r.job,
            task: r.task,
            outcome,
        })]
    }

    /// A node has answered.
    pub fn answer(&mut self, now: u64, call: u64, v: &Response) -> Vec<Ask> {
        let Some((_, sent)) = self.asked.filter(|(c, _)| *c == call) else {
            return Vec::new();
        };
        self.asked = None;
        self.next_heartbeat = now + self.heartbeat_ms;
        if v.status != 200 {
            self.turn(now);
            return Vec::new();
        }
        self.heartbeat_ms = v.body["beatMs"].as_u64().unwrap_or(250);
        let numbers = |key: &str| -> Vec<u64> {
            v.body[key]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_u64)
                .collect()
        };
        let settled = numbers("settled");
        self.ended.retain(|e| !settled.contains(&e.no));
        let mut out = Vec::new();
        for no in numbers("stops") {
            if let Some(r) = self.running.get_mut(&no) {
                // A run that is told to stop takes its time to let go of its capacity.
                let ends = now + self.rng.below(300);
                if ends < r.until {
                    (r.until, r.outcome) = (ends, Outcome::Stopped);
                }
            } else if self.over.insert(no) {
                self.ended.push(EndReport {
                    no,
                    outcome: Outcome::NeverStarted,
                    ran_ms: 0,
                    ..EndReport::default()
                });
                self.next_heartbeat = now + 20;
            }
        }
        // An answer that took too long may be old news.
        if now.saturating_sub(sent) <= v.body["obeyMs"].as_u64().unwrap_or(0) && !self.info.leaving
        {
            for s in v.body["starts"].as_array().into_iter().flatten() {
                out.extend(self.start(now, s));
            }
        }
        out
    }

    fn start(&mut self, now: u64, s: &Value) -> Vec<Ask> {
        let no = s["no"].as_u64().unwrap_or(0);
        if self.running.contains_key(&no) || self.over.contains(&no) {
            return Vec::new();
        }
        let mut rng = self.paired.map_or_else(
            || Rng::new(self.seed ^ (no << 20)),
            |seed| {
                paired(
                    seed,
                    s["job"].as_str().unwrap_or(""),
                    s["task"].as_str().unwrap_or(""),
                    s["copy"] == json!(true),
                )
            },
        );
        let p = &s["payload"];
        let ms = p["ms"].as_f64().unwrap_or(200.0);
        let tail = p["tail"].as_f64().unwrap_or(0.0);
        // Pareto with the shape named, as the paper has it; without one, as long as it says.
        let long = if tail > 0.0 {
            (1.0 - rng.unit()).powf(-1.0 / tail).min(20.0)
        } else {
            1.0
        };
        let took = (ms * long * self.http_adapter.slow).max(1.0) as u64;
        let fails = p["doomed"] == json!(true)
            || rng.unit()
                < self
                    .http_adapter
                    .failing
                    .max(p["failing"].as_f64().unwrap_or(0.0));
        let (job, task, cpu) = (
            s["job"].as_str().unwrap_or("").to_string(),
            s["task"].as_str().unwrap_or("").to_string(),
            s["room"].as_u64().unwrap_or(0) as u32,
        );
        self.running.insert(
            no,
            Run {
                job: job.clone(),
                task: task.clone(),
                cpu,
                started: now,
                until: now + took,
                outcome: if fails {
                    Outcome::Failed
                } else {
                    Outcome::Succeeded
                },
            },
        );
        self.next_heartbeat = self.next_heartbeat.min(now + 50);
        vec![Ask::DurabilityWitness(Event::Started {
            worker: self.info.worker.clone(),
            no,
            job,
            task,
            cpu,
            copy: s["copy"] == json!(true),
        })]
    }

    /// How many runs there are, and the capacity they take.
    pub fn load(&self) -> (usize, u32) {
        (
            self.running.len(),
            self.running.values().map(|r| r.cpu).sum(),
        )
    }
}
