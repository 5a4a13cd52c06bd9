//! A fake client: it submits jobs, retries them under the same id, polls their states and sometimes cancels.

use super::client_job::{call_for, Job, OpenCall, Purpose, Stage};
use super::Output;
use crate::history::Event;
use crate::scenario::{random_job, Mix};
use landingdrift::sans_io::{Response, Rng};
use landingdrift::state::JobSpec;
use serde_json::json;
use std::collections::BTreeMap;

/// When the first random job is offered, in milliseconds, to leave time for the operator's first configuration.
const FIRST_JOB_MS: u64 = 2000;
/// The interval of polls of jobs that have ended, in milliseconds.
const ENDED_POLL_EVERY_MS: u64 = 250;
/// The pause after an answer that gives no retry time, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 500;
/// The longest pause between polls of a job's state, in milliseconds.
const MAX_POLL_PAUSE_MS: u64 = 400;
/// The pause after the cancel of a job that the system does not know yet, in milliseconds.
const CANCEL_RETRY_MS: u64 = 2000;
/// The exclusive upper bound of the time from the offer of a job to its cancel, in milliseconds.
const CANCEL_DELAY_BOUND_MS: u64 = 4000;
/// How long a client that gives up waits for the answer to a submission, in milliseconds.
const PATIENCE_MS: u64 = 700;
/// The default share of jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.05;
/// The exclusive upper bound of the random number of refusals after which a client still retries.
const RETRIED_REFUSALS_BOUND: u64 = 4;

/// Figures of a client's jobs.
#[derive(Clone, Debug, Default)]
pub struct ClientObservations {
    /// Jobs with an accepted submission.
    pub accepted: u64,
    /// Jobs that the client stopped submitting after a refusal.
    pub given_up: u64,
    /// The time from offer to end of each job that is done, in milliseconds, in the order of observation.
    pub latencies_ms: Vec<u64>,
    /// The time from offer to end of each job that is done, in milliseconds, by job id.
    pub latency_of_job_ms: BTreeMap<String, u64>,
}

/// A simulated user who submits, polls and cancels jobs.
pub struct Client {
    /// The addresses of all nodes, as the platform lists them.
    pub nodes: Vec<String>,
    rng: Rng,
    mix: Mix,
    /// The prefix of the ids of random jobs.
    prefix: String,
    jobs: BTreeMap<String, Job>,
    /// The job id of each unanswered call, by call number.
    calls: BTreeMap<u64, String>,
    last_call: u64,
    jobs_offered: u64,
    next_job_ms: u64,
    /// Accepted jobs that have ended, one of which is polled again at intervals of [`ENDED_POLL_EVERY_MS`].
    ended: Vec<String>,
    next_ended_poll_ms: u64,
    /// The addresses of the ready nodes, which the platform routes clients to; if empty, clients call any of `nodes`.
    pub ready_nodes: Vec<String>,
    /// Whether the client offers random jobs of its mix.
    pub is_offering: bool,
    pub observations: ClientObservations,
    /// The share of jobs that are cancelled.
    pub cancelled_share: f64,
    /// The share of jobs whose clients give up and cancel if the submission is not answered in time.
    pub giving_up_share: f64,
    /// The wall clock's time at the beginning of the day, in milliseconds since 1970.
    epoch_ms: u64,
}

impl Client {
    /// A client that offers random jobs of a mix.
    pub fn new(prefix: &str, nodes: Vec<String>, mix: Mix, seed: u64, epoch_ms: u64) -> Self {
        Self {
            nodes,
            rng: Rng::new(seed),
            mix,
            prefix: prefix.into(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            jobs_offered: 0,
            next_job_ms: FIRST_JOB_MS,
            ended: Vec::new(),
            next_ended_poll_ms: 0,
            ready_nodes: Vec::new(),
            is_offering: true,
            observations: ClientObservations::default(),
            cancelled_share: CANCELLED_SHARE,
            giving_up_share: 0.0,
            epoch_ms,
        }
    }

    /// Offers a job that is never cancelled, and is submitted again after any refusal that permits a retry.
    pub fn offer_until_accepted(&mut self, now: u64, spec: JobSpec) -> Vec<Output> {
        let id = spec.id.clone();
        let outputs = self.offer(now, spec);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.cancel_at_ms = None;
            job.give_up_at_ms = None;
            job.max_refusals = u32::MAX;
        }
        outputs
    }

