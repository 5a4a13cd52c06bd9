//! Which jobs the leader takes into the log: those that the cluster state has memory for, on a machine like its own.

use super::Replica;
use crate::sans_io::Now;
use crate::state::{ClusterState, Command, JobSpec};

/// The memory of the jobs is counted anew after this time, in milliseconds: retries add to it, and jobs are dropped.
const RECOUNT_MS: u64 = 1000;

/// A job may take one part in so many of what is left, so that a few large ones do not keep the small ones out.
const LARGEST_JOB_DIVISOR: u64 = 4;

/// What the jobs take, as far as the leader knows.
#[derive(Clone, Default)]
pub(super) struct JobAdmission {
    /// Bytes of the jobs in the cluster state when they were counted.
    counted_bytes: u64,
    /// When they are counted next, in monotonic milliseconds.
    recount_at: u64,
    /// The jobs that were appended and not yet applied when they were counted: index and bytes.
    appended: Vec<(u64, u64)>,
}

impl JobAdmission {
    fn recount(&mut self, now: Now, state: &ClusterState) {
        self.recount_at = now.mono + RECOUNT_MS;
        self.counted_bytes = state.job_bytes();
        let applied_index = state.applied_index;
        self.appended.retain(|(index, _)| *index > applied_index);
    }

    fn bytes(&self) -> u64 {
        let appended: u64 = self.appended.iter().map(|(_, bytes)| bytes).sum();
        self.counted_bytes.saturating_add(appended)
    }

    /// Notes that a job was appended at an index.
    pub(super) fn note_appended(&mut self, index: u64, bytes: u64) {
        self.appended.push((index, bytes));
    }
}

impl Replica {
    /// How many bytes of memory a job takes, if there are as many; one that is known takes no more.
    pub(super) fn bytes_for_job(&mut self, now: Now, job: &JobSpec) -> Option<u64> {
        if self.state.jobs.contains_key(&job.id) || self.state.tombstones.contains_key(&job.id) {
            return Some(0);
        }
        if now.mono >= self.job_admission.recount_at {
            self.job_admission.recount(now, &self.state);
        }
        let limits = &self.settings.limits;
        let left = limits
            .jobs_memory_bytes
            .saturating_sub(self.job_admission.bytes());
        let has_place = (self.state.open.len() as u64) < limits.open_jobs;
        let bytes = job.memory_bytes();
        (has_place && bytes <= left / LARGEST_JOB_DIVISOR).then_some(bytes)
    }
}

/// The job that a proposed command submits, if it is one.
pub(super) fn submitted_job(command: &[u8]) -> Option<JobSpec> {
    if !Command::submits_job(command) {
        return None;
    }
    match Command::unpack(command) {
        Ok(Command::AcceptJob { spec, .. }) => Some(spec),
        _ => None,
    }
}
