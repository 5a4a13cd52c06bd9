//! Which jobs the leader takes into the log: those that the cluster state has memory for, on a machine like its own.
//!
//! Jobs that are due much later may take only a part of it, so that they keep nothing from jobs that are due now.

use super::Replica;
use crate::sans_io::Now;
use crate::state::{ClusterState, Command, JobSpec};

/// The memory of the jobs is counted anew after this time, in milliseconds: retries add to it, and jobs are dropped.
const RECOUNT_MS: u64 = 1000;

/// A job may take one part in so many of what is left, so that a few large ones do not keep the small ones out.
const LARGEST_JOB_DIVISOR: u64 = 4;

/// A job whose last time is due later than this from now is deferred, in milliseconds.
const DEFERRED_AFTER_MS: u64 = 60_000;

/// Deferred jobs may take one part in so many of each limit.
const DEFERRED_LIMIT_DIVISOR: u64 = 2;

/// What some jobs take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct JobUsage {
    jobs: u64,
    bytes: u64,
}

impl JobUsage {
    fn plus(self, other: Self) -> Self {
        Self {
            jobs: self.jobs.saturating_add(other.jobs),
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }
}

/// A job that the leader may append.
#[derive(Clone, Copy)]
pub(super) struct AdmittedJob {
    bytes: u64,
    is_deferred: bool,
}

/// A job that was appended at an index.
#[derive(Clone, Copy)]
struct AppendedJob {
    index: u64,
    job: AdmittedJob,
}

/// What the jobs take, as far as the leader knows.
#[derive(Clone, Default)]
pub(super) struct JobAdmission {
    /// The unfinished jobs in the cluster state when they were counted, and the bytes of the retained ones as well.
    counted: JobUsage,
    /// Those among them that were unfinished and deferred.
    counted_deferred: JobUsage,
    /// When they are counted next, in monotonic milliseconds.
    recount_at: u64,
    /// The jobs that were appended and not yet applied when they were counted.
    appended: Vec<AppendedJob>,
}

impl JobAdmission {
    fn recount(&mut self, now: Now, state: &ClusterState) {
        self.recount_at = now.mono + RECOUNT_MS;
        self.counted = JobUsage {
            jobs: state.open.len() as u64,
            bytes: state.job_bytes(),
        };
        self.counted_deferred = deferred_usage(state);
        let applied_index = state.applied_index;
        self.appended.retain(|job| job.index > applied_index);
    }

    fn total(&self) -> JobUsage {
        self.counted.plus(self.appended_usage(|_| true))
    }

    fn deferred(&self) -> JobUsage {
        let appended = self.appended_usage(|job| job.is_deferred);
        self.counted_deferred.plus(appended)
    }

    fn appended_usage(&self, is_meant: impl Fn(&AdmittedJob) -> bool) -> JobUsage {
        let jobs = self.appended.iter().map(|appended| &appended.job);
        let meant = jobs.filter(|job| is_meant(job));
        meant.fold(JobUsage::default(), |sum, job| {
            sum.plus(JobUsage {
                jobs: 1,
                bytes: job.bytes,
            })
        })
    }

    /// Notes that a job was appended at an index.
    pub(super) fn record_appended(&mut self, index: u64, job: AdmittedJob) {
        if job.bytes > 0 {
            self.appended.push(AppendedJob { index, job });
        }
    }
}

/// What the unfinished jobs take that are deferred.
fn deferred_usage(state: &ClusterState) -> JobUsage {
    let open = state.open.iter().filter_map(|id| state.jobs.get(id));
    let deferred = open.filter(|job| is_deferred(&job.spec, state.at));
    deferred.fold(JobUsage::default(), |sum, job| {
        sum.plus(JobUsage {
            jobs: 1,
            bytes: job.memory_bytes(),
        })
    })
}

/// Whether the last time of a job is due much later than a time by the cluster clock.
fn is_deferred(job: &JobSpec, at: u64) -> bool {
    job.last_due() > at.saturating_add(DEFERRED_AFTER_MS)
}

impl Replica {
    /// The job as it counts once it is appended, if there is capacity for it; one that is known takes no more.
    pub(super) fn admit_job(&mut self, now: Now, job: &JobSpec) -> Option<AdmittedJob> {
        if self.state.jobs.contains_key(&job.id) || self.state.tombstones.contains_key(&job.id) {
            return Some(AdmittedJob {
                bytes: 0,
                is_deferred: false,
            });
        }
        if now.mono >= self.job_admission.recount_at {
            self.job_admission.recount(now, &self.state);
        }
        let admitted = AdmittedJob {
            bytes: job.memory_bytes(),
            is_deferred: is_deferred(job, self.state.at),
        };
        let limits = &self.settings.limits;
        let limit = JobUsage {
            jobs: limits.open_jobs,
            bytes: limits.jobs_memory_bytes,
        };
        let deferred_limit = JobUsage {
            jobs: limit.jobs / DEFERRED_LIMIT_DIVISOR,
            bytes: limit.bytes / DEFERRED_LIMIT_DIVISOR,
        };
        let may_be_deferred = !admitted.is_deferred
            || has_capacity(deferred_limit, self.job_admission.deferred(), admitted);
        let fits = may_be_deferred && has_capacity(limit, self.job_admission.total(), admitted);
        fits.then_some(admitted)
    }
}

/// Whether one more job may be taken within a limit, beside what others take.
fn has_capacity(limit: JobUsage, used: JobUsage, job: AdmittedJob) -> bool {
    let bytes_left = limit.bytes.saturating_sub(used.bytes);
    used.jobs < limit.jobs && job.bytes <= bytes_left / LARGEST_JOB_DIVISOR
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
