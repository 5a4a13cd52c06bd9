//! A stand-in client: it hands jobs in, retries them under the same id, polls and sometimes cancels.

use super::{request, Ask};
use crate::history::Event;
use crate::scenario::{job, Mix};
use landingdrift::sans_io::{Response, Rng};
use landingdrift::state::JobSpec;
use serde_json::json;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Submitting,
    Polling,
    Over,
}

/// What a call asks for.
#[derive(Clone, Copy, PartialEq)]
enum Wants {
    HandIn,
    Cancel,
    State,
}

struct Job {
    spec: JobSpec,
    stage: Stage,
    next: u64,
    asked: Option<(u64, u64, Wants)>,
    turned_away: u32,
    /// How many refusals it takes before the client gives up.
    stubborn: u32,
    cancel_at: Option<u64>,
    /// Cancels still to be made; some are repeated after they were acknowledged.
    cancels: u32,
    accepted: bool,
    offered: u64,
}

/// What became of a job, for figures.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub accepted: u64,
    pub refused: u64,
    /// Milliseconds from being offered to being seen as done.
    pub latencies: Vec<u64>,
    pub took: BTreeMap<String, u64>,
}

/// A client with all its jobs.
pub struct Client {
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    rng: Rng,
    mix: Mix,
    prefix: String,
    jobs: BTreeMap<String, Job>,
    calls: BTreeMap<u64, String>,
    next_call: u64,
    made: u64,
    next_job: u64,
    patience: u64,
    /// How long an answer on a job's state is waited for before another node is asked.
    state_patience: u64,
    /// Accepted jobs that have ended: they are asked for again every now and then.
    ended: Vec<String>,
    next_look: u64,
    /// Nodes that the platform has found ready; clients are steered to them.
    pub ready: Vec<String>,
    pub offering: bool,
    pub told: Told,
    /// Share of jobs that are cancelled.
    pub cancels: f64,
    /// What the system's clock showed at time 0 of this stand-in.
    pub epoch: u64,
}

impl Client {
    /// A client that offers a mix of jobs.
    pub fn new(prefix: &str, nodes: Vec<String>, mix: Mix, seed: u64, epoch: u64) -> Self {
        Self {
            nodes,
            rng: Rng::new(seed),
            mix,
            prefix: prefix.into(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            made: 0,
            // The operator's first configuration comes before the first job.
            next_job: 2000,
            patience: 3000,
            state_patience: 1000,
            ended: Vec::new(),
            next_look: 0,
            ready: Vec::new(),
            offering: true,
            told: Told::default(),
            cancels: 0.05,
            epoch,
        }
    }

    /// Changes how many jobs a second are offered, and of what kind.
    pub fn set_mix(&mut self, mix: Mix) {
        self.mix = mix;
    }

    /// Hands in a job that is neither cancelled nor given up.
    pub fn offer_surely(&mut self, now: u64, spec: JobSpec) -> Vec<Ask> {
        let id = spec.id.clone();
        let asks = self.offer(now, spec);
        self.jobs.get_mut(&id).iter_mut().for_each(|j| {
            j.cancel_at = None;
            j.stubborn = u32::MAX;
        });
        asks
    }

    /// Hands in a job made elsewhere.
    pub fn offer(&mut self, now: u64, spec: JobSpec) -> Vec<Ask> {
        let cancel_at = (self.rng.unit() < self.cancels).then(|| now + self.rng.below(4000));
        let j = Job {
            spec: spec.clone(),
            stage: Stage::Submitting,
            next: now,
            asked: None,
            turned_away: 0,
            stubborn: self.rng.below(4) as u32,
            cancel_at,
            cancels: if cancel_at.is_some() {
                1 + self.rng.below(2) as u32
            } else {
                0
            },
            accepted: false,
            offered: now,
        };
        self.jobs.insert(spec.id.clone(), j);
        vec![Ask::DurabilityWitness(Event::Offered { spec })]
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) -> Vec<Ask> {
        let mut out = Vec::new();
        while self.offering && self.mix.rate > 0.0 && now >= self.next_job {
            self.next_job += (-(1.0 - self.rng.unit()).ln() * 1000.0 / self.mix.rate) as u64;
            self.made += 1;
            let id = format!("{}-{}", self.prefix, self.made);
            let spec = job(&mut self.rng, &self.mix, &id, self.epoch + now);
            out.extend(self.offer(now, spec));
        }
        out.extend(self.look_again(now));
        let due: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.stage != Stage::Over && (now >= j.next || j.asked.is_some()))
            .map(|(k, _)| k.clone())
            .collect();
        for id in due {
            out.extend(self.move_on(now, &id));
        }
        out
    }

    /// What has ended is not forgotten either: one of those jobs is asked for now and then.
    fn look_again(&mut self, now: u64) -> Vec<Ask> {
        if now < self.next_look || self.ended.is_empty() || !self.offering {
            return Vec::new();
        }
        self.next_look = now + 250;
        let i = self.rng.below(self.ended.len() as u64) as usize;
        let id = self.ended.swap_remove(i);
        self.ask_again(now, &id);
        Vec::new()
    }

