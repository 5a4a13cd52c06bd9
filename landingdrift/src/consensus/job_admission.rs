//! Admission of submitted jobs by the leader: the cluster state must have memory for them on a machine with the
//! leader's limits.
//!
//! Jobs that are due much later (deferred jobs) may use only a part of each limit, so that they never crowd out jobs
//! that are due now.

use super::Replica;
use crate::sans_io::Now;
use crate::state::{ClusterState, Command, JobSpec};

/// The memory of the jobs is recounted at this interval, in milliseconds: retries add to it, and removed jobs free it.
const RECOUNT_MS: u64 = 1000;

/// A job may use at most the remaining memory divided by this, so that a few large jobs do not crowd out small ones.
const LARGEST_JOB_DIVISOR: u64 = 4;

/// A job whose last due time is further ahead than this is deferred, in milliseconds.
const DEFERRED_AFTER_MS: u64 = 60_000;

/// Deferred jobs may use each limit divided by this.
const DEFERRED_LIMIT_DIVISOR: u64 = 2;

/// The number of some jobs and the memory that they use.
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

/// The share of the limits that an admitted job uses.
#[derive(Clone, Copy)]
pub(super) struct AdmittedJob {
    bytes: u64,
    is_deferred: bool,
}

/// An admitted job and the log index of its entry.
#[derive(Clone, Copy)]
struct AppendedJob {
    index: u64,
    job: AdmittedJob,
}

/// The usage of the limits by jobs: the result of the last count, plus the jobs appended since.
#[derive(Clone, Default)]
pub(super) struct JobAdmission {
    /// The number of unfinished jobs at the last count; the bytes include retained finished jobs.
    counted: JobUsage,
    /// The unfinished deferred jobs among them.
    counted_deferred: JobUsage,
    /// When the jobs are counted next, in monotonic milliseconds.
    recount_at: u64,
    /// The jobs appended to the log that the last count does not include.
    appended: Vec<AppendedJob>,
}

impl JobAdmission {
    fn recount(&mut self, now: Now, state: &ClusterState) {
        self.recount_at = now.mono + RECOUNT_MS;
        self.counted = JobUsage {
            jobs: state.unfinished_jobs.len() as u64,
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

    fn appended_usage(&self, is_counted: impl Fn(&AdmittedJob) -> bool) -> JobUsage {
        let jobs = self.appended.iter().map(|appended| &appended.job);
        let counted = jobs.filter(|job| is_counted(job));
        counted.fold(JobUsage::default(), |sum, job| {
            sum.plus(JobUsage {
                jobs: 1,
                bytes: job.bytes,
            })
        })
    }

    /// Records that a job was appended at a log index.
    pub(super) fn record_appended(&mut self, index: u64, job: AdmittedJob) {
        if job.bytes > 0 {
            self.appended.push(AppendedJob { index, job });
        }
    }
}

/// The usage of the unfinished deferred jobs.
fn deferred_usage(state: &ClusterState) -> JobUsage {
    let open = state
        .unfinished_jobs
        .iter()
        .filter_map(|id| state.jobs.get(id));
    let deferred = open.filter(|job| is_deferred(&job.spec, state.at));
    deferred.fold(JobUsage::default(), |sum, job| {
        sum.plus(JobUsage {
            jobs: 1,
            bytes: job.memory_bytes(),
        })
    })
}

/// Whether the last due time of a job is much later than `at`, a time of the cluster clock.
fn is_deferred(job: &JobSpec, at: u64) -> bool {
    job.last_due() > at.saturating_add(DEFERRED_AFTER_MS)
}

impl Replica {
    /// Checks the limits for a job; returns its usage if it is admitted. A job that is already known uses nothing more.
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

/// Whether a limit leaves capacity for one more job beside what is already used.
fn has_capacity(limit: JobUsage, used: JobUsage, job: AdmittedJob) -> bool {
    let bytes_left = limit.bytes.saturating_sub(used.bytes);
    used.jobs < limit.jobs && job.bytes <= bytes_left / LARGEST_JOB_DIVISOR
}

/// The job that a proposed command submits; none for other commands.
pub(super) fn submitted_job(command: &[u8]) -> Option<JobSpec> {
    if !Command::submits_job(command) {
        return None;
    }
    match Command::unpack(command) {
        Ok(Command::AcceptJob { spec, .. }) => Some(spec),
        _ => None,
    }
}
