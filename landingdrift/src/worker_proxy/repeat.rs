//! Idempotency of calls: whether a call may be sent again after a response timeout.

/// Whether a call is idempotent: it changes nothing, or carries an id by which a duplicate is recognised. Any other
/// call is sent at most once, and its outcome is unknown if no response arrives.
pub fn may_repeat(method: &str, path: &str, query: &str) -> bool {
    let has_identity = || query.split('&').any(|param| param.starts_with("change="));
    match (method, path) {
        ("GET", _) | ("POST", "/v1/beats" | "/v1/jobs") => true,
        ("PUT" | "PATCH", "/v1/desired") => has_identity(),
        ("POST", path) => path.starts_with("/v1/workers/") && path.ends_with("/left"),
        _ => false,
    }
}
