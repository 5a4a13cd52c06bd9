//! The command `apply`: puts a configuration into force, whole or as a patch.

use super::change::{change_id, change_path, wait_in_force};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::Value;

/// Applies a configuration on top of the version that was named, or of the current one.
pub(super) fn apply(
    client: &ControlClient,
    arguments: &Arguments,
    value: &Value,
) -> Result<Value, ClientError> {
    let base = match arguments.base {
        Some(base) => base,
        None => {
            let current = client.call("GET", "/v1/desired", None)?;
            current["version"].as_u64().unwrap_or(0)
        }
    };
    // One identity for all attempts: if a response is lost, the change is still made only once.
    let change = change_id();
    let method = if arguments.patch { "PATCH" } else { "PUT" };
    let done = client.call(method, &change_path(base, &change), Some(value))?;
    if arguments.wait {
        return wait_in_force(client, &change, arguments.within);
    }
    Ok(done)
}
