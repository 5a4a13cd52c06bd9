//! Which calls may be sent a second time when no answer came to the first.

/// The calls that two copies of do no more than one: they change nothing, or carry an identity by which a copy is
/// known. Every other call goes out at most once, and silence leaves it unsure.
pub fn may_repeat(method: &str, path: &str, query: &str) -> bool {
    let identified = || query.split('&').any(|kv| kv.starts_with("change="));
    match (method, path) {
        ("GET", _) | ("POST", "/v1/beats" | "/v1/jobs") => true,
        ("PUT" | "PATCH", "/v1/desired") => identified(),
        ("POST", path) => path.starts_with("/v1/workers/") && path.ends_with("/left"),
        _ => false,
    }
}
