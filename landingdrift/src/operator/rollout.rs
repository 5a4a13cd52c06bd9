//! The command `rollout`: a configuration comes into force queue by queue, and is rolled back if a stage does harm.

use super::change::{change_id, change_path, wait_in_force};
use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often the queues are checked while a stage is watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// One stage of a roll-out.
struct Stage<'a> {
    name: &'a str,
    method: &'static str,
    body: Value,
}

/// Why a roll-out is halted.
#[derive(Debug, thiserror::Error)]
enum HaltReason {
    #[error("it is not in force everywhere: {0}")]
    NotInForce(ClientError),
    #[error("{0}")]
    NoStatus(ClientError),
    #[error("queue '{0}' has spent its allowance")]
    AllowanceSpent(String),
}

/// Puts a configuration into force queue by queue, the rest last. Each stage is watched; if a queue spends its failure
/// allowance or a node does not follow, the earlier configuration is put into force again as a new version.
pub fn rollout(
    client: &ControlClient,
    stages: &[String],
    watch: Duration,
    within: u64,
    value: &Value,
) -> Result<Value, ClientError> {
    let stages = stages_of(stages, value)?;
    let earlier = client.call("GET", "/v1/desired", None)?;
    let spent = spent_queues(&client.call("GET", "/v1/status", None)?);
    let mut version = earlier["version"].as_u64().unwrap_or(0);
    for stage in &stages {
        let change = change_id();
        let path = change_path(version, &change);
        let applied = client.call(stage.method, &path, Some(&stage.body))?;
        version = applied["version"].as_u64().unwrap_or(version);
        if let Err(why) = watch_stage(client, &change, &spent, watch, within) {
            let path = change_path(version, &change_id());
            let rolled_back = client.call("PUT", &path, Some(&earlier["desired"]))?;
            return Err(ClientError::Halted {
                stage: stage.name.into(),
                why: why.to_string(),
                version: rolled_back["version"].as_u64().unwrap_or(0),
            });
        }
    }
    Ok(json!({"version": version, "stages": stages.len()}))
}

/// The stages in the order they are named, then the rest.
fn stages_of<'a>(names: &'a [String], value: &Value) -> Result<Vec<Stage<'a>>, ClientError> {
    let mut stages = Vec::new();
    for name in names {
        let name = name.as_str();
        let Some(queue) = value["queues"].get(name) else {
            return Err(ClientError::Usage(format!(
                "--stages names queue '{name}', which the file does not have"
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

/// The queues whose failure allowance is spent.
fn spent_queues(status: &Value) -> BTreeSet<String> {
    let mut spent = BTreeSet::new();
    if let Some(queues) = status["queues"].as_object() {
        for (name, queue) in queues {
            if queue["window"]["spent"] == json!(true) {
                spent.insert(name.clone());
            }
        }
    }
    spent
}

/// Watches a stage: it has to come into force on all nodes, and no further queue may spend its failure allowance.
fn watch_stage(
    client: &ControlClient,
    change: &str,
    spent_before: &BTreeSet<String>,
    watch: Duration,
    within: u64,
) -> Result<(), HaltReason> {
    wait_in_force(client, change, within).map_err(HaltReason::NotInForce)?;
    let start = Instant::now();
    while start.elapsed() < watch {
        let status = client.call("GET", "/v1/status", None);
        let spent_now = spent_queues(&status.map_err(HaltReason::NoStatus)?);
        if let Some(queue) = spent_now.difference(spent_before).next() {
            return Err(HaltReason::AllowanceSpent(queue.clone()));
        }
        sleep(WATCH_INTERVAL);
    }
    Ok(())
}
