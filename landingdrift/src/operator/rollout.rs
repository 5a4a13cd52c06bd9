use super::client::{ClientError, ControlClient};
use super::commands::{change_id, wait};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Puts a configuration into force queue by queue, the rest last. Each stage is watched; where a queue spends its
/// allowance or a node stays behind, the former state comes back as a new version.
pub fn rollout(
    client: &ControlClient,
    stages: &[String],
    watch: Duration,
    within: u64,
    value: &Value,
) -> Result<Value, ClientError> {
    stages
        .iter()
        .find(|s| value["queues"].get(s.as_str()).is_none())
        .map_or(Ok(()), |s| {
            Err(ClientError::Usage(format!(
                "--stages names queue '{s}', which the file does not have"
            )))
        })?;
    let former = client.call("GET", "/v1/desired", None)?;
    let spent = spent_queues(&client.call("GET", "/v1/status", None)?);
    let mut version = former["version"].as_u64().unwrap_or(0);
    let steps = stages
        .iter()
        .map(|s| {
            (
                s.as_str(),
                "PATCH",
                json!({"queues": {s.as_str(): value["queues"][s.as_str()]}}),
            )
        })
        .chain([("the rest", "PUT", value.clone())]);
    for (stage, method, body) in steps {
        let change = change_id();
        let done = client.call(
            method,
            &format!("/v1/desired?base={version}&change={change}"),
            Some(&body),
        )?;
        version = done["version"].as_u64().unwrap_or(version);
        if let Err(why) = look(client, &change, &spent, watch, within) {
            let back = client.call(
                "PUT",
                &format!("/v1/desired?base={version}&change={}", change_id()),
                Some(&former["desired"]),
            )?;
            return Err(ClientError::Halted {
                stage: stage.into(),
                why,
                version: back["version"].as_u64().unwrap_or(0),
            });
        }
    }
    Ok(json!({"version": version, "stages": stages.len() + 1}))
}

/// Queues whose allowance is spent.
fn spent_queues(status: &Value) -> BTreeSet<String> {
    status["queues"]
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(_, q)| q["window"]["spent"] == json!(true))
        .map(|(k, _)| k.clone())
        .collect()
}

fn look(
    client: &ControlClient,
    change: &str,
    spent: &BTreeSet<String>,
    watch: Duration,
    within: u64,
) -> Result<(), String> {
    let seen = wait(within, || {
        client
            .call("GET", &format!("/v1/changes/{change}"), None)
            .map(|v| (v["inForceEverywhere"] == json!(true), v))
    });
    seen.map_err(|e| format!("it is not in force everywhere: {e}"))?;
    let start = Instant::now();
    while start.elapsed() < watch {
        let now = client
            .call("GET", "/v1/status", None)
            .map_err(|e| e.to_string())?;
        spent_queues(&now)
            .difference(spent)
            .next()
            .map_or(Ok(()), |q| {
                Err(format!("queue '{q}' has spent its allowance"))
            })?;
        std::thread::sleep(Duration::from_millis(500));
    }
    Ok(())
}
