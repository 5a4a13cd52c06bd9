//! A zone scheduler: a zone's workers, their heartbeats and their reservation queues. Hopper's worker side.

mod heartbeats;
mod lease_expiry;
mod offers;
mod orders;
mod pace;
mod reservations;
mod targets;

pub use heartbeats::{Heartbeat, Running};
pub use pace::{judge, Pace, RescheduleReason, Run};

use super::Node;
use crate::sans_io::Now;
use crate::state::Resources;
use crate::wire::Reservation;
use offers::{Episode, PromisedResources};
use std::collections::BTreeMap;

/// A zone scheduler that this node holds.
#[derive(Default)]
pub struct ZoneScheduler {
    pub epoch: u64,
    pub workers: BTreeMap<String, WorkerState>,
}

/// A worker of a zone scheduler.
#[derive(Default)]
pub struct WorkerState {
    pub last_heartbeat: u64,
    leaving: bool,
    resources: Resources,
    queue: Vec<Reservation>,
    episode: Option<Episode>,
    /// Room promised to accepted offers that the cluster state does not show yet.
    pending: Vec<PromisedResources>,
    idle_until: u64,
    info_proposed: bool,
    report_proposed: bool,
    /// Its sends are being ended since its lease has passed: it is not held on meanwhile.
    expiring: Vec<u64>,
    expiry_proposed: bool,
    /// When its lease was last renewed, by this node's clock; or when it said that it left.
    renewed: u64,
    left: Option<u64>,
    /// When a report was last proposed.
    reported: u64,
    /// The first call heard by this holder, and the newest.
    first_call: u64,
    call: u64,
    /// Starts given, each with the newest call whose answer had it.
    given: BTreeMap<u64, u64>,
    checkpoints: BTreeMap<u64, String>,
    paces: BTreeMap<u64, Pace>,
    reschedule_proposed: bool,
    /// It does badly: no offers are made for it until then.
    suspect_until: u64,
}

impl Node {
    /// Takes zone schedulers over and gives them up, as the cluster state says.
    pub(in crate::node) fn hold_zones(&mut self, now: Now) {
        let mine: BTreeMap<String, u64> = self
            .state
            .leases
            .iter()
            .filter(|(_, g)| g.holder == self.name)
            .filter_map(|(d, g)| d.strip_prefix("cell/").map(|z| (z.to_string(), g.epoch)))
            .collect();
        self.zone_schedulers
            .retain(|z, c| mine.get(z) == Some(&c.epoch));
        for (zone, epoch) in mine {
            self.hold_cell(now, &zone, epoch);
        }
    }

    /// Holds a zone scheduler with the workers that the cluster state knows in its zone.
    fn hold_cell(&mut self, now: Now, zone: &str, epoch: u64) {
        if !self.zone_schedulers.contains_key(zone) {
            self.line(format!("holds the lease of zone {zone}, epoch {epoch}"));
        }
        let known: BTreeMap<String, Resources> = self
            .state
            .workers
            .iter()
            .filter(|(_, w)| w.info.zone == zone)
            .map(|(name, w)| (name.clone(), w.info.total_resources()))
            .collect();
        let zone_scheduler = self.zone_schedulers.entry(zone.to_string());
        let zone_scheduler = zone_scheduler.or_insert_with(|| ZoneScheduler {
            epoch,
            ..ZoneScheduler::default()
        });
        zone_scheduler
            .workers
            .retain(|name, _| known.contains_key(name));
        for (name, resources) in known {
            let worker = zone_scheduler.workers.entry(name);
            worker.or_insert_with(|| WorkerState {
                last_heartbeat: now.mono,
                renewed: now.mono,
                resources,
                ..WorkerState::default()
            });
        }
    }

    /// A proposal about a worker has been answered: on its facts, or on its report.
    pub(in crate::node) fn proposal_over(&mut self, worker: &str, info: bool) {
        for w in self.workers_named(worker) {
            if info {
                w.info_proposed = false;
            } else {
                w.report_proposed = false;
            }
        }
    }

    /// A worker in all zone schedulers of this node that know it: while it moves, that may be two.
    fn workers_named<'a>(
        &'a mut self,
        worker: &'a str,
    ) -> impl Iterator<Item = &'a mut WorkerState> + 'a {
        let zone_schedulers = self.zone_schedulers.values_mut();
        zone_schedulers.filter_map(move |c| c.workers.get_mut(worker))
    }
}
