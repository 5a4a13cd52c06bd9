//! A cell: a zone's workers, their beats and their reservation queues. Hopper's worker side.

mod heartbeats;
mod lapses;
mod offers;
mod orders;
mod pace;
mod reservations;

pub use heartbeats::{Heartbeat, Running};
pub use pace::{judge, Pace, Run, Why};

use super::Node;
use crate::kernel::Now;
use crate::record::Resources;
use crate::wire::Reservation;
use offers::{Episode, PromisedRoom};
use std::collections::BTreeMap;

/// A cell that this node holds.
#[derive(Default)]
pub struct Cell {
    pub epoch: u64,
    pub workers: BTreeMap<String, WorkerState>,
}

/// A worker of a cell.
#[derive(Default)]
pub struct WorkerState {
    pub last_beat: u64,
    leaving: bool,
    room: Resources,
    queue: Vec<Reservation>,
    episode: Option<Episode>,
    /// Room promised to accepted offers that the record does not show yet.
    pending: Vec<PromisedRoom>,
    idle_until: u64,
    facts_asked: bool,
    report_asked: bool,
    /// Its sends are being ended since its hold has passed: it is not held on meanwhile.
    lapsing: Vec<u64>,
    lapse_asked: bool,
    /// When its hold was last renewed, by this node's clock; or when it said that it left.
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
    recall_asked: bool,
    /// It does badly: no offers are made for it until then.
    suspect_until: u64,
}

impl Node {
    /// Takes cells over and gives them up, as the record says.
    pub(in crate::node) fn hold_cells(&mut self, now: Now) {
        let mine: BTreeMap<String, u64> = self
            .record
            .leases
            .iter()
            .filter(|(_, g)| g.holder == self.name)
            .filter_map(|(d, g)| d.strip_prefix("cell/").map(|z| (z.to_string(), g.epoch)))
            .collect();
        self.cells.retain(|z, c| mine.get(z) == Some(&c.epoch));
        for (zone, epoch) in mine {
            if !self.cells.contains_key(&zone) {
                self.line(format!("holds the cell of zone {zone}, epoch {epoch}"));
                self.cells.insert(
                    zone.clone(),
                    Cell {
                        epoch,
                        ..Cell::default()
                    },
                );
            }
            let known: Vec<(String, Resources)> = self
                .record
                .workers
                .iter()
                .filter(|(_, w)| w.facts.zone == zone)
                .map(|(k, w)| (k.clone(), w.facts.total_resources()))
                .collect();
            let cell = self.cells.entry(zone.clone()).or_default();
            cell.workers
                .retain(|k, _| known.iter().any(|(n, _)| n == k));
            for (k, room) in known {
                cell.workers.entry(k).or_insert_with(|| WorkerState {
                    last_beat: now.mono,
                    renewed: now.mono,
                    room,
                    ..WorkerState::default()
                });
            }
        }
    }

    /// A proposal about a worker has been answered: on its facts, or on its report.
    pub(in crate::node) fn proposal_over(&mut self, worker: &str, facts: bool) {
        self.cells
            .values_mut()
            .filter_map(|c| c.workers.get_mut(worker))
            .for_each(|w| {
                *(if facts {
                    &mut w.facts_asked
                } else {
                    &mut w.report_asked
                }) = false
            });
    }
}
