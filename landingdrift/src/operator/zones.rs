//! The commands `drain`, `evacuate` and `restore`, for zones and workers.

use super::change::{change_id, change_path, wait, Progress};
use super::client::{ClientError, ControlClient};
use super::command_line::Arguments;
use serde_json::{json, Value};

/// How often a change is retried on top of a conflicting one before the conflict is reported.
const MAX_CONFLICT_RETRIES: u32 = 20;

/// Changes the state of a zone, or of one of its workers, and waits until nothing runs there if that is asked for.
pub(super) fn change_zone(
    client: &ControlClient,
    arguments: &Arguments,
    command: &str,
    zone: &str,
) -> Result<Value, ClientError> {
    let done = patch_zone(client, arguments, command, zone)?;
    if arguments.wait && command != "restore" {
        return wait_empty(client, zone, arguments.within);
    }
    Ok(done)
}

/// Patches the zone alone; after a conflicting change the patch is tried again on top of it.
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
        match client.call("PATCH", &change_path(base, &change_id()), Some(&patch)) {
            Err(ClientError::Refused { status: 409, .. }) if retries < MAX_CONFLICT_RETRIES => {
                retries += 1;
            }
            other => return other,
        }
    }
}

/// The patch that gives a whole zone the state that a command asks for.
fn zone_patch(command: &str, zone: &str) -> Value {
    let state = match command {
        "drain" => "draining",
        "evacuate" => "evacuated",
        _ => "serving",
    };
    json!({"zones": {zone: {"state": state}}})
}

/// The patch that adds a worker to its zone's drained workers, or removes it.
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
        Ok(Progress {
            done: of_zone["empty"] == json!(true),
            status: json!({"zone": zone, "status": of_zone}),
        })
    })
}
