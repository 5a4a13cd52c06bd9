//! A stand-in client: it hands jobs in, retries them under the same id, polls and sometimes cancels.

use super::{request, Ask};
use crate::history::Event;
use crate::scenario::{job, Mix};
use landingdrift::kernel::{Draw, Verdict};
use landingdrift::record::JobSpec;
use serde_json::json;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Submitting,
    Polling,
    Over,
}

struct Job {
    spec: JobSpec,
    stage: Stage,
    next: u64,
    asked: Option<(u64, u64)>,
    turned_away: u32,
    cancel_at: Option<u64>,
    cancelling: bool,
    accepted: bool,
    offered: u64,
}

/// What became of a job, for figures.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub accepted: u64,
    pub refused: u64,
    pub ended: u64,
    /// Milliseconds from being offered to being seen as done.
    pub latencies: Vec<u64>,
    pub took: BTreeMap<String, u64>,
}

/// A client with all its jobs.
pub struct Client {
    /// Addresses of the nodes that the platform names.
    pub nodes: Vec<String>,
    draw: Draw,
    mix: Mix,
    prefix: String,
    jobs: BTreeMap<String, Job>,
    calls: BTreeMap<u64, (String, bool)>,
    next_call: u64,
    made: u64,
    next_job: u64,
    patience: u64,
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
            draw: Draw::new(seed),
            mix,
            prefix: prefix.into(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            made: 0,
            // The operator's first configuration comes before the first job.
            next_job: 2000,
            patience: 3000,
            offering: true,
            told: Told::default(),
            cancels: 0.03,
            epoch,
        }
    }

    /// Changes how many jobs a second are offered, and of what kind.
    pub fn set_mix(&mut self, mix: Mix) {
        self.mix = mix;
    }

    /// Hands in a job made elsewhere.
    pub fn offer(&mut self, now: u64, spec: JobSpec) -> Vec<Ask> {
        let cancel_at = (self.draw.unit() < self.cancels).then(|| now + 200 + self.draw.below(4000));
        let j = Job {
            spec: spec.clone(),
            stage: Stage::Submitting,
            next: now,
            asked: None,
            turned_away: 0,
            cancel_at,
            cancelling: false,
            accepted: false,
            offered: now,
        };
        self.jobs.insert(spec.id.clone(), j);
        vec![Ask::Note(Event::Offered { spec })]
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) -> Vec<Ask> {
        let mut out = Vec::new();
        while self.offering && self.mix.rate > 0.0 && now >= self.next_job {
            self.next_job += (-(1.0 - self.draw.unit()).ln() * 1000.0 / self.mix.rate) as u64;
            self.made += 1;
            let id = format!("{}-{}", self.prefix, self.made);
            let spec = job(&mut self.draw, &self.mix, &id, self.epoch + now);
            out.extend(self.offer(now, spec));
        }
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

    fn move_on(&mut self, now: u64, id: &str) -> Option<Ask> {
        let patience = self.patience;
        let j = self.jobs.get_mut(id)?;
        if let Some((call, sent)) = j.asked {
            if now < sent + patience {
                return None;
            }
            self.calls.remove(&call);
            j.asked = None;
        }
        self.next_call += 1;
        let call = self.next_call;
        j.asked = Some((call, now));
        let to = self.draw.pick(&self.nodes)?.clone();
        let cancel = j.stage == Stage::Polling && !j.cancelling && j.cancel_at.is_some_and(|at| now >= at);
        let req = match j.stage {
            Stage::Submitting => request("POST", "/v1/jobs", "", Some(&json!(j.spec))),
            _ if cancel => request("DELETE", &format!("/v1/jobs/{id}"), "", None),
            _ => request("GET", &format!("/v1/jobs/{id}"), "", None),
        };
        self.calls.insert(call, (id.into(), cancel));
        Some(Ask::Call { to, call, req })
    }

    /// A node has answered.
    pub fn answer(&mut self, now: u64, call: u64, v: &Verdict) -> Vec<Ask> {
        let Some((id, cancel)) = self.calls.remove(&call) else { return Vec::new() };
        let Some(j) = self.jobs.get_mut(&id) else { return Vec::new() };
        j.asked = None;
        j.next = now + if v.retry_ms > 0 { v.retry_ms } else { 500 };
        let mut out = Vec::new();
        match j.stage {
            Stage::Submitting => {
                out.push(Ask::Note(Event::Submitted { id: id.clone(), status: v.status }));
                match v.status {
                    200 | 202 => {
                        j.stage = Stage::Polling;
                        j.accepted = true;
                        self.told.accepted += 1;
                    }
                    503 => {}
                    429 if j.turned_away < 2 => j.turned_away += 1,
                    _ => {
                        j.stage = Stage::Over;
                        self.told.refused += 1;
                        out.push(Ask::Note(Event::GaveUp { id: id.clone() }));
                    }
                }
            }
            Stage::Polling if cancel => {
                if v.status == 200 {
                    j.cancelling = true;
                    out.push(Ask::Note(Event::CancelAcked { id: id.clone() }));
                }
            }
            Stage::Polling => {
                let state = v.body["state"].as_str().unwrap_or("").to_string();
                out.push(Ask::Note(Event::Polled {
                    id: id.clone(),
                    status: v.status,
                    state: state.clone(),
                    unsure: v.body["unsure"] == json!(true),
                }));
                if ["done", "failed", "cancelled"].contains(&state.as_str()) {
                    j.stage = Stage::Over;
                    self.told.ended += 1;
                    if state == "done" {
                        let took = v.body["ended"].as_u64().unwrap_or(0).saturating_sub(self.epoch + j.offered);
                        self.told.latencies.push(took);
                        self.told.took.insert(id.clone(), took);
                    }
                }
            }
            Stage::Over => {}
        }
        out
    }

    /// Ids that were accepted.
    pub fn accepted(&self) -> Vec<String> {
        self.jobs.iter().filter(|(_, j)| j.accepted).map(|(k, _)| k.clone()).collect()
    }

    /// Jobs that have not come to an end yet.
    pub fn waiting(&self) -> usize {
        self.jobs.values().filter(|j| j.stage != Stage::Over).count()
    }
}
