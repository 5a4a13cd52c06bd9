//! Changes of the configuration: their identities, their paths, and the wait until they are in force.

use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often it is looked whether something has come about: soon enough for one who waits, seldom enough for a node.
const LOOK: Duration = Duration::from_millis(200);

/// An identity of a change: a lost answer changes nothing twice.
pub(super) fn change_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |d| d.as_nanos());
    format!("op-{nanos:x}-{}", std::process::id())
}

/// Where a change of the configuration is sent.
pub(super) fn change_path(base: u64, change: &str) -> String {
    format!("/v1/desired?base={base}&change={change}")
}

/// What a look has shown.
pub(super) struct Look {
    pub done: bool,
    pub seen: Value,
}

/// Waits until a change is in force on all nodes.
pub(super) fn wait_in_force(
    client: &ControlClient,
    change: &str,
    within: u64,
) -> Result<Value, ClientError> {
    let path = format!("/v1/changes/{change}");
    wait(within, || {
        let seen = client.call("GET", &path, None)?;
        Ok(Look {
            done: seen["inForceEverywhere"] == json!(true),
            seen,
        })
    })
}

/// Looks again and again, for so many seconds.
pub(super) fn wait(
    within: u64,
    mut look: impl FnMut() -> Result<Look, ClientError>,
) -> Result<Value, ClientError> {
    let start = Instant::now();
    loop {
        let Look { done, seen } = look()?;
        if done {
            return Ok(seen);
        }
        if start.elapsed() > Duration::from_secs(within) {
            return Err(ClientError::Refused {
                status: 504,
                body: json!({"message": format!("not yet after {within} s, it goes on: look again with status; {seen}")}),
            });
        }
        sleep(LOOK);
    }
}
