//! Comparison of host names of queues and requests: case is ignored (RFC 9110, 4.2.3), and so is a port.

/// Strips the port from a host.
fn without_port(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}

/// The canonical form of a host: lower case, without port.
pub fn canonical_host(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

/// Whether two spellings denote the same host.
pub fn is_same_host(one: &str, other: &str) -> bool {
    without_port(one).eq_ignore_ascii_case(without_port(other))
}
