//! The checker of quotas: a queue accepts no more unfinished jobs than its quota.

use super::interval::Interval;
use super::jobs::is_final_state;
use super::runs::Limits;
use super::{PromisedBounds, Violation};
use crate::history::{Event, History};
use std::collections::BTreeMap;

/// The jobs of all queues, as clients observed them.
#[derive(Default)]
struct Jobs<'a> {
    queues: BTreeMap<&'a str, &'a str>,
    requested_ms: BTreeMap<&'a str, u64>,
    accepted_ms: BTreeMap<&'a str, u64>,
    /// When each job was last observed unfinished, in milliseconds.
    unfinished_ms: BTreeMap<&'a str, u64>,
}

/// The acceptance of a new job (status 202).
struct Acceptance<'a> {
    job: &'a str,
    /// The interval from the request to its answer.
    call: Interval,
    /// The largest quota that may have been in force during the call.
    quota: u32,
}

impl Jobs<'_> {
    /// The number of other jobs in the queue that were certainly unfinished throughout a call that accepted a job.
    fn other_unfinished(&self, acceptance: &Acceptance) -> usize {
        let queue = self.queues.get(acceptance.job);
        let is_other = |job: &str, accepted_ms: u64| {
            let unfinished_ms = self.unfinished_ms.get(job);
            job != acceptance.job
                && accepted_ms <= acceptance.call.from
                && self.queues.get(job) == queue
                && unfinished_ms.is_some_and(|seen_ms| *seen_ms >= acceptance.call.to)
        };
        let accepted = self.accepted_ms.iter();
        accepted
            .filter(|(job, accepted_ms)| is_other(job, **accepted_ms))
            .count()
    }
}

/// A violation for each job that was accepted while its queue certainly had at least its quota of other unfinished
/// jobs.
pub(super) fn quotas(history: &History, bounds: &PromisedBounds) -> Vec<Violation> {
    let mut limits = Limits::default();
    let mut jobs = Jobs::default();
    let mut acceptances: Vec<Acceptance> = Vec::new();
    for timed in &history.events {
        limits.observe(timed, |settings| &settings.quotas);
        match &timed.event {
            Event::Offered { spec } => {
                jobs.queues.insert(&spec.id, &spec.queue);
            }
            Event::SubmitRequested { id } => {
                jobs.requested_ms.insert(id, timed.at_ms);
            }
            Event::SubmitAnswered {
                id,
                status: status @ (200 | 202),
                ..
            } => {
                jobs.accepted_ms.entry(id).or_insert(timed.at_ms);
                let queue = jobs.queues.get(id.as_str());
                let requested_ms = jobs.requested_ms.get(id.as_str());
                let (Some(queue), Some(from), 202) = (queue, requested_ms, status) else {
                    continue;
                };
                let call = Interval::new(*from, timed.at_ms);
                if let Some(quota) = limits.largest(queue, call, bounds.config_ms) {
                    let job = id.as_str();
                    acceptances.push(Acceptance { job, call, quota });
                }
            }
            Event::StateAnswered {
                id,
                status: 200,
                state,
                ..
            } if !is_final_state(state) => {
                jobs.unfinished_ms.insert(id, timed.at_ms);
            }
            _ => {}
        }
    }
    acceptances
        .iter()
        .filter_map(|acceptance| quota_violation(&jobs, acceptance))
        .collect()
}

/// The violation by an acceptance that exceeds its quota; none if it does not.
fn quota_violation(jobs: &Jobs, acceptance: &Acceptance) -> Option<Violation> {
    let quota = acceptance.quota as usize;
    // Most quotas exceed the number of jobs in the whole day; these need no count.
    if quota >= jobs.accepted_ms.len() {
        return None;
    }
    let unfinished = jobs.other_unfinished(acceptance);
    (unfinished >= quota).then(|| {
        Violation::new(
            "configuration takes hold",
            acceptance.call.to,
            format!(
                "job {} was accepted with {unfinished} unfinished jobs in its queue, whose quota is {quota}",
                acceptance.job
            ),
        )
    })
}
