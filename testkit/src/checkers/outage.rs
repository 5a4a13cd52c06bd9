//! The checker of normal service after a total outage.

use super::{PromisedBounds, Violation};
use crate::history::{is_serving, Event, History, TimedEvent, RECOVERY_JOB_PREFIX};
use std::collections::{BTreeMap, BTreeSet};

/// After a total outage, service returns within `outage_ms`: every available node is ready, every queue with a recovery
/// job accepts and finishes jobs, and, if there are recovery jobs, every zone gets work that has running workers and is
/// not emptied. Skips outages after which a fault begins or the history ends within the bound.
pub fn service_returns(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let outage_ends = history
        .events
        .iter()
        .filter(|timed| timed.event == Event::OutageEnded)
        .map(|timed| timed.at_ms);
    let mut violations = Vec::new();
    for from in outage_ends {
        let until = from + bounds.outage_ms;
        // A fault that begins in between may delay the recovery beyond the bound.
        if until > history.end_ms() || fault_began_between(history, from, until) {
            continue;
        }
        for missing in missing_service(history, from, until) {
            violations.push(Violation::new(
                "back after an outage",
                from,
                format!("{missing} within {} ms", bounds.outage_ms),
            ));
        }
    }
    violations
}

fn fault_began_between(history: &History, from: u64, until: u64) -> bool {
    history.events.iter().any(|timed| {
        let is_between = timed.at_ms > from && timed.at_ms < until;
        is_between && matches!(timed.event, Event::FaultBegan { .. })
    })
}

/// The queues, zones, workers and nodes of the deployment at one time.
#[derive(Default)]
struct Deployment<'a> {
    queue_of_job: BTreeMap<&'a str, &'a str>,
    zone_of_worker: BTreeMap<&'a str, &'a str>,
    running_workers: BTreeSet<&'a str>,
    available_nodes: &'a [String],
    emptied_zones: BTreeSet<&'a str>,
    /// The zones that were evacuated by an order.
    ordered_empty: BTreeSet<&'a str>,
}

impl<'a> Deployment<'a> {
    fn at(history: &'a History, at_ms: u64) -> Self {
        let mut deployment = Self::default();
        for timed in &history.events {
            if timed.at_ms <= at_ms {
                deployment.observe(&timed.event);
            }
        }
        deployment
    }

    fn observe(&mut self, event: &'a Event) {
        match event {
            Event::Offered { spec } => {
                self.queue_of_job.insert(&spec.id, &spec.queue);
            }
            Event::WorkerUp { worker, zone, .. } => {
                self.zone_of_worker.insert(worker, zone);
                self.running_workers.insert(worker);
            }
            Event::WorkerLeaving { worker } | Event::WorkerDied { worker } => {
                self.running_workers.remove(worker.as_str());
            }
            Event::Availability { nodes, .. } => self.available_nodes = nodes,
            Event::ConfigRequested { settings, .. } => {
                for (zone, state) in &settings.zones {
                    if is_serving(state) {
                        self.emptied_zones.remove(zone.as_str());
                    } else {
                        self.emptied_zones.insert(zone);
                    }
                }
            }
            Event::ZoneOrderRequested { zone, evacuate } => {
                if *evacuate {
                    self.ordered_empty.insert(zone);
                } else {
                    self.ordered_empty.remove(zone.as_str());
                }
            }
            _ => {}
        }
    }

    /// The zones that have running workers and are neither drained nor evacuated.
    fn served_zones(&self) -> BTreeSet<&'a str> {
        self.running_workers
            .iter()
            .filter_map(|worker| self.zone_of_worker.get(worker).copied())
            .filter(|zone| !self.emptied_zones.contains(zone) && !self.ordered_empty.contains(zone))
            .collect()
    }
}

/// The queues, zones and nodes that were observed to work.
#[derive(Default)]
struct Service<'a> {
    accepting_queues: BTreeSet<&'a str>,
    finishing_queues: BTreeSet<&'a str>,
    working_zones: BTreeSet<&'a str>,
    ready_nodes: BTreeSet<&'a str>,
}

impl<'a> Service<'a> {
    /// Records the service that an event proves. Only the ends of recovery jobs show that a queue finishes jobs: other
    /// jobs may take longer than the bound.
    fn observe(
        &mut self,
        event: &'a Event,
        deployment: &Deployment<'a>,
        recovery_jobs: &BTreeSet<&str>,
    ) {
        let queue_of = |id: &str| deployment.queue_of_job.get(id).copied();
        match event {
            Event::SubmitAnswered {
                id,
                status: 200 | 202,
                ..
            } => self.accepting_queues.extend(queue_of(id)),
            Event::StateAnswered {
                id,
                status: 200,
                state,
                ..
            } => {
                let is_finished = ["done", "failed"].contains(&state.as_str());
                if is_finished && recovery_jobs.contains(id.as_str()) {
                    self.finishing_queues.extend(queue_of(id));
                }
            }
            Event::RunStarted { worker, .. } => {
                let zone = deployment.zone_of_worker.get(worker.as_str());
                self.working_zones.extend(zone);
            }
            Event::NodeVersion {
                node, ready: true, ..
            } => {
                self.ready_nodes.insert(node);
            }
            _ => {}
        }
    }
}

/// The ids of the recovery jobs, which are offered to test whether every queue is served.
fn recovery_job_ids<'a>(events: &[&'a TimedEvent]) -> BTreeSet<&'a str> {
    let offered = events.iter().filter_map(|timed| match &timed.event {
        Event::Offered { spec } => Some(spec.id.as_str()),
        _ => None,
    });
    offered
        .filter(|id| id.starts_with(RECOVERY_JOB_PREFIX))
        .collect()
}

/// A phrase for each queue, zone or node that did not work within an interval.
fn missing_service(history: &History, from: u64, until: u64) -> Vec<String> {
    let events: Vec<&TimedEvent> = history
        .events
        .iter()
        .filter(|timed| timed.at_ms >= from && timed.at_ms <= until)
        .collect();
    let deployment = Deployment::at(history, until);
    let recovery_jobs = recovery_job_ids(&events);
    let queues: BTreeSet<&str> = recovery_jobs
        .iter()
        .filter_map(|id| deployment.queue_of_job.get(id).copied())
        .collect();
    let mut service = Service::default();
    for timed in &events {
        service.observe(&timed.event, &deployment, &recovery_jobs);
    }
    let mut missing = Vec::new();
    for queue in queues.difference(&service.accepting_queues) {
        missing.push(format!("queue {queue} accepted no job"));
    }
    for queue in queues.difference(&service.finishing_queues) {
        missing.push(format!("queue {queue} finished no recovery job"));
    }
    if !queues.is_empty() {
        for zone in deployment.served_zones().difference(&service.working_zones) {
            missing.push(format!("zone {zone} got no work"));
        }
    }
    for node in deployment.available_nodes {
        if !service.ready_nodes.contains(node.as_str()) {
            missing.push(format!("node {node} was not ready"));
        }
    }
    missing
}
