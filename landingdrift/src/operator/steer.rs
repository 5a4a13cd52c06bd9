//! Drains, evacuates and restores zones and workers.

use super::change::{change_id, change_path, wait, Look};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::{json, Value};

/// So many rival changes are taken in before one is told of: others change the state too, but not without end.
const RETRIES_AFTER_RIVALS: u32 = 20;

/// Drains, evacuates and restores by a change of the zone alone; a rival change is taken in and the patch tried again.
pub(super) fn steer(
    client: &ControlClient,
    w: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let done = patch_zone(client, w, command, zone)?;
    if w.wait && command != "restore" {
        return wait_empty(client, zone, w.within);
    }
    Ok(done)
}

fn patch_zone(
    client: &ControlClient,
    w: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let mut retries = 0;
    loop {
        let current = client.call("GET", "/v1/desired", None)?;
        let patch = if w.worker.is_empty() {
            zone_patch(command, zone)
        } else {
            worker_patch(command, zone, &w.worker, &current)
        };
        let base = current["version"].as_u64().unwrap_or(0);
        match client.call("PATCH", &change_path(base, &change_id()), Some(&patch)) {
            Err(ClientError::Refused { status: 409, .. }) if retries < RETRIES_AFTER_RIVALS => {
                retries += 1;
            }
            other => return other,
        }
    }
}

/// The patch that brings a whole zone into the state that a command asks for.
fn zone_patch(command: &str, zone: &str) -> Value {
    let state = match command {
        "drain" => "draining",
        "evacuate" => "evacuated",
        _ => "serving",
    };
    json!({"zones": {zone: {"state": state}}})
}

/// The patch that puts a worker on the list of its zone's drained workers, or takes it off.
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
fn wait_empty(client: &ControlClient, zone: &str, within: u64) -> Result<Value, ClientError> {
    wait(within, || {
        let status = client.call("GET", "/v1/status", None)?;
        let of_zone = &status["zones"][zone];
        Ok(Look {
            done: of_zone["empty"] == json!(true),
            seen: json!({"zone": zone, "status": of_zone}),
        })
    })
}
