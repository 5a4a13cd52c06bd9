use super::conditions::Conditions;
use super::jobs::ended;
use super::runs::Limits;
use super::{Broken, Promised};
use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// Which change each version came from, and which changes were refused.
fn marks(h: &History) -> (BTreeMap<u64, &str>, BTreeSet<&str>) {
    let (mut of, mut lost) = (BTreeMap::new(), BTreeSet::new());
    for a in &h.events {
        match &a.e {
            Event::Configured {
                change,
                status: 200,
                version,
                ..
            } => {
                of.entry(*version).or_insert(change.as_str());
            }
            Event::Configured { change, .. } => {
                lost.insert(change.as_str());
            }
            _ => {}
        }
    }
    (of, lost)
}

/// Of two changes on one version only one is accepted, and nothing of the other is seen anywhere.
pub fn rivals(h: &History, _: &Promised) -> Vec<Broken> {
    let mut on: BTreeMap<u64, &str> = BTreeMap::new();
    let mut versions: BTreeMap<u64, &str> = BTreeMap::new();
    let (of, lost) = marks(h);
    let mut out = Vec::new();
    let mut outln = |t, what| out.push(Broken::new("one of two rivals", t, what));
    for a in &h.events {
        match &a.e {
            Event::Configured {
                change,
                base,
                status: 200,
                version,
                ..
            } => {
                let twice = on.insert(*base, change).is_some_and(|c| c != change)
                    || versions
                        .insert(*version, change)
                        .is_some_and(|c| c != change);
                if twice {
                    outln(
                        a.t,
                        format!("{change} was accepted on version {base}, and another was too"),
                    );
                }
            }
            Event::ConfigRead { version, by, .. }
            | Event::NodeVersion { version, by, .. }
            | Event::Closed { version, by, .. }
                if !by.is_empty() =>
            {
                if lost.contains(by.as_str()) {
                    outln(
                        a.t,
                        format!("{by} was refused, and its content is in version {version}"),
                    );
                } else if let Some(c) = of.get(version).filter(|c| **c != by) {
                    outln(
                        a.t,
                        format!("version {version} was made by {c} and has the content of {by}"),
                    );
                }
            }
            _ => {}
        }
    }
    out
}

/// An accepted change never slides back, and what is read is the newest that was accepted.
pub fn never_back(h: &History, _: &Promised) -> Vec<Broken> {
    let mut out = Vec::new();
    let mut acked: Vec<(u64, u64)> = Vec::new();
    let mut on_node: BTreeMap<&str, u64> = BTreeMap::new();
    let mut outln = |t, what| out.push(Broken::new("configuration never slides back", t, what));
    for a in &h.events {
        match &a.e {
            Event::Configured {
                status: 200,
                version,
                ..
            } => acked.push((a.t, *version)),
            Event::ConfigRead { version, asked, .. } => {
                let least = acked
                    .iter()
                    .filter(|(t, _)| t < asked)
                    .map(|(_, v)| *v)
                    .max()
                    .unwrap_or(0);
                if *version < least {
                    outln(
                        a.t,
                        format!("version {version} was read after {least} was accepted"),
                    );
                }
            }
            Event::NodeDown { node } => {
                on_node.remove(node.as_str());
            }
            Event::NodeVersion {
                node,
                version,
                ready: true,
                ..
            } => {
                let before = on_node
                    .insert(node, *version)
                    .filter(|before| before > version);
                before
                    .into_iter()
                    .for_each(|_| outln(a.t, format!("{node} slid back to version {version}")));
            }
            Event::Closed { version, .. } => {
                let newest = acked.iter().map(|(_, v)| *v).max().unwrap_or(0);
                if *version < newest {
                    outln(
                        a.t,
                        format!("version {version} at the end of the day, {newest} was accepted"),
                    );
                }
            }
            _ => {}
        }
    }
    out
}

