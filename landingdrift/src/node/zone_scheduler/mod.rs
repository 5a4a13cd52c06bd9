//! The zone scheduler: manages a zone's workers, their heartbeats and their reservation queues. It is the worker side
//! of the Hopper scheduling algorithm.
//!
//! - `heartbeats` processes the reports of workers,
//! - `introductions` makes this node known to the worker proxies of silent workers,
//! - `orders` derives the start and stop orders in the responses,
//! - `end_reports` proposes the ends of runs to the log,
//! - `late_ends` counts and logs reported ends that contradict the cluster state or have no attempt,
//! - `departure` tracks workers that have reported that they are leaving,
//! - `lease_expiry` detects workers that are unresponsive or have exited,
//! - `stragglers` finds runs that should be rescheduled, by their `run_progress`,
//! - `unknown_runs` tracks reported runs that this copy of the cluster state does not have,
//! - `reservations` and `offers` offer free slots to the schedulers that reserved them, in the order of `targets`.

mod departure;
mod end_reports;
mod heartbeats;
mod introductions;
mod late_ends;
mod lease_expiry;
mod offer_round;
mod offers;
mod orders;
mod reservations;
mod run_progress;
mod stragglers;
mod targets;
mod unknown_runs;

pub use heartbeats::{Heartbeat, RunningAttempt};
pub use run_progress::RunProgress;
pub use stragglers::{find_stragglers, ObservedRun, RescheduleReason};

use super::Node;
use crate::sans_io::Now;
use crate::state::{EndReport, Resources};
use crate::wire::Reservation;
use departure::Departure;
use offer_round::{OfferRound, PromisedResources};
use std::collections::BTreeMap;
use unknown_runs::UnknownRuns;

/// Prefix of the name of a zone scheduler's lease; the zone follows.
const ZONE_LEASE_PREFIX: &str = "cell/";

/// Epochs are numbered cluster-wide. The first lease that a cluster grants has this epoch and no previous holder.
const FIRST_EPOCH: u64 = 1;

/// The zone that a lease is for; none for the leases of queues.
pub(super) fn zone_of_lease(lease: &str) -> Option<&str> {
    lease.strip_prefix(ZONE_LEASE_PREFIX)
}

/// A zone scheduler whose lease this node holds.
#[derive(Default)]
pub struct ZoneScheduler {
    pub epoch: u64,
    pub workers: BTreeMap<String, WorkerState>,
}

/// The zone scheduler's local state of a worker, which is not in the cluster state. Times are in monotonic
/// milliseconds.
#[derive(Default)]
pub struct WorkerState {
    pub last_heartbeat: u64,
    /// The process that forwarded the last heartbeat, usually the worker's proxy; none if the worker sent it itself.
    proxy: Option<String>,
    leaving: bool,
    resources: Resources,
    reservations: Vec<Reservation>,
    offer_round: Option<OfferRound>,
    /// Resources promised to accepted offers whose start is not in the cluster state yet.
    promises: Vec<PromisedResources>,
    no_offers_until: u64,
    /// A proposal to update the worker or to mark it as lost is pending.
    worker_update_pending: bool,
    report_pending: bool,
    /// Reported ends that are not in the cluster state yet, by attempt number.
    reported_ends: BTreeMap<u64, EndReport>,
    /// Attempts that are being ended because the worker has exited or its lease has expired; meanwhile the lease is not
    /// renewed.
    expiring: Vec<u64>,
    expiry_pending: bool,
    /// Log index of the newest expiry. Until this node has applied it, the attempts still appear live in its copy.
    expiry_log_index: u64,
    lease_renewed_at: u64,
    departure: Departure,
    unknown_runs: UnknownRuns,
    last_report_proposed_at: u64,
    /// Sequence numbers of the first and the newest heartbeat received by this lease holder.
    first_sequence: u64,
    newest_sequence: u64,
    /// Sent start orders by attempt, each with the sequence number of the newest heartbeat answered with it.
    sent_starts: BTreeMap<u64, u64>,
    checkpoints: BTreeMap<u64, String>,
    progress: BTreeMap<u64, RunProgress>,
    reschedule_pending: bool,
    /// Until this time the worker's slots are not offered, because it stalled or was slow.
    suspect_until: u64,
}

