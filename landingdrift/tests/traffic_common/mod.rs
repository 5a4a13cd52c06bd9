//! Helpers for the tests of the traffic thread.

use landingdrift::daemon::HttpLimits;
use std::time::Duration;

/// A timeout that is only reached if a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP limits for small requests and few concurrent calls.
pub fn limits() -> HttpLimits {
    HttpLimits {
        timeout: TEST_TIMEOUT,
        body_bytes: 1000,
        calls: 10,
    }
}
