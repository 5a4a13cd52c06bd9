//! Summary figures of a day.

use super::jobs::unanswered_intervals;
use super::runs::times_without_partner;
use super::PromisedBounds;
use crate::history::{is_serving, CheckedSettings, Event, FinalState, History};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of jobs and runs in a day, and the largest observed value for each promised bound.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Summary {
    /// Jobs that clients created and were about to submit.
    pub offered: usize,
    /// Jobs with at least one accepted submission.
    pub accepted: usize,
    /// Jobs that clients stopped submitting after refusals.
    pub given_up: usize,
    /// Jobs in the state `done` at the end of the day.
    pub done: usize,
    /// Jobs in the state `failed` at the end of the day.
    pub failed: usize,
    /// Jobs in the state `cancelled` at the end of the day.
    pub cancelled: usize,
    /// Jobs with a task whose outcome is unknown at the end of the day.
    pub unsure: usize,
    /// Runs that started, copies included.
    pub starts: usize,
    /// Speculative copies that started.
    pub copies: usize,
    /// The longest time from the acknowledgement of a job's cancel to the start of one of its runs.
    pub latest_start_after_cancel_ms: u64,
    /// The longest time from a worker's announcement that it is leaving to the start of a run on it.
    pub latest_start_after_leaving_ms: u64,
    /// The longest time from the end of a total outage to the first start of a run.
    pub longest_outage_ms: u64,
    /// The longest time from the draining or evacuation of a zone to the start of a run in it.
    pub latest_start_after_emptying_ms: u64,
    /// The longest time after the acceptance of a change at which a ready node still had an older version.
    pub latest_old_version_ms: u64,
    /// The longest time that a client polled an accepted job without getting its state, less the excused intervals.
    pub longest_unknown_state_ms: u64,
    /// The longest time that a gang member ran without a partner while no fault affected the gang.
    pub longest_alone_ms: u64,
    /// The longest time that a gang member ran without a partner while a fault affected the gang.
    pub longest_alone_struck_ms: u64,
}

/// Computes the summary of a history.
pub fn summary(history: &History, bounds: &PromisedBounds) -> Summary {
    let mut summarizer = Summarizer::default();
    for timed in &history.events {
        summarizer.observe(&timed.event, timed.at_ms);
    }
    let mut summary = summarizer.summary;
    summary.accepted = summarizer.accepted.len();
    let unanswered = unanswered_intervals(history, bounds).into_iter();
    let unanswered_ms = unanswered.map(|interval| interval.duration_ms);
    summary.longest_unknown_state_ms = unanswered_ms.max().unwrap_or(0);
    for time in times_without_partner(history, bounds) {
        let longest = if time.in_fault {
            &mut summary.longest_alone_struck_ms
        } else {
            &mut summary.longest_alone_ms
        };
        *longest = time.duration_ms.max(*longest);
    }
    summary
}

/// An accepted version of the configuration.
struct AcceptedVersion {
    at_ms: u64,
    version: u64,
}

/// A run that has started.
struct Start<'a> {
    worker: &'a str,
    job: &'a str,
    is_copy: bool,
}

/// The summary so far, and the earlier events that later figures depend on.
#[derive(Default)]
struct Summarizer<'a> {
    summary: Summary,
    accepted: BTreeSet<&'a str>,
    cancelled_ms: BTreeMap<&'a str, u64>,
    leaving_since: BTreeMap<&'a str, u64>,
    outage_ended_ms: Option<u64>,
    zone_of_worker: BTreeMap<&'a str, &'a str>,
    emptied_since: BTreeMap<&'a str, u64>,
    ordered_empty_since: BTreeMap<&'a str, u64>,
    versions: Vec<AcceptedVersion>,
}

