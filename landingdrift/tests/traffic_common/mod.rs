//! What tests of a process's frames and of its HTTP share.

use landingdrift::daemon::HttpLimits;
use std::time::Duration;

pub const LONG: Duration = Duration::from_secs(20);

pub fn limits() -> HttpLimits {
    HttpLimits {
        timeout: LONG,
        body_bytes: 1000,
        calls: 10,
    }
}
