//! Checkers of where runs are placed: capacity, services and labels, leaving workers, evacuated zones.

use super::{specs, task};
use crate::checkers::{Broken, Promised};
use crate::history::{Event, History};
use std::collections::BTreeMap;

/// No worker holds more than its capacity.
pub fn cpu(h: &History, _: &Promised) -> Vec<Broken> {
    let mut resources: BTreeMap<&str, u32> = BTreeMap::new();
    let mut held: BTreeMap<&str, BTreeMap<u64, u32>> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, cpu, .. } => {
                resources.insert(worker, *cpu);
                held.remove(worker.as_str());
            }
            Event::WorkerChanged { worker, cpu, .. } => {
                resources.insert(worker, *cpu);
            }
            Event::WorkerDied { worker } => {
                held.remove(worker.as_str());
            }
            Event::Ended { worker, no, .. } => {
                held.get_mut(worker.as_str()).iter_mut().for_each(|w| {
                    w.remove(no);
                });
            }
            Event::Started {
                worker, no, cpu, ..
            } => {
                let w = held.entry(worker).or_default();
                w.insert(*no, *cpu);
                let sum: u32 = w.values().sum();
                if sum > resources.get(worker.as_str()).copied().unwrap_or(0) {
                    out.push(Broken::new(
                        "room",
                        a.t,
                        format!(
                            "{worker} holds {sum} of {:?}",
                            resources.get(worker.as_str())
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// Tasks run only on workers of their service that carry their labels.
pub fn fitting(h: &History, _: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut up: BTreeMap<&str, (&str, &Vec<String>)> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp {
                worker,
                service,
                labels,
                ..
            } => {
                up.insert(worker, (service, labels));
            }
            Event::WorkerChanged { worker, labels, .. } => {
                up.get_mut(worker.as_str())
                    .iter_mut()
                    .for_each(|w| w.1 = labels);
            }
            Event::Started {
                worker,
                job,
                task: name,
                ..
            } => {
                let fits = task(&s, job, name)
                    .zip(up.get(worker.as_str()))
                    .is_some_and(|(t, (service, labels))| {
                        t.service == *service && t.labels.iter().all(|l| labels.contains(l))
                    });
                if !fits {
                    out.push(Broken::new(
                        "fitting workers",
                        a.t,
                        format!("{job}/{name} started on {worker}, which does not fit"),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}

/// A worker that said it is leaving gets nothing new soon after.
pub fn leaving(h: &History, p: &Promised) -> Vec<Broken> {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, .. } => {
                left.remove(worker.as_str());
            }
            Event::WorkerLeaving { worker } => {
                left.insert(worker, a.t);
            }
            Event::Started { worker, .. }
                if left.get(worker.as_str()).is_some_and(|t| a.t > t + p.leave) =>
            {
                out.push(Broken::new(
                    "leaving workers",
                    a.t,
                    format!(
                        "{worker} got work {} ms after it said it leaves",
                        a.t - left[worker.as_str()]
                    ),
                ))
            }
            _ => {}
        }
    }
    out
}

/// An evacuated zone gets nothing new soon after.
pub fn evacuated_zones(h: &History, p: &Promised) -> Vec<Broken> {
    let mut zone_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut closed: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    let mut newest = 0;
    for a in &h.events {
        match &a.e {
            Event::WorkerUp { worker, zone, .. } => {
                zone_of.insert(worker, zone);
            }
            Event::Configured {
                status: 200,
                says,
                version,
                ..
            } if *version > newest => {
                newest = *version;
                for (z, state) in &says.zones {
                    if ["draining", "evacuated"].contains(&state.as_str()) {
                        closed.entry(z).or_insert(a.t);
                    } else {
                        closed.remove(z.as_str());
                    }
                }
            }
            // Opened again at the earliest when somebody asks for it.
            Event::ConfigAsked { says, .. } => {
                let open = says
                    .zones
                    .iter()
                    .filter(|(_, state)| !["draining", "evacuated"].contains(&state.as_str()));
                open.for_each(|(z, _)| {
                    closed.remove(z.as_str());
                });
            }
            Event::Started { worker, .. } => {
                let since = zone_of.get(worker.as_str()).and_then(|z| closed.get(z));
                if since.is_some_and(|t| a.t > t + p.empty) {
                    out.push(Broken::new(
                        "emptied zones",
                        a.t,
                        format!(
                            "{worker} got work {} ms after its zone was emptied",
                            a.t - since.unwrap_or(&0)
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}
