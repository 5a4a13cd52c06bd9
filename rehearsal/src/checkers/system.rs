use super::{Broken, Promised};
use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// Of two changes on one version only one is accepted.
pub fn rivals(h: &History, _: &Promised) -> Vec<Broken> {
    let mut on: BTreeMap<u64, &str> = BTreeMap::new();
    let mut versions: BTreeMap<u64, &str> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        if let Event::Configured {
            change, base, status: 200, version, ..
        } = &a.e
        {
            let twice = on.insert(*base, change).is_some_and(|c| c != change) || versions.insert(*version, change).is_some_and(|c| c != change);
            if twice {
                out.push(Broken {
                    rule: "one of two rivals",
                    t: a.t,
                    what: format!("{change} was accepted on version {base}, and another was too"),
                });
            }
        }
    }
    out
}

/// An accepted change takes hold soon, never slides back, and is what is read at the end of the day.
pub fn configuration(h: &History, p: &Promised) -> Vec<Broken> {
    let mut out = Vec::new();
    let mut acked: Vec<(u64, u64)> = Vec::new();
    let mut on_node: BTreeMap<&str, u64> = BTreeMap::new();
    let mut down: BTreeSet<&str> = BTreeSet::new();
    for a in &h.events {
        match &a.e {
            Event::Configured { status: 200, version, .. } => acked.push((a.t, *version)),
            Event::ConfigRead { version, asked } => {
                let least = acked.iter().filter(|(t, _)| t < asked).map(|(_, v)| *v).max().unwrap_or(0);
                if *version < least {
                    out.push(Broken {
                        rule: "configuration holds",
                        t: a.t,
                        what: format!("version {version} was read after {least} was accepted"),
                    });
                }
            }
            Event::NodeDown { node } => {
                down.insert(node);
                on_node.remove(node.as_str());
            }
            Event::NodeVersion { node, version } => {
                down.remove(node.as_str());
                if on_node.insert(node, *version).is_some_and(|before| before > *version) {
                    out.push(Broken {
                        rule: "configuration holds",
                        t: a.t,
                        what: format!("{node} slid back to version {version}"),
                    });
                }
                let due = acked.iter().filter(|(t, _)| t + p.desired < a.t).map(|(_, v)| *v).max().unwrap_or(0);
                if *version < due {
                    out.push(Broken {
                        rule: "configuration holds",
                        t: a.t,
                        what: format!("{node} says it is ready with version {version}, {due} was accepted long before"),
                    });
                }
            }
            Event::Closed { version, .. } => {
                let newest = acked.iter().map(|(_, v)| *v).max().unwrap_or(0);
                if *version < newest {
                    out.push(Broken {
                        rule: "configuration holds",
                        t: a.t,
                        what: format!("version {version} at the end of the day, {newest} was accepted"),
                    });
                }
            }
            _ => {}
        }
    }
    out
}

/// Normal service returns soon after a total outage: jobs are accepted and started again.
pub fn outage(h: &History, p: &Promised) -> Vec<Broken> {
    let end = h.events.last().map_or(0, |a| a.t);
    let over: Vec<u64> = h.events.iter().filter(|a| a.e == Event::OutageOver).map(|a| a.t).collect();
    let mut out = Vec::new();
    for t in over.into_iter().filter(|t| t + p.outage <= end) {
        let within = |f: &dyn Fn(&Event) -> bool| h.events.iter().any(|a| a.t >= t && a.t <= t + p.outage && f(&a.e));
        let offered = within(&|e| matches!(e, Event::Offered { .. }));
        let served = within(&|e| matches!(e, Event::Submitted { status: 200 | 202, .. })) && within(&|e| matches!(e, Event::Started { .. }));
        if offered && !served {
            out.push(Broken {
                rule: "back after an outage",
                t,
                what: format!("no job was accepted and started within {} ms", p.outage),
            });
        }
    }
    out
}

/// Figures of a day.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Summary {
    pub offered: usize,
    pub accepted: usize,
    pub given_up: usize,
    pub done: usize,
    pub failed: usize,
    pub cancelled: usize,
    pub unsure: usize,
    pub starts: usize,
    pub copies: usize,
    /// The longest that each bound took, where it was seen: cancel, leaving, emptied zone, outage.
    pub latest_start_after_cancel_ms: u64,
    pub latest_start_after_leaving_ms: u64,
    pub longest_outage_ms: u64,
    pub latest_start_after_emptying_ms: u64,
    /// The latest moment after a change was accepted at which a ready node had not got it.
    pub latest_old_version_ms: u64,
    /// The longest that an accepted job's state could not be told, by its client's polls.
    pub longest_unknown_state_ms: u64,
}

/// Sums a history up.
pub fn summary(h: &History) -> Summary {
    let mut s = Summary::default();
    let (mut accepted, mut cancel, mut leave, mut out_since) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), None);
    let (mut zone_of, mut emptied, mut versions, mut unknown) = (BTreeMap::new(), BTreeMap::new(), Vec::new(), BTreeMap::new());
    for a in &h.events {
        match &a.e {
            Event::Offered { .. } => s.offered += 1,
            Event::Submitted { id, status: 200 | 202 } => {
                accepted.entry(id).or_insert(a.t);
            }
            Event::GaveUp { .. } => s.given_up += 1,
            Event::CancelAcked { id } => {
                cancel.entry(id).or_insert(a.t);
            }
            Event::WorkerUp { worker, zone, .. } => {
                leave.remove(worker);
                zone_of.insert(worker, zone);
            }
            Event::Polled { id, status: 404 | 503, .. } => {
                unknown.entry(id).or_insert(a.t);
            }
            Event::Polled { id, .. } => s.longest_unknown_state_ms = s.longest_unknown_state_ms.max(unknown.remove(id).map_or(0, |t| a.t - t)),
            Event::Configured { status: 200, version, zones, .. } => {
                versions.push((a.t, *version));
                for (z, state) in zones {
                    if state == "serving" || state.is_empty() {
                        emptied.remove(z);
                    } else {
                        emptied.entry(z).or_insert(a.t);
                    }
                }
            }
            Event::NodeVersion { version, .. } => {
                let late = versions.iter().filter(|(_, v)| v > version).map(|(t, _)| a.t - t).max().unwrap_or(0);
                s.latest_old_version_ms = s.latest_old_version_ms.max(late);
            }
            Event::WorkerLeaving { worker } => {
                leave.insert(worker, a.t);
            }
            Event::OutageOver => out_since = Some(a.t),
            Event::Started { worker, job, copy, .. } => {
                s.starts += 1;
                s.copies += usize::from(*copy);
                s.latest_start_after_cancel_ms = s.latest_start_after_cancel_ms.max(cancel.get(job).map_or(0, |t| a.t - t));
                s.latest_start_after_leaving_ms = s.latest_start_after_leaving_ms.max(leave.get(worker).map_or(0, |t| a.t - t));
                s.latest_start_after_emptying_ms = s.latest_start_after_emptying_ms.max(zone_of.get(worker).and_then(|z| emptied.get(z)).map_or(0, |t| a.t - t));
                s.longest_outage_ms = s.longest_outage_ms.max(out_since.take().map_or(0, |t| a.t - t));
            }
            Event::Closed { jobs, .. } => {
                let state = |of: &str| jobs.values().filter(|(s, _)| s == of).count();
                (s.done, s.failed, s.cancelled) = (state("done"), state("failed"), state("cancelled"));
                s.unsure = jobs.values().filter(|(_, u)| *u).count();
            }
            _ => {}
        }
    }
    s.accepted = accepted.len();
    s
}
