//! Idempotency of calls: whether a call may be sent again after a response timeout.

/// Whether a call is idempotent: it changes nothing, or carries an id by which a duplicate is recognised. Any other
/// call is repeated only after a rejection, and its outcome is unknown if no response arrives.
pub fn is_idempotent(method: &str, path: &str, query: &str) -> bool {
    let has_change_id = || query.split('&').any(|param| param.starts_with("change="));
    match (method, path) {
        ("GET", _) | ("POST", "/v1/beats" | "/v1/jobs") => true,
        ("PUT" | "PATCH", "/v1/desired") => has_change_id(),
        ("POST", path) => path.starts_with("/v1/workers/") && path.ends_with("/left"),
        _ => false,
    }
}
