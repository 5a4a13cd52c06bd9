//! Roll-outs: a configuration comes into force queue by queue, and goes back where a stage does harm.

use super::change::{change_id, change_path, wait_in_force};
use super::client::{ClientError, ControlClient};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a stage's queues are looked at while it is watched.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// One step of a roll-out.
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

/// Puts a configuration into force queue by queue, the rest last. Each stage is watched; where a queue spends its
/// allowance or a node stays behind, the former state comes back as a new version.
pub fn rollout(
    client: &ControlClient,
    stages: &[String],
    watch: Duration,
    within: u64,
    value: &Value,
) -> Result<Value, ClientError> {
    let steps = steps(stages, value)?;
    let former = client.call("GET", "/v1/desired", None)?;
    let spent = spent_queues(&client.call("GET", "/v1/status", None)?);
    let mut version = former["version"].as_u64().unwrap_or(0);
    for stage in &steps {
        let change = change_id();
        let path = change_path(version, &change);
        let done = client.call(stage.method, &path, Some(&stage.body))?;
        version = done["version"].as_u64().unwrap_or(version);
        if let Err(why) = look(client, &change, &spent, watch, within) {
            let path = change_path(version, &change_id());
            let back = client.call("PUT", &path, Some(&former["desired"]))?;
            return Err(ClientError::Halted {
                stage: stage.name.into(),
                why: why.to_string(),
                version: back["version"].as_u64().unwrap_or(0),
            });
        }
    }
    Ok(json!({"version": version, "stages": steps.len()}))
}

/// The stages as they are named, then the rest.
fn steps<'a>(stages: &'a [String], value: &Value) -> Result<Vec<Stage<'a>>, ClientError> {
    let mut steps = Vec::new();
    for name in stages {
        let name = name.as_str();
        let Some(queue) = value["queues"].get(name) else {
            return Err(ClientError::Usage(format!(
                "--stages names queue '{name}', which the file does not have"
            )));
        };
        steps.push(Stage {
            name,
            method: "PATCH",
            body: json!({"queues": {name: queue}}),
        });
    }
    steps.push(Stage {
        name: "the rest",
        method: "PUT",
        body: value.clone(),
    });
    Ok(steps)
}

/// Queues whose allowance is spent.
fn spent_queues(status: &Value) -> BTreeSet<String> {
    let queues = status["queues"].as_object();
    queues
        .into_iter()
        .flatten()
        .filter(|(_, queue)| queue["window"]["spent"] == json!(true))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Watches a stage: it has to come into force on all nodes, and no queue may spend its allowance that had not before.
fn look(
    client: &ControlClient,
    change: &str,
    spent: &BTreeSet<String>,
    watch: Duration,
    within: u64,
) -> Result<(), HaltReason> {
    wait_in_force(client, change, within).map_err(HaltReason::NotInForce)?;
    let start = Instant::now();
    while start.elapsed() < watch {
        let status = client.call("GET", "/v1/status", None);
        let spent_now = spent_queues(&status.map_err(HaltReason::NoStatus)?);
        if let Some(queue) = spent_now.difference(spent).next() {
            return Err(HaltReason::AllowanceSpent(queue.clone()));
        }
        sleep(WATCH_EVERY);
    }
    Ok(())
}
