//! Configured limits of queues over time, and the checker of the limit on attempts.

use super::unreported::unreported_ends;
use super::{Specs, TaskKey};
use crate::checkers::interval::Interval;
use crate::checkers::{PromisedBounds, Violation};
use crate::history::{CheckedSettings, Event, History, TimedEvent};
use landingdrift::state::Outcome;
use std::collections::BTreeMap;

/// A requested value of a limit, with its change and the times of the request and of the acknowledgement.
struct Limit {
    change: String,
    value: u32,
    requested_ms: u64,
    acknowledged: Option<Acknowledged>,
    /// The change was refused.
    is_refused: bool,
}

#[derive(Clone, Copy)]
struct Acknowledged {
    version: u64,
    at_ms: u64,
}

/// The requested and acknowledged values of one kind of limit, by queue.
#[derive(Default)]
pub struct Limits<'a>(BTreeMap<&'a str, Vec<Limit>>);

impl<'a> Limits<'a> {
    /// Updates the limits from an event; `select` returns this kind of limit from the settings of a change.
    pub fn observe(
        &mut self,
        timed: &'a TimedEvent,
        select: impl Fn(&'a CheckedSettings) -> &'a BTreeMap<String, u32>,
    ) {
        match &timed.event {
            Event::ConfigRequested { change, settings } => {
                for (queue, value) in select(settings) {
                    self.record_request(queue, change, *value, timed.at_ms);
                }
            }
            Event::ConfigAnswered {
                change,
                status,
                version,
                ..
            } => self.record_answer(change, *status, *version, timed.at_ms),
            _ => {}
        }
    }

    fn record_request(&mut self, queue: &'a str, change: &str, value: u32, requested_ms: u64) {
        let limits = self.0.entry(queue).or_default();
        // Operators repeat a request whose answer is missing.
        if limits.iter().any(|limit| limit.change == change) {
            return;
        }
        limits.push(Limit {
            change: change.into(),
            value,
            requested_ms,
            acknowledged: None,
            is_refused: false,
        });
    }

    fn record_answer(&mut self, change: &str, status: u16, version: u64, at_ms: u64) {
        let limits = self.0.values_mut().flatten();
        for limit in limits.filter(|limit| limit.change == change) {
            if status == 200 {
                limit
                    .acknowledged
                    .get_or_insert(Acknowledged { version, at_ms });
            } else {
                limit.is_refused = true;
            }
        }
    }

    /// The largest value of a queue's limit that can be in force during an interval, given that an acknowledged change
    /// takes effect within `config_ms`.
    pub fn largest(&self, queue: &str, interval: Interval, config_ms: u64) -> Option<u32> {
        let limits = self.0.get(queue)?;
        let in_force = limits
            .iter()
            .filter_map(|limit| limit.acknowledged)
            .filter(|acknowledged| acknowledged.at_ms + config_ms < interval.from);
        let newest_in_force = in_force
            .map(|acknowledged| acknowledged.version)
            .max()
            .unwrap_or(0);
        let is_replaced = |limit: &Limit| {
            let version = limit.acknowledged.map(|acknowledged| acknowledged.version);
            version.is_some_and(|version| version < newest_in_force)
        };
        limits
            .iter()
            .filter(|limit| limit.requested_ms <= interval.to)
            .filter(|limit| !limit.is_refused && !is_replaced(limit))
            .map(|limit| limit.value)
            .max()
    }
}

/// A task does not start again after as many failures as its queue's limit on attempts.
pub fn max_attempts(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let specs = Specs::new(history);
    let unreported = unreported_ends(history);
    let mut limits = Limits::default();
    let mut failures: BTreeMap<TaskKey, u32> = BTreeMap::new();
    let mut violations = Vec::new();
    for timed in &history.events {
        limits.observe(timed, |settings| &settings.max_attempts);
        match &timed.event {
            Event::RunEnded {
                worker,
                attempt,
                job,
                task,
                outcome: Outcome::Failed,
            } if !unreported.contains(&(worker.as_str(), *attempt)) => {
                *failures.entry((job, task)).or_default() += 1;
            }
            Event::RunStarted { job, task, .. } => {
                let now = Interval::new(timed.at_ms, timed.at_ms);
                let spec = specs.job(job);
                let limit =
                    spec.and_then(|spec| limits.largest(&spec.queue, now, bounds.config_ms));
                let limit = limit.unwrap_or(u32::MAX);
                let failed = failures.get(&(job, task)).copied().unwrap_or(0);
                if failed >= limit {
                    violations.push(Violation::new(
                        "tries",
                        timed.at_ms,
                        format!(
                            "{job}/{task} started after {failed} failures with a limit of {limit}"
                        ),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
