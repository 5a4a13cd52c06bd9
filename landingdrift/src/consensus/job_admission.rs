//! Admission of submitted jobs by the leader: a job is admitted only if the cluster state with it stays within the
//! leader's limits on the number of unfinished jobs and on the memory of jobs.
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

/// A job is deferred if its last due time is more than this many milliseconds ahead.
const DEFERRED_AFTER_MS: u64 = 60_000;

/// Deferred jobs together may use at most each limit divided by this.
const DEFERRED_LIMIT_DIVISOR: u64 = 2;

/// A number of jobs and the memory that they use.
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

/// An admitted job: the memory that it uses, and whether it is deferred.
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
    /// The result of the last count: the number of unfinished jobs, and the bytes of all jobs, including retained
    /// finished ones.
    counted: JobUsage,
    /// The number and the bytes of the unfinished deferred jobs at the last count.
    counted_deferred: JobUsage,
    /// The time of the next count, in monotonic milliseconds.
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

    /// Counts a job appended at a log index towards the usage until the next count includes it. A job of 0 bytes is one
    /// that the state already contains, and is not counted again.
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
    /// Admits a job if it fits into the limits. A job that the state already contains, possibly as a tombstone, uses no
    /// further memory and is always admitted.
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
        let fits_deferred_limit = !admitted.is_deferred
            || has_capacity(deferred_limit, self.job_admission.deferred(), admitted);
        let fits = fits_deferred_limit && has_capacity(limit, self.job_admission.total(), admitted);
        fits.then_some(admitted)
    }
}

/// Whether one more job fits into a limit, given the current usage.
fn has_capacity(limit: JobUsage, used: JobUsage, job: AdmittedJob) -> bool {
    let bytes_left = limit.bytes.saturating_sub(used.bytes);
    used.jobs < limit.jobs && job.bytes <= bytes_left / LARGEST_JOB_DIVISOR
}

/// The job that a proposed command submits; `None` for other commands.
pub(super) fn submitted_job(command: &[u8]) -> Option<JobSpec> {
    if !Command::submits_job(command) {
        return None;
    }
    match Command::unpack(command) {
        Ok(Command::SubmitJob { spec, .. }) => Some(spec),
        _ => None,
    }
}