    /// Offers a job, and decides at random whether and when to cancel it.
    pub fn offer(&mut self, now: u64, spec: JobSpec) -> Vec<Output> {
        let is_cancelled = self.rng.unit() < self.cancelled_share;
        let cancel_at_ms = is_cancelled.then(|| now + self.rng.below(CANCEL_DELAY_BOUND_MS));
        let max_refusals = self.rng.below(RETRIED_REFUSALS_BOUND) as u32;
        let cancels_left = if is_cancelled {
            1 + self.rng.below(2) as u32
        } else {
            0
        };
        let job = Job {
            spec: spec.clone(),
            stage: Stage::Submitting,
            next_call_ms: now,
            open_call: None,
            refusals: 0,
            max_refusals,
            cancel_at_ms,
            give_up_at_ms: self.give_up_time(now),
            cancels_left,
            is_accepted: false,
            offered_ms: now,
        };
        self.jobs.insert(spec.id.clone(), job);
        vec![Output::Event(Event::Offered { spec })]
    }

    /// When the client of a new job loses patience; none if it never does.
    fn give_up_time(&mut self, now: u64) -> Option<u64> {
        // No random number is drawn in days without such clients: it would change all later ones.
        let gives_up = self.giving_up_share > 0.0 && self.rng.unit() < self.giving_up_share;
        gives_up.then_some(now + PATIENCE_MS)
    }

    /// Offers new jobs and makes the calls that are due.
    pub fn tick(&mut self, now: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        while self.is_offering && self.mix.jobs_per_second > 0.0 && now >= self.next_job_ms {
            outputs.extend(self.offer_random_job(now));
        }
        self.poll_ended_job(now);
        for job in self.jobs.values_mut() {
            if let Some(abandoned) = job.give_up_if_due(now) {
                self.calls.remove(&abandoned.call);
            }
        }
        let is_due = |job: &Job| now >= job.next_call_ms || job.open_call.is_some();
        let due_jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.stage != Stage::Ended && is_due(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due_jobs {
            outputs.extend(self.next_call(now, &id));
        }
        outputs
    }

    fn offer_random_job(&mut self, now: u64) -> Vec<Output> {
        // Exponentially distributed pauses, as with independent callers.
        let pause_ms = -(1.0 - self.rng.unit()).ln() * 1000.0 / self.mix.jobs_per_second;
        self.next_job_ms += pause_ms as u64;
        self.jobs_offered += 1;
        let id = format!("{}-{}", self.prefix, self.jobs_offered);
        let spec = random_job(&mut self.rng, &self.mix, &id, self.epoch_ms + now);
        self.offer(now, spec)
    }

    /// Polls a random ended job at intervals: the system must still know it.
    fn poll_ended_job(&mut self, now: u64) {
        if now < self.next_ended_poll_ms || self.ended.is_empty() || !self.is_offering {
            return;
        }
        self.next_ended_poll_ms = now + ENDED_POLL_EVERY_MS;
        let chosen = self.rng.below(self.ended.len() as u64) as usize;
        let id = self.ended.swap_remove(chosen);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.poll_again(now);
        }
    }

