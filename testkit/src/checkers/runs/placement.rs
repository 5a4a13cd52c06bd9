//! Checkers of placement: capacity, services and labels, leaving workers, emptied zones.

use super::Specs;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{is_serving, Event, History, RuleSettings};
use std::collections::BTreeMap;

/// The runs on a worker never need more than its capacity.
pub fn capacity(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut capacity: BTreeMap<&str, u32> = BTreeMap::new();
    // The capacity that each worker's runs use, by attempt.
    let mut used: BTreeMap<&str, BTreeMap<u64, u32>> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp { worker, cpu, .. } => {
                capacity.insert(worker, *cpu);
                used.remove(worker.as_str());
            }
            Event::WorkerChanged { worker, cpu, .. } => {
                capacity.insert(worker, *cpu);
            }
            Event::WorkerDied { worker } => {
                used.remove(worker.as_str());
            }
            Event::RunEnded {
                worker, attempt, ..
            } => {
                if let Some(runs) = used.get_mut(worker.as_str()) {
                    runs.remove(attempt);
                }
            }
            Event::RunStarted {
                worker,
                attempt,
                cpu,
                ..
            } => {
                let runs = used.entry(worker).or_default();
                runs.insert(*attempt, *cpu);
                let sum: u32 = runs.values().sum();
                let most = capacity.get(worker.as_str()).copied();
                if sum > most.unwrap_or(0) {
                    violations.push(Violation::new(
                        "room",
                        timed.at_ms,
                        format!("the runs on {worker} use {sum}, its capacity is {most:?}"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// The service and labels of a worker.
struct WorkerProperties<'a> {
    service: &'a str,
    labels: &'a [String],
}

/// Tasks run only on workers of their service that have all their labels.
pub fn fitting(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let specs = Specs::new(history);
    let mut properties: BTreeMap<&str, WorkerProperties> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp {
                worker,
                service,
                labels,
                ..
            } => {
                properties.insert(worker, WorkerProperties { service, labels });
            }
            Event::WorkerChanged { worker, labels, .. } => {
                if let Some(worker_properties) = properties.get_mut(worker.as_str()) {
                    worker_properties.labels = labels;
                }
            }
            Event::RunStarted {
                worker, job, task, ..
            } => {
                let spec = specs.task(job, task);
                let worker_properties = properties.get(worker.as_str());
                let fits = spec
                    .zip(worker_properties)
                    .is_some_and(|(spec, worker_properties)| {
                        let has_label = |label| worker_properties.labels.contains(label);
                        spec.service == worker_properties.service
                            && spec.labels.iter().all(has_label)
                    });
                if !fits {
                    violations.push(Violation::new(
                        "fitting workers",
                        timed.at_ms,
                        format!(
                            "{job}/{task} started on {worker}, which lacks its service or a label"
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// No run starts on a worker later than `leave_ms` after it announced that it leaves.
pub fn leaving(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut leaving_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp { worker, .. } => {
                leaving_since.remove(worker.as_str());
            }
            Event::WorkerLeaving { worker } => {
                leaving_since.insert(worker, timed.at_ms);
            }
            Event::RunStarted { worker, .. } => {
                let Some(since) = leaving_since.get(worker.as_str()) else {
                    continue;
                };
                let late_ms = timed.at_ms - since;
                if late_ms > bounds.leave_ms {
                    violations.push(Violation::new(
                        "leaving workers",
                        timed.at_ms,
                        format!("{worker} got work {late_ms} ms after it announced that it leaves"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// The zones that are drained or evacuated.
#[derive(Default)]
struct EmptiedZones<'a> {
    /// When the change of each of them was acknowledged, in milliseconds.
    since: BTreeMap<&'a str, u64>,
    /// The newest version of the configuration that was acknowledged.
    newest_version: u64,
}

impl<'a> EmptiedZones<'a> {
    fn acknowledged(&mut self, settings: &'a RuleSettings, version: u64, at_ms: u64) {
        if version <= self.newest_version {
            return;
        }
        self.newest_version = version;
        for (zone, state) in &settings.zones {
            if is_serving(state) {
                self.since.remove(zone.as_str());
            } else {
                self.since.entry(zone).or_insert(at_ms);
            }
        }
    }

    /// A zone may get work again from the moment a change to serving is requested.
    fn requested(&mut self, settings: &RuleSettings) {
        for (zone, state) in &settings.zones {
            if is_serving(state) {
                self.since.remove(zone.as_str());
            }
        }
    }
}

/// No run starts in a zone later than `empty_zone_ms` after it was drained or evacuated.
pub fn emptied_zones(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut zone_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut emptied = EmptiedZones::default();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp { worker, zone, .. } => {
                zone_of.insert(worker, zone);
            }
            Event::ConfigAnswered {
                status: 200,
                settings,
                version,
                ..
            } => emptied.acknowledged(settings, *version, timed.at_ms),
            Event::ConfigRequested { settings, .. } => emptied.requested(settings),
            Event::RunStarted { worker, .. } => {
                let zone = zone_of.get(worker.as_str());
                let Some(since) = zone.and_then(|zone| emptied.since.get(zone)) else {
                    continue;
                };
                let late_ms = timed.at_ms - since;
                if late_ms > bounds.empty_zone_ms {
                    violations.push(Violation::new(
                        "emptied zones",
                        timed.at_ms,
                        format!("{worker} got work {late_ms} ms after its zone was emptied"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
