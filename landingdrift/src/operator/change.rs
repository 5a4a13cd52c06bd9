//! Changes of the configuration: creating their IDs and paths, and waiting until they are in force.

use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval at which a condition is polled: short enough for a person who waits, long enough not to load a node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A new ID for a change. Nodes make a change with the same ID only once, so it can be sent again if a response is
/// lost.
pub(super) fn new_change_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |duration| duration.as_nanos());
    format!("op-{nanos:x}-{}", std::process::id())
}

/// The path and query of a request that changes the configuration on top of version `base`.
pub(super) fn change_path(base: u64, change: &str) -> String {
    format!("/v1/desired?base={base}&change={change}")
}

/// The result of polling a condition.
pub(super) struct Progress {
    pub done: bool,
    /// The status to print when the wait ends.
    pub status: Value,
}

/// Waits until a change is in force on all nodes, for up to `timeout_s` seconds.
pub(super) fn wait_in_force(
    client: &ControlClient,
    change: &str,
    timeout_s: u64,
) -> Result<Value, ClientError> {
    let path = format!("/v1/changes/{change}");
    wait(timeout_s, || {
        let status = client.call("GET", &path, None)?;
        Ok(Progress {
            done: status["inForceEverywhere"] == json!(true),
            status,
        })
    })
}

/// Polls a condition until it holds; fails with status 504 if it does not hold after `timeout_s` seconds.
pub(super) fn wait(
    timeout_s: u64,
    mut poll: impl FnMut() -> Result<Progress, ClientError>,
) -> Result<Value, ClientError> {
    let start = Instant::now();
    loop {
        let Progress { done, status } = poll()?;
        if done {
            return Ok(status);
        }
        if start.elapsed() > Duration::from_secs(timeout_s) {
            return Err(ClientError::Rejected {
                status: 504,
                body: json!({"message": format!("timed out after {timeout_s} s; the change is still in progress, check it later with 'status': {status}")}),
            });
        }
        sleep(POLL_INTERVAL);
    }
}