impl<'a> Summarizer<'a> {
    fn observe(&mut self, event: &'a Event, now: u64) {
        match event {
            Event::Offered { .. } => self.summary.offered += 1,
            Event::SubmitAnswered {
                id,
                status: 200 | 202,
                ..
            } => {
                self.accepted.insert(id);
            }
            Event::GaveUp { .. } => self.summary.given_up += 1,
            Event::CancelAcknowledged { id } | Event::CancelFoundNoJob { id } => {
                self.cancelled_ms.entry(id).or_insert(now);
            }
            Event::WorkerUp { worker, zone, .. } => {
                self.leaving_since.remove(worker.as_str());
                self.zone_of_worker.insert(worker, zone);
            }
            Event::WorkerLeaving { worker } => {
                self.leaving_since.insert(worker, now);
            }
            Event::ConfigRequested { settings, .. } => self.config_requested(settings),
            Event::ZoneOrderRequested {
                zone,
                evacuate: false,
            } => {
                self.ordered_empty_since.remove(zone.as_str());
            }
            Event::ZoneOrderAcknowledged {
                zone,
                evacuate: true,
            } => {
                self.ordered_empty_since.entry(zone).or_insert(now);
            }
            Event::ConfigAnswered {
                status: 200,
                version,
                settings,
                ..
            } => self.config_accepted(*version, settings, now),
            Event::NodeVersion {
                version,
                ready: true,
                ..
            } => self.node_version(*version, now),
            Event::OutageEnded => self.outage_ended_ms = Some(now),
            Event::RunStarted {
                worker, job, copy, ..
            } => {
                let is_copy = *copy;
                let start = Start {
                    worker,
                    job,
                    is_copy,
                };
                self.run_started(&start, now);
            }
            Event::DayEnded { jobs, .. } => self.day_ended(jobs),
            _ => {}
        }
    }

    /// Forgets emptied zones for which a change to serving is requested: they may get work from then on.
    fn config_requested(&mut self, settings: &CheckedSettings) {
        for (zone, state) in &settings.zones {
            if is_serving(state) {
                self.emptied_since.remove(zone.as_str());
            }
        }
    }

    fn config_accepted(&mut self, version: u64, settings: &'a CheckedSettings, at_ms: u64) {
        self.versions.push(AcceptedVersion { at_ms, version });
        for (zone, state) in &settings.zones {
            if !is_serving(state) {
                self.emptied_since.entry(zone).or_insert(at_ms);
            }
        }
    }

    fn node_version(&mut self, version: u64, now: u64) {
        let newer = self
            .versions
            .iter()
            .filter(|accepted| accepted.version > version);
        let age_ms = newer
            .map(|accepted| now - accepted.at_ms)
            .max()
            .unwrap_or(0);
        let latest = &mut self.summary.latest_old_version_ms;
        *latest = age_ms.max(*latest);
    }

    /// When a zone was emptied by the configuration or by an order; none if it may get work.
    fn emptied_ms(&self, zone: &str) -> Option<u64> {
        let times = [
            self.emptied_since.get(zone),
            self.ordered_empty_since.get(zone),
        ];
        times.into_iter().flatten().min().copied()
    }

    fn run_started(&mut self, start: &Start, now: u64) {
        let elapsed_ms = |since: Option<u64>| since.map_or(0, |since| now - since);
        let cancelled_ms = self.cancelled_ms.get(start.job).copied();
        let leaving_since = self.leaving_since.get(start.worker).copied();
        let zone = self.zone_of_worker.get(start.worker);
        let emptied_since = zone.and_then(|zone| self.emptied_ms(zone));
        let outage_ended_ms = self.outage_ended_ms.take();

        let summary = &mut self.summary;
        summary.starts += 1;
        summary.copies += usize::from(start.is_copy);
        for (figure, since) in [
            (&mut summary.latest_start_after_cancel_ms, cancelled_ms),
            (&mut summary.latest_start_after_leaving_ms, leaving_since),
            (&mut summary.latest_start_after_emptying_ms, emptied_since),
            (&mut summary.longest_outage_ms, outage_ended_ms),
        ] {
            *figure = elapsed_ms(since).max(*figure);
        }
    }

    fn day_ended(&mut self, jobs: &BTreeMap<String, FinalState>) {
        let in_state = |state: &str| jobs.values().filter(|last| last.state == state).count();
        self.summary.done = in_state("done");
        self.summary.failed = in_state("failed");
        self.summary.cancelled = in_state("cancelled");
        self.summary.unsure = jobs.values().filter(|last| last.unsure).count();
    }
}
