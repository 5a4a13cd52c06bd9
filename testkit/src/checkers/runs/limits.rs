//! Limits by queue, and the checker of attempts, which are limited so.

use super::specs;
use crate::checkers::{Broken, Promised};
use crate::history::{At, Event, History, Says};
use landingdrift::state::Outcome;
use std::collections::BTreeMap;

/// A change of a number, and when it may have been in force.
struct Limit {
    change: String,
    value: u32,
    asked: u64,
    /// Its version and when it was acknowledged.
    acked: Option<(u64, u64)>,
    lost: bool,
}

/// Limits of a kind, by queue, as they were asked for and acknowledged.
#[derive(Default)]
pub struct Limits<'a>(BTreeMap<&'a str, Vec<Limit>>);

impl<'a> Limits<'a> {
    /// Takes note of an event.
    pub fn take(&mut self, a: &'a At, of: impl Fn(&'a Says) -> &'a BTreeMap<String, u32>) {
        match &a.e {
            Event::ConfigAsked { change, says } => {
                for (q, value) in of(says) {
                    let all = self.0.entry(q).or_default();
                    if !all.iter().any(|l| l.change == *change) {
                        all.push(Limit {
                            change: change.clone(),
                            value: *value,
                            asked: a.t,
                            acked: None,
                            lost: false,
                        });
                    }
                }
            }
            Event::Configured {
                change,
                status,
                version,
                ..
            } => {
                for l in self
                    .0
                    .values_mut()
                    .flatten()
                    .filter(|l| l.change == *change)
                {
                    if *status == 200 {
                        l.acked = l.acked.or(Some((*version, a.t)));
                    } else {
                        l.lost = true;
                    }
                }
            }
            _ => {}
        }
    }

    /// The largest limit that may be in force at some time of two, when a change has `hold` to take hold.
    pub fn most(&self, queue: &str, (from, to): (u64, u64), hold: u64) -> Option<u32> {
        let all = self.0.get(queue)?;
        let newest = all
            .iter()
            .filter_map(|l| l.acked)
            .filter(|(_, at)| at + hold < from)
            .map(|(v, _)| v)
            .max()
            .unwrap_or(0);
        all.iter()
            .filter(|l| l.asked <= to && !l.lost && l.acked.is_none_or(|(v, _)| v >= newest))
            .map(|l| l.value)
            .max()
    }
}

/// A task that has failed as often as its queue permits is not tried again.
pub fn max_attempts(h: &History, p: &Promised) -> Vec<Broken> {
    let s = specs(h);
    let mut permitted = Limits::default();
    let mut failures: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    let mut out = Vec::new();
    for a in &h.events {
        permitted.take(a, |s| &s.max_attempts);
        match &a.e {
            Event::Ended {
                job,
                task,
                outcome: Outcome::Failed,
                ..
            } => *failures.entry((job, task)).or_default() += 1,
            Event::Started { job, task, .. } => {
                let most = s
                    .get(job.as_str())
                    .and_then(|j| permitted.most(&j.queue, (a.t, a.t), p.config))
                    .unwrap_or(u32::MAX);
                let had = failures
                    .get(&(job.as_str(), task.as_str()))
                    .copied()
                    .unwrap_or(0);
                if had >= most {
                    out.push(Broken::new(
                        "tries",
                        a.t,
                        format!("{job}/{task} started after {had} defects of {most}"),
                    ));
                }
            }
            _ => {}
        }
    }
    out
}
