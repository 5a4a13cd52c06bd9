//! Hosts of queues and of calls: case makes no difference (RFC 9110, 4.2.3), and a port is not part of the host's name.

/// The host without its port.
fn without_port(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}

/// The form in which two spellings of one host are equal.
pub fn canonical_host(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

/// Whether two spellings are of one host.
pub fn is_same_host(one: &str, other: &str) -> bool {
    without_port(one).eq_ignore_ascii_case(without_port(other))
}
