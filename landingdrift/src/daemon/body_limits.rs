//! The maximum lengths of the bodies of landingdrift's own API, and which of its responses may be large.

use crate::settings::Limits;

/// The maximum size of a request body beyond the job or configuration in it.
const OVERHEAD_BYTES: u64 = 1024;

/// The maximum lengths of request bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The limit for a job, and for every other call with a body that is not a configuration.
    pub job: u64,
    /// The limit for a configuration.
    pub config: u64,
}

impl BodyLimits {
    /// The limits that follow from the settings.
    pub fn from_settings(limits: &Limits) -> Self {
        Self {
            job: limits.job_bytes + OVERHEAD_BYTES,
            config: limits.config_bytes + OVERHEAD_BYTES,
        }
    }

    /// The limit for a request, in bytes; 0 if it needs no body.
    pub fn for_request(&self, method: &str, path: &str) -> u64 {
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (method, parts.as_slice()) {
            ("PUT" | "PATCH", ["v1", "desired"]) => self.config,
            ("POST", ["v1", "jobs" | "beats" | "at", ..]) => self.job,
            _ => 0,
        }
    }
}

/// Whether the response to a request may be large: the configuration, the status, and the lists of workers and jobs.
pub fn has_large_response(method: &str, path: &str) -> bool {
    let lists = ["/v1/desired", "/v1/status", "/v1/workers", "/v1/jobs"];
    method == "GET" && lists.contains(&path.trim_end_matches('/'))
}
