mod config;
mod jobs;
mod members;
mod orders;
mod start;
mod sweep;
mod workers;

use super::{ClusterState, Command, Rejection};
use serde_json::{json, Value};

/// The verdict on an entry.
pub type ApplyResult = Result<Value, Rejection>;

impl ClusterState {
    /// Applies one committed entry. The same entries give the same record everywhere.
    pub fn apply(&mut self, index: u64, at: u64, command: &Command) -> ApplyResult {
        self.place = index;
        self.at = self.at.max(at);
        self.dispose(command)
    }

    /// Does what a command says.
    fn dispose(&mut self, command: &Command) -> ApplyResult {
        match command {
            Command::Opened { .. } => Ok(Value::Null),
            Command::Configure {
                change,
                base,
                patch,
                number,
                value,
            } => self.configure(change, (*base, *number), *patch, value),
            Command::Accept { spec, hash, seen } => self.accept(spec, *hash, *seen),
            Command::Cancel { job } => self.cancel(job),
            Command::Start {
                job,
                owner_epoch,
                placements,
            } => self.start(job, *owner_epoch, placements),
            Command::Facts { facts, cell_epoch } => self.facts(facts, *cell_epoch),
            Command::Report {
                worker,
                incarnation,
                running,
                ends,
            } => self.report(worker, *incarnation, running, ends),
            Command::Lost {
                worker,
                incarnation,
                cell_epoch,
            } => self.lost(worker, *incarnation, *cell_epoch),
            Command::Lapse {
                worker,
                incarnation,
                cell_epoch,
                sends,
                checkpoints,
            } => self.lapse((worker, *incarnation), *cell_epoch, sends, checkpoints),
            Command::Recall {
                worker,
                cell_epoch,
                sends,
                blame,
            } => self.recall(worker, *cell_epoch, sends, *blame),
            Command::Empty { zone, on } => self.empty(zone, *on),
            Command::Resolve { job, task, well } => self.resolve(job, task, *well),
            Command::Lease {
                duty,
                holder,
                from_epoch,
            } => self.grant(duty, holder, *from_epoch),
            Command::Node { node, zone, http } => self.node(node, zone, http),
            Command::NodeGone { node } => self.node_gone(node),
            Command::Found { cores } => self.found(cores),
            Command::Replica { core, member } => self.core(core, member),
            Command::CoreGone { core, disk } => self.core_gone(core, *disk),
            Command::Sweep {
                retain_ms,
                identity_ms,
            } => self.sweep(*retain_ms, *identity_ms),
            Command::Order(order) => self.order(order),
        }
    }

    /// Applies an entry from its bytes.
    pub fn apply_bytes(&mut self, index: u64, at: u64, command: &[u8]) -> ApplyResult {
        self.place = index;
        let command = Command::unpack(command).map_err(|e| Rejection::Invalid {
            path: "entry".into(),
            remedy: format!("{e}: upgrade this process, a newer one wrote the entry"),
        })?;
        self.apply(index, at, &command)
    }
}

/// The verdict from its bytes.
pub fn unpack_apply_result(bytes: &[u8]) -> Option<ApplyResult> {
    let v: Value = serde_json::from_slice(bytes).ok()?;
    v.get("done").cloned().map(Ok).or_else(|| {
        v.get("refused")
            .and_then(|r| serde_json::from_value(r.clone()).ok())
            .map(Err)
    })
}

/// The verdict as bytes.
pub fn pack_apply_result(r: &ApplyResult) -> Vec<u8> {
    serde_json::to_vec(
        &r.as_ref()
            .map_or_else(|e| json!({"refused": e}), |v| json!({"done": v})),
    )
    .unwrap_or_default()
}