impl Node {
    /// Creates and drops zone schedulers to match the zone leases that this node holds.
    pub(in crate::node) fn update_zone_schedulers(&mut self, now: Now) {
        let mut held: BTreeMap<String, u64> = BTreeMap::new();
        for (name, lease) in &self.state.leases {
            if lease.holder != self.name {
                continue;
            }
            if let Some(zone) = zone_of_lease(name) {
                held.insert(zone.to_string(), lease.epoch);
            }
        }
        self.zone_schedulers
            .retain(|zone, zone_scheduler| held.get(zone) == Some(&zone_scheduler.epoch));
        for (zone, epoch) in held {
            self.update_zone_scheduler(now, &zone, epoch);
        }
    }

    /// Synchronizes a zone scheduler's workers with the cluster state.
    fn update_zone_scheduler(&mut self, now: Now, zone: &str, epoch: u64) {
        if !self.zone_schedulers.contains_key(zone) {
            self.log(format!("acquired the lease of zone {zone}, epoch {epoch}"));
        }
        let known: BTreeMap<String, Resources> = self
            .state
            .workers
            .iter()
            .filter(|(_, worker)| worker.info.zone == zone)
            .map(|(name, worker)| (name.clone(), worker.info.total_resources()))
            .collect();
        let zone_scheduler = self.zone_schedulers.entry(zone.to_string());
        let zone_scheduler = zone_scheduler.or_insert_with(|| ZoneScheduler {
            epoch,
            ..ZoneScheduler::default()
        });
        // The previous holder may have renewed worker leases until it learned that the zone's lease had moved.
        let predecessor_renewal_ms = if epoch > FIRST_EPOCH {
            self.settings.bounds.max_watch_age_for_zones()
        } else {
            0
        };
        zone_scheduler
            .workers
            .retain(|name, _| known.contains_key(name));
        for (name, resources) in known {
            let worker = zone_scheduler.workers.entry(name);
            worker.or_insert_with(|| WorkerState {
                last_heartbeat: now.mono,
                lease_renewed_at: now.mono + predecessor_renewal_ms,
                resources,
                ..WorkerState::default()
            });
        }
    }

    /// Handles the completion or timeout of a proposal to update a worker or to mark it as lost.
    pub(in crate::node) fn on_worker_update_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.worker_update_pending = false;
        }
    }

    /// A worker of one zone scheduler.
    fn worker(&self, zone: &str, worker: &str) -> Option<&WorkerState> {
        let zone_scheduler = self.zone_schedulers.get(zone)?;
        zone_scheduler.workers.get(worker)
    }

    fn worker_mut(&mut self, zone: &str, worker: &str) -> Option<&mut WorkerState> {
        let zone_scheduler = self.zone_schedulers.get_mut(zone)?;
        zone_scheduler.workers.get_mut(worker)
    }

    /// The workers of all zone schedulers of this node.
    pub(in crate::node) fn all_workers(&mut self) -> impl Iterator<Item = &mut WorkerState> {
        let zone_schedulers = self.zone_schedulers.values_mut();
        zone_schedulers.flat_map(|zone_scheduler| zone_scheduler.workers.values_mut())
    }

    /// A worker in all zone schedulers of this node that have it: two while it moves between zones.
    fn workers_named<'a>(
        &'a mut self,
        worker: &'a str,
    ) -> impl Iterator<Item = &'a mut WorkerState> + 'a {
        let zone_schedulers = self.zone_schedulers.values_mut();
        zone_schedulers.filter_map(move |zone_scheduler| zone_scheduler.workers.get_mut(worker))
    }
}