    fn ask_again(&mut self, now: u64, id: &str) {
        self.jobs.get_mut(id).iter_mut().for_each(|j| {
            j.stage = Stage::Polling;
            j.next = now;
        });
    }

    /// Asks once more for every job that was accepted, as at the end of a day.
    pub fn ask_for_all(&mut self, now: u64) {
        std::mem::take(&mut self.ended)
            .iter()
            .for_each(|id| self.ask_again(now, id));
    }

    fn move_on(&mut self, now: u64, id: &str) -> Vec<Ask> {
        let (patience, short) = (self.patience, self.state_patience);
        let Some(j) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        if let Some((call, sent, wants)) = j.asked {
            if now
                < sent
                    + if wants == Wants::State {
                        short
                    } else {
                        patience
                    }
            {
                return Vec::new();
            }
            self.calls.remove(&call);
            j.asked = None;
        }
        let to = self
            .rng
            .pick(if self.ready.is_empty() {
                &self.nodes
            } else {
                &self.ready
            })
            .cloned();
        let Some(to) = to else { return Vec::new() };
        self.next_call += 1;
        let call = self.next_call;
        // A cancel may race the very call that hands the job in.
        let cancel = j.cancels > 0
            && j.cancel_at.is_some_and(|at| now >= at)
            && (j.stage == Stage::Polling || now > j.offered);
        let wants = match j.stage {
            _ if cancel => Wants::Cancel,
            Stage::Submitting => Wants::HandIn,
            _ => Wants::State,
        };
        j.asked = Some((call, now, wants));
        let id = id.to_string();
        let (note, req) = match wants {
            Wants::HandIn => (
                Event::Handed { id: id.clone() },
                request("POST", "/v1/jobs", "", Some(&json!(j.spec))),
            ),
            Wants::Cancel => (
                Event::CancelAsked { id: id.clone() },
                request("DELETE", &format!("/v1/jobs/{id}"), "", None),
            ),
            Wants::State => (
                Event::Asked { id: id.clone() },
                request("GET", &format!("/v1/jobs/{id}"), "", None),
            ),
        };
        self.calls.insert(call, id);
        vec![Ask::DurabilityWitness(note), Ask::Call { to, call, req }]
    }

    /// A node has answered.
    pub fn answer(&mut self, now: u64, call: u64, v: &Response) -> Vec<Ask> {
        let Some(id) = self.calls.remove(&call) else {
            return Vec::new();
        };
        let Some(j) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        let Some((_, _, wants)) = j.asked.take() else {
            return Vec::new();
        };
        j.next = now + if v.retry_ms > 0 { v.retry_ms } else { 500 };
        let mut out = Vec::new();
        match wants {
            Wants::HandIn => {
                let code = v.body["error"].as_str().unwrap_or("").to_string();
                let refused = !matches!(code.as_str(), "unsure" | "noCore");
                out.push(Ask::DurabilityWitness(Event::Submitted {
                    id: id.clone(),
                    status: v.status,
                    code,
                }));
                match v.status {
                    200 | 202 => {
                        j.stage = Stage::Polling;
                        self.told.accepted += u64::from(!std::mem::replace(&mut j.accepted, true));
                    }
                    503 if !refused => {}
                    429 | 503 if j.turned_away < j.stubborn => j.turned_away += 1,
                    _ => {
                        j.stage = Stage::Over;
                        self.told.refused += 1;
                        out.push(Ask::DurabilityWitness(Event::GaveUp { id: id.clone() }));
                    }
                }
            }
            Wants::Cancel if v.status == 200 => {
                j.cancels -= 1;
                j.stage = Stage::Polling;
                out.push(Ask::DurabilityWitness(Event::CancelAcked {
                    id: id.clone(),
                }));
            }
            // Not known yet: it is handed in first.
            Wants::Cancel => j.cancel_at = Some(now + 2000),
            Wants::State => {
                let state = v.body["state"].as_str().unwrap_or("").to_string();
                // Whoever wants to know a state doesn't sit out long pauses.
                j.next = j.next.min(now + 400);
                out.push(Ask::DurabilityWitness(Event::Polled {
                    id: id.clone(),
                    status: v.status,
                    state: state.clone(),
                    unsure: v.body["unsure"] == json!(true),
                    stale: v.body["stale"] == json!(true),
                }));
                if ["done", "failed", "cancelled"].contains(&state.as_str()) {
                    j.stage = Stage::Over;
                    j.cancels = 0;
                    self.ended.push(id.clone());
                    if state == "done" && !self.told.took.contains_key(&id) {
                        let took = v.body["ended"]
                            .as_u64()
                            .unwrap_or(0)
                            .saturating_sub(self.epoch + j.offered);
                        self.told.latencies.push(took);
                        self.told.took.insert(id.clone(), took);
                    }
                }
            }
        }
        out
    }

    /// Ids that were accepted.
    pub fn accepted(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(_, j)| j.accepted)
            .map(|(k, _)| k.clone())
            .collect()
    }

    /// Jobs that have not come to an end yet.
    pub fn waiting(&self) -> usize {
        self.jobs
            .values()
            .filter(|j| j.stage != Stage::Over)
            .count()
    }
}
