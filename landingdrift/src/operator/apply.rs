//! The command `apply`: replaces or patches the configuration.

use super::change::{change_path, new_change_id, wait_in_force};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::Value;

/// Applies the configuration or patch in `value` on top of the version given with `--base`, or of the version in force.
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
    // All attempts carry the same ID, so that the change is made only once even if a response is lost.
    let change = new_change_id();
    let method = if arguments.patch { "PATCH" } else { "PUT" };
    let response = client.call(method, &change_path(base, &change), Some(value))?;
    if arguments.wait {
        return wait_in_force(client, &change, arguments.timeout_s);
    }
    Ok(response)
}
