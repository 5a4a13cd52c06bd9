mod config;
mod jobs;
mod members;
mod orders;
mod start;
mod sweep;
mod workers;

use super::{ClusterState, Command, Rejection};
use serde_json::{json, Value};

/// The response on an entry.
pub type ApplyResult = Result<Value, Rejection>;

impl ClusterState {
    /// Applies one committed entry. The same entries give the same record everywhere.
    pub fn apply(&mut self, index: u64, at: u64, command: &Command) -> ApplyResult {
        self.applied_index = index;
        self.at = self.at.max(at);
        self.dispatch(command)
    }

    /// Does what a command says.
    fn dispatch(&mut self, command: &Command) -> ApplyResult {
        match command {
            Command::TermStarted { .. } => Ok(Value::Null),
            Command::UpdateConfig {
                change,
                base,
                patch,
                number,
                value,
            } => self.configure(change, (*base, *number), *patch, value),
            Command::AcceptJob { spec, hash, seen } => self.accept(spec, *hash, *seen),
            Command::CancelJob { job } => self.cancel(job),
            Command::StartAttempts {
                job,
                owner_epoch,
                placements,
            } => self.start(job, *owner_epoch, placements),
            Command::UpdateWorker { info, zone_epoch } => self.info(info, *zone_epoch),
            Command::ReportAttempts {
                worker,
                incarnation,
                running,
                ends,
            } => self.report(worker, *incarnation, running, ends),
            Command::WorkerLost {
                worker,
                incarnation,
                zone_epoch,
            } => self.lost(worker, *incarnation, *zone_epoch),
            Command::ExpireAttempts {
                worker,
                incarnation,
                zone_epoch,
                attempts,
                checkpoints,
            } => self.expire_attempts((worker, *incarnation), *zone_epoch, attempts, checkpoints),
            Command::RescheduleAttempts {
                worker,
                zone_epoch,
                attempts,
                blame,
            } => self.reschedule_attempts(worker, *zone_epoch, attempts, *blame),
            Command::SetEvacuation { zone, on } => self.empty(zone, *on),
            Command::ResolveAttempt {
                job,
                task,
                succeeded,
            } => self.resolve(job, task, *succeeded),
            Command::GrantLease {
                lease,
                holder,
                from_epoch,
            } => self.grant(lease, holder, *from_epoch),
            Command::RegisterNode { node, zone, http } => self.node(node, zone, http),
            Command::RemoveNode { node } => self.remove_node(node),
            Command::FoundCluster { replicas } => self.found(replicas),
            Command::UpdateReplica { replica, member } => self.replica(replica, member),
            Command::RemoveReplica { replica, disk } => self.remove_replica(replica, *disk),
            Command::CollectGarbage {
                retain_ms,
                identity_ms,
            } => self.sweep(*retain_ms, *identity_ms),
            Command::Order(order) => self.order(order),
        }
    }

    /// Applies an entry from its bytes.
    pub fn apply_bytes(&mut self, index: u64, at: u64, command: &[u8]) -> ApplyResult {
        self.applied_index = index;
        let command = Command::unpack(command).map_err(|e| Rejection::Invalid {
            path: "entry".into(),
            remedy: format!("{e}: upgrade this process, a newer one wrote the entry"),
        })?;
        self.apply(index, at, &command)
    }
}

/// The response from its bytes.
pub fn unpack_apply_result(bytes: &[u8]) -> Option<ApplyResult> {
    let v: Value = serde_json::from_slice(bytes).ok()?;
    v.get("done").cloned().map(Ok).or_else(|| {
        v.get("refused")
            .and_then(|r| serde_json::from_value(r.clone()).ok())
            .map(Err)
    })
}

/// The response as bytes.
pub fn pack_apply_result(r: &ApplyResult) -> Vec<u8> {
    serde_json::to_vec(
        &r.as_ref()
            .map_or_else(|e| json!({"refused": e}), |v| json!({"done": v})),
    )
    .unwrap_or_default()
}
