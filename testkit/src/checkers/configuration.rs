//! Checkers of the configuration: at most one of two concurrent changes is accepted, accepted changes take effect, and
//! none of them is lost.

use super::conditions::Conditions;
use super::quotas::quotas;
use super::{PromisedBounds, Violation};
use crate::history::{Event, History};
use std::collections::{BTreeMap, BTreeSet};

/// The outcomes of all changes of a day, as operators received them.
#[derive(Default)]
struct Changes<'a> {
    /// The accepted change that created each version.
    by_version: BTreeMap<u64, &'a str>,
    refused: BTreeSet<&'a str>,
}

impl<'a> Changes<'a> {
    fn new(history: &'a History) -> Self {
        let mut changes = Self::default();
        for timed in &history.events {
            match &timed.event {
                Event::ConfigAnswered {
                    change,
                    status: 200,
                    version,
                    ..
                } => {
                    changes.by_version.entry(*version).or_insert(change);
                }
                Event::ConfigAnswered { change, .. } => {
                    changes.refused.insert(change);
                }
                _ => {}
            }
        }
        changes
    }

    /// The reason why a version must not have the content of a change, or none.
    fn content_mismatch(&self, version: u64, change: &str) -> Option<String> {
        if self.refused.contains(change) {
            return Some(format!(
                "{change} was refused, but its content is in version {version}"
            ));
        }
        let accepted_change = self.by_version.get(&version)?;
        (*accepted_change != change).then(|| {
            format!("version {version} was created by {accepted_change} but has the content of {change}")
        })
    }
}

/// Of two changes based on the same version, at most one is accepted, and the content of a refused change appears in no
/// version.
pub fn one_of_two_accepted(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let changes = Changes::new(history);
    let mut accepted_on_base: BTreeMap<u64, &str> = BTreeMap::new();
    let mut accepted_as_version: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut add_violation = |at_ms, description| {
        violations.push(Violation::new("one of two rivals", at_ms, description));
    };
    for timed in &history.events {
        match &timed.event {
            Event::ConfigAnswered {
                change,
                base,
                status: 200,
                version,
                ..
            } => {
                let is_other = |accepted: &str| accepted != change;
                let conflicts = accepted_on_base.insert(*base, change).is_some_and(is_other)
                    || accepted_as_version
                        .insert(*version, change)
                        .is_some_and(is_other);
                if conflicts {
                    let description =
                        format!("{change} and another change were both accepted on version {base}");
                    add_violation(timed.at_ms, description);
                }
            }
            Event::ConfigRead {
                version, change, ..
            }
            | Event::NodeVersion {
                version, change, ..
            }
            | Event::DayEnded {
                version, change, ..
            } if !change.is_empty() => {
                if let Some(description) = changes.content_mismatch(*version, change) {
                    add_violation(timed.at_ms, description);
                }
            }
            _ => {}
        }
    }
    violations
}

/// The acknowledged versions with the times of their acknowledgements.
#[derive(Default)]
struct AcceptedVersions(Vec<AcceptedVersion>);

struct AcceptedVersion {
    at_ms: u64,
    version: u64,
}

impl AcceptedVersions {
    fn add(&mut self, at_ms: u64, version: u64) {
        self.0.push(AcceptedVersion { at_ms, version });
    }

    /// The newest version that was acknowledged before a time; 0 if there is none.
    fn newest_before(&self, at_ms: u64) -> u64 {
        let before = self.0.iter().filter(|accepted| accepted.at_ms < at_ms);
        before.map(|accepted| accepted.version).max().unwrap_or(0)
    }
}

/// An accepted change is never lost: reads return at least the newest version accepted before them, and versions on a
/// node only increase.
pub fn never_reverts(history: &History, _: &PromisedBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut accepted = AcceptedVersions::default();
    let mut on_node: BTreeMap<&str, u64> = BTreeMap::new();
    let mut add_violation = |at_ms, description| {
        let rule = "configuration never slides back";
        violations.push(Violation::new(rule, at_ms, description));
    };
    for timed in &history.events {
        let now = timed.at_ms;
        match &timed.event {
            Event::ConfigAnswered {
                status: 200,
                version,
                ..
            } => accepted.add(now, *version),
            Event::ConfigRead {
                version,
                requested_ms,
                ..
            } => {
                let expected = accepted.newest_before(*requested_ms);
                if *version < expected {
                    let description =
                        format!("version {version} was read after version {expected} was accepted");
                    add_violation(now, description);
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
                let before = on_node.insert(node, *version);
                if before.is_some_and(|before| before > *version) {
                    add_violation(now, format!("{node} went back to version {version}"));
                }
            }
            Event::DayEnded { version, .. } => {
                let expected = accepted.newest_before(u64::MAX);
                if *version < expected {
                    add_violation(
                        now,
                        format!(
                            "the day ended with version {version}, but {expected} was accepted"
                        ),
                    );
                }
            }
            _ => {}
        }
    }
    violations
}

/// An accepted change is in force within `config_ms` on every node that reports ready, every node that is up and
/// connected becomes ready within `ready_ms`, and queues respect their quotas.
pub fn takes_effect(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut nodes = NodeReadiness {
        conditions: Conditions::new(history, bounds),
        bounds,
        accepted: AcceptedVersions::default(),
        unready_since: BTreeMap::new(),
        violations: Vec::new(),
    };
    for timed in &history.events {
        match &timed.event {
            Event::ConfigAnswered {
                status: 200,
                version,
                ..
            } => nodes.accepted.add(timed.at_ms, *version),
            Event::NodeDown { node } => {
                nodes.unready_since.remove(node.as_str());
            }
            Event::NodeVersion {
                node,
                version,
                ready: true,
                ..
            } => nodes.on_ready(node, *version, timed.at_ms),
            Event::NodeVersion {
                node, ready: false, ..
            } => nodes.on_not_ready(node, timed.at_ms),
            _ => {}
        }
    }
    let mut violations = nodes.violations;
    violations.extend(quotas(history, bounds));
    violations
}

/// The state of [`takes_effect`]: the accepted versions, and since when each node has been unready.
struct NodeReadiness<'a> {
    conditions: Conditions<'a>,
    bounds: &'a PromisedBounds,
    accepted: AcceptedVersions,
    unready_since: BTreeMap<&'a str, u64>,
    violations: Vec<Violation>,
}

impl<'a> NodeReadiness<'a> {
    fn add_violation(&mut self, at_ms: u64, description: String) {
        let violation = Violation::new("configuration takes hold", at_ms, description);
        self.violations.push(violation);
    }

    fn on_ready(&mut self, node: &str, version: u64, now: u64) {
        self.unready_since.remove(node);
        let expected = self
            .accepted
            .newest_before(now.saturating_sub(self.bounds.config_ms));
        if version < expected {
            self.add_violation(now, format!("{node} reports ready with version {version}, but version {expected} was accepted more than {} ms before", self.bounds.config_ms));
        }
    }

    /// A node can't avoid the bound by reporting not ready: while it is up and connected, it has to become ready within
    /// `ready_ms`.
    fn on_not_ready(&mut self, node: &'a str, now: u64) {
        let since = *self.unready_since.entry(node).or_insert(now);
        let is_late = now > since + self.bounds.ready_ms;
        if is_late && self.conditions.node_could_work(node, since, now) {
            let duration_ms = now - since;
            self.add_violation(
                now,
                format!("{node} was up and connected but not ready for {duration_ms} ms"),
            );
            self.unready_since.insert(node, now);
        }
    }
}