/// An accepted change is in force soon on every node: on those that say they are ready, and on all that could be.
pub fn takes_effect(h: &History, p: &Promised) -> Vec<Broken> {
    let c = Conditions::of(h, p.recover, p.outage);
    let mut acked: Vec<(u64, u64)> = Vec::new();
    let mut unready: BTreeMap<&str, u64> = BTreeMap::new();
    let mut out = Vec::new();
    let mut outln = |t, what| out.push(Broken::new("configuration takes hold", t, what));
    for a in &h.events {
        match &a.e {
            Event::Configured {
                status: 200,
                version,
                ..
            } => acked.push((a.t, *version)),
            Event::NodeDown { node } => {
                unready.remove(node.as_str());
            }
            Event::NodeVersion {
                node,
                version,
                ready,
                ..
            } => {
                let due = acked
                    .iter()
                    .filter(|(t, _)| t + p.config < a.t)
                    .map(|(_, v)| *v)
                    .max()
                    .unwrap_or(0);
                if *ready && *version < due {
                    outln(a.t, format!("{node} says it is ready with version {version}, {due} was accepted long before"));
                }
                // Nobody escapes by not being ready: a node that is up and connected has no excuse for long.
                if *ready {
                    unready.remove(node.as_str());
                } else {
                    let since = *unready.entry(node).or_insert(a.t);
                    if a.t > since + p.ready && c.node_able(node, since, a.t) {
                        outln(
                            a.t,
                            format!(
                                "{node} was up and connected and not ready for {} ms",
                                a.t - since
                            ),
                        );
                        unready.insert(node, a.t);
                    }
                }
            }
            _ => {}
        }
    }
    out.extend(quotas(h, p));
    out
}

/// The effect of a quota: nothing is accepted while so many jobs of the queue are surely unfinished.
fn quotas(h: &History, p: &Promised) -> Vec<Broken> {
    let mut limits = Limits::default();
    let mut queue_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut unfinished_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut handed: BTreeMap<&str, u64> = BTreeMap::new();
    let mut taken: Vec<(&str, u64, u64, Option<u32>)> = Vec::new();
    for a in &h.events {
        limits.take(a, |s| &s.quotas);
        match &a.e {
            Event::Offered { spec } => {
                queue_of.insert(&spec.id, &spec.queue);
            }
            Event::Handed { id } => {
                handed.insert(id, a.t);
            }
            Event::Submitted { id, status, .. } if [200, 202].contains(status) => {
                accepted.entry(id).or_insert(a.t);
                let (q, from) = (queue_of.get(id.as_str()), handed.get(id.as_str()));
                if let Some((q, from)) = q.zip(from).filter(|_| *status == 202) {
                    taken.push((id, *from, a.t, limits.most(q, (*from, a.t), p.config)));
                }
            }
            Event::Polled {
                id,
                status: 200,
                state,
                ..
            } if !ended(state) => {
                unfinished_at.insert(id, a.t);
            }
            _ => {}
        }
    }
    let mut out = Vec::new();
    for (id, from, to, most) in taken {
        let Some(most) = most.filter(|m| (*m as usize) < accepted.len()) else {
            continue;
        };
        let same = accepted.iter().filter(|(o, t)| {
            **o != id
                && **t <= from
                && queue_of.get(*o) == queue_of.get(id)
                && unfinished_at.get(*o).is_some_and(|u| *u >= to)
        });
        let held = same.count();
        if held >= most as usize {
            out.push(Broken::new(
                "configuration takes hold",
                to,
                format!("job {id} was accepted beside {held} unfinished ones, the quota is {most}"),
            ));
        }
    }
    out
}

