//! Checkers of placement: the capacity, service and labels of workers, leaving workers and emptied zones.

use super::Specs;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{is_serving, CheckedSettings, Event, History};
use std::collections::BTreeMap;

/// The runs on a worker never use more than its capacity.
pub fn within_capacity(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut capacity: BTreeMap<&str, u32> = BTreeMap::new();
    // The capacity that each run on a worker uses, by worker and attempt.
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
                let max_cpu = capacity.get(worker.as_str()).copied().unwrap_or(0);
                if sum > max_cpu {
                    violations.push(Violation::new(
                        "room",
                        timed.at_ms,
                        format!("the runs on {worker} use {sum}, its capacity is {max_cpu}"),
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
pub fn only_fitting_workers(history: &History, _: &PromisedBounds) -> Vec<Violation> {
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

/// No run starts on a worker later than `leave_ms` after the worker announced that it is leaving.
pub fn no_start_on_leaving_workers(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
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
                let delay_ms = timed.at_ms - since;
                if delay_ms > bounds.leave_ms {
                    violations.push(Violation::new(
                        "leaving workers",
                        timed.at_ms,
                        format!(
                            "{worker} got work {delay_ms} ms after it announced that it is leaving"
                        ),
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
    /// The acknowledgement time of the change that emptied each zone, in milliseconds.
    since: BTreeMap<&'a str, u64>,
    /// The acknowledgement time of the order that emptied each zone, in milliseconds.
    since_order: BTreeMap<&'a str, u64>,
    /// The newest version of the configuration that was acknowledged.
    newest_version: u64,
}

impl<'a> EmptiedZones<'a> {
    fn observe(&mut self, event: &'a Event, at_ms: u64) {
        match event {
            Event::ConfigAnswered {
                status: 200,
                settings,
                version,
                ..
            } => self.on_acknowledged(settings, *version, at_ms),
            Event::ConfigRequested { settings, .. } => self.on_requested(settings),
            Event::ZoneOrderAcknowledged {
                zone,
                evacuate: true,
            } => {
                self.since_order.entry(zone).or_insert(at_ms);
            }
            Event::ZoneOrderRequested {
                zone,
                evacuate: false,
            } => {
                self.since_order.remove(zone.as_str());
            }
            _ => {}
        }
    }

    /// When a zone was emptied; none if it may get work.
    fn emptied_ms(&self, zone: &str) -> Option<u64> {
        let times = [self.since.get(zone), self.since_order.get(zone)];
        times.into_iter().flatten().min().copied()
    }

    fn on_acknowledged(&mut self, settings: &'a CheckedSettings, version: u64, at_ms: u64) {
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

    /// Forgets emptied zones for which a change to serving is requested: they may get work from then on.
    fn on_requested(&mut self, settings: &CheckedSettings) {
        for (zone, state) in &settings.zones {
            if is_serving(state) {
                self.since.remove(zone.as_str());
            }
        }
    }
}

/// No run starts in a zone later than `empty_zone_ms` after it was drained or evacuated.
pub fn no_start_in_emptied_zones(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut zone_of_worker: BTreeMap<&str, &str> = BTreeMap::new();
    let mut emptied = EmptiedZones::default();
    let mut violations = Vec::new();
    for timed in &history.events {
        match &timed.event {
            Event::WorkerUp { worker, zone, .. } => {
                zone_of_worker.insert(worker, zone);
            }
            Event::RunStarted { worker, .. } => {
                let zone = zone_of_worker.get(worker.as_str());
                let Some(since) = zone.and_then(|zone| emptied.emptied_ms(zone)) else {
                    continue;
                };
                let delay_ms = timed.at_ms - since;
                if delay_ms > bounds.empty_zone_ms {
                    violations.push(Violation::new(
                        "emptied zones",
                        timed.at_ms,
                        format!("{worker} got work {delay_ms} ms after its zone was emptied"),
                    ));
                }
            }
            event => emptied.observe(event, timed.at_ms),
        }
    }
    violations
}
