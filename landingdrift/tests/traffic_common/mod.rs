//! Shared by the tests of the traffic thread's frames and HTTP.

use landingdrift::daemon::HttpLimits;
use std::time::Duration;

/// A timeout that no test reaches unless it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP limits for small requests and few concurrent calls.
pub fn limits() -> HttpLimits {
    HttpLimits {
        timeout: TEST_TIMEOUT,
        body_bytes: 1000,
        calls: 10,
    }
}