    /// Polls every ended job once more, at the end of a day.
    pub fn poll_all(&mut self, now: u64) {
        for id in std::mem::take(&mut self.ended) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.poll_again(now);
            }
        }
    }

    /// Makes the next call for a job, unless an earlier call is unanswered and has not timed out.
    fn next_call(&mut self, now: u64, id: &str) -> Vec<Output> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        if let Some(open) = job.open_call {
            if !open.has_timed_out(now) {
                return Vec::new();
            }
            self.calls.remove(&open.call);
            job.open_call = None;
        }
        let nodes = if self.ready_nodes.is_empty() {
            &self.nodes
        } else {
            &self.ready_nodes
        };
        let Some(to) = self.rng.pick(nodes).cloned() else {
            return Vec::new();
        };
        self.last_call += 1;
        let call = self.last_call;
        let purpose = job.next_purpose(now);
        job.open_call = Some(OpenCall {
            call,
            sent_ms: now,
            purpose,
        });
        let (event, request) = call_for(purpose, &job.spec);
        self.calls.insert(call, id.to_string());
        vec![Output::Event(event), Output::Call { to, call, request }]
    }

    /// Handles the response to a call.
    pub fn answer(&mut self, now: u64, call: u64, response: &Response) -> Vec<Output> {
        let Some(id) = self.calls.remove(&call) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        let Some(open) = job.open_call.take() else {
            return Vec::new();
        };
        let pause_ms = if response.retry_ms > 0 {
            response.retry_ms
        } else {
            DEFAULT_RETRY_MS
        };
        job.next_call_ms = now + pause_ms;
        match open.purpose {
            Purpose::Submit => self.submit_answered(&id, response),
            Purpose::Cancel => self.cancel_answered(now, &id, response),
            Purpose::GiveUp => self.give_up_answered(&id, response),
            Purpose::Poll => self.poll_answered(now, &id, response),
        }
    }

    fn submit_answered(&mut self, id: &str, response: &Response) -> Vec<Output> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let code = response.body["error"].as_str().unwrap_or("").to_string();
        // The outcome is unknown: the job may have been accepted.
        let is_uncertain = matches!(code.as_str(), "unsure" | "noCore");
        let answered = Output::Event(Event::SubmitAnswered {
            id: id.to_string(),
            status: response.status,
            code,
        });
        match response.status {
            200 | 202 => {
                job.stage = Stage::Polling;
                let was_accepted = std::mem::replace(&mut job.is_accepted, true);
                self.observations.accepted += u64::from(!was_accepted);
            }
            503 if is_uncertain => {}
            429 | 503 if job.refusals < job.max_refusals => job.refusals += 1,
            _ => {
                job.stage = Stage::Ended;
                self.observations.given_up += 1;
                let id = id.to_string();
                return vec![answered, Output::Event(Event::GaveUp { id })];
            }
        }
        vec![answered]
    }

    fn cancel_answered(&mut self, now: u64, id: &str, response: &Response) -> Vec<Output> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        if response.status != 200 {
            // The system may not know the job yet; go on submitting it first.
            job.cancel_at_ms = Some(now + CANCEL_RETRY_MS);
            return Vec::new();
        }
        job.cancels_left -= 1;
        job.stage = Stage::Polling;
        let id = id.to_string();
        vec![Output::Event(Event::CancelAcknowledged { id })]
    }

    /// A cancel that found the job, or found that there is none, is the last call for a job that was given up.
    fn give_up_answered(&mut self, id: &str, response: &Response) -> Vec<Output> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let id = id.to_string();
        let event = match response.status {
            200 => Event::CancelAcknowledged { id },
            404 => Event::CancelFoundNoJob { id },
            _ => return Vec::new(),
        };
        job.stage = Stage::Ended;
        self.observations.given_up += 1;
        vec![Output::Event(event)]
    }

    fn poll_answered(&mut self, now: u64, id: &str, response: &Response) -> Vec<Output> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let body = &response.body;
        let state = body["state"].as_str().unwrap_or("").to_string();
        job.next_call_ms = job.next_call_ms.min(now + MAX_POLL_PAUSE_MS);
        if ["done", "failed", "cancelled"].contains(&state.as_str()) {
            job.stage = Stage::Ended;
            job.cancels_left = 0;
            self.ended.push(id.to_string());
            if state == "done" {
                let ended_ms = body["ended"].as_u64().unwrap_or(0);
                let offered_ms = self.epoch_ms + job.offered_ms;
                self.job_done(id, ended_ms.saturating_sub(offered_ms));
            }
        }
        vec![Output::Event(Event::StateAnswered {
            id: id.to_string(),
            status: response.status,
            state,
            unsure: body["unsure"] == json!(true),
            stale: body["stale"] == json!(true),
        })]
    }

    /// Records a job's latency when its end is observed for the first time.
    fn job_done(&mut self, id: &str, latency_ms: u64) {
        let observations = &mut self.observations;
        if !observations.latency_of_job_ms.contains_key(id) {
            observations.latencies_ms.push(latency_ms);
            observations
                .latency_of_job_ms
                .insert(id.to_string(), latency_ms);
        }
    }

    /// The ids of accepted jobs whose end has not been observed.
    pub fn unfinished_accepted_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let unfinished = jobs.filter(|(_, job)| job.is_accepted && job.stage != Stage::Ended);
        unfinished.map(|(id, _)| id.clone()).collect()
    }

    /// The number of jobs, accepted or not, that have not ended as far as the client knows.
    pub fn unfinished_jobs(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.stage != Stage::Ended).count()
    }
}
