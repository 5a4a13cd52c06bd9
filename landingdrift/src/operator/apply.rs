//! Puts a configuration into force, whole or as a patch.

use super::change::{change_id, change_path, wait_in_force};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::Value;

pub(super) fn apply(
    client: &ControlClient,
    w: &Arguments,
    value: &Value,
) -> Result<Value, ClientError> {
    let base = match w.base {
        Some(base) => base,
        None => {
            let current = client.call("GET", "/v1/desired", None)?;
            current["version"].as_u64().unwrap_or(0)
        }
    };
    // One identity for all tries: a lost answer changes nothing twice.
    let change = change_id();
    let method = if w.patch { "PATCH" } else { "PUT" };
    let done = client.call(method, &change_path(base, &change), Some(value))?;
    if w.wait {
        return wait_in_force(client, &change, w.within);
    }
    Ok(done)
}
