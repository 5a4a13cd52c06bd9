//! The zone scheduler: a zone's workers, their heartbeats and their reservation queues. Hopper's worker side.
//!
//! - `heartbeats` receives what workers report,
//! - `orders` derives what the response tells a worker to start and to stop,
//! - `end_reports` brings the ends of runs into the log,
//! - `late_ends` observes what workers report of runs that are over by the cluster state,
//! - `departure` takes note of workers that report that they leave,
//! - `lease_expiry` detects workers that are silent or have ended,
//! - `stragglers` finds runs that should be rescheduled, by their `run_progress`,
//! - `unknown_runs` keeps the runs that the copy of the cluster state does not know yet,
//! - `reservations` and `offers` offer free slots to the schedulers that reserved them, in the order of `targets`.

mod departure;
mod end_reports;
mod heartbeats;
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

/// What the name of a zone scheduler's lease begins with; the zone follows.
const ZONE_LEASE_PREFIX: &str = "cell/";

/// The epoch of the first lease that a cluster grants: nobody held it before.
const FIRST_EPOCH: u64 = 1;

/// The zone whose scheduler a lease is for; none for the leases of queues.
pub(super) fn zone_of_lease(lease: &str) -> Option<&str> {
    lease.strip_prefix(ZONE_LEASE_PREFIX)
}

/// A zone scheduler whose lease this node holds.
#[derive(Default)]
pub struct ZoneScheduler {
    pub epoch: u64,
    pub workers: BTreeMap<String, WorkerState>,
}

/// What the zone scheduler keeps of a worker beside the cluster state. Times are by this node's monotonic clock.
#[derive(Default)]
pub struct WorkerState {
    pub last_heartbeat: u64,
    leaving: bool,
    resources: Resources,
    reservations: Vec<Reservation>,
    offer_round: Option<OfferRound>,
    /// Resources promised to accepted offers whose start the cluster state does not show yet.
    promises: Vec<PromisedResources>,
    no_offers_until: u64,
    info_proposed: bool,
    report_proposed: bool,
    /// Ends that the worker has reported and the cluster state does not show yet, by the numbers of their attempts.
    reported_ends: BTreeMap<u64, EndReport>,
    /// Attempts that are being ended because the worker's lease has expired: it is not renewed meanwhile.
    expiring: Vec<u64>,
    expiry_proposed: bool,
    /// Where the log has the newest expiry: until this node has applied it, its copy still shows the attempts as live.
    expiry_log_index: u64,
    lease_renewed_at: u64,
    departure: Departure,
    unknown_runs: UnknownRuns,
    last_report_at: u64,
    /// The sequence numbers of the first heartbeat that this holder received, and of the newest.
    first_sequence: u64,
    newest_sequence: u64,
    /// Attempts whose start order was sent, each with the newest heartbeat whose response carried it.
    sent_starts: BTreeMap<u64, u64>,
    checkpoints: BTreeMap<u64, String>,
    progress: BTreeMap<u64, RunProgress>,
    reschedule_proposed: bool,
    /// The worker stalled or was slow: its slots are not offered until then.
    suspect_until: u64,
}

impl Node {
    /// Creates and drops zone schedulers, so that they are those whose leases this node holds.
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

    /// Makes a zone scheduler's workers those that the cluster state knows in its zone.
    fn update_zone_scheduler(&mut self, now: Now, zone: &str, epoch: u64) {
        if !self.zone_schedulers.contains_key(zone) {
            self.log(format!("holds the lease of zone {zone}, epoch {epoch}"));
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
        // The holder before renewed leases until it knew that the zone's lease had moved.
        let predecessor_ms = if epoch > FIRST_EPOCH {
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
                lease_renewed_at: now.mono + predecessor_ms,
                resources,
                ..WorkerState::default()
            });
        }
    }

    /// A proposal of a worker's facts has an outcome, or is given up.
    pub(in crate::node) fn on_info_proposal_done(&mut self, worker: &str) {
        for worker in self.workers_named(worker) {
            worker.info_proposed = false;
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

    /// All workers of this node's zone schedulers.
    pub(in crate::node) fn all_workers(&mut self) -> impl Iterator<Item = &mut WorkerState> {
        let zone_schedulers = self.zone_schedulers.values_mut();
        zone_schedulers.flat_map(|zone_scheduler| zone_scheduler.workers.values_mut())
    }

    /// A worker in all zone schedulers of this node that know it: while it changes its zone, these may be two.
    fn workers_named<'a>(
        &'a mut self,
        worker: &'a str,
    ) -> impl Iterator<Item = &'a mut WorkerState> + 'a {
        let zone_schedulers = self.zone_schedulers.values_mut();
        zone_schedulers.filter_map(move |zone_scheduler| zone_scheduler.workers.get_mut(worker))
    }
}
