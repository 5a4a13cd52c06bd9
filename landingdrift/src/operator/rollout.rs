//! The command `rollout`: applies a configuration queue by queue, and rolls it back if a stage makes a queue fail.

use super::change::{change_path, new_change_id, wait_in_force};
use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval at which the queues are polled while a stage is watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// One stage of a roll-out.
struct Stage<'a> {
    name: &'a str,
    method: &'static str,
    body: Value,
}

/// The reason for which a roll-out was halted.
#[derive(Debug, thiserror::Error)]
enum HaltReason {
    #[error("the change is not in force on all nodes: {0}")]
    NotInForce(ClientError),
    #[error("failed to read the status: {0}")]
    NoStatus(ClientError),
    #[error("queue '{0}' has exceeded its failure allowance")]
    AllowanceExceeded(String),
}

/// Applies a configuration queue by queue, the rest last. Each stage is watched for `watch`. If a queue exceeds its
/// failure allowance or the change is not in force on all nodes in time, the previous configuration is applied again as a new version.
pub fn rollout(
    client: &ControlClient,
    stages: &[String],
    watch: Duration,
    timeout_s: u64,
    value: &Value,
) -> Result<Value, ClientError> {
    let stages = split_into_stages(stages, value)?;
    let previous = client.call("GET", "/v1/desired", None)?;
    let exceeded = queues_over_allowance(&client.call("GET", "/v1/status", None)?);
    let mut version = previous["version"].as_u64().unwrap_or(0);
    for stage in &stages {
        let change = new_change_id();
        let path = change_path(version, &change);
        let applied = client.call(stage.method, &path, Some(&stage.body))?;
        version = applied["version"].as_u64().unwrap_or(version);
        if let Err(reason) = watch_stage(client, &change, &exceeded, watch, timeout_s) {
            let path = change_path(version, &new_change_id());
            let rolled_back = client.call("PUT", &path, Some(&previous["desired"]))?;
            return Err(ClientError::Halted {
                stage: stage.name.into(),
                reason: reason.to_string(),
                version: rolled_back["version"].as_u64().unwrap_or(0),
            });
        }
    }
    Ok(json!({"version": version, "stages": stages.len()}))
}

/// One stage for each named queue in the given order, then one for the rest of the configuration.
fn split_into_stages<'a>(
    names: &'a [String],
    value: &Value,
) -> Result<Vec<Stage<'a>>, ClientError> {
    let mut stages = Vec::new();
    for name in names {
        let name = name.as_str();
        let Some(queue) = value["queues"].get(name) else {
            return Err(ClientError::Usage(format!(
                "--stages names queue '{name}', which is not in the file"
            )));
        };
        stages.push(Stage {
            name,
            method: "PATCH",
            body: json!({"queues": {name: queue}}),
        });
    }
    stages.push(Stage {
        name: "the rest",
        method: "PUT",
        body: value.clone(),
    });
    Ok(stages)
}

/// The queues that have exceeded their failure allowance.
fn queues_over_allowance(status: &Value) -> BTreeSet<String> {
    let mut exceeded = BTreeSet::new();
    if let Some(queues) = status["queues"].as_object() {
        for (name, queue) in queues {
            if queue["window"]["spent"] == json!(true) {
                exceeded.insert(name.clone());
            }
        }
    }
    exceeded
}

/// Watches a stage: the change has to be in force on all nodes, and no further queue may exceed its failure allowance.
fn watch_stage(
    client: &ControlClient,
    change: &str,
    exceeded_before: &BTreeSet<String>,
    watch: Duration,
    timeout_s: u64,
) -> Result<(), HaltReason> {
    wait_in_force(client, change, timeout_s).map_err(HaltReason::NotInForce)?;
    let start = Instant::now();
    while start.elapsed() < watch {
        let status = client.call("GET", "/v1/status", None);
        let exceeded_now = queues_over_allowance(&status.map_err(HaltReason::NoStatus)?);
        if let Some(queue) = exceeded_now.difference(exceeded_before).next() {
            return Err(HaltReason::AllowanceExceeded(queue.clone()));
        }
        sleep(WATCH_INTERVAL);
    }
    Ok(())
}
