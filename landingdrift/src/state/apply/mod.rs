//! Applies committed entries to the cluster state; no other code modifies it.
//!
//! Every rule that can be checked against the state alone is checked here, regardless of the proposer. An entry that
//! violates a rule is rejected, and changes only what is needed to remember the rejection. Application is
//! deterministic: the same entries produce the same state on every replica and node.

mod attempts;
mod config_update;
mod garbage_collection;
mod job_state;
mod jobs;
mod membership;
mod orders;
mod placement_rules;
mod start_attempts;
mod worker_trust;
mod workers;

use super::{ClusterState, Command, Rejection};
use config_update::ConfigUpdate;
use serde_json::{json, Value};
use workers::WorkerProcess;

/// The result of an entry: the value returned to its proposer, or the reason for its rejection.
pub type ApplyResult = Result<Value, Rejection>;

/// Returns a rejection unless a condition holds.
fn ensure(condition: bool, rejection: Rejection) -> Result<(), Rejection> {
    if condition {
        Ok(())
    } else {
        Err(rejection)
    }
}

impl ClusterState {
    /// Applies the committed entry at a log index; `at` is its time by the cluster clock, in milliseconds since 1970.
    pub fn apply(&mut self, index: u64, at: u64, command: &Command) -> ApplyResult {
        self.applied_index = index;
        self.at = self.at.max(at);
        self.dispatch(command)
    }

    /// Decodes and applies a committed entry.
    pub fn apply_bytes(&mut self, index: u64, at: u64, command: &[u8]) -> ApplyResult {
        self.applied_index = index;
        let command = Command::unpack(command).map_err(|e| Rejection::Invalid {
            path: "entry".into(),
            remedy: format!("{e}: upgrade this process, a newer one wrote the entry"),
        })?;
        self.apply(index, at, &command)
    }

    fn dispatch(&mut self, command: &Command) -> ApplyResult {
        match command {
            Command::TermStarted { .. } => Ok(Value::Null),
            Command::UpdateConfig {
                change,
                base_version,
                is_patch,
                version,
                value,
            } => self.update_config(&ConfigUpdate {
                change,
                base_version: *base_version,
                version: *version,
                is_patch: *is_patch,
                value,
            }),
            Command::SubmitJob { spec, hash, seen } => self.submit_job(spec, *hash, *seen),
            Command::CancelJob { job } => self.cancel_job(job, None),
            Command::StartAttempts {
                job,
                owner_epoch,
                placements,
            } => self.start_attempts(job, *owner_epoch, placements),
            Command::UpdateWorker { info, zone_epoch } => self.update_worker(info, *zone_epoch),
            Command::ReportAttempts {
                worker,
                incarnation,
                running,
                ends,
            } => {
                let worker = WorkerProcess {
                    name: worker,
                    incarnation: *incarnation,
                };
                self.report_attempts(worker, running, ends)
            }
            Command::MarkWorkerLost {
                worker,
                incarnation,
                zone_epoch,
            } => {
                let worker = WorkerProcess {
                    name: worker,
                    incarnation: *incarnation,
                };
                self.mark_worker_lost(worker, *zone_epoch)
            }
            Command::ExpireAttempts {
                worker,
                incarnation,
                zone_epoch,
                attempts,
                checkpoints,
            } => {
                let worker = WorkerProcess {
                    name: worker,
                    incarnation: *incarnation,
                };
                self.expire_attempts(worker, *zone_epoch, attempts, checkpoints)
            }
            Command::RescheduleAttempts {
                worker,
                zone_epoch,
                attempts,
                blame,
            } => self.reschedule_attempts(worker, *zone_epoch, attempts, *blame),
            Command::SetEvacuation { zone, evacuate } => self.set_evacuation(zone, *evacuate, None),
            Command::ResolveTask {
                job,
                task,
                succeeded,
            } => self.resolve_task(job, task, *succeeded, None),
            Command::GrantLease {
                lease,
                holder,
                from_epoch,
            } => self.grant_lease(lease, holder, *from_epoch),
            Command::RegisterNode { node, zone, http } => self.register_node(node, zone, http),
            Command::MarkNodeGone { node } => self.mark_node_gone(node),
            Command::FoundCluster { replicas } => self.found_cluster(replicas),
            Command::UpdateReplica { replica, member } => self.update_replica(replica, member),
            Command::RemoveReplica { replica, disk } => self.remove_replica(replica, *disk),
            Command::CollectGarbage {
                retain_ms,
                identity_ms,
            } => self.collect_garbage(*retain_ms, *identity_ms),
            Command::Order(order) => self.apply_order(order, None),
            Command::ReceivedOrder { order, seen } => self.apply_order(order, Some(*seen)),
        }
    }
}

/// Decodes a result; `None` if the bytes have another format.
pub fn unpack_apply_result(bytes: &[u8]) -> Option<ApplyResult> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    if let Some(done) = value.get("done") {
        return Some(Ok(done.clone()));
    }
    let refused = value.get("refused")?.clone();
    serde_json::from_value(refused).ok().map(Err)
}

/// Encodes a result.
pub fn pack_apply_result(result: &ApplyResult) -> Vec<u8> {
    let value = match result {
        Ok(done) => json!({ "done": done }),
        Err(rejection) => json!({ "refused": rejection }),
    };
    serde_json::to_vec(&value).unwrap_or_default()
}
