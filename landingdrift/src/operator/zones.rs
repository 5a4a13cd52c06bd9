//! The commands `drain` and `restore`, for zones and workers, and `evacuate`, for zones.

use super::change::{change_path, new_change_id, wait, Progress};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::{json, Value};

/// The maximum number of retries after a conflict with another change.
const MAX_CONFLICT_RETRIES: u32 = 20;

/// Changes the state of a zone, or of one of its workers. With `--wait`, waits until nothing runs in the zone.
pub(super) fn change_zone(
    client: &ControlClient,
    arguments: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let response = patch_zone(client, arguments, command, zone)?;
    if arguments.wait && command != "restore" {
        return wait_empty(client, zone, arguments.timeout_s);
    }
    Ok(response)
}

/// Patches only the zone; after a conflict, retries the patch on top of the newer version.
fn patch_zone(
    client: &ControlClient,
    arguments: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let mut retries = 0;
    loop {
        let current = client.call("GET", "/v1/desired", None)?;
        let patch = if arguments.worker.is_empty() {
            zone_patch(command, zone)
        } else {
            worker_patch(command, zone, &arguments.worker, &current)
        };
        let base = current["version"].as_u64().unwrap_or(0);
        match client.call("PATCH", &change_path(base, &new_change_id()), Some(&patch)) {
            Err(ClientError::Rejected { status: 409, .. }) if retries < MAX_CONFLICT_RETRIES => {
                retries += 1;
            }
            other => return other,
        }
    }
}

/// The patch that sets the state of a whole zone as the command requires.
fn zone_patch(command: &str, zone: &str) -> Value {
    let state = match command {
        "drain" => "draining",
        "evacuate" => "evacuated",
        _ => "serving",
    };
    json!({"zones": {zone: {"state": state}}})
}

/// The patch that adds a worker to the drained workers of its zone, or removes it.
fn worker_patch(command: &str, zone: &str, worker: &str, current: &Value) -> Value {
    let listed = current["desired"]["zones"][zone]["drainedWorkers"].clone();
    let mut drained: Vec<String> = serde_json::from_value(listed).unwrap_or_default();
    drained.retain(|other| other != worker);
    if command != "restore" {
        drained.push(worker.to_string());
    }
    json!({"zones": {zone: {"drainedWorkers": drained}}})
}

/// Waits until nothing runs in a zone any more.
fn wait_empty(client: &ControlClient, zone: &str, timeout_s: u64) -> Result<Value, ClientError> {
    wait(timeout_s, || {
        let status = client.call("GET", "/v1/status", None)?;
        let zone_status = &status["zones"][zone];
        Ok(Progress {
            done: zone_status["empty"] == json!(true),
            status: json!({"zone": zone, "status": zone_status}),
        })
    })
}
