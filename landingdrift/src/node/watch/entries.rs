//! Application of log entries to a node's copy of the cluster state.

use super::super::zone_scheduler::zone_of_lease;
use super::super::Node;
use crate::sans_io::Now;
use crate::state::{ApplyResult, ClusterState, Command, Order};
use crate::wire::{Entry, WatchBatch};

impl Node {
    /// Applies the entries of a batch that continue this copy; returns whether the copy has changed.
    pub(super) fn apply_entries(&mut self, batch: &WatchBatch) -> bool {
        if batch.light != self.light {
            return false;
        }
        if batch.follows > self.state.applied_index {
            // The batch continues another copy: the entries between this copy and the batch are missing.
            self.count("watch_batches_past_a_gap", 1);
            return false;
        }
        let mut changed = false;
        for entry in &batch.entries {
            let next = self.state.applied_index + 1;
            // A light copy receives only the entries for the data that it keeps, so their indexes have gaps.
            if entry.index == next || (self.light && entry.index > next) {
                self.apply_entry(entry);
                changed = true;
            }
        }
        if self.light && batch.reached > self.state.applied_index {
            // The entries left out concern jobs and workers, which a light copy does not keep.
            self.state.applied_index = batch.reached;
            changed = true;
        }
        changed
    }

    /// Whether the configuration of this copy differs from that of the replicas at the same log index.
    pub(super) fn has_diverged(&self, batch: &WatchBatch) -> bool {
        let is_comparable = batch.config_index > 0
            && batch.light == self.light
            && batch.reached == self.state.applied_index;
        is_comparable && batch.config_index != self.state.config_index()
    }

    /// Discards the copy of the cluster state, so that a new one is fetched.
    pub(super) fn discard_copy(&mut self, now: Now) {
        let index = self.state.applied_index;
        self.log(format!(
            "discarding the copy of the cluster state at index {index}: its configuration differs from that of the replicas"
        ));
        self.count("watch_copies_diverged", 1);
        self.state = ClusterState::new(&self.settings.cluster);
        self.known_index.reset();
        self.light = false;
        self.watch.has_snapshot = false;
        self.watch.next_watch_request = now.mono;
        self.scheduler.all_dirty = true;
        self.scheduler.forget_reservations();
        self.on_state_changed(now);
    }

    /// Reacts to a change of the cluster state: updates zone schedulers, forwards or answers open reads, places
    /// reservations and offers slots.
    pub(super) fn on_state_changed(&mut self, now: Now) {
        self.update_zone_schedulers(now);
        self.forward_open_reads(now);
        self.answer_ready_reads();
        self.schedule(now);
        self.offer_all(now);
    }

    /// Applies an entry of the log to this node's copy of the cluster state.
    fn apply_entry(&mut self, entry: &Entry) {
        let command = Command::unpack(&entry.command).ok();
        // This must run before the entry is applied: the attempts that it ends are not live afterwards.
        self.mark_dirty_jobs(command.as_ref().map(Command::action));
        let version = self.state.version;
        let result = self
            .state
            .apply_bytes(entry.index, entry.at, &entry.command);
        self.count("watch_entries", 1);
        if let Some(Command::StartAttempts {
            job, placements, ..
        }) = &command
        {
            for placement in placements {
                self.release_promise(&placement.worker, job);
            }
            self.count("starts_refused", u64::from(result.is_err()));
        }
        if let Some(order) = command.as_ref().and_then(Command::order) {
            self.log_zone_order(entry.index, order, &result);
        }
        if self.state.version != version {
            let version = self.state.version;
            let index = entry.index;
            self.log(format!(
                "configuration version {version} in force, index {index}"
            ));
        }
    }

    /// Logs an order on a zone with its result and the node through which it came.
    fn log_zone_order(&mut self, index: u64, order: &Order, result: &ApplyResult) {
        let Command::SetEvacuation { zone, evacuate } = order.action.as_ref() else {
            return;
        };
        let action = if *evacuate { "begin" } else { "end" };
        let outcome = match result {
            Ok(_) => "done".to_string(),
            Err(rejection) => format!("rejected: {rejection}"),
        };
        let proposer = &order.proposal.proposer;
        self.log(format!(
            "order to {action} the evacuation of zone '{zone}', index {index}, through {proposer}: {outcome}"
        ));
    }

    /// Marks the jobs whose demand for slots a command may change.
    fn mark_dirty_jobs(&mut self, action: Option<&Command>) {
        match action {
            Some(Command::ReportAttempts { ends, .. }) => {
                for end in ends {
                    if let Some((job, _)) = self.state.live.get(&end.no) {
                        self.scheduler.dirty.insert(job.clone());
                    }
                }
            }
            Some(Command::SubmitJob { spec, .. }) => {
                self.scheduler.dirty.insert(spec.id.clone());
            }
            Some(Command::GrantLease { lease, .. }) => {
                self.scheduler.all_dirty = true;
                if zone_of_lease(lease).is_some() {
                    self.scheduler.forget_reservations();
                }
            }
            Some(
                Command::StartAttempts { .. }
                | Command::TermStarted { .. }
                | Command::CancelJob { .. }
                | Command::RegisterNode { .. },
            ) => {}
            _ => self.scheduler.all_dirty = true,
        }
    }
}
