use super::jobs::unknown_times;
use super::runs::alone_times;
use super::Promised;
use crate::history::{Event, History};
use std::collections::BTreeMap;

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
    /// The longest that each bound took, where it was seen: cancel, leaving, evacuated zone, outage.
    pub latest_start_after_cancel_ms: u64,
    pub latest_start_after_leaving_ms: u64,
    pub longest_outage_ms: u64,
    pub latest_start_after_emptying_ms: u64,
    /// The latest moment after a change was accepted at which a ready node had not got it.
    pub latest_old_version_ms: u64,
    /// The longest that a client asked for an accepted job's state, without what is excused.
    pub longest_unknown_state_ms: u64,
    /// The longest that a gang's member ran without another, when no fault struck and when one did.
    pub longest_alone_ms: u64,
    pub longest_alone_struck_ms: u64,
}

fn serving(state: &str) -> bool {
    ["", "serving"].contains(&state)
}

/// Sums a history up.
pub fn summary(h: &History, p: &Promised) -> Summary {
    let mut s = Summary::default();
    let (mut accepted, mut cancel, mut leave, mut out_since) =
        (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), None);
    let (mut zone_of, mut evacuated_zones, mut versions) =
        (BTreeMap::new(), BTreeMap::new(), Vec::new());
    for a in &h.events {
        match &a.e {
            Event::Offered { .. } => s.offered += 1,
            Event::Submitted {
                id,
                status: 200 | 202,
                ..
            } => {
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
            Event::Configured {
                status: 200,
                version,
                says,
                ..
            } => {
                versions.push((a.t, *version));
                let closed = says.zones.iter().filter(|(_, state)| !serving(state));
                closed.for_each(|(z, _)| {
                    evacuated_zones.entry(z).or_insert(a.t);
                });
            }
            Event::ConfigAsked { says, .. } => {
                let open = says.zones.iter().filter(|(_, state)| serving(state));
                open.for_each(|(z, _)| {
                    evacuated_zones.remove(z);
                });
            }
            Event::NodeVersion {
                version,
                ready: true,
                ..
            } => {
                let late = versions
                    .iter()
                    .filter(|(_, v)| v > version)
                    .map(|(t, _)| a.t - t)
                    .max()
                    .unwrap_or(0);
                s.latest_old_version_ms = s.latest_old_version_ms.max(late);
            }
            Event::WorkerLeaving { worker } => {
                leave.insert(worker, a.t);
            }
            Event::OutageOver => out_since = Some(a.t),
            Event::Started {
                worker, job, copy, ..
            } => {
                s.starts += 1;
                s.copies += usize::from(*copy);
                s.latest_start_after_cancel_ms = s
                    .latest_start_after_cancel_ms
                    .max(cancel.get(job).map_or(0, |t| a.t - t));
                s.latest_start_after_leaving_ms = s
                    .latest_start_after_leaving_ms
                    .max(leave.get(worker).map_or(0, |t| a.t - t));
                s.latest_start_after_emptying_ms = s.latest_start_after_emptying_ms.max(
                    zone_of
                        .get(worker)
                        .and_then(|z| evacuated_zones.get(z))
                        .map_or(0, |t| a.t - t),
                );
                s.longest_outage_ms = s
                    .longest_outage_ms
                    .max(out_since.take().map_or(0, |t| a.t - t));
            }
            Event::Closed { jobs, .. } => {
                let state = |of: &str| jobs.values().filter(|(s, _)| s == of).count();
                (s.done, s.failed, s.cancelled) =
                    (state("done"), state("failed"), state("cancelled"));
                s.unsure = jobs.values().filter(|(_, u)| *u).count();
            }
            _ => {}
        }
    }
    s.accepted = accepted.len();
    s.longest_unknown_state_ms = unknown_times(h, p)
        .into_iter()
        .map(|(_, _, ms)| ms)
        .max()
        .unwrap_or(0);
    let alone = alone_times(h, p);
    let longest = |struck| {
        alone
            .iter()
            .filter(|a| a.struck == struck)
            .map(|a| a.ms)
            .max()
            .unwrap_or(0)
    };
    (s.longest_alone_ms, s.longest_alone_struck_ms) = (longest(false), longest(true));
    s
}