/// Normal service returns soon after a total outage: every node ready, every queue and zone at work.
pub fn outage(h: &History, p: &Promised) -> Vec<Broken> {
    let end = h.events.last().map_or(0, |a| a.t);
    let over: Vec<u64> = h
        .events
        .iter()
        .filter(|a| a.e == Event::OutageOver)
        .map(|a| a.t)
        .collect();
    let mut out = Vec::new();
    for t in over.into_iter().filter(|t| t + p.outage <= end) {
        // Another fault meanwhile has its own rules.
        let until = t + p.outage;
        let others = h
            .events
            .iter()
            .any(|a| a.t > t && a.t < until && matches!(&a.e, Event::Fault { .. }));
        let missing = if others {
            Vec::new()
        } else {
            missing_service(h, t, until)
        };
        out.extend(missing.into_iter().map(|what| {
            Broken::new(
                "back after an outage",
                t,
                format!("{what} within {} ms", p.outage),
            )
        }));
    }
    out
}

fn missing_service(h: &History, from: u64, to: u64) -> Vec<String> {
    let within = || {
        h.events
            .iter()
            .filter(move |a| a.t >= from && a.t <= to)
            .map(|a| &a.e)
    };
    let mut queue_of: BTreeMap<&str, &str> = BTreeMap::new();
    let (mut zone_of, mut up, mut nodes, mut closed): (
        BTreeMap<&str, &str>,
        BTreeSet<&str>,
        Vec<String>,
        BTreeSet<&str>,
    ) = Default::default();
    for e in h.events.iter().filter(|a| a.t <= to).map(|a| &a.e) {
        match e {
            Event::Offered { spec } => {
                queue_of.insert(&spec.id, &spec.queue);
            }
            Event::WorkerUp { worker, zone, .. } => {
                zone_of.insert(worker, zone);
                up.insert(worker);
            }
            Event::WorkerLeaving { worker } | Event::WorkerDied { worker } => {
                up.remove(worker.as_str());
            }
            Event::Able { nodes: n, .. } => nodes = n.clone(),
            Event::ConfigAsked { says, .. } => says.zones.iter().for_each(|(z, s)| {
                if ["draining", "evacuated"].contains(&s.as_str()) {
                    closed.insert(z);
                } else {
                    closed.remove(z.as_str());
                }
            }),
            _ => {}
        }
    }
    // Jobs handed in for the purpose; what else is offered may be too long to end in time.
    let offered: BTreeSet<&str> = within()
        .filter_map(|e| {
            if let Event::Offered { spec } = e {
                Some(spec.id.as_str())
            } else {
                None
            }
        })
        .filter(|id| id.starts_with("muster-"))
        .collect();
    let queues: BTreeSet<&str> = offered
        .iter()
        .filter_map(|id| queue_of.get(id).copied())
        .collect();
    let zones: BTreeSet<&str> = up
        .iter()
        .filter_map(|w| zone_of.get(w).copied())
        .filter(|z| !closed.contains(z))
        .collect();
    let (mut accepted, mut done, mut placed, mut ready): (
        BTreeSet<&str>,
        BTreeSet<&str>,
        BTreeSet<&str>,
        BTreeSet<&str>,
    ) = Default::default();
    for e in within() {
        match e {
            Event::Submitted {
                id,
                status: 200 | 202,
                ..
            } => accepted.extend(queue_of.get(id.as_str())),
            Event::Polled {
                id,
                status: 200,
                state,
                ..
            } if ["done", "failed"].contains(&state.as_str()) && offered.contains(id.as_str()) => {
                done.extend(queue_of.get(id.as_str()))
            }
            Event::Started { worker, .. } => placed.extend(zone_of.get(worker.as_str())),
            Event::NodeVersion {
                node, ready: true, ..
            } => {
                ready.insert(node);
            }
            _ => {}
        }
    }
    let mut out = Vec::new();
    out.extend(
        queues
            .difference(&accepted)
            .map(|q| format!("queue {q} accepted nothing")),
    );
    out.extend(
        queues
            .difference(&done)
            .map(|q| format!("queue {q} finished nothing")),
    );
    if !queues.is_empty() {
        out.extend(
            zones
                .difference(&placed)
                .map(|z| format!("zone {z} got nothing")),
        );
    }
    out.extend(
        nodes
            .iter()
            .filter(|n| !ready.contains(n.as_str()))
            .map(|n| format!("node {n} was not ready")),
    );
    out
}
