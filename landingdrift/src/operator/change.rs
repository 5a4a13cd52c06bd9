//! Changes of the configuration: their identities, their paths, and the wait until they are in force.

use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a condition is checked: soon enough for a person who waits, and seldom enough for a node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A new identity for a change: if a response is lost, the change is still made only once.
pub(super) fn change_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |duration| duration.as_nanos());
    format!("op-{nanos:x}-{}", std::process::id())
}

/// The path and query for a change of the configuration.
pub(super) fn change_path(base: u64, change: &str) -> String {
    format!("/v1/desired?base={base}&change={change}")
}

/// What a check of a condition has found.
pub(super) struct Progress {
    pub done: bool,
    /// What the caller is shown.
    pub status: Value,
}

/// Waits until a change is in force on all nodes.
pub(super) fn wait_in_force(
    client: &ControlClient,
    change: &str,
    within: u64,
) -> Result<Value, ClientError> {
    let path = format!("/v1/changes/{change}");
    wait(within, || {
        let status = client.call("GET", &path, None)?;
        Ok(Progress {
            done: status["inForceEverywhere"] == json!(true),
            status,
        })
    })
}

/// Checks a condition again and again, for `within` seconds.
pub(super) fn wait(
    within: u64,
    mut check: impl FnMut() -> Result<Progress, ClientError>,
) -> Result<Value, ClientError> {
    let start = Instant::now();
    loop {
        let Progress { done, status } = check()?;
        if done {
            return Ok(status);
        }
        if start.elapsed() > Duration::from_secs(within) {
            return Err(ClientError::Refused {
                status: 504,
                body: json!({"message": format!("not yet after {within} s, it goes on: look again with status; {status}")}),
            });
        }
        sleep(POLL_INTERVAL);
    }
}
